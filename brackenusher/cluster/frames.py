"""Framing of messages on links: length (four bytes), kind (one byte), message. Does no I/O."""

from collections.abc import Iterator

import betterproto

from brackenusher.cluster import messages

MAX_FRAME_BYTES = 16 * 1024 * 1024  # well above the largest configuration; a larger frame ends the link
HEADER_BYTES = 5

# The index in this tuple is the kind on the wire: append only, never reorder.
MESSAGE_KINDS: tuple[type[betterproto.Message], ...] = (
    messages.Hello,
    messages.Members,
    messages.MachineMessage,
    messages.OrderRequest,
    messages.OrderResult,
    messages.RegistryUpdate,
    messages.RegistryConfirm,
    messages.RegistryPull,
    messages.FeedSubscribe,
    messages.ConfigOffer,
    messages.ConfigFetch,
    messages.ConfigPiece,
    messages.InstanceChanges,
    messages.ProxyStatus,
    messages.Ping,
    messages.PingAck,
    messages.PeerReport,
    messages.MemberView,
    messages.MemberViews,
    messages.StatusRequest,
    messages.StatusReply,
    messages.KeepAlive,
    messages.VersionQuestion,
    messages.VersionAnswer,
)
KIND_NUMBERS = {kind: number for number, kind in enumerate(MESSAGE_KINDS)}


class FrameError(Exception):
    """The bytes are not a valid frame: the link has to be closed; the peer may run another release."""


def encode_frame(message: betterproto.Message) -> bytes:
    """Encodes a message as a frame. Raises FrameError if it exceeds the maximum size."""
    body = bytes(message)
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(
            f"{type(message).__name__} of {len(body)} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    return len(body).to_bytes(4, "big") + bytes((KIND_NUMBERS[type(message)],)) + body


def decode_message(kind_number: int, body: bytes) -> betterproto.Message:
    """Decodes the message of a frame. Raises FrameError if it can't be decoded."""
    if kind_number >= len(MESSAGE_KINDS):
        raise FrameError(f"kind {kind_number} is unknown: is the peer of a newer release?")
    try:
        return MESSAGE_KINDS[kind_number]().parse(body)
    except Exception as error:  # the library raises various exceptions for corrupt bytes
        raise FrameError(f"{MESSAGE_KINDS[kind_number].__name__} can't be read: {error}") from error


class FrameDecoder:
    """Incremental decoder: buffers bytes and yields complete messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[betterproto.Message]:
        """Yields the messages that these bytes complete. Raises FrameError."""
        self._buffer += data
        while len(self._buffer) >= HEADER_BYTES:
            length = int.from_bytes(self._buffer[:4], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            if len(self._buffer) < HEADER_BYTES + length:
                return
            kind_number = self._buffer[4]
            body = bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + length])
            del self._buffer[: HEADER_BYTES + length]
            yield decode_message(kind_number, body)
