"""Looks on at keyed requests for `idempotency_records`; says at admission what became of an earlier try."""

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

KEY = b"idempotency-key"


def key_of(message: Message) -> bytes:
    """What tells one keyed request from all others: its tenant, what it asks, its key; empty without one.

    Two tenants, or two moves, may word their keys alike, and must not be given each other's answer.
    """
    key = next((value for name, value in message.headers if name == KEY), b"")
    if not key:
        return b""
    found = blake2b(digest_size=16)
    for part in (message.owner or b"", message.method, message.target, key):
        found.update(len(part).to_bytes(4, "big") + part)
    return found.digest()


class KeyedRequests:
    """A `brackenusher.core.admission.IdempotencyLookup`, and an observer of the transactions."""

    def __init__(
        self, fates: IdempotencyRecords, owner: "core.Transactions", settings: face.Settings
    ) -> None:
        self.fates, self.owner, self.classes = fates, owner, settings.classes
        self.answers = self.bound = 0

    def ask(self, request: Request) -> RecordedOutcome | None:
        conf = self.classes[request.class_index]
        if conf.effect is not Effect.KEYED:
            return None
        key = key_of(request.message)
        known = self.fates.lookup(key, clock(), conf.group is Group.ALL) if key else None
        if known is None:
            return None
        if known.response is not None:
            self.answers += 1
            a = known.response
            return RecordedOutcome(Content(a.body, a.content_type, a.content_encoding))
        self.bound += 1
        return RecordedOutcome(None, known.server, known.until)

    def on_event(self, now: float, event: face.Event, actions: Sequence[Any]) -> None:
        fates = self.fates
        if isinstance(event, face.Arrived):
            conf = self.classes[event.klass]
            transaction = self.owner.open.get(event.request)
            key = key_of(transaction.message) if conf.effect is Effect.KEYED and transaction else b""
            if key:
                fates.on_request(event.request, key, conf.window)
        elif isinstance(event, face.Finished):
            fates.on_attempt_ended(now, event.request, event.attempt, event.outcome in PROVEN)
        for action in actions:
            if isinstance(action, face.Send):
                fates.on_attempt_sent(now, action.request, action.backend)

    def on_answer(self, transaction: "core.Transaction", answer: "core.Answer | None") -> None:
        kept = None
        if isinstance(answer, core.Served):
            content = answer.content
            if content.body_pipe is None and len(content.body) <= MAX_BODY_BYTES:
                kept = SavedResponse(bytes(content.body), content.content_type, content.content_encoding)
        self.fates.on_request_done(clock(), transaction.id, kept)
