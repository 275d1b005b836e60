"""Client connections beyond capacity: the choice of the one to evict, and the whole program under a crowd."""

import contextlib
import time

import pytest
from helpers import Program, TurnServer, read_request
from hypothesis import given
from hypothesis import strategies as st

from barleybarrow.eviction import EVICTION_ORDER, ClientState, choose_victim


@pytest.mark.parametrize(
    ("still", "goes"),
    [
        ({}, None),
        ({ClientState.KEEP_ALIVE: 0.0}, ClientState.KEEP_ALIVE),
        ({ClientState.PARTIAL_REQUEST: 100.0}, None),
        (
            {ClientState.PARTIAL_REQUEST: 300.0, ClientState.KEEP_ALIVE: 150.0},
            ClientState.KEEP_ALIVE,
        ),  # slow, but the idle one goes first
        (
            {ClientState.PARTIAL_REQUEST: 900.0, ClientState.KEEP_ALIVE: 150.0},
            ClientState.PARTIAL_REQUEST,
        ),  # stalled within a request
        ({ClientState.PARTIAL_REQUEST: 900.0, ClientState.NO_REQUEST: 150.0}, ClientState.NO_REQUEST),
        ({ClientState.PARTIAL_REQUEST: 300.0, ClientState.NO_REQUEST: 10.0}, ClientState.NO_REQUEST),
        ({ClientState.CLOSING: 0.0, ClientState.NO_REQUEST: 500.0}, ClientState.CLOSING),
    ],
)
def test_state_chosen_for_eviction(still, goes):
    assert choose_victim(still) is goes


@given(st.dictionaries(st.sampled_from(ClientState), st.floats(0, 5000)))
def test_first_matching_entry_of_the_order_is_chosen(still):
    # guards against a later entry of the order being applied before an earlier one that matches
    goes = choose_victim(still)
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
