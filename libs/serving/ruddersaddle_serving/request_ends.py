"""How requests end, as counted on the metrics page, and those that the end of a host cuts."""

from collections.abc import Iterable
from typing import Any

import msgspec

LISTED_MAX = 20
"""Requests named in a line about those that are cut, which stays under about 2 KB."""
KIND_BY_WORD = {
    "answered": "answered",
    "caller left": "caller_left",
    "not taken": "not_taken",
    "stream broke": "stream_broke",
    "time is over": "time_over",
    "failed": "fault",
    "ended with its task": "killed",
}
"""Kind of an end by the first words of its outcome; all but the first give no whole answer."""


class InterruptedRequest(msgspec.Struct, frozen=True):
    """A request under way when its host ends."""

    request: str | None
    route: str | None
    upstream: str | None
    ran_s: float

    def __str__(self) -> str:
        return f"{self.request} on {self.route} at {self.upstream or None} for {self.ran_s:.1f} s"


def zero_counts() -> dict[str, int]:
    """Return counts of all kinds, so that each is on the metrics page from the start."""
    return dict.fromkeys(KIND_BY_WORD.values(), 0)


def kind_of_outcome(outcome: str) -> str:
    """Return the kind of an end, by the first words of its outcome."""
    return KIND_BY_WORD.get(outcome.partition(":")[0], "other")


def count_outcome(counts: dict[str, int], outcome: str) -> None:
    """Count the end of one request."""
    kind = kind_of_outcome(outcome)
    counts[kind] = counts.get(kind, 0) + 1


def interrupted_fields(cut: Iterable[InterruptedRequest]) -> dict[str, Any]:
    """Return a log line's fields about requests that are cut: their number, the oldest by name."""
    oldest = sorted(cut, key=lambda each: -each.ran_s)
    fields: dict[str, Any] = {"cut": len(oldest)}
    if oldest:
        fields["requests"] = [str(each) for each in oldest[:LISTED_MAX]]
    return fields
