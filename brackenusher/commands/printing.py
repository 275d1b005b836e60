"""Output formats of the commands: tables and lists for people, one JSON document for programs."""

import json
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from typing import Any

COLUMN_GAP = "  "
MAX_CELL_CHARS = 60


def as_json(document: object) -> str:
    """Formats a document as indented JSON, keys in their original order."""
    return json.dumps(document, indent=2)


def as_text(document: object) -> str:
    """Formats any document as text: lists of objects as tables, objects as "key: value" lines."""
    return "\n".join(_lines(document, ""))


def _lines(document: object, indent: str) -> Iterator[str]:
    if isinstance(document, dict):
        yield from _object_lines(document, indent)
    elif isinstance(document, list) and document and all(isinstance(item, dict) for item in document):
        yield from (indent + line for line in table(document))
    elif isinstance(document, list):
        yield from (f"{indent}{_cell(item)}" for item in document) if document else (f"{indent}none",)
    else:
        yield indent + _cell(document)


def _object_lines(document: dict[str, Any], indent: str) -> Iterator[str]:
    for key, value in document.items():
        if isinstance(value, dict) or (isinstance(value, list) and any(isinstance(i, dict) for i in value)):
            yield f"{indent}{key}:"
            yield from _lines(value, indent + "  ")
        else:
            yield f"{indent}{key}: {_cell(value)}"


def table(rows: Sequence[dict[str, Any]]) -> Iterator[str]:
    """Yields the lines of a table with a column per key; missing values are left blank."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [columns] + [[_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[column_index]) for line in cells) for column_index in range(len(columns))]
    for line in cells:
        padded_cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield COLUMN_GAP.join(padded_cells).rstrip()


def with_utc_times(rows: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """Replaces `at_ms` (Unix milliseconds) of each row by an ISO date and time in UTC as first column."""
    return [
        {"at": _format_time(row["at_ms"]), **{key: value for key, value in row.items() if key != "at_ms"}}
        for row in rows
    ]


def _format_time(milliseconds: int) -> str:
    return datetime.fromtimestamp(milliseconds / 1000.0, UTC).isoformat(" ", "milliseconds")


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None:
        return "-"
    if isinstance(value, list):
        text = ",".join(_cell(item) for item in value) or "-"
    elif isinstance(value, dict):
        text = " ".join(f"{key}={_cell(item)}" for key, item in value.items())
    else:
        text = str(value)
    text = text if text.isprintable() else ascii(text)[1:-1]
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 3] + "..."
