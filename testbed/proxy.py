"""One proxy of the world: the daemon's own transactions, module, deadlines and pool, in virtual time.

This is the only place of the testbed that knows which of the daemon's parts a proxy is made of. Everything
here stands in for the sockets' drivers alone, and keeps their limits: it decides nothing.
"""

import struct
from collections.abc import Sequence
from math import ceil
from typing import Any

from barleybarrow import interface as face
from barleybarrow.connection_records import CloseReason
from barleybarrow.interface import Outcome
from barleybarrow.settings import read_settings
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Attempt, Observers, Served, Transactions
from brackenusher.runtime.timers import Timer
from brackenusher.upstream.listing import Listing
from brackenusher.upstream.pool import Member, Pool
from testbed.model.jobs import Job
from testbed.parts import Around, Host, Told, Try
from testbed.policies import POLICIES

ROOM = 1 << 30  # connections: descriptors are not counted here
LOCAL_START = (
    3_600_000.0  # milliseconds on a proxy's clock when the run begins: a start time must not be under 0
)
UNIX_START = 1_764_547_200_000.0  # and in Unix time, which all machines share
ACCEPTING = 450_000  # microseconds after the word to stop in which requests are still taken, as in the daemon
GRACE = 250_000  # and beyond the longest deadline after that in which it may still answer

RECORD = struct.Struct("<qHHqid")  # microseconds, proxy, what, request, attempt or server, a figure
EVENTS: dict[type, int] = {
    face.ListChanged: 1,
    face.Arrived: 2,
    face.Finished: 3,
    face.Began: 4,
    face.Left: 5,
    face.TimerDue: 6,
    face.Probed: 7,
    face.Told: 8,
}
ACTIONS: dict[type, int] = {
    face.Send: 16,
    face.Refuse: 17,
    face.Fail: 18,
    face.Cancel: 19,
    face.Disconnect: 20,
    face.SetTimer: 21,
    face.Watch: 22,
    face.Probe: 23,
}
OUTCOMES = {outcome: i for i, outcome in enumerate(Outcome)}


class Link:
    """A connection from a proxy to a process at a server's address."""

    __slots__ = (
        "proxy",
        "member",
        "host",
        "life",
        "load",
        "up",
        "closed",
        "idle_from",
        "fresh",
        "limit",
        "held",
    )

    def __init__(self, proxy: "Proxy", member: Member, host: "Host | None") -> None:
        self.proxy, self.member, self.host = proxy, member, host
        self.life = host.life if host is not None else 0
        self.load: Carry | None = None
        self.up, self.closed, self.fresh = False, False, True
        self.idle_from = 0
        self.limit: Timer | None = None
        self.held = proxy.pool.planner.begin_connect(member.line, self, proxy.now)

    def close(self, cause: CloseReason) -> None:
        """Called by the pool too: what is idle is hung up."""
        if not self.closed:
            self.closed = True
            proxy = self.proxy
            proxy.pool.planner.on_closed(self.held, proxy.local(proxy.world.now), cause)
            proxy.forget(self)

    def assign(self, load: "Carry") -> None:
        """Take on an attempt."""
        self.load = load

    def not_connected(self) -> None:
        """A deadline's action: the connect took too long."""
        self.limit = None
        if not self.up and not self.closed:
            carry = self.load
            self.close(CloseReason.REFUSED)
            if carry is not None:
                self.proxy.failed(carry)
                carry.end(Outcome.CONNECT_FAILED)


class Carry:
    """One attempt on its way: what the daemon's driver holds of it, and what the oracle wants to know."""

    __slots__ = (
        "proxy",
        "attempt",
        "t",
        "host",
        "link",
        "written",
        "wrote",
        "started",
        "expiry",
        "job",
        "over",
        "crowd",
        "reached",
    )

    def __init__(
        self, proxy: "Proxy", attempt: Attempt, t: "Try", host: "Host | None", link: Link, started: int
    ) -> None:
        self.proxy, self.attempt, self.t, self.started = proxy, attempt, t, started
        self.host, self.link = host, link  # host: the one that was meant; the link's is the one that listens
        self.written, self.wrote, self.over = False, 0.0, False
        self.crowd = self.reached = 0  # held there when it came, and when; where reports tell of latency
        self.expiry: Timer | None = None
        self.job: Job | None = None

    def end(self, outcome: Outcome, served: Served | None = None) -> None:
        """Tell the daemon what it came to; only the first word counts."""
        if self.over:
            return
        self.let_go()
        self.attempt.on_end(self.attempt, outcome, served)

    def let_go(self) -> None:
        self.over = True
        proxy, t = self.proxy, self.t
        if self.expiry is not None:
            proxy.deadlines.remove(self.expiry)
            self.expiry = None
        t.out -= 1
        if not t.out:
            t.held_since = proxy.world.now

    def expired(self) -> None:
        """A deadline's action: nobody waits any longer. It has not run unless it was written whole."""
        self.expiry = None
        if self.written:
            self.proxy.failed(self)
            self.proxy.pool.planner.on_request_lost(self.link.held, self.proxy.now, self.wrote, reset=False)
        self.end(Outcome.TIMEOUT if self.written else Outcome.NOT_SENT)
        self.give_up()

    def give_up(self) -> None:
        """Close the connection under an attempt; the server hears of it one way later."""
        self.link.load = None
        self.link.close(CloseReason.GIVEN_UP)
        if self.written:
            self.proxy.world.given_up(self)


class Wanted(Message):
    """A client's request, as the daemon passes it on unread."""

    __slots__ = ("t",)

    def __init__(self, t: "Try") -> None:
        super().__init__(b"GET", b"/")
        self.t = t


class Made(Content):
    """What a server made for one attempt; it knows for which."""

    __slots__ = ("carry",)

    def __init__(self, carry: Carry) -> None:
        super().__init__(b"")
        self.carry = carry


class Proxy:
    """One life of one proxy, with its own clock. It is the attempt transport of its transactions as well."""

    def __init__(
        self, world: Around, number: int, life: int, settings: dict[str, Any], policy: str, listing: Listing
    ) -> None:
        scenario = world.scenario
        self.world, self.number, self.life = world, number, life
        self.zone = number % len(scenario.zones)
        self.base, self.scale = world.clocks[number]
        self.now = self.local(world.now)
        self.alive, self.stopping, self.takes = True, False, True
        self.settings = read_settings(settings)
        self.deadlines = Deadlines()
        unix_offset = UNIX_START + world.now / 1000.0 - self.now
        seed = world.seed * 1_000_003 + number * 1009 + life  # of the module: another one in each life
        self.pool = Pool(self.settings, self.clock, unix_offset, seed=seed)
        self.pool.planner.capacity = ROOM
        self.told = Told()
        self.balancer = POLICIES[policy](self.settings, seed, self.now, world.sight(self))
        self.transactions = Transactions(self.balancer, self.clock, self.deadlines, self)  # type: ignore[arg-type]
        self.transactions.observers = Observers(on_event=(self.note,))
        self.connect_time = self.settings.connect_timeout or 1000.0
        self.ticking = False  # the planner's sweep is due at some time
        self.links: dict[Link, None] = {}
        self.failures: dict[Host, int] = {}  # when an attempt failed there last, for the oracle
        self.idle_since: int | None = None  # since when servers stood idle for it, for the oracle
        self.wake_at: int | None = None
        self.enter()
        self.transactions.start()
        self.tell(listing)
        self.rest()

    # Its clock

    def local(self, at: int) -> float:
        """Its clock's milliseconds at a time of the world."""
        return self.base + at * self.scale

    def clock(self) -> float:
        return self.now

    def enter(self) -> None:
        """Something is about to happen to it."""
        self.now = self.base + self.world.now * self.scale

    def rest(self) -> None:
        """See to it that it is woken for its next deadline."""
        due = self.deadlines.next_due()
        if due is None:
            return
        world = self.world
        at = ceil((due - self.base) / self.scale)
        if self.base + at * self.scale < due:
            at += 1
        if at <= world.now:
            at = world.now + 1  # a turn of the loop takes its time, however short
        if self.wake_at is None or at < self.wake_at:
            self.wake_at = at
            world.at(at, self.woken, None)

    def woken(self, _: None) -> None:
        if self.world.now != self.wake_at or not self.alive:
            return  # another wake-up has come before
        self.wake_at = None
        self.enter()
        self.deadlines.run_due(self.now)
        self.rest()

    # Requests

    def take(self, t: "Try") -> None:
        """A request has come in whole."""
        self.enter()
        self.world.oracle.taken(t)
        conf = self.world.scenario
        span = (t.due - t.sent) / 1000.0
        repeated = t.number_of_op > 0 and conf.clients.marks_retry
        t.transaction = self.transactions.accept(
            t.name, t.op.klass, span, Wanted(t), t.reply, t.op.tenant, repeated
        )
        self.rest()

    def left(self, t: "Try") -> None:
        """The client has closed its connection."""
        if self.alive and t.transaction is not None:
            self.enter()
            self.transactions.client_left(t.transaction)
            self.rest()

    def tell(self, listing: Listing) -> None:
        """Discovery has something to tell."""
        now = self.world.now
        self.told.seqs.append(listing.seq)
        self.told.times.append(now)
        self.transactions.post(self.pool.apply(listing))

    # The attempt transport

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on a new one."""
        world, wanted = self.world, attempt.transaction.message
        assert isinstance(wanted, Wanted)  # only `take` brings requests
        t = wanted.t
        member = self.pool.members[attempt.backend]
        safe = self.settings.classes[t.op.klass].effect is face.Effect.SAFE
        lent = self.pool.take_idle(member, safe)
        link = lent if isinstance(lent, Link) else self.connect(member)
        if link is None:
            attempt.on_end(attempt, Outcome.NOT_SENT, None)
            return
        carry = Carry(self, attempt, t, world.names.get(attempt.backend), link, world.now)
        attempt.link = carry
        link.assign(carry)
        t.carries.append(carry)
        t.out += 1
        world.count_attempt(t)
        world.oracle.sent(world.now, carry)
        carry.expiry = self.deadlines.add(attempt.deadline, carry.expired)
        if link.up:
            self.write(carry)

    def connect(self, member: Member) -> Link | None:
        """Open a connection, None where the planner says that there is none to be had.

        A partition is silent, a machine without a process refuses.
        """
        world, planner = self.world, self.pool.planner
        if member.line.removed or not planner.may_open(member.line, self.now):
            return None
        if not self.ticking:
            self.ticking = True
            self.deadlines.add(self.now + planner.sweep_interval_ms, self.tick)
        host = world.addresses.get(member.address)
        link = Link(self, member, host)
        self.links[link] = None
        link.limit = self.deadlines.add(self.now + self.connect_time, link.not_connected)
        if host is None or world.cut(self, host):
            link.host = None
            return link
        rtt = world.network.delay(self.zone, host.zone) + world.network.delay(host.zone, self.zone)
        if not host.server.connect():
            link.host = None
            world.at(world.now + rtt, self.refused, link)
            return link
        host.links[link] = None
        world.at(world.now + int(rtt * world.scenario.network.handshake_rtts), self.connected, link)
        return link

    def connected(self, link: Link) -> None:
        if not self.alive or link.closed or link.up:
            return
        self.enter()
        link.up = True
        self.deadlines.remove(link.limit)
        link.limit = None
        self.pool.planner.on_connected(link.held, self.now)
        if link.load is not None:
            self.write(link.load)
        self.rest()

    def refused(self, link: Link) -> None:
        """The connect failed at once."""
        if not self.alive or link.closed:
            return
        self.enter()
        carry = link.load
        link.close(CloseReason.REFUSED)
        if carry is not None:
            self.failed(carry)
            carry.end(Outcome.CONNECT_FAILED)
        self.rest()

    def write(self, carry: Carry) -> None:
        """The connection stands: write the request, unless its member has left meanwhile."""
        link = carry.link
        if not self.pool.may_send(link.member):
            carry.end(Outcome.CONNECT_FAILED)
            link.load = None
            link.close(CloseReason.LEFT)
            return
        carry.written, carry.wrote = True, self.now
        world = self.world
        world.oracle.written(world.now, carry)
        host = link.host
        if host is not None and not world.cut(self, host):
            world.at(world.now + world.network.delay(self.zone, host.zone), world.reach, carry)

    def answer(self, carry: Carry) -> None:
        """A server's answer is here; `job.outcome` says which."""
        if not self.alive or carry.over:
            return
        self.enter()
        link, outcome = carry.link, self.world.outcome_of(carry)
        if outcome is not Outcome.SERVED:
            self.failed(carry)
        link.load = None
        if not link.closed:
            planner = self.pool.planner
            planner.on_answer(link.held, self.now)
            ends = planner.release(link.held, self.now)
            if ends is None:
                link.idle_from, link.fresh = self.world.now, False
            else:
                link.close(ends)
        carry.end(outcome, Served(Made(carry)) if outcome is Outcome.SERVED else None)
        self.rest()

    def tick(self) -> None:
        """A deadline's action: close what is due, as the planner says. It opens nothing ahead here."""
        planner = self.pool.planner
        for held, cause in planner.sweep(self.now)[0]:
            held.link.close(cause)
        self.ticking = bool(planner.active_servers)
        if self.ticking:
            self.deadlines.add(self.now + planner.sweep_interval_ms, self.tick)

    def reset(self, link: Link) -> None:
        """The connection breaks."""
        if not self.alive or link.closed:
            return
        self.enter()
        carry = link.load
        link.load = None
        if carry is None:
            cause = CloseReason.ENDED
        elif carry.written:
            cause = CloseReason.RESET
            self.pool.planner.on_request_lost(link.held, self.now, carry.wrote, reset=True)
        else:
            cause = CloseReason.REFUSED
        link.close(cause)
        if carry is not None:
            self.failed(carry)
            carry.end(Outcome.RESET if carry.written else Outcome.CONNECT_FAILED)
        self.rest()

    def cancel(self, attempt: Attempt) -> None:
        carry = attempt.link
        if carry is not None and not carry.over:
            carry.let_go()
            carry.give_up()

    def disconnect(self, backend: str) -> None:
        member = self.pool.members.get(backend)
        if member is not None:
            member.close_idle()

    def watch(self) -> None:
        self.world.watch(self)

    def probe(self, backend: str) -> None:
        self.world.probe(self, backend)

    def probed(self, result: face.Probed) -> None:
        if self.alive:
            self.enter()
            self.transactions.post(result)
            self.rest()

    def forget(self, link: Link) -> None:
        """A connection is closed; the server's side of it goes with it."""
        self.links.pop(link, None)
        self.deadlines.remove(link.limit)
        link.limit = None
        host = link.host
        if host is not None and host.links.pop(link, 0) is None and host.life == link.life:
            host.server.disconnect()

    # For those who look on

    def failed(self, carry: Carry) -> None:
        """Note that something went wrong there; a proxy may leave such a server alone for a while."""
        host = carry.host
        if host is not None:
            self.failures.pop(host, None)
            self.failures[host] = self.world.now

    def spared(self, since: int) -> "list[Host]":
        """Servers that failed it since a time or cannot be reached: it need not use them."""
        failures = self.failures
        while failures:
            host, at = next(iter(failures.items()))
            if at > since:
                break
            del failures[host]
        cut = self.world.cuts.get(self.number)
        if not cut:
            return list(failures)
        return list(dict.fromkeys([*failures, *(self.world.places[i].host for i in cut)]))

    def note(self, now: float, event: Any, actions: Sequence[Any]) -> None:
        """Put what the module was told and what it wants into the digest's trace."""
        world, pack, number = self.world, RECORD.pack, self.number
        trace, at, names = world.trace, world.now, world.indices
        what = EVENTS[type(event)]
        if what == 3:
            trace += pack(
                at, number, what, event.request, event.attempt, OUTCOMES[event.outcome] + event.elapsed * 16
            )
        elif what == 2:
            trace += pack(at, number, what, event.request, event.klass, event.deadline)
        else:
            trace += pack(at, number, what, getattr(event, "request", 0), 0, now)
        for action in actions:
            kind = type(action)
            if kind is face.Send:
                trace += pack(at, number, 16, action.request, names.get(action.backend, -1), action.timeout)
            elif kind is face.SetTimer:
                trace += pack(at, number, 21, action.token, 0, action.at)
            elif kind is face.Refuse:
                trace += pack(at, number, 17, action.request, 0, action.retry_after)
            else:
                backend = names.get(getattr(action, "backend", ""), -1)
                trace += pack(
                    at,
                    number,
                    ACTIONS[kind],
                    getattr(action, "request", 0),
                    backend,
                    getattr(action, "attempt", 0),
                )

    # Its end

    def stop(self) -> None:
        """The word to stop: it goes on for a while, then takes nothing more."""
        self.stopping = True
        self.world.at(self.world.now + ACCEPTING, self.close_the_door, None)

    def close_the_door(self, _: None) -> None:
        self.takes = False
        longest = max(c.deadline for c in self.world.scenario.classes)
        self.world.at(self.world.now + int(longest * 1000.0) + GRACE, self.world.end_proxy, self)

    def die(self) -> None:
        """Its process ends; the kernel closes its connections."""
        self.alive = self.takes = False
        for link in list(self.links):
            carry, link.load = link.load, None
            if carry is not None:
                carry.over = True
                if carry.written:
                    self.world.given_up(carry)
            link.closed = True
            self.forget(link)
