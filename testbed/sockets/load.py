"""Clients on sockets: an open loop whose latencies count from when a request was meant to be sent.

Nothing waits for an answer before the next request is due (Tene, "How not to measure latency": coordinated
omission), and how late a request was written beyond its time is on record. Retries, patience and the front's
dealing are those of virtual time. This end keeps its part of the promises: one answer, in time, the right
one.

Times are in microseconds from the run's start unless a name says otherwise.
"""

import asyncio
import contextlib
import random
import time
from array import array
from collections import deque
from typing import Any

import numpy as np

from testbed import faults
from testbed import scenario as config
from testbed.counts import FAILED, IN_AIM, LATE, LEFT, REFUSED, Quota, SecondBySecond, booked
from testbed.model.arrivals import Arrivals, Asked
from testbed.model.network import stream, uniforms
from testbed.results import Breach, Tally, encode, histogram
from testbed.sockets import http
from testbed.sockets.lag import Lag
from testbed.sockets.rude import RUDE, RUDE_S, ask_rudely
from testbed.sockets.tries import Conn, Op, Try
from testbed.world_clients import FRONT_NOTICE

SECOND = 1_000_000
WIRE = 100_000  # by which an answer may be later than the rules have it, on a machine that is shared
KEPT_S = 1.5  # an idle connection is used again for so long: a proxy may close it after 2 s
CONNECT_S = 1.0
MOST_OPEN = 4000  # connections at once; beyond, a request waits for one and is late, which is on record
BEHIND = 10_000  # a request written later than this was late
BEHIND_SHARE = 0.01  # of a second's requests that may be, before the second counts as one of falling behind
POLL_S = 0.25  # between two questions whether a proxy that was down is ready again
MOST_BREACHES = 100
SERVED, REJECTED = 0, 3  # what a try came to, beside REFUSED and FAILED of the world


class Load:
    """All clients of a run."""

    def __init__(self, scenario: config.Scenario, seed: int, ports: list[int]) -> None:
        self.scenario, self.ports = scenario, list(ports)
        self.loop = asyncio.get_running_loop()
        self.origin = 0.0
        swells = faults.swells(scenario, faults.plan(scenario, seed))
        self.rows = sorted(Arrivals(scenario, seed, swells), key=lambda row: row.sent)
        # the fleet knows an operation by its place in the order of arrival
        order = {row: n for n, row in enumerate(Arrivals(scenario, seed, swells))}
        self.numbers = [order[row] for row in self.rows]
        self.heads = [self.head(klass) for klass in range(len(scenario.classes))]
        self.again = uniforms(stream(seed, "again")).__next__
        self.rng = random.Random(f"{seed}/clients")
        self.next = 0
        self.idle: list[list[Conn]] = [[] for _ in ports]
        self.conns: set[Conn] = set()
        self.connecting = 0
        self.waiting: deque[Try] = deque()
        self.tasks: set[asyncio.Future[Any]] = set()
        self.down_since: dict[int, float] = {}
        self.open_ops = 0
        self.done = asyncio.Event()
        self.quotas = [Quota(t.quota * scenario.capacity()) for t in scenario.tenants]
        tenants = [t.name for t in scenario.tenants] or [""]
        self.tallies = [[Tally(klass=c.name, tenant=t) for t in tenants] for c in scenario.classes]
        self.latencies = [[array("q") for _ in tenants] for _ in scenario.classes]
        self.lateness = array("q")
        self.of_second: dict[int, tuple[int, int]] = {}  # requests, and those written late
        self.series = SecondBySecond(scenario)
        self.aims = [int(c.aim * 1000.0) for c in scenario.classes]
        self.deadlines = [int(c.deadline * 1000.0) for c in scenario.classes]
        self.slack = int(scenario.rules.answer_slack * 1000.0) + WIRE
        self.breaches: list[Breach] = []
        self.dropped = 0
        self.refused: list[tuple[int, int, int, int]] = []  # op, try, proxy, when
        self.unanswered: list[tuple[int, int, int, int, int, str]] = []  # op, try, proxy, sent, when, how
        self.resent = self.rejected = self.rude = self.rude_left = 0
        self.recent: deque[tuple[int, int]] = deque(maxlen=20_000)  # when served, and how long it took

    def head(self, klass: int) -> tuple[bytes, bytes]:
        """What stands before and after the id in a request of a class."""
        c = self.scenario.classes[klass]
        name = c.name.encode()
        method = b"GET" if c.effect == "safe" else b"POST"
        after = b"\r\nreq-kind: " + name
        if c.effect != "safe":
            after += b"\r\ncontent-length: 4"
        return method + b" /" + name + b"?k=%d HTTP/1.1\r\nhost: testbed\r\nreq-id: ", after

    def text(self, t: Try) -> bytes:
        """The bytes of a request."""
        asked, c = t.op.asked, self.scenario.classes[t.op.asked.klass]
        before, after = self.heads[asked.klass]
        parts = [before % asked.key, b"%d.%d" % (t.op.number, t.number), after]
        if self.scenario.tenants:
            parts.append(b"\r\nreq-owner: " + self.scenario.tenants[asked.tenant].name.encode())
        parts.append(b"\r\nreq-deadline: %dm" % max(1, (t.due - t.sent) // 1000))
        if t.number and self.scenario.clients.marks_retry:
            parts.append(b"\r\nreq-retry: 1")
        if c.effect != "safe":
            parts.append(b"\r\nidempotency-key: k%d\r\n\r\nmove" % t.op.number)
        else:
            parts.append(b"\r\n\r\n")
        return b"".join(parts)

    # Time

    def now(self) -> int:
        return int((time.monotonic() - self.origin) * 1e6)

    async def run(self, origin: float) -> None:
        """Send all that is asked for, and wait until it is answered or given up."""
        self.origin = origin
        self.lag = Lag(self.loop, origin)
        self.tick()
        if self.scenario.sockets.rude:
            self.spawn(self.be_rude())
        longest = max(self.deadlines) / 1e6
        limit = origin - time.monotonic() + self.scenario.seconds + 3.0 * longest + 5.0
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.done.wait(), limit)
        for task in list(self.tasks):
            task.cancel()
        for conn in list(self.conns):
            conn.close()

    def tick(self) -> None:
        """Send whatever is due; called when the next request is."""
        now, rows = self.now(), self.rows
        while self.next < len(rows) and rows[self.next].sent <= now:
            row = rows[self.next]
            self.ask(row, self.numbers[self.next])
            self.next += 1
        if self.next < len(rows):
            self.loop.call_later((rows[self.next].sent - self.now()) / 1e6, self.tick)
        else:
            self.check_end()

    def check_end(self) -> None:
        if self.next >= len(self.rows) and not self.open_ops:
            self.done.set()

    # Clients

    def ask(self, asked: Asked, number: int) -> None:
        klass = asked.klass
        worth = self.scenario.classes[klass].worth
        if self.quotas and not self.quotas[asked.tenant].take(asked.sent):
            worth *= self.scenario.rules.over_quota_worth
        op = Op(asked, number, asked.sent + self.deadlines[klass], worth)
        self.open_ops += 1
        tally = self.tallies[klass][asked.tenant]
        tally.asked += 1
        tally.worth_asked += worth
        self.series.asked(asked.sent, klass, worth)
        self.knock(op, asked.proxy, asked.sent)

    def knock(self, op: Op, number: int, sent: int) -> None:
        """A try: the front deals it to a proxy, and it is written to a connection there."""
        proxy = self.front(number)
        due = min(op.due, sent + int(op.asked.wait * self.deadlines[op.asked.klass]))
        t = Try(op, number if proxy is None else proxy, sent, due)
        op.tries += 1
        if proxy is None:
            self.ended(t, FAILED, 0.0)
            return
        limit = (due + self.slack - self.now()) / 1e6
        t.limit = self.loop.call_later(max(0.0, limit), self.overdue, t)
        if op.asked.leaves < 1.0:
            leaves = sent + int(op.asked.leaves * (due - sent))
            t.leaving = self.loop.call_later(max(0.0, (leaves - self.now()) / 1e6), self.leave, t)
        late = self.now() - sent  # that a connection has yet to come up is the proxy's doing, not the load's
        self.lateness.append(max(1, late))
        asked, behind = self.of_second.get(sent // SECOND, (0, 0))
        self.of_second[sent // SECOND] = (asked + 1, behind + (late > BEHIND))
        self.give(t)

    def front(self, number: int) -> int | None:
        """The proxy that a connection is dealt to; None where it finds no process there."""
        since = self.down_since.get(number)
        if since is None:
            return number
        if self.now() < since + FRONT_NOTICE:
            return None
        count = len(self.ports)
        return next(
            (p for p in ((number + i) % count for i in range(1, count)) if p not in self.down_since), None
        )

    def give(self, t: Try) -> None:
        """Write a try to the connection that was used last, or to a new one."""
        idle, now = self.idle[t.proxy], self.loop.time()
        while idle:
            conn = idle.pop()
            if conn.open and now - conn.idle_at < KEPT_S:
                self.write(conn, t)
                return
            conn.close()
        if len(self.conns) + self.connecting >= MOST_OPEN:
            self.waiting.append(t)
            return
        self.connecting += 1
        self.spawn(self.connect(t))

    async def connect(self, t: Try) -> None:
        proxy = t.proxy
        try:
            made = self.loop.create_connection(lambda: Conn(self, proxy), "127.0.0.1", self.ports[proxy])
            _, conn = await asyncio.wait_for(made, CONNECT_S)
        except (
            OSError,
            TimeoutError,
            RuntimeError,
        ) as error:  # the last is uvloop's word for one closed meanwhile
            if isinstance(error, ConnectionRefusedError) and proxy not in self.down_since:
                self.down_since[proxy] = self.now()
                self.spawn(self.await_ready(proxy))
            if not t.over:
                self.ended(t, FAILED, 0.0)
            return
        finally:
            self.connecting -= 1
        self.conns.add(conn)
        if t.over:
            conn.idle_at = self.loop.time()
            self.idle[proxy].append(conn)
        else:
            self.write(conn, t)

    async def await_ready(self, proxy: int) -> None:
        """Ask a proxy that was down until it is ready; the front takes it in then."""
        while True:
            await asyncio.sleep(POLL_S)
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[proxy])
                writer.write(b"GET /health/ready HTTP/1.1\r\nhost: h\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), CONNECT_S)
                writer.close()
                if b" 200 " in line:
                    del self.down_since[proxy]
                    return

    def write(self, conn: Conn, t: Try) -> None:
        conn.current, t.conn = t, conn
        conn.used += 1
        try:
            conn.transport.write(self.text(t))
        except RuntimeError:  # uvloop's word for one closed meanwhile; that it is lost is told next
            conn.close()

    # What comes back

    def answered(self, conn: Conn, first: bytes, head: bytes, body: bytes) -> None:
        """An answer has come whole."""
        t, now = conn.current, self.now()
        if t is None:
            self.breach("one_answer", now, "more than was asked for", conn.proxy, -1)
            conn.close()
            return
        conn.current = None
        closes = http.field(head, b"connection") == b"close"
        if closes:
            conn.close()
        else:
            conn.idle_at = self.loop.time()
            if self.waiting:
                self.give(self.waiting.popleft())
            self.idle[conn.proxy].append(conn)
        if t.over:
            return
        status = first[9:12]
        if now > t.due + self.slack:
            late = (now - t.due) / 1000.0
            self.breach("in_time", now, f"answered {late:.1f} ms after its deadline", t.proxy, t.op.number)
        if now > t.due:  # a client has closed its connection by then
            self.ended(t, FAILED, 0.0)
        elif status == b"200":
            if not body.startswith(b"for %d.%d " % (t.op.number, t.number)):
                self.breach("one_answer", now, f"served with {body[:40]!r}", t.proxy, t.op.number)
            self.ended(t, SERVED, 0.0)
        elif status in (b"503", b"429"):
            after = 0.0
            with contextlib.suppress(ValueError):
                after = float(http.field(head, b"retry-after") or b"0") * 1000.0
            if len(self.refused) < 1_000_000:
                self.refused.append((t.op.number, t.number, t.proxy, now))
            self.ended(t, REFUSED, after)
        else:
            self.rejected += status[:1] == b"4"
            self.ended(t, FAILED, 0.0)

    def unreadable(self, conn: Conn) -> None:
        t, conn.current = conn.current, None
        conn.close()
        if t is not None and not t.over:
            self.breach("one_answer", self.now(), "an answer that cannot be read", conn.proxy, t.op.number)
            self.ended(t, FAILED, 0.0)

    def lost(self, conn: Conn) -> None:
        """A connection has ended, from either side."""
        self.conns.discard(conn)
        with contextlib.suppress(ValueError):
            self.idle[conn.proxy].remove(conn)
        t, conn.current = conn.current, None
        if self.waiting:
            self.give(self.waiting.popleft())
        if t is None or t.over:
            return
        if conn.used > 1 and not t.resent and not conn.reader.bytes:
            t.resent, t.conn = True, None  # it crossed the end of an idle connection: once more on a new one
            self.resent += 1
            self.connecting += 1
            self.spawn(self.connect(t))
            return
        self.note_unanswered(t, "broken" if conn.used > 1 else "broken first")
        self.ended(t, FAILED, 0.0)

    def overdue(self, t: Try) -> None:
        """No answer by the deadline and the slack of the rules."""
        if not t.over:
            if t.conn is not None:
                self.note_unanswered(t, "silent")
            self.ended(t, FAILED, 0.0)
            if t.conn is not None:
                t.conn.current = None
                t.conn.close()

    def note_unanswered(self, t: Try, how: str) -> None:
        if len(self.unanswered) < 1_000_000:
            self.unanswered.append((t.op.number, t.number, t.proxy, t.sent, self.now(), how))

    def leave(self, t: Try) -> None:
        """An impatient client closes its connection."""
        if not t.over:
            conn = t.conn
            self.ended(t, LEFT, 0.0)
            if conn is not None:
                conn.current = None
                conn.close()

    def ended(self, t: Try, how: int, after: float) -> None:
        """What a try came to; its client tries again, where that is allowed and there is time."""
        t.over = True
        for handle in (t.limit, t.leaving):
            if handle is not None:
                handle.cancel()
        now, op = self.now(), t.op
        if how == SERVED:
            took = now - op.asked.sent
            self.latencies[op.asked.klass][op.asked.tenant].append(took)
            self.recent.append((now, took))
            self.finish(op, IN_AIM if took <= self.aims[op.asked.klass] else LATE)
        elif how == LEFT:
            self.finish(op, LEFT)
        else:
            self.retry(op, how, now, after if op.asked.honours else 0.0)

    def retry(self, op: Op, how: int, now: int, after: float) -> None:
        conf, c = self.scenario.clients, self.scenario.classes[op.asked.klass]
        wait = conf.backoff_ms * (0.5 + self.again())
        if conf.backoff == "exp":
            wait *= 2.0 ** (op.tries - 1)
        sent = now + int(max(wait, after) * 1000.0)
        may = op.tries <= conf.retries and sent < op.due
        if may and how == FAILED and c.effect != "safe":
            last = sent + int(op.asked.wait * self.deadlines[op.asked.klass])
            may = c.effect == "keyed" and c.group == "all" and last < op.asked.sent + int(c.window * 1000.0)
        if may:
            self.loop.call_later((sent - now) / 1e6, self.try_again, op, sent)
        else:
            self.finish(op, how)

    def try_again(self, op: Op, sent: int) -> None:
        self.knock(op, int(self.again() * len(self.ports)), sent)

    def finish(self, op: Op, how: int) -> None:
        self.open_ops -= 1
        booked(self.tallies[op.asked.klass][op.asked.tenant], how, op.worth)
        self.series.finished(op.asked.sent, op.asked.klass, how, op.worth)
        self.check_end()

    # Rude clients

    async def be_rude(self) -> None:
        """Open connections at a rate and break the protocol on each."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.scenario.sockets.rude))
            self.spawn(
                self.one_rude(RUDE[self.rng.randrange(len(RUDE))], self.rng.randrange(len(self.ports)))
            )

    async def one_rude(self, text: bytes, proxy: int) -> None:
        if proxy in self.down_since:
            return
        self.rude += 1
        try:
            got = await ask_rudely(self.ports[proxy], text, RUDE_S + WIRE / 1e6)
            if got.startswith(b"HTTP/1.1 200"):
                self.breach("one_answer", self.now(), f"served {text[:40]!r}", proxy, -1)
        except TimeoutError:
            self.rude_left += 1
        except OSError:
            pass  # refused or reset: that is a close

    # Looking on

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def breach(self, promise: str, at: int, text: str, proxy: int, request: int) -> None:
        if len(self.breaches) >= MOST_BREACHES:
            self.dropped += 1
            return
        self.breaches.append(Breach(promise=promise, at=at / 1000.0, text=text, proxy=proxy, request=request))

    def sight(self) -> dict[str, Any]:
        """Figures of the last second."""
        now = self.now()
        lately = [took for at, took in self.recent if at > now - SECOND]
        tallies = [t for line in self.tallies for t in line]
        return {
            "second": now / SECOND,
            "asked": sum(t.asked for t in tallies),
            "in_aim": sum(t.in_aim for t in tallies),
            "late": sum(t.late for t in tallies),
            "refused": sum(t.refused for t in tallies),
            "failed": sum(t.failed for t in tallies),
            "worth_asked": sum(t.worth_asked for t in tallies),
            "worth_in_aim": sum(t.worth_in_aim for t in tallies),
            "open": self.open_ops,
            "rate": len(lately),
            "p50": float(np.percentile(lately, 50)) / 1000.0 if lately else 0.0,
            "p99": float(np.percentile(lately, 99)) / 1000.0 if lately else 0.0,
            "behind": bool(self.behind()) and self.behind()[-1],
        }

    def behind(self) -> list[str]:
        """The seconds in which more than a hundredth of the requests was written late."""
        return [
            f"second {second}: {late} of {asked} requests were written over {BEHIND // 1000} ms late"
            for second, (asked, late) in sorted(self.late_seconds().items())
        ]

    def late_seconds(self) -> dict[int, tuple[int, int]]:
        """Those seconds, with how many requests were meant for them and how many of these were late."""
        return {
            second: (asked, late)
            for second, (asked, late) in self.of_second.items()
            if late > max(1, BEHIND_SHARE * asked)
        }

    def summary(self) -> dict[str, Any]:
        """All that this end has seen."""
        by_class, by_tenant = {}, {}
        for conf, line in zip(self.scenario.classes, self.latencies, strict=True):
            by_class[conf.name] = filled([span for spans in line for span in spans])
            for tally, spans in zip(self.tallies[self.scenario.classes.index(conf)], line, strict=True):
                by_tenant[f"{conf.name}/{tally.tenant}"] = filled(spans)
        return {
            "tallies": [t for line in self.tallies for t in line],
            "latencies": by_class,
            "by_tenant": by_tenant,
            "lateness": filled(self.lateness),
            "behind": self.behind(),
            "lagging": self.lag.seconds | set(self.late_seconds()),
            "series": self.series.series,
            "breaches": self.breaches,
            "dropped": self.dropped,
            "refused": self.refused,
            "unanswered": self.unanswered,
            "resent": self.resent,
            "rejected": self.rejected,
            "rude": self.rude,
            "rude_left": self.rude_left,
            "open": self.open_ops,
            "seconds": self.now() / SECOND,
        }


def filled(spans: Any) -> str:
    """Spans in microseconds as an encoded histogram."""
    found = histogram()
    values, counts = np.unique(np.asarray(spans, dtype=np.int64), return_counts=True)
    for value, count in zip(values.tolist(), counts.tolist(), strict=True):
        found.record_value(max(1, value), count)
    return encode(found)
