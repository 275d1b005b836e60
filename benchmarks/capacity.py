"""Slopes for docs/CAPACITY.md: what a proxy and control cost by the size of what they carry, on this machine.

    python -m benchmarks.capacity [PART ...]

Parts: `memory`, `data-plane`, `profile`, `control`, `changes`, `limits` (all of them where none is named).
Each slope is printed with its fit and the runs that it comes from. Loopback only. A busy machine makes the
same work dearer, too: the load and the time of a plain loop's step are printed around each part.
"""

import argparse
import asyncio
import os
import time

from benchmarks import capacity_control, capacity_memory, capacity_profile, capacity_proxy, limits_scale
from benchmarks.capacity_fit import show

LOOP_STEPS = 2_000_000
LIMITS_TENANTS = 15_000
LIMITS_PROXIES = (50, 100, 200, 400)
LIMITS_SECONDS = 4.0
REQUESTS_A_PROXY = 11.75  # 4,700 a second over 400 proxies


def print_machine() -> None:
    """How busy and how fast the machine is."""
    began = time.thread_time()
    total = 0
    for number in range(LOOP_STEPS):
        total += number
    step_ns = (time.thread_time() - began) / LOOP_STEPS * 1e9
    load = os.getloadavg()[0]
    print(
        f"machine: load {load:.1f} on {os.cpu_count()} cores; a step of a plain loop {step_ns:.0f} ns",
        flush=True,
    )


def limits() -> None:
    """Shared limits at the peak's rate, in virtual time."""
    found = [
        limits_scale.measure(proxies, LIMITS_TENANTS, REQUESTS_A_PROXY, LIMITS_SECONDS)
        for proxies in LIMITS_PROXIES
    ]
    for measured in found:
        print(measured.line())
    for title, unit, name in (
        ("warden's CPU for limits", "ms/s", "cpu_ms"),
        ("reports to the warden", "/s", "reports"),
        ("bytes to the warden", "B/s", "bytes_up"),
        ("bytes from the warden", "B/s", "bytes_down"),
    ):
        show(title, unit, "proxy", [(m.proxies, getattr(m, name)) for m in found])
    print(f"wrapping and unwrapping one message: {limits_scale.wrapping_us():.1f} us")


PARTS = {
    "memory": capacity_memory.main,
    "data-plane": capacity_proxy.main,
    "profile": capacity_profile.main,
    "control": lambda: asyncio.run(capacity_control.run_proxies_and_heartbeats()),
    "changes": lambda: asyncio.run(capacity_control.run_changes()),
    "limits": limits,
}


def main() -> None:
    """Measure the parts that are asked for."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("parts", nargs="*", metavar="PART", help=f"of {', '.join(PARTS)}")
    chosen = parser.parse_args().parts or list(PARTS)
    for part in chosen:
        if part not in PARTS:
            parser.error(f"{part}: one of {', '.join(PARTS)}")
    for part in chosen:
        print(f"-- {part}")
        print_machine()
        PARTS[part]()
    print_machine()


if __name__ == "__main__":
    main()
