"""The path of a plain request through the data plane, on loopback."""

import asyncio

from barleybarrow.documents import ClientLimits, Tenant
from barleybarrow.routing.actions import Outcome
from tests.fleet.data_plane_support import (
    PATIENCE_S,
    DataPlaneTest,
    SeenRequest,
    answer,
    configuration,
    rejection,
    request_bytes,
)

TENANTS = [Tenant("kaje80", ["key-1"])]


async def hello(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    """Answer with a greeting and the request's body."""
    writer.write(answer(request, b"hello " + request.body))


class WholePath(DataPlaneTest):
    async def test_a_request_reaches_its_server_and_its_answer_the_client(self) -> None:
        (upstream,) = await self.serve(hello)
        reply = await self.ask(request_bytes("/safe/a%20b;c=1?q=%2F..&x", body=b"body"))
        self.assertEqual((reply.status, reply.body, reply.whole), (200, b"hello body", True))
        self.assertEqual(reply.headers["x-brackenusher-response-stamp"], "stamp-1")
        self.assertEqual(reply.headers["x-brackenusher-request-id"], "a1")
        self.assertEqual(upstream.seen[0].line, "POST /safe/a%20b;c=1?q=%2F..&x HTTP/1.1")
        self.assertEqual(upstream.seen[0].headers["x-brackenusher-expect-instance"], "s0")
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.SERVED])

    async def test_before_a_configuration_the_client_is_told_to_come_back(self) -> None:
        reply = await self.ask(request_bytes())
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0)

    async def test_a_path_without_a_route_is_answered_with_404(self) -> None:
        (upstream,) = await self.serve(hello)
        reply = await self.ask(request_bytes("/elsewhere/x"))
        self.assertEqual((reply.status, upstream.seen), (404, []))

    async def test_nobody_is_denied_by_a_configuration_that_may_be_old(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        self.proxy._configuration_is_current = lambda: False
        known = "Api-Key: key-1\r\n"
        for path, extra in (("/elsewhere/x", known), ("/safe/x", ""), ("/safe/x", "Api-Key: key-2\r\n")):
            reply = await self.ask(request_bytes(path, extra=extra))
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["retry-after"]), 0)
        self.assertEqual(upstream.seen, [])
        self.assertEqual((await self.ask(request_bytes(extra=known))).status, 200)

    async def test_connections_are_used_again_on_both_sides(self) -> None:
        (upstream,) = await self.serve(hello)
        client = await self.client()
        for number in range(3):
            client.send(request_bytes(request_id=f"r{number}"))
            self.assertEqual((await client.reply()).status, 200)
        self.assertEqual((upstream.connections, len(upstream.seen)), (1, 3))

    async def test_a_chunked_body_reaches_the_server_whole(self) -> None:
        (upstream,) = await self.serve(hello)
        head = request_bytes().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        reply = await self.ask(head + b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
        self.assertEqual((reply.status, upstream.seen[0].body), (200, b"abcdefg"))

    async def test_a_rejected_request_goes_to_the_next_server(self) -> None:
        async def full(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(rejection(extra=b"Retry-After: 0.5\r\n"))

        await self.serve(full, hello)
        reply = await self.ask(request_bytes("/unsafe/x"))
        self.assertEqual(reply.status, 200)
        self.assertIn(("rejected", "s0", 503, 500.0), self.dispatcher.told)


class Keys(DataPlaneTest):
    async def test_an_unknown_key_is_answered_with_401(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        for extra in ("", "Api-Key: key-2\r\n"):
            self.assertEqual((await self.ask(request_bytes(extra=extra))).status, 401)
        self.assertEqual(upstream.seen, [])

    async def test_the_server_sees_the_tenant_and_never_the_key(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        reply = await self.ask(request_bytes(extra="Api-Key: key-1\r\nX-Brackenusher-Tenant-Id: other\r\n"))
        self.assertEqual(reply.status, 200)
        self.assertEqual(upstream.seen[0].headers["x-brackenusher-tenant-id"], "kaje80")
        self.assertNotIn("api-key", upstream.seen[0].headers)

    async def test_without_a_lease_keys_are_answered_with_503_and_never_with_401(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        self.proxy._keys_valid = lambda: False
        reply = await self.ask(request_bytes(extra="Api-Key: key-1\r\n"))
        self.assertEqual((reply.status, upstream.seen), (503, []))
        self.assertGreater(float(reply.headers["retry-after"]), 0)
        self.assertEqual((await self.ask(request_bytes("/public/x"))).status, 200)

    async def test_a_lease_that_ends_while_the_body_is_read_counts(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        head_was_checked = asyncio.Event()
        self.proxy._keys_valid = lambda: head_was_checked.set() or True
        client = await self.client()
        whole = request_bytes(body=b"x" * 2000, extra="Api-Key: key-1\r\n")
        client.send(whole[:-1000])
        async with asyncio.timeout(PATIENCE_S):
            await head_was_checked.wait()
        self.proxy._keys_valid = lambda: False
        client.send(whole[-1000:])
        async with asyncio.timeout(PATIENCE_S):
            reply = await client.reply()
        self.assertEqual((reply.status, upstream.seen), (503, []))

    async def test_a_public_route_needs_no_key(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        reply = await self.ask(request_bytes("/public/x", extra="X-Brackenusher-Tenant-Id: other\r\n"))
        self.assertEqual(reply.status, 200)
        self.assertNotIn("x-brackenusher-tenant-id", upstream.seen[0].headers)

    async def test_without_tenants_nobody_needs_a_key(self) -> None:
        await self.serve(hello)
        self.assertEqual((await self.ask(request_bytes(extra="Api-Key: any\r\n"))).status, 200)

    async def test_what_is_beyond_the_quota_is_told_when_to_come_back(self) -> None:
        (upstream,) = await self.serve(
            hello, tenants=[Tenant("t", ["k"], unit="token_rate", plain_tokens=200)]
        )
        self.limits.room = 1740
        extra = "Api-Key: k\r\n"
        first = await self.ask(request_bytes(extra=extra + "X-Brackenusher-Token-Counts: 1460,80\r\n"))
        second = await self.ask(request_bytes(extra=extra))
        third = await self.ask(request_bytes(extra=extra))
        self.assertEqual((first.status, second.status, third.status), (200, 200, 429))
        self.assertEqual(third.headers["retry-after"], "0.750")
        self.assertEqual((self.limits.costs, len(upstream.seen)), ([1540, 200, 200], 2))


class ClientLimitsHold(DataPlaneTest):
    async def test_a_body_beyond_the_limit_is_answered_with_413(self) -> None:
        self.proxy.configure(configuration(limits=ClientLimits(max_body_bytes=10)))
        self.assertEqual((await self.ask(request_bytes(body=b"x" * 11))).status, 413)

    async def test_a_head_beyond_the_limit_is_answered_with_431(self) -> None:
        self.proxy.configure(configuration(limits=ClientLimits(max_header_bytes=500)))
        self.assertEqual((await self.ask(request_bytes(extra="X: " + "y" * 9000 + "\r\n"))).status, 431)

    async def test_two_framings_of_one_body_are_answered_with_400(self) -> None:
        (upstream,) = await self.serve(hello)
        reply = await self.ask(request_bytes(extra="Transfer-Encoding: chunked\r\n", body=b"0\r\n\r\n"))
        self.assertEqual((reply.status, reply.headers["connection"], upstream.seen), (400, "close", []))


class BeforeAConfiguration(DataPlaneTest):
    """A proxy that has just started refuses, and says when it is likely to serve."""

    async def retry_after_s(self) -> float:
        reply = await self.ask(request_bytes())
        self.assertEqual(reply.status, 503)
        return float(reply.headers["retry-after"])

    async def test_at_the_start_clients_come_back_once_all_have_started(self) -> None:
        waits = [await self.retry_after_s() for _ in range(8)]
        self.assertGreaterEqual(min(waits), 0.5)
        self.assertLessEqual(max(waits), 0.85)
        self.assertGreater(len(set(waits)), 1)

    async def test_later_they_come_back_after_half_a_second(self) -> None:
        self.advance(2.0)
        wait = await self.retry_after_s()
        self.assertTrue(0.5 <= wait <= 0.65, wait)
