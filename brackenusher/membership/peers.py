"""The drivers of shared knowledge: datagrams, questions to peers and theirs, snapshots, and the times of all.

What is sent and decided is in `swim`, `frames`, `snapshot` and `keeper`; here are their sockets.
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
    MOST_FRAME,
    MOST_TOLD,
    Asked,
    FrameError,
    Granted,
    Line,
    Members,
    Open,
    Reader,
    Told,
    Who,
    Wish,
    encode,
    pack,
    unpack,
)
from brackenusher.membership.keeper import GATHER, Keeper
from brackenusher.membership.snapshot import Snapshot
from brackenusher.membership.swim import Swim
from brackenusher.membership.swim_members import LONGEST
from brackenusher.membership.swim_messages import LONGEST_NAME, STATES
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.driver import Address, write
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import READ, WRITE, Coroutine, Loop, Task, clock
from brackenusher.runtime.outlet import Outlet
from brackenusher.runtime.timers import Entry
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

AT_A_TIME = 32  # datagrams read before others have their turn
MOST_ASKERS = 8  # connections of who asks what is known; beyond they are closed at once
ASKING = 1000.0  # milliseconds that one of them may take
LONGEST_QUESTION = 1024  # bytes
MOST_WISH = 128 * 1024  # and where it may hold a policy
ROOM = snapshot.MOST + 1024  # bytes of snapshots that wait to be written: one of the greatest
NEXT_PART = 5.0  # milliseconds between two parts of what takes long
DAZED = 100.0  # milliseconds between two looks at whether the group was heard again
LEAST_WAIT = 1.0  # milliseconds between two looks at what membership has to do


class Streams(Protocol):
    def serve(self, sock: socket.socket, said: Open) -> Coroutine: ...


class Group(Protocol):
    """What the proxies agree on, as this driver sees it."""

    @property
    def streams(self) -> Streams: ...

    def wish(self, wish: Wish) -> Granted: ...


class Peers:
    """Shares knowledge as the operators want it: with peers, with a file, or with both."""

    def __init__(
        self,
        loop: Loop,
        buffers: Buffers,
        outlet: Outlet,
        transactions: Transactions,
        pool: Pool,
        name: str,
        peers: PeersSettings | None,
        saved: SnapshotSettings | None,
    ) -> None:
        if len(name) > LONGEST_NAME or not name.isprintable():
            raise ValueError(f"peers: the proxy's name must be printable, {LONGEST_NAME} characters at most")
        if saved is not None and not os.access(os.path.dirname(os.path.abspath(saved.file)), os.W_OK):
            raise ValueError(f"snapshot.file: {saved.file}: the folder cannot be written to")
        self.loop, self.buffers, self.settings, self.saved = loop, buffers, peers, saved
        self.rng = random.SystemRandom()  # a number that proves a peer's life must not be guessed
        self.epoch = int(time.time() * 1000.0)
        self.keeper = Keeper(name, self.epoch, transactions, pool)
        self.keeper.listed = self.list_changed
        self.handled = self.keeper.handled
        self.swim: Swim | None = None
        if peers is not None:
            ask = (name, peers.known_as, self.epoch, peers.keys, peers.sign, peers.seeds)
            self.swim = Swim(*ask, float(peers.period_ms), self.rng, clock())
        self.channel = outlet.channel(self.write_snapshot, ROOM, ROOM) if saved else None
        self.anew: Entry | None = None
        self.due: Entry | None = None
        self.askers = self.turned_away = self.unsent = self.snapshots = 0
        self.conflicts = self.slept = 0
        self.held: frozenset[str] = frozenset()
        self.cut = False
        self.asking: dict[Address, Task] = {}
        self.then: Callable[[], None] | None = None
        self.datagrams: socket.socket | None = None
        self.limits: dict[socket.socket, Entry] = {}
        self.group: Group | None = None  # what the proxies agree on, where that is on

    # The start

    def start(self, then: Callable[[], None]) -> None:
        """Load what was saved, ask some peers what they know, and call `then` once that is done or late.

        Raises OSError where the address cannot be listened on.
        """
        self.load()
        self.then = then
        settings = self.settings
        if settings is not None:
            self.listen(settings.listen)
            asked = self.rng.sample(settings.seeds, min(settings.ask, len(settings.seeds)))
            if settings.warm_ms:
                for address in asked:
                    if address not in (settings.listen, settings.known_as):
                        self.ask(address, settings)
            self.later(settings.warm_ms, self.late)
            self.work()
        self.look()
        if self.saved is not None:
            self.later(self.saved.every_s * 1000.0, self.save)
        if not self.asking:
            self.warm()

    def late(self) -> None:
        for task in list(self.asking.values()):
            task.stop()
        self.warm()

    def warm(self) -> None:
        """Go on, with what is known by now."""
        then, self.then = self.then, None
        if then is not None:
            text = "knowledge: %(pieces)d pieces held at the start"
            say(log, logging.INFO, "knowledge_ready", text, pieces=self.keeper.book.size)
            self.advise()
            then()

    def later(self, span: float, action: Callable[[], None]) -> Entry:
        return self.loop.deadlines.add(clock() + span, action)

    # Times

    def list_changed(self) -> None:
        """The module was told a list: tell it of those that are new on it, in a moment."""
        if self.anew is None:
            self.anew = self.later(0.0, self.advise)

    def advise(self) -> None:
        """Have the module told what others say, a part at a time; after a pause once one is heard."""
        if self.swim is not None and self.swim.dazed:
            self.loop.deadlines.remove(self.anew)
            self.anew = self.later(DAZED, self.advise)
            return
        self.loop.deadlines.remove(self.anew)
        self.anew = self.later(NEXT_PART, self.advise) if self.keeper.advise(clock()) else None

    def look(self) -> None:
        """Every second or so: gather what was seen, tell it, and have the module told what others say."""
        try:
            now = clock()
            news = self.keeper.gather(now)
            if self.swim is not None:
                for e in news:
                    self.swim.tell(f"{e.origin}\0{e.backend}".encode(), encode(e, now))
            self.advise()
        finally:
            self.later(GATHER, self.look)

    def work(self) -> None:
        """Do what membership has to do by now."""
        assert self.swim is not None
        self.due = None
        try:
            now = clock()
            self.send(self.swim.tick(now))
            self.watch(now)
        finally:
            self.again()

    def again(self) -> None:
        """Be called when membership next has something to do."""
        assert self.swim is not None
        self.loop.deadlines.remove(self.due)
        self.due = self.loop.deadlines.add(max(self.swim.next(), clock() + LEAST_WAIT), self.work)

    # Datagrams

    def listen(self, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        flags = socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
        self.datagrams = socket.socket(family, socket.SOCK_DGRAM | flags)
        stream = socket.socket(family, socket.SOCK_STREAM | flags)
        try:
            self.datagrams.bind(address)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stream.bind(address)
            stream.listen(MOST_ASKERS)
        except OSError as error:
            self.datagrams.close()
            stream.close()
            raise OSError(error.errno, f"peers.listen {address[0]}:{address[1]}: {error.strerror}") from error
        self.loop.spawn(self.take_datagrams(self.datagrams), self.datagrams)
        self.loop.spawn(self.take_askers(stream), stream)

    def take_datagrams(self, sock: socket.socket) -> Coroutine:
        assert self.swim is not None
        buffer = bytearray(LONGEST + 1)  # one longer is cut here, and told by its length
        while True:
            yield READ
            for _ in range(AT_A_TIME):
                try:
                    size, source = sock.recvfrom_into(buffer)
                except BlockingIOError:
                    break
                except OSError:  # an earlier one was refused: somebody is not there
                    continue
                now = clock()
                self.send(self.swim.receive(now, bytes(buffer[:size]), source[:2]))
                self.heard(now)
            self.again()

    def heard(self, now: float) -> None:
        """Take up what membership has heard, and pass on what of it was news."""
        swim = self.swim
        assert swim is not None
        records, swim.heard = swim.heard, []
        for e in self.keeper.take(now, records):
            swim.tell(f"{e.origin}\0{e.backend}".encode(), encode(e, now))
        changes, swim.changes = swim.changes, []
        for name, state in changes:
            text, members = "peers: %(peer)s is %(state)s, %(members)d members", len(swim.alive()) + 1
            say(log, logging.INFO, "peer_changed", text, peer=name, state=STATES[state], members=members)
        self.watch(now)
        if swim.counts["name"] and not self.conflicts:
            text = "peers: a name is used by two, or a peer has moved: its datagrams are left aside"
            say(log, logging.WARNING, "peer_name_taken", text)
        self.conflicts = swim.counts["name"]

    def watch(self, now: float) -> None:
        """Log what became of the view, and whether this process is cut off."""
        swim = self.swim
        assert swim is not None
        agreement = swim.agreement
        if swim.epoch != self.keeper.epoch:
            self.keeper.epoch = swim.epoch
        views, swim.views = swim.views, []
        for life, view in views:
            if view is None:
                text = "peers: taken out of the group: life %(life)d is over, and it joins anew"
                say(log, logging.WARNING, "view_lost", text, life=life)
                continue
            names = frozenset(view.by_name)
            came, left = sorted(names - self.held), sorted(self.held - names)
            facts = {"number": view.number, "group": f"{view.group:08x}", "members": len(names)}
            text = (
                "peers: view %(number)d of group %(group)s, %(members)d members; came %(came)s; left %(gone)s"
            )
            some = {"came": " ".join(came[:20]) or "-", "gone": " ".join(left[:20]) or "-"}
            say(log, logging.INFO, "view_changed", text, **facts, **some)
            lives = " ".join(f"{m.name}@{m.epoch}" for m in view.members)
            text = "peers: at %(at).3f life %(life)d holds view %(number)d of %(group)s: %(lives)s"
            whole = {"at": now, "life": life, "lives": lives, "number": view.number, "group": view.group}
            say(log, logging.DEBUG, "view_held", text, **whole)
            self.held = names
        if agreement.disconnected != self.cut:
            self.cut = agreement.disconnected
            if self.cut:
                heard = sum(now - link.heard_at < swim.period * 5 for link in agreement.links.values())
                text = "peers: cut off: no majority of the %(members)d answers; %(heard)d are heard"
                size = len(agreement.view.members) if agreement.view else 0
                say(log, logging.WARNING, "cut_off", text, members=size, heard=heard)
            else:
                say(log, logging.INFO, "in_touch", "peers: in touch with a majority")
        if swim.counts["slept"] != self.slept:
            self.slept = swim.counts["slept"]
            text = "peers: stood still for over a period: what it knew counts once the group is heard again"
            say(log, logging.WARNING, "stood_still", text)

    def where(self, name: str) -> Address | None:
        """The address of a peer, be it in touch or not."""
        m = self.swim.members.get(name) if self.swim is not None else None
        return m.address if m is not None else None

    def members(self, nonce: int) -> Members:
        """Who belongs and how things stand, as this process sees it."""
        swim, now = self.swim, clock()
        assert swim is not None
        agreement, view, lines = swim.agreement, swim.agreement.view, []
        lives = {m.name: m for m in view.members} if view is not None else {}
        for name in sorted(lives.keys() | swim.members.keys()):
            m, belongs, link = swim.members.get(name), lives.get(name), agreement.links.get(name)
            host, port = m.address if m is not None else belongs.address if belongs is not None else ("", 0)
            life = belongs.epoch if belongs is not None else m.epoch if m is not None else 0
            way = "new"
            if name == swim.name:
                way = "both"
            elif link is not None and agreement.is_down(name):
                way = "in" if now - link.heard_at < 5 * swim.period else "none"
            elif link is not None and link.answered_at > 0:
                way = "both"
            since = now - link.answered_at if link is not None and link.answered_at > 0 else -1.0
            state = m.state if m is not None else 0
            lines.append(Line(name, life, host, port, belongs is not None, state, way, since))
        group, number = (view.group, view.number) if view is not None else (0, 0)
        counts = dict(swim.counts + agreement.counts)
        facts = (group, number, agreement.disconnected, swim.dazed, agreement.flaps)
        return Members(nonce, swim.name, swim.epoch, *facts, lines, counts)

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """Gauges for a collector."""
        swim = self.swim
        if swim is None:
            return []
        agreement, now = swim.agreement, clock()
        found = {
            "members": len(agreement.view.members) if agreement.view is not None else 0,
            "view": agreement.number,
            "cut_off": int(agreement.disconnected),
            "flaps": agreement.flaps,
            "links_one_way": len(agreement.one_way(now)),
        }
        return [(name, value, "g", []) for name, value in found.items()]

    def send(self, datagrams: list[tuple[bytes, Address]]) -> None:
        for data, address in datagrams:
            try:
                assert self.datagrams is not None
                self.datagrams.sendto(data, address)
            except OSError:  # no room or no way: a datagram may always be lost
                self.unsent += 1

    # Questions

    def take_askers(self, sock: socket.socket) -> Coroutine:
        while True:
            yield READ
            try:
                link, _ = sock.accept()
            except OSError:
                continue
            if self.askers >= MOST_ASKERS:
                self.turned_away += 1
                link.close()
                continue
            link.setblocking(False)
            self.askers += 1
            task = self.loop.spawn(self.tell(link), link)
            if not task.ended:
                self.limits[link] = self.later(ASKING, task.stop)

    def tell(self, sock: socket.socket) -> Coroutine:
        """Answer one question."""
        settings, streaming = self.settings, False
        assert settings is not None
        try:
            reader, body = Reader(LONGEST_QUESTION if self.group is None else MOST_WISH), None
            while body is None:
                yield READ
                body = self.read(sock, reader)
            asked = unpack(settings.keys, body)
            answer: Told | Members | Granted | None = None
            if isinstance(asked, Asked):
                keeper, now = self.keeper, clock()
                records = keeper.dump(now, min(asked.most, MOST_TOLD))
                answer = Told(asked.nonce, keeper.name, keeper.epoch, records)
            elif isinstance(asked, Who):
                answer = self.members(asked.nonce)
            elif isinstance(asked, Wish) and self.group is not None:
                answer = self.group.wish(asked)
            elif isinstance(asked, Open) and self.group is not None:
                self.loop.deadlines.remove(self.limits.pop(sock, None))
                self.askers -= 1
                streaming = True
                yield from self.group.streams.serve(sock, asked)
            if answer is not None:
                rest = pack(answer, settings.keys[settings.sign], settings.sign)
                while rest:
                    rest = write(sock, rest)
                    if rest:
                        yield WRITE
        except (OSError, FrameError) as error:
            say(log, logging.DEBUG, "knowledge_not_told", "peers: a question: %(why)s", why=str(error))
        finally:
            self.loop.deadlines.remove(self.limits.pop(sock, None))
            self.askers -= not streaming

    def read(self, sock: socket.socket, reader: Reader) -> bytes | None:
        """Read once; the body of the frame once it is whole. Raises FrameError where it never will be."""
        found: list[bytes | None] = [None]

        def feed(data: memoryview) -> None:
            if not data:
                raise FrameError("cut short")
            found[0] = reader.feed(data)

        try:
            self.buffers.receive(sock, feed)
        except BlockingIOError:
            return None
        return found[0]

    def ask(self, address: Address, settings: PeersSettings) -> None:
        """Ask one peer what it knows."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        with contextlib.suppress(OSError):
            sock.bind((settings.listen[0], 0))  # so that the others see one address of it for everything
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            self.told(address, os.strerror(code))
            return
        self.asking[address] = self.loop.spawn(self.hear(sock, address, settings), sock)

    def hear(self, sock: socket.socket, address: Address, settings: PeersSettings) -> Coroutine:
        """Put a question and take its answer."""
        why, nonce = "late", self.rng.getrandbits(64)
        rest = pack(Asked(nonce), settings.keys[settings.sign], settings.sign)
        try:
            yield WRITE
            while rest:
                rest = write(sock, rest)
                if rest:
                    yield WRITE
            reader, body = Reader(MOST_FRAME), None
            while body is None:
                yield READ
                body = self.read(sock, reader)
            told = unpack(settings.keys, body)
            if not isinstance(told, Told) or told.nonce != nonce:
                raise FrameError("an answer to something else")
            news = self.keeper.take(clock(), told.records)
            why = f"{len(told.records)} pieces, {len(news)} of them news"
        except (OSError, FrameError) as error:
            why = str(error)
        finally:
            self.told(address, why)
            self.asking.pop(address, None)
            if not self.asking:
                self.warm()

    def told(self, address: Address, why: str) -> None:
        text = "knowledge: %(address)s was asked: %(what)s"
        say(log, logging.INFO, "knowledge_asked", text, address="{}:{}".format(*address), what=why)

    # Snapshots

    def load(self) -> None:
        """Take up what was saved; what cannot be used is set aside."""
        if self.saved is None:
            return
        path, now = self.saved.file, time.time() * 1000.0
        try:
            held = snapshot.read(path, now)
        except FileNotFoundError:
            return
        except snapshot.SnapshotError as error:
            try:
                what = "set aside as " + snapshot.set_aside(path)
            except OSError as stuck:
                what = f"left where it is: {stuck}"
            text = "snapshot: %(file)s is %(what)s: %(why)s"
            say(log, logging.WARNING, "snapshot_unusable", text, file=path, what=what, why=str(error))
            return
        age = max(0.0, now - held.saved)
        if held.epoch >= self.epoch:  # the clock went back: what comes must count as later all the same
            self.keeper.epoch = self.epoch = held.epoch + 1
            if self.swim is not None:
                self.swim.live(self.epoch)
        news = self.keeper.take(clock() - age, held.records)
        facts = {"file": path, "age_s": age / 1000.0, "news": len(news), "pieces": len(held.records)}
        text = "snapshot: %(file)s is %(age_s).1f s old, %(news)d pieces of %(pieces)d count"
        say(log, logging.INFO, "snapshot_loaded", text, **facts)

    def save(self, again: bool = True) -> None:
        """Hand a snapshot to the thread that writes; dropped where that is still busy with others."""
        keeper, now, saved = self.keeper, clock(), time.time() * 1000.0
        held = [e for e in keeper.book.all_evidence() if now - e.at <= MAX_EVIDENCE_AGE_MS]
        records: list[bytes] = []

        def go_on() -> None:
            """Encode a part: all in one go would hold up the loop."""
            part = held[len(records) : len(records) + BACKENDS_PER_PASS] if again else held
            records.extend(encode(e, now) for e in part)
            if len(records) < len(held):
                self.later(NEXT_PART, go_on)
                return
            assert self.saved is not None and self.channel is not None
            self.channel.put(snapshot.encode(Snapshot(saved, keeper.name, keeper.epoch, records)))
            self.channel.flush()
            if again:
                self.later(self.saved.every_s * 1000.0, self.save)

        go_on()

    def write_snapshot(self, pieces: list[bytes]) -> None:
        """Called by the writer."""
        assert self.saved is not None
        snapshot.write(self.saved.file, bytes(pieces[-1]))
        self.snapshots += 1

    # The end

    def close(self) -> None:
        """Say good-bye, save, and tell the log what was dropped."""
        if self.saved is not None:
            self.keeper.gather(clock())
            self.save(again=False)
        if self.swim is not None:
            self.send(self.swim.leave())
            dropped = ", ".join(f"{why} {count}" for why, count in sorted(self.swim.counts.items()))
            text = "peers: left; dropped: %(dropped)s"
            say(log, logging.INFO, "peers_left", text, dropped=dropped or "nothing")
        keeper, book = self.keeper, self.keeper.book
        text = (
            "knowledge: %(pieces)d pieces held, %(words)d words told to the module; %(absurd)d absurd, "
            "%(dropped)d without room; %(unsaved)d snapshots not written"
        )
        unsaved = self.channel.dropped if self.channel is not None else 0
        facts = {"pieces": book.size, "words": keeper.told, "absurd": book.invalid + keeper.rejected}
        say(log, logging.INFO, "knowledge_end", text, **facts, dropped=book.dropped, unsaved=unsaved)
