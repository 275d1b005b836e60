"""Who else is there: SWIM's pings and gossip, a state machine fed datagrams and told the time.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(DSN 2002): each period a member pings one other, chosen by a shuffled round; without an answer it has a few
others ping that one; without an answer still it suspects it, and tells so on whatever it sends. A suspect
refutes by a greater incarnation. Here a suspicion kills nobody: it calls the suspect's observers, and a
majority of the view decides (`barleybarrow.view_agreement`, whose messages travel in these datagrams).

Each datagram is sealed (`seal`) and numbered by its sender. The numbers count in a window as in RFC 4303,
3.4.3, and only for a life of the sender that has answered a random nonce of ours: an old recording proves
nothing, and no clock is compared. Names, counts and rates are bounded;
`counts` says what was dropped, and why.
"""

from math import ceil, inf, log

import msgspec

from barleybarrow.views import ALIVE, DEAD, LEFT, MAX_MEMBERS, SUSPECT, View
from brackenusher.membership.seal import DATAGRAM, SealError, unseal
from brackenusher.membership.swim_members import BURST, LONGEST, RATE, SwimMembers
from brackenusher.membership.swim_messages import (
    ACK,
    PAGE,
    PING,
    PING_FOR,
    VIEW,
    Address,
    Member,
    Message,
    Probe,
    Update,
    Waiting,
    usable,
)

MOST_WAITING = 256  # pings and pings on behalf of others whose answer is awaited
INDIRECT = 3  # others that ping on one's behalf; the paper's k
ANSWER = 0.4  # of the period, until others are asked: the rest is theirs
GOSSIP, FANOUT = 0.2, 3  # of the period, how often news goes to so many others (as memberlist does)
BEHALF = 0.8  # of that, one that pings on another's behalf waits
SOUNDING = 0.27  # of the period, a ping that the agreement wants waits for its answer
STRANGE = 10  # periods, after which one that does not belong and does not answer is forgotten
FORGOTTEN = 300_000.0  # milliseconds for which a dead member is remembered, and looked for
LOOK_FOR = 10  # periods between looks for the dead, and for seeds that nobody knows
LIST = 30  # periods, times the ln of the group, after which another member is asked for its whole list


class Swim(SwimMembers):
    """One member. Whatever it returns is to be sent: datagrams with their addresses."""

    def next(self) -> float:
        """When it next has something to do."""
        ends = [self.next_probe, self.next_look, self.agreement.next_check]
        if self.news or self.records:
            ends.append(self.next_gossip)
        if self.probe is not None:
            ends.append(self.probe.ask_at if not self.probe.asked else self.probe.ends_at)
        ends += [w.until for w in self.waiting.values()]
        return min(ends)

    def live(self, epoch: int) -> None:
        """Take a later life, before anything was sent."""
        self.epoch = self.agreement.epoch = epoch

    def leave(self) -> list[tuple[bytes, Address]]:
        """The last word."""
        self.left = True
        self.note(Update(self.name, *self.address, self.epoch, self.incarnation, LEFT))
        others = self.alive()
        for m in self.rng.sample(others, min(len(others), 2 * INDIRECT)):
            self.send(m.address, PAGE, 0)
        return self.flush()

    def tick(self, now: float) -> list[tuple[bytes, Address]]:
        """Do what is due."""
        late = now - max(self.last, min(self.next_probe, self.next_look))
        if late > self.period:
            self.slept(now, late)
        self.last = now
        for nonce in [n for n, w in self.waiting.items() if w.until <= now]:
            w = self.waiting.pop(nonce)
            if w.name and not w.counted:
                self.agreement.on_missed_ping(now, w.name)
        probe = self.probe
        if probe is not None:
            if not probe.asked and now >= probe.ask_at:
                self.ask_others(now, probe)
            if now >= probe.ends_at:
                self.failed(now, probe)
        if now >= self.next_probe:
            self.begin_probe(now)
        if now >= self.next_look:
            self.look(now)
        if (self.news or self.records) and now >= self.next_gossip:
            self.gossip(now)
        self.agreement.tick(now)
        self.follow(now)
        return self.flush()

    def follow(self, now: float) -> None:
        """Carry out what the agreement wants."""
        agreement = self.agreement
        pings, agreement.pending_pings = agreement.pending_pings, []
        for name in pings:
            m = self.members.get(name)
            if m is not None:
                about = m.update() if m.state != ALIVE else None
                self.knock(now, Waiting(name, m.address, now + SOUNDING * self.period), about)
        while agreement.view_changes:
            life, before, after = agreement.view_changes.pop(0)
            self.views.append((life, after))
            self.turned(now, before, after)
        out, agreement.outbox = agreement.outbox, []
        for address, body in out:
            self.write(address, VIEW, 0, "", False, [], [], body)

    def turned(self, now: float, before: View | None, after: View | None) -> None:
        """Another view is there, or this life is over."""
        if self.epoch != self.agreement.epoch:
            self.epoch, self.incarnation = self.agreement.epoch, 0
            for m in self.members.values():
                m.trusts = False
            self.note(self.own())
        if after is None:
            return
        self.round = []  # drawn anew: who was met first would be left until the last
        for b in after.members:
            known = self.members.get(b.name)
            if b.name != self.name and (known is None or known.epoch < b.epoch):
                self.meet(now, Update(b.name, b.host, b.port, b.epoch, 0, ALIVE), known)
        for b in before.members if before is not None else ():
            known = self.members.get(b.name)
            if known is None or after.has_epoch(b.name, b.epoch):
                continue
            if known.epoch == b.epoch and known.state <= SUSPECT:
                self.changed(known.name, DEAD)
                known.state, known.state_since = DEAD, now
                self.news.pop(known.name, None)

    def slept(self, now: float, late: float) -> None:
        """This process stood still: what it did not hear meanwhile says nothing of others."""
        self.counts["slept"] += 1
        self.dazed = True
        self.probe = None
        self.waiting.clear()
        self.next_probe = now + self.rng.uniform(0.1, 1.0) * self.period  # no burst with others that wake
        self.next_gossip = max(self.next_gossip, now)
        self.agreement.on_stall(now)

    def begin_probe(self, now: float) -> None:
        span = self.period
        self.next_probe = now + span
        while self.round or self.shuffle():
            m = self.members.get(self.round.pop())
            if m is not None and m.state <= SUSPECT:
                nonce = self.ping(now, m, span)
                if nonce is not None:
                    self.probes += 1
                    self.probe = Probe(m.name, nonce, now + ANSWER * span, now + span)
                return

    def gossip(self, now: float) -> None:
        """Pass news on between pings too, so that a refutation is faster than a suspicion's end."""
        self.next_gossip = now + self.period * GOSSIP
        others = [m for m in self.alive() if m.trusts]
        for m in self.rng.sample(others, min(len(others), FANOUT)):
            if self.news or self.records:
                about = m.update() if m.state == SUSPECT else None
                self.send(m.address, PAGE, 0, about=about, news=True)

    def shuffle(self) -> bool:
        """A new round; False where there is nobody."""
        self.round = [m.name for m in self.alive()]
        self.rng.shuffle(self.round)
        return bool(self.round)

    def ping(
        self, now: float, m: Member, span: float, behalf: tuple[Address, int] | None = None
    ) -> int | None:
        """Ping a member; one that is thought ill of is told so first, so that it can refute."""
        about = m.update() if m.state != ALIVE else None
        joins = now >= self.next_list and behalf is None
        if joins:  # news may miss some, most of all while hardly anybody is known: have one tell its list
            longest = self.period * LIST * ceil(log(self.group() + 1))
            grown, self.listed = len(self.members) > self.listed, len(self.members)
            self.list_wait = 2 * self.period if grown else min(2 * self.list_wait, longest)
            self.next_list = now + self.list_wait
        return self.knock(now, Waiting(m.name, m.address, now + span, behalf), about, joins, m.trusts)

    def knock(
        self,
        now: float,
        waiting: Waiting,
        about: Update | None = None,
        joins: bool = False,
        news: bool = False,
    ) -> int | None:
        if len(self.waiting) >= MOST_WAITING:
            self.counts["waiting"] += 1
            return None
        nonce = self.rng.getrandbits(64)
        self.waiting[nonce] = waiting
        self.send(waiting.address, PING, nonce, waiting.name, joins, about, news)
        return nonce

    def ask_others(self, now: float, probe: Probe) -> None:
        others = [m for m in self.alive() if m.name != probe.name and m.verified and m.trusts]
        sure = [m for m in others if m.state == ALIVE]
        if len(sure) >= INDIRECT:  # where loss makes many suspects, most of them live: better than nobody
            others = sure
        chosen = self.rng.sample(others, min(INDIRECT, len(others)))
        for m in chosen:
            self.send(m.address, PING_FOR, probe.nonce, probe.name, news=m.trusts)
        probe.asked = len(chosen) or -1
        kept = self.waiting.get(probe.nonce)
        if kept is not None:
            kept.until, kept.counted = probe.ends_at, True
        self.agreement.on_missed_ping(now, probe.name)

    def failed(self, now: float, probe: Probe) -> None:
        """Neither it nor those asked have answered. Who is cut off itself accuses nobody."""
        self.probe = None
        self.failures += 1
        self.waiting.pop(probe.nonce, None)
        self.agreement.on_probe_result(now, False)
        m = self.members.get(probe.name)
        cut = self.agreement.view is not None and self.agreement.disconnected
        if m is not None and m.state <= SUSPECT and not cut:
            self.take(now, Update(m.name, *m.address, m.epoch, m.incarnation, SUSPECT, self.name))

    def look(self, now: float) -> None:
        """Forget who has long been dead; look for one of the others, and for a seed that nobody knows."""
        alone = not any(m.verified and m.state <= SUSPECT for m in self.members.values())
        outside = self.agreement.view is None
        self.next_look = now + self.period * (1 if alone or outside else LOOK_FOR)
        view, strange = self.agreement.view, now - STRANGE * self.period
        for m in list(self.members.values()):
            belongs = view is not None and m.name in view.by_name
            vanished = m.state == SUSPECT and m.state_since < strange and not belongs
            if vanished or (m.state > SUSPECT and now - m.state_since > FORGOTTEN):
                if m.state == SUSPECT:
                    self.changed(m.name, DEAD)
                del self.members[m.name]
                self.news.pop(m.name, None)
        gone = [m for m in self.members.values() if m.state == DEAD]
        if gone:
            self.ping(now, self.rng.choice(gone), self.period)
        known = {m.address for m in self.alive() if m.verified}
        unknown = [s for s in self.seeds if s not in known]
        for seed in unknown if alone else self.rng.sample(unknown, min(1, len(unknown))):
            self.knock(now, Waiting("", seed, now + self.period), joins=alone)

    def receive(self, now: float, data: bytes, source: Address) -> list[tuple[bytes, Address]]:
        """Take a datagram as it came, whatever it is."""
        self.allowance = min(BURST, self.allowance + (now - self.allowed_at) * RATE / 1000.0)
        self.allowed_at = now
        if self.allowance < 1.0:
            self.counts["rate"] += 1
            return []
        self.allowance -= 1.0
        if len(data) > LONGEST:
            self.counts["long"] += 1
            return []
        try:
            message = self.decoder.decode(unseal(self.keys, DATAGRAM, data))
        except SealError as why:
            self.counts[str(why)] += 1
        except (msgspec.MsgspecError, ValueError, RecursionError):
            self.counts["garbage"] += 1
        else:
            if message.sender == self.name:
                self.counts["name"] += 1  # somebody else goes by this name, or it is our own echo
            elif message.kind == PING and message.target not in ("", self.name):
                self.counts["target"] += 1  # for one that was here before
            elif self.credible(now, message, source):
                self.act(now, message, source)
        return self.flush()

    def credible(self, now: float, message: Message, source: Address) -> bool:
        """Whether the sender is who it says, now and for the first time; one not verified yet is asked to."""
        m = self.members.get(message.sender)
        if m is not None and m.verified and (m.epoch, m.address) == (message.epoch, source):
            if m.fresh(message.serial):
                return True
            self.counts["replayed"] += 1
            return False
        if m is not None and m.verified and m.state == ALIVE and m.address != source:
            if now - m.heard_at < 3 * self.period:
                self.counts["name"] += 1  # a name used by two: who was here first keeps it while it answers
                return False
        w = self.waiting.get(message.nonce) if message.kind == ACK else None
        if w is not None and w.address == source and w.name in ("", message.sender):
            return self.prove(now, message, source)
        if message.kind == PING:
            self.send(source, ACK, message.nonce)
            if m is not None and (m.epoch, m.address) == (message.epoch, source):
                m.trusts = True
            if not any(w.address == source and w.behalf is None for w in self.waiting.values()):
                self.knock(now, Waiting(message.sender, source, now + self.period, pages=message.joins))
        else:
            self.counts["unproved"] += 1
        return False

    def prove(self, now: float, message: Message, source: Address) -> bool:
        """The sender's life has answered a nonce."""
        m = self.members.get(message.sender)
        if m is None:
            if len(self.members) >= MAX_MEMBERS:
                self.counts["members"] += 1
                return False
            m = self.members[message.sender] = Member(message.sender, source, message.epoch, 0, ALIVE, now)
            self.changed(m.name, ALIVE)
            self.note(m.update())
        elif (m.epoch, m.address) != (message.epoch, source):  # another life; the same one has to refute
            if m.state > SUSPECT:
                self.changed(m.name, ALIVE)
            if m.epoch != message.epoch:
                m.incarnation = 0
            m.epoch, m.address, m.state, m.state_since = message.epoch, source, ALIVE, now
            m.paged_at, m.trusts = -inf, False
            self.note(m.update())
        m.verified, m.top, m.came = True, message.serial, 1
        return True

    def act(self, now: float, message: Message, source: Address) -> None:
        """What a credible message asks for and tells."""
        sender = self.members[message.sender]
        sender.heard_at = now
        self.agreement.on_heard(now, sender.name)
        if message.serial == sender.top:  # one that comes late says nothing of how things stand
            self.agreement.on_stamp(now, sender, message.stamp)
        if message.kind == VIEW and message.body is not None:
            self.agreement.receive(now, sender, message.stamp, message.body)
        for update in message.updates:
            self.take(now, update)
        self.heard += message.records
        if message.kind == PING:
            about = sender.update() if sender.state != ALIVE else None  # it pings, so it lives: let it say so
            self.send(source, ACK, message.nonce, about=about, news=True)
            sender.trusts = True
            if message.joins:
                self.page(now, sender)
        elif message.kind == PING_FOR:
            m = self.members.get(message.target)
            if m is not None:
                self.ping(now, m, ANSWER * BEHALF * self.period, (source, message.nonce))
        elif message.kind == ACK:
            self.answered(now, message, sender, source)

    def answered(self, now: float, message: Message, sender: Member, source: Address) -> None:
        probe, w = self.probe, self.waiting.get(message.nonce)
        if w is None:
            return
        if w.address == source and w.name in ("", sender.name):
            del self.waiting[message.nonce]
            self.dazed = False
            self.agreement.on_answer(now, sender.name)
            if w.pages:
                self.page(now, sender)
            if w.behalf is not None:
                self.send(w.behalf[0], ACK, w.behalf[1], sender.name)
        elif message.target != w.name or probe is None or probe.nonce != message.nonce:
            return  # neither who was pinged nor one that was asked to
        if probe is not None and probe.nonce == message.nonce:
            self.waiting.pop(message.nonce, None)
            self.probe = None
            self.agreement.on_probe_result(now, True)

    def take(self, now: float, update: Update) -> None:
        """Take up what is said of a member."""
        if update.name == self.name:
            self.refute(now, update)
            return
        m = self.members.get(update.name)
        if m is None:
            self.meet(now, update)
            return
        if update.state == SUSPECT and not self.accuses(update.by):
            return
        belongs = self.agreement.view is not None and self.agreement.view.has_epoch(m.name, m.epoch)
        if update.epoch == m.epoch and DEAD in (update.state, m.state) and (belongs or m.state == DEAD):
            return  # a view decides who is gone, and a life that is over does not come back
        if update.rank <= (m.epoch, m.incarnation, m.state):
            return
        if not usable(update):
            self.counts["garbage"] += 1
            return
        if update.epoch != m.epoch:
            m.verified = m.trusts = False
        m.epoch, m.incarnation, m.address = update.epoch, update.incarnation, (update.host, update.port)
        if m.state != update.state:
            self.changed(m.name, update.state)
            m.state, m.state_since = update.state, now
        self.note(update)

    def accuses(self, by: str) -> bool:
        """Whether a suspicion of somebody's counts: not of one that is under suspicion or gone itself."""
        m = self.members.get(by)
        return by == self.name or (m is not None and m.state == ALIVE)

    def refute(self, now: float, update: Update) -> None:
        """Contradict what is said of this member."""
        if update.epoch > self.epoch:
            if (update.host, update.port) == self.address:
                self.agreement.epoch = update.epoch  # the clock went back
                self.agreement.start_new_epoch(now)
                self.follow(now)
            else:
                self.counts["name"] += 1
        elif update.epoch == self.epoch and update.state != ALIVE and update.incarnation >= self.incarnation:
            if not self.left:
                self.incarnation = update.incarnation + 1
                self.note(self.own())
