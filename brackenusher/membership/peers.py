"""Driver of membership and shared knowledge: sockets, timers, queries between peers, and snapshots.

The protocols and decisions are in `swim`, `frames`, `snapshot` and `keeper`, which do no I/O on sockets.
"""

import contextlib
import errno
import logging
import os
import random
import socket
import time
from collections.abc import Callable
from typing import Protocol

from barleybarrow.knowledge import BACKENDS_PER_PASS, MAX_EVIDENCE_AGE_MS
from brackenusher.config.operators import PeersSettings, SnapshotSettings
from brackenusher.core.transaction import Transactions
from brackenusher.membership import snapshot
from brackenusher.membership.frames import (
    MAX_REPLY_RECORDS,
    MOST_FRAME,
    Asked,
    FrameError,
    Granted,
    Members,
    MembersRequest,
    MemberStatus,
    Open,
    Reader,
    Told,
    Wish,
    encode,
    pack,
    unpack,
)
from brackenusher.membership.keeper import GATHER_INTERVAL_MS, Keeper
from brackenusher.membership.snapshot import Snapshot
from brackenusher.membership.swim import Swim
from brackenusher.membership.swim_members import MAX_DATAGRAM_BYTES
from brackenusher.membership.swim_messages import MAX_NAME_LENGTH, STATES
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.driver import Address, write
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, WRITE, Coroutine, EventLoop, Task, clock
from brackenusher.runtime.outlet import LineWriter
from brackenusher.runtime.timers import Timer
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_TURN = 32  # read before other tasks run
MAX_QUERY_CONNECTIONS = 8  # further ones are closed at once
QUERY_TIMEOUT_MS = 1000.0
MAX_QUERY_BYTES = 1024
MAX_POLICY_REQUEST_BYTES = 128 * 1024  # replaces MAX_QUERY_BYTES where a request may hold a policy
SNAPSHOT_QUEUE_BYTES = snapshot.MAX_SNAPSHOT_BYTES + 1024  # one snapshot of the maximum size
BATCH_INTERVAL_MS = 5.0  # between the batches of long work, to let other tasks run
STALLED_RECHECK_INTERVAL_MS = 100.0
MIN_TICK_INTERVAL_MS = 1.0


class StreamServer(Protocol):
    def serve(self, sock: socket.socket, opening: Open) -> Coroutine: ...


class PolicyGroup(Protocol):
    """The replicated policy and state of a group, as used here."""

    @property
    def streams(self) -> StreamServer: ...

    def wish(self, wish: Wish) -> Granted: ...


class Peers:
    """Shares knowledge with peers, through a snapshot file, or both, as configured."""

    def __init__(
        self,
        loop: EventLoop,
        buffers: BufferPool,
        outlet: LineWriter,
        transactions: Transactions,
        pool: Pool,
        name: str,
        peers: PeersSettings | None,
        saved: SnapshotSettings | None,
    ) -> None:
        if len(name) > MAX_NAME_LENGTH or not name.isprintable():
            raise ValueError(
                f"peers: the proxy's name must be printable, {MAX_NAME_LENGTH} characters at most"
            )
        if saved is not None and not os.access(os.path.dirname(os.path.abspath(saved.file)), os.W_OK):
            raise ValueError(f"snapshot.file: {saved.file}: the folder cannot be written to")
        self.loop, self.buffers, self.settings, self.snapshot_settings = loop, buffers, peers, saved
        self.rng = random.SystemRandom()  # a nonce that verifies a peer must be unpredictable
        self.epoch = int(time.time() * 1000.0)
        self.exchange = Keeper(name, self.epoch, transactions, pool)
        self.exchange.on_list_changed = self.on_list_changed
        self.on_event = self.exchange.on_event
        self.swim: Swim | None = None
        if peers is not None:
            ask = (name, peers.advertised_address, self.epoch, peers.keys, peers.sign, peers.seeds)
            self.swim = Swim(*ask, float(peers.period_ms), self.rng, clock())
        self.channel = (
            outlet.open_channel(self.write_snapshot, SNAPSHOT_QUEUE_BYTES, SNAPSHOT_QUEUE_BYTES)
            if saved
            else None
        )
        self.estimates_timer: Timer | None = None
        self.tick_timer: Timer | None = None
        self.query_connections = self.queries_refused = self.datagrams_unsent = self.snapshots_written = 0
        self.name_conflicts = self.stalls = 0
        self.view_names: frozenset[str] = frozenset()
        self.disconnected = False
        self.queries: dict[Address, Task] = {}
        self.on_ready: Callable[[], None] | None = None
        self.datagram_socket: socket.socket | None = None
        self.query_timers: dict[socket.socket, Timer] = {}
        self.group: PolicyGroup | None = None  # None unless the group's policy is enabled

    # Start

    def start(self, then: Callable[[], None]) -> None:
        """Load the snapshot, query some peers, and call `then` when they have answered or timed out.

        Raises OSError if the address can't be bound.
        """
        self.load_snapshot()
        self.on_ready = then
        settings = self.settings
        if settings is not None:
            self.listen(settings.listen)
            asked = self.rng.sample(settings.seeds, min(settings.ask, len(settings.seeds)))
            if settings.warm_ms:
                for address in asked:
                    if address not in (settings.listen, settings.advertised_address):
                        self.query_peer(address, settings)
            self.schedule(settings.warm_ms, self.on_warm_up_timeout)
            self.tick()
        self.publish_updates()
        if self.snapshot_settings is not None:
            self.schedule(self.snapshot_settings.every_s * 1000.0, self.save_snapshot)
        if not self.queries:
            self.finish_warm_up()

    def on_warm_up_timeout(self) -> None:
        for task in list(self.queries.values()):
            task.stop()
        self.finish_warm_up()

    def finish_warm_up(self) -> None:
        """Complete the start with the evidence received so far."""
        then, self.on_ready = self.on_ready, None
        if then is not None:
            text = "knowledge: %(pieces)d pieces held at the start"
            log_event(log, logging.INFO, "knowledge_ready", text, pieces=self.exchange.store.size)
            self.post_estimates()
            then()

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> Timer:
        return self.loop.timers.add(clock() + delay_ms, action)

    # Timers

    def on_list_changed(self) -> None:
        """Schedule the estimates for new entries of the policy's list."""
        if self.estimates_timer is None:
            self.estimates_timer = self.schedule(0.0, self.post_estimates)

    def post_estimates(self) -> None:
        """Pass peers' estimates to the policy in batches; after a stall, wait until a peer has answered."""
        if self.swim is not None and self.swim.dazed:
            self.loop.timers.remove(self.estimates_timer)
            self.estimates_timer = self.schedule(STALLED_RECHECK_INTERVAL_MS, self.post_estimates)
            return
        self.loop.timers.remove(self.estimates_timer)
        self.estimates_timer = (
            self.schedule(BATCH_INTERVAL_MS, self.post_estimates) if self.exchange.advise(clock()) else None
        )

    def publish_updates(self) -> None:
        """Periodically collect own observations, broadcast them, and update the policy's estimates."""
        try:
            now = clock()
            updates = self.exchange.gather(now)
            if self.swim is not None:
                for e in updates:
                    self.swim.broadcast_record(f"{e.origin}\0{e.backend}".encode(), encode(e, now))
            self.post_estimates()
        finally:
            self.schedule(GATHER_INTERVAL_MS, self.publish_updates)

    def tick(self) -> None:
        """Run the membership protocol's due actions."""
        assert self.swim is not None
        self.tick_timer = None
        try:
            now = clock()
            self.send(self.swim.tick(now))
            self.log_view_changes(now)
        finally:
            self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedule `tick` for the membership protocol's next deadline."""
        assert self.swim is not None
        self.loop.timers.remove(self.tick_timer)
        self.tick_timer = self.loop.timers.add(
            max(self.swim.next(), clock() + MIN_TICK_INTERVAL_MS), self.tick
        )

    # Datagrams

    def listen(self, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        flags = socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
        self.datagram_socket = socket.socket(family, socket.SOCK_DGRAM | flags)
        stream = socket.socket(family, socket.SOCK_STREAM | flags)
        try:
            self.datagram_socket.bind(address)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stream.bind(address)
            stream.listen(MAX_QUERY_CONNECTIONS)
        except OSError as error:
            self.datagram_socket.close()
            stream.close()
            raise OSError(error.errno, f"peers.listen {address[0]}:{address[1]}: {error.strerror}") from error
        self.loop.spawn(self.receive_datagrams(self.datagram_socket), self.datagram_socket)
        self.loop.spawn(self.accept_queries(stream), stream)

    def receive_datagrams(self, sock: socket.socket) -> Coroutine:
        assert self.swim is not None
        buffer = bytearray(MAX_DATAGRAM_BYTES + 1)  # one byte more, so that truncation is detected
        while True:
            yield READ
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    size, source = sock.recvfrom_into(buffer)
                except BlockingIOError:
                    break
                except OSError:  # ICMP error for an earlier datagram: that peer is down
                    continue
                now = clock()
                self.send(self.swim.receive(now, bytes(buffer[:size]), source[:2]))
                self.process_received(now)
            self.schedule_tick()

    def process_received(self, now: float) -> None:
        """Merge the records received, forward new evidence, and log changes of members."""
        swim = self.swim
        assert swim is not None
        records, swim.received_records = swim.received_records, []
        for e in self.exchange.take(now, records):
            swim.broadcast_record(f"{e.origin}\0{e.backend}".encode(), encode(e, now))
        changes, swim.changes = swim.changes, []
        for name, state in changes:
            text, members = "peers: %(peer)s is %(state)s, %(members)d members", len(swim.alive()) + 1
            log_event(
                log, logging.INFO, "peer_changed", text, peer=name, state=STATES[state], members=members
            )
        self.log_view_changes(now)
        if swim.counts["name"] and not self.name_conflicts:
            text = "peers: a name is used by two, or a peer has moved: its datagrams are left aside"
            log_event(log, logging.WARNING, "peer_name_taken", text)
        self.name_conflicts = swim.counts["name"]

    def log_view_changes(self, now: float) -> None:
        """Log changes of the view, of the connection to a majority, and stalls."""
        swim = self.swim
        assert swim is not None
        agreement = swim.agreement
        if swim.epoch != self.exchange.epoch:
            self.exchange.epoch = swim.epoch
        views, swim.views = swim.views, []
        for epoch, view in views:
            if view is None:
                text = "peers: taken out of the group: life %(life)d is over, and it joins anew"
                log_event(log, logging.WARNING, "view_lost", text, life=epoch)
                continue
            names = frozenset(view.by_name)
            joined, left = sorted(names - self.view_names), sorted(self.view_names - names)
            facts = {"number": view.number, "group": f"{view.group:08x}", "members": len(names)}
            text = (
                "peers: view %(number)d of group %(group)s, %(members)d members; came %(came)s; left %(gone)s"
            )
            names_shown = {"came": " ".join(joined[:20]) or "-", "gone": " ".join(left[:20]) or "-"}
            log_event(log, logging.INFO, "view_changed", text, **facts, **names_shown)
            epochs = " ".join(f"{m.name}@{m.epoch}" for m in view.members)
            text = "peers: at %(at).3f life %(life)d holds view %(number)d of %(group)s: %(lives)s"
            fields = {"at": now, "life": epoch, "lives": epochs, "number": view.number, "group": view.group}
            log_event(log, logging.DEBUG, "view_held", text, **fields)
            self.view_names = names
        if agreement.disconnected != self.disconnected:
            self.disconnected = agreement.disconnected
            if self.disconnected:
                heard_count = sum(now - link.heard_at < swim.period * 5 for link in agreement.links.values())
                text = "peers: cut off: no majority of the %(members)d answers; %(heard)d are heard"
                size = len(agreement.view.members) if agreement.view else 0
                log_event(log, logging.WARNING, "cut_off", text, members=size, heard=heard_count)
            else:
                log_event(log, logging.INFO, "in_touch", "peers: in touch with a majority")
        if swim.counts["slept"] != self.stalls:
            self.stalls = swim.counts["slept"]
            text = "peers: stood still for over a period: what it knew counts once the group is heard again"
            log_event(log, logging.WARNING, "stood_still", text)

    def where(self, name: str) -> Address | None:
        """Return the address of a peer, whether it is reachable or not."""
        m = self.swim.members.get(name) if self.swim is not None else None
        return m.address if m is not None else None

    def members_reply(self, nonce: int) -> Members:
        """Build the reply to a request for the member list."""
        swim, now = self.swim, clock()
        assert swim is not None
        agreement, view, lines = swim.agreement, swim.agreement.view, []
        in_view = {m.name: m for m in view.members} if view is not None else {}
        for name in sorted(in_view.keys() | swim.members.keys()):
            m, view_member, link = swim.members.get(name), in_view.get(name), agreement.links.get(name)
            host, port = (
                m.address if m is not None else view_member.address if view_member is not None else ("", 0)
            )
            epoch = view_member.epoch if view_member is not None else m.epoch if m is not None else 0
            link_state = "new"
            if name == swim.name:
                link_state = "both"
            elif link is not None and agreement.is_down(name):
                link_state = "in" if now - link.heard_at < 5 * swim.period else "none"
            elif link is not None and link.answered_at > 0:
                link_state = "both"
            since_answer_ms = now - link.answered_at if link is not None and link.answered_at > 0 else -1.0
            state = m.state if m is not None else 0
            lines.append(
                MemberStatus(
                    name, epoch, host, port, view_member is not None, state, link_state, since_answer_ms
                )
            )
        group, number = (view.group, view.number) if view is not None else (0, 0)
        counts = dict(swim.counts + agreement.counts)
        facts = (group, number, agreement.disconnected, swim.dazed, agreement.flaps)
        return Members(nonce, swim.name, swim.epoch, *facts, lines, counts)

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """Return the gauges for the metrics collector."""
        swim = self.swim
        if swim is None:
            return []
        agreement, now = swim.agreement, clock()
        values = {
            "members": len(agreement.view.members) if agreement.view is not None else 0,
            "view": agreement.number,
            "cut_off": int(agreement.disconnected),
            "flaps": agreement.flaps,
            "links_one_way": len(agreement.one_way(now)),
        }
        return [(name, value, "g", []) for name, value in values.items()]

    def send(self, datagrams: list[tuple[bytes, Address]]) -> None:
        for data, address in datagrams:
            try:
                assert self.datagram_socket is not None
                self.datagram_socket.sendto(data, address)
            except OSError:  # buffer full or no route: counted and treated as packet loss
                self.datagrams_unsent += 1

    # Queries

    def accept_queries(self, sock: socket.socket) -> Coroutine:
        while True:
            yield READ
            try:
                connection, _ = sock.accept()
            except OSError:
                continue
            if self.query_connections >= MAX_QUERY_CONNECTIONS:
                self.queries_refused += 1
                connection.close()
                continue
            connection.setblocking(False)
            self.query_connections += 1
            task = self.loop.spawn(self.answer_query(connection), connection)
            if not task.ended:
                self.query_timers[connection] = self.schedule(QUERY_TIMEOUT_MS, task.stop)

    def answer_query(self, sock: socket.socket) -> Coroutine:
        """Serve one query, or the stream that it opens."""
        settings, streaming = self.settings, False
        assert settings is not None
        try:
            reader, body = Reader(MAX_QUERY_BYTES if self.group is None else MAX_POLICY_REQUEST_BYTES), None
            while body is None:
                yield READ
                body = self.read_frame(sock, reader)
            request = unpack(settings.keys, body)
            reply: Told | Members | Granted | None = None
            if isinstance(request, Asked):
                exchange, now = self.exchange, clock()
                records = exchange.dump(now, min(request.max_records, MAX_REPLY_RECORDS))
                reply = Told(request.nonce, exchange.name, exchange.epoch, records)
            elif isinstance(request, MembersRequest):
                reply = self.members_reply(request.nonce)
            elif isinstance(request, Wish) and self.group is not None:
                reply = self.group.wish(request)
            elif isinstance(request, Open) and self.group is not None:
                self.loop.timers.remove(self.query_timers.pop(sock, None))
                self.query_connections -= 1
                streaming = True
                yield from self.group.streams.serve(sock, request)
            if reply is not None:
                unsent = pack(reply, settings.keys[settings.sign], settings.sign)
                while unsent:
                    unsent = write(sock, unsent)
                    if unsent:
                        yield WRITE
        except (OSError, FrameError) as error:
            log_event(
                log, logging.DEBUG, "knowledge_not_told", "peers: query failed: %(why)s", why=str(error)
            )
        finally:
            self.loop.timers.remove(self.query_timers.pop(sock, None))
            self.query_connections -= not streaming

    def read_frame(self, sock: socket.socket, reader: Reader) -> bytes | None:
        """Read once; return the frame's body once complete. Raises FrameError if the frame is invalid."""
        body: list[bytes | None] = [None]

        def feed(data: memoryview) -> None:
            if not data:
                raise FrameError("connection closed within a frame")
            body[0] = reader.feed(data)

        try:
            self.buffers.receive(sock, feed)
        except BlockingIOError:
            return None
        return body[0]

    def query_peer(self, address: Address, settings: PeersSettings) -> None:
        """Request the evidence that one peer holds."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        with contextlib.suppress(OSError):
            sock.bind((settings.listen[0], 0))  # peers see the same address as for datagrams
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            self.log_query(address, os.strerror(code))
            return
        self.queries[address] = self.loop.spawn(self.run_query(sock, address, settings), sock)

    def run_query(self, sock: socket.socket, address: Address, settings: PeersSettings) -> Coroutine:
        """Send the request and merge the reply."""
        outcome, nonce = "late", self.rng.getrandbits(64)
        unsent = pack(Asked(nonce), settings.keys[settings.sign], settings.sign)
        try:
            yield WRITE
            while unsent:
                unsent = write(sock, unsent)
                if unsent:
                    yield WRITE
            reader, body = Reader(MOST_FRAME), None
            while body is None:
                yield READ
                body = self.read_frame(sock, reader)
            reply = unpack(settings.keys, body)
            if not isinstance(reply, Told) or reply.nonce != nonce:
                raise FrameError("reply does not match the request")
            updates = self.exchange.take(clock(), reply.records)
            outcome = f"{len(reply.records)} pieces, {len(updates)} of them news"
        except (OSError, FrameError) as error:
            outcome = str(error)
        finally:
            self.log_query(address, outcome)
            self.queries.pop(address, None)
            if not self.queries:
                self.finish_warm_up()

    def log_query(self, address: Address, outcome: str) -> None:
        text = "knowledge: %(address)s was asked: %(what)s"
        log_event(log, logging.INFO, "knowledge_asked", text, address="{}:{}".format(*address), what=outcome)

    # Snapshots

    def load_snapshot(self) -> None:
        """Load the snapshot; rename it if it is unusable."""
        if self.snapshot_settings is None:
            return
        path, now = self.snapshot_settings.file, time.time() * 1000.0
        try:
            loaded = snapshot.read(path, now)
        except FileNotFoundError:
            return
        except snapshot.SnapshotError as error:
            try:
                disposition = "set aside as " + snapshot.set_aside(path)
            except OSError as rename_error:
                disposition = f"left where it is: {rename_error}"
            text = "snapshot: %(file)s is %(what)s: %(why)s"
            log_event(
                log, logging.WARNING, "snapshot_unusable", text, file=path, what=disposition, why=str(error)
            )
            return
        age_ms = max(0.0, now - loaded.saved_at_ms)
        if loaded.epoch >= self.epoch:  # the clock was set back: the epoch must still increase
            self.exchange.epoch = self.epoch = loaded.epoch + 1
            if self.swim is not None:
                self.swim.set_epoch(self.epoch)
        updates = self.exchange.take(clock() - age_ms, loaded.records)
        facts = {"file": path, "age_s": age_ms / 1000.0, "news": len(updates), "pieces": len(loaded.records)}
        text = "snapshot: %(file)s is %(age_s).1f s old, %(news)d pieces of %(pieces)d count"
        log_event(log, logging.INFO, "snapshot_loaded", text, **facts)

    def save_snapshot(self, repeat: bool = True) -> None:
        """Queue a snapshot for the writer thread; it is dropped if the queue is full."""
        exchange, now, saved = self.exchange, clock(), time.time() * 1000.0
        evidence = [e for e in exchange.store.all_evidence() if now - e.at <= MAX_EVIDENCE_AGE_MS]
        records: list[bytes] = []

        def encode_batch() -> None:
            """Encode one batch, so that the event loop isn't blocked."""
            batch = evidence[len(records) : len(records) + BACKENDS_PER_PASS] if repeat else evidence
            records.extend(encode(e, now) for e in batch)
            if len(records) < len(evidence):
                self.schedule(BATCH_INTERVAL_MS, encode_batch)
                return
            assert self.snapshot_settings is not None and self.channel is not None
            self.channel.put(snapshot.encode(Snapshot(saved, exchange.name, exchange.epoch, records)))
            self.channel.flush()
            if repeat:
                self.schedule(self.snapshot_settings.every_s * 1000.0, self.save_snapshot)

        encode_batch()

    def write_snapshot(self, snapshots: list[bytes]) -> None:
        """Write the latest snapshot; called in the writer thread."""
        assert self.snapshot_settings is not None
        snapshot.write(self.snapshot_settings.file, bytes(snapshots[-1]))
        self.snapshots_written += 1

    # Shutdown

    def close(self) -> None:
        """Announce the departure, save a snapshot, and log what was dropped."""
        if self.snapshot_settings is not None:
            self.exchange.gather(clock())
            self.save_snapshot(repeat=False)
        if self.swim is not None:
            self.send(self.swim.leave())
            dropped = ", ".join(f"{why} {count}" for why, count in sorted(self.swim.counts.items()))
            text = "peers: left; dropped: %(dropped)s"
            log_event(log, logging.INFO, "peers_left", text, dropped=dropped or "nothing")
        exchange, book = self.exchange, self.exchange.store
        text = (
            "knowledge: %(pieces)d pieces held, %(words)d words told to the module; %(absurd)d absurd, "
            "%(dropped)d without room; %(unsaved)d snapshots not written"
        )
        unsaved = self.channel.dropped if self.channel is not None else 0
        facts = {
            "pieces": book.size,
            "words": exchange.estimates_posted,
            "absurd": book.invalid + exchange.invalid_records,
        }
        log_event(log, logging.INFO, "knowledge_end", text, **facts, dropped=book.dropped, unsaved=unsaved)
