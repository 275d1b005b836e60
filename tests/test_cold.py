"""The ramp of cold servers holds for the sum of proxies that do not talk: the module, in virtual time."""

import heapq
import itertools
import math
import random

import pytest
from helpers import settings

from barleybarrow import brain
from barleybarrow import interface as face
from barleybarrow.interface import Effect, ListScope, Outcome, State

WARM, RATE, WORK = 10, 16.0, 110.0  # warm servers; requests a second that one serves; milliseconds of one
JOINED, LULL, BUSY = (
    10_000.0,
    0.3,
    1.2,
)  # when the cold one is told of; load before and after the burst begins
COLD, COLD_FROM, MULTIPLE, WINDOW = 12_000.0, 0.2, 3.0, 2_000.0


def conf(proxies):
    classes = [
        face.RequestClass(aim=400, deadline=1200, effect=Effect.SAFE, late_worth=0.25),
        face.RequestClass(aim=600, deadline=2500, effect=Effect.KEYED, window=5000, worth=2),
    ]
    ramp = {"cold": COLD, "cold_from": COLD_FROM, "tip_multiple": MULTIPLE, "tip_after": WINDOW}
    return settings(classes=classes, tick=5, proxies=proxies, **ramp)


def worst_window(proxies, burst_after, seed, late=0.0):
    """The most that reached the cold server in a window, as a share of what the rule allows with its chance.

    Proxies are told of it within `late` milliseconds.
    """
    rng, numbers = random.Random(seed), itertools.count()
    all_ = [brain.Balancer(conf(proxies), rng.getrandbits(32), 0.0) for _ in range(proxies)]
    queue, sent, out, attempts = [], [], dict.fromkeys([*range(WARM), "cold"], 0), {}

    def later(at, who, event, server=None):
        heapq.heappush(queue, (at, next(numbers), who, event, server))

    warm = [face.Entry(str(n), State.LIVE) for n in range(WARM)]
    cold = [face.Entry("cold", State.LIVE, started=JOINED)]
    for who in range(proxies):
        later(0.0, who, face.ListChanged(ListScope.COMPLETE, warm))
        later(JOINED + rng.random() * late, who, face.ListChanged(ListScope.CHANGES, cold))
    at, ids = 0.0, itertools.count(1)
    while at < JOINED + COLD:
        load = BUSY if at >= JOINED + burst_after else LULL
        at += rng.expovariate(WARM * RATE * load / 1000.0)
        klass = int(rng.random() > 0.7)
        later(at, rng.randrange(proxies), face.Arrived(next(ids), klass, at + (1200, 2500)[klass]))
    while queue and queue[0][0] < JOINED + COLD:
        at, _, who, event, server = heapq.heappop(queue)
        if server is not None:
            out[server] -= 1
        for action in list(all_[who].handle(at, event)):
            if isinstance(action, face.SetTimer):
                later(max(action.at, at), who, face.TimerDue(action.token))
            elif isinstance(action, face.Send):
                server = action.backend if action.backend == "cold" else int(action.backend)
                number = attempts[action.request] = attempts.get(action.request, -1) + 1
                work, speed = WORK * rng.lognormvariate(-0.1, 0.45), 1.0
                if server == "cold":
                    sent.append((at, work / WORK))
                    speed = 4.0  # what counts is sent: it answers fast, so that nothing but the ramp holds
                out[server] += 1
                took = work * max(1.0, out[server] * 1000.0 / RATE / WORK) / speed
                done = face.Finished(action.request, number, Outcome.SERVED, took, True)
                later(at + took, who, done, server)
    worst = 0.0
    for position, (at, _) in enumerate(sent):
        begun = max(0.0, at - WINDOW - JOINED)  # as cold as it was when the window began
        allowed = MULTIPLE * RATE * WINDOW / 1000.0 * (COLD_FROM + (1 - COLD_FROM) * begun / COLD)
        came = sum(work for when, work in sent[: position + 1] if when > at - WINDOW)
        worst = max(worst, came / (allowed + 2 * math.sqrt(allowed) + 2))
    return worst


@pytest.mark.parametrize("proxies", [5, 20, 30])
@pytest.mark.parametrize("late", [0.0, 2_000.0])
def test_many_proxies_that_share_nothing_stay_within_the_budget_of_a_cold_server(proxies, late):
    # guards against a ramp that holds for each and falls by the sum: told at once, or in turn, then a burst
    assert all(worst_window(proxies, burst, 7, late) < 1.0 for burst in (0.0, 3_000.0))


@pytest.mark.parametrize("proxies", [5, 30])
def test_a_ramp_that_allows_each_too_much_would_be_found(monkeypatch, proxies):
    monkeypatch.setattr(brain, "COLD_START_SHARE", 3.0)
    assert worst_window(proxies, 0.0, 7) > 1.0
