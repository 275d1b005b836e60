"""Format of discovery's lists, and the sans-I/O protocol spoken to its agent."""

import logging
from collections.abc import Sequence
from typing import Any

import h11
import ujson

from brackenusher.config.platform import ConfigError, read_address
from brackenusher.runtime.log import log_event
from brackenusher.upstream.listing import Host, Listing

log = logging.getLogger(__name__)

PATH = "/registry/instances"
MAX_LINE_BYTES = 4 * 1024 * 1024


class DiscoveryError(Exception):
    """Discovery's response is unusable and the connection must be closed; `listings` precede the error."""

    def __init__(self, reason: str, listings: Sequence[Listing] = ()) -> None:
        super().__init__(reason)
        self.listings = listings


def read_host(entry: dict[str, Any]) -> Host:
    return Host(
        name=str(entry["host"]),
        address=read_address(entry["dial"], "dial"),
        zone=str(entry.get("site", "")),
        kind=str(entry.get("class", "")),
        cell=int(entry.get("block") or 0),
        health=str(entry["health"]),
        born_ms=float(entry.get("born_ms") or 0.0),
    )


def word_host(host: Host) -> dict[str, Any]:
    """Encode a host as an entry of discovery's lists."""
    return {
        "host": host.name,
        "dial": f"{host.address[0]}:{host.address[1]}",
        "site": host.zone,
        "class": host.kind,
        "block": host.cell,
        "health": host.health,
        "born_ms": host.born_ms,
    }


def read_listing(document: Any) -> Listing:
    """Decode a list; an invalid entry is skipped and logged."""
    if not isinstance(document, dict):
        raise DiscoveryError("the list is not a JSON object")
    try:
        listing = Listing(int(document["seq"]), bool(document.get("whole")), [])
        entries = list(document["hosts"])
    except (KeyError, TypeError, ValueError) as error:
        raise DiscoveryError(f"invalid list: {error!r}") from error
    for entry in entries:
        try:
            listing.hosts.append(read_host(entry))
        except (KeyError, TypeError, ValueError, ConfigError) as error:
            log_event(
                log, logging.WARNING, "entry_left_out", "discovery: an entry was left out: %(why)r", why=error
            )
    return listing


def parse_listing(text: bytes) -> Listing:
    try:
        return read_listing(ujson.loads(text))
    except ValueError as error:
        raise DiscoveryError(f"not JSON: {error}") from error


class Discovery:
    """One connection to the agent: fetches the full list unless it has one, then watches for changes."""

    def __init__(self, authority: str, seq: int | None) -> None:
        self.authority, self.seq = authority, seq
        self.connection = h11.Connection(h11.CLIENT)
        self.watching, self.buffer = False, bytearray()
        self.messages_received = 0  # complete lists and lines; a partial one counts as silence

    def start(self) -> bytes:
        """Return the bytes of the next request."""
        self.watching = self.seq is not None
        target = f"{PATH}?watch=1&from={self.seq}" if self.watching else PATH
        self.buffer.clear()
        call = h11.Request(method="GET", target=target, headers=[("Host", self.authority)])
        return self.connection.send(call) + self.connection.send(h11.EndOfMessage())

    def receive(self, data: bytes | memoryview) -> tuple[list[Listing], bytes]:
        """Parse bytes, b"" at the end of the stream; return the lists found and the bytes to send.

        DiscoveryError carries the lists that preceded it in the same bytes.
        """
        listings: list[Listing] = []
        reply = b""
        try:
            self.connection.receive_data(bytes(data))
            while True:
                event = self.connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return listings, reply
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise DiscoveryError(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self.buffer += event.data
                    self.read_lines(listings)
                elif isinstance(event, h11.EndOfMessage):
                    reply = self.on_response_end(listings)
                elif isinstance(event, h11.ConnectionClosed):
                    raise DiscoveryError("closed")
        except (DiscoveryError, h11.RemoteProtocolError) as error:
            raise DiscoveryError(str(error), listings) from error

    def read_lines(self, listings: list[Listing]) -> None:
        """Parse the complete lines of a watch; an empty one is a keep-alive."""
        if len(self.buffer) > MAX_LINE_BYTES:
            raise DiscoveryError(f"line is over {MAX_LINE_BYTES} bytes")
        if not self.watching:
            return
        *whole, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        for line in whole:
            self.messages_received += 1
            if line.strip():
                listings.append(parse_listing(line))
                self.seq = listings[-1].seq

    def on_response_end(self, listings: list[Listing]) -> bytes:
        """The response is complete: after the list start a watch, on the same connection if it stays open."""
        if self.watching:
            raise DiscoveryError("the watch ended")
        listings.append(parse_listing(bytes(self.buffer)))
        self.seq, self.messages_received = listings[-1].seq, self.messages_received + 1
        if self.connection.our_state is not h11.DONE or self.connection.their_state is not h11.DONE:
            return b""  # the agent closes it; the next connection starts the watch
        self.connection.start_next_cycle()
        return self.start()
