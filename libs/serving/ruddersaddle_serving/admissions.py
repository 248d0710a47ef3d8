"""Admission control: predicts the wait at an engine by priority and decides what is refused.

Load pattern: a quarter of the engines is lost under full load, or traffic doubles. Runs with long
outputs then hold every slot and nearly all memory for seconds, and short high-priority requests
queue behind them. Part of each engine is therefore reserved for higher priorities, and the lowest
priority is refused first, immediately, while the others still meet their latency targets.

Sustained overload: a request is admitted if its own first event would meet the target. Its prefill
and its memory add to that time, so smaller requests of the same kind are always admitted first.
This is shortest job first, which starves the largest requests for as long as the overload lasts. A
randomly drawn part of the requests is therefore judged as if they were of the median size of those
admitted recently.

Nothing here reads a clock, a socket or a random source. Times are in seconds, memory in tokens.
"""

import msgspec

SLOT_SHARE_RESERVED = 0.1
"""Share of an engine's slots that is reserved for each priority level."""
MEMORY_SHARE_RESERVED = 0.15
"""Share of an engine's memory that is reserved for each priority level. An engine that runs out of
memory preempts the run of the lowest priority and repeats its prefill."""
RESERVED_LEVELS = 3
"""Priority levels below the highest for which the reserved shares add up; lower ones count as the
last of these."""
TARGET_SHARE_MAX = 1.1
TARGET_SHARE_MIN = 0.7
TARGET_SHARE_SLOPE = 12.0
"""The first event must be predicted within this share of the latency target. The share falls with
the part of an engine's memory that a request needs: one that needs 12,000 of 70,000 tokens takes
the place of five short ones."""

JUDGED_AS_MEDIAN_SHARE = 0.75
"""Share of the requests that are judged as if they were of median size. At any load, large requests
are admitted about this share as often as those of median size; with a smaller share, long prompts
that fill engines' memory are served less than half as often as the others of their kind."""


class Backlog(msgspec.Struct, frozen=True):
    """What is queued and running at an engine, as seen by a request of some priority."""

    queued_prefill_s: float
    """Time to prefill everything of the same or a higher priority, at the engine's observed rate.
    The fixed overhead of first events is left out, as it passes for all of them at the same
    time."""
    tokens: int
    """Memory used by the same or higher priorities."""
    requests: int
    """Requests of any priority; a run holds its slot until it ends, whatever waits."""
    lower_priority: int
    """Those of `requests` that have a lower priority; any of them that wait are admitted later."""
    run_s: float
    """Mean length of a run, which determines how fast slots become free."""
    memory_run_s: float
    """Mean length of a run weighted by memory, which determines how fast memory becomes free."""


class Capacity(msgspec.Struct, frozen=True):
    """Size of an engine; 0 where it is unknown."""

    slots: int
    tokens: int


def predict_wait_s(backlog: Backlog, capacity: Capacity, tokens: int) -> float:
    """Return how long a request that needs this much memory waits before its prefill starts."""
    return _wait_s(backlog, capacity, tokens, 0)


def admission_wait_s(backlog: Backlog, capacity: Capacity, tokens: int, priority: int) -> float:
    """Return the wait that decides whether and where a request is admitted.

    It is longer than the predicted wait if the request would use capacity that is reserved for
    higher priorities; 0 is the highest priority.
    """
    return _wait_s(backlog, capacity, tokens, min(priority, RESERVED_LEVELS))


def _wait_s(backlog: Backlog, capacity: Capacity, tokens: int, levels: int) -> float:
    memory_s = _memory_wait_s(backlog, capacity, levels, tokens)
    return max(backlog.queued_prefill_s, memory_s, _slot_wait_s(backlog, capacity, levels))


def _memory_wait_s(backlog: Backlog, capacity: Capacity, levels: int, tokens: int) -> float:
    if not capacity.tokens:
        return 0.0
    allowed = capacity.tokens * (1.0 - MEMORY_SHARE_RESERVED * levels)
    # A request larger than the allowed memory waits until the engine is empty, not forever.
    lacking = backlog.tokens - max(0.0, allowed - tokens)
    return backlog.memory_run_s * lacking / capacity.tokens


def _slot_wait_s(backlog: Backlog, capacity: Capacity, levels: int) -> float:
    """Return the time until a slot is free that no request of the same or higher priority takes.

    Runs of any priority hold their slots. If only the same and higher priorities were counted, a
    high-priority request would be predicted no wait while long runs hold all slots.
    """
    allowed = max(1.0, capacity.slots * (1.0 - SLOT_SHARE_RESERVED * levels))
    if not capacity.slots or backlog.requests + 1 <= allowed:
        return 0.0
    ahead = max(0.0, backlog.requests - allowed - backlog.lower_priority)
    return backlog.run_s * (ahead + 1) / capacity.slots


def excess_s(first_s: float, wait_s: float, target_s: float, memory_share: float) -> float:
    """Return by how much the first event would be too late; at most 0 if a request is admitted.

    `memory_share` is the part of the engine's memory that the request needs. A request that doesn't
    have to wait is admitted however long its prefill takes: it would not be faster later.
    """
    share = max(TARGET_SHARE_MIN, TARGET_SHARE_MAX - TARGET_SHARE_SLOPE * memory_share)
    return min(first_s - target_s * share, wait_s)
