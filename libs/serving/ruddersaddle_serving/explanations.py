"""Tells the story of one request from the logs of several hosts."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

HIDDEN = frozenset({"time", "level", "text", "host", "request", "requests"})
"""Fields that stand elsewhere in a line of the story, or concern other requests, too."""
ENDED = "Request ended."
STARTED = "has started."
LAST_WORDS = ("has stopped.", "ends by a fault.")
"""How the last line of a process ends."""
DROPPED = "lines were dropped."

Record = dict[str, Any]


def explain(request: str, lines: Iterable[str]) -> list[str]:
    """Return the lines that concern a request, in the order of time, as sentences.

    A line may have anything before its JSON, as collectors of logs put it there. Where no line
    tells how the request ended, what may have kept it from being written follows.
    """
    records = [record for record in map(_parse, lines) if record]
    records.sort(key=lambda record: str(record.get("time", "")))
    story = [record for record in records if _concerns(record, request)]
    told = [_tell(record, request) for record in story]
    if not any(_has_end(record) for record in story):
        told += _find_gaps(records)
    return told


def _parse(line: str) -> Record | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        # A line of another program, or one that was cut off.
        return None
    return record if isinstance(record, dict) else None


def _concerns(record: Record, request: str) -> bool:
    if record.get("request") == request or request in str(record.get("text", "")).split():
        return True
    return _find_cut(record, request) is not None


def _find_cut(record: Record, request: str) -> str | None:
    """Return what a line about the end of a host says of a request that was cut."""
    for cut in record.get("requests", ()):
        if str(cut).partition(" ")[0] == request:
            return str(cut)
    return None


def _has_end(record: Record) -> bool:
    text = str(record.get("text", ""))
    return text.endswith(ENDED) or text.endswith(LAST_WORDS)


def _tell(record: Record, request: str = "") -> str:
    fields = [f"{name}={value}" for name, value in record.items() if name not in HIDDEN]
    cut = _find_cut(record, request)
    if cut is not None:
        fields.append(f"cut here: {cut}")
    head = f"{record.get('time')} {record.get('host')} {record.get('text')}"
    return " ".join([head, *fields])


def _find_gaps(records: list[Record]) -> Iterator[str]:
    """Yield the lines that tell of lost lines, and of processes that ended without a last word."""
    started: set[str] = set()
    last_by_host: dict[str, Record] = {}
    for record in records:
        text = str(record.get("text", ""))
        host = str(record.get("host"))
        last = last_by_host.get(host)
        if text.endswith(DROPPED) or (text.endswith(LAST_WORDS) and record.get("cut")):
            yield f"perhaps: {_tell(record)}"
        if text.endswith(STARTED):
            if last is not None and not _is_last_word(last):
                yield f"perhaps: {last.get('time')} {host} was killed: it started again after this"
            started.add(host)
        last_by_host[host] = record
    for host, last in last_by_host.items():
        if host in started and not _is_last_word(last):
            yield f"perhaps: {last.get('time')} {host} was killed or still runs: its log ends here"


def _is_last_word(record: Record) -> bool:
    return str(record.get("text", "")).endswith(LAST_WORDS)
