"""The stub of a small service, written as grpcio's generator writes one; texts stand in for messages."""

from typing import Any

SERVICE = "examples.Turns"


def encode(text: str) -> bytes:
    return text.encode()


def decode(data: bytes) -> str:
    return data.decode()


class TurnsStub:
    """Takes any channel, the library's or a BalancedChannel."""

    def __init__(self, channel: Any) -> None:
        self.ReadBoard = channel.unary_unary(
            f"/{SERVICE}/ReadBoard",
            request_serializer=encode,
            response_deserializer=decode,
            _registered_method=True,
        )
        self.SubmitTurn = channel.unary_unary(
            f"/{SERVICE}/SubmitTurn",
            request_serializer=encode,
            response_deserializer=decode,
            _registered_method=True,
        )
        self.WatchBoard = channel.unary_stream(
            f"/{SERVICE}/WatchBoard",
            request_serializer=encode,
            response_deserializer=decode,
            _registered_method=True,
        )
        self.UploadMoves = channel.stream_unary(
            f"/{SERVICE}/UploadMoves",
            request_serializer=encode,
            response_deserializer=decode,
            _registered_method=True,
        )
        self.Play = channel.stream_stream(
            f"/{SERVICE}/Play",
            request_serializer=encode,
            response_deserializer=decode,
            _registered_method=True,
        )
