"""Consistency checker for the operator's configuration, based on histories of client calls alone.

It knows nothing about replicas or logs: only what operators sent, when, and the answers they got.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

Document = dict[str, Any]

ACCEPTED = 200


@dataclass(frozen=True)
class SentOrder:
    """One order of an operator. `change` is the document of a replacement, or the patch."""

    number: int
    kind: str
    base_version: int
    generation: int
    change: str  # JSON
    valid: bool = True


@dataclass
class Call:
    """One call of an operator. `status` is 0 if there was no answer. Times are in milliseconds."""

    operation: str  # "order" or "read"
    machine: str
    started_at: float
    order: SentOrder | None = None
    ended_at: float = 0.0
    status: int = 0
    document: Document | None = None  # result of a read


@dataclass
class History:
    """All calls of all operators, and the deadlines that were missed."""

    calls: list[Call] = field(default_factory=list)
    missed_deadlines: list[str] = field(default_factory=list)  # missed deadlines, one line each


def routes_by_name(document: Document) -> dict[str, Document]:
    """The routes of a document by name."""
    return {route["Name"]: route for route in document.get("Routes", [])}


def apply_patch_model(document: Document, patch: Document) -> Document:
    """The result of a patch, computed independently of the production code."""
    routes = routes_by_name(document)
    for name in patch.get("Remove", {}).get("Routes", []):
        routes.pop(name, None)
    for item in patch.get("Upsert", {}).get("Routes", []):
        routes[item["Name"]] = item
    return {"Generation": patch["Generation"], "Routes": routes}


def comparable(document: Document) -> Document:
    """A form of a document that does not depend on the order of its items."""
    return {"Generation": document["Generation"], "Routes": routes_by_name(document)}


class ConsistencyChecker:
    """Checks one history and lists all violations."""

    def __init__(self, history: History, read_json: Any) -> None:
        self.history, self.read_json = history, read_json
        self.problems: list[str] = list(history.missed_deadlines)
        self.orders = {call.order.number: call.order for call in history.calls if call.order is not None}
        self.acknowledged: dict[int, float] = {}  # time of the first acknowledgement by order number
        self.refused: dict[int, int] = {}  # status of a refusal by order number
        self.order_by_version: dict[int, int] = {}  # order number by generation, as proven by answers

    def check(self) -> list[str]:
        """All problems, one line each; empty if the history is consistent."""
        self._collect_answers()
        self._check_read_documents()
        self._check_one_order_per_base()
        self._check_refusals()
        self._check_reads_are_linearizable()
        return self.problems

    def _collect_answers(self) -> None:
        for call in self.history.calls:
            if call.order is None or not call.status:
                continue
            number = call.order.number
            if call.status == ACCEPTED:
                self.acknowledged[number] = min(call.ended_at, self.acknowledged.get(number, call.ended_at))
                self._record_version(call.order)
            elif 400 <= call.status < 500:
                self.refused[number] = call.status

    def _record_version(self, order: SentOrder) -> None:
        other = self.order_by_version.setdefault(order.generation, order.number)
        if other != order.number:
            self.problems.append(f"version {order.generation} is both order {other} and order {order.number}")

    def _check_read_documents(self) -> None:
        for call in self.history.calls:
            if call.operation != "read" or call.status != ACCEPTED or call.document is None:
                continue
            orders = self._orders_resulting_in(call.document)
            if not orders:
                generation = call.document.get("Generation")
                self.problems.append(f"a read gave a document of version {generation} that no order makes")
            elif len(orders) == 1:
                self._record_version(orders[0])

    def _orders_resulting_in(self, document: Document) -> list[SentOrder]:
        wanted = comparable(document)
        candidates = [o for o in self.orders.values() if o.generation == document["Generation"]]
        return [
            order
            for order in candidates
            if any(made == wanted for made in self._possible_documents(order, set()))
        ]

    def _possible_documents(self, order: SentOrder, visited: set[int]) -> list[Document]:
        """The possible results of an order, one for each document that may have had its base version."""
        change = self.read_json(order.change)
        if order.kind == "replace":
            return [comparable(change)]
        results = list[Document]()
        for base in self.orders.values():
            if base.generation == order.base_version and base.number not in visited:
                for document in self._possible_documents(base, visited | {order.number}):
                    whole = {
                        "Generation": document["Generation"],
                        "Routes": list(document["Routes"].values()),
                    }
                    results.append(apply_patch_model(whole, change))
        return results

    def _check_one_order_per_base(self) -> None:
        by_base = defaultdict(set)
        for number in {*self.order_by_version.values(), *self.acknowledged}:
            by_base[self.orders[number].base_version].add(number)
        for base, numbers in by_base.items():
            if len(numbers) > 1:
                self.problems.append(f"orders {sorted(numbers)} were all accepted on top of version {base}")

    def _check_refusals(self) -> None:
        for number in {*self.order_by_version.values(), *self.acknowledged}:
            if number in self.refused:
                self.problems.append(f"order {number} was accepted, and refused with {self.refused[number]}")
            if not self.orders[number].valid:
                self.problems.append(f"order {number} is invalid, but was accepted")

    def _check_reads_are_linearizable(self) -> None:
        known_versions = [
            (ended, self.orders[number].generation) for number, ended in self.acknowledged.items()
        ]
        reads = [c for c in self.history.calls if c.operation == "read" and c.status == ACCEPTED]
        known_versions += [(call.ended_at, version_read(call)) for call in reads]
        for call in reads:
            newest_known = max(
                (generation for ended, generation in known_versions if ended < call.started_at), default=0
            )
            if version_read(call) < newest_known:
                version = version_read(call)
                self.problems.append(
                    f"a read gave version {version} after {newest_known} was known, at {call.started_at:.0f}"
                )


def version_read(call: Call) -> int:
    """The version that a read returned; 0 if there was no document yet."""
    return call.document["Generation"] if call.document is not None else 0
