"""What one decision of the fleet's dispatcher costs, and all calls of one request, by number of servers.

    python -m benchmarks.fleet_decisions [--servers 10,100,5000] [--count N]

Processor time of the thread; the best of several rounds. A busy machine slows that, too: the time of a plain
loop is printed beside it, to be compared with the same loop on a quiet machine.
"""

import argparse
import random
import time
from dataclasses import dataclass

from barleybarrow.documents import Engine, Route, Service
from barleybarrow.routing.actions import DispatchRequest, DispatchSettings, Outcome, Send, ServerInfo
from barleybarrow.routing.dispatcher import Dispatcher

ROUNDS = 5  # the best counts: others were disturbed
LOOP_STEPS = 1_000_000
OPEN = 8  # requests out at a time
STEP_MS = 10.0  # between arrivals


@dataclass(slots=True)
class Cost:
    """Microseconds for a decision, and for all calls of one request."""

    arrived_us: float
    whole_us: float


def make_dispatcher(servers: int) -> Dispatcher:
    """A dispatcher of one engine service."""
    dispatcher = Dispatcher(DispatchSettings("z", 10), random.Random(1), 0.0, lambda _: True)
    engine = Engine(slots=48, kv_capacity_tokens=300_000, stride=40)
    dispatcher.configure(0.0, {"llm": Service("llm", engine=engine)}, [])
    names = [f"server-{number}" for number in range(servers)]
    dispatcher.update_servers(0.0, "llm", [ServerInfo(name, name, "z", 48) for name in names])
    return dispatcher


def make_requests(count: int) -> list[DispatchRequest]:
    """Requests with long shared prompts, a tenth of them long streams."""
    rng = random.Random(2)
    verdicts = Route("v", "h", "/v/", "streaming", 2_000.0, 200.0, 1, "llm", gap_aim_ms=200.0)
    chats = Route("c", "h", "/c/", "streaming", 15_000.0, 150.0, 0, "llm", [], 2, False, True, True, 200.0)
    requests = []
    for number in range(count):
        now = number * STEP_MS
        chat = number % 10 == 0
        subject = (f"{rng.randrange(800):x}", 40 if chat else 3_800)
        parts = ((f"{rng.randrange(4):x}f", 2_500), subject, (f"{number:x}", 140 if chat else 2_900))
        tokens = sum(part[1] for part in parts)
        route = chats if chat else verdicts
        requests.append(
            DispatchRequest(number, route, "llm", "t", 1, now, now + route.timeout_ms, tokens, 80, parts, "m")
        )
    return requests


def measure(servers: int, count: int) -> Cost:
    """The cost with so many servers."""
    dispatcher = make_dispatcher(servers)
    out: list[tuple[int, str]] = []
    deciding = whole = 0.0
    for request in make_requests(count):
        began = time.thread_time()
        action = dispatcher.request_arrived(request.arrived_at, request)[0]
        decided = time.thread_time()
        assert isinstance(action, Send)
        out.append((request.id, action.server_id))
        if len(out) > OPEN:
            request_id, server_id = out.pop(0)
            now = request.arrived_at
            dispatcher.first_event(now, request_id, server_id)
            dispatcher.event(now, request_id, server_id, 40)
            dispatcher.finished(now, request_id, server_id, Outcome.SERVED)
            dispatcher.next_wakeup()
        ended = time.thread_time()
        deciding += decided - began
        whole += ended - began
        dispatcher.take_announcements()
    return Cost(deciding / count * 1e6, whole / count * 1e6)


def loop_step_ns() -> float:
    """Nanoseconds for one step of a loop that adds numbers."""
    began = time.thread_time()
    total = 0
    for number in range(LOOP_STEPS):
        total += number
    return (time.thread_time() - began) / LOOP_STEPS * 1e9


def main() -> None:
    """Print a line for each number of servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", default="10,24,100,1000,5000")
    parser.add_argument("--count", type=int, default=4_000)
    args = parser.parse_args()
    print(f"a step of a plain loop: {loop_step_ns():.0f} ns")
    for servers in [int(text) for text in args.servers.split(",")]:
        costs = [measure(servers, args.count) for _ in range(ROUNDS)]
        print(
            f"{servers:6d} servers: decision {min(cost.arrived_us for cost in costs):.1f} us,"
            f" whole request {min(cost.whole_us for cost in costs):.1f} us"
        )


if __name__ == "__main__":
    main()
