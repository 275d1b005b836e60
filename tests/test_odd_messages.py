"""Unusual messages, valid and invalid, split at any byte: what arrives is compared with what was sent."""

from dataclasses import dataclass, field

import h11
import pytest
from helpers import SETTINGS, Program, TurnServer
from hypothesis import given, settings
from hypothesis import strategies as st

from barleybarrow.interface import Outcome
from barleybarrow.settings import read_settings
from brackenusher.core.admission import Request
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Served
from brackenusher.fronts.http import RequestClassifier
from brackenusher.fronts.http1.virtual_server import Http1Protocol
from brackenusher.upstream.flow import UpstreamCodec as Flow

FRONT = RequestClassifier(read_settings(SETTINGS))
POST = b"POST /turn-submit?k=m HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nIdempotency-Key: k\r\n"
GET = b"GET /board-read?k=m HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n"
UPGRADE = b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
ENDED = "the connection ends"


@dataclass(frozen=True)
class ForwardedRequest:
    """A request as a pool member must receive it; only the headers to compare, None for an absent one."""

    body: bytes = b""
    method: bytes = b"POST"
    target: bytes = b"/turn-submit?k=m"
    headers: dict[bytes, bytes | None] = field(default_factory=dict)


MOVE, READ = ForwardedRequest(b"move"), ForwardedRequest(method=b"GET", target=b"/board-read?k=m")


def read_at_member(request):
    """The request as a pool member reads it, with an independent parser."""
    member = h11.Connection(h11.SERVER)
    member.receive_data(Flow(b"member:1").encode_request(request.message, 500.0))
    head, body = member.next_event(), b""
    while isinstance(event := member.next_event(), h11.Data):
        body += bytes(event.data)
    assert type(event) is h11.EndOfMessage and not member.trailing_data[0]
    return head, body


def forwarded(request, wanted):
    """The request as forwarded to a pool member, with the headers of `wanted`."""
    head, body = read_at_member(request)
    found = dict(head.headers)
    return ForwardedRequest(
        body, head.method, head.target, {name: found.get(name) for name in wanted.headers}
    )


def play(chunks, wanted):
    """Feed a client's bytes; the result of each request: the forwarded request, or the response status."""
    machine, results = Http1Protocol(FRONT, lambda: True), []
    for chunk in chunks:
        machine.receive(chunk)
        while not machine.closes_connection and (item := machine.next_request()) is not None:
            if isinstance(item, Request):
                expected = wanted[len(results)] if len(results) < len(wanted) else None
                results.append(forwarded(item, expected if isinstance(expected, ForwardedRequest) else MOVE))
                answer = machine.encode_answer(Served(Content(b"done")), False)
                assert answer.startswith(b"HTTP/1.1 200 ")
            else:
                results.append(int(machine.encode_rejection(item, False)[9:12]))
        machine.continue_response()
    return [*results, ENDED] if machine.closes_connection else results


def cut(data, positions):
    """Split bytes into non-empty chunks."""
    offsets = sorted({0, *(position % len(data) for position in positions), len(data)})
    return [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


REQUESTS = {
    # offers to upgrade the protocol, which are ignored
    "upgrade": (POST + UPGRADE + LENGTH + b"\r\nmove", [MOVE]),
    "upgrade to h2c": (
        POST
        + b"Connection: upgrade, http2-settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAM\r\n"
        + LENGTH
        + b"\r\nmove",
        [MOVE],
    ),
    "upgrade, chunked": (POST + UPGRADE + CHUNKED + b"\r\n1\r\nm\r\n3\r\nove\r\n0\r\n\r\n", [MOVE]),
    "upgrade, no body": (
        GET + UPGRADE + b"\r\n",
        [ForwardedRequest(b"", b"GET", READ.target, {b"upgrade": None})],
    ),
    "upgrade, HTTP/1.0": (POST.replace(b"/1.1", b"/1.0") + UPGRADE + LENGTH + b"\r\nmove", [MOVE, ENDED]),
    "upgrade, two lengths": (POST + UPGRADE + LENGTH + CHUNKED + b"\r\n0\r\n\r\nmove", [400, ENDED]),
    "CONNECT": (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + POST + b"\r\n", [405, ENDED]),
    "CONNECT to a path": (b"CONNECT" + POST[4:] + LENGTH + b"\r\nmove", [405, ENDED]),
    # targets
    "absolute form": (
        POST.replace(b"/turn", b"HTTP://h:80/turn", 1) + LENGTH + b"\r\nmove",
        [ForwardedRequest(b"move", headers={b"host": b"h:80"})],
    ),
    "absolute form, HTTP/1.0": (
        b"GET http://[::1]:80/board-read?k=m HTTP/1.0\r\nReq-Id: 1\r\n\r\n",
        [ForwardedRequest(b"", b"GET", READ.target, {b"host": b"[::1]:80"}), ENDED],
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
        [ForwardedRequest(b"", b"GET", b"/board-read?k=m&u=http://a/%23b")],
    ),
    "the class in percent signs": (
        POST.replace(b"turn-", b"turn%2D") + LENGTH + b"\r\nmove",
        [ForwardedRequest(b"move", target=b"/turn%2Dsubmit?k=m")],
    ),
    # request lines and versions
    "empty lines ahead": (b"\r\n\r\n" + GET + b"\r\n", [READ]),
    "method in lower case": (GET.replace(b"GET", b"get") + b"\r\n", [400, ENDED]),
    "method that nobody knows": (b"MOVE_ON" + GET[3:] + b"\r\n", [400, ENDED]),
    "method of another class": (b"PUT" + GET[3:] + b"\r\n", [405]),
    "HEAD": (b"HEAD" + GET[3:] + b"\r\n", [405]),
    "tabs for spaces": (GET.replace(b" ", b"\t", 2) + b"\r\n", [400, ENDED]),
    "the preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", [400, ENDED]),
    "HTTP/0.9": (b"GET /board-read?k=m\r\n\r\n", [505, ENDED]),
    "HTTP/1.0": (GET.replace(b"/1.1", b"/1.0") + b"Connection: keep-alive\r\n\r\n", [READ, ENDED]),
    "HTTP/1.2": (GET.replace(b"/1.1", b"/1.2") + b"\r\n", [400, ENDED]),
    "HTTP/2.0": (GET.replace(b"/1.1", b"/2.0") + b"\r\n", [505, ENDED]),
    # headers
    "an empty value": (
        GET + b"X:\r\nY: \t\r\nZ: z\r\n\r\n",
        [ForwardedRequest(b"", b"GET", READ.target, {b"x": b"", b"y": b"", b"z": b"z"})],
    ),
    "eight-bit value": (
        GET + b"X:\t \xe9\xff \t\r\n\r\n",
        [ForwardedRequest(b"", b"GET", READ.target, {b"x": b"\xe9\xff"})],
    ),
    "header for one hop": (
        GET + b"Connection: keep-alive , X-Hop\r\nconnection: y-hop\r\nX-Hop: 1\r\nY-Hop: 1\r\nZ: 1\r\n\r\n",
        [ForwardedRequest(b"", b"GET", READ.target, {b"x-hop": None, b"y-hop": None, b"z": b"1"})],
    ),
    "key said to be for one hop": (
        POST + b"Connection: Idempotency-Key\r\n" + LENGTH + b"\r\nmove",
        [400, ENDED],
    ),
    "length said to be for one hop": (
        POST + b"Connection: content-length\r\n" + LENGTH + b"\r\nmove",
        [400, ENDED],
    ),
    "an expectation nobody knows": (POST + LENGTH + b"Expect: 200-ok\r\n\r\nmove", [MOVE]),
    "Connection: close": (GET + b"Connection: x, Close\r\n\r\n" + GET + b"\r\n", [READ, ENDED]),
    "Host empty": (GET.replace(b"Host: x", b"Host:") + b"\r\n", [READ]),
    "Host left out": (GET.replace(b"Host: x\r\n", b"") + b"\r\n", [400, ENDED]),
    "Host doubled": (GET + b"Host: x\r\n\r\n", [400, ENDED]),
    "Host with a path": (GET.replace(b"Host: x", b"Host: x/y") + b"\r\n", [400, ENDED]),
    "Host with userinfo": (GET.replace(b"Host: x", b"Host: u@x") + b"\r\n", [400, ENDED]),
    "key doubled": (POST + b"idempotency-key: k\r\n" + LENGTH + b"\r\nmove", [400, ENDED]),
    "folded value": (GET + b"X: a\r\n b\r\n\r\n", [400, ENDED]),
    "folded length": (POST + b"Content-Length: 1\r\n 2\r\n\r\nmovemovemove", [400, ENDED]),
    "folded at once": (GET.replace(b"\r\nHost", b"\r\n Host") + b"\r\n", [400, ENDED]),
    "space ahead of the colon": (POST + b"Content-Length : 4\r\n\r\nmove", [400, ENDED]),
    "no colon": (GET + b"X\r\n\r\n", [400, ENDED]),
    "no name": (GET + b": x\r\n\r\n", [400, ENDED]),
    "eight-bit name": (GET + b"X\xe9: x\r\n\r\n", [400, ENDED]),
    "NUL": (GET + b"X: a\0b\r\n\r\n", [400, ENDED]),
    "control character": (GET + b"X: a\x0bb\r\n\r\n", [400, ENDED]),
    "bare LF": (GET.replace(b"\r\n", b"\n") + b"\n", [400, ENDED]),
    "bare LF behind a header": (GET + b"X: y\nZ: z\r\n\r\n", [400, ENDED]),
    "bare CR in a value": (GET + b"X: y\rZ: z\r\n\r\n", [400, ENDED]),
    "head of 12 KiB": (GET + b"X: " + b"y" * 12_000 + b"\r\n\r\n", [READ]),
    "head of 17 KiB": (GET + (b"X: " + b"y" * 1000 + b"\r\n") * 17 + b"\r\n", [431, ENDED]),
    "target of 17 KiB": (GET.replace(b"k=m", b"k=" + b"m" * 17_000) + b"\r\n", [431, ENDED]),
    # lengths
    "no length": (POST + b"\r\n", [ForwardedRequest(b"")]),
    "length of nothing": (POST + b"Content-Length: 0\r\n\r\n", [ForwardedRequest(b"")]),
    "length with zeros ahead": (POST + b"Content-Length: \t0004 \r\n\r\nmove", [MOVE]),
    "length with a sign": (POST + b"Content-Length: +4\r\n\r\nmove", [400, ENDED]),
    "length below nothing": (POST + b"Content-Length: -4\r\n\r\nmove", [400, ENDED]),
    "length in hexadecimal": (POST + b"Content-Length: 0x4\r\n\r\nmove", [400, ENDED]),
    "length left empty": (POST + b"Content-Length:\r\n\r\nmove", [400, ENDED]),
    "length as a list": (POST + b"Content-Length: 4, 4\r\n\r\nmove", [400, ENDED]),
    "length doubled": (POST + LENGTH + LENGTH + b"\r\nmove", [400, ENDED]),
    "length beyond all numbers": (POST + b"Content-Length: 18446744073709551620\r\n\r\nmove", [400, ENDED]),
    "length beyond the limit": (POST + b"Content-Length: 65537\r\n\r\nmove", [413, ENDED]),
    "length and coding": (POST + CHUNKED + LENGTH + b"\r\n0\r\n\r\nmove", [400, ENDED]),
    "GET with a body": (GET + LENGTH + b"\r\nmove", [400]),
    # chunks
    "chunked": (
        POST + CHUNKED.swapcase() + b'\r\n0003;a=b;c="d;e"\r\nmov\r\n1;x\r\ne\r\n000;y\r\n\r\n',
        [MOVE],
    ),
    "chunks of nothing": (POST + CHUNKED + b"\r\n0\r\n\r\n", [ForwardedRequest(b"")]),
    "trailers": (
        POST + CHUNKED + b"\r\n4\r\nmove\r\n0\r\nIdempotency-Key: other\r\nX: y\r\n\r\n",
        [ForwardedRequest(b"move", headers={b"idempotency-key": b"k", b"x": None})],
    ),
    "upgrade in the trailers": (POST + CHUNKED + b"\r\n4\r\nmove\r\n0\r\n" + UPGRADE + b"\r\n", [MOVE]),
    "length in the trailers": (POST + CHUNKED + b"\r\n4\r\nmove\r\n0\r\n" + LENGTH + b"\r\n", [400, ENDED]),
    "trailers of 17 KiB": (
        POST + CHUNKED + b"\r\n4\r\nmove\r\n0\r\n" + (b"X: " + b"y" * 1000 + b"\r\n") * 17 + b"\r\n",
        [431, ENDED],
    ),
    "chunk with a space": (POST + CHUNKED + b"\r\n4 \r\nmove\r\n0\r\n\r\n", [400, ENDED]),
    "chunk with bare LF": (POST + CHUNKED + b"\r\n4\nmove\r\n0\r\n\r\n", [400, ENDED]),
    "chunk extension, bare LF": (POST + CHUNKED + b"\r\n4;a\nmove\r\n0\r\n\r\n", [400, ENDED]),
    "chunk extension, bare CR": (POST + CHUNKED + b"\r\n4;a\rb\r\nmove\r\n0\r\n\r\n", [400, ENDED]),
    "chunk longer than said": (POST + CHUNKED + b"\r\n3\r\nmove\r\n0\r\n\r\n", [400, ENDED]),
    "chunk below nothing": (POST + CHUNKED + b"\r\n-4\r\nmove\r\n0\r\n\r\n", [400, ENDED]),
    "chunk beyond all numbers": (POST + CHUNKED + b"\r\n" + b"f" * 17 + b"\r\nmove", [400, ENDED]),
    "coding doubled": (POST + CHUNKED + CHUNKED + b"\r\n4\r\nmove\r\n0\r\n\r\n", [400, ENDED]),
    "coding with a tab": (POST + CHUNKED[:-2] + b"\t\r\n\r\n4\r\nmove\r\n0\r\n\r\n", [400, ENDED]),
    "another coding": (
        POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nmove\r\n0\r\n\r\n",
        [501, ENDED],
    ),
    "coding in HTTP/1.0": (
        POST.replace(b"/1.1", b"/1.0") + CHUNKED + b"\r\n4\r\nmove\r\n0\r\n\r\n",
        [501, ENDED],
    ),
}


@pytest.mark.parametrize("name", REQUESTS)
def test_unusual_request_gives_the_same_result_whole_and_byte_by_byte(name):
    # the end of a message, or its rejection, must not depend on how its bytes were split
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


def test_body_of_a_request_with_an_upgrade_offer_is_forwarded(tmp_path):
    # an unread body gave the turn server a move without content, which was then served
    with TurnServer() as server, Program(tmp_path, server) as program, program.connect() as sock:
        data = POST + UPGRADE + LENGTH + b"\r\nmove"
        sock.sendall(data + data.replace(b"Req-Id: 1", b"Req-Id: 2").replace(b"move", b"next"))
        file = sock.makefile("rb")
        for _ in range(2):
            while (line := file.readline()) != b"\r\n":
                assert line
            assert file.read(5) == b"board"
        assert [message[2] for message in server.requests] == [b"move", b"next"]


def test_one_byte_chunks_are_accepted_and_endless_framing_is_rejected():
    # framing must not count as body, and endless trailers must not fill the memory until the timeout
    body = b"m" * (64 * 1024)
    data = POST + CHUNKED + b"\r\n" + b"1\r\nm\r\n" * len(body) + b"0\r\n\r\n"
    pieces = [data[i : i + 16_384] for i in range(0, len(data), 16_384)]
    assert play(pieces, [ForwardedRequest(body)]) == [ForwardedRequest(body)]
    endless = [POST + CHUNKED + b"\r\n0\r\nX: ", *[b"y" * 16_384] * 33]
    assert play(endless, []) == [413, ENDED]
    assert play([POST + CHUNKED + b"\r\n1;", *[b"y" * 16_384] * 33], []) == [413, ENDED]
    assert play([GET + b"X: ", b"y" * 16_384, b"y" * 16_384], []) == [431, ENDED]


def test_earlier_requests_do_not_count_against_a_partial_head():
    # a small request behind others in one buffer got 431
    data = (POST + b"Content-Length: 20000\r\n\r\n" + b"m" * 20_000) * 2 + GET + b"\r\n"
    wanted = [ForwardedRequest(b"m" * 20_000)] * 2 + [READ]
    assert play([data[:-1], data[-1:]], wanted) == wanted


@pytest.mark.parametrize("value", [b"100-continue", b"100-Continue"])
def test_100_continue_is_sent_once_and_only_to_clients_that_expect_it(value):
    machine = Http1Protocol(FRONT, lambda: True)
    head = POST + LENGTH + (b"Expect: " + value + b"\r\n") * 2 + b"\r\n"
    machine.receive(head[:-1])
    assert not machine.continue_response()
    machine.receive(head[-1:])
    assert machine.continue_response() == b"HTTP/1.1 100 Continue\r\n\r\n" and not machine.continue_response()
    machine.receive(b"move")
    assert forwarded(machine.next_request(), MOVE) == MOVE
    machine = Http1Protocol(FRONT, lambda: True)
    machine.receive(head.replace(b"/1.1", b"/1.0"))
    assert not machine.continue_response()  # HTTP/1.0 has no 100 Continue


def test_response_to_head_has_no_body():
    # the client would take a body for the beginning of the next response
    machine = Http1Protocol(FRONT, lambda: True)
    machine.receive(b"HEAD" + GET[3:] + b"\r\n" + GET + b"\r\n")
    answer = machine.encode_rejection(machine.next_request(), False)
    assert (
        answer.startswith(b"HTTP/1.1 405 ") and answer.endswith(b"\r\n\r\n") and not machine.closes_connection
    )
    assert isinstance(machine.next_request(), Request)


def test_end_of_an_invalid_stream_is_reported():
    # otherwise the driver would poll the closed socket in a busy loop until the first response is sent
    machine = Http1Protocol(FRONT, lambda: True)
    machine.receive(GET + b"\r\n" + b"\0")
    assert isinstance(machine.next_request(), Request) and not machine.input_ended
    machine.receive(b"")
    assert machine.input_ended


OK = b"HTTP/1.1 200 OK\r\n"
FIVE = b"Content-Length: 5\r\n\r\nboard"
BOARD = Content(b"board")
ANSWERS = {  # expected result, and whether the connection may be reused
    "plain": (OK + FIVE, BOARD, True),
    "no reason": (b"HTTP/1.1 200\r\n" + FIVE, BOARD, True),
    "empty lines ahead": (b"\r\n\r\n" + OK + FIVE, BOARD, True),
    "nothing": (OK + b"Content-Length: 0\r\n\r\n", Content(b""), True),
    "chunked": (
        OK + CHUNKED.upper() + b'\r\n4;a="b"\r\nboar\r\n01\r\nd\r\n0\r\nX: y\r\n\r\n',
        BOARD,
        True,
    ),
    "an empty value": (OK + b"X:\r\nContent-Type: \r\n" + FIVE, Content(b"board", b""), True),
    "a coded body": (
        OK + b"Content-Encoding: gzip\r\nContent-Type: a/b\r\ncontent-encoding: br\r\n" + FIVE,
        Content(b"board", b"a/b", b"gzip, br"),
        True,
    ),
    "upgrade offered": (OK + UPGRADE + FIVE, BOARD, True),
    "upgrade asked for": (b"HTTP/1.1 426 U\r\n" + UPGRADE + FIVE, Outcome.ERROR, True),
    "101": (b"HTTP/1.1 101 S\r\n" + UPGRADE + b"\r\n" + OK + FIVE, Outcome.ERROR, False),
    "101 without an upgrade": (b"HTTP/1.1 101 S\r\n\r\n" + OK + FIVE, Outcome.ERROR, False),
    "1xx ahead": (
        b"".join(b"HTTP/1.1 %d I\r\nX: y\r\nSrv-Declined: 1\r\n\r\n" % n for n in (100, 102, 103, 104, 199))
        + OK
        + FIVE,
        BOARD,
        True,
    ),
    "100 with a length": (b"HTTP/1.1 100 C\r\nContent-Length: 5\r\n\r\n" + OK + FIVE, BOARD, True),
    "declined, said ahead": (
        b"HTTP/1.1 103 E\r\nSrv-Declined: 1\r\n\r\nHTTP/1.1 503 S\r\n" + FIVE,
        Outcome.ERROR,
        True,
    ),
    "declined": (b"HTTP/1.1 503 S\r\nSrv-Declined: \t1 \r\n" + FIVE, Outcome.FULL, True),
    "declined and not": (
        b"HTTP/1.1 503 S\r\nSrv-Declined: 0\r\nSrv-Declined: 1\r\n" + FIVE,
        Outcome.ERROR,
        True,
    ),
    "declined, in a trailer": (
        b"HTTP/1.1 503 S\r\n" + CHUNKED + b"\r\n0\r\nSrv-Declined: 1\r\n\r\n",
        Outcome.ERROR,
        True,
    ),
    "to the end": (OK + b"Connection: x , Close\r\nConnection: y\r\n\r\nboard", BOARD, False),
    "to the end, HTTP/1.0": (b"HTTP/1.0 200 OK\r\n\r\nboard", BOARD, False),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + FIVE, BOARD, False),
    "HTTP/0.9": (b"HTTP/0.9 200 OK\r\n" + FIVE, Outcome.ERROR, False),
    "HTTP/2.0": (b"HTTP/2.0 200 OK\r\n" + FIVE, Outcome.ERROR, False),
    "204 with a length": (b"HTTP/1.1 204 N\r\nContent-Length: 5\r\n\r\n", Outcome.ERROR, False),
    "204": (b"HTTP/1.1 204 N\r\n\r\n", Outcome.ERROR, True),
    "304 with a length": (b"HTTP/1.1 304 N\r\nContent-Length: 5\r\n\r\n", Outcome.ERROR, False),
    "status of no kind": (b"HTTP/1.1 099 N\r\n\r\n" + OK + FIVE, Outcome.ERROR, False),
    "status of two digits": (b"HTTP/1.1 20 OK\r\n" + FIVE, Outcome.ERROR, False),
    "bare LF": ((OK + FIVE).replace(b"\r\n", b"\n"), Outcome.ERROR, False),
    "folded value": (OK + b"Content-Type: a\r\n b\r\n" + FIVE, Outcome.ERROR, False),
    "NUL": (OK + b"Content-Type: a\0b\r\n" + FIVE, Outcome.ERROR, False),
    "length as a list": (OK + b"Content-Length: 5, 5\r\n\r\nboard", Outcome.ERROR, False),
    "another coding, to the end": (
        OK + b"Connection: close\r\nTransfer-Encoding: gzip\r\n\r\nboard",
        Outcome.ERROR,
        False,
    ),
    "another coding, chunked": (
        OK + b"Connection: close\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nboard\r\n0\r\n\r\n",
        Outcome.ERROR,
        False,
    ),
    "coding doubled": (OK + CHUNKED + CHUNKED + b"\r\n5\r\nboard\r\n0\r\n\r\n", Outcome.ERROR, False),
    "head of 12 KiB": (OK + b"X: " + b"y" * 12_000 + b"\r\n" + FIVE, BOARD, True),
    "head of 17 KiB": (OK + (b"X: " + b"y" * 1000 + b"\r\n") * 17 + FIVE, Outcome.ERROR, False),
    "an endless trailer": (OK + CHUNKED + b"\r\n0\r\nX: " + b"y" * 600_000, Outcome.ERROR, False),
}


def hear(flow, chunks):
    """The result of parsing a response, its content or outcome, and whether the connection may be reused."""
    flow.encode_request(Message(b"GET", b"/r"), 5.0)
    for chunk in [*chunks, b""]:
        reply = flow.receive(chunk)
        if reply is not None:
            return reply.served.content if reply.served else reply.outcome, flow.prepare_next()


@pytest.mark.parametrize("name", ANSWERS)
def test_unusual_response_gives_the_same_result_whole_and_byte_by_byte(name):
    # the end of a response, or its rejection, must not depend on how its bytes were split
    data, *wanted = ANSWERS[name]
    step = 1 if len(data) < 100_000 else 1000
    assert list(hear(Flow(b"m:1"), [data])) == wanted
    assert list(hear(Flow(b"m:1"), [data[i : i + step] for i in range(0, len(data), step)])) == wanted


LASTING = [name for name, (_, _, again) in ANSWERS.items() if again]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    names=st.lists(st.sampled_from(LASTING), max_size=5),
    last=st.sampled_from(sorted(ANSWERS)),
    cuts=st.lists(st.integers(0, 1 << 16), max_size=12),
)
def test_odd_answers_one_after_the_other_in_any_cut(names, last, cuts):
    # guards against state that one answer leaves behind for the next
    flow = Flow(b"m:1")
    for name in [*names, last]:
        data, *wanted = ANSWERS[name]
        assert list(hear(flow, cut(data, cuts))) == wanted
