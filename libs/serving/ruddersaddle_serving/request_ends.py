"""Outcomes of requests as counted on the metrics page, and requests interrupted by a host's end."""

from collections.abc import Iterable
from typing import Any

import msgspec

LISTED_MAX = 20
"""Interrupted requests listed in a log line, which keeps it under about 2 KB."""
KIND_BY_OUTCOME = {
    "answered": "answered",
    "caller left": "caller_left",
    "not taken": "not_taken",
    "stream broke": "stream_broke",
    "time is over": "time_over",
    "failed": "fault",
    "ended with its task": "killed",
}
"""Kind by the part of an outcome before the colon; only the first is a complete answer."""


class InterruptedRequest(msgspec.Struct, frozen=True):
    """A request that is active when its host ends."""

    request: str | None
    route: str | None
    upstream: str | None
    ran_s: float

    def __str__(self) -> str:
        return f"{self.request} on {self.route} at {self.upstream or None} for {self.ran_s:.1f} s"


def zero_counts() -> dict[str, int]:
    """Return zero counts of all kinds, so that the metrics page shows each from the start."""
    return dict.fromkeys(KIND_BY_OUTCOME.values(), 0)


def kind_of_outcome(outcome: str) -> str:
    """Return the kind of an outcome, given by its part before the colon."""
    return KIND_BY_OUTCOME.get(outcome.partition(":")[0], "other")


def count_outcome(counts: dict[str, int], outcome: str) -> None:
    """Count the outcome of one request."""
    kind = kind_of_outcome(outcome)
    counts[kind] = counts.get(kind, 0) + 1


def interrupted_fields(interrupted: Iterable[InterruptedRequest]) -> dict[str, Any]:
    """Return log fields about interrupted requests: their number, and a list of the oldest."""
    oldest = sorted(interrupted, key=lambda each: -each.ran_s)
    fields: dict[str, Any] = {"cut": len(oldest)}
    if oldest:
        fields["requests"] = [str(each) for each in oldest[:LISTED_MAX]]
    return fields
