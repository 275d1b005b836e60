"""Random simulations of the configuration shard: operators and faults generated from one seed."""

import json
import random
from collections.abc import Callable
from itertools import count

from barleybarrow.consensus.config_node import ConfigNode
from brackenusher.storage.slot_store import SlotStore
from tests.fleet.config_oracle import ACCEPTED, Call, ConsistencyChecker, SentOrder
from tests.fleet.fleet_simulation import Machine, Story, World

START_WINDOW_MS = 300.0  # all processes start within this time
FIRST_ORDER_DEADLINE_MS = 4000.0  # deadline of the first order, counted from the start
FAULTS_FROM_MS, FAULTS_UNTIL_MS = 2000.0, 10_000.0
RECOVERY_MS, ACK_DEADLINE_MS = 3000.0, 4000.0
END_MS = 20_000.0
MAX_ATTEMPTS = 12
ROUTE_COUNT = 6


class SimulationRun:
    """One simulation run."""

    def __init__(
        self,
        seed: int,
        node_class: type[ConfigNode] = ConfigNode,
        store_class: type[SlotStore] = SlotStore,
    ) -> None:
        self.rng = random.Random(seed)
        machines, tolerated = self.rng.choice([(3, 1), (3, 1), (3, 1), (4, 1), (5, 2)])
        self.simulation = World(seed, machines, tolerated)
        self.simulation.node_class, self.simulation.store_class = node_class, store_class
        self.order_numbers = count(1)
        self.operators_until = FAULTS_UNTIL_MS
        self.lost_machines = 0
        self.new_machine_numbers = count(1)
        self.faults: list[Callable[[], None]] = [
            self.kill,
            self.kill,
            self.lose_power,
            self.kill_leader,
            self.stop,
            self.isolate,
            self.isolate,
            self.partition_pair,
            self.reset_connections,
            self.stall_disk,
            self.fill_disk,
            self.slow_disk,
            self.pause,
            self.wipe_disk,
            self.wipe_disk,
            self.replace,
            self.kill_all,
            self.lose_power_of_all,
            self.lose_power_while_writing,
            self.lose_power_while_writing,
            self.wipe_some_and_lose_power_of_others,
            self.wipe_some_and_lose_power_of_others,
            self.isolate_one_then_wipe_another,
            self.isolate_one_then_wipe_another,
            self.slow_link,
            self.kill_diskless,
            self.stop_and_remove,
        ]
        self.simulation.on_power_lost = lambda machine: self.restart(machine, self.rng.uniform(100.0, 1500.0))

    def run(self) -> list[str]:
        """Run the simulation and return all problems found by the oracle."""
        simulation = self.simulation
        for machine in list(simulation.machines.values()):
            simulation.schedule(
                self.rng.uniform(0.0, START_WINDOW_MS),
                lambda machine=machine: simulation.start(machine, True),
            )
        simulation.schedule(START_WINDOW_MS, lambda: simulation.spawn(self.first_order()))
        for _ in range(self.rng.randint(1, 3)):
            simulation.schedule(FAULTS_FROM_MS / 2, lambda: simulation.spawn(self.operator()))
        for _ in range(self.rng.randint(1, 8)):
            at, fault = self.rng.uniform(FAULTS_FROM_MS, FAULTS_UNTIL_MS), self.rng.choice(self.faults)
            if self.rng.random() < 0.5:
                simulation.schedule(at, lambda fault=fault: self.after_next_acknowledgement(fault))
            else:
                simulation.schedule(at, fault)
        simulation.schedule(FAULTS_UNTIL_MS, self.end_all_faults)
        simulation.schedule(FAULTS_UNTIL_MS + RECOVERY_MS, lambda: simulation.spawn(self.last_order()))
        simulation.run_until(END_MS)
        return ConsistencyChecker(simulation.history, json.loads).check()

    # Operators

    def random_machine_name(self) -> str:
        """Any machine that was not removed, running or not."""
        return self.rng.choice([m.name for m in self.simulation.machines.values() if not m.removed])

    def make_order(self, base_version: int) -> SentOrder:
        """A new order based on a version."""
        number = next(self.order_numbers)
        generation = base_version + self.rng.randint(1, 5)
        valid = self.rng.random() > 0.1
        names = [f"route-{i}" for i in range(ROUTE_COUNT)]
        items = [{"Name": name, "Order": number} for name in self.rng.sample(names, 2)]
        change: dict[str, object]
        if base_version and self.rng.random() < 0.5:
            kind, change = "patch", {"Generation": generation, "Upsert": {"Routes": items}}
            change["Remove"] = {"Routes": self.rng.sample(names, 1)} if self.rng.random() < 0.3 else {}
            if not valid:
                change["Generation"] = base_version
        else:
            kind, change = "replace", {"Generation": generation, "Routes": items}
            if not valid:
                change["Invalid"] = True
        return SentOrder(number, kind, base_version, generation, json.dumps(change), valid)

    def send(self, order: SentOrder, max_attempts: int = MAX_ATTEMPTS) -> Story:
        """Send an order until its outcome is known."""
        for number in range(max_attempts):
            call: Call = yield "order", (self.random_machine_name(), order)
            if call.status == ACCEPTED or 400 <= call.status < 500:
                return
            yield "sleep", 50.0 * (number + 1)

    def read(self, max_attempts: int) -> Story:
        """Read until there is an answer."""
        for _ in range(max_attempts):
            call: Call = yield "read", self.random_machine_name()
            if call.status == ACCEPTED:
                return
            yield "sleep", 100.0

    def newest_version(self) -> int:
        """The newest version that any call has returned."""
        newest = 0
        for call in self.simulation.history.calls:
            if call.status == ACCEPTED and call.order is not None:
                newest = max(newest, call.order.generation)
            elif call.status == ACCEPTED and call.document is not None:
                newest = max(newest, call.document["Generation"])
        return newest

    def was_acknowledged(self, order: SentOrder) -> bool:
        """Whether an order was acknowledged."""
        return any(c.order is order and c.status == ACCEPTED for c in self.simulation.history.calls)

    def first_order(self) -> Story:
        """Send the first configuration, which has a deadline after the start."""
        order = SentOrder(next(self.order_numbers), "replace", 0, 3, '{"Generation": 3, "Routes": []}')
        yield from self.send(order, 100)
        if self.simulation.now > FIRST_ORDER_DEADLINE_MS:
            self.simulation.history.missed_deadlines.append(
                f"the first order was accepted at {self.simulation.now:.0f}"
            )

    def operator(self) -> Story:
        """Read, change the configuration, and sometimes repeat orders that were accepted."""
        while self.simulation.now < self.operators_until:
            yield from self.read(3)
            order = self.make_order(self.newest_version())
            if self.rng.random() < 0.3:
                self.simulation.spawn(self.send(order))
            yield from self.send(order)
            if self.rng.random() < 0.3:
                self.simulation.spawn(self.send(order))
                yield "sleep", self.rng.uniform(0.0, 300.0)
            if self.rng.random() < 0.3:
                acknowledged = [
                    c.order for c in self.simulation.history.calls if c.order and c.status == ACCEPTED
                ]
                if acknowledged:
                    yield from self.send(self.rng.choice(acknowledged[-5:]))
            yield "sleep", self.rng.uniform(10.0, 500.0)

    def last_order(self) -> Story:
        """After the last fault, a valid order is accepted in time and every machine answers a read."""
        started_at = self.simulation.now
        while True:
            yield from self.read(50)
            order = SentOrder(
                next(self.order_numbers), "replace", self.newest_version(), self.newest_version() + 1, ""
            )
            order = SentOrder(
                order.number,
                "replace",
                order.base_version,
                order.generation,
                f'{{"Generation": {order.generation}}}',
            )
            yield from self.send(order)
            if self.was_acknowledged(order) or self.simulation.now - started_at > ACK_DEADLINE_MS:
                break
        if self.simulation.now - started_at > ACK_DEADLINE_MS:
            self.simulation.history.missed_deadlines.append(
                f"no order was accepted for {self.simulation.now - started_at:.0f} ms after the last fault"
            )
        for machine in list(self.simulation.machines.values()):
            if not machine.removed:
                call: Call = yield "read", machine.name
                if call.status != ACCEPTED:
                    self.simulation.history.missed_deadlines.append(
                        f"{machine.name} answered no read after the last fault"
                    )

    # Faults

    def running(self) -> list[Machine]:
        """Running machines that count for the quorum."""
        return [m for m in self.simulation.machines.values() if m.node is not None and m.counts_for_quorum]

    def pick_machine(self) -> Machine | None:
        """A random running machine that counts for the quorum, with a bias towards the leader."""
        running = self.running()
        leaders = [m for m in running if m.node is not None and m.node.is_leader]
        if leaders and self.rng.random() < 0.4:
            return leaders[0]
        return self.rng.choice(running) if running else None

    def restart(self, machine: Machine, delay: float) -> None:
        """Restart a machine's process after a delay."""

        def start_if_down() -> None:
            if machine.node is None and not machine.removed:
                self.simulation.start(machine)

        self.simulation.schedule(delay, start_if_down)

    def kill(self, machine: Machine | None = None, power: bool = False) -> None:
        """Kill a process and restart it."""
        machine = machine or self.pick_machine()
        if machine is not None:
            self.simulation.kill(machine, power)
            self.restart(machine, self.rng.uniform(100.0, 3000.0))

    def kill_leader(self) -> None:
        """Kill the leader."""
        for machine in self.running():
            if machine.node is not None and machine.node.is_leader:
                self.kill(machine, self.rng.random() < 0.3)

    def lose_power(self) -> None:
        """One machine loses power."""
        self.kill(power=True)

    def kill_all(self) -> None:
        """Kill all processes that count for the quorum; they restart within a second."""
        for machine in self.running():
            self.simulation.kill(machine)
            self.restart(machine, self.rng.uniform(100.0, 1000.0))

    def lose_power_of_all(self) -> None:
        """All machines that count for the quorum lose power at once; some take longer to restart."""
        for machine in self.running():
            self.simulation.kill(machine, power=True)
            self.restart(machine, self.rng.uniform(100.0, self.rng.choice([1000.0, 4000.0])))

    def stop(self) -> None:
        """A planned shutdown followed by a restart."""
        machine = self.pick_machine()
        if machine is not None:
            self.simulation.stop(machine)
            self.restart(machine, self.rng.uniform(300.0, 1500.0))

    def isolate(self) -> None:
        """Partition one machine from all others."""
        machine = self.pick_machine()
        if machine is not None:
            others = [m.name for m in self.simulation.machines.values() if m is not machine]
            self.partition(machine.name, others)

    def partition_pair(self) -> None:
        """Partition two machines from each other."""
        names = [m.name for m in self.running()]
        if len(names) > 1:
            one, other = self.rng.sample(names, 2)
            self.partition(one, [other])

    def partition(self, one: str, others: list[str]) -> None:
        """Cut links and heal them later."""
        notify_peers, duration_ms = self.rng.random() < 0.4, self.rng.uniform(300.0, 5000.0)
        for other in others:
            self.simulation.cut(one, other, notify_peers)
            self.simulation.schedule(duration_ms, lambda other=other: self.simulation.heal(one, other))

    def reset_connections(self) -> None:
        """Reset all connections of a machine."""
        machine = self.pick_machine()
        if machine is not None:
            for name in list(machine.sessions):
                self.simulation.reset(machine.name, name)

    def stall_disk(self) -> None:
        """A disk hangs for a while."""
        machine = self.pick_machine()
        if machine is not None:
            machine.disk_stalled_until = self.simulation.now + self.rng.uniform(500.0, 4000.0)

    def slow_disk(self) -> None:
        """A disk is slow for a while."""
        machine = self.pick_machine()
        if machine is not None:
            machine.disk_slowdown = 25.0
            self.simulation.schedule(5000.0, lambda: setattr(machine, "disk_slowdown", 1.0))

    def fill_disk(self) -> None:
        """A disk refuses writes for a while."""
        machine = self.pick_machine()
        if machine is not None:
            machine.disk.full = True
            self.simulation.schedule(
                self.rng.uniform(500.0, 4000.0), lambda: setattr(machine.disk, "full", False)
            )

    def slow_link(self) -> None:
        """All links of a machine are slow for a while."""
        machine = self.pick_machine()
        if machine is not None:
            machine.extra_delay_ms = self.rng.uniform(50.0, 900.0)
            self.simulation.schedule(
                self.rng.uniform(500.0, 4000.0), lambda: setattr(machine, "extra_delay_ms", 0.0)
            )

    def kill_diskless(self) -> None:
        """Kill and restart a process without a disk."""
        diskless = [
            m for m in self.simulation.machines.values() if m.node is not None and not m.counts_for_quorum
        ]
        if diskless:
            self.kill(self.rng.choice(diskless))

    def stop_and_remove(self) -> None:
        """A planned replacement: the new machine starts first, then the old one shuts down."""
        machine = self.pick_machine()
        if machine is None or not self.may_lose_disk(machine):
            return
        name = f"10.0.3.{next(self.new_machine_numbers)}:7680"
        self.restart(self.simulation.add_machine(name, machine.zone, counts=True), 0.0)
        self.simulation.schedule(1500.0, lambda: self.simulation.stop(machine))
        self.simulation.schedule(1600.0, lambda: self.remove(machine))

    def pause(self) -> None:
        """Pause a process for a while."""
        machine = self.pick_machine()
        if machine is not None:
            machine.paused_until = self.simulation.now + self.rng.uniform(300.0, 4000.0)

    def may_lose_disk(self, machine: Machine) -> bool:
        """Whether a machine may lose its disk: at most the tolerated number may be lost and not caught up."""
        machines = self.simulation.machines
        for other in machines.values():
            if other.wiped and other.node is not None and not other.node.raft.quarantined:
                other.wiped = False
        newest = max(self.running(), key=lambda m: m.node.raft.commit_index if m.node else 0)
        assert newest.node is not None
        voters = newest.node.raft.voters
        lost = [name for name in voters if machines[name].removed or machines[name].wiped]
        return len({*lost, machine.name}) <= self.simulation.tolerated

    def wipe_disk(self) -> None:
        """A machine loses its disk and restarts at its old address."""
        machine = self.pick_machine()
        if machine is not None and self.may_lose_disk(machine):
            self.lose_disk(machine)

    def replace(self) -> None:
        """Remove a machine for good; an empty one at a new address replaces it."""
        machine = self.pick_machine()
        if machine is None or not self.may_lose_disk(machine):
            return
        name = f"10.0.2.{next(self.new_machine_numbers)}:7680"
        new_machine = self.simulation.add_machine(name, machine.zone, counts=True)
        if self.rng.random() < 0.4:  # planned: the new machine starts first
            self.restart(new_machine, 0.0)
            self.simulation.schedule(self.rng.uniform(500.0, 2500.0), lambda: self.remove(machine))
        else:
            self.remove(machine)
            self.restart(new_machine, self.rng.uniform(300.0, 2500.0))

    def remove(self, machine: Machine) -> None:
        """Remove a machine for good if the others tolerate its loss."""
        if machine.node is not None and self.may_lose_disk(machine):
            machine.removed = True
            self.simulation.kill(machine, power=True)

    def after_next_acknowledgement(self, fault: Callable[[], None]) -> None:
        """Inject a fault right after the next acknowledgement of an order."""
        calls_before = len(self.simulation.history.calls)

        def check() -> None:
            if any(
                c.order is not None and c.status == ACCEPTED
                for c in self.simulation.history.calls[calls_before:]
            ):
                fault()
            elif self.simulation.now < FAULTS_UNTIL_MS - 500.0:
                self.simulation.schedule(1.0, check)

        check()

    def lose_power_while_writing(self) -> None:
        """Lose power during one of the next disk operations."""
        machine = self.pick_machine()
        if machine is not None:
            machine.disk.power_loss_at = machine.disk.operations + self.rng.randint(1, 12)

    def wipe_some_and_lose_power_of_others(self) -> None:
        """The tolerated number of machines lose their disks, while all others lose power."""
        running = self.running()
        for machine in self.rng.sample(running, min(self.simulation.tolerated, len(running))):
            if self.may_lose_disk(machine):
                self.lose_disk(machine)
        self.lose_power_of_all()

    def isolate_one_then_wipe_another(self) -> None:
        """Isolate one machine while the others commit; then one of those loses its disk, the rest power."""
        machine = self.pick_machine()
        if machine is None:
            return
        for other in self.running():
            self.simulation.cut(machine.name, other.name, says_so=True)
            self.simulation.schedule(
                1500.0, lambda other=other: self.simulation.heal(machine.name, other.name)
            )
        self.simulation.schedule(
            900.0, lambda: self.after_next_acknowledgement(lambda: self.wipe_other_than(machine))
        )

    def wipe_other_than(self, spared: Machine) -> None:
        """One of the other machines loses its disk, and the rest lose power."""
        others = [m for m in self.running() if m is not spared]
        self.rng.shuffle(others)
        for machine in others[:1]:
            if self.may_lose_disk(machine):
                self.lose_disk(machine)
        for machine in others[1:]:
            self.simulation.kill(machine, power=True)
            self.restart(machine, self.rng.uniform(100.0, 4000.0))

    def lose_disk(self, machine: Machine) -> None:
        """Replace a machine's disk by an empty one and restart it."""
        machine.wiped = True
        self.simulation.kill(machine, power=True)
        machine.disk.wipe()
        self.restart(machine, self.rng.uniform(100.0, 1500.0))

    def end_all_faults(self) -> None:
        """End all faults."""
        simulation = self.simulation
        for one, other in list(simulation.cuts):
            simulation.heal(one, other)
        for machine in simulation.machines.values():
            machine.disk.full, machine.disk_slowdown, machine.extra_delay_ms = False, 1.0, 0.0
            machine.disk.power_loss_at = 0
            machine.disk_stalled_until = machine.paused_until = min(
                machine.disk_stalled_until, simulation.now
            )
            if machine.node is None:
                self.restart(machine, 0.0)
