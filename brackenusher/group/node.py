"""Drives the Raft group that replicates the policy: its store, its streams, and enforcement of the rules.

All decisions are made by the protocol state machine. Its output is stored first, then sent, and applied last.
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
from brackenusher.group.store import Store, StoredState
from brackenusher.membership.frames import Wish
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, Coroutine, EventLoop, clock
from brackenusher.runtime.points import failpoint
from brackenusher.runtime.timers import Timer as Limit
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

MIN_WAKEUP_INTERVAL_MS = 1.0  # between two ticks of the state machine
MAX_WAKEUP_INTERVAL_MS = 200.0  # bounded so that a stall of the process is noticed
STORE_RETRY_INTERVAL_MS = 1000.0  # after a store could not be created
SINGLE_VOTER_QUARANTINE_MS = 2000.0  # in which peers may report that the store of the only voter is outdated
DENIED_RETRY_AFTER_MS = 500.0  # named to clients whose requests are denied


class Node:
    """One proxy's member of the Raft group; a `brackenusher.core.admission.Gate`."""

    def __init__(
        self,
        loop: EventLoop,
        transactions: Transactions,
        pool: Pool,
        name: str,
        settings: PolicySettings,
        group_parts: GroupParts,
    ) -> None:
        self.loop, self.name, self.settings = loop, name, settings
        self.store: Store | None = None  # None on members that have never been voters
        self.worker: Worker | None = None
        self.creating_store = False
        stored = StoredState()
        if name in settings.voters or os.path.exists(os.path.join(settings.folder, Store.NAME)):
            self.store, stored = self.open_store(settings.folder)
            self.worker = Worker()
        self.store_opens = stored.lives
        self.peer_incarnations = Incarnations(stored.met)
        self.queued_incarnations = dict(stored.met)  # as last queued for the store
        self.confirmed_by: set[str] = {name}
        self.store_outdated = False  # a peer has seen a later state of this store
        self.policy_gate = PolicyGate(
            name,
            list(settings.voters),
            random.Random(random.SystemRandom().getrandbits(64)),
            clock(),
            settings.fence,
            settings.within_s * 1000.0,
            stored.term,
            stored.vote,
            stored.snapshot,
            stored.entries,
            self.store is not None and len(settings.voters) > 1,
            self.store is not None,
        )
        raft = self.policy_gate.raft
        only_voter = self.store is not None and raft.voters == [name] and raft.quarantined
        # the log names this proxy as the only voter, whatever the operators' file says
        self.quarantine_ends_at = clock() + SINGLE_VOTER_QUARANTINE_MS if only_voter else inf
        self.streams = group_parts.streams
        self.streams.handlers[b""] = self.on_message
        self.streams.on_connection_refused, self.streams.on_stream_opened = (
            self.on_connection_refused,
            self.on_stream_opened,
        )
        self.streams.on_recorded_opens, self.streams.store_opens = self.on_recorded_opens, self.store_opens
        self.output: OrderedOutput[Ready] = OrderedOutput(
            loop, self.worker, self.needs_storing, self.write_to_store, self.on_stored, "policy"
        )
        group_parts.command_handlers.update(
            {
                "status": self.status_command,
                "history": self.history_command,
                "show": self.show_command,
                "propose": self.propose,
                "withdraw": self.withdraw,
                "drop": self.drop,
                "voters": self.set_voters,
            }
        )
        self.enforcer = Acting(transactions, pool)
        self.decoder: msgpack.Decoder[Message] = msgpack.Decoder(Message)
        self.wakeup_timer: Limit | None = None
        self.logged_denial = "behind"
        self.denied_count = 0
        self.logged_rollout = (0, 0, "")
        self.logged_role = ""

    def open_store(self, folder: str) -> tuple[Store, StoredState]:
        """Opens the store and returns it with its contents. Raises ValueError."""
        store, stored = opened(Store, Store.load, folder, "policy")
        stored = stored or StoredState()
        stored.lives += 1
        try:
            store.facts(lives=stored.lives)
        except (OSError, sqlite3.Error) as error:
            raise ValueError(f"policy.folder: {folder}: {error}") from error
        return store, stored

    # Start and timers

    def start(self) -> None:
        if self.worker is not None:
            self.loop.spawn(self.run_completions(self.worker), self.worker.loop_socket)
        self.on_wakeup()

    def run_completions(self, worker: Worker) -> Coroutine:
        while True:
            yield READ
            worker.run_callbacks()

    def on_wakeup(self) -> None:
        """Runs what is due and schedules the next wakeup."""
        self.wakeup_timer = None
        now = clock()
        try:
            if self.quarantine_ends_at < inf:
                self.check_store_is_latest(now)
            self.policy_gate.tick(now)
            for name in self.policy_gate.probe_targets:
                self.streams.probe(name)
            self.process_ready(now)
        finally:
            self.schedule_wakeup()

    def check_store_is_latest(self, now: float) -> None:
        """Contacts all members; one that recorded a later opening of the only voter's store reports it."""
        if now >= self.quarantine_ends_at:
            self.quarantine_ends_at = inf
            self.policy_gate.raft.end_quarantine()
            return
        for name in {*self.settings.voters, *self.policy_gate.rollout_state.roster} - {self.name}:
            self.streams.probe(name)

    def schedule_wakeup(self) -> None:
        self.loop.timers.remove(self.wakeup_timer)
        now = clock()
        when = min(
            max(self.policy_gate.next_wakeup(), now + MIN_WAKEUP_INTERVAL_MS), now + MAX_WAKEUP_INTERVAL_MS
        )
        self.wakeup_timer = self.loop.timers.add(when, self.on_wakeup)

    # Store, send, apply

    def process_ready(self, now: float) -> None:
        """Takes the next output of the state machine once the previous one is done."""
        self.log_changes()
        ready = self.policy_gate.take_ready() if self.output.idle else None
        if ready is not None:
            self.output.put(ready)

    def needs_storing(self, ready: Ready) -> bool:
        return ready.hard_state is not None or bool(ready.entries) or ready.snapshot is not None

    def write_to_store(self, ready: Ready) -> None:
        assert self.store is not None
        self.store.keep(ready)

    def on_stored(self, ready: Ready) -> None:
        """Called once the output is durable: sends, applies, and continues."""
        failpoint("before-send")
        for to, message in ready.messages:
            self.streams.send(to, msgpack.encode(message))
        failpoint("after-send")
        snapshot = self.policy_gate.on_stored(clock(), ready)
        if ready.committed_entries:
            failpoint("after-apply")
        if snapshot is not None and self.store is not None and self.worker is not None:
            store = self.store
            self.worker.submit(lambda: store.compact(snapshot), lambda why: None)
        self.enforce_rules()
        if self.store is None and self.name in self.policy_gate.rollout_state.electorate:
            self.create_store()
        self.process_ready(clock())

    def create_store(self) -> None:
        """Creates a store with the full state, on a thread, for a member that becomes a voter."""
        if self.creating_store:
            return
        self.creating_store = True
        worker, created = Worker(), list[tuple[Store, StoredState]]()
        task = self.loop.spawn(self.run_completions(worker), worker.loop_socket)

        def make() -> None:
            try:
                created.append(self.open_store(self.settings.folder))
            except ValueError as error:
                raise OSError(str(error)) from error

        def on_created(why: str) -> None:
            self.creating_store = False
            if why:
                log_event(log, logging.ERROR, "store_failed", "policy: no store to vote by: %(why)s", why=why)
                self.loop.timers.add(clock() + STORE_RETRY_INTERVAL_MS, self.create_store)
                worker.close()
                task.stop()
                return
            self.worker = self.output.worker = worker
            self.store, stored = created[0]
            self.store_opens = self.streams.store_opens = stored.lives
            self.store_full_state()

        worker.submit(make, on_created)

    def store_full_state(self) -> None:
        """Writes the full state to the new store; later output is stored after it."""
        store, worker, full_state = self.store, self.worker, self.policy_gate.raft.full_state()
        assert store is not None and worker is not None

        def on_result(why: str) -> None:
            if why:
                self.loop.timers.add(clock() + STORE_RETRY_INTERVAL_MS, self.store_full_state)
            else:
                self.policy_gate.on_store_ready(clock())
                log_event(log, logging.INFO, "store_made", "policy: keeps what it says on disk, and may vote")

        worker.submit(lambda: store.keep(full_state), on_result)

    # Streams

    def on_message(self, sender: str, data: bytes) -> None:
        self.policy_gate.receive(clock(), sender, self.decoder.decode(data))
        self.process_ready(clock())
        self.schedule_wakeup()

    def on_connection_refused(self, name: str, began: float) -> None:
        self.policy_gate.on_connection_refused(clock(), name, began)

    def on_stream_opened(
        self, name: str, store_opens: int, run_id: int, then: Callable[[int | None], None]
    ) -> None:
        """A peer opens a stream and reports how often its store was opened.

        `then` gets the count known before, once the new one is durable; None if it cannot be stored.
        """
        before, incarnation = self.peer_incarnations.on_shown(name, store_opens, run_id)
        if incarnation is None or self.store is None or self.worker is None:
            then(before)
            return
        store = self.store
        self.queued_incarnations[name] = incarnation
        incarnations = {n: (m.count, m.run_id, m.previous_count) for n, m in self.queued_incarnations.items()}

        def on_result(why: str) -> None:
            if not why:
                self.peer_incarnations.on_stored(name, incarnation)
            then(None if why else before)

        self.worker.submit(lambda: store.facts(met=incarnations), on_result)

    def on_recorded_opens(self, name: str, recorded_opens: int) -> None:
        """A peer reports how many openings of this proxy's store it has recorded."""
        if self.store is None or name in self.confirmed_by:
            return
        if recorded_opens >= self.store_opens and recorded_opens > 0:
            text = "policy: %(peer)s knows this proxy's store to be later than it is: no vote until caught up"
            log_event(log, logging.ERROR, "store_old", text, peer=name)
            self.store_opens = recorded_opens + 1
            self.streams.store_opens = self.store_opens
            self.confirmed_by, self.quarantine_ends_at, self.store_outdated = {self.name}, inf, True
            self.policy_gate.raft.quarantined = True
            if self.store is not None and self.worker is not None:
                store, own_opens = self.store, self.store_opens
                self.worker.submit(lambda: store.facts(lives=own_opens), lambda why: None)
            return
        raft = self.policy_gate.raft
        if name not in raft.voters:
            return
        self.confirmed_by.add(name)
        # one such report cannot be outvoted: the member has to catch up
        may_end = self.policy_gate.durable and not self.store_outdated
        if raft.quarantined and may_end and len(self.confirmed_by) >= raft.majority:
            raft.end_quarantine()

    # Enforcement of the rules

    def ask(self, key: str, request: Request, now: float) -> float:
        """Returns 0 if the tenant's request is admitted, otherwise the milliseconds to wait."""
        why = self.policy_gate.admission_refusal(clock())
        if why:
            self.denied_count += 1
            return DENIED_RETRY_AFTER_MS
        return self.enforcer.ask(key, request, now)

    def enforce_rules(self) -> None:
        """Enforces the current rules before their application is reported to anyone."""
        if self.policy_gate.rules_changed:
            self.policy_gate.rules_changed = False
            self.enforcer.act(self.policy_gate.rules or Rules())

    def log_changes(self) -> None:
        """Logs changes of admission, rollout and role."""
        policy_gate = self.policy_gate
        why = policy_gate.admission_refusal(clock())
        if why != self.logged_denial:
            self.logged_denial = why
            level = logging.WARNING if why else logging.INFO
            text = "policy: admits nothing: %(why)s" if why else "policy: admits"
            log_event(log, level, "policy_gate", text, **({"why": why} if why else {}))
        rollout_state = policy_gate.rollout_state
        v = rollout_state.versions.get(rollout_state.pending)
        phase = (rollout_state.force, rollout_state.pending, v.phase if v is not None else "")
        if phase != self.logged_rollout:
            self.logged_rollout = phase
            text = "policy: at %(at).1f version %(force)d is in force; on its way: %(pending)d %(phase)s"
            facts = {
                "at": clock(),
                "force": rollout_state.force,
                "pending": rollout_state.pending,
                "phase": phase[2] or "none",
            }
            log_event(log, logging.INFO, "policy_version", text, **facts)
        role = policy_gate.raft.role.value
        if role != self.logged_role:
            self.logged_role = role
            text, term = "policy: is %(role)s in term %(term)d", policy_gate.raft.term
            log_event(log, logging.INFO, "policy_role", text, role=role, term=term)

    def ready(self) -> bool:
        return not self.policy_gate.admission_refusal(clock())

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """Gauges for the metrics collector."""
        status = self.policy_gate.status(clock())
        found: Mapping[str, int] = {
            "policy_version": status.force,
            "policy_pending": status.pending,
            "policy_admits": int(status.admits),
            "policy_behind": len(status.missing),
            "policy_leads": int(status.role == "leader"),
            "policy_term": status.term,
            "policy_turned_away": self.denied_count,
            **{f"policy_{by}": count for by, count in self.enforcer.counts.items()},
            "policy_dropped": sum(self.streams.counts.values()) + self.policy_gate.raft.dropped,
        }
        if isfinite(status.lease_left):
            found = {**found, "policy_lease_ms": int(status.lease_left)}
        return [(name, value, "g", []) for name, value in found.items()]

    # Commands of the administrators

    def status_command(self, wish: Wish) -> Any:
        found = asdict(self.policy_gate.status(clock()))
        found["lease_left"] = found["lease_left"] if isfinite(found["lease_left"]) else None
        rollout_state, at = self.policy_gate.rollout_state, self.streams.address_of(found["leader"])
        found["leader_at"] = "{}:{}".format(*at) if at is not None else ""
        number = rollout_state.by_id.get(wish.id, 0)
        found["asked"] = self.version_facts(number) if number else None
        return found

    def version_facts(self, number: int) -> dict[str, Any]:
        v = self.policy_gate.rollout_state.versions[number]
        facts = ("number", "id", "who", "why", "at", "phase", "ended")
        return {name: getattr(v, name) for name in facts}

    def history_command(self, wish: Wish) -> Any:
        return [self.version_facts(number) for number in sorted(self.policy_gate.rollout_state.versions)]

    def show_command(self, wish: Wish) -> Any:
        rollout_state = self.policy_gate.rollout_state
        number = wish.number or rollout_state.force
        if number and number not in rollout_state.versions:
            raise PolicyError(f"version {number}: is not known")
        return {"number": number, "text": rollout_state.text(number)}

    def propose(self, wish: Wish) -> Any:
        parse_policy(wish.text)
        if not 0 < len(wish.id) <= 64 or len(wish.who) > 64 or len(wish.why) > 500:
            raise PolicyError("id, who or why: too long, or missing")
        self.policy_gate.submit(clock(), Propose(wish.id, wish.who, wish.why, wish.at, wish.text))
        self.process_ready(clock())
        return {"sent": True}

    def withdraw(self, wish: Wish) -> Any:
        pending = self.policy_gate.rollout_state.pending
        if not pending:
            raise PolicyError("nothing is on its way")
        self.policy_gate.withdraw(clock(), pending, wish.who)
        self.process_ready(clock())
        return {"number": pending}

    def drop(self, wish: Wish) -> Any:
        if wish.id not in self.policy_gate.rollout_state.roster:
            raise PolicyError(f"{wish.id}: is not on the roster")
        self.policy_gate.submit(clock(), Drop(wish.id, wish.who))
        self.process_ready(clock())
        return {"sent": True}

    def set_voters(self, wish: Wish) -> Any:
        """Proposes the voters, named in the text and separated by blanks."""
        names, roster = wish.text.split(), self.policy_gate.rollout_state.roster
        if not 1 <= len(names) <= MAX_VOTERS or len(set(names)) < len(names):
            raise PolicyError(f"voters: 1 to {MAX_VOTERS} names, each once")
        for name in names:
            if name not in roster:
                raise PolicyError(f"voters: {name} is not on the roster")
        self.policy_gate.submit(clock(), Electorate(names, wish.who))
        self.process_ready(clock())
        return {"sent": True}

    def close(self) -> None:
        if self.worker is not None:
            self.worker.close()


__all__ = ["Entry", "Node"]
