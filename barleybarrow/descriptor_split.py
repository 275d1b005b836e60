"""Two processes that are one proxy for a while: which of them may hold how many descriptors.

It decides and does no I/O. The old process has half, or what it holds already where that is more; once it is
to stop it opens nothing new, and what it gives back is the new one's at once.
"""


def parts(total: int, held: int, stopping: bool) -> tuple[int, int]:
    """How many of `total` descriptors the old process and the new one may have; the old one holds `held`."""
    old = min(total, held if stopping else max(total // 2, held))
    return old, total - old
