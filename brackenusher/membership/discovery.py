"""Discovery's side: reads lists, and speaks to the agent as a state machine that is fed bytes."""

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
LONGEST_LINE = 4 * 1024 * 1024


class DiscoveryError(Exception):
    """Discovery's answer cannot be used; the connection is of no further use. What came before counts."""

    def __init__(self, why: str, listings: Sequence[Listing] = ()) -> None:
        super().__init__(why)
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
    """An entry in discovery's form."""
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
    """Read a list in discovery's form; an entry that cannot be read is left out and logged."""
    if not isinstance(document, dict):
        raise DiscoveryError("a list is an object")
    try:
        listing = Listing(int(document["seq"]), bool(document.get("whole")), [])
        entries = list(document["hosts"])
    except (KeyError, TypeError, ValueError) as error:
        raise DiscoveryError(f"not a list: {error!r}") from error
    for entry in entries:
        try:
            listing.hosts.append(read_host(entry))
        except (KeyError, TypeError, ValueError, ConfigError) as error:
            log_event(
                log, logging.WARNING, "entry_left_out", "discovery: an entry was left out: %(why)r", why=error
            )
    return listing


def parse(text: bytes) -> Listing:
    try:
        return read_listing(ujson.loads(text))
    except ValueError as error:
        raise DiscoveryError(f"not JSON: {error}") from error


class Discovery:
    """One connection to the agent: fetches the whole list if it has none, then watches it from there on."""

    def __init__(self, authority: str, seq: int | None) -> None:
        self.authority, self.seq = authority, seq
        self.machine = h11.Connection(h11.CLIENT)
        self.watching, self.text = False, bytearray()
        self.heard = 0  # lists and lines that came whole: some bytes and no more of one are silence

    def start(self) -> bytes:
        """The bytes of the next call."""
        self.watching = self.seq is not None
        target = f"{PATH}?watch=1&from={self.seq}" if self.watching else PATH
        self.text.clear()
        call = h11.Request(method="GET", target=target, headers=[("Host", self.authority)])
        return self.machine.send(call) + self.machine.send(h11.EndOfMessage())

    def receive(self, data: bytes | memoryview) -> tuple[list[Listing], bytes]:
        """Take bytes, b"" at the end of the stream; return the lists they hold and what to send in turn.

        DiscoveryError brings the lists that came before it in the same bytes.
        """
        listings: list[Listing] = []
        reply = b""
        try:
            self.machine.receive_data(bytes(data))
            while True:
                event = self.machine.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return listings, reply
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise DiscoveryError(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self.text += event.data
                    self.lines(listings)
                elif isinstance(event, h11.EndOfMessage):
                    reply = self.ended(listings)
                elif isinstance(event, h11.ConnectionClosed):
                    raise DiscoveryError("closed")
        except (DiscoveryError, h11.RemoteProtocolError) as error:
            raise DiscoveryError(str(error), listings) from error

    def lines(self, listings: list[Listing]) -> None:
        """Read the whole lines of a watch; an empty one says only that the agent is there."""
        if len(self.text) > LONGEST_LINE:
            raise DiscoveryError("a line without end")
        if not self.watching:
            return
        *whole, rest = bytes(self.text).split(b"\n")
        self.text = bytearray(rest)
        for line in whole:
            self.heard += 1
            if line.strip():
                listings.append(parse(line))
                self.seq = listings[-1].seq

    def ended(self, listings: list[Listing]) -> bytes:
        """The answer is whole: after the list comes the watch, on the same connection if it is kept."""
        if self.watching:
            raise DiscoveryError("the watch ended")
        listings.append(parse(bytes(self.text)))
        self.seq, self.heard = listings[-1].seq, self.heard + 1
        if self.machine.our_state is not h11.DONE or self.machine.their_state is not h11.DONE:
            return b""  # it closes; the next connection watches
        self.machine.start_next_cycle()
        return self.start()
