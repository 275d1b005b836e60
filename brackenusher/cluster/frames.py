"""Frames on links between processes: length (four bytes), kind (one byte), message. No sockets here."""

from collections.abc import Iterator

import betterproto

from brackenusher.cluster import messages

MAX_FRAME_BYTES = 16 * 1024 * 1024  # the largest configuration with room to spare; longer ones end the link
HEADER_BYTES = 5

# The place in this tuple is the kind on the wire: append only, and never reorder.
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
    """Bytes that are not frames of this protocol: end the link; the peer may run another release."""


def encode_frame(message: betterproto.Message) -> bytes:
    """One message as a frame. Raises FrameError where it is too long to be sent."""
    body = bytes(message)
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f"{type(message).__name__} of {len(body)} bytes is over {MAX_FRAME_BYTES}")
    return len(body).to_bytes(4, "big") + bytes((KIND_NUMBERS[type(message)],)) + body


def decode_message(number: int, body: bytes) -> betterproto.Message:
    """The message of a frame. Raises FrameError where it can't be read."""
    if number >= len(MESSAGE_KINDS):
        raise FrameError(f"kind {number} is unknown: is the peer of a newer release?")
    try:
        return MESSAGE_KINDS[number]().parse(body)
    except Exception as error:  # the library raises many kinds for damaged bytes
        raise FrameError(f"{MESSAGE_KINDS[number].__name__} can't be read: {error}") from error


class FrameReader:
    """Collects bytes and gives whole messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[betterproto.Message]:
        """The messages that are complete with these bytes. Raises FrameError."""
        self._buffer += data
        while len(self._buffer) >= HEADER_BYTES:
            length = int.from_bytes(self._buffer[:4], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes is over {MAX_FRAME_BYTES}")
            if len(self._buffer) < HEADER_BYTES + length:
                return
            number = self._buffer[4]
            body = bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + length])
            del self._buffer[: HEADER_BYTES + length]
            yield decode_message(number, body)
