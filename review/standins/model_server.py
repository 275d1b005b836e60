"""A model server: registers by heartbeats, answers with a stream of events, and records what it runs.

A process of its own: python3 -m review.standins.model_server FILE, with the options as JSON. It prints a line
for what it runs: seconds of the monotonic clock, then what.

Options: id, service, zone, port, controls, events, pause_s; framing: chunked, or close (no length: the answer
ends with its connection); halves: whether it writes the second half of an event half a pause after the first.
"""

import asyncio
import contextlib
import http.client
import itertools
import json
import sys
import time
from pathlib import Path
from typing import Any

HEARTBEAT_S = 1.2
HOST = "127.0.0.1"


class ModelServer:
    """One server."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.id = str(options["id"])
        self._sequence = itertools.count(1)
        self._control = 0

    async def run(self) -> None:
        """Serve until the process is ended."""
        server = await asyncio.start_server(self._serve, HOST, int(self.options["port"]))
        async with server:
            while True:
                acknowledged = await asyncio.to_thread(self._beat)
                if acknowledged:
                    say("heartbeat acknowledged")
                await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.2)

    def _beat(self) -> bool:
        controls = self.options["controls"]
        fields = {
            "Service": self.options["service"],
            "Address": f"{HOST}:{self.options['port']}",
            "Zone": self.options["zone"],
            "Generation": "v1",
            "Slots": 48,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Stage": "dual",
            "Models": [{"Name": "m", "Generation": 1, "Adapters": []}],
            "Sequence": next(self._sequence),
        }
        connection = http.client.HTTPConnection(controls[self._control % len(controls)], timeout=1.0)
        try:
            path = f"/-/Instances.Heartbeat/{self.id}"
            connection.request("POST", path, json.dumps(fields), {"Content-Type": "application/json"})
            if connection.getresponse().status == 200:
                return True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self._control += 1
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("x-brackenusher-request-id", "")
        base = f"X-Brackenusher-Request-Id: {request_id}\r\n"
        if headers.get("x-brackenusher-expect-instance", self.id) != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{base}Content-Length: 0\r\n\r\n".encode())
            return True
        last = headers.get("last-event-id", "")
        say(f"runs {request_id} {lines[0].split(' ')[1]}" + (f" after event {last}" if last else ""))
        return await self._stream(request_id, base, int(last or 0), reader, writer)

    async def _stream(
        self,
        request_id: str,
        base: str,
        last: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        chunked = self.options["framing"] == "chunked"
        base += f"X-Brackenusher-Response-Stamp: {self.id}.{request_id}\r\n"
        base += "Content-Type: text/event-stream\r\n"
        base += "Transfer-Encoding: chunked\r\n" if chunked else "Connection: close\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{base}\r\n".encode())
        count, began = int(self.options["events"]), time.monotonic()
        for number in range(last + 1, count + 1):
            event = f"id: {number}\ndata: part {number} of {count} of {request_id}\n\n".encode()
            step_s = float(self.options["pause_s"])
            if self.options["halves"]:
                half = event[: len(event) // 2]
                event = event[len(half) :]
                writer.write(b"%x\r\n%s\r\n" % (len(half), half) if chunked else half)
                await writer.drain()
                await asyncio.sleep(max(0.0, began + (number - last - 0.5) * step_s - time.monotonic()))
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if chunked else event)
            await writer.drain()
            await asyncio.sleep(max(0.0, began + (number - last) * step_s - time.monotonic()))
            if reader.at_eof() or writer.is_closing():
                say(f"cut {request_id} after event {number} of {count}: the caller closed")
                return False
        if chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        say(f"done {request_id} {count} events")
        return chunked


def say(what: str) -> None:
    """Print a line."""
    print(f"{time.monotonic():.3f} {what}", flush=True)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(ModelServer(json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))).run())
