"""Conversion of server records to messages of the internal protocol and back."""

from collections.abc import Iterable

from barleybarrow.replication.catch_up import Coverage
from barleybarrow.replication.records import InstanceModel, InstanceRecord, InstanceState, Renewal
from brackenusher.cluster import messages


def to_message(record: InstanceRecord) -> messages.InstanceRecord:
    """Encodes a record."""
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
    """Decodes a record; a state added by a newer release becomes UNKNOWN."""
    state_number = int(message.state)
    return InstanceRecord(
        id=message.id,
        service=message.service,
        address=message.address,
        zone=message.zone,
        generation=message.generation,
        slots=message.slots,
        state=InstanceState(state_number) if state_number <= InstanceState.SILENT else InstanceState.UNKNOWN,
        sequence=message.sequence,
        cold_remaining_ms=message.cold_remaining_ms,
        stage=message.stage,
        models=[InstanceModel(m.name, m.generation, list(m.adapters)) for m in message.models],
    )


def to_coverage_message(coverage: Coverage) -> messages.Coverage:
    """Encodes the coverage of a list."""
    return messages.Coverage(int(coverage))


def from_coverage_message(message: messages.Coverage) -> Coverage:
    """Decodes the coverage of a list; a value added by a newer release becomes NOT_STATED."""
    number = int(message)
    return Coverage(number) if number <= Coverage.INCOMPLETE else Coverage.NOT_STATED


def to_messages(records: Iterable[InstanceRecord]) -> list[messages.InstanceRecord]:
    """Encodes records."""
    return [to_message(record) for record in records]


def from_messages(received: Iterable[messages.InstanceRecord]) -> list[InstanceRecord]:
    """Decodes records."""
    return [from_message(message) for message in received]


def to_renewals(renewals: Iterable[Renewal]) -> list[messages.Renewal]:
    """Encodes renewals."""
    return [messages.Renewal(renewal.id, renewal.sequence) for renewal in renewals]


def from_renewals(received: Iterable[messages.Renewal]) -> list[Renewal]:
    """Decodes renewals."""
    return [Renewal(message.id, message.sequence) for message in received]
