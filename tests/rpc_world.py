"""Shared by the tests of the RPC plug-in: asyncio in virtual time, fake servers, and the bare core."""

import asyncio
import heapq
import selectors
import sys

import grpc
import httpx
from helpers import SETTINGS

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.interface import Outcome
from barleybarrow.settings import read_settings
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Observers, Served, Transactions
from brackenusher.fronts.rpc import AsyncBalancedTransport, BalancedChannel
from brackenusher.fronts.rpc.host import TIMER_MARGIN_S
from examples.rpc.model import DECLINED, FAILED, SERVED, SILENT

# Keeps grpc.aio initialised to the end of the test run: the last release waits for its poller thread, maybe
# in the garbage collector. Not done in processes that fork.
if "pytest" in sys.modules:
    grpc.aio.init_grpc_aio()

START_S = 1000.0  # start of virtual time
METHOD_TABLE = {
    "/examples.Turns/SubmitTurn": "turn-submit",
    "/examples.Turns/UploadMoves": "board-read",  # of a safe class, but a request stream must not be retried
    "*": "board-read",
}


def make_config(target="turn-servers", methods=METHOD_TABLE, **settings):
    document = {"target": target, "seed": "8c1f30d27a5be964", "methods": methods}
    return document | {"settings": SETTINGS | settings}


class VirtualSelector(selectors.SelectSelector):
    """Advances the loop's virtual time instead of waiting."""

    loop = None

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout != 0:
            assert self.loop._scheduled, "nothing will ever happen"
            self.loop.now = max(self.loop.now, self.loop._scheduled[0]._when)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        selector = VirtualSelector()
        self.now = START_S
        super().__init__(selector)
        selector.loop, self._clock_resolution = self, 1e-9

    def time(self):
        return self.now

    @property
    def ms(self):
        return self.now * 1000.0


def run_in_virtual_time(main):
    """Run a coroutine function, which gets the loop, in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.close()


class FakeSubChannel:
    """Fake sub-channel for BalancedChannel: a model answers unary calls in virtual time."""

    def __init__(self, loop, model):
        self.loop, self.model, self.sent = loop, model, []
        self.state = grpc.ChannelConnectivity.READY

    def get_state(self, try_to_connect=False):
        return self.state

    def unary_unary(self, path, serializer, deserializer):
        klass = "turn-submit" if "Submit" in path else "board-read"

        def call(request, timeout=None, metadata=None, **_):
            self.sent.append((self.loop.ms, path))
            return self.answer(klass, request)

        return call

    async def answer(self, klass, request):
        verdict, at = self.model.ask(self.loop.ms, klass)
        await wait_until(self.loop, at)
        if verdict == SERVED:
            return request
        trailing = grpc.aio.Metadata(("srv-declined", "1")) if verdict == DECLINED else grpc.aio.Metadata()
        code = grpc.StatusCode.UNAVAILABLE if verdict == DECLINED else grpc.StatusCode.INTERNAL
        raise grpc.aio.AioRpcError(code, grpc.aio.Metadata(), trailing, "made up")

    async def close(self):
        self.state = grpc.ChannelConnectivity.SHUTDOWN


async def wait_until(loop, when_ms):
    """Wait until a time in milliseconds, which may be infinite."""
    future = loop.create_future()
    if when_ms < float("inf"):
        loop.call_at(when_ms / 1000.0, lambda: future.done() or future.set_result(None))
    await future


class FakeTransport(httpx.AsyncBaseTransport):
    """Fake transport for AsyncBalancedTransport: a model answers requests in virtual time."""

    def __init__(self, loop, model):
        self.loop, self.model = loop, model

    async def handle_async_request(self, request):
        await request.extensions["trace"]("http11.send_request_body.complete", {})
        verdict, at = self.model.ask(self.loop.ms, request.url.path[1:])
        await wait_until(self.loop, at)
        headers = {"srv-declined": "1"} if verdict == DECLINED else {}
        status = {SERVED: 200, FAILED: 500, DECLINED: 503}[verdict]
        return httpx.Response(status, headers=headers, stream=httpx.ByteStream(b"board"))


class EventRecorder:
    """Records all events with the resulting actions, and all answers, in order."""

    def __init__(self):
        self.entries = []

    def watch(self, transactions):
        transactions.observers = Observers(on_event=(self.on_event,), on_answer=(self.on_answer,))

    def on_event(self, now, event, actions):
        if not isinstance(event, face.ListChanged):
            self.entries.append((round(now, 4), repr_rounded(event), [repr_rounded(a) for a in actions]))

    def on_answer(self, transaction, answer):
        self.entries.append((transaction.id, type(answer).__name__))


def repr_rounded(item):
    fields = (getattr(item, name) for name in item.__slots__)
    return type(item).__name__, *(round(f, 4) if isinstance(f, float) else f for f in fields)


class CoreHarness:
    """The proxy's core in virtual time, with its own Deadlines, swept when one is due."""

    def __init__(self, models, settings_document, seed):
        self.now, self.heap, self.event_count, self.models = START_S, [], 0, models
        self.deadlines = Deadlines()
        settings = read_settings(settings_document)
        self.transactions = Transactions(
            Balancer(settings, seed, self.clock_ms()), self.clock_ms, self.deadlines, self
        )
        entries = [face.Entry(name, face.State.LIVE) for name in models]
        self.transactions.start()
        self.transactions.post(face.ListChanged(face.ListScope.COMPLETE, entries, 1))

    def clock_ms(self):
        return self.now * 1000.0

    def schedule(self, when, action):
        self.event_count += 1
        heapq.heappush(self.heap, (when, self.event_count, action))

    def run(self):
        while self.heap:
            due = self.deadlines.next_due()
            if due is not None and due / 1000.0 + TIMER_MARGIN_S <= self.heap[0][0]:
                self.now = due / 1000.0 + TIMER_MARGIN_S
                self.deadlines.run_due(self.clock_ms())
            else:
                self.now, _, action = heapq.heappop(self.heap)
                action()

    def start(self, attempt):
        verdict, at = self.models[attempt.backend].ask(self.clock_ms(), attempt.message.target)
        attempt.link = self.deadlines.add(
            attempt.deadline, lambda: attempt.on_end(attempt, Outcome.TIMEOUT, None)
        )
        outcome = {SERVED: Outcome.SERVED, FAILED: Outcome.ERROR, DECLINED: Outcome.FULL}.get(verdict)
        if verdict != SILENT:
            self.schedule(at / 1000.0, lambda: self.end_attempt(attempt, outcome))

    def end_attempt(self, attempt, outcome):
        self.deadlines.remove(attempt.link)
        attempt.on_end(attempt, outcome, Served(Content(b"")) if outcome is Outcome.SERVED else None)

    def cancel(self, attempt):
        self.deadlines.remove(attempt.link)


def run_core(models, settings_document, seed, arrivals):
    core, recorder = CoreHarness(models, settings_document, seed), EventRecorder()
    recorder.watch(core.transactions)
    for n, (at, klass, timeout_ms) in enumerate(arrivals):
        index = [c["name"] for c in settings_document["classes"]].index(klass)
        message = Message(b"GET", klass)
        core.schedule(
            at / 1000.0,
            lambda n=n, i=index, m=message, s=timeout_ms: core.transactions.accept(
                b"%d" % n, i, s, m, lambda answer: None
            ),
        )
    core.run()
    return recorder.entries


def run_channel(models, settings_document, seed, arrivals):
    async def main(loop):
        recorder = EventRecorder()
        dial = lambda address: FakeSubChannel(loop, models[address])  # noqa: E731
        document = {
            "target": "t",
            "seed": f"{seed:x}",
            "methods": METHOD_TABLE,
            "settings": settings_document,
        }
        async with BalancedChannel(document, members=list(models), dial=dial) as channel:
            recorder.watch(channel.picture.host.transactions)
            read = channel.unary_unary("/examples.Turns/ReadBoard")
            submit = channel.unary_unary("/examples.Turns/SubmitTurn")

            async def send_call(at, klass, timeout_ms):
                await wait_until(loop, at)
                if klass == "board-read":
                    call = read(b"m", timeout=timeout_ms / 1000.0)
                else:
                    call = submit(b"m", timeout=timeout_ms / 1000.0, metadata=(("idempotency-key", "k"),))
                await asyncio.wait([asyncio.ensure_future(call.code())])

            await asyncio.gather(*[send_call(*arrival) for arrival in arrivals])
        return recorder.entries

    return run_in_virtual_time(main)


def run_transport(models, settings_document, seed, arrivals):
    async def main(loop):
        recorder = EventRecorder()

        def dial(member):
            return FakeTransport(loop, models[member.name])

        document = {"target": "t", "seed": f"{seed:x}", "settings": settings_document}
        transport = AsyncBalancedTransport(document, members=list(models), dial=dial)
        transport.open()
        recorder.watch(transport.picture.host.transactions)
        async with httpx.AsyncClient(transport=transport, base_url="http://turn-servers") as client:

            async def send_call(at, klass, timeout_ms):
                await wait_until(loop, at)
                headers = {"Req-Deadline": f"{timeout_ms:.0f}m"}
                if klass == "board-read":
                    await client.get("/board-read?k=1", headers=headers)
                else:
                    headers["Idempotency-Key"] = "k"
                    await client.post("/turn-submit?k=1", content=b"m", headers=headers)

            await asyncio.gather(*[send_call(*arrival) for arrival in arrivals])
        return recorder.entries

    return run_in_virtual_time(main)
