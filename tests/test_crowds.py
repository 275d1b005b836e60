"""Crowds with little room: which connection gives way, and the real program in the midst of them."""

import contextlib
import time

import pytest
from helpers import Program, TurnServer, read_request
from hypothesis import given
from hypothesis import strategies as st

from barleybarrow.eviction import EVICTION_ORDER, Place, choose


@pytest.mark.parametrize(
    ("still", "goes"),
    [
        ({}, None),
        ({Place.RESTING: 0.0}, Place.RESTING),
        ({Place.PARTIAL: 100.0}, None),
        ({Place.PARTIAL: 300.0, Place.RESTING: 150.0}, Place.RESTING),  # still writes, against one that rests
        ({Place.PARTIAL: 900.0, Place.RESTING: 150.0}, Place.PARTIAL),  # stopped half way
        ({Place.PARTIAL: 900.0, Place.SILENT: 150.0}, Place.SILENT),
        ({Place.PARTIAL: 300.0, Place.SILENT: 10.0}, Place.SILENT),
        ({Place.SPENT: 0.0, Place.SILENT: 500.0}, Place.SPENT),
    ],
)
def test_who_gives_way(still, goes):
    assert choose(still) is goes


@given(st.dictionaries(st.sampled_from(Place), st.floats(0, 5000)))
def test_whoever_gives_way_waited_long_enough_for_its_turn(still):
    # guards against a table in which a later line comes before an earlier one that fits
    goes = choose(still)
    fits = [place for place, after in EVICTION_ORDER if still.get(place, -1.0) >= after]
    assert goes is (fits[0] if fits else None)


def test_slow_writers_are_served_amid_crowds_that_say_nothing_or_stop_half_way(tmp_path):
    # guards against the oldest request that is not whole giving way though it moves all the time
    with (
        Program(tmp_path, TurnServer(), control=True, sockets=96) as program,
        contextlib.ExitStack() as stack,
    ):
        slow = [stack.enter_context(program.connect()) for _ in range(4)]
        crowd, data = [], read_request(1)
        for step in range(12):
            for number, sock in enumerate(slow):
                data = read_request(number)
                size = len(data) // 12 + 1
                sock.sendall(data[step * size : (step + 1) * size])
            for _ in range(4):
                sock = stack.enter_context(program.connect())
                if step % 2:
                    sock.sendall(b"GET /board-")
                crowd.append(sock)
            status, _, _ = program.ask(read_request(1000 + step))
            assert status == 200
            assert program.call("GET", "/-/ready")[0] == 200
            time.sleep(0.06)
        answers = [sock.recv(1000)[:12] for sock in slow]
        assert answers == [b"HTTP/1.1 200"] * len(slow)
