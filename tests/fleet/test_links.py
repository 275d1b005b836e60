"""Links between processes, over loopback sockets: greeting, loss of a peer, strangers, damaged frames."""

import asyncio
import random
import socket
import unittest
from collections.abc import Awaitable, Callable

import betterproto

from brackenusher.cluster import messages
from brackenusher.cluster.frames import FrameError, FrameReader, decode_message, encode_frame
from brackenusher.cluster.links import MAX_CONNECT_TIMEOUT_S, LinkConnection, Links
from tests.fleet.virtual_time import VirtualLoop


def free_address() -> str:
    """An address of loopback that nobody listens at."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Recorder:
    """Collects what a process is told, and lets a test wait for it."""

    def __init__(self, links: Links) -> None:
        self.links = links
        self.messages: asyncio.Queue[tuple[str, betterproto.Message]] = asyncio.Queue()
        self.changes: asyncio.Queue[tuple[str, messages.Hello | None]] = asyncio.Queue()
        links.on_message(messages.ConfigFetch, lambda peer, m: self.messages.put_nowait((peer, m)))
        links.on_change(lambda peer, hello: self.changes.put_nowait((peer, hello)))


async def opened(role: str, address: str = "") -> Recorder:
    links = Links(messages.Hello(address=address or free_address(), role=role, incarnation=7))
    recorder = Recorder(links)
    await links.start()
    return recorder


class LinksTest(unittest.TestCase):
    """Two processes and a listener between them."""

    def play(self, story: Callable[[], Awaitable[None]]) -> None:
        async def bounded() -> None:
            await asyncio.wait_for(story(), 20.0)

        asyncio.run(bounded())

    def test_both_sides_learn_who_the_other_is_and_can_send(self) -> None:
        async def story() -> None:
            control, proxy = await opened("control"), await opened("proxy")
            proxy.links.connect(control.links.own.address)
            peer, hello = await control.changes.get()
            self.assertEqual((peer, hello and hello.role), (proxy.links.own.address, "proxy"))
            await proxy.changes.get()
            self.assertTrue(proxy.links.send(control.links.own.address, messages.ConfigFetch(have_version=3)))
            sender, message = await control.messages.get()
            self.assertEqual((sender, message), (peer, messages.ConfigFetch(have_version=3)))
            self.assertTrue(control.links.send(peer, messages.ConfigFetch(have_version=4)))
            self.assertEqual((await proxy.messages.get())[1], messages.ConfigFetch(have_version=4))
            await control.links.stop()
            await proxy.links.stop()

        self.play(story)

    def test_a_peer_that_ends_is_told_and_one_that_comes_back_is_found(self) -> None:
        async def story() -> None:
            control, proxy = await opened("control"), await opened("proxy")
            address = control.links.own.address
            proxy.links.connect(address)
            await proxy.changes.get()
            await control.links.stop()
            self.assertEqual(await proxy.changes.get(), (address, None))
            self.assertFalse(proxy.links.send(address, messages.ConfigFetch()))
            again = await opened("control", address)
            self.assertEqual((await proxy.changes.get())[0], address)
            await again.links.stop()
            await proxy.links.stop()

        self.play(story)

    def test_a_peer_under_another_name_is_turned_away(self) -> None:
        async def story() -> None:
            stranger, proxy = await opened("control"), await opened("proxy")
            listener = stranger.links.own.address
            stranger.links.own = messages.Hello(address="127.0.0.1:1", role="control")
            proxy.links.connect(listener)
            self.assertIsNotNone((await stranger.changes.get())[1])
            self.assertIsNone((await stranger.changes.get())[1])
            self.assertEqual(proxy.links.connected(), {})
            await stranger.links.stop()
            await proxy.links.stop()

        self.play(story)

    def test_bytes_that_are_no_frames_end_the_link(self) -> None:
        async def story() -> None:
            control = await opened("control")
            host, _, port = control.links.own.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            while await reader.read(4096):
                pass
            self.assertEqual(control.links.connected(), {})
            writer.close()
            await control.links.stop()

        self.play(story)

    def test_messages_before_the_greeting_are_not_heard(self) -> None:
        async def story() -> None:
            control = await opened("control")
            host, _, port = control.links.own.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_frame(messages.ConfigFetch(have_version=9)))
            while await reader.read(4096):
                pass
            self.assertTrue(control.messages.empty())
            writer.close()
            await control.links.stop()

        self.play(story)

    def test_a_failing_handler_does_not_end_the_link(self) -> None:
        async def story() -> None:
            control, proxy = await opened("control"), await opened("proxy")

            def fail(peer: str, message: betterproto.Message) -> None:
                raise ValueError("a fault of this handler")

            control.links.on_message(messages.ConfigOffer, fail)
            proxy.links.connect(control.links.own.address)
            await proxy.changes.get()
            with self.assertLogs("brackenusher.cluster.links", "ERROR"):
                proxy.links.send(control.links.own.address, messages.ConfigOffer(version=1))
                proxy.links.send(control.links.own.address, messages.ConfigFetch(have_version=2))
                await control.messages.get()
            await control.links.stop()
            await proxy.links.stop()

        self.play(story)


class SilentPeerLinks(Links):
    """Links whose peer's machine is down until a time: it says nothing to whoever calls."""

    up_at = 0.0
    calls: list[tuple[float, float]]

    async def _connect_once(self, address: str, timeout_s: float) -> LinkConnection | None:
        self.calls.append((self.loop.time(), timeout_s))
        if self.loop.time() < self.up_at:
            await asyncio.sleep(timeout_s)
            return None
        raise asyncio.CancelledError


class PeerThatIsDownTest(unittest.TestCase):
    """How soon a peer is found whose machine comes up, in virtual time."""

    def found_after(self, down_s: float) -> tuple[float, list[tuple[float, float]]]:
        loop = VirtualLoop()
        try:
            return loop.run_until_complete(self.call(loop, down_s))
        finally:
            loop.close()

    async def call(self, loop: VirtualLoop, down_s: float) -> tuple[float, list[tuple[float, float]]]:
        links = SilentPeerLinks(messages.Hello(address="127.0.0.1:1", role="proxy"), random.Random(3))
        links.up_at, links.calls = loop.time() + down_s, []
        links.connect("127.0.0.1:2")
        await asyncio.sleep(down_s + 5.0)
        return links.calls[-1][0] - links.up_at, links.calls

    def test_one_that_comes_up_just_after_the_call_is_found_at_once(self) -> None:
        after, _ = self.found_after(0.05)
        self.assertLess(after, 0.3)

    def test_one_that_is_away_for_long_is_called_less_often(self) -> None:
        after, calls = self.found_after(60.0)
        self.assertLess(after, 2.3)
        late = [at for at, _ in calls if at > calls[0][0] + 30.0]
        self.assertLess(len(late), 30)
        self.assertEqual(max(timeout for _, timeout in calls), MAX_CONNECT_TIMEOUT_S)


class FramesTest(unittest.TestCase):
    """Bytes to messages and back."""

    def test_frames_cut_anywhere_are_read_alike(self) -> None:
        sent = [messages.ConfigOffer(version=5, confirmed=True), messages.Members(voters=["a:1", "b:2"])]
        data = b"".join(encode_frame(message) for message in sent)
        for cut in range(len(data) + 1):
            reader = FrameReader()
            self.assertEqual([*reader.feed(data[:cut]), *reader.feed(data[cut:])], sent)

    def test_an_unknown_kind_is_an_error_with_a_remedy(self) -> None:
        with self.assertRaisesRegex(FrameError, "newer release"):
            decode_message(200, b"")

    def test_damaged_bytes_are_an_error(self) -> None:
        with self.assertRaises(FrameError):
            decode_message(0, b"\xff\xff\xff\xff")

    def test_a_frame_that_claims_to_be_huge_is_an_error_before_it_is_collected(self) -> None:
        with self.assertRaises(FrameError):
            list(FrameReader().feed(b"\xff\xff\xff\xff\x00"))
