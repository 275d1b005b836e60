"""The driver of the replicated state: marks of staff, limits over all proxies, and who acts upon them.

It decides nothing. What the machine wants is stored first and sent then; what it means is acted upon at once,
as a mark only ever takes away.
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
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import READ, Coroutine, Loop, clock
from brackenusher.runtime.points import reach
from brackenusher.runtime.timers import Entry as Limit
from brackenusher.upstream.listing import Host
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

COPIES, SHARES, FATES = b"c", b"s", b"f"  # parts of the streams
LEAST_WAIT, LONGEST_WAIT = 1.0, 200.0  # milliseconds between two turns of the machines
CLOSED = 500.0  # milliseconds that whoever is turned away is asked to wait
LAPSE = 1000.0  # between two looks at marks that are for a span
MOST_OUTCOMES = 1000
MOST_LOOKED = 5000  # keys that one question looks at: the loop must not be held up


class Replicator:
    """One proxy's copy; a `brackenusher.core.admission.Gate`."""

    def __init__(
        self,
        loop: Loop,
        transactions: Transactions,
        pool: Pool,
        name: str,
        settings: ReplicaSettings,
        house: GroupParts,
        peers: Peers,
        door: SharedRateLimiter | None,
        wanted: face.Settings,
    ) -> None:
        self.loop, self.transactions, self.pool, self.name = loop, transactions, pool, name
        self.settings, self.streams, self.peers = settings, house.streams, peers
        keepers = list(settings.keepers)
        kept, self.worker, shelf = None, None, None
        if name in keepers:
            shelf, kept = opened(ReplicaStore, ReplicaStore.load, settings.folder, "replica")
            kept = kept or StoredReplica()
            if settings.from_empty and kept.origin:
                kept, aside = StoredReplica(), shelf.set_aside()
                say(log, logging.WARNING, "store_left", "replica: left aside as %(aside)s", aside=aside)
            self.worker = Worker()
        self.shelf: ReplicaStore | None = shelf
        rng = random.Random(random.SystemRandom().getrandbits(64))
        self.machine = Replica(name, keepers, rng, clock(), kept, settings.entries)
        self.effect, self.lapses = (
            ActiveOverrides(),
            OverrideExpiry(keepers.index(name) if name in keepers else -1),
        )
        self.effect.update(self.machine.state, list(self.machine.state.slots))
        self.lapses.update(clock(), self.machine.state, list(self.machine.state.slots))
        self.shares: LimitShares | None = None
        if door is not None and settings.limits:
            self.shares = LimitShares(
                name, keepers, rng, clock(), wanted.proxies, lambda key: door.limit_of(key).rate
            )
            door.shares = self.shares
        self.fates = IdempotencyRecords(name, clock()) if settings.fates else None
        self.past = KeyedRequests(self.fates, transactions, wanted) if self.fates is not None else None
        self.inorder: OrderedOutput[Ready] = OrderedOutput(
            loop, self.worker, self.needs, self.keep, self.stored, "replica"
        )
        self.copied: msgpack.Decoder[Copied] = msgpack.Decoder(Copied)
        self.shared: msgpack.Decoder[Shared] = msgpack.Decoder(Shared)
        self.told_of: msgpack.Decoder[Told] = msgpack.Decoder(Told)
        self.streams.takers[FATES] = self.hear_fates
        self.streams.takers[COPIES] = self.hear_copy
        self.streams.takers[SHARES] = self.hear_shares
        house.deeds.update(
            {
                "replica mark": self.mark,
                "replica clear": self.clear,
                "replica resolve": self.resolve,
                "replica outcome": self.outcome,
                "replica show": self.show,
                "replica verify": self.verify,
            }
        )
        self.began = clock()
        self.open_anyhow = False
        self.due: Limit | None = None
        self.lapse_at = clock()
        self.token = 0
        self.outcomes: OrderedDict[int, str] = OrderedDict()
        self.turned_away = 0
        self.told = ("", 0, False, 0)

    # Times

    def start(self) -> None:
        if self.worker is not None:
            self.loop.spawn(self.finish(self.worker), self.worker.ours)
        self.began = clock()
        self.work()

    def finish(self, worker: Worker) -> Coroutine:
        while True:
            yield READ
            worker.finish()

    def work(self) -> None:
        """Do what is due, and come back."""
        self.due = None
        now, swim = clock(), self.peers.swim
        try:
            assert swim is not None
            self.machine.reachable = [m.name for m in swim.alive() if m.name != self.name]
            self.machine.tick(now)
            if self.shares is not None:
                self.shares.reachable = self.machine.reachable
                self.shares.tick(now)
            if self.fates is not None:
                self.fates.reachable = self.machine.reachable
                self.fates.tick(now)
            if now >= self.lapse_at:
                self.lapse_at = now + LAPSE
                self.lapse(now)
            if not self.open_anyhow and self.machine.stage is Stage.BEHIND:
                self.give_in(now)
            self.pump()
        finally:
            self.again()

    def again(self) -> None:
        self.loop.deadlines.remove(self.due)
        now, when = clock(), self.machine.next_wakeup()
        if self.shares is not None:
            when = min(when, self.shares.next_wakeup())
        if self.fates is not None:
            when = min(when, self.fates.next_wakeup())
        when = min(max(when, now + LEAST_WAIT), now + LONGEST_WAIT)
        self.due = self.loop.deadlines.add(when, self.work)

    def give_in(self, now: float) -> None:
        """It could not catch up in time: serve with what there is, where that is wanted."""
        if self.settings.refuse or now - self.began < self.settings.within_s * 1000.0:
            return
        self.open_anyhow = True
        text = "replica: not caught up after %(after_s)d s: serves by what its own copy holds"
        say(log, logging.WARNING, "replica_behind", text, after_s=self.settings.within_s)

    def lapse(self, now: float) -> None:
        """Clear marks whose span is over, as the first keeper that sees it."""
        if self.machine.write_refusal():
            return
        for key in self.lapses.due(now):
            self.write(key, None)

    # Store, send

    def pump(self) -> None:
        urgent, self.machine.immediate_messages = self.machine.immediate_messages, []
        for to, question in urgent:
            self.streams.send(to, msgpack.encode(question), COPIES)
        ready = self.machine.take_ready() if self.inorder.idle else None
        if ready is not None:
            if ready.changed_keys:
                self.act(ready.changed_keys)
            self.inorder.put(ready)
        if self.shares is not None:
            out, self.shares.outgoing = self.shares.outgoing, []
            for to, message in out:
                self.streams.send(to, msgpack.encode(message), SHARES)
        if self.fates is not None:
            said, self.fates.outgoing = self.fates.outgoing, []
            for to, word in said:
                self.streams.send(to, msgpack.encode(word), FATES)
        self.tell()

    def needs(self, ready: Ready) -> bool:
        return bool(ready.entries_by_key) or ready.metadata is not None

    def keep(self, ready: Ready) -> None:
        assert self.shelf is not None
        self.shelf.keep(ready)

    def stored(self, ready: Ready) -> None:
        for to, message in ready.messages:
            self.streams.send(to, msgpack.encode(message), COPIES)
        reach("after-tell")
        for token, good in ready.write_results:
            self.outcomes[token] = "acknowledged" if good else "unknown"
            while len(self.outcomes) > MOST_OUTCOMES:
                self.outcomes.popitem(last=False)
        self.pump()

    def hear_copy(self, sender: str, data: bytes) -> None:
        self.machine.receive(clock(), sender, self.copied.decode(data))
        self.pump()

    def hear_shares(self, sender: str, data: bytes) -> None:
        if self.shares is not None:
            self.shares.receive(clock(), sender, self.shared.decode(data))
            self.pump()

    def hear_fates(self, sender: str, data: bytes) -> None:
        if self.fates is not None:
            self.fates.receive(clock(), sender, self.told_of.decode(data))
            self.pump()

    def hurry(self, now: float, event: face.Event, actions: Sequence[Any]) -> None:
        """An observer of the transactions: a fate is told soon."""
        assert self.past is not None and self.fates is not None
        before = self.fates.flush_at
        self.past.handled(now, event, actions)
        if self.fates.flush_at < before:
            self.again()

    # Acting upon it

    def act(self, changed: list[str]) -> None:
        self.lapses.update(clock(), self.machine.state, changed)
        moved = self.effect.update(self.machine.state, changed)
        names = [name for kind, name in moved if kind == "server" and name in self.pool.members]
        blocks = {int(name) for kind, name in moved if kind == "block"}
        if blocks:
            names += [m.name for m in self.pool.members.values() if m.host.cell in blocks]
        if names:
            self.transactions.post(self.pool.look_again(names))

    def bars(self, host: Host) -> bool:
        return host.name in self.effect.servers or host.cell in self.effect.blocks

    def ask(self, key: str, request: Request, now: float) -> float:
        """Whether a tenant's request may come in: 0, or how many milliseconds to wait."""
        if self.settings.refuse and self.machine.stage is Stage.BEHIND:
            self.turned_away += 1
            return CLOSED
        if key[:MAX_KEY_LENGTH] in self.effect.tenants:
            self.turned_away += 1
            return ZERO_RATE_WAIT_MS
        return 0.0

    def ready(self) -> bool:
        return self.open_anyhow or self.machine.stage is Stage.CAUGHT_UP

    def tell(self) -> None:
        """Log what has changed."""
        m, effect = self.machine, self.effect
        now = (m.stage.value, len(effect.conflicts), m.has_diverged, m.counts["store_old"])
        if now == self.told:
            return
        before, self.told = self.told, now
        if now[0] != before[0]:
            text = "replica: %(stage)s, %(entries)d entries"
            say(log, logging.INFO, "replica_stage", text, stage=now[0], entries=m.state.size)
        if now[1] != before[1]:
            text, some = "replica: %(count)d in conflict: %(keys)s", " ".join(sorted(effect.conflicts)[:10])
            say(log, logging.WARNING, "replica_conflicts", text, count=now[1], keys=some or "-")
        if now[2] and not before[2]:
            text = "replica: a copy that has heard the same as this one holds something else"
            say(log, logging.ERROR, "replica_differs", text)
        if now[3] != before[3]:
            text = "replica: others know of more than its store holds: it counts as an empty one"
            say(log, logging.ERROR, "replica_store_old", text)
        aside, m.replaced_entries = m.replaced_entries, []
        for entry in aside:
            text = "replica: set aside, as a majority holds something else: %(key)s by %(origin)s"
            say(log, logging.ERROR, "replica_set_aside", text, key=entry.key, origin=entry.origin)

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """Gauges for a collector."""
        m = self.machine
        found: Mapping[str, int] = {
            "replica_caught_up": int(m.stage is Stage.CAUGHT_UP),
            "replica_entries": m.state.size,
            "replica_bytes": m.state.bytes,
            "replica_removed": m.state.tombstone_count,
            "replica_conflicts": len(self.effect.conflicts),
            "replica_differs": int(m.has_diverged),
            "replica_writes": len(m.pending_writes),
            "replica_dropped": m.state.counts["room"] + self.streams.counts["room"] + m.dropped,
            "replica_turned_away": self.turned_away,
        }
        if self.past is not None and self.fates is not None:
            found = {
                **found,
                "replica_fates": len(self.fates.records),
                "replica_repeats_answered": self.past.answers,
                "replica_repeats_bound": self.past.bound,
            }
        if self.shares is not None:
            found = {**found, "replica_warden": int(self.shares.credit_server == self.name)}
        return [(name, value, "g", []) for name, value in found.items()]

    # What staff want

    def write(self, key: str, value: bytes | None) -> int:
        """Raises CommandRefusedError."""
        why = self.machine.write_refusal()
        if why:
            raise CommandRefusedError(f"{self.name} {why}")
        self.token += 1
        if not self.machine.write(clock(), self.token, key, value):
            reason = "is not marked" if value is None else "there is no room"
            raise CommandRefusedError(f"{key}: {reason}")
        self.outcomes[self.token] = "on its way"
        self.pump()
        self.again()
        return self.token

    def key(self, wish: Wish) -> str:
        kind, _, name = wish.id.partition(" ")
        return key_of(kind, name)

    def mark(self, wish: Wish) -> Any:
        key = self.key(wish)
        if len(wish.who) > 64 or len(wish.why) > 500 or not 0.0 <= wish.number <= 30 * 86_400:
            raise OverrideError("who, why or for: too long")
        value = msgpack.encode(Override(wish.who, wish.why, float(wish.number), wish.at))
        return {"token": self.write(key, value)}

    def clear(self, wish: Wish) -> Any:
        return {"token": self.write(self.key(wish), None)}

    def resolve(self, wish: Wish) -> Any:
        """End a conflict: the mark stands, written anew over all that was said."""
        key = self.key(wish)
        slot = self.machine.state.slots.get(key, ())
        marked = [e for e in slot if e.value is not None]
        if key not in self.effect.conflicts:
            raise CommandRefusedError(f"{key}: is not in conflict")
        return {"token": self.write(key, marked[0].value)}

    def outcome(self, wish: Wish) -> Any:
        return {"outcome": self.outcomes.get(wish.number, "unknown")}

    def show(self, wish: Wish) -> Any:
        m, found = self.machine, list[dict[str, Any]]()
        keys = [k for k in islice(m.state.slots, MOST_LOOKED) if k.partition(" ")[0] in KINDS]
        for key in [*sorted(self.effect.conflicts), *sorted(set(keys) - self.effect.conflicts)]:
            words = []
            for entry in m.state.slots[key]:
                mark = decode_override(entry)
                facts = {"origin": entry.origin, "number": entry.number, "marked": mark is not None}
                if mark is not None:
                    facts |= {"who": mark.who, "why": mark.why, "for_s": mark.for_s, "at": mark.at}
                words.append(facts)
            if any(w["marked"] for w in words):
                found.append({"key": key, "conflict": key in self.effect.conflicts, "words": words})
            if len(found) >= max(1, min(wish.number or 1000, 1000)):
                break
        return {"name": self.name, "stage": m.stage.value, "marks": found, "entries": m.state.size}

    def verify(self, wish: Wish) -> Any:
        """How this copy stands to the others that were heard lately."""
        m, now = self.machine, clock()
        others = {}
        for name, other in sorted((n, o) for n, o in m.peers.items() if o.run_id):
            covered = all(m.state.vector.get(o, 0) >= n for o, n in other.vector.items())
            covers = all(other.vector.get(o, 0) >= n for o, n in m.state.vector.items())
            words = "has the same" if covered and covers else "is ahead" if covers else "is behind"
            others[name] = {
                "heard_ms": int(now - other.last_heard_at),
                "stands": "has other things" if not covered and not covers else words,
            }
        parts = {}
        if self.shares is not None:
            keys = list(self.shares.grants)[:100]
            parts = {key: round(self.shares.share_of(key, now), 4) for key in keys}
        return {
            "name": self.name,
            "stage": m.stage.value,
            "origin": m.origin,
            "whole": m.complete,
            "entries": m.state.size,
            "removed": m.state.tombstone_count,
            "bytes": m.state.bytes,
            "print": f"{m.state.digest:016x}",
            "differs": m.has_diverged,
            "conflicts": sorted(self.effect.conflicts)[:100],
            "others": others,
            "warden": self.shares.credit_server if self.shares is not None else "",
            "parts": parts,
            "base": round(self.shares.fallback_share, 4) if self.shares is not None else None,
            "counts": dict(m.counts + m.state.counts),
        }

    def close(self) -> None:
        if self.worker is not None:
            self.worker.close()
