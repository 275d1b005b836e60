"""Records keyed requests in `idempotency_records` and looks up earlier attempts at admission."""

from collections.abc import Sequence
from hashlib import blake2b
from typing import Any

from barleybarrow import interface as face
from barleybarrow.brain import PROVEN
from barleybarrow.idempotency_records import MAX_BODY_BYTES, IdempotencyRecords, SavedResponse
from barleybarrow.interface import Effect, Group
from brackenusher.core import transaction as core
from brackenusher.core.admission import RecordedOutcome, Request
from brackenusher.core.message import Content, Message
from brackenusher.runtime.loop import clock

KEY_HEADER = b"idempotency-key"


def record_key(message: Message) -> bytes:
    """Digest of tenant, method, target and key of a keyed request; empty without a key.

    Two tenants, or requests for two targets, may use the same key and must not get each other's response.
    """
    key = next((value for name, value in message.headers if name == KEY_HEADER), b"")
    if not key:
        return b""
    digest = blake2b(digest_size=16)
    for part in (message.owner or b"", message.method, message.target, key):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


class KeyedRequests:
    """A `brackenusher.core.admission.IdempotencyLookup`, and an observer of the transactions."""

    def __init__(
        self, records: IdempotencyRecords, transactions: "core.Transactions", settings: face.Settings
    ) -> None:
        self.records, self.transactions, self.classes = records, transactions, settings.classes
        self.answered_count = self.pinned_count = 0

    def ask(self, request: Request) -> RecordedOutcome | None:
        conf = self.classes[request.class_index]
        if conf.effect is not Effect.KEYED:
            return None
        key = record_key(request.message)
        record = self.records.lookup(key, clock(), conf.group is Group.ALL) if key else None
        if record is None:
            return None
        if record.response is not None:
            self.answered_count += 1
            response = record.response
            return RecordedOutcome(Content(response.body, response.content_type, response.content_encoding))
        self.pinned_count += 1
        return RecordedOutcome(None, record.server, record.until)

    def on_event(self, now: float, event: face.Event, actions: Sequence[Any]) -> None:
        records = self.records
        if isinstance(event, face.Arrived):
            conf = self.classes[event.klass]
            transaction = self.transactions.open.get(event.request)
            key = record_key(transaction.message) if conf.effect is Effect.KEYED and transaction else b""
            if key:
                records.on_request(event.request, key, conf.window)
        elif isinstance(event, face.Finished):
            records.on_attempt_ended(now, event.request, event.attempt, event.outcome in PROVEN)
        for action in actions:
            if isinstance(action, face.Send):
                records.on_attempt_sent(now, action.request, action.backend)

    def on_answer(self, transaction: "core.Transaction", answer: "core.Answer | None") -> None:
        saved_response = None
        if isinstance(answer, core.Served):
            content = answer.content
            if content.body_pipe is None and len(content.body) <= MAX_BODY_BYTES:
                saved_response = SavedResponse(
                    bytes(content.body), content.content_type, content.content_encoding
                )
        self.records.on_request_done(clock(), transaction.id, saved_response)
