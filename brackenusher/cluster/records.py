"""Records of servers as messages of the internal protocol, and back."""

from collections.abc import Iterable

from barleybarrow.replication.records import InstanceModel, InstanceRecord, InstanceState, Renewal
from brackenusher.cluster import messages


def to_message(record: InstanceRecord) -> messages.InstanceRecord:
    """A record as a message."""
    return messages.InstanceRecord(
        id=record.id,
        service=record.service,
        address=record.address,
        zone=record.zone,
        generation=record.generation,
        slots=record.slots,
        state=messages.InstanceState(int(record.state)),
        sequence=record.sequence,
        cold_remaining_ms=record.cold_remaining_ms,
        stage=record.stage,
        models=[messages.Model(m.name, m.generation, list(m.adapters)) for m in record.models],
    )


def from_message(message: messages.InstanceRecord) -> InstanceRecord:
    """A message as a record; a state of a newer release counts as UNKNOWN."""
    number = int(message.state)
    return InstanceRecord(
        id=message.id,
        service=message.service,
        address=message.address,
        zone=message.zone,
        generation=message.generation,
        slots=message.slots,
        state=InstanceState(number) if number <= InstanceState.SILENT else InstanceState.UNKNOWN,
        sequence=message.sequence,
        cold_remaining_ms=message.cold_remaining_ms,
        stage=message.stage,
        models=[InstanceModel(m.name, m.generation, list(m.adapters)) for m in message.models],
    )


def to_messages(records: Iterable[InstanceRecord]) -> list[messages.InstanceRecord]:
    """Records as messages."""
    return [to_message(record) for record in records]


def from_messages(received: Iterable[messages.InstanceRecord]) -> list[InstanceRecord]:
    """Messages as records."""
    return [from_message(message) for message in received]


def to_renewals(renewals: Iterable[Renewal]) -> list[messages.Renewal]:
    """Renewals as messages."""
    return [messages.Renewal(renewal.id, renewal.sequence) for renewal in renewals]


def from_renewals(received: Iterable[messages.Renewal]) -> list[Renewal]:
    """Messages as renewals."""
    return [Renewal(message.id, message.sequence) for message in received]
