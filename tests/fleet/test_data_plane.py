"""Plain requests through the data plane on loopback: routing, API keys, quotas and client limits."""

import asyncio

from barleybarrow.documents import ClientLimits, Tenant
from barleybarrow.routing.actions import Outcome
from tests.fleet.data_plane_support import (
    TEST_TIMEOUT_S,
    DataPlaneTest,
    ReceivedRequest,
    configuration,
    not_executed_response,
    request_bytes,
    response,
)

TENANTS = [Tenant("kaje80", ["key-1"])]


async def hello(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with a greeting and the request's body."""
    writer.write(response(request, b"hello " + request.body))


class RequestPath(DataPlaneTest):
    async def test_request_reaches_server_and_response_reaches_client(self) -> None:
        (upstream,) = await self.start_servers(hello)
        reply = await self.fetch(request_bytes("/safe/a%20b;c=1?q=%2F..&x", body=b"body"))
        self.assertEqual((reply.status, reply.body, reply.complete), (200, b"hello body", True))
        self.assertEqual(reply.headers["x-brackenusher-response-stamp"], "stamp-1")
        self.assertEqual(reply.headers["x-brackenusher-request-id"], "a1")
        self.assertEqual(upstream.received[0].line, "POST /safe/a%20b;c=1?q=%2F..&x HTTP/1.1")
        self.assertEqual(upstream.received[0].headers["x-brackenusher-expect-instance"], "s0")
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.SERVED])

    async def test_request_before_a_configuration_gets_503_with_retry_after(self) -> None:
        reply = await self.fetch(request_bytes())
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0)

    async def test_unrouted_path_gets_404(self) -> None:
        (upstream,) = await self.start_servers(hello)
        reply = await self.fetch(request_bytes("/elsewhere/x"))
        self.assertEqual((reply.status, upstream.received), (404, []))

    async def test_outdated_configuration_denies_with_503_not_404_or_401(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        self.proxy._configuration_is_current = lambda: False
        known = "Api-Key: key-1\r\n"
        for path, extra in (("/elsewhere/x", known), ("/safe/x", ""), ("/safe/x", "Api-Key: key-2\r\n")):
            reply = await self.fetch(request_bytes(path, extra=extra))
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["retry-after"]), 0)
        self.assertEqual(upstream.received, [])
        self.assertEqual((await self.fetch(request_bytes(extra=known))).status, 200)

    async def test_connections_are_reused_downstream_and_upstream(self) -> None:
        (upstream,) = await self.start_servers(hello)
        client = await self.client()
        for number in range(3):
            client.send(request_bytes(request_id=f"r{number}"))
            self.assertEqual((await client.response()).status, 200)
        self.assertEqual((upstream.connections, len(upstream.received)), (1, 3))

    async def test_chunked_body_reaches_server_complete(self) -> None:
        (upstream,) = await self.start_servers(hello)
        head = request_bytes().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        reply = await self.fetch(head + b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
        self.assertEqual((reply.status, upstream.received[0].body), (200, b"abcdefg"))

    async def test_not_executed_request_is_sent_to_next_server(self) -> None:
        async def full(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(not_executed_response(extra=b"Retry-After: 0.5\r\n"))

        await self.start_servers(full, hello)
        reply = await self.fetch(request_bytes("/unsafe/x"))
        self.assertEqual(reply.status, 200)
        self.assertIn(("rejected", "s0", 503, 500.0), self.dispatcher.calls)


class ApiKeys(DataPlaneTest):
    async def test_unknown_key_gets_401(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        for extra in ("", "Api-Key: key-2\r\n"):
            self.assertEqual((await self.fetch(request_bytes(extra=extra))).status, 401)
        self.assertEqual(upstream.received, [])

    async def test_server_gets_tenant_id_but_never_the_key(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        reply = await self.fetch(request_bytes(extra="Api-Key: key-1\r\nX-Brackenusher-Tenant-Id: other\r\n"))
        self.assertEqual(reply.status, 200)
        self.assertEqual(upstream.received[0].headers["x-brackenusher-tenant-id"], "kaje80")
        self.assertNotIn("api-key", upstream.received[0].headers)

    async def test_expired_key_lease_gets_503_not_401(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        self.proxy._keys_valid = lambda: False
        reply = await self.fetch(request_bytes(extra="Api-Key: key-1\r\n"))
        self.assertEqual((reply.status, upstream.received), (503, []))
        self.assertGreater(float(reply.headers["retry-after"]), 0)
        self.assertEqual((await self.fetch(request_bytes("/public/x"))).status, 200)

    async def test_key_lease_that_expires_during_the_body_gets_503(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        head_was_checked = asyncio.Event()
        self.proxy._keys_valid = lambda: head_was_checked.set() or True
        client = await self.client()
        whole = request_bytes(body=b"x" * 2000, extra="Api-Key: key-1\r\n")
        client.send(whole[:-1000])
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await head_was_checked.wait()
        self.proxy._keys_valid = lambda: False
        client.send(whole[-1000:])
        async with asyncio.timeout(TEST_TIMEOUT_S):
            reply = await client.response()
        self.assertEqual((reply.status, upstream.received), (503, []))

    async def test_public_route_needs_no_key(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        reply = await self.fetch(request_bytes("/public/x", extra="X-Brackenusher-Tenant-Id: other\r\n"))
        self.assertEqual(reply.status, 200)
        self.assertNotIn("x-brackenusher-tenant-id", upstream.received[0].headers)

    async def test_no_key_needed_without_tenants(self) -> None:
        await self.start_servers(hello)
        self.assertEqual((await self.fetch(request_bytes(extra="Api-Key: any\r\n"))).status, 200)

    async def test_request_over_quota_gets_429_with_retry_after(self) -> None:
        (upstream,) = await self.start_servers(
            hello, tenants=[Tenant("t", ["k"], unit="token_rate", plain_tokens=200)]
        )
        self.limits.remaining_quota = 1740
        extra = "Api-Key: k\r\n"
        first = await self.fetch(request_bytes(extra=extra + "X-Brackenusher-Token-Counts: 1460,80\r\n"))
        second = await self.fetch(request_bytes(extra=extra))
        third = await self.fetch(request_bytes(extra=extra))
        self.assertEqual((first.status, second.status, third.status), (200, 200, 429))
        self.assertEqual(third.headers["retry-after"], "0.750")
        self.assertEqual((self.limits.costs, len(upstream.received)), ([1540, 200, 200], 2))


class ClientLimitsEnforced(DataPlaneTest):
    async def test_body_over_limit_gets_413(self) -> None:
        self.proxy.configure(configuration(limits=ClientLimits(max_body_bytes=10)))
        self.assertEqual((await self.fetch(request_bytes(body=b"x" * 11))).status, 413)

    async def test_head_over_limit_gets_431(self) -> None:
        self.proxy.configure(configuration(limits=ClientLimits(max_header_bytes=500)))
        self.assertEqual((await self.fetch(request_bytes(extra="X: " + "y" * 9000 + "\r\n"))).status, 431)

    async def test_conflicting_body_framing_gets_400(self) -> None:
        (upstream,) = await self.start_servers(hello)
        reply = await self.fetch(request_bytes(extra="Transfer-Encoding: chunked\r\n", body=b"0\r\n\r\n"))
        self.assertEqual((reply.status, reply.headers["connection"], upstream.received), (400, "close", []))


class StartupRetryAfter(DataPlaneTest):
    """A proxy without a configuration refuses requests with an estimate of when it will serve."""

    async def retry_after_s(self) -> float:
        reply = await self.fetch(request_bytes())
        self.assertEqual(reply.status, 503)
        return float(reply.headers["retry-after"])

    async def test_retry_after_at_startup_covers_startup_time_with_jitter(self) -> None:
        delays = [await self.retry_after_s() for _ in range(8)]
        self.assertGreaterEqual(min(delays), 0.5)
        self.assertLessEqual(max(delays), 0.85)
        self.assertGreater(len(set(delays)), 1)

    async def test_retry_after_later_is_half_a_second(self) -> None:
        self.advance(2.0)
        delay = await self.retry_after_s()
        self.assertTrue(0.5 <= delay <= 0.65, delay)
