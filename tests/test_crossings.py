"""Narrow moments on real sockets: an event that comes between two others. Each is forced, not awaited."""

import contextlib
import json
import os
import select
import socket
import threading
import time

import pytest
from helpers import (
    SETTINGS,
    DiscoveryAgent,
    Listener,
    Program,
    Stepped,
    TurnServer,
    host,
    read_request,
    response,
    submit_request,
    until,
)

from brackenusher.core.deadlines import Deadlines
from brackenusher.fronts.http1 import clients
from brackenusher.membership import agent as agent_driver
from brackenusher.runtime import loop as runtime
from brackenusher.runtime.loop import READ, Loop
from testbed.standins import read_message

UNSAFE = {**SETTINGS["classes"][1], "repeat": "single_shot"}
UNSAFE_SETTINGS = {"classes": [SETTINGS["classes"][0], UNSAFE]}


def unsafe_request(number=1, body=b"move", extra=""):
    """A request of a class that is unsafe to repeat: it has no key."""
    key = b"Idempotency-Key: key%d\r\n" % number
    return submit_request(number, body, extra).replace(key, b"")


def names(server):
    return [headers["req-id"] for _, headers, _ in server.requests]


# settings


def test_a_request_that_is_unsafe_to_repeat_needs_no_key_and_is_sent_once(tmp_path):
    # guards against asking a key of a class whose clients have none: nothing of it was ever served
    def fail(server, message):
        return response(500, b"no") if message[1]["req-id"] == "id2" else response(200, b"board")

    with Program(tmp_path, TurnServer(fail), settings=UNSAFE_SETTINGS) as program:
        assert program.ask(unsafe_request(1))[::2] == (200, b"board")
        assert program.ask(unsafe_request(2))[0] == 502
        assert program.ask(submit_request(3))[::2] == (200, b"board")
        requests = [headers for _, headers, _ in program.servers[0].requests]
        assert [each["req-id"] for each in requests] == ["id1", "id2", "id3"]
        assert ["idempotency-key" in each for each in requests] == [False, False, True]


# the loop


def test_news_of_a_closed_connection_are_not_given_to_the_next_with_its_descriptor():
    # guards against a connect taken for done, or a client taken for gone, on what another one's peer did
    loop, got = Loop(Deadlines()), []
    ours, theirs = zip(*(socket.socketpair() for _ in range(3)), strict=True)

    def first():
        yield READ
        fd = second_task.fd
        second_task.stop()
        again = socket.socket(fileno=os.dup2(ours[2].fileno(), fd))
        loop.spawn(third(), again)
        yield READ

    def second():
        yield READ

    def third():
        while True:
            got.append((yield READ))

    loop.spawn(first(), ours[0])
    second_task = loop.spawn(second(), ours[1])
    theirs[0].send(b"x")
    theirs[1].send(b"x")
    loop.turn()
    assert not got
    theirs[2].send(b"x")
    loop.turn()
    assert got == [READ]

