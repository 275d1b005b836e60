"""Every promise under every fault of the relay: fault x place x class, each cell against the real daemon.

The cells of one daemon run at the same time, each on its own links; the tests read the verdicts. What is held
against the daemon hangs on what it can know: what a client or a server was told is read off their own
sockets.
"""

import contextlib
import re
import socket
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest
from helpers import SETTINGS, WAIT, DiscoveryAgent, Program, TurnServer, host, response, until

from brackenusher.upstream.flow import UpstreamCodec
from testbed.relay.driver import Relay
from testbed.relay.script import Hop, Rule, Script

PLACES, CLASSES = ("client", "server", "discovery"), ("read", "submit", "once")
EFFECTS = {"read": "free", "submit": "guarded", "once": "single_shot"}
PATIENT = 10_000.0, 40_000.0  # aim and deadline, ms: so long that no verdict hangs on a busy machine
HASTY = 400.0, 1200.0  # for faults that time alone ends
LATE = 3.0  # seconds by which an answer may be late on a machine that is shared
PAD = b"." * 1500
RAN, NOT = "ran", "did not run"


def rules(*entries):
    return [Rule(**entry) for entry in entries]


BOTH = ("up", "down")
MARK, BODY, HOSTS = "mark", "board for", '"hosts": ['

# fault: rules on the client's hop, on the server's (after the mark of the request), on discovery's first link
FAULTS = {
    "delay": (
        rules(*({"do": "delay", "ms": 80, "jitter_ms": 40, "way": way} for way in BOTH)),
        rules({"do": "delay", "ms": 80, "pattern": MARK, "way": "up", "bytes": 50}),
        rules(*({"do": "delay", "ms": 150, "way": way} for way in BOTH)),
    ),
    "throttle": (
        rules(*({"do": "throttle", "bytes_per_s": 20_000, "way": way} for way in BOTH)),
        rules({"do": "throttle", "bytes_per_s": 5000, "pattern": MARK, "way": "up", "bytes": 50}),
        rules({"do": "throttle", "bytes_per_s": 2000}),
    ),
    "split": (
        rules(*({"do": "split", "size": 7, "gap_ms": 0.1, "way": way} for way in BOTH)),
        rules({"do": "split", "size": 1, "gap_ms": 0.2, "pattern": MARK, "way": "up", "bytes": 100}),
        rules(*({"do": "split", "size": 3, "gap_ms": 0.1, "way": way} for way in BOTH)),
    ),
    "merge": (
        rules(*({"do": "merge", "size": 8192, "ms": 50, "way": way} for way in BOTH)),
        rules({"do": "merge", "size": 8192, "ms": 50, "pattern": MARK, "way": "up", "bytes": 100}),
        rules(*({"do": "merge", "size": 8192, "ms": 100, "way": way} for way in BOTH)),
    ),
    "cut in the request": (
        rules({"do": "cut", "pattern": MARK, "way": "up"}),
        rules({"do": "cut", "pattern": MARK, "way": "up"}),
        rules({"do": "cut", "pattern": "GET /reg", "way": "up"}),
    ),
    "cut before the answer": (
        rules({"do": "hold"}, {"do": "cut", "pattern": BODY, "at_once": True}),
        rules(
            {"do": "hold", "pattern": MARK, "watch": "up"}, {"do": "cut", "pattern": MARK, "at_once": True}
        ),
        rules({"do": "hold"}, {"do": "cut", "pattern": HOSTS, "at_once": True}),
    ),
    "cut in the answer": (
        rules({"do": "cut", "pattern": BODY}),
        rules({"do": "cut", "pattern": MARK}),
        rules({"do": "cut", "pattern": HOSTS}),
    ),
    "half-close of the asker": (
        rules({"do": "half_close", "pattern": "end of it", "way": "up"}),
        rules({"do": "half_close", "pattern": MARK, "watch": "down", "way": "up"}),
        rules({"do": "half_close", "pattern": "\r\n\r\n", "way": "up"}),
    ),
    "half-close of the answerer": (
        rules({"do": "half_close", "pattern": MARK, "watch": "up"}),
        rules({"do": "half_close", "pattern": MARK, "watch": "up"}),
        rules({"do": "half_close", "pattern": HOSTS}),
    ),
    "reset in the request": (
        rules({"do": "reset", "pattern": MARK, "way": "up"}),
        rules({"do": "reset", "pattern": MARK, "way": "up"}),
        rules({"do": "reset", "pattern": "GET /reg", "way": "up"}),
    ),
    "reset in the answer": (
        rules({"do": "reset", "pattern": BODY}),
        rules({"do": "reset", "pattern": MARK}),
        rules({"do": "reset", "pattern": HOSTS}),
    ),
    "garble in the request": (
        rules({"do": "garble", "pattern": "HTTP/1.", "put": "9", "way": "up"}),
        rules({"do": "garble", "pattern": MARK, "put": "!", "way": "up"}),
        rules({"do": "garble", "pattern": "GET /reg", "bytes": 8, "put": "\0", "way": "up"}),
    ),
    "garble in the answer": (
        rules({"do": "garble", "bytes": 9, "put": "\x01"}),
        rules({"do": "garble", "pattern": MARK, "watch": "up", "bytes": 9, "put": "\x01"}),
        rules({"do": "garble", "pattern": HOSTS, "put": "#"}),
    ),
    "garble in a chunk's size": (
        rules({"do": "garble", "pattern": "\r\n\r\n", "put": "z", "way": "up"}),
        rules({"do": "garble", "pattern": MARK, "plus": 2, "put": "z"}),
        rules({"do": "garble", "pattern": "chunked\r\n\r\n", "put": "z"}),
    ),
    "hold of the last byte": (
        rules({"do": "hold", "pattern": "end of i", "ms": 1300, "bytes": 1, "way": "up"}),
        rules({"do": "hold", "pattern": MARK, "way": "up"}),
        rules({"do": "hold", "pattern": "\r\n\r", "way": "up"}),
    ),
    "silence": (
        rules({"do": "hold"}),
        rules({"do": "hold", "pattern": MARK, "watch": "up"}),
        rules({"do": "hold"}),
    ),
}
SMOOTH = ("delay", "throttle", "split", "merge")  # what only slows or cuts up: nobody may notice
QUIET = ("hold of the last byte", "silence")  # nobody is told: time alone ends it


def expected(place, fault, klass):
    """The statuses that the client may hear (None: no whole answer), and whether it must have run, if
    known.
    """
    if place == "discovery" or fault in SMOOTH:
        return {200}, RAN
    if place == "client":
        if fault in ("cut in the request", "reset in the request"):
            return {None}, NOT
        if fault in ("garble in the request", "garble in a chunk's size"):
            return {400, 505}, NOT
        if fault in ("half-close of the asker", "hold of the last byte"):
            return {None, 200}, None  # who ends its sending has gone away: it may or may not be served
        return {None}, RAN
    if fault == "half-close of the asker":
        return {200}, RAN
    if fault in QUIET:
        return ({502} if klass == "once" else {503}), None
    answered = fault in ("cut before the answer", "cut in the answer", "reset in the answer")
    return ({502} if klass == "once" else {200}), RAN if answered else None


@dataclass
class Heard:
    """What a client heard on its connection."""

    status: int | None = None
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    more: bytes = b""  # beyond the answer
    took: float = 0.0


def hear(sock, data, wait):
    """Send a request and read to the answer's end, the connection's, or as long as the client waits."""
    heard, text, began = Heard(), b"", time.monotonic()
    sock.settimeout(wait)
    with contextlib.suppress(OSError):
        sock.sendall(data)
        while part := sock.recv(65536):
            text += part
            sock.settimeout(max(0.01, began + wait - time.monotonic()))
            head, end, body = text.partition(b"\r\n\r\n")
            found = re.search(rb"content-length: (\d+)", head)
            if end and found and len(body) >= int(found[1]):
                first, *lines = head.decode("latin-1").split("\r\n")
                if not re.fullmatch(r"HTTP/1\.1 \d{3} .*", first):
                    break
                heard.status, size = int(first.split()[1]), int(found[1])
                heard.headers = dict(line.split(": ", 1) for line in lines)
                heard.body, heard.more = body[:size], body[size:]
                break
    heard.took = time.monotonic() - began
    return heard


class Fleet:
    """Turn servers that answer with what they were asked, and note it; an id that nobody sent gets 400."""

    def __init__(self, count):
        self.sent, self.seen, self.lock = set(), [], threading.Lock()
        self.servers = [TurnServer(self.behave) for _ in range(count)]

    def behave(self, server, message):
        first, headers, body = message
        name = headers.get("req-id", "")
        if name not in self.sent:
            return response(400)
        if first.endswith("HTTP/1.1"):
            with self.lock:
                self.seen.append((time.monotonic(), self.servers.index(server), name, body))
        text = b"%s %s\r\n%s" % (BODY.encode(), name.encode(), PAD)
        if "chunk" not in name:
            return response(200, text)
        size = text.index(b"\r\n")
        parts = b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (size, text[:size], len(text) - size, text[size:])
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + parts

    def runs(self, name):
        return [entry for entry in self.seen if entry[2] == name]

    def close(self):
        for server in self.servers:
            server.close()


def request(klass, name, chunked, span):
    """A request whose last line or body ends in `end of it`."""
    lines = [f"Host: h\r\nReq-Id: {name}\r\nReq-Kind: {klass}\r\nReq-Deadline: {span:.0f}m"]
    if klass == "read":
        return f"GET /read?k=1 HTTP/1.1\r\n{lines[0]}\r\nX: end of it\r\n\r\n".encode()
    lines.append(f"Idempotency-Key: key-{name}")
    lines.append("Transfer-Encoding: chunked" if chunked else "Content-Length: 9")
    body = "9\r\nend of it\r\n0\r\n\r\n" if chunked else "end of it"
    return "\r\n".join([f"POST /{klass}?k=1 HTTP/1.1", *lines, "", body]).encode()


def breaches(klass, name, heard, runs, span, allowed, ran):
    """What is held against the daemon, as seen from both ends."""
    found = []
    if heard.status not in allowed:
        found.append(f"the client heard {heard.status}")
    if heard.status is not None and heard.took > span / 1000.0 + LATE:
        found.append(f"the answer took {heard.took:.1f} s")
    if heard.more:
        found.append("a second answer")
    if heard.status == 200 and heard.body != b"%s %s\r\n%s" % (BODY.encode(), name.encode(), PAD):
        found.append("not the answer that was made for it")
    if heard.status == 503 and not 0 < float(heard.headers.get("retry-after", 0)) <= 0.6:
        found.append("a refusal without a time to come back")
    if klass == "once" and len(runs) > 1:
        found.append(f"it ran {len(runs)} times")
    if klass == "once" and heard.status == 503 and runs:
        found.append("refused, and it ran")
    if len(runs) > 4:
        found.append(f"{len(runs)} attempts")
    if ran == NOT and runs or ran == RAN and not runs:
        found.append(f"it ran {len(runs)} times, and {ran} was right")
    return found


def settings_of(aim, deadline):
    classes = [
        {"name": k, "slo": aim, "deadline": deadline, "worth": 1.0, "repeat": EFFECTS[k], "window": 60_000.0}
        for k in CLASSES
    ]
    return {"classes": classes, "tenants": [], "limits": {**SETTINGS["limits"], "connectTimeout": 5000.0}}


def ended_well(program):
    """End the daemon in good order; what its log holds against it."""
    program.process.terminate()
    code = program.process.wait(WAIT)
    found = [] if code == 0 else [f"exit code {code}"]
    if "Traceback" in program.log or ", 0 stood unanswered" not in program.log:
        found.append(f"log: {program.log[-1500:]}")
    return found


def at_the_clients(tmp_path, faults):
    """One daemon; each cell has a hop of its own before it."""
    names = {(f, k): f"mark-{n}-{k}" for n, f in enumerate(faults) for k in CLASSES}
    fleet, verdicts = Fleet(4), {}
    fleet.sent.update(names.values(), ("usual",))
    with Program(tmp_path, *fleet.servers, settings=settings_of(*PATIENT)) as program:
        hops = [Hop(name=name, target=f"127.0.0.1:{program.port}") for name in names.values()]
        scripted = []
        for (fault, klass), name in names.items():
            for rule in FAULTS[fault][0]:
                changes = {"hop": name, "links": (0, 0)}
                if rule.pattern == MARK:
                    changes["pattern"] = name
                if fault.startswith("half-close of the asker") and klass == "read":
                    changes["plus"] = 4
                if fault == "hold of the last byte" and klass == "read":
                    changes["pattern"] = "end of it\r\n\r"
                if fault == "garble in a chunk's size" and klass == "read":
                    changes |= {"pattern": "Req-Kind", "put": "\0"}
                scripted.append(Rule(**{f: getattr(rule, f) for f in rule.__struct_fields__} | changes))
        with Relay(script=Script(hops=tuple(hops), rules=tuple(scripted)), lenient=True) as relay:

            def cell(key):
                (fault, klass), name = key, names[key]
                span = 1200.0 if fault in QUIET else PATIENT[1]
                data = request(klass, name, "chunk" in fault, span)
                with socket.create_connection(("127.0.0.1", relay.port(name)), timeout=WAIT) as sock:
                    heard = hear(sock, data, span / 1000.0 + 0.3 if fault in QUIET else WAIT)
                    allowed, ran = expected("client", fault, klass)
                    with contextlib.suppress(AssertionError):  # the verdict says so
                        # the client stays meanwhile: what comes together with its client's end isn't run
                        until(lambda: ran != RAN or fleet.runs(name))
                return key, name, heard, span, allowed, ran

            with ThreadPoolExecutor(len(names)) as pool:
                done = list(pool.map(cell, names))
            missed = {scripted[int(line.split()[1][:-1])].hop for line in never(relay)}
        with program.connect() as sock:
            usual = hear(sock, request("read", "usual", False, PATIENT[1]), WAIT)
        common = ended_well(program) + ([] if usual.status == 200 else ["a usual client was not served"])
    for (fault, klass), name, heard, span, allowed, ran in done:
        found = breaches(klass, name, heard, fleet.runs(name), span, allowed, ran)
        found += ["the fault never came"] if name in missed else []
        verdicts["client", fault, klass] = common + found
    fleet.close()
    return verdicts


def never(relay):
    """The rules that did not act; asked before the relay has ended."""
    relay.close()
    return relay.report.never


def at_the_servers(tmp_path, fault):
    """A daemon whose every server stands behind the relay; the first attempt of a marked request is hit."""
    aim, deadline = HASTY if fault in QUIET else PATIENT
    fleet = Fleet(3)
    names = {k: f"mark-{k}-{'chunk' if 'chunk' in fault else 'plain'}" for k in CLASSES}
    fleet.sent.update(names.values(), (f"usual-{n}" for n in range(6)))
    hops = tuple(Hop(name=f"s{n}", target=server.address) for n, server in enumerate(fleet.servers))
    scripted = []
    for name in names.values():
        for rule in FAULTS[fault][1]:
            values = {f: getattr(rule, f) for f in rule.__struct_fields__}
            scripted.append(Rule(**values | {"pattern": name, "in_all": 1}))
    with Relay(script=Script(hops=hops, rules=tuple(scripted)), lenient=True) as relay:
        vias = [
            SimpleNamespace(address=relay.address(hop.name), close=server.close)
            for hop, server in zip(hops, fleet.servers, strict=True)
        ]
        with Program(tmp_path, *vias, settings=settings_of(aim, deadline)) as program:

            def ask(klass, name, span):
                with program.connect() as sock:
                    return hear(sock, request(klass, name, False, span), span / 1000.0 + LATE)

            for n in range(4):  # a few usual ones, so that connections stand and latencies are known
                ask("read", f"usual-{n}", deadline)
            with ThreadPoolExecutor(3) as pool:
                heard = dict(
                    zip(CLASSES, pool.map(lambda k: ask(k, names[k], deadline), CLASSES), strict=True)
                )
            usual = until(lambda: ask("read", "usual-4", deadline).status == 200, "a usual answer")
            common = ended_well(program) + ([] if usual else ["a usual client was not served"])
        acted = dict(relay.report.acted)
    verdicts = {}
    for number, klass in enumerate(CLASSES):
        allowed, ran = expected("server", fault, klass)
        runs = fleet.runs(names[klass])
        found = breaches(klass, names[klass], heard[klass], runs, deadline, allowed, ran)
        per = len(FAULTS[fault][1])
        if not all(acted[n] for n in range(number * per, number * per + per)):
            found.append("the fault never came")
        verdicts["server", fault, klass] = common + found
    fleet.close()
    return verdicts


def at_discovery(tmp_path, fault):
    """A daemon that knows two servers; over a link that fails it is to learn that one drains and one is
    new.
    """
    fleet, verdicts = Fleet(3), {}
    hosts = [host(f"s{n}", server) for n, server in enumerate(fleet.servers)]
    agent = DiscoveryAgent(hosts[:2])
    scripted = [
        Rule(**{f: getattr(rule, f) for f in rule.__struct_fields__} | {"links": (0, 0)})
        for rule in FAULTS[fault][2]
    ]
    script = Script(hops=(Hop(target=agent.address),), rules=tuple(scripted))
    with Relay(script=script, lenient=True) as relay:
        via = SimpleNamespace(address=relay.address(), close=agent.close)
        program = Program(
            tmp_path, *fleet.servers, known=hosts[:2], agent=via, settings=settings_of(*PATIENT)
        )
        with program:
            found, serial = {klass: [] for klass in CLASSES}, iter(range(100_000))

            def ask(klass):
                name = f"{klass}-{next(serial)}"
                fleet.sent.add(name)
                with program.connect() as sock:
                    heard = hear(sock, request(klass, name, False, PATIENT[1]), WAIT)
                found[klass] += breaches(klass, name, heard, fleet.runs(name), PATIENT[1], {200}, RAN)

            def round_of_all():
                for klass in CLASSES:
                    ask(klass)
                return any(entry[1] == 2 for entry in fleet.seen)

            round_of_all()
            agent.tell([hosts[0], {**hosts[1], "health": "draining"}, hosts[2]], whole=True)
            until(round_of_all, f"{fault}: the new list")
            learnt = time.monotonic()
            while time.monotonic() < learnt + 0.7:
                round_of_all()
            late = [entry for entry in fleet.seen if entry[1] == 1 and entry[0] > learnt + 0.55]
            common = ended_well(program) + ([f"{len(late)} sent after the drain"] if late else [])
        acted = relay.report.acted
    if not all(acted.values()):
        common.append("the fault never came")
    for klass in CLASSES:
        verdicts["discovery", fault, klass] = common + found[klass]
    fleet.close()
    return verdicts


@pytest.fixture(scope="module")
def table(request, tmp_path_factory):
    """The verdicts of all cells that are to be tested, played at the same time."""
    wanted = {
        (item.callspec.params["place"], item.callspec.params["fault"])
        for item in request.session.items
        if item.fspath == request.fspath and "fault" in getattr(getattr(item, "callspec", 0), "params", ())
    }
    by_clients = [fault for place, fault in wanted if place == "client"]
    verdicts = {}
    with ThreadPoolExecutor(12) as pool:  # few enough that a daemon is up in time on two cores
        folder = tmp_path_factory.mktemp
        jobs = {}
        if by_clients:
            jobs[pool.submit(at_the_clients, folder("clients"), sorted(by_clients))] = ("client", by_clients)
        for place, fault in sorted(wanted):
            if place != "client":
                play = at_the_servers if place == "server" else at_discovery
                jobs[pool.submit(play, folder(place), fault)] = (place, [fault])
        for job, (place, faults) in jobs.items():
            error = job.exception()  # it costs its own cells alone
            cells = {(place, fault, klass): [repr(error)] for fault in faults for klass in CLASSES}
            verdicts |= cells if error else job.result()
    for _ in range(2):  # a script plays the same again: what was the busy machine's doing goes, a fault stays
        for place, fault in sorted({cell[:2] for cell, found in verdicts.items() if found}):
            if place == "client":
                verdicts |= at_the_clients(folder("again"), [fault])
            else:
                verdicts |= (at_the_servers if place == "server" else at_discovery)(folder("again"), fault)
    return verdicts


@pytest.mark.parametrize("klass", CLASSES)
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("place", PLACES)
def test_every_promise_is_kept(table, place, fault, klass):
    assert table[place, fault, klass] == []


def test_a_garbled_byte_of_a_chunked_answer_never_cuts_or_moves_what_is_served():
    # what stands in the place of a byte of the body itself nobody can tell: HTTP has no sum over it, nor
    # could one over a size that happens to end where a later chunk does, which these sizes rule out
    body = b"abcdefghijklmnopq" + b"ABCDEFGHIJKLMNOPQRS"
    form = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n%s\r\n13\r\n%s\r\n0\r\n\r\n"
    whole = form % (body[:17], body[17:])
    begin = whole.index(b"11\r\n")
    inside = {whole.index(body[n : n + 1], begin) for n in range(len(body))}
    served = 0
    for at in range(begin, len(whole)):
        for byte in range(256):
            flow = UpstreamCodec(b"h")
            reply = flow.receive(whole[:at] + bytes([byte]) + whole[at + 1 :])
            if reply is None or reply.served is None:
                continue
            served += 1
            got = reply.served.content.body
            assert got == body or at in inside and len(got) == len(body), (at, byte, got)
    assert served > len(body) * 255


def test_the_table_is_as_large_as_it_says():
    assert len(FAULTS) * len(PLACES) * len(CLASSES) == 144
    assert set(Counter(len(each) for each in FAULTS.values())) == {3}


@pytest.mark.parametrize(
    ("heard", "runs", "what"),
    [
        (Heard(502), 0, "heard 502"),
        (Heard(200, took=99.0, body=b"%s n\r\n%s" % (BODY.encode(), PAD)), 1, "took"),
        (Heard(200, body=b"board for m\r\n"), 1, "made for it"),
        (Heard(200, more=b"HTTP/1.1 200"), 1, "second answer"),
        (Heard(503), 0, "time to come back"),
        (Heard(503, {"retry-after": "0.5"}), 1, "refused, and it ran"),
        (Heard(200), 2, "ran 2 times"),
        (Heard(200), 0, "was right"),
    ],
)
def test_a_broken_promise_is_found(heard, runs, what):
    # guards against a table of cells that cannot fail
    found = breaches("once", "n", heard, [()] * runs, 40_000.0, {200, 503}, RAN)
    assert any(what in line for line in found)
