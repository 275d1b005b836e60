"""The operator's configuration as a replicated state machine that applies orders in log order.

Deterministic and without I/O: all replicas that applied the same entries hold the same document and gave
each order the same outcome. A bounded number of accepted orders is remembered, so that a repeated order is
acknowledged again. An order that may already have been evicted from this history is never refused: its
outcome is reported as unknown.
"""

import zlib
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from hashlib import blake2b
from typing import Any

from msgspec import DecodeError, Struct, json, msgpack

MAX_ACCEPTED_ORDERS = 4096  # the oldest are evicted first; a long day has hundreds of orders
DIGEST_BYTES = 16
COMPRESSION_LEVEL = 1  # zlib level: bodies shrink eightfold for about 2 ms of CPU
MAX_BODY_BYTES = 8 * 1024 * 1024  # of one order, sent or decompressed; real ones have up to 0.2 MB
ITEM_LISTS = ("Routes", "Services", "Tenants")

Document = dict[str, Any]  # as sent by the operator, with keys in PascalCase


class OrderKind(StrEnum):
    """How an order changes the document."""

    REPLACE = "replace"
    PATCH = "patch"


class OrderStatus(IntEnum):
    """Outcome of an order, as an HTTP status."""

    ACCEPTED = 200
    INVALID = 400
    CONFLICT = 412
    TOO_LARGE = 413
    INDETERMINATE = 503  # the order may have been accepted, or may be later


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Outcome of an order; `error` is a single line that names the item and the remedy."""

    status: int
    error: str = ""


OUTCOME_UNKNOWN = OrderOutcome(OrderStatus.INDETERMINATE, "no clear answer: send the order again unchanged")


class Order(Struct, array_like=True, frozen=True, tag=1):
    """An order in the log. The body is compressed; `received_at` is in Unix milliseconds at the leader."""

    kind: str
    base_version: int
    body: bytes
    digest: bytes
    received_at: int


class RejoinMarker(Struct, array_like=True, frozen=True, tag=2):
    """Proposed for a quarantined process, which has caught up with the leader's log once it applies this."""

    name: str
    nonce: int


Command = Order | RejoinMarker


class AcceptedOrder(Struct, array_like=True, frozen=True):
    """An accepted order: the version it created, its digest, and the leader's clock in Unix milliseconds."""

    version: int
    digest: bytes
    at: int


class StateImage(Struct, array_like=True):
    """Serialized state for snapshots. The document is compressed JSON, empty if there is none yet."""

    version: int
    document: bytes
    accepted: list[AcceptedOrder]
    evicted_version: int = 0


class OrderError(Exception):
    """The body of an order is malformed or does not fit the document."""


def order_digest(kind: str, base_version: int, body: bytes) -> bytes:
    """Digest that identifies an order by kind, base version and body."""
    header = f"{kind}\n{base_version}\n".encode()
    return blake2b(header + body, digest_size=DIGEST_BYTES).digest()


def make_order(kind: str, base_version: int, body: bytes, received_at: int) -> Order:
    """Build the log entry for an order."""
    digest = order_digest(kind, base_version, body)
    return Order(kind, base_version, zlib.compress(body, COMPRESSION_LEVEL), digest, received_at)


def read_body(order: Order) -> Document:
    """Decompress and parse the JSON object in the body of an order. Raises OrderError."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(order.body, MAX_BODY_BYTES)
        parsed = json.decode(body)
    except (zlib.error, DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise OrderError(f"the body can't be read: {error}") from error
    if not isinstance(parsed, dict):
        raise OrderError("the body must be a JSON object")
    return parsed


def generation_of(document: Document) -> int:
    """The `Generation` of a document. Raises OrderError."""
    generation = document.get("Generation")
    if not isinstance(generation, int) or isinstance(generation, bool) or not 0 < generation < 2**53:
        raise OrderError("Generation: a whole number above 0 is needed")
    return generation


def apply_patch(document: Document, patch: Document) -> Document:
    """A new document without the items in `Remove` and with those in `Upsert` added or replaced by name.

    Raises OrderError if the patch is malformed.
    """
    result = dict(document)
    result["Generation"] = generation_of(patch)
    removals, upserts = value_or_default(patch, "Remove", {}), value_or_default(patch, "Upsert", {})
    if not isinstance(removals, dict) or not isinstance(upserts, dict):
        raise OrderError("Upsert and Remove: objects of lists are needed")
    for key in {**removals, **upserts}:
        removed, added = value_or_default(removals, key, []), value_or_default(upserts, key, [])
        if key not in ITEM_LISTS or not isinstance(removed, list) or not isinstance(added, list):
            raise OrderError(f"{key}: only lists of {', '.join(ITEM_LISTS)} can be patched")
        result[key] = patch_items(key, value_or_default(result, key, []), removed, added)
    return result


def value_or_default(document: Document, key: str, default: Any) -> Any:
    """The value of a key, or `default` if it is null or missing."""
    value = document.get(key)
    return default if value is None else value


def patch_items(key: str, items: list[Document], removed: list[Any], added: list[Any]) -> list[Document]:
    """Patch one list of named items; replaced items keep their position."""
    if not all(isinstance(name, str) for name in removed):
        raise OrderError(f"Remove.{key}: a list of names is needed")
    if not all(isinstance(item, dict) and isinstance(item.get("Name"), str) for item in added):
        raise OrderError(f"Upsert.{key}: each item needs a Name")
    removed_names, added_by_name = set(removed), {item["Name"]: item for item in added}
    result, replaced_names = list[Document](), set[Any]()
    for item in items:
        name = item.get("Name")
        if name in added_by_name and name not in replaced_names:
            result.append(added_by_name[name])
            replaced_names.add(name)
        elif name not in added_by_name and name not in removed_names:
            result.append(item)
    return result + [item for name, item in added_by_name.items() if name not in replaced_names]


class ConfigurationState:
    """The current document and the accepted orders."""

    def __init__(self) -> None:
        self.version = 0
        self.document: Document | None = None
        self.accepted: dict[bytes, AcceptedOrder] = {}  # by digest, oldest first
        self.evicted_version = 0  # version created by the newest evicted order; 0 if none was evicted

    def version_refusal(self, kind: str, base_version: int, document: Document) -> OrderOutcome | None:
        """The refusal of an order whose versions do not fit the state; None if they do."""
        if base_version < self.evicted_version:  # it may be an order that was accepted and evicted since
            return OrderOutcome(OrderStatus.INDETERMINATE, f"base the change on version {self.version}")
        if base_version != self.version:
            conflict = f"version {self.version} is current, not {base_version}: base the change on that one"
            return OrderOutcome(OrderStatus.CONFLICT, conflict)
        if kind == OrderKind.PATCH and self.document is None:
            return OrderOutcome(OrderStatus.CONFLICT, "no configuration to patch yet: send a whole one")
        try:
            generation = generation_of(document)
        except OrderError as error:
            return OrderOutcome(OrderStatus.INVALID, str(error))
        if generation <= self.version:
            invalid = f"Generation {generation} must be above the current one, {self.version}"
            return OrderOutcome(OrderStatus.INVALID, invalid)
        return None

    def document_after(self, kind: str, body: Document) -> Document:
        """The document that an order would result in. Raises OrderError."""
        if kind == OrderKind.PATCH:
            return apply_patch(self.document or {}, body)
        if kind != OrderKind.REPLACE:
            raise OrderError(f"{kind}: an unknown kind of order")
        return body

    def apply(self, order: Order) -> OrderOutcome:
        """Apply the next order of the log: accepted or refused, with the same outcome on all replicas."""
        if order.digest in self.accepted:
            return OrderOutcome(OrderStatus.ACCEPTED)
        try:
            body = read_body(order)
            refusal = self.version_refusal(order.kind, order.base_version, body)
            if refusal is not None:
                return refusal
            document = self.document_after(order.kind, body)
        except OrderError as error:
            return OrderOutcome(OrderStatus.INVALID, str(error))
        self.document, self.version = document, generation_of(document)
        self.accepted[order.digest] = AcceptedOrder(self.version, order.digest, order.received_at)
        while len(self.accepted) > MAX_ACCEPTED_ORDERS:
            oldest = self.accepted.pop(next(iter(self.accepted)))
            self.evicted_version = oldest.version
        return OrderOutcome(OrderStatus.ACCEPTED)

    def accepted_orders(self) -> list[AcceptedOrder]:
        """The remembered accepted orders, oldest first."""
        return list(self.accepted.values())

    def snapshot(self) -> bytes:
        """Serialize the state."""
        document = (
            b"" if self.document is None else zlib.compress(json.encode(self.document), COMPRESSION_LEVEL)
        )
        return msgpack.encode(
            StateImage(self.version, document, self.accepted_orders(), self.evicted_version)
        )

    def restore(self, data: bytes) -> None:
        """Load a serialized state; empty bytes stand for the state before the first order."""
        image = msgpack.decode(data, type=StateImage) if data else StateImage(0, b"", [])
        self.version, self.evicted_version = image.version, image.evicted_version
        self.document = json.decode(zlib.decompress(image.document)) if image.document else None
        self.accepted = {order.digest: order for order in image.accepted}
