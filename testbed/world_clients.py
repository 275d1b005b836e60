"""The clients: their requests, their retries, and what comes of each operation."""

from brackenusher.core.transaction import Answer, Refused, Served
from testbed.counts import FAILED, IN_AIM, LATE, LEFT, REFUSED, SECOND, booked
from testbed.model import jobs
from testbed.model.arrivals import Asked
from testbed.parts import Op, Try
from testbed.proxy import RECORD, Made, Proxy
from testbed.world_attempts import WorldAttempts
from testbed.world_state import ANSWER, ARRIVED, CLIENT

FRONT_NOTICE = 2 * SECOND  # until the front knows that a proxy has died


class WorldClients(WorldAttempts):
    """Has clients ask, try again and give up."""

    def ask(self, asked: Asked) -> None:
        """A client's request reaches the front of the proxies."""
        klass = asked.klass
        worth = self.scenario.classes[klass].worth
        if self.quotas and not self.quotas[asked.tenant].take(asked.sent):
            worth *= self.scenario.rules.over_quota_worth
        operation = None if self.safe[klass] else jobs.Operation()
        op = Op(asked, asked.sent + self.deadlines[klass], operation, worth)
        self.open_ops += 1
        tally = self.tallies[klass][asked.tenant]
        tally.asked += 1
        tally.worth_asked += worth
        self.seconds_of.asked(asked.sent, klass, worth)
        self.knock(op, asked.proxy, asked.sent)

    def knock(self, op: Op, number: int, sent: int) -> None:
        """A try of a client is at the front, which deals it to a proxy."""
        proxy = self.front(number)
        if proxy is None:
            op.tries += 1
            self.trace += RECORD.pack(self.now, number, CLIENT, 0, op.tries, 0.0)
            self.retry(op, None, FAILED, self.now + self.network.to_client(), 0.0)
            return
        self.number += 1
        due = min(op.due, sent + int(op.asked.wait * self.deadlines[op.klass]))
        t = Try(op, self.number, proxy, sent, due, self.now)
        op.tries += 1
        if op.asked.leaves < 1.0:
            self.at(max(self.now, sent + int(op.asked.leaves * (due - sent))), self.leave, t)
        self.trace += RECORD.pack(self.now, proxy.number, ARRIVED, t.number, op.klass, float(due))
        proxy.take(t)

    def front(self, number: int) -> Proxy | None:
        """The proxy that a connection is dealt to; None where it finds no process there."""
        proxies = self.proxies
        proxy = proxies[number]
        if proxy.takes:
            return proxy
        if self.now < self.down_since.get(number, 0) + FRONT_NOTICE:
            return None
        for i in range(1, len(proxies)):
            other = proxies[(number + i) % len(proxies)]
            if other.takes:
                return other
        return None

    def leave(self, t: Try) -> None:
        """An impatient client closes its connection."""
        if t.over:
            return
        self.oracle.gone(t)
        self.trace += RECORD.pack(self.now, t.proxy.number, CLIENT, t.number, 1, 0.0)
        self.finish(t.op, t, LEFT, self.now)
        t.proxy.left(t)

    def answered(self, t: Try, answer: Answer) -> None:
        """A proxy has given its final answer."""
        now = self.now
        self.oracle.answered(now, t, answer)
        kind = 0 if isinstance(answer, Served) else 1 if isinstance(answer, Refused) else 2
        self.trace += RECORD.pack(now, t.proxy.number, ANSWER, t.number, kind, 0.0)
        if t.over:
            return
        got = now + self.network.to_client()
        if got > t.due:  # the client has closed its connection at its deadline
            kind = 2
        if kind == 0:
            made = answer.content if isinstance(answer, Served) else None
            if isinstance(made, Made) and made.carry.job is not None:
                self.useful += made.carry.job.work
            self.latencies[t.op.klass].append(got - t.op.sent)
            self.finish(t.op, t, IN_AIM if got - t.op.sent <= self.aims[t.op.klass] else LATE, got)
        elif kind == 1:
            t.over = True
            after = answer.retry_after if isinstance(answer, Refused) and t.op.asked.honours else 0.0
            self.retry(t.op, t, REFUSED, got, after)
        else:
            t.over = True
            self.retry(t.op, t, FAILED, got, 0.0)

    def retry(self, op: Op, t: Try | None, how: int, got: int, after: float) -> None:
        """A client has no answer: it tries again, where that is allowed and there is time, or gives up."""
        conf, klass = self.scenario.clients, op.klass
        wait = conf.backoff_ms * (0.5 + self.again())
        if conf.backoff == "exp":
            wait *= 2.0 ** (op.tries - 1)
        sent = got + int(max(wait, after) * 1000.0)
        may = op.tries <= conf.retries and sent < op.due
        if may and t is not None and how == FAILED and not self.safe[klass]:
            # it may have run: only a key saves it, and only if no attempt can come after the window
            c = self.scenario.classes[klass]
            last = sent + int(op.asked.wait * self.deadlines[klass])
            may = c.effect == "keyed" and c.group == "all" and last < op.sent + self.windows[klass]
        if may:
            self.at(sent + self.network.to_client(), self.try_again, (op, sent))
        else:
            self.finish(op, t, how, got)

    def try_again(self, what: tuple[Op, int]) -> None:
        op, sent = what
        self.knock(op, int(self.again() * len(self.proxies)), sent)

    def finish(self, op: Op, t: Try | None, how: int, got: int) -> None:
        """What came of an operation."""
        if t is not None:
            t.over = True
        self.open_ops -= 1
        booked(self.tallies[op.klass][op.tenant], how, op.worth)
        self.seconds_of.finished(op.sent, op.klass, how, op.worth)
