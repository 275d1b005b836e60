"""An HTTP/2 server for `test_rpc` that ends calls as a test asks it to."""

import asyncio
import contextlib
import socket
import struct

import h2.config
import h2.connection
import h2.errors
import h2.events


class FakeGrpcServer:
    """An HTTP/2 server that answers each request in the given `mode`; counts requests and connections."""

    def __init__(self, mode):
        self.mode, self.streams, self.connections, self.tasks = mode, 0, 0, []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        self.connections += 1
        self.tasks.append(asyncio.current_task())
        connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        connection.initiate_connection()
        writer.write(connection.data_to_send())
        with contextlib.suppress(OSError, h2.exceptions.ProtocolError, asyncio.CancelledError):
            while data := await reader.read(65536):
                for event in connection.receive_data(data):
                    if isinstance(event, h2.events.RequestReceived):
                        self.streams += 1
                    if isinstance(event, h2.events.StreamEnded):
                        mode = self.mode(self.streams) if callable(self.mode) else self.mode
                        await getattr(self, mode)(connection, event.stream_id, writer)
                writer.write(connection.data_to_send())
        writer.close()

    def headers(self, connection, stream, *pairs, end=False):
        head = [(":status", "200"), ("content-type", "application/grpc")]
        connection.send_headers(stream, [*head, *pairs], end_stream=end)

    async def ok(self, connection, stream, writer):
        self.headers(connection, stream)
        connection.send_data(stream, b"\0\0\0\0\x05board")
        connection.send_headers(stream, [("grpc-status", "0")], end_stream=True)

    async def silent(self, connection, stream, writer):
        pass

    async def slow(self, connection, stream, writer):
        await asyncio.sleep(0.1)
        await self.ok(connection, stream, writer)

    async def declined(self, connection, stream, writer):
        self.headers(connection, stream, ("grpc-status", "14"), ("srv-declined", "1"), end=True)

    async def unavailable(self, connection, stream, writer):
        self.headers(
            connection, stream, ("grpc-status", "14"), ("grpc-message", "no"), ("x-why", "7"), end=True
        )

    async def unavailable_after_headers(self, connection, stream, writer):
        self.headers(connection, stream)
        connection.send_headers(stream, [("grpc-status", "14"), ("grpc-message", "no")], end_stream=True)

    async def exhausted(self, connection, stream, writer):
        self.headers(connection, stream, ("grpc-status", "8"), ("grpc-message", "no"), end=True)

    async def not_found(self, connection, stream, writer):
        self.headers(connection, stream, ("grpc-status", "5"), ("grpc-message", "no such match"), end=True)

    async def refused_stream(self, connection, stream, writer):
        connection.reset_stream(stream, h2.errors.ErrorCodes.REFUSED_STREAM)

    async def goaway_before(self, connection, stream, writer):
        connection.close_connection(last_stream_id=0)

    async def closes(self, connection, stream, writer):
        writer.close()

    async def resets_after_headers(self, connection, stream, writer):
        self.headers(connection, stream)
        writer.write(connection.data_to_send())
        await writer.drain()
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
