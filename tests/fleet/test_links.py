"""Links over loopback sockets: Hello, loss of a peer, unexpected peers, invalid frames."""

import asyncio
import random
import socket
import unittest
from collections.abc import Awaitable, Callable

import betterproto

from brackenusher.cluster import messages
from brackenusher.cluster.frames import FrameDecoder, FrameError, decode_message, encode_frame
from brackenusher.cluster.links import MAX_CONNECT_TIMEOUT_S, LinkConnection, Links
from tests.fleet.virtual_time import VirtualTimeLoop


def free_address() -> str:
    """Returns a loopback address without a listener."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Recorder:
    """Records the messages and link changes of a process, and lets a test wait for them."""

    def __init__(self, links: Links) -> None:
        self.links = links
        self.messages: asyncio.Queue[tuple[str, betterproto.Message]] = asyncio.Queue()
        self.changes: asyncio.Queue[tuple[str, messages.Hello | None]] = asyncio.Queue()
        links.on_message(messages.ConfigFetch, lambda peer, m: self.messages.put_nowait((peer, m)))
        links.on_change(lambda peer, hello: self.changes.put_nowait((peer, hello)))


async def start_links(role: str, address: str = "") -> Recorder:
    links = Links(messages.Hello(address=address or free_address(), role=role, incarnation=7))
    recorder = Recorder(links)
    await links.start()
    return recorder


class LinksTest(unittest.TestCase):
    """Links between two processes."""

    def run_with_timeout(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def with_timeout() -> None:
            await asyncio.wait_for(scenario(), 20.0)

        asyncio.run(with_timeout())

    def test_both_sides_get_a_hello_and_can_send(self) -> None:
        async def scenario() -> None:
            control, proxy = await start_links("control"), await start_links("proxy")
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

        self.run_with_timeout(scenario)

    def test_stopped_peer_is_reported_and_restarted_peer_is_reconnected(self) -> None:
        async def scenario() -> None:
            control, proxy = await start_links("control"), await start_links("proxy")
            address = control.links.own.address
            proxy.links.connect(address)
            await proxy.changes.get()
            await control.links.stop()
            self.assertEqual(await proxy.changes.get(), (address, None))
            self.assertFalse(proxy.links.send(address, messages.ConfigFetch()))
            again = await start_links("control", address)
            self.assertEqual((await proxy.changes.get())[0], address)
            await again.links.stop()
            await proxy.links.stop()

        self.run_with_timeout(scenario)

    def test_hello_with_unexpected_address_is_rejected(self) -> None:
        async def scenario() -> None:
            stranger, proxy = await start_links("control"), await start_links("proxy")
            listener = stranger.links.own.address
            stranger.links.own = messages.Hello(address="127.0.0.1:1", role="control")
            proxy.links.connect(listener)
            self.assertIsNotNone((await stranger.changes.get())[1])
            self.assertIsNone((await stranger.changes.get())[1])
            self.assertEqual(proxy.links.connected(), {})
            await stranger.links.stop()
            await proxy.links.stop()

        self.run_with_timeout(scenario)

    def test_invalid_frame_closes_the_link(self) -> None:
        async def scenario() -> None:
            control = await start_links("control")
            host, _, port = control.links.own.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            while await reader.read(4096):
                pass
            self.assertEqual(control.links.connected(), {})
            writer.close()
            await control.links.stop()

        self.run_with_timeout(scenario)

    def test_messages_before_the_greeting_are_not_heard(self) -> None:
        async def scenario() -> None:
            control = await start_links("control")
            host, _, port = control.links.own.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_frame(messages.ConfigFetch(have_version=9)))
            while await reader.read(4096):
                pass
            self.assertTrue(control.messages.empty())
            writer.close()
            await control.links.stop()

        self.run_with_timeout(scenario)

    def test_handler_exception_does_not_close_the_link(self) -> None:
        async def scenario() -> None:
            control, proxy = await start_links("control"), await start_links("proxy")

            def fail(peer: str, message: betterproto.Message) -> None:
                raise ValueError("raised by the handler")

            control.links.on_message(messages.ConfigOffer, fail)
            proxy.links.connect(control.links.own.address)
            await proxy.changes.get()
            with self.assertLogs("brackenusher.cluster.links", "ERROR"):
                proxy.links.send(control.links.own.address, messages.ConfigOffer(version=1))
                proxy.links.send(control.links.own.address, messages.ConfigFetch(have_version=2))
                await control.messages.get()
            await control.links.stop()
            await proxy.links.stop()

        self.run_with_timeout(scenario)


class UnresponsivePeerLinks(Links):
    """Links to a peer whose machine is down until a given time: connects time out."""

    up_at = 0.0
    attempts: list[tuple[float, float]]

    async def _connect_once(self, address: str, timeout_s: float) -> LinkConnection | None:
        self.attempts.append((self.loop.time(), timeout_s))
        if self.loop.time() < self.up_at:
            await asyncio.sleep(timeout_s)
            return None
        raise asyncio.CancelledError


class ReconnectTest(unittest.TestCase):
    """How soon a peer that was down is reached, in virtual time."""

    def connect_delay(self, down_s: float) -> tuple[float, list[tuple[float, float]]]:
        loop = VirtualTimeLoop()
        try:
            return loop.run_until_complete(self.measure(loop, down_s))
        finally:
            loop.close()

    async def measure(self, loop: VirtualTimeLoop, down_s: float) -> tuple[float, list[tuple[float, float]]]:
        links = UnresponsivePeerLinks(messages.Hello(address="127.0.0.1:1", role="proxy"), random.Random(3))
        links.up_at, links.attempts = loop.time() + down_s, []
        links.connect("127.0.0.1:2")
        await asyncio.sleep(down_s + 5.0)
        return links.attempts[-1][0] - links.up_at, links.attempts

    def test_peer_that_boots_during_the_first_attempt_is_reached_quickly(self) -> None:
        after, _ = self.connect_delay(0.05)
        self.assertLess(after, 0.3)

    def test_reconnect_interval_grows_for_a_peer_that_stays_down(self) -> None:
        after, calls = self.connect_delay(60.0)
        self.assertLess(after, 2.3)
        late = [at for at, _ in calls if at > calls[0][0] + 30.0]
        self.assertLess(len(late), 30)
        self.assertEqual(max(timeout for _, timeout in calls), MAX_CONNECT_TIMEOUT_S)


class FramesTest(unittest.TestCase):
    """Encoding and decoding of frames."""

    def test_frames_split_at_any_byte_decode_the_same(self) -> None:
        sent = [messages.ConfigOffer(version=5, confirmed=True), messages.Members(voters=["a:1", "b:2"])]
        data = b"".join(encode_frame(message) for message in sent)
        for split_at in range(len(data) + 1):
            reader = FrameDecoder()
            self.assertEqual([*reader.feed(data[:split_at]), *reader.feed(data[split_at:])], sent)

    def test_unknown_kind_is_an_error_with_a_remedy(self) -> None:
        with self.assertRaisesRegex(FrameError, "newer release"):
            decode_message(200, b"")

    def test_corrupt_bytes_are_an_error(self) -> None:
        with self.assertRaises(FrameError):
            decode_message(0, b"\xff\xff\xff\xff")

    def test_oversized_length_is_rejected_before_the_body_is_buffered(self) -> None:
        with self.assertRaises(FrameError):
            list(FrameDecoder().feed(b"\xff\xff\xff\xff\x00"))
