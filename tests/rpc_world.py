"""What the tests of the RPC plug-in share: asyncio in virtual time, stand-in libraries, the bare core."""

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

if "pytest" in sys.modules:  # held to the end: else whoever lets go last waits for its poller, maybe in the
    grpc.aio.init_grpc_aio()  # collector; a process that forks must not hold it

START = 1000.0  # seconds at which virtual time begins
METHODS = {
    "/examples.Turns/SubmitTurn": "turn-submit",
    "/examples.Turns/UploadMoves": "board-read",  # safe by its class, and must not be repeated all the same
    "*": "board-read",
}


def config(target="turn-servers", methods=METHODS, **settings):
    document = {"target": target, "seed": "8c1f30d27a5be964", "methods": methods}
    return document | {"settings": SETTINGS | settings}


class Selector(selectors.SelectSelector):
    """Waits for nothing: it moves the loop's time on instead."""

    loop = None

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout != 0:
            assert self.loop._scheduled, "nothing will ever happen"
            self.loop.now = max(self.loop.now, self.loop._scheduled[0]._when)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        selector = Selector()
        self.now = START
        super().__init__(selector)
        selector.loop, self._clock_resolution = self, 1e-9

    def time(self):
        return self.now

    @property
    def ms(self):
        return self.now * 1000.0


def play(main):
    """Run a coroutine function of the loop in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.close()


class FakeSubChannel:
    """What a BalancedChannel dials: unary calls answered by a model, in the loop's time."""

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
        await until(self.loop, at)
        if verdict == SERVED:
            return request
        trailing = grpc.aio.Metadata(("srv-declined", "1")) if verdict == DECLINED else grpc.aio.Metadata()
        code = grpc.StatusCode.UNAVAILABLE if verdict == DECLINED else grpc.StatusCode.INTERNAL
        raise grpc.aio.AioRpcError(code, grpc.aio.Metadata(), trailing, "made up")

    async def close(self):
        self.state = grpc.ChannelConnectivity.SHUTDOWN


async def until(loop, at):
    """Wait for a time in milliseconds, which may never come."""
    future = loop.create_future()
    if at < float("inf"):
        loop.call_at(at / 1000.0, lambda: future.done() or future.set_result(None))
    await future


class FakePool(httpx.AsyncBaseTransport):
    """What an AsyncBalancedTransport dials: requests answered by a model, in the loop's time."""

    def __init__(self, loop, model):
        self.loop, self.model = loop, model

    async def handle_async_request(self, request):
        await request.extensions["trace"]("http11.send_request_body.complete", {})
        verdict, at = self.model.ask(self.loop.ms, request.url.path[1:])
        await until(self.loop, at)
        headers = {"srv-declined": "1"} if verdict == DECLINED else {}
        status = {SERVED: 200, FAILED: 500, DECLINED: 503}[verdict]
        return httpx.Response(status, headers=headers, stream=httpx.ByteStream(b"board"))


class Tape:
    """Every event with the actions taken on it, and every answer, in order."""

    def __init__(self):
        self.lines = []

    def watch(self, owner):
        owner.observers = Observers(handled=(self.handled,), answered=(self.answered,))

    def handled(self, now, event, actions):
        if not isinstance(event, face.ListChanged):
            self.lines.append((round(now, 4), repr_rounded(event), [repr_rounded(a) for a in actions]))

    def answered(self, transaction, answer):
        self.lines.append((transaction.id, type(answer).__name__))


def repr_rounded(item):
    fields = (getattr(item, name) for name in item.__slots__)
    return type(item).__name__, *(round(f, 4) if isinstance(f, float) else f for f in fields)


class Core:
    """The daemon's core in virtual time: its own Deadlines, swept when something falls due."""

    def __init__(self, models, worded, seed):
        self.now, self.heap, self.count, self.models = START, [], 0, models
        self.deadlines = Deadlines()
        settings = read_settings(worded)
        self.owner = Transactions(Balancer(settings, seed, self.ms()), self.ms, self.deadlines, self)
        entries = [face.Entry(name, face.State.LIVE) for name in models]
        self.owner.begin()
        self.owner.post(face.ListChanged(face.ListScope.COMPLETE, entries, 1))

    def ms(self):
        return self.now * 1000.0

    def at(self, when, action):
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, action))

    def run(self):
        while self.heap:
            due = self.deadlines.next()
            if due is not None and due / 1000.0 + TIMER_MARGIN_S <= self.heap[0][0]:
                self.now = due / 1000.0 + TIMER_MARGIN_S
                self.deadlines.sweep(self.ms())
            else:
                self.now, _, action = heapq.heappop(self.heap)
                action()

    def start(self, attempt):
        verdict, at = self.models[attempt.backend].ask(self.ms(), attempt.message.target)
        attempt.carriage = self.deadlines.add(
            attempt.deadline, lambda: attempt.ended(attempt, Outcome.TIMEOUT, None)
        )
        outcome = {SERVED: Outcome.SERVED, FAILED: Outcome.ERROR, DECLINED: Outcome.FULL}.get(verdict)
        if verdict != SILENT:
            self.at(at / 1000.0, lambda: self.end(attempt, outcome))

    def end(self, attempt, outcome):
        self.deadlines.remove(attempt.carriage)
        attempt.ended(attempt, outcome, Served(Content(b"")) if outcome is Outcome.SERVED else None)

    def cancel(self, attempt):
        self.deadlines.remove(attempt.carriage)


def by_core(models, worded, seed, arrivals):
    core, tape = Core(models, worded, seed), Tape()
    tape.watch(core.owner)
    for n, (at, klass, span) in enumerate(arrivals):
        index = [c["name"] for c in worded["classes"]].index(klass)
        message = Message(b"GET", klass)
        core.at(
            at / 1000.0,
            lambda n=n, i=index, m=message, s=span: core.owner.arrive(
                b"%d" % n, i, s, m, lambda answer: None
            ),
        )
    core.run()
    return tape.lines


def by_channel(models, worded, seed, arrivals):
    async def main(loop):
        tape = Tape()
        dial = lambda address: FakeSubChannel(loop, models[address])  # noqa: E731
        document = {"target": "t", "seed": f"{seed:x}", "methods": METHODS, "settings": worded}
        async with BalancedChannel(document, members=list(models), dial=dial) as channel:
            tape.watch(channel.target_state.runner.transactions)
            read = channel.unary_unary("/examples.Turns/ReadBoard")
            submit = channel.unary_unary("/examples.Turns/SubmitTurn")

            async def one(at, klass, span):
                await until(loop, at)
                if klass == "board-read":
                    call = read(b"m", timeout=span / 1000.0)
                else:
                    call = submit(b"m", timeout=span / 1000.0, metadata=(("idempotency-key", "k"),))
                await asyncio.wait([asyncio.ensure_future(call.code())])

            await asyncio.gather(*[one(*arrival) for arrival in arrivals])
        return tape.lines

    return play(main)


def by_transport(models, worded, seed, arrivals):
    async def main(loop):
        tape = Tape()

        def dial(member):
            return FakePool(loop, models[member.name])

        document = {"target": "t", "seed": f"{seed:x}", "settings": worded}
        transport = AsyncBalancedTransport(document, members=list(models), dial=dial)
        transport.open()
        tape.watch(transport.target_state.runner.transactions)
        async with httpx.AsyncClient(transport=transport, base_url="http://turn-servers") as client:

            async def one(at, klass, span):
                await until(loop, at)
                headers = {"Req-Deadline": f"{span:.0f}m"}
                if klass == "board-read":
                    await client.get("/board-read?k=1", headers=headers)
                else:
                    headers["Idempotency-Key"] = "k"
                    await client.post("/turn-submit?k=1", content=b"m", headers=headers)

            await asyncio.gather(*[one(*arrival) for arrival in arrivals])
        return tape.lines

    return play(main)
