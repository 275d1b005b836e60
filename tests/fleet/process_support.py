"""A small fleet of real processes on loopback, for tests."""

import asyncio
from pathlib import Path

from testbed.fleet import watch
from testbed.fleet.layout import plan_fleet
from testbed.fleet.operator import Operator, document
from testbed.fleet.processes import FleetProcesses

WAIT_S = 30.0  # bound of each condition; none takes that long but on a machine that is far too busy
GRACE_S = 1.2  # of a planned end
PROXIES, CONTROLS = 2, 3


class Fleet:
    """Two proxies, three control processes with disks."""

    def __init__(self, folder: Path, bounds: dict[str, float] | None = None) -> None:
        self.layout = plan_fleet(PROXIES, CONTROLS, {"GraceS": GRACE_S, **(bounds or {})})
        self.processes = FleetProcesses(self.layout, folder)
        self.runner = asyncio.Runner()
        self.controls = [machine.control for machine in self.layout.controls()]
        self.proxies = self.layout.proxy_machines()
        self.operator = Operator(self.controls)

    async def start(self) -> None:
        self.processes.start_all()
        answer = await self.operator.replace(document(1), WAIT_S)
        assert answer.status == 200, answer.body
        await watch.wait_until("proxies ready", lambda: watch.all_ready(self.proxies), WAIT_S)
