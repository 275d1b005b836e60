"""Cold start: proxies that share no state stay within the ramp in total. The policy runs in virtual time."""

import heapq
import itertools
import math
import random

import pytest
from helpers import settings

from barleybarrow import brain
from barleybarrow import interface as face
from barleybarrow.interface import Effect, ListScope, Outcome, State

WARM_SERVERS, RATE_PER_S, WORK_MS = 10, 16.0, 110.0  # servers; rate of one; work of a request
LISTED_AT_MS, LOW_LOAD, HIGH_LOAD = (
    10_000.0,
    0.3,
    1.2,
)  # when the cold server is listed; load before and after the burst begins
WARM_UP_MS, COLD_FROM, MULTIPLE, WINDOW_MS = 12_000.0, 0.2, 3.0, 2_000.0


def policy_settings(proxies):
    classes = [
        face.RequestClass(aim=400, deadline=1200, effect=Effect.SAFE, late_worth=0.25),
        face.RequestClass(aim=600, deadline=2500, effect=Effect.KEYED, window=5000, worth=2),
    ]
    ramp = {"cold": WARM_UP_MS, "cold_from": COLD_FROM, "tip_multiple": MULTIPLE, "tip_after": WINDOW_MS}
    return settings(classes=classes, tick=5, proxies=proxies, **ramp)


def worst_window(proxies, burst_after, seed, spread_ms=0.0):
    """Maximum work sent to the cold server in a window, relative to what the rule allows plus chance.

    The proxies learn of it within `spread_ms` milliseconds.
    """
    rng, numbers = random.Random(seed), itertools.count()
    balancers = [brain.Balancer(policy_settings(proxies), rng.getrandbits(32), 0.0) for _ in range(proxies)]
    queue, sent, out, attempts = [], [], dict.fromkeys([*range(WARM_SERVERS), "cold"], 0), {}

    def schedule(at, proxy, event, server=None):
        heapq.heappush(queue, (at, next(numbers), proxy, event, server))

    warm = [face.Entry(str(n), State.LIVE) for n in range(WARM_SERVERS)]
    cold = [face.Entry("cold", State.LIVE, started=LISTED_AT_MS)]
    for proxy in range(proxies):
        schedule(0.0, proxy, face.ListChanged(ListScope.COMPLETE, warm))
        schedule(LISTED_AT_MS + rng.random() * spread_ms, proxy, face.ListChanged(ListScope.CHANGES, cold))
    at, ids = 0.0, itertools.count(1)
    while at < LISTED_AT_MS + WARM_UP_MS:
        load = HIGH_LOAD if at >= LISTED_AT_MS + burst_after else LOW_LOAD
        at += rng.expovariate(WARM_SERVERS * RATE_PER_S * load / 1000.0)
        klass = int(rng.random() > 0.7)
        schedule(at, rng.randrange(proxies), face.Arrived(next(ids), klass, at + (1200, 2500)[klass]))
    while queue and queue[0][0] < LISTED_AT_MS + WARM_UP_MS:
        at, _, proxy, event, server = heapq.heappop(queue)
        if server is not None:
            out[server] -= 1
        for action in list(balancers[proxy].handle(at, event)):
            if isinstance(action, face.SetTimer):
                schedule(max(action.at, at), proxy, face.TimerDue(action.token))
            elif isinstance(action, face.Send):
                server = action.backend if action.backend == "cold" else int(action.backend)
                number = attempts[action.request] = attempts.get(action.request, -1) + 1
                work, speed = WORK_MS * rng.lognormvariate(-0.1, 0.45), 1.0
                if server == "cold":
                    sent.append((at, work / WORK_MS))
                    speed = 4.0  # it answers fast, so that only the ramp limits what is sent
                out[server] += 1
                elapsed = work * max(1.0, out[server] * 1000.0 / RATE_PER_S / WORK_MS) / speed
                done = face.Finished(action.request, number, Outcome.SERVED, elapsed, True)
                schedule(at + elapsed, proxy, done, server)
    worst = 0.0
    for position, (at, _) in enumerate(sent):
        begun = max(0.0, at - WINDOW_MS - LISTED_AT_MS)  # as cold as when the window began
        allowed = (
            MULTIPLE * RATE_PER_S * WINDOW_MS / 1000.0 * (COLD_FROM + (1 - COLD_FROM) * begun / WARM_UP_MS)
        )
        came = sum(work for when, work in sent[: position + 1] if when > at - WINDOW_MS)
        worst = max(worst, came / (allowed + 2 * math.sqrt(allowed) + 2))
    return worst


@pytest.mark.parametrize("proxies", [5, 20, 30])
@pytest.mark.parametrize("spread_ms", [0.0, 2_000.0])
def test_proxies_that_share_no_state_stay_within_the_budget_of_a_cold_server(proxies, spread_ms):
    # else each proxy keeps to the ramp, but their sum exceeds it: listed at once or in turn, then a burst
    assert all(worst_window(proxies, burst, 7, spread_ms) < 1.0 for burst in (0.0, 3_000.0))


@pytest.mark.parametrize("proxies", [5, 30])
def test_detects_a_ramp_that_allows_each_proxy_too_much(monkeypatch, proxies):
    monkeypatch.setattr(brain, "COLD_START_SHARE", 3.0)
    assert worst_window(proxies, 0.0, 7) > 1.0
