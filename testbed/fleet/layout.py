"""Where the processes of a fleet on loopback listen, and the settings file of each.

Each emulated machine has a loopback address of its own, as ports are the same on all machines of a fleet.
"""

import json
import socket
from dataclasses import dataclass, field, replace
from pathlib import Path

from testbed.sockets.ports import claim, free_port

CONTROL, PROXY = "control", "proxy"
MOST_MACHINES = 200  # addresses 127.0.1.1 to 127.0.1.200
MOST_VOTERS = 3  # machines with a disk that count for the quorum: one may be lost
SEEDS = 3
ZONES = ("zone-a", "zone-b", "zone-c")
PORT_TRIES = 50
HEARTBEAT_MS = 500.0
INTERNAL_PORTS = 8  # in a row, for what processes of a machine say to each other; real machines have 16


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports that all machines of a fleet use; `internal` is the first of `INTERNAL_PORTS`."""

    front: int
    ready: int
    control: int
    internal: int


@dataclass(frozen=True, slots=True)
class Machine:
    """One emulated machine."""

    number: int  # from 1
    ports: Ports
    has_control: bool
    has_disk: bool

    @property
    def ip(self) -> str:
        """Its loopback address."""
        return f"127.0.1.{self.number}"

    @property
    def zone(self) -> str:
        """The zone it stands in."""
        return ZONES[(self.number - 1) % len(ZONES)]

    @property
    def front(self) -> str:
        """Where clients call its proxy."""
        return f"{self.ip}:{self.ports.front}"

    @property
    def ready(self) -> str:
        """Where its proxy tells whether it is ready."""
        return f"{self.ip}:{self.ports.ready}"

    @property
    def control(self) -> str:
        """Where servers and operators call its control process."""
        return f"{self.ip}:{self.ports.control}"


@dataclass(frozen=True, slots=True)
class FleetLayout:
    """The machines of one fleet; the bounds go into each settings file."""

    machines: tuple[Machine, ...]
    proxies: int
    bounds: dict[str, float] = field(default_factory=dict)
    heartbeat_ms: float = HEARTBEAT_MS

    def controls(self) -> list[Machine]:
        """Machines that run the role control."""
        return [machine for machine in self.machines if machine.has_control]

    def proxy_machines(self) -> list[Machine]:
        """Machines that run the role proxy."""
        return list(self.machines[: self.proxies])

    def roles(self) -> list[tuple[Machine, str]]:
        """Every process to be started."""
        controls = [(machine, CONTROL) for machine in self.controls()]
        return controls + [(machine, PROXY) for machine in self.proxy_machines()]


def plan_fleet(proxies: int, controls: int, bounds: dict[str, float] | None = None) -> FleetLayout:
    """Machines enough for these processes, on ports that are free. Raises ValueError, OSError."""
    count = max(proxies, controls)
    if proxies < 1 or controls < 1 or count > MOST_MACHINES:
        raise ValueError(f"a fleet has 1 to {MOST_MACHINES} proxies and control processes")
    ports = Ports(free_port(), free_port(), free_port(), _free_row())
    voters = min(controls, MOST_VOTERS)
    machines = [
        Machine(number, ports, has_control=number <= controls, has_disk=number <= voters)
        for number in range(1, count + 1)
    ]
    return FleetLayout(tuple(machines), proxies, bounds or {})


def spare_machine(layout: FleetLayout) -> Machine:
    """One more machine of the same fleet, without control and disk."""
    number = layout.machines[-1].number + 1
    return replace(layout.machines[0], number=number, has_control=False, has_disk=False)


def _free_row() -> int:
    """The first of the internal ports, all of them free."""
    for _ in range(PORT_TRIES):
        port = free_port()
        if all(_is_free(other) and claim(other) for other in range(port + 1, port + INTERNAL_PORTS)):
            return port
    raise OSError(f"no {INTERNAL_PORTS} free ports in a row")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def settings_text(
    machine: Machine, role: str, layout: FleetLayout, folder: Path, first_start: bool = False
) -> str:
    """The settings file of one process. `first_start`: of the whole fleet, on empty disks."""
    disk = role == CONTROL and machine.has_disk
    voters = sum(other.has_disk for other in layout.machines)
    listen = {"Control": machine.control} if role == CONTROL else {}
    if role == PROXY:
        listen = {"Front": machine.front, "Ready": machine.ready}
    plain: dict[str, object] = {
        "NodeName": f"machine-{machine.number}",
        "Role": role,
        "MachineClass": "front",
        "Serves": ["control"] if role == CONTROL else ["front"],
        "Ip": machine.ip,
        "Zone": machine.zone,
        "Region": "loopback",
        "InternalPortRange": [machine.ports.internal, machine.ports.internal + INTERNAL_PORTS - 1],
        "SeedNodes": [seed.control for seed in layout.controls()[:SEEDS]],
        "Bootstrap": first_start,
        "CountsForQuorum": machine.has_disk,
        "DataDir": str(folder / f"disk-{machine.number}") if disk else "",
        "HeartbeatMs": layout.heartbeat_ms,
        "Contracts": ["base", "drain", "config", "tenants", "quota", "stream", "engine"],
    }
    tables: dict[str, dict[str, object]] = {
        "Zones": dict.fromkeys(ZONES, "loopback"),
        "Listen": dict(listen),
        "Limits": {"CpuShare": 1.0, "CpuCores": 1, "MemoryMb": 260, "MaxFds": 1000},
        "FaultTolerance": {"Machines": (voters - 1) // 2, "Zones": 0, "Regions": 0},
        "Bounds": dict(layout.bounds),
    }
    lines = _lines(plain)
    for name, table in tables.items():
        lines += [f"[{name}]", *_lines(table)]
    return "\n".join(lines) + "\n"


def _lines(table: dict[str, object]) -> list[str]:
    """Keys and values; JSON and TOML write strings, numbers, truth values and lists of them alike."""
    return [f"{key} = {json.dumps(value)}" for key, value in table.items()]
