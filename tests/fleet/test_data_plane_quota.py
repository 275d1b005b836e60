"""Requests whose quota is decided by another process: they wait, and are sent or refused by its verdict."""

import asyncio

from barleybarrow.documents import Tenant
from brackenusher.runtime.request_journal import RequestJournal
from tests.fleet.data_plane_support import TEST_TIMEOUT_S, DataPlaneTest, hello, request_bytes

TENANTS = [Tenant("kaje80", ["key-1"])]
REQUEST = request_bytes("/safe/x", extra="Api-Key: key-1\r\n")
SHORT_DEADLINE_REQUEST = request_bytes(
    "/safe/x", extra="Api-Key: key-1\r\nX-Brackenusher-Deadline-Ms: 30\r\n"
)


class RemoteQuota(DataPlaneTest):
    """The quota check returns a future that the test resolves."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.quota_checks: asyncio.Queue[asyncio.Future[bool]] = asyncio.Queue()
        self.journal = RequestJournal(asyncio.get_running_loop().time)
        self.proxy._check_quota = self.check_quota
        self.proxy._journal = self.journal

    def check_quota(self, tenant: Tenant, cost: float) -> asyncio.Future[bool]:
        verdict = asyncio.get_running_loop().create_future()
        self.quota_checks.put_nowait(verdict)
        return verdict

    async def next_quota_check(self) -> asyncio.Future[bool]:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self.quota_checks.get()

    async def test_request_is_sent_only_after_admission(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        reply = asyncio.ensure_future(self.fetch(REQUEST))
        verdict = await self.next_quota_check()
        self.assertEqual(upstream.received, [])
        verdict.set_result(True)
        self.assertEqual(((await reply).status, len(upstream.received)), (200, 1))

    async def test_refused_request_gets_429_unsent(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        reply = asyncio.ensure_future(self.fetch(REQUEST))
        (await self.next_quota_check()).set_result(False)
        response = await reply
        self.assertEqual((response.status, upstream.received), (429, []))
        self.assertEqual(float(response.headers["retry-after"]), 0.75)

    async def test_client_disconnect_cancels_quota_check(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        client = await self.client()
        client.send(REQUEST)
        verdict = await self.next_quota_check()
        client.close()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with self.assertRaises(asyncio.CancelledError):
                await verdict
        self.assertEqual((upstream.received, self.proxy.in_flight()), ([], 0))

    async def test_deadline_before_verdict_gets_503_once(self) -> None:
        (upstream,) = await self.start_servers(hello, tenants=TENANTS)
        reply = asyncio.ensure_future(self.fetch(SHORT_DEADLINE_REQUEST))
        verdict = await self.next_quota_check()
        self.assertEqual((await reply).status, 503)
        self.assertTrue(verdict.cancelled())
        self.assertEqual(upstream.received, [])

    async def test_explain_lists_events_of_a_request(self) -> None:
        await self.start_servers(hello, tenants=TENANTS)
        reply = asyncio.ensure_future(self.fetch(REQUEST))
        (await self.next_quota_check()).set_result(True)
        await reply
        rows = self.journal.explain("a1") or []
        self.assertEqual([row["event"] for row in rows], ["dispatched", "sent", "attempt over", "closed"])
