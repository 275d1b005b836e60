"""A short soak in which losses of the core overlap, and the oracle's verdicts on broken rules."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tests.fleet.client_soak_oracle import SentRequest, ServerRun
from tests.fleet.core_loss_oracle import CoreLossHistory, MachineEvent, breaches
from tests.fleet.core_loss_soak import CoreLossSoak

SEED, PROXIES, ROUNDS = 3, 3, 1
CORE = frozenset({1, 2, 3})


def late_request(arrived_at: float, machine: int = 1, status: int = 200) -> CoreLossHistory:
    """Server "s" ended at 10 s, machine 3 was started at 11 s, 2 is down; a request comes by `machine`."""
    history = CoreLossHistory(CORE, ended={"s": 10.0})
    history.events = [MachineEvent(10.5, 2, False), MachineEvent(11.0, 3, True)]
    history.requests = [SentRequest("r", "unsafe", machine, arrived_at, status=status)]
    history.runs = {"s": [ServerRun("r", arrived_at, arrived_at, arrived_at)]}
    return history


class OracleTest(unittest.TestCase):
    def test_requests_that_reach_a_server_after_its_end(self) -> None:
        found = ["DRAIN: s got a request by machine 1 4.50 s after its end"]
        self.assertEqual(breaches(late_request(14.5)), found)
        self.assertEqual(breaches(late_request(13.9)), [])  # within ContactMs of a start in the core
        self.assertEqual(breaches(late_request(11.9)), [])  # within DrainMs

    def test_machine_out_of_touch_is_excused(self) -> None:
        self.assertEqual(breaches(late_request(14.5, machine=2)), [])
        signalled = late_request(14.5, machine=4)
        signalled.events.append(MachineEvent(13.0, 4, True))
        self.assertEqual(breaches(signalled), [])
        minority = late_request(14.5)
        minority.events.append(MachineEvent(11.2, 3, False))
        self.assertEqual(breaches(minority), [])

    def test_requests_that_ran_twice_or_were_refused(self) -> None:
        refused = late_request(11.0, status=503)
        self.assertEqual(breaches(refused), ["REFUSED: r got 503 and ran"])
        twice = late_request(11.0)
        twice.runs["other"] = [ServerRun("r", 11.0, 11.0, 11.0)]
        self.assertEqual(breaches(twice), ["TWICE: r ran 2 times"])

    def test_service_that_does_not_come_back(self) -> None:
        history = CoreLossHistory(CORE, recoveries=[0.4, None])
        self.assertEqual(breaches(history), ["RECOVER: nothing was served after all were back"])


class ShortSoakTest(unittest.TestCase):
    """Three machines with control and proxy for one round."""

    def test_no_rule_is_broken_where_losses_overlap(self) -> None:
        with tempfile.TemporaryDirectory(prefix="core-loss-") as folder:
            history = asyncio.run(CoreLossSoak(SEED, Path(folder), PROXIES, ROUNDS).play())
        self.assertEqual(breaches(history), [])
        self.assertEqual(len(history.ended), ROUNDS, "no deregistration was acknowledged: nothing was tested")
