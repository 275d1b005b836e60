"""Datagrams in which proxies tell each other what they sent where.

MessagePack by msgspec: read and checked in C. betterproto takes some 40 us for such a message, and each proxy
reads hundreds a second.
"""

from typing import Annotated

import msgspec

from barleybarrow.routing.announcement_relay import News, Reach
from barleybarrow.routing.announcements import Announcement

MAX_DATAGRAM_BYTES = 1400  # one packet on any link

Count = Annotated[int, msgspec.Meta(ge=0)]


class _Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    service: str
    server_id: str
    subject: str
    subject_tokens: Count
    tokens_to_read: Count
    streams: Count


class _Told(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    origin: str
    serial: Count
    rows: list[_Row]


class _Datagram(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    reach: Reach
    told: list[_Told]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Datagram)


def _row(news: Announcement) -> _Row:
    return _Row(
        news.service,
        news.server_id,
        news.subject,
        news.subject_tokens,
        news.tokens_to_read,
        news.streams,
    )


def encode(reach: Reach, news: list[News]) -> list[bytes]:
    """Datagrams of at most `MAX_DATAGRAM_BYTES`; a piece of news too long for one is left out."""
    told = [_Told(part.origin, part.serial, [_row(row) for row in part.announcements]) for part in news]
    return _in_packets(reach, told)


def _in_packets(reach: Reach, told: list[_Told]) -> list[bytes]:
    data = _encoder.encode(_Datagram(reach, told))
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    if len(told) <= 1:
        return []
    half = len(told) // 2
    return _in_packets(reach, told[:half]) + _in_packets(reach, told[half:])


def decode(data: bytes) -> tuple[Reach, list[News]]:
    """What `encode` made. Raises ValueError where it can't be read."""
    datagram = _decoder.decode(data)
    news = [
        News(
            told.origin,
            told.serial,
            [
                Announcement(
                    row.service,
                    row.server_id,
                    row.subject,
                    row.subject_tokens,
                    row.tokens_to_read,
                    row.streams,
                )
                for row in told.rows
            ],
        )
        for told in datagram.told
    ]
    return datagram.reach, news
