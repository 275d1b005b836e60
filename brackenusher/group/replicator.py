"""Drives the replicated state: overrides by administrators, limits over all proxies, idempotency records.

All decisions are made by the protocol state machines. Their output is stored first and then sent; overrides
are enforced at once, before they are stored, as an override only ever restricts.
"""

import logging
import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from itertools import islice
from typing import Any

from msgspec import msgpack

from barleybarrow import interface as face
from barleybarrow.idempotency_records import IdempotencyRecords
from barleybarrow.idempotency_records import Message as Told
from barleybarrow.overrides import (
    KINDS,
    ActiveOverrides,
    Override,
    OverrideError,
    OverrideExpiry,
    decode_override,
    key_of,
)
from barleybarrow.rate_limiter import MAX_KEY_LENGTH, ZERO_RATE_WAIT_MS
from barleybarrow.replica import Message as Copied
from barleybarrow.replica import Ready, Replica, Stage, StoredReplica
from barleybarrow.shares import LimitShares, SharedRateLimiter
from barleybarrow.shares import Message as Shared
from brackenusher.config.operators import ReplicaSettings
from brackenusher.core.admission import Request
from brackenusher.core.transaction import Transactions
from brackenusher.group.database import Worker, opened
from brackenusher.group.group_parts import CommandRefusedError, GroupParts
from brackenusher.group.keyed_requests import KeyedRequests
from brackenusher.group.ordered_output import OrderedOutput
from brackenusher.group.replica_store import ReplicaStore
from brackenusher.membership.frames import Wish
from brackenusher.membership.peers import Peers
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, Coroutine, EventLoop, clock
from brackenusher.runtime.points import failpoint
from brackenusher.runtime.timers import Timer as Limit
from brackenusher.upstream.listing import Host
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

REPLICA_CHANNEL, SHARES_CHANNEL, RECORDS_CHANNEL = b"c", b"s", b"f"  # channels of the streams
MIN_WAKEUP_INTERVAL_MS, MAX_WAKEUP_INTERVAL_MS = 1.0, 200.0  # between two ticks
DENIED_RETRY_AFTER_MS = 500.0  # named to clients whose requests are denied
EXPIRY_CHECK_INTERVAL_MS = 1000.0  # between two checks for expired overrides
MAX_WRITE_OUTCOMES = 1000
MAX_KEYS_LISTED = 5000  # per command, so that the event loop is not blocked


class Replicator:
    """One proxy's replica; a `brackenusher.core.admission.Gate`."""

    def __init__(
        self,
        loop: EventLoop,
        transactions: Transactions,
        pool: Pool,
        name: str,
        settings: ReplicaSettings,
        group_parts: GroupParts,
        peers: Peers,
        rate_limiter: SharedRateLimiter | None,
        platform_settings: face.Settings,
    ) -> None:
        self.loop, self.transactions, self.pool, self.name = loop, transactions, pool, name
        self.settings, self.streams, self.peers = settings, group_parts.streams, peers
        acceptors = list(settings.keepers)
        stored, self.worker, store = None, None, None
        if name in acceptors:
            store, stored = opened(ReplicaStore, ReplicaStore.load, settings.folder, "replica")
            stored = stored or StoredReplica()
            if settings.from_empty and stored.origin:
                stored, aside = StoredReplica(), store.set_aside()
                log_event(log, logging.WARNING, "store_left", "replica: left aside as %(aside)s", aside=aside)
            self.worker = Worker()
        self.store: ReplicaStore | None = store
        rng = random.Random(random.SystemRandom().getrandbits(64))
        self.replica = Replica(name, acceptors, rng, clock(), stored, settings.entries)
        self.overrides, self.expiry = (
            ActiveOverrides(),
            OverrideExpiry(acceptors.index(name) if name in acceptors else -1),
        )
        self.overrides.update(self.replica.state, list(self.replica.state.slots))
        self.expiry.update(clock(), self.replica.state, list(self.replica.state.slots))
        self.shares: LimitShares | None = None
        if rate_limiter is not None and settings.limits:
            self.shares = LimitShares(
                name,
                acceptors,
                rng,
                clock(),
                platform_settings.proxies,
                lambda key: rate_limiter.limit_of(key).rate,
            )
            rate_limiter.shares = self.shares
        self.idempotency_records = IdempotencyRecords(name, clock()) if settings.fates else None
        self.past = (
            KeyedRequests(self.idempotency_records, transactions, platform_settings)
            if self.idempotency_records is not None
            else None
        )
        self.output: OrderedOutput[Ready] = OrderedOutput(
            loop, self.worker, self.needs_storing, self.write_to_store, self.on_stored, "replica"
        )
        self.replica_decoder: msgpack.Decoder[Copied] = msgpack.Decoder(Copied)
        self.shares_decoder: msgpack.Decoder[Shared] = msgpack.Decoder(Shared)
        self.records_decoder: msgpack.Decoder[Told] = msgpack.Decoder(Told)
        self.streams.handlers[RECORDS_CHANNEL] = self.on_records_message
        self.streams.handlers[REPLICA_CHANNEL] = self.on_replica_message
        self.streams.handlers[SHARES_CHANNEL] = self.on_shares_message
        group_parts.command_handlers.update(
            {
                "replica mark": self.set_override,
                "replica clear": self.clear_override,
                "replica resolve": self.resolve_conflict,
                "replica outcome": self.write_outcome,
                "replica show": self.list_overrides,
                "replica verify": self.compare_with_peers,
            }
        )
        self.started_at = clock()
        self.admits_while_behind = False
        self.wakeup_timer: Limit | None = None
        self.expiry_check_at = clock()
        self.last_token = 0
        self.write_outcomes: OrderedDict[int, str] = OrderedDict()
        self.denied_count = 0
        self.logged_state = ("", 0, False, 0)

    # Timers

    def start(self) -> None:
        if self.worker is not None:
            self.loop.spawn(self.run_completions(self.worker), self.worker.loop_socket)
        self.started_at = clock()
        self.on_wakeup()

    def run_completions(self, worker: Worker) -> Coroutine:
        while True:
            yield READ
            worker.run_callbacks()

    def on_wakeup(self) -> None:
        """Runs what is due and schedules the next wakeup."""
        self.wakeup_timer = None
        now, swim = clock(), self.peers.swim
        try:
            assert swim is not None
            self.replica.reachable = [m.name for m in swim.alive() if m.name != self.name]
            self.replica.tick(now)
            if self.shares is not None:
                self.shares.reachable = self.replica.reachable
                self.shares.tick(now)
            if self.idempotency_records is not None:
                self.idempotency_records.reachable = self.replica.reachable
                self.idempotency_records.tick(now)
            if now >= self.expiry_check_at:
                self.expiry_check_at = now + EXPIRY_CHECK_INTERVAL_MS
                self.clear_expired_overrides(now)
            if not self.admits_while_behind and self.replica.stage is Stage.BEHIND:
                self.admit_if_overdue(now)
            self.process_ready()
        finally:
            self.schedule_wakeup()

    def schedule_wakeup(self) -> None:
        self.loop.timers.remove(self.wakeup_timer)
        now, when = clock(), self.replica.next_wakeup()
        if self.shares is not None:
            when = min(when, self.shares.next_wakeup())
        if self.idempotency_records is not None:
            when = min(when, self.idempotency_records.next_wakeup())
        when = min(max(when, now + MIN_WAKEUP_INTERVAL_MS), now + MAX_WAKEUP_INTERVAL_MS)
        self.wakeup_timer = self.loop.timers.add(when, self.on_wakeup)

    def admit_if_overdue(self, now: float) -> None:
        """Admits by the local replica if it did not catch up in time, unless the settings refuse that."""
        if self.settings.refuse or now - self.started_at < self.settings.within_s * 1000.0:
            return
        self.admits_while_behind = True
        text = "replica: not caught up after %(after_s)d s: serves by what its own copy holds"
        log_event(log, logging.WARNING, "replica_behind", text, after_s=self.settings.within_s)

    def clear_expired_overrides(self, now: float) -> None:
        """Clears overrides that have expired, as the first acceptor that notices."""
        if self.replica.write_refusal():
            return
        for key in self.expiry.due(now):
            self.submit_write(key, None)

    # Storing and sending

    def process_ready(self) -> None:
        urgent, self.replica.immediate_messages = self.replica.immediate_messages, []
        for to, urgent_message in urgent:
            self.streams.send(to, msgpack.encode(urgent_message), REPLICA_CHANNEL)
        ready = self.replica.take_ready() if self.output.idle else None
        if ready is not None:
            if ready.changed_keys:
                self.enforce_changes(ready.changed_keys)
            self.output.put(ready)
        if self.shares is not None:
            out, self.shares.outgoing = self.shares.outgoing, []
            for to, message in out:
                self.streams.send(to, msgpack.encode(message), SHARES_CHANNEL)
        if self.idempotency_records is not None:
            updates, self.idempotency_records.outgoing = self.idempotency_records.outgoing, []
            for to, update in updates:
                self.streams.send(to, msgpack.encode(update), RECORDS_CHANNEL)
        self.log_changes()

    def needs_storing(self, ready: Ready) -> bool:
        return bool(ready.entries_by_key) or ready.metadata is not None

    def write_to_store(self, ready: Ready) -> None:
        assert self.store is not None
        self.store.keep(ready)

    def on_stored(self, ready: Ready) -> None:
        for to, message in ready.messages:
            self.streams.send(to, msgpack.encode(message), REPLICA_CHANNEL)
        failpoint("after-tell")
        for token, good in ready.write_results:
            self.write_outcomes[token] = "acknowledged" if good else "unknown"
            while len(self.write_outcomes) > MAX_WRITE_OUTCOMES:
                self.write_outcomes.popitem(last=False)
        self.process_ready()

    def on_replica_message(self, sender: str, data: bytes) -> None:
        self.replica.receive(clock(), sender, self.replica_decoder.decode(data))
        self.process_ready()

    def on_shares_message(self, sender: str, data: bytes) -> None:
        if self.shares is not None:
            self.shares.receive(clock(), sender, self.shares_decoder.decode(data))
            self.process_ready()

    def on_records_message(self, sender: str, data: bytes) -> None:
        if self.idempotency_records is not None:
            self.idempotency_records.receive(clock(), sender, self.records_decoder.decode(data))
            self.process_ready()

    def hurry(self, now: float, event: face.Event, actions: Sequence[Any]) -> None:
        """Observes transactions; idempotency records are sent without waiting for the next wakeup."""
        assert self.past is not None and self.idempotency_records is not None
        before = self.idempotency_records.flush_at
        self.past.on_event(now, event, actions)
        if self.idempotency_records.flush_at < before:
            self.schedule_wakeup()

    # Enforcement

    def enforce_changes(self, changed: list[str]) -> None:
        self.expiry.update(clock(), self.replica.state, changed)
        changed_overrides = self.overrides.update(self.replica.state, changed)
        names = [name for kind, name in changed_overrides if kind == "server" and name in self.pool.members]
        blocks = {int(name) for kind, name in changed_overrides if kind == "block"}
        if blocks:
            names += [m.name for m in self.pool.members.values() if m.host.cell in blocks]
        if names:
            self.transactions.post(self.pool.reevaluate(names))

    def bars(self, host: Host) -> bool:
        return host.name in self.overrides.servers or host.cell in self.overrides.blocks

    def ask(self, key: str, request: Request, now: float) -> float:
        """Returns 0 if the tenant's request is admitted, otherwise the milliseconds to wait."""
        if self.settings.refuse and self.replica.stage is Stage.BEHIND:
            self.denied_count += 1
            return DENIED_RETRY_AFTER_MS
        if key[:MAX_KEY_LENGTH] in self.overrides.tenants:
            self.denied_count += 1
            return ZERO_RATE_WAIT_MS
        return 0.0

    def ready(self) -> bool:
        return self.admits_while_behind or self.replica.stage is Stage.CAUGHT_UP

    def log_changes(self) -> None:
        """Logs changes of the replica's state."""
        replica, overrides = self.replica, self.overrides
        now = (
            replica.stage.value,
            len(overrides.conflicts),
            replica.has_diverged,
            replica.counts["store_old"],
        )
        if now == self.logged_state:
            return
        before, self.logged_state = self.logged_state, now
        if now[0] != before[0]:
            text = "replica: %(stage)s, %(entries)d entries"
            log_event(log, logging.INFO, "replica_stage", text, stage=now[0], entries=replica.state.size)
        if now[1] != before[1]:
            text, listed = (
                "replica: %(count)d in conflict: %(keys)s",
                " ".join(sorted(overrides.conflicts)[:10]),
            )
            log_event(log, logging.WARNING, "replica_conflicts", text, count=now[1], keys=listed or "-")
        if now[2] and not before[2]:
            text = "replica: a copy that has heard the same as this one holds something else"
            log_event(log, logging.ERROR, "replica_differs", text)
        if now[3] != before[3]:
            text = "replica: others know of more than its store holds: it counts as an empty one"
            log_event(log, logging.ERROR, "replica_store_old", text)
        replaced, replica.replaced_entries = replica.replaced_entries, []
        for entry in replaced:
            text = "replica: set aside, as a majority holds something else: %(key)s by %(origin)s"
            log_event(log, logging.ERROR, "replica_set_aside", text, key=entry.key, origin=entry.origin)

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """Gauges for the metrics collector."""
        replica = self.replica
        found: Mapping[str, int] = {
            "replica_caught_up": int(replica.stage is Stage.CAUGHT_UP),
            "replica_entries": replica.state.size,
            "replica_bytes": replica.state.bytes,
            "replica_removed": replica.state.tombstone_count,
            "replica_conflicts": len(self.overrides.conflicts),
            "replica_differs": int(replica.has_diverged),
            "replica_writes": len(replica.pending_writes),
            "replica_dropped": replica.state.counts["room"] + self.streams.counts["room"] + replica.dropped,
            "replica_turned_away": self.denied_count,
        }
        if self.past is not None and self.idempotency_records is not None:
            found = {
                **found,
                "replica_fates": len(self.idempotency_records.records),
                "replica_repeats_answered": self.past.answered_count,
                "replica_repeats_bound": self.past.pinned_count,
            }
        if self.shares is not None:
            found = {**found, "replica_warden": int(self.shares.credit_server == self.name)}
        return [(name, value, "g", []) for name, value in found.items()]

    # Commands of the administrators

    def submit_write(self, key: str, value: bytes | None) -> int:
        """Raises CommandRefusedError."""
        why = self.replica.write_refusal()
        if why:
            raise CommandRefusedError(f"{self.name} {why}")
        self.last_token += 1
        if not self.replica.write(clock(), self.last_token, key, value):
            reason = "is not marked" if value is None else "there is no room"
            raise CommandRefusedError(f"{key}: {reason}")
        self.write_outcomes[self.last_token] = "on its way"
        self.process_ready()
        self.schedule_wakeup()
        return self.last_token

    def override_key(self, wish: Wish) -> str:
        kind, _, name = wish.id.partition(" ")
        return key_of(kind, name)

    def set_override(self, wish: Wish) -> Any:
        key = self.override_key(wish)
        if len(wish.who) > 64 or len(wish.why) > 500 or not 0.0 <= wish.number <= 30 * 86_400:
            raise OverrideError("who, why or for: too long")
        value = msgpack.encode(Override(wish.who, wish.why, float(wish.number), wish.at))
        return {"token": self.submit_write(key, value)}

    def clear_override(self, wish: Wish) -> Any:
        return {"token": self.submit_write(self.override_key(wish), None)}

    def resolve_conflict(self, wish: Wish) -> Any:
        """Ends a conflict by writing the override again over all concurrent entries."""
        key = self.override_key(wish)
        slot = self.replica.state.slots.get(key, ())
        overriding = [e for e in slot if e.value is not None]
        if key not in self.overrides.conflicts:
            raise CommandRefusedError(f"{key}: is not in conflict")
        return {"token": self.submit_write(key, overriding[0].value)}

    def write_outcome(self, wish: Wish) -> Any:
        return {"outcome": self.write_outcomes.get(wish.number, "unknown")}

    def list_overrides(self, wish: Wish) -> Any:
        replica, found = self.replica, list[dict[str, Any]]()
        keys = [k for k in islice(replica.state.slots, MAX_KEYS_LISTED) if k.partition(" ")[0] in KINDS]
        for key in [*sorted(self.overrides.conflicts), *sorted(set(keys) - self.overrides.conflicts)]:
            entries = []
            for entry in replica.state.slots[key]:
                override = decode_override(entry)
                facts = {"origin": entry.origin, "number": entry.number, "marked": override is not None}
                if override is not None:
                    facts |= {
                        "who": override.who,
                        "why": override.why,
                        "for_s": override.for_s,
                        "at": override.at,
                    }
                entries.append(facts)
            if any(w["marked"] for w in entries):
                found.append({"key": key, "conflict": key in self.overrides.conflicts, "words": entries})
            if len(found) >= max(1, min(wish.number or 1000, 1000)):
                break
        return {
            "name": self.name,
            "stage": replica.stage.value,
            "marks": found,
            "entries": replica.state.size,
        }

    def compare_with_peers(self, wish: Wish) -> Any:
        """Compares this replica with the peers heard from recently."""
        replica, now = self.replica, clock()
        others = {}
        for name, other in sorted((n, o) for n, o in replica.peers.items() if o.run_id):
            covered = all(replica.state.vector.get(o, 0) >= n for o, n in other.vector.items())
            covers = all(other.vector.get(o, 0) >= n for o, n in replica.state.vector.items())
            relation = "has the same" if covered and covers else "is ahead" if covers else "is behind"
            others[name] = {
                "heard_ms": int(now - other.last_heard_at),
                "stands": "has other things" if not covered and not covers else relation,
            }
        shares = {}
        if self.shares is not None:
            keys = list(self.shares.grants)[:100]
            shares = {key: round(self.shares.share_of(key, now), 4) for key in keys}
        return {
            "name": self.name,
            "stage": replica.stage.value,
            "origin": replica.origin,
            "whole": replica.complete,
            "entries": replica.state.size,
            "removed": replica.state.tombstone_count,
            "bytes": replica.state.bytes,
            "print": f"{replica.state.digest:016x}",
            "differs": replica.has_diverged,
            "conflicts": sorted(self.overrides.conflicts)[:100],
            "others": others,
            "warden": self.shares.credit_server if self.shares is not None else "",
            "parts": shares,
            "base": round(self.shares.fallback_share, 4) if self.shares is not None else None,
            "counts": dict(replica.counts + replica.state.counts),
        }

    def close(self) -> None:
        if self.worker is not None:
            self.worker.close()
