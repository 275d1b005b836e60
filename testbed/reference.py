"""The settings of a scenario as a table, taken from the records themselves."""

import json

import msgspec

from testbed.scenario import Scenario


def table() -> str:
    """All settings of a scenario with type, default and range, as Markdown."""
    lines = ["| setting | kind | default | range |", "| --- | --- | --- | --- |"]
    describe(lines, "", Scenario)
    return "\n".join(lines)


def describe(lines: list[str], prefix: str, part: type) -> None:
    info = msgspec.inspect.type_info(part)
    assert isinstance(info, msgspec.inspect.StructType)
    for f in info.fields:
        kind, inner = f.type, None
        if isinstance(kind, msgspec.inspect.StructType):
            inner, here = kind.cls, f"{prefix}{f.name}."
        elif isinstance(kind, msgspec.inspect.ListType) and isinstance(
            kind.item_type, msgspec.inspect.StructType
        ):
            inner, here = kind.item_type.cls, f"{prefix}{f.name}[]."
        if inner is not None:
            describe(lines, here, inner)
            continue
        shown = default_of(f)
        lines.append(f"| `{prefix}{f.name}` | {word(kind)} | {shown} | {bounds(kind)} |")


def default_of(f: msgspec.inspect.Field) -> str:
    if f.required:
        return "must be given"
    value = f.default if f.default is not msgspec.NODEFAULT else f.default_factory()
    return f"`{json.dumps(value)}`"


def word(kind: msgspec.inspect.Type) -> str:
    match kind:
        case msgspec.inspect.ListType() | msgspec.inspect.VarTupleType():
            return f"list of {word(kind.item_type)}"
        case msgspec.inspect.TupleType():
            return "pair"
        case msgspec.inspect.LiteralType():
            return "word"
        case _:
            names = {
                "IntType": "whole number",
                "FloatType": "number",
                "StrType": "text",
                "BoolType": "switch",
            }
            return names.get(type(kind).__name__, type(kind).__name__)


def bounds(kind: msgspec.inspect.Type) -> str:
    if isinstance(kind, msgspec.inspect.LiteralType):
        return ", ".join(f"`{v}`" for v in kind.values)
    if isinstance(kind, msgspec.inspect.ListType):
        return bounds(kind.item_type)
    if isinstance(kind, msgspec.inspect.TupleType):
        return " and ".join(bounds(item) for item in kind.item_types)
    if not isinstance(kind, msgspec.inspect.IntType | msgspec.inspect.FloatType):
        return ""
    low = f"{kind.ge:g}" if kind.ge is not None else f"above {kind.gt:g}" if kind.gt is not None else ""
    return (
        f"{low} to {kind.le:g}"
        if kind.le is not None
        else f"{low} or more".replace("above 0 or more", "above 0")
    )
