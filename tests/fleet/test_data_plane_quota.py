"""Requests whose quota is asked for at another process: they wait, and go on or are refused by its word."""

import asyncio

from barleybarrow.documents import Tenant
from brackenusher.runtime.request_journal import RequestJournal
from tests.fleet.data_plane_support import PATIENCE_S, DataPlaneTest, hello, request_bytes

TENANTS = [Tenant("kaje80", ["key-1"])]
REQUEST = request_bytes("/safe/x", extra="Api-Key: key-1\r\n")
IN_A_HURRY = request_bytes("/safe/x", extra="Api-Key: key-1\r\nX-Brackenusher-Deadline-Ms: 30\r\n")


class QuotaAskedElsewhere(DataPlaneTest):
    """The proxy's question is a future that the test settles."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.questions: asyncio.Queue[asyncio.Future[bool]] = asyncio.Queue()
        self.journal = RequestJournal(asyncio.get_running_loop().time)
        self.proxy._check_quota = self.ask_quota
        self.proxy._journal = self.journal

    def ask_quota(self, tenant: Tenant, cost: float) -> asyncio.Future[bool]:
        question = asyncio.get_running_loop().create_future()
        self.questions.put_nowait(question)
        return question

    async def question(self) -> asyncio.Future[bool]:
        async with asyncio.timeout(PATIENCE_S):
            return await self.questions.get()

    async def test_nothing_is_sent_before_the_word_comes_and_then_it_is(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        reply = asyncio.ensure_future(self.ask(REQUEST))
        question = await self.question()
        self.assertEqual(upstream.seen, [])
        question.set_result(True)
        self.assertEqual(((await reply).status, len(upstream.seen)), (200, 1))

    async def test_a_refusal_is_answered_with_429_and_nothing_is_sent(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        reply = asyncio.ensure_future(self.ask(REQUEST))
        (await self.question()).set_result(False)
        answered = await reply
        self.assertEqual((answered.status, upstream.seen), (429, []))
        self.assertEqual(float(answered.headers["retry-after"]), 0.75)

    async def test_the_question_ends_with_a_client_that_leaves(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        client = await self.client()
        client.send(REQUEST)
        question = await self.question()
        client.close()
        async with asyncio.timeout(PATIENCE_S):
            with self.assertRaises(asyncio.CancelledError):
                await question
        self.assertEqual((upstream.seen, self.proxy.in_flight()), ([], 0))

    async def test_a_request_whose_deadline_comes_first_is_refused_once(self) -> None:
        (upstream,) = await self.serve(hello, tenants=TENANTS)
        reply = asyncio.ensure_future(self.ask(IN_A_HURRY))
        question = await self.question()
        self.assertEqual((await reply).status, 503)
        self.assertTrue(question.cancelled())
        self.assertEqual(upstream.seen, [])

    async def test_explain_tells_the_way_of_a_request(self) -> None:
        await self.serve(hello, tenants=TENANTS)
        reply = asyncio.ensure_future(self.ask(REQUEST))
        (await self.question()).set_result(True)
        await reply
        rows = self.journal.explain("a1") or []
        self.assertEqual([row["event"] for row in rows], ["dispatched", "sent", "attempt over", "closed"])
