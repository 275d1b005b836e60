"""What shared limits cost by the size of the fleet: bytes on links and processor time of the credit server.

    python benchmarks/limits_scale.py [--seconds 8] [--per-proxy 6]

Plays proxies and one credit server in virtual time, with the machines and messages that ship; requests of
tenants by a Zipf law of exponent 1, limits of 1.3 times the usual. Prints a line for each size and
slopes by least squares. The processor time is this machine's, of the credit server's machine with decoding
and encoding; frames and sockets come on top (the last line gives the cost of wrapping one message).
"""

import argparse
import heapq
import random
import time
from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate, count

from barleybarrow.documents import QuotaUnit, Tenant
from barleybarrow.limits.bounds import LimitBounds
from barleybarrow.limits.limits import Limits, Verdict
from brackenusher.cluster import messages
from brackenusher.cluster.frames import encode_frame

TRIP_MS = 1.5  # one way
WARM_UP_MS = 6000.0
FRAME_BYTES = 16  # of a frame and a MachineMessage around a payload
COST = (2000.0, 25_000.0)  # tokens of a request, least and most
MEAN_COST = 9100.0
LIMIT_OF_USUAL = 1.3
FLEETS = ((50, 15_000), (100, 15_000), (200, 15_000), (400, 15_000), (400, 1000), (400, 5000))
CREDIT_SERVER = "warden"


@dataclass
class Measured:
    """Figures of one size, each a second of virtual time."""

    proxies: int
    tenants: int
    reports: float = 0.0
    bytes_up: float = 0.0
    bytes_down: float = 0.0
    cpu_ms: float = 0.0
    asked: int = 0
    refused: int = 0
    waited: int = 0
    accounts: int = 0

    def line(self) -> str:
        each = self.proxies
        return (
            f"{self.proxies:4d} proxies {self.tenants:6d} tenants | a proxy and second:"
            f" {self.reports / each:5.1f} reports, {self.bytes_up / each:6.0f} B up,"
            f" {self.bytes_down / each:6.0f} B down | warden: {self.reports:6.0f} reports/s,"
            f" {self.cpu_ms:6.1f} ms CPU/s, {1000.0 * self.cpu_ms / max(1.0, self.reports):5.1f} us a report,"
            f" {self.accounts} accounts | refused {self.refused / max(1, self.asked):.4f},"
            f" waited {self.waited / max(1, self.asked):.2f} of {self.asked}"
        )


def zipf(size: int) -> list[float]:
    """Shares of tenants, from the largest to the smallest."""
    weights = [1.0 / (rank + 1) for rank in range(size)]
    total = sum(weights)
    return [weight / total for weight in weights]


class Fleet:
    """Proxies and a credit server in virtual time."""

    def __init__(self, proxies: int, tenants: int, per_proxy: float) -> None:
        self.rng = random.Random(1)
        self.now = 0.0
        self.number = count()
        self.events: list[tuple[float, int, str, object]] = []
        self.rate = proxies * per_proxy
        shares = zipf(tenants)
        self.cumulative = list(accumulate(shares))
        tokens = self.rate * MEAN_COST * LIMIT_OF_USUAL
        floor = 18_000.0
        self.tenants = []
        for index, share in enumerate(shares):
            rate = max(floor, share * tokens)
            self.tenants.append(Tenant(f"t{index}", [], None, QuotaUnit.TOKENS, 200, rate, rate))
        self.measured = Measured(proxies, tenants)
        self.names = [f"10.0.{index // 250}.{index % 250}:7681" for index in range(proxies)]
        self.machines = {CREDIT_SERVER: self.machine(CREDIT_SERVER, is_proxy=False)}
        self.machines[CREDIT_SERVER].configure(0.0, self.tenants, [])
        for name in self.names:
            self.machines[name] = self.sharing(self.machine(name, is_proxy=True))
        self.machines[CREDIT_SERVER].set_reachable(0.0, self.names)
        for name in self.names:
            self.machines[name].set_reachable(0.0, [CREDIT_SERVER])
        self.awake = dict.fromkeys(self.machines, -1.0)
        for name in self.machines:
            self.wake(name)

    def machine(self, name: str, is_proxy: bool) -> Limits:
        rng = random.Random(self.rng.getrandbits(40))
        return Limits(
            name, [CREDIT_SERVER], rng, 0.0, LimitBounds(quota_slack=72_000.0), is_proxy, bootstrap=True
        )

    def sharing(self, machine: Limits) -> Limits:
        """All proxies of this process share one table of tenants."""
        first = self.machines[CREDIT_SERVER]
        machine.key_limits, machine.quota_keys = first.key_limits, first.quota_keys
        machine.credit_machine.limit_of = first.key_limits.get
        if machine.client is not None:
            machine.client.limit_of = first.key_limits.get
        return machine

    def at(self, when: float, kind: str, what: object) -> None:
        heapq.heappush(self.events, (when, next(self.number), kind, what))

    def wake(self, name: str) -> None:
        when = max(self.now + 0.05, self.machines[name].next_wakeup())
        if when != self.awake[name]:
            self.awake[name] = when
            self.at(when, "wake", name)

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, kind, what = heapq.heappop(self.events)
            getattr(self, f"on_{kind}")(what)
        self.now = until

    def on_wake(self, name: str) -> None:
        if self.awake[name] != self.now:
            return
        began = time.thread_time()
        self.machines[name].tick(self.now)
        self.after(name, began)

    def on_message(self, what: tuple[str, str, bytes]) -> None:
        sender, name, payload = what
        if name == CREDIT_SERVER:
            self.measured.reports += 1
            self.measured.bytes_up += len(payload) + FRAME_BYTES
        else:
            self.measured.bytes_down += len(payload) + FRAME_BYTES
        began = time.thread_time()
        self.machines[name].receive(self.now, sender, payload)
        self.after(name, began)

    def after(self, name: str, began: float) -> None:
        out = self.machines[name].outbox()
        if name == CREDIT_SERVER:
            self.measured.cpu_ms += 1000.0 * (time.thread_time() - began)
        for address, payload in out:
            self.at(self.now + TRIP_MS, "message", (name, address, payload))
        for _, admitted in self.machines[name].take_decisions():
            self.measured.refused += not admitted
        self.wake(name)

    def on_request(self, _: object) -> None:
        self.at(self.now + self.rng.expovariate(self.rate / 1000.0), "request", None)
        index = bisect_right(self.cumulative, self.rng.random() * self.cumulative[-1])
        tenant = self.tenants[min(index, len(self.tenants) - 1)]
        name = self.names[self.rng.randrange(len(self.names))]
        cost = float(int(COST[0] * (COST[1] / COST[0]) ** self.rng.random()))
        self.measured.asked += 1
        verdict = self.machines[name].decide(self.now, tenant, cost, next(self.number))
        self.measured.waited += verdict is Verdict.PENDING
        self.measured.refused += verdict is Verdict.REFUSED
        self.after(name, 0.0)


def measure(proxies: int, tenants: int, per_proxy: float, seconds: float) -> Measured:
    """Play one size."""
    fleet = Fleet(proxies, tenants, per_proxy)
    fleet.run(WARM_UP_MS / 2)
    fleet.on_request(None)
    fleet.run(WARM_UP_MS)
    fleet.measured = Measured(proxies, tenants)
    fleet.run(WARM_UP_MS + 1000.0 * seconds)
    found = fleet.measured
    for name in ("reports", "bytes_up", "bytes_down", "cpu_ms"):
        setattr(found, name, getattr(found, name) / seconds)
    term_state = fleet.machines[CREDIT_SERVER].credit_machine.term_state
    found.accounts = len(term_state.ledger.accounts) if term_state is not None else 0
    return found


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Least squares: the change a unit, and the value at zero."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return rise, mean_y - rise * mean_x


def print_slopes(found: list[Measured]) -> None:
    by_proxies = [m for m in found if m.tenants == 15_000]
    by_tenants = [m for m in found if m.proxies == 400]
    for title, rows, size in (("proxy", by_proxies, "proxies"), ("1000 tenants", by_tenants, "tenants")):
        unit = 1.0 if size == "proxies" else 1000.0
        for name in ("cpu_ms", "bytes_up", "bytes_down"):
            rise, rest = slope([(getattr(m, size) / unit, getattr(m, name)) for m in rows])
            print(f"slope: {name} a second at the warden = {rest:.1f} + {rise:.3f} a {title}")


def wrapping_us() -> float:
    """Microseconds to wrap and unwrap one message as the links do."""
    payload = bytes(60)
    began = time.thread_time()
    for _ in range(5000):
        frame = encode_frame(messages.MachineMessage(machine="shares", payload=payload))
        messages.MachineMessage().parse(frame[5:])
    return (time.thread_time() - began) * 1e6 / 5000


def main() -> None:
    """Measure all sizes and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--per-proxy", type=float, default=6.0, help="requests a second at each proxy")
    chosen = parser.parse_args()
    found = []
    for proxies, tenants in FLEETS:
        found.append(measure(proxies, tenants, chosen.per_proxy, chosen.seconds))
        print(found[-1].line(), flush=True)
    print_slopes(found)
    print(f"wrapping and unwrapping one message: {wrapping_us():.1f} us")


if __name__ == "__main__":
    main()
