"""Streams of events through the data plane: passed on at once, in whole events, continued elsewhere."""

import asyncio

from barleybarrow.routing.actions import Outcome
from tests.fleet.data_plane_support import (
    DataPlaneTest,
    SeenRequest,
    chunk,
    event,
    request_bytes,
    stream_head,
)


async def three_events(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    """A whole stream."""
    writer.write(stream_head(request) + b"".join(chunk(event(number)) for number in (1, 2, 3)) + chunk(b""))


class Passing(DataPlaneTest):
    async def test_a_whole_stream_arrives_whole(self) -> None:
        await self.serve(three_events)
        reply = await self.ask(request_bytes("/stream/x"))
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertEqual(reply.body, event(1) + event(2) + event(3))
        kinds = [entry[0] for entry in self.dispatcher.told]
        self.assertEqual(kinds[:4], ["arrived", "first_event", "event", "event"])
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.SERVED])

    async def test_each_event_is_passed_on_before_the_next_is_made(self) -> None:
        gate = asyncio.Event()

        async def slow(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request) + chunk(event(1)))
            await gate.wait()
            writer.write(chunk(event(2)) + chunk(b""))

        await self.serve(slow)
        client = await self.client()
        client.send(request_bytes("/stream/x"))
        await client.head()
        self.assertEqual(await client.chunk(), event(1))
        gate.set()
        self.assertEqual(await client.chunk(), event(2))
        self.assertEqual(await client.chunk(), b"")
