"""Admission: what stands between any front and the transactions."""

from dataclasses import dataclass

from brackenusher.core.message import Message


@dataclass(slots=True)
class Request:
    """A request that may be taken."""

    name: bytes
    klass: int
    span: float
    tenant: int
    repeated: bool
    message: Message
