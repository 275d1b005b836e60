"""Receive buffers of one size, used again from a pool."""

import socket
from collections.abc import Callable

SIZE = 16 * 1024
KEPT = 32  # more than this are never lent at once, as each is given back before the next is asked for


class Buffers:
    """Lends buffers and takes them back."""

    def __init__(self, size: int = SIZE) -> None:
        self.size = size
        self.free: list[bytearray] = []

    def take(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(self.size)

    def give(self, buffer: bytearray) -> None:
        if len(self.free) < KEPT:
            self.free.append(buffer)

    def receive(self, sock: socket.socket, sink: Callable[[memoryview], object]) -> int:
        """Read once from a socket into a lent buffer, hand the bytes to `sink`, return their number.

        `sink` must have copied what it needs when it returns. At the end of the stream it gets b"".
        """
        buffer = self.take()
        try:
            size = sock.recv_into(buffer)
            with memoryview(buffer) as view, view[:size] as part:
                sink(part)
            return size
        finally:
            self.give(buffer)
