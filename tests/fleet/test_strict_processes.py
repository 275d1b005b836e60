"""StrictRevocation on real processes: keys end with the lease without a majority, and come back with one."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from testbed.engines.engine import EngineFigures
from testbed.fleet import watch
from testbed.fleet.clients import client_call
from testbed.fleet.http_calls import HttpAnswer, call
from testbed.fleet.layout import CONTROL, Machine
from testbed.fleet.model_server import ModelServer
from testbed.fleet.operator import SERVICE, TENANTS, key_of
from tests.fleet.process_support import WAIT_S, Fleet

REVOKE_MS = 1500
ASK_S = 0.02  # between two requests
LOOK_S = 0.3  # how long requests are asked again once the lease is over


async def ask(machine: Machine) -> HttpAnswer:
    """A request with a key that every version holds."""
    return await call(machine.front, client_call("/lookup/one", 7, key_of(TENANTS[0])), WAIT_S)


async def all_answer(fleet: Fleet, status: int) -> bool:
    """Whether each proxy answers so."""
    answers = await asyncio.gather(*(ask(machine) for machine in fleet.proxies))
    return all(answer.status == status for answer in answers)


class StrictTest(unittest.TestCase):
    """One story: a majority of control is killed, and started again."""

    def test_keys_end_without_a_majority_and_hold_again_with_one(self) -> None:
        with tempfile.TemporaryDirectory(prefix="fleet-test-") as folder, asyncio.Runner() as runner:
            fleet = Fleet(Path(folder), {"StrictRevocation": True, "RevokeMs": REVOKE_MS})
            with fleet.processes:
                runner.run(self.story(fleet))

    async def story(self, fleet: Fleet) -> None:
        await fleet.start()
        server = ModelServer("server-1", SERVICE, fleet.controls, EngineFigures())
        await server.start()
        await watch.wait_until("served", lambda: all_answer(fleet, 200), WAIT_S)
        lost = list(fleet.processes.of_role(CONTROL))[1:]
        for process in lost:
            process.popen.kill()
            await asyncio.to_thread(process.wait, WAIT_S)
        await asyncio.sleep(REVOKE_MS / 1000.0)
        await self.refused(fleet)
        for process in lost:
            fleet.processes.start(process.machine, CONTROL)
        await watch.wait_until("served again", lambda: all_answer(fleet, 200), WAIT_S)
        await watch.wait_until("ready again", lambda: watch.all_ready(fleet.proxies), WAIT_S)
        await server.leave()
        await server.stop()

    async def refused(self, fleet: Fleet) -> None:
        """RevokeMs after the last moment at which a majority could confirm anything, no request runs."""
        ends = asyncio.get_running_loop().time() + LOOK_S
        while asyncio.get_running_loop().time() < ends:
            for machine in fleet.proxies:
                answer = await ask(machine)
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["retry-after"]), 0.0)
                self.assertFalse(await watch.is_ready(machine))
            await asyncio.sleep(ASK_S)


if __name__ == "__main__":
    unittest.main()
