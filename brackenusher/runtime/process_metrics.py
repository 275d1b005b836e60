"""Metrics of every process: processor time and memory."""

import resource
import time
from pathlib import Path

from brackenusher.runtime.metrics import Metrics

PAGE_BYTES = resource.getpagesize()
STATM_PATH = Path("/proc/self/statm")  # in pages: total, resident, ...


def add_process_metrics(metrics: Metrics) -> None:
    """Register metrics of processor time and memory."""
    metrics.counter_function("process_cpu_seconds_total", "Processor time used.", time.process_time)
    metrics.gauge_function("process_resident_memory_bytes", "Memory in use.", resident_bytes)
    metrics.gauge_function("process_peak_memory_bytes", "Most memory in use at once.", peak_bytes)


def resident_bytes() -> float:
    """Resident memory; 0 if the system does not report it."""
    try:
        return float(STATM_PATH.read_text(encoding="ascii").split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0.0


def peak_bytes() -> float:
    """Peak resident memory; at least the current value, as the kernel updates its maximum late."""
    return max(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024.0, resident_bytes())
