"""Reconstructs the course of one request from the logs of several hosts."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

HIDDEN = frozenset({"time", "level", "text", "host", "request", "requests"})
"""Fields that are left out: they are shown elsewhere in a line, or concern other requests too."""
REQUEST_ENDED = "Request ended."
PROCESS_STARTED = "has started."
PROCESS_ENDED = ("has stopped.", "ends by a fault.")
"""Endings of the last line that a process writes."""
LINES_DROPPED = "lines were dropped."

Record = dict[str, Any]


def explain(request: str, lines: Iterable[str]) -> list[str]:
    """Return the log lines that concern a request, ordered by time and formatted as text.

    A line may have any prefix before its JSON, since log collectors add one. If no line tells how
    the request ended, possible reasons for the missing line follow.
    """
    records = [record for record in map(_parse, lines) if record]
    records.sort(key=lambda record: str(record.get("time", "")))
    related = [record for record in records if _is_related(record, request)]
    formatted = [_format(record, request) for record in related]
    if not any(_reports_end(record) for record in related if not _takes_up(record, request)):
        formatted += _explain_missing_end(records)
    return formatted


def _parse(line: str) -> Record | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except (ValueError, RecursionError):
        # A line of another program, a truncated line, or one that is nested too deeply.
        return None
    return record if isinstance(record, dict) else None


def _is_related(record: Record, request: str) -> bool:
    # A request that takes up a stream names the one that brought its first event.
    if (
        request in (record.get("request"), record.get("resumes"))
        or request in str(record.get("text", "")).split()
    ):
        return True
    return _find_cut(record, request) is not None


def _takes_up(record: Record, request: str) -> bool:
    """Return whether a line is of another request, which takes up a stream of this one."""
    return record.get("resumes") == request and record.get("request") != request


def _find_cut(record: Record, request: str) -> str | None:
    """Return the item on a request in a host's list of requests that its end cut, or None."""
    for cut in record.get("requests", ()):
        if str(cut).partition(" ")[0] == request:
            return str(cut)
    return None


def _reports_end(record: Record) -> bool:
    text = str(record.get("text", ""))
    return text.endswith(REQUEST_ENDED) or text.endswith(PROCESS_ENDED)


def _format(record: Record, request: str = "") -> str:
    fields = [f"{name}={value}" for name, value in record.items() if name not in HIDDEN]
    if _takes_up(record, request):
        fields.append(f"taken up by: {record.get('request')}")
    cut = _find_cut(record, request)
    if cut is not None:
        fields.append(f"cut here: {cut}")
    head = f"{record.get('time')} {record.get('host')} {record.get('text')}"
    return " ".join([head, *fields])


def _explain_missing_end(records: list[Record]) -> Iterator[str]:
    """Yield notes on dropped lines, and on processes that ended without logging their end."""
    started: set[str] = set()
    last_by_host: dict[str, Record] = {}
    for record in records:
        text = str(record.get("text", ""))
        host = str(record.get("host"))
        last = last_by_host.get(host)
        if text.endswith(LINES_DROPPED) or (text.endswith(PROCESS_ENDED) and record.get("cut")):
            yield f"perhaps: {_format(record)}"
        if text.endswith(PROCESS_STARTED):
            if last is not None and not _is_process_end(last):
                yield f"perhaps: {last.get('time')} {host} was killed: it started again after this"
            started.add(host)
        last_by_host[host] = record
    for host, last in last_by_host.items():
        if host in started and not _is_process_end(last):
            yield f"perhaps: {last.get('time')} {host} was killed or still runs: its log ends here"


def _is_process_end(record: Record) -> bool:
    return str(record.get("text", "")).endswith(PROCESS_ENDED)
