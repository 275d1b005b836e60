"""The driver of a policy that is agreed on: the machine, its store and streams, and who acts upon the rules.

It decides nothing. What the machine wants is stored first, sent then, and applied last.
"""

import logging
import os
import random
import sqlite3
from collections.abc import Callable, Mapping
from dataclasses import asdict
from math import inf, isfinite
from typing import Any

from msgspec import msgpack

from barleybarrow.agreement_messages import Entry, Message, Ready
from barleybarrow.incarnations import Incarnations
from barleybarrow.policy import PolicyError, Rules, parse_policy
from barleybarrow.policy_gate import PolicyGate
from barleybarrow.rollout import MAX_VOTERS, Drop, Electorate, Propose
from brackenusher.config.operators import PolicySettings
from brackenusher.core.admission import Request
from brackenusher.core.transaction import Transactions
from brackenusher.group.acting import Acting
from brackenusher.group.database import Worker, opened
from brackenusher.group.group_parts import GroupParts
from brackenusher.group.ordered_output import OrderedOutput
from brackenusher.group.store import Kept, Store
from brackenusher.membership.frames import Wish
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, Coroutine, EventLoop, clock
from brackenusher.runtime.points import failpoint
from brackenusher.runtime.timers import Timer as Limit
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

LEAST_WAIT = 1.0  # milliseconds between two turns of the machine
LONGEST_WAIT = 200.0  # and at most, so that a pause is noticed
STORE_AGAIN = 1000.0  # milliseconds after a store could not be made
ALONE = 2000.0  # milliseconds in which others may say that the store of one that votes alone is an old one
CLOSED = 500.0  # milliseconds that whoever is turned away is asked to wait


class Node:
    """One proxy's part in what the group agrees on; a `brackenusher.core.admission.Gate`."""

    def __init__(
        self,
        loop: EventLoop,
        transactions: Transactions,
        pool: Pool,
        name: str,
        settings: PolicySettings,
        house: GroupParts,
    ) -> None:
        self.loop, self.name, self.settings = loop, name, settings
        self.store: Store | None = None  # who does not vote, and never was to, needs none
        self.worker: Worker | None = None
        self.preparing = False
        kept = Kept()
        if name in settings.voters or os.path.exists(os.path.join(settings.folder, Store.NAME)):
            self.store, kept = self.open(settings.folder)
            self.worker = Worker()
        self.lives = kept.lives
        self.met = Incarnations(kept.met)
        self.meets = dict(kept.met)  # what is to be on disk of it
        self.cleared: set[str] = {name}
        self.old = False  # somebody knows its store to be later than it is
        self.governed = PolicyGate(
            name,
            list(settings.voters),
            random.Random(random.SystemRandom().getrandbits(64)),
            clock(),
            settings.fence,
            settings.within_s * 1000.0,
            kept.term,
            kept.vote,
            kept.snapshot,
            kept.entries,
            self.store is not None and len(settings.voters) > 1,
            self.store is not None,
        )
        agreement = self.governed.raft
        alone = self.store is not None and agreement.voters == [name] and agreement.quarantined
        # by its log it votes alone, whatever the file names
        self.alone_at = clock() + ALONE if alone else inf
        self.streams = house.streams
        self.streams.takers[b""] = self.heard
        self.streams.refused, self.streams.opened = self.refused, self.opened
        self.streams.known, self.streams.lives = self.known, self.lives
        self.inorder: OrderedOutput[Ready] = OrderedOutput(
            loop, self.worker, self.needs, self.keep, self.stored, "policy"
        )
        house.deeds.update(
            {
                "status": self.say_status,
                "history": self.say_history,
                "show": self.say_version,
                "propose": self.propose,
                "withdraw": self.withdraw,
                "drop": self.drop,
                "voters": self.elect,
            }
        )
        self.acting = Acting(transactions, pool)
        self.decoder: msgpack.Decoder[Message] = msgpack.Decoder(Message)
        self.due: Limit | None = None
        self.why = "behind"
        self.turned_away = 0
        self.phase = (0, 0, "")
        self.role = ""

    def open(self, folder: str) -> tuple[Store, Kept]:
        """The store, and what it holds. Raises ValueError."""
        store, kept = opened(Store, Store.load, folder, "policy")
        kept = kept or Kept()
        kept.lives += 1
        try:
            store.facts(lives=kept.lives)
        except (OSError, sqlite3.Error) as error:
            raise ValueError(f"policy.folder: {folder}: {error}") from error
        return store, kept

    # The start, and its times

    def start(self) -> None:
        if self.worker is not None:
            self.loop.spawn(self.finish(self.worker), self.worker.ours)
        self.work()

    def finish(self, worker: Worker) -> Coroutine:
        while True:
            yield READ
            worker.finish()

    def work(self) -> None:
        """Do what is due, and come back."""
        self.due = None
        now = clock()
        try:
            if self.alone_at < inf:
                self.ask_all(now)
            self.governed.tick(now)
            for name in self.governed.probe_targets:
                self.streams.nudge(name)
            self.pump(now)
        finally:
            self.again()

    def ask_all(self, now: float) -> None:
        """This one votes alone if its store is the latest: whoever has met a later start of it says so."""
        if now >= self.alone_at:
            self.alone_at = inf
            self.governed.raft.end_quarantine()
            return
        for name in {*self.settings.voters, *self.governed.rollout_state.roster} - {self.name}:
            self.streams.nudge(name)

    def again(self) -> None:
        self.loop.timers.remove(self.due)
        now = clock()
        when = min(max(self.governed.next_wakeup(), now + LEAST_WAIT), now + LONGEST_WAIT)
        self.due = self.loop.timers.add(when, self.work)

    # Store, send, apply

    def pump(self, now: float) -> None:
        """Take what the machine wants done, one after the other."""
        self.tell()
        ready = self.governed.take_ready() if self.inorder.idle else None
        if ready is not None:
            self.inorder.put(ready)

    def needs(self, ready: Ready) -> bool:
        return ready.hard_state is not None or bool(ready.entries) or ready.snapshot is not None

    def keep(self, ready: Ready) -> None:
        assert self.store is not None
        self.store.keep(ready)

    def stored(self, ready: Ready) -> None:
        """It is on disk: send, apply, and go on."""
        failpoint("before-send")
        for to, message in ready.messages:
            self.streams.send(to, msgpack.encode(message))
        failpoint("after-send")
        made = self.governed.on_stored(clock(), ready)
        if ready.committed_entries:
            failpoint("after-apply")
        if made is not None and self.store is not None and self.worker is not None:
            store = self.store
            self.worker.put(lambda: store.compact(made), lambda why: None)
        self.act()
        if self.store is None and self.name in self.governed.rollout_state.electorate:
            self.prepare()
        self.pump(clock())

    def prepare(self) -> None:
        """This one is to vote and has no store yet: make one with all that it holds, on a thread."""
        if self.preparing:
            return
        self.preparing = True
        worker, made = Worker(), list[tuple[Store, Kept]]()
        task = self.loop.spawn(self.finish(worker), worker.ours)

        def make() -> None:
            try:
                made.append(self.open(self.settings.folder))
            except ValueError as error:
                raise OSError(str(error)) from error

        def ready(why: str) -> None:
            self.preparing = False
            if why:
                log_event(log, logging.ERROR, "store_failed", "policy: no store to vote by: %(why)s", why=why)
                self.loop.timers.add(clock() + STORE_AGAIN, self.prepare)
                worker.close()
                task.stop()
                return
            self.worker = self.inorder.worker = worker
            self.store, kept = made[0]
            self.lives = self.streams.lives = kept.lives
            self.keep_whole()

        worker.put(make, ready)

    def keep_whole(self) -> None:
        """Have all that the machine holds on disk; what it wants stored later comes after it."""
        store, worker, whole = self.store, self.worker, self.governed.raft.full_state()
        assert store is not None and worker is not None

        def kept(why: str) -> None:
            if why:
                self.loop.timers.add(clock() + STORE_AGAIN, self.keep_whole)
            else:
                self.governed.on_store_ready(clock())
                log_event(log, logging.INFO, "store_made", "policy: keeps what it says on disk, and may vote")

        worker.put(lambda: store.keep(whole), kept)

    # Streams

    def heard(self, sender: str, data: bytes) -> None:
        self.governed.receive(clock(), sender, self.decoder.decode(data))
        self.pump(clock())
        self.again()

    def refused(self, name: str, began: float) -> None:
        self.governed.on_connection_refused(clock(), name, began)

    def opened(self, name: str, lives: int, run: int, then: Callable[[int | None], None]) -> None:
        """A peer opens a stream and says how often its store was opened.

        `then` is told what was known of that before, once this is on disk; None where it cannot be.
        """
        before, life = self.met.on_shown(name, lives, run)
        if life is None or self.store is None or self.worker is None:
            then(before)
            return
        store = self.store
        self.meets[name] = life
        meets = {n: (m.count, m.run_id, m.previous_count) for n, m in self.meets.items()}

        def kept(why: str) -> None:
            if not why:
                self.met.on_stored(name, life)
            then(None if why else before)

        self.worker.put(lambda: store.facts(met=meets), kept)

    def known(self, name: str, lives: int) -> None:
        """A peer says how often it knew this one's store to have been opened."""
        if self.store is None or name in self.cleared:
            return
        if lives >= self.lives and lives > 0:
            text = "policy: %(peer)s knows this proxy's store to be later than it is: no vote until caught up"
            log_event(log, logging.ERROR, "store_old", text, peer=name)
            self.lives = lives + 1
            self.streams.lives = self.lives
            self.cleared, self.alone_at, self.old = {self.name}, inf, True
            self.governed.raft.quarantined = True
            if self.store is not None and self.worker is not None:
                store, mine = self.store, self.lives
                self.worker.put(lambda: store.facts(lives=mine), lambda why: None)
            return
        agreement = self.governed.raft
        if name not in agreement.voters:
            return
        self.cleared.add(name)
        # what one knows no others can clear: it has to catch up
        able = self.governed.durable and not self.old
        if agreement.quarantined and able and len(self.cleared) >= agreement.majority:
            agreement.end_quarantine()

    # Acting upon the rules

    def ask(self, key: str, request: Request, now: float) -> float:
        """Whether a request of a tenant may come in: 0, or how many milliseconds to wait."""
        why = self.governed.admission_refusal(clock())
        if why:
            self.turned_away += 1
            return CLOSED
        return self.acting.ask(key, request, now)

    def act(self) -> None:
        """Act upon the rules of now, before anybody hears that they were taken up."""
        if self.governed.rules_changed:
            self.governed.rules_changed = False
            self.acting.act(self.governed.rules or Rules())

    def tell(self) -> None:
        """Log what has changed."""
        governed = self.governed
        why = governed.admission_refusal(clock())
        if why != self.why:
            self.why = why
            level = logging.WARNING if why else logging.INFO
            text = "policy: admits nothing: %(why)s" if why else "policy: admits"
            log_event(log, level, "policy_gate", text, **({"why": why} if why else {}))
        book = governed.rollout_state
        v = book.versions.get(book.pending)
        phase = (book.force, book.pending, v.phase if v is not None else "")
        if phase != self.phase:
            self.phase = phase
            text = "policy: at %(at).1f version %(force)d is in force; on its way: %(pending)d %(phase)s"
            facts = {"at": clock(), "force": book.force, "pending": book.pending, "phase": phase[2] or "none"}
            log_event(log, logging.INFO, "policy_version", text, **facts)
        role = governed.raft.role.value
        if role != self.role:
            self.role = role
            text, term = "policy: is %(role)s in term %(term)d", governed.raft.term
            log_event(log, logging.INFO, "policy_role", text, role=role, term=term)

    def ready(self) -> bool:
        return not self.governed.admission_refusal(clock())

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """Gauges for a collector."""
        status = self.governed.status(clock())
        found: Mapping[str, int] = {
            "policy_version": status.force,
            "policy_pending": status.pending,
            "policy_admits": int(status.admits),
            "policy_behind": len(status.missing),
            "policy_leads": int(status.role == "leader"),
            "policy_term": status.term,
            "policy_turned_away": self.turned_away,
            **{f"policy_{by}": count for by, count in self.acting.counts.items()},
            "policy_dropped": sum(self.streams.counts.values()) + self.governed.raft.dropped,
        }
        if isfinite(status.lease_left):
            found = {**found, "policy_lease_ms": int(status.lease_left)}
        return [(name, value, "g", []) for name, value in found.items()]

    # What staff want

    def say_status(self, wish: Wish) -> Any:
        found = asdict(self.governed.status(clock()))
        found["lease_left"] = found["lease_left"] if isfinite(found["lease_left"]) else None
        book, at = self.governed.rollout_state, self.streams.where(found["leader"])
        found["leader_at"] = "{}:{}".format(*at) if at is not None else ""
        number = book.by_id.get(wish.id, 0)
        found["asked"] = self.worded(number) if number else None
        return found

    def worded(self, number: int) -> dict[str, Any]:
        v = self.governed.rollout_state.versions[number]
        facts = ("number", "id", "who", "why", "at", "phase", "ended")
        return {name: getattr(v, name) for name in facts}

    def say_history(self, wish: Wish) -> Any:
        return [self.worded(number) for number in sorted(self.governed.rollout_state.versions)]

    def say_version(self, wish: Wish) -> Any:
        book = self.governed.rollout_state
        number = wish.number or book.force
        if number and number not in book.versions:
            raise PolicyError(f"version {number}: is not known")
        return {"number": number, "text": book.text(number)}

    def propose(self, wish: Wish) -> Any:
        parse_policy(wish.text)
        if not 0 < len(wish.id) <= 64 or len(wish.who) > 64 or len(wish.why) > 500:
            raise PolicyError("id, who or why: too long, or missing")
        self.governed.submit(clock(), Propose(wish.id, wish.who, wish.why, wish.at, wish.text))
        self.pump(clock())
        return {"sent": True}

    def withdraw(self, wish: Wish) -> Any:
        pending = self.governed.rollout_state.pending
        if not pending:
            raise PolicyError("nothing is on its way")
        self.governed.withdraw(clock(), pending, wish.who)
        self.pump(clock())
        return {"number": pending}

    def drop(self, wish: Wish) -> Any:
        if wish.id not in self.governed.rollout_state.roster:
            raise PolicyError(f"{wish.id}: is not on the roster")
        self.governed.submit(clock(), Drop(wish.id, wish.who))
        self.pump(clock())
        return {"sent": True}

    def elect(self, wish: Wish) -> Any:
        """Who is to vote, by names with blanks between them."""
        names, roster = wish.text.split(), self.governed.rollout_state.roster
        if not 1 <= len(names) <= MAX_VOTERS or len(set(names)) < len(names):
            raise PolicyError(f"voters: 1 to {MAX_VOTERS} names, each once")
        for name in names:
            if name not in roster:
                raise PolicyError(f"voters: {name} is not on the roster")
        self.governed.submit(clock(), Electorate(names, wish.who))
        self.pump(clock())
        return {"sent": True}

    def close(self) -> None:
        if self.worker is not None:
            self.worker.close()


__all__ = ["Entry", "Node"]
