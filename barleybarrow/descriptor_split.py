"""Splits the file descriptors between the old and the new process of one proxy during a handover.

The old process gets half, or what it holds already if that is more. Once it is stopping it opens no new
descriptors, and those that it closes go to the new process at once.
"""


def split_descriptors(total: int, held: int, stopping: bool) -> tuple[int, int]:
    """How many of `total` descriptors the old process, which holds `held`, and the new one may have."""
    old = min(total, held if stopping else max(total // 2, held))
    return old, total - old
