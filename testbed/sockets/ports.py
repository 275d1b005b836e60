"""Free loopback ports for processes that are started with one."""

import contextlib
import itertools
import random
import socket
from collections import deque
from pathlib import Path

LEAST, MOST = 20_000, 32_000  # where the kernel's own range for connects cannot be read
NEXT = itertools.count(random.SystemRandom().randrange(1 << 16))
CLAIMS: deque[socket.socket] = deque()  # names in the abstract namespace, which end with their process
MOST_CLAIMS = 200  # descriptors; the oldest claim has long been made good or given up by then


def claim(port: int) -> bool:
    """Keep a port from the other processes that ask here; False where one of them has it."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        sock.bind(f"\0testbed-port-{port}")
    except OSError:
        sock.close()
        return False
    CLAIMS.append(sock)
    if len(CLAIMS) > MOST_CLAIMS:
        CLAIMS.popleft().close()
    return True


def free_port() -> int:
    """A port that is free now, and that nobody who asks here or connects takes before the listener does.

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
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if claim(port):
                return port
    raise OSError("no free port")
