"""What the drivers of the three kinds of connection share."""

import errno
import socket
import struct
from typing import TypeVar

Address = tuple[str, int]  # an IP address or a host's name, and a port
SHORTAGE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def open_socket(address: Address) -> tuple[socket.socket, bool]:
    """Start to connect; True where that was done at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
    except OSError:
        sock.close()
        raise
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise OSError(code, "connect failed")
    return sock, code == 0


def open_listener(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """A listening socket that never waits; `shared` where another process may listen there as well."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def open_datagrams(address: Address) -> socket.socket:
    """A UDP socket that sends to one address and never waits."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        sock.connect(address)
    except OSError:
        sock.close()
        raise
    return sock


def abort(sock: socket.socket) -> None:
    """Have the close of a connection reset it, so that nobody takes what came for whole."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


Data = TypeVar("Data", bytes, memoryview)


def write(sock: socket.socket, data: Data) -> Data:
    """Write what the socket takes now; return the rest."""
    try:
        return data[sock.send(data) :]
    except BlockingIOError:
        return data
