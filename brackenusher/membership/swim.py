"""SWIM membership: failure detection by pings, and gossip. A sans-I/O protocol driven by datagrams and time.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(DSN 2002): each period a member pings one other, chosen by a shuffled round; without an answer it has a few
others ping that one; if still unanswered, it suspects it and gossips the suspicion. A suspect refutes with a
higher incarnation. Unlike in the paper, a suspicion never times out into a death: it notifies the suspect's
observers, and a majority of the view decides (`barleybarrow.view_agreement`, whose messages are carried in
these datagrams).

Each datagram is authenticated (`seal`) and has a sequence number of its sender. Replays are rejected by a
window as in RFC 4303, 3.4.3, and a sender's epoch is accepted only once it has answered a random nonce of
this process, so that a recorded datagram proves nothing and clocks are never compared. Names, counts and
rates are bounded; `counts` holds the number of dropped items by reason.
"""

from math import ceil, inf, log

import msgspec

from barleybarrow.views import ALIVE, DEAD, LEFT, MAX_MEMBERS, SUSPECT, View
from brackenusher.membership.seal import DATAGRAM, SealError, unseal
from brackenusher.membership.swim_members import (
    MAX_DATAGRAM_BURST,
    MAX_DATAGRAM_BYTES,
    MAX_DATAGRAMS_PER_S,
    SwimMembers,
)
from brackenusher.membership.swim_messages import (
    ACK,
    GOSSIP,
    PING,
    PING_REQ,
    VIEW,
    Address,
    Member,
    Message,
    PendingPing,
    Probe,
    Update,
    is_usable,
)

MAX_PENDING_PINGS = 256  # own pings and those on behalf of others
INDIRECT_PROBES = 3  # members that are asked to ping an unresponsive one; k in the paper
DIRECT_TIMEOUT_PERIODS = 0.4  # then others are asked to ping, which have the rest of the period
GOSSIP_INTERVAL_PERIODS, GOSSIP_FANOUT = 0.2, 3  # as in memberlist
INDIRECT_TIMEOUT_SHARE = 0.8  # of DIRECT_TIMEOUT_PERIODS, for a ping on another's behalf
AGREEMENT_PING_TIMEOUT_PERIODS = 0.27  # of a ping that the view agreement requests
NON_MEMBER_TIMEOUT_PERIODS = 10  # a silent process outside the view is then removed
DEAD_RETENTION_MS = 300_000.0  # a dead member is kept and pinged for this time
RECONNECT_INTERVAL_PERIODS = 10  # between pings to dead members and to seeds without a known member
LIST_REQUEST_PERIODS = 30  # times ln(group size): the maximum interval between requests for a full list


class Swim(SwimMembers):
    """One member. The methods return datagrams to be sent, with their addresses."""

    def next(self) -> float:
        """Return the time at which `tick` is next due."""
        deadlines = [self.next_probe, self.next_maintenance, self.agreement.next_check]
        if self.news or self.queued_records:
            deadlines.append(self.next_gossip)
        if self.probe is not None:
            deadlines.append(self.probe.indirect_at if not self.probe.indirect_sent else self.probe.ends_at)
        deadlines += [w.expires_at for w in self.waiting.values()]
        return min(deadlines)

    def set_epoch(self, epoch: int) -> None:
        """Set a higher epoch; only before anything was sent."""
        self.epoch = self.agreement.epoch = epoch

    def leave(self) -> list[tuple[bytes, Address]]:
        """Announce the departure to some members."""
        self.has_left = True
        self.queue_update(Update(self.name, *self.address, self.epoch, self.incarnation, LEFT))
        others = self.alive()
        for m in self.rng.sample(others, min(len(others), 2 * INDIRECT_PROBES)):
            self.send(m.address, GOSSIP, 0)
        return self.flush()

    def tick(self, now: float) -> list[tuple[bytes, Address]]:
        """Run the due actions."""
        overdue_ms = now - max(self.last_tick_at, min(self.next_probe, self.next_maintenance))
        if overdue_ms > self.period:
            self.on_stall(now, overdue_ms)
        self.last_tick_at = now
        for nonce in [n for n, w in self.waiting.items() if w.expires_at <= now]:
            w = self.waiting.pop(nonce)
            if w.name and not w.miss_reported:
                self.agreement.on_missed_ping(now, w.name)
        probe = self.probe
        if probe is not None:
            if not probe.indirect_sent and now >= probe.indirect_at:
                self.send_ping_requests(now, probe)
            if now >= probe.ends_at:
                self.on_probe_failed(now, probe)
        if now >= self.next_probe:
            self.begin_probe(now)
        if now >= self.next_maintenance:
            self.maintain_members(now)
        if (self.news or self.queued_records) and now >= self.next_gossip:
            self.gossip(now)
        self.agreement.tick(now)
        self.apply_agreement(now)
        return self.flush()

    def apply_agreement(self, now: float) -> None:
        """Send the pings and messages that the view agreement requests, and apply its view changes."""
        agreement = self.agreement
        pings, agreement.pending_pings = agreement.pending_pings, []
        for name in pings:
            m = self.members.get(name)
            if m is not None:
                about = m.update() if m.state != ALIVE else None
                self.send_ping(
                    now,
                    PendingPing(name, m.address, now + AGREEMENT_PING_TIMEOUT_PERIODS * self.period),
                    about,
                )
        while agreement.view_changes:
            epoch, before, after = agreement.view_changes.pop(0)
            self.views.append((epoch, after))
            self.on_view_change(now, before, after)
        outgoing, agreement.outbox = agreement.outbox, []
        for address, body in outgoing:
            self.add_datagram(address, VIEW, 0, "", False, [], [], body)

    def on_view_change(self, now: float, before: View | None, after: View | None) -> None:
        """A new view holds, or this epoch has ended."""
        if self.epoch != self.agreement.epoch:
            self.epoch, self.incarnation = self.agreement.epoch, 0
            for m in self.members.values():
                m.trusts_us = False
            self.queue_update(self.own_update())
        if after is None:
            return
        self.round = []  # reshuffle, else the members met first would be pinged last
        for b in after.members:
            known = self.members.get(b.name)
            if b.name != self.name and (known is None or known.epoch < b.epoch):
                self.add_unverified(now, Update(b.name, b.host, b.port, b.epoch, 0, ALIVE), known)
        for b in before.members if before is not None else ():
            known = self.members.get(b.name)
            if known is None or after.has_epoch(b.name, b.epoch):
                continue
            if known.epoch == b.epoch and known.state <= SUSPECT:
                self.on_state_change(known.name, DEAD)
                known.state, known.state_since = DEAD, now
                self.news.pop(known.name, None)

    def on_stall(self, now: float, overdue_ms: float) -> None:
        """Handle a stall of this process: missed answers are no evidence against others."""
        self.counts["slept"] += 1
        self.dazed = True
        self.probe = None
        self.waiting.clear()
        # jitter against a burst of processes that resume together
        self.next_probe = now + self.rng.uniform(0.1, 1.0) * self.period
        self.next_gossip = max(self.next_gossip, now)
        self.agreement.on_stall(now)

    def begin_probe(self, now: float) -> None:
        period = self.period
        self.next_probe = now + period
        while self.round or self.start_round():
            m = self.members.get(self.round.pop())
            if m is not None and m.state <= SUSPECT:
                nonce = self.ping(now, m, period)
                if nonce is not None:
                    self.probes += 1
                    self.probe = Probe(m.name, nonce, now + DIRECT_TIMEOUT_PERIODS * period, now + period)
                return

    def gossip(self, now: float) -> None:
        """Gossip between pings too, so that a refutation arrives before the suspicion is acted on."""
        self.next_gossip = now + self.period * GOSSIP_INTERVAL_PERIODS
        others = [m for m in self.alive() if m.trusts_us]
        for m in self.rng.sample(others, min(len(others), GOSSIP_FANOUT)):
            if self.news or self.queued_records:
                about = m.update() if m.state == SUSPECT else None
                self.send(m.address, GOSSIP, 0, about=about, with_gossip=True)

    def start_round(self) -> bool:
        """Shuffle the members for a new round; return whether there are any."""
        self.round = [m.name for m in self.alive()]
        self.rng.shuffle(self.round)
        return bool(self.round)

    def ping(
        self, now: float, m: Member, timeout_ms: float, on_behalf_of: tuple[Address, int] | None = None
    ) -> int | None:
        """Ping a member; a suspected one is sent the suspicion too, so that it can refute."""
        about = m.update() if m.state != ALIVE else None
        wants_list = now >= self.next_list_request and on_behalf_of is None
        if wants_list:  # gossip may miss members, most often while few are known: request a full list
            max_interval = self.period * LIST_REQUEST_PERIODS * ceil(log(self.group_size() + 1))
            has_grown, self.members_at_list_request = (
                len(self.members) > self.members_at_list_request,
                len(self.members),
            )
            self.list_request_interval = (
                2 * self.period if has_grown else min(2 * self.list_request_interval, max_interval)
            )
            self.next_list_request = now + self.list_request_interval
        return self.send_ping(
            now,
            PendingPing(m.name, m.address, now + timeout_ms, on_behalf_of),
            about,
            wants_list,
            m.trusts_us,
        )

    def send_ping(
        self,
        now: float,
        pending: PendingPing,
        about: Update | None = None,
        wants_list: bool = False,
        with_gossip: bool = False,
    ) -> int | None:
        if len(self.waiting) >= MAX_PENDING_PINGS:
            self.counts["waiting"] += 1
            return None
        nonce = self.rng.getrandbits(64)
        self.waiting[nonce] = pending
        self.send(pending.address, PING, nonce, pending.name, wants_list, about, with_gossip)
        return nonce

    def send_ping_requests(self, now: float, probe: Probe) -> None:
        others = [m for m in self.alive() if m.name != probe.name and m.verified and m.trusts_us]
        not_suspected = [m for m in others if m.state == ALIVE]
        if (
            len(not_suspected) >= INDIRECT_PROBES
        ):  # else use suspects: with heavy packet loss most of them are alive
            others = not_suspected
        chosen = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        for m in chosen:
            self.send(m.address, PING_REQ, probe.nonce, probe.name, with_gossip=m.trusts_us)
        probe.indirect_sent = len(chosen) or -1
        pending = self.waiting.get(probe.nonce)
        if pending is not None:
            pending.expires_at, pending.miss_reported = probe.ends_at, True
        self.agreement.on_missed_ping(now, probe.name)

    def on_probe_failed(self, now: float, probe: Probe) -> None:
        """No direct or indirect answer: suspect the member, unless this process is itself disconnected."""
        self.probe = None
        self.failures += 1
        self.waiting.pop(probe.nonce, None)
        self.agreement.on_probe_result(now, False)
        m = self.members.get(probe.name)
        disconnected = self.agreement.view is not None and self.agreement.disconnected
        if m is not None and m.state <= SUSPECT and not disconnected:
            self.apply_update(now, Update(m.name, *m.address, m.epoch, m.incarnation, SUSPECT, self.name))

    def maintain_members(self, now: float) -> None:
        """Remove members long dead; ping one of the other dead ones and a seed without a known member."""
        isolated = not any(m.verified and m.state <= SUSPECT for m in self.members.values())
        has_no_view = self.agreement.view is None
        self.next_maintenance = now + self.period * (
            1 if isolated or has_no_view else RECONNECT_INTERVAL_PERIODS
        )
        view, non_member_cutoff = self.agreement.view, now - NON_MEMBER_TIMEOUT_PERIODS * self.period
        for m in list(self.members.values()):
            in_view = view is not None and m.name in view.by_name
            is_lost = m.state == SUSPECT and m.state_since < non_member_cutoff and not in_view
            if is_lost or (m.state > SUSPECT and now - m.state_since > DEAD_RETENTION_MS):
                if m.state == SUSPECT:
                    self.on_state_change(m.name, DEAD)
                del self.members[m.name]
                self.news.pop(m.name, None)
        dead = [m for m in self.members.values() if m.state == DEAD]
        if dead:
            self.ping(now, self.rng.choice(dead), self.period)
        known = {m.address for m in self.alive() if m.verified}
        unreached = [s for s in self.seeds if s not in known]
        for seed in unreached if isolated else self.rng.sample(unreached, min(1, len(unreached))):
            self.send_ping(now, PendingPing("", seed, now + self.period), wants_list=isolated)

    def receive(self, now: float, data: bytes, source: Address) -> list[tuple[bytes, Address]]:
        """Handle a received datagram, which may be arbitrary bytes."""
        self.allowance = min(
            MAX_DATAGRAM_BURST, self.allowance + (now - self.allowed_at) * MAX_DATAGRAMS_PER_S / 1000.0
        )
        self.allowed_at = now
        if self.allowance < 1.0:
            self.counts["rate"] += 1
            return []
        self.allowance -= 1.0
        if len(data) > MAX_DATAGRAM_BYTES:
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
                self.counts["name"] += 1  # a duplicate name, or our own datagram reflected
            elif message.kind == PING and message.target not in ("", self.name):
                self.counts["target"] += 1  # meant for a previous process at this address
            elif self.authenticate(now, message, source):
                self.handle_message(now, message, source)
        return self.flush()

    def authenticate(self, now: float, message: Message, source: Address) -> bool:
        """Return whether the sender is verified and this is no replay; challenge an unverified sender."""
        m = self.members.get(message.sender)
        if m is not None and m.verified and (m.epoch, m.address) == (message.epoch, source):
            if m.accept_sequence(message.sequence):
                return True
            self.counts["replayed"] += 1
            return False
        if m is not None and m.verified and m.state == ALIVE and m.address != source:
            if now - m.heard_at < 3 * self.period:
                self.counts["name"] += 1  # duplicate name: the first process keeps it while it answers
                return False
        w = self.waiting.get(message.nonce) if message.kind == ACK else None
        if w is not None and w.address == source and w.name in ("", message.sender):
            return self.verify_sender(now, message, source)
        if message.kind == PING:
            self.send(source, ACK, message.nonce)
            if m is not None and (m.epoch, m.address) == (message.epoch, source):
                m.trusts_us = True
            if not any(w.address == source and w.on_behalf_of is None for w in self.waiting.values()):
                self.send_ping(
                    now, PendingPing(message.sender, source, now + self.period, wants_list=message.wants_list)
                )
        else:
            self.counts["unproved"] += 1
        return False

    def verify_sender(self, now: float, message: Message, source: Address) -> bool:
        """Mark the sender's epoch as verified, as it has answered a nonce."""
        m = self.members.get(message.sender)
        if m is None:
            if len(self.members) >= MAX_MEMBERS:
                self.counts["members"] += 1
                return False
            m = self.members[message.sender] = Member(message.sender, source, message.epoch, 0, ALIVE, now)
            self.on_state_change(m.name, ALIVE)
            self.queue_update(m.update())
        elif (m.epoch, m.address) != (
            message.epoch,
            source,
        ):  # another epoch; within one epoch a suspect must refute
            if m.state > SUSPECT:
                self.on_state_change(m.name, ALIVE)
            if m.epoch != message.epoch:
                m.incarnation = 0
            m.epoch, m.address, m.state, m.state_since = message.epoch, source, ALIVE, now
            m.list_sent_at, m.trusts_us = -inf, False
            self.queue_update(m.update())
        m.verified, m.highest_sequence, m.received_bits = True, message.sequence, 1
        return True

    def handle_message(self, now: float, message: Message, source: Address) -> None:
        """Handle an authenticated message."""
        sender = self.members[message.sender]
        sender.heard_at = now
        self.agreement.on_heard(now, sender.name)
        if message.sequence == sender.highest_sequence:  # a reordered one carries an outdated stamp
            self.agreement.on_stamp(now, sender, message.stamp)
        if message.kind == VIEW and message.body is not None:
            self.agreement.receive(now, sender, message.stamp, message.body)
        for update in message.updates:
            self.apply_update(now, update)
        self.received_records += message.records
        if message.kind == PING:
            # a suspect that pings is alive: let it refute
            about = sender.update() if sender.state != ALIVE else None
            self.send(source, ACK, message.nonce, about=about, with_gossip=True)
            sender.trusts_us = True
            if message.wants_list:
                self.send_member_list(now, sender)
        elif message.kind == PING_REQ:
            m = self.members.get(message.target)
            if m is not None:
                self.ping(
                    now,
                    m,
                    DIRECT_TIMEOUT_PERIODS * INDIRECT_TIMEOUT_SHARE * self.period,
                    (source, message.nonce),
                )
        elif message.kind == ACK:
            self.on_ack(now, message, sender, source)

    def on_ack(self, now: float, message: Message, sender: Member, source: Address) -> None:
        probe, w = self.probe, self.waiting.get(message.nonce)
        if w is None:
            return
        if w.address == source and w.name in ("", sender.name):
            del self.waiting[message.nonce]
            self.dazed = False
            self.agreement.on_answer(now, sender.name)
            if w.wants_list:
                self.send_member_list(now, sender)
            if w.on_behalf_of is not None:
                self.send(w.on_behalf_of[0], ACK, w.on_behalf_of[1], sender.name)
        elif message.target != w.name or probe is None or probe.nonce != message.nonce:
            return  # from neither the pinged member nor one asked to ping it
        if probe is not None and probe.nonce == message.nonce:
            self.waiting.pop(message.nonce, None)
            self.probe = None
            self.agreement.on_probe_result(now, True)

    def apply_update(self, now: float, update: Update) -> None:
        """Apply a gossiped update about a member."""
        if update.name == self.name:
            self.refute(now, update)
            return
        m = self.members.get(update.name)
        if m is None:
            self.add_unverified(now, update)
            return
        if update.state == SUSPECT and not self.may_accuse(update.by):
            return
        in_view = self.agreement.view is not None and self.agreement.view.has_epoch(m.name, m.epoch)
        if update.epoch == m.epoch and DEAD in (update.state, m.state) and (in_view or m.state == DEAD):
            return  # only a view declares members dead, and an epoch that has ended never resumes
        if update.rank <= (m.epoch, m.incarnation, m.state):
            return
        if not is_usable(update):
            self.counts["garbage"] += 1
            return
        if update.epoch != m.epoch:
            m.verified = m.trusts_us = False
        m.epoch, m.incarnation, m.address = update.epoch, update.incarnation, (update.host, update.port)
        if m.state != update.state:
            self.on_state_change(m.name, update.state)
            m.state, m.state_since = update.state, now
        self.queue_update(update)

    def may_accuse(self, by: str) -> bool:
        """Return whether a member may suspect others: not if it is itself suspected or gone."""
        m = self.members.get(by)
        return by == self.name or (m is not None and m.state == ALIVE)

    def refute(self, now: float, update: Update) -> None:
        """Refute an update about this member with a higher incarnation, or a higher epoch."""
        if update.epoch > self.epoch:
            if (update.host, update.port) == self.address:
                self.agreement.epoch = update.epoch  # our clock was set back
                self.agreement.start_new_epoch(now)
                self.apply_agreement(now)
            else:
                self.counts["name"] += 1
        elif update.epoch == self.epoch and update.state != ALIVE and update.incarnation >= self.incarnation:
            if not self.has_left:
                self.incarnation = update.incarnation + 1
                self.queue_update(self.own_update())
