"""The RPC plug-in's core in virtual time: the same choices as the daemon's, and what a blocked loop does."""

import random

from helpers import SETTINGS
from rpc_world import by_channel, by_core, by_transport

from examples.rpc.model import Model, Trouble

WORK = {"board-read": (20.0, 40.0), "turn-submit": (30.0, 60.0)}
BEGIN = 1_000_000.0  # milliseconds: where virtual time begins


def fleet():
    """Six servers: one is slow for a while, one silent, one fails, and a short queue makes them decline."""
    troubles = {
        1: Trouble(BEGIN + 2000, BEGIN + 6000, slow=6.0),
        2: Trouble(BEGIN + 3000, BEGIN + 6000, silent=True),
        3: Trouble(BEGIN + 1000, BEGIN + 5000, fail=0.7),
    }
    return {
        f"10.0.0.{n}:9000": Model(WORK, seed=n, queue=0, troubles=[troubles[n]] if n in troubles else [])
        for n in range(6)
    }


def arrivals(rate=0.2, count=2000, seed=7):
    rng, now, out = random.Random(seed), BEGIN, []
    for _ in range(count):
        now += rng.expovariate(rate)
        klass = rng.choice(("board-read", "turn-submit"))
        out.append((now, klass, float(rng.choice((500, 800, 1100, 1400)))))
    return out


def test_daemon_core_channel_and_transport_decide_the_same_event_for_event():
    # guards against a front that reorders, delays or adds something on the way to the module
    asked = arrivals()
    tapes = [play(fleet(), SETTINGS, 0x8C1F, asked) for play in (by_core, by_channel, by_transport)]
    lines = tapes[0]
    outcomes = {line[1][3].value for line in lines if len(line) == 3 and line[1][0] == "Finished"}
    answers = {line[1] for line in lines if len(line) == 2}
    assert {"served", "error", "full", "timeout"} <= outcomes and {"Served", "Refused"} <= answers
    assert len(lines) > 3 * len(asked)
    assert tapes[1] == lines
    assert tapes[2] == lines
