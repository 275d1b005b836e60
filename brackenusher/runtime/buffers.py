"""A pool of receive buffers of one size."""

import socket
from collections.abc import Callable

BUFFER_BYTES = 16 * 1024
MAX_FREE_BUFFERS = 32  # each buffer is released before the next is acquired, so more are never in use


class BufferPool:
    """A free list of receive buffers."""

    def __init__(self, size: int = BUFFER_BYTES) -> None:
        self.size = size
        self.free: list[bytearray] = []

    def acquire(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        if len(self.free) < MAX_FREE_BUFFERS:
            self.free.append(buffer)

    def receive(self, sock: socket.socket, sink: Callable[[memoryview], object]) -> int:
        """Read once from a socket into a pooled buffer, pass the bytes to `sink` and return their number.

        `sink` must copy what it needs before it returns. At end of stream it is called with no bytes.
        """
        buffer = self.acquire()
        try:
            size = sock.recv_into(buffer)
            with memoryview(buffer) as view, view[:size] as chunk:
                sink(chunk)
            return size
        finally:
            self.release(buffer)
