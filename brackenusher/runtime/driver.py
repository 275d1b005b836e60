"""Socket helpers shared by the drivers of client, server and discovery connections."""

import errno
import socket
import struct
from typing import TypeVar

Address = tuple[str, int]  # IP address or host name, and port
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def start_connect(address: Address) -> tuple[socket.socket, bool]:
    """Start a non-blocking connect; also returns whether it is complete already."""
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


def open_listener(address: Address, backlog: int, reuse_port: bool = False) -> socket.socket:
    """A non-blocking listening socket; with `shared`, SO_REUSEPORT lets another process listen there too."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def open_udp_socket(address: Address) -> socket.socket:
    """A non-blocking UDP socket connected to one address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        sock.connect(address)
    except OSError:
        sock.close()
        raise
    return sock


def reset_on_close(sock: socket.socket) -> None:
    """Make close() send a reset, so that the peer cannot take a truncated message for a complete one."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


Data = TypeVar("Data", bytes, memoryview)


def write(sock: socket.socket, data: Data) -> Data:
    """Write what the socket accepts without blocking; return the rest."""
    try:
        return data[sock.send(data) :]
    except BlockingIOError:
        return data
