"""Client connections beyond capacity: the choice of the one to evict, and the whole program under a crowd."""

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
        ({Place.PARTIAL: 300.0, Place.RESTING: 150.0}, Place.RESTING),  # slow, but the idle one goes first
        ({Place.PARTIAL: 900.0, Place.RESTING: 150.0}, Place.PARTIAL),  # stalled within a request
        ({Place.PARTIAL: 900.0, Place.SILENT: 150.0}, Place.SILENT),
        ({Place.PARTIAL: 300.0, Place.SILENT: 10.0}, Place.SILENT),
        ({Place.SPENT: 0.0, Place.SILENT: 500.0}, Place.SPENT),
    ],
)
def test_state_chosen_for_eviction(still, goes):
    assert choose(still) is goes


@given(st.dictionaries(st.sampled_from(Place), st.floats(0, 5000)))
def test_first_matching_entry_of_the_order_is_chosen(still):
    # guards against a later entry of the order being applied before an earlier one that matches
    goes = choose(still)
    fits = [place for place, after in EVICTION_ORDER if still.get(place, -1.0) >= after]
    assert goes is (fits[0] if fits else None)


def test_slow_clients_are_served_among_silent_and_stalled_connections(tmp_path):
    # guards against evicting the oldest partial request although it makes progress
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
