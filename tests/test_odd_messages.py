"""Odd messages, legal and illegal, in any cut of bytes: what arrives is compared with what was sent."""

from dataclasses import dataclass, field

import h11
import pytest
from helpers import SETTINGS, Program, TurnServer
from hypothesis import given, settings
from hypothesis import strategies as st

from barleybarrow.settings import read_settings
from brackenusher.core.transaction import Served
from brackenusher.fronts.http1.virtual_server import Front, Request, VirtualServer
from brackenusher.upstream.flow import Content, Flow

FRONT = Front(read_settings(SETTINGS))
POST = b"POST /turn-submit?k=m HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nIdempotency-Key: k\r\n"
GET = b"GET /board-read?k=m HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n"
UPGRADE = b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
ENDED = "the connection ends"


@dataclass(frozen=True)
class Taken:
    """A request as a pool member is to get it; of its headers those that matter, None for one left out."""

    body: bytes = b""
    method: bytes = b"POST"
    target: bytes = b"/turn-submit?k=m"
    headers: dict[bytes, bytes | None] = field(default_factory=dict)


MOVE, READ = Taken(b"move"), Taken(method=b"GET", target=b"/board-read?k=m")


def at_member(request):
    """What a pool member reads, by another parser than ours."""
    member = h11.Connection(h11.SERVER)
    member.receive_data(Flow(b"member:1").request(request.message, 500.0))
    head, body = member.next_event(), b""
    while isinstance(event := member.next_event(), h11.Data):
        body += bytes(event.data)
    assert type(event) is h11.EndOfMessage and not member.trailing_data[0]
    return head, body


def sent_on(request, wanted):
    """What a request comes to at a pool member, as far as `wanted` asks."""
    head, body = at_member(request)
    found = dict(head.headers)
    return Taken(body, head.method, head.target, {name: found.get(name) for name in wanted.headers})


def play(pieces, wanted):
    """Feed a client's bytes; what became of each request in its turn: taken, or the status of its answer."""
    machine, results = VirtualServer(FRONT, lambda: True), []
    for piece in pieces:
        machine.receive(piece)
        while not machine.last and (item := machine.next()) is not None:
            if isinstance(item, Request):
                expected = wanted[len(results)] if len(results) < len(wanted) else None
                results.append(sent_on(item, expected if isinstance(expected, Taken) else MOVE))
                answer = machine.answer(Served(Content(b"done")), False)
                assert answer.startswith(b"HTTP/1.1 200 ")
            else:
                results.append(int(machine.reject(item, False)[9:12]))
    return [*results, ENDED] if machine.last else results


def cut(data, at):
    """Bytes in pieces, none of them empty."""
    places = sorted({0, *(place % len(data) for place in at), len(data)})
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


REQUESTS = {
    # an offer to go on in another protocol, which nobody here takes up
    "upgrade": (POST + UPGRADE + LENGTH + b"\r\nmove", [MOVE]),
    "upgrade to h2c": (
        POST
        + b"Connection: upgrade, http2-settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAM\r\n"
        + LENGTH
        + b"\r\nmove",
        [MOVE],
    ),
    "upgrade, chunked": (POST + UPGRADE + CHUNKED + b"\r\n1\r\nm\r\n3\r\nove\r\n0\r\n\r\n", [MOVE]),
    "upgrade, no body": (GET + UPGRADE + b"\r\n", [Taken(b"", b"GET", READ.target, {b"upgrade": None})]),
    "upgrade, HTTP/1.0": (POST.replace(b"/1.1", b"/1.0") + UPGRADE + LENGTH + b"\r\nmove", [MOVE, ENDED]),
    "upgrade, two lengths": (POST + UPGRADE + LENGTH + CHUNKED + b"\r\n0\r\n\r\nmove", [400, ENDED]),
    "CONNECT": (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + POST + b"\r\n", [405, ENDED]),
    "CONNECT to a path": (b"CONNECT" + POST[4:] + LENGTH + b"\r\nmove", [405, ENDED]),
    # targets
    "absolute form": (
        POST.replace(b"/turn", b"HTTP://h:80/turn", 1) + LENGTH + b"\r\nmove",
        [Taken(b"move", headers={b"host": b"h:80"})],
    ),
    "absolute form, HTTP/1.0": (
        b"GET http://[::1]:80/board-read?k=m HTTP/1.0\r\nReq-Id: 1\r\n\r\n",
        [Taken(b"", b"GET", READ.target, {b"host": b"[::1]:80"}), ENDED],
    ),
    "absolute form, ready": (b"GET http://h/health/ready HTTP/1.1\r\nHost: x\r\n\r\n", [200]),
    "asterisk form": (b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", [400]),
    "authority form": (b"GET h:80 HTTP/1.1\r\nHost: x\r\n\r\n", [400, ENDED]),
    "https": (GET.replace(b"/board", b"https://h/board") + b"\r\n", [400]),
    "userinfo": (GET.replace(b"/board", b"http://u:p@h/board") + b"\r\n", [400]),
    "no host": (GET.replace(b"/board", b"http:///board") + b"\r\n", [400]),
    "no path": (GET.replace(b"/board-read", b"http://h") + b"\r\n", [404]),
    "path of no part": (GET.replace(b"/board", b"//board") + b"\r\n", [404]),
    "fragment": (GET.replace(b"=m", b"=m#a") + b"\r\n", [400]),
    "fragment, absolute form": (
        GET.replace(b"/board", b"http://h/board").replace(b"=m", b"#a") + b"\r\n",
        [400],
    ),
    "an odd but plain target": (
        GET.replace(b"k=m", b"k=m&u=http://a/#b".replace(b"#", b"%23")) + b"\r\n",
        [Taken(b"", b"GET", b"/board-read?k=m&u=http://a/%23b")],
    ),
    "the class in percent signs": (
        POST.replace(b"turn-", b"turn%2D") + LENGTH + b"\r\nmove",
        [Taken(b"move", target=b"/turn%2Dsubmit?k=m")],
    ),
}


@pytest.mark.parametrize("name", REQUESTS)
def test_an_odd_request_arrives_as_it_was_sent_whole_and_byte_by_byte(name):
    # guards against a message that the parser ends early, and a verdict that hangs on how the bytes were cut
    data, wanted = REQUESTS[name]
    assert play([data], wanted) == wanted
    assert play([data[i : i + 1] for i in range(len(data))], wanted) == wanted


GO_ON = [name for name, (_, wanted) in REQUESTS.items() if wanted[-1] != ENDED]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    names=st.lists(st.sampled_from(GO_ON), max_size=5),
    last=st.sampled_from(sorted(REQUESTS)),
    cuts=st.lists(st.integers(0, 1 << 16), max_size=12),
)
def test_odd_requests_one_behind_the_other_in_any_cut(names, last, cuts):
    # guards against state that one message leaves behind for the next
    rows = [REQUESTS[name] for name in [*names, last]]
    wanted = [result for _, results in rows for result in results]
    assert play(cut(b"".join(data for data, _ in rows), cuts), wanted) == wanted


def test_a_move_that_offers_an_upgrade_is_not_lost(tmp_path):
    # guards against a body that nobody reads: the turn server began a move without content, and it was served
    with TurnServer() as server, Program(tmp_path, server) as program, program.connect() as sock:
        data = POST + UPGRADE + LENGTH + b"\r\nmove"
        sock.sendall(data + data.replace(b"Req-Id: 1", b"Req-Id: 2").replace(b"move", b"next"))
        file = sock.makefile("rb")
        for _ in range(2):
            while (line := file.readline()) != b"\r\n":
                assert line
            assert file.read(5) == b"board"
        assert [message[2] for message in server.requests] == [b"move", b"next"]
