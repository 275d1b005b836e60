"""Consistency checker for the operator's configuration, based on histories of client calls alone.

It knows nothing about replicas or logs: only what operators sent, when, and the answers they got.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

Document = dict[str, Any]

TAKEN = 200


@dataclass(frozen=True)
class SentOrder:
    """One order of an operator. `change` is the document of a replacement, or the patch."""

    number: int
    kind: str
    base: int
    generation: int
    change: str  # JSON
    valid: bool = True


@dataclass
class Call:
    """One call of an operator. `status` is 0 if there was no answer. Times are in milliseconds."""

    operation: str  # "order" or "read"
    machine: str
    began: float
    order: SentOrder | None = None
    ended: float = 0.0
    status: int = 0
    document: Document | None = None  # result of a read


@dataclass
class History:
    """All calls of all operators, and the deadlines that were missed."""

    calls: list[Call] = field(default_factory=list)
    overdue: list[str] = field(default_factory=list)  # missed deadlines, one line each


def names_to_items(document: Document) -> dict[str, Document]:
    """The routes of a document by name."""
    return {route["Name"]: route for route in document.get("Routes", [])}


def patched(document: Document, patch: Document) -> Document:
    """The result of a patch, computed independently of the production code."""
    items = names_to_items(document)
    for name in patch.get("Remove", {}).get("Routes", []):
        items.pop(name, None)
    for item in patch.get("Upsert", {}).get("Routes", []):
        items[item["Name"]] = item
    return {"Generation": patch["Generation"], "Routes": items}


def comparable(document: Document) -> Document:
    """A form of a document that does not depend on the order of its items."""
    return {"Generation": document["Generation"], "Routes": names_to_items(document)}


class Oracle:
    """Checks one history and lists all violations."""

    def __init__(self, history: History, read_json: Any) -> None:
        self.history, self.read_json = history, read_json
        self.problems: list[str] = list(history.overdue)
        self.orders = {call.order.number: call.order for call in history.calls if call.order is not None}
        self.acknowledged: dict[int, float] = {}  # time of the first acknowledgement by order number
        self.refused: dict[int, int] = {}  # status of a refusal by order number
        self.in_force: dict[int, int] = {}  # order number by generation, as proven by answers

    def judge(self) -> list[str]:
        """All problems, one line each; empty if the history is consistent."""
        self._collect()
        self._read_documents()
        self._one_for_each_base()
        self._refusals()
        self._reads_are_newest()
        return self.problems

    def _collect(self) -> None:
        for call in self.history.calls:
            if call.order is None or not call.status:
                continue
            number = call.order.number
            if call.status == TAKEN:
                self.acknowledged[number] = min(call.ended, self.acknowledged.get(number, call.ended))
                self._in_force(call.order)
            elif 400 <= call.status < 500:
                self.refused[number] = call.status

    def _in_force(self, order: SentOrder) -> None:
        other = self.in_force.setdefault(order.generation, order.number)
        if other != order.number:
            self.problems.append(f"version {order.generation} is both order {other} and order {order.number}")

    def _read_documents(self) -> None:
        for call in self.history.calls:
            if call.operation != "read" or call.status != TAKEN or call.document is None:
                continue
            orders = self._orders_that_make(call.document)
            if not orders:
                generation = call.document.get("Generation")
                self.problems.append(f"a read gave a document of version {generation} that no order makes")
            elif len(orders) == 1:
                self._in_force(orders[0])

    def _orders_that_make(self, document: Document) -> list[SentOrder]:
        wanted = comparable(document)
        named = [o for o in self.orders.values() if o.generation == document["Generation"]]
        return [order for order in named if any(made == wanted for made in self._documents(order, set()))]

    def _documents(self, order: SentOrder, above: set[int]) -> list[Document]:
        """The possible results of an order, one for each document that may have had its base version."""
        change = self.read_json(order.change)
        if order.kind == "replace":
            return [comparable(change)]
        found = list[Document]()
        for base in self.orders.values():
            if base.generation == order.base and base.number not in above:
                for document in self._documents(base, above | {order.number}):
                    whole = {
                        "Generation": document["Generation"],
                        "Routes": list(document["Routes"].values()),
                    }
                    found.append(patched(whole, change))
        return found

    def _one_for_each_base(self) -> None:
        by_base = defaultdict(set)
        for number in {*self.in_force.values(), *self.acknowledged}:
            by_base[self.orders[number].base].add(number)
        for base, numbers in by_base.items():
            if len(numbers) > 1:
                self.problems.append(f"orders {sorted(numbers)} were all accepted on top of version {base}")

    def _refusals(self) -> None:
        for number in {*self.in_force.values(), *self.acknowledged}:
            if number in self.refused:
                self.problems.append(f"order {number} was accepted, and refused with {self.refused[number]}")
            if not self.orders[number].valid:
                self.problems.append(f"order {number} is invalid, but was accepted")

    def _reads_are_newest(self) -> None:
        known = [(ended, self.orders[number].generation) for number, ended in self.acknowledged.items()]
        reads = [c for c in self.history.calls if c.operation == "read" and c.status == TAKEN]
        known += [(call.ended, generation_of(call)) for call in reads]
        for call in reads:
            before = max((generation for ended, generation in known if ended < call.began), default=0)
            if generation_of(call) < before:
                found = generation_of(call)
                self.problems.append(
                    f"a read gave version {found} after {before} was known, at {call.began:.0f}"
                )


def generation_of(call: Call) -> int:
    """The version that a read returned; 0 if there was no document yet."""
    return call.document["Generation"] if call.document is not None else 0
