"""Tells the story of one request from the logs of several hosts."""

import json
from collections.abc import Iterable
from typing import Any

HIDDEN = frozenset({"time", "level", "text", "host", "request"})
"""Fields that stand elsewhere in a line of the story."""


def explain(request: str, lines: Iterable[str]) -> list[str]:
    """Return the lines that concern a request, in the order of time, as sentences.

    A line may have anything before its JSON, as collectors of logs put it there.
    """
    records = [record for record in map(_parse, lines) if record and _concerns(record, request)]
    records.sort(key=lambda record: str(record.get("time", "")))
    return [_tell(record) for record in records]


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        # A line of another program, or one that was cut off.
        return None
    return record if isinstance(record, dict) else None


def _concerns(record: dict[str, Any], request: str) -> bool:
    return record.get("request") == request or request in str(record.get("text", "")).split()


def _tell(record: dict[str, Any]) -> str:
    fields = [f"{name}={value}" for name, value in record.items() if name not in HIDDEN]
    head = f"{record.get('time')} {record.get('host')} {record.get('text')}"
    return " ".join([head, *fields])
