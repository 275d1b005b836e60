"""Free loopback ports for processes that are started with one."""

import itertools
import random
import socket
from pathlib import Path

LEAST, MOST = 20_000, 32_000  # where the kernel's own range for connects cannot be read
NEXT = itertools.count(random.SystemRandom().randrange(1 << 16))  # no two of one process, few of two


def free_port() -> int:
    """A port that is free now, and that no connect of another process takes before the listener does.

    A port that the kernel chooses lies in the range for connects, and may be gone again a moment later.
    """
    try:
        text = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii")
        most = int(text.split()[0])
    except (OSError, ValueError):
        most = MOST
    least = min(LEAST, most - 1000)
    for number in itertools.islice(NEXT, most - least):
        port = least + number % (most - least)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")
