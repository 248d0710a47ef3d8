"""Whether an engine lets a request in, and when: waits predicted by urgency, and what is refused.

Load pattern: a quarter of the engines is lost under full load, or twice the usual crowd comes. Runs
of long answers then hold every slot and nearly all memory for seconds, and what is urgent and short
waits behind them. Part of each engine is therefore kept for what is more urgent, and the least
urgent is refused first, at once, while the others are still in time.

Lasting load: a request is let in if its own first event would come in time. What it reads and the
memory it needs make that later, so that the smaller ones of its kind always take the room first:
shortest job first, by which the largest are never served while the load lasts. Part of the requests
is therefore judged as if they needed what those let in lately need; which ones is drawn.

Nothing here reads a clock, a socket or a random source. Times are in seconds, memory in tokens.
What each limit is worth stands in docs/size.md (replays of 9 s).
"""

import msgspec

SLOT_SHARE_RESERVED = 0.1
"""Share of an engine's slots that each step of urgency has for itself."""
MEMORY_SHARE_RESERVED = 0.15
"""Share of an engine's memory that each step of urgency has for itself. Where memory runs out, an
engine preempts the least urgent run and reads its prompt again."""
RESERVED_LEVELS = 3
"""Steps below the most urgent class that are told apart."""
TARGET_SHARE_MAX = 1.1
TARGET_SHARE_MIN = 0.7
TARGET_SHARE_SLOPE = 12.0
"""Share of the latency target within which the first event has to be predicted. It falls with the
part of an engine's memory that a request needs: one that needs 12,000 of 70,000 tokens keeps out
five short ones."""

JUDGED_AS_COMMON_SHARE = 0.75
"""Share of the requests that are judged as if they were of common size. Whatever the load, what is
large is let in about this share as often as what is common; with less, long prompts that fill
engines' memory are served under half as often as the others of their kind."""


class Backlog(msgspec.Struct, frozen=True):
    """What stands at an engine, as far as it matters to a request of some urgency."""

    queued_prefill_s: float
    """Time until all that is as urgent is read, at the engine's own pace; without the time that
    first events take beside reading, which passes for all of them at once."""
    tokens: int
    """Memory of all that is as urgent."""
    requests: int
    """Requests of any urgency; runs hold their slots whoever waits."""
    lower_priority: int
    """Of these the less urgent ones, which are let in later if they wait."""
    run_s: float
    """Mean length of a run, by which slots come free."""
    memory_run_s: float
    """The same weighed by memory, by which memory comes free."""


class Capacity(msgspec.Struct, frozen=True):
    """What an engine has; 0 where that is not known."""

    slots: int
    tokens: int


def predict_wait_s(backlog: Backlog, capacity: Capacity, tokens: int) -> float:
    """Return how long a request that needs so much memory waits before it is read."""
    return _wait_s(backlog, capacity, tokens, 0)


def admission_wait_s(backlog: Backlog, capacity: Capacity, tokens: int, priority: int) -> float:
    """Return the wait that decides whether and where a request is let in.

    It is longer than the predicted one where the request would take what is kept for more urgent
    ones; 0 is the most urgent priority.
    """
    return _wait_s(backlog, capacity, tokens, min(priority, RESERVED_LEVELS))


def _wait_s(backlog: Backlog, capacity: Capacity, tokens: int, steps: int) -> float:
    memory_s = _memory_wait_s(backlog, capacity, steps, tokens)
    return max(backlog.queued_prefill_s, memory_s, _slot_wait_s(backlog, capacity, steps))


def _memory_wait_s(backlog: Backlog, capacity: Capacity, steps: int, tokens: int) -> float:
    if not capacity.tokens:
        return 0.0
    allowed = capacity.tokens * (1.0 - MEMORY_SHARE_RESERVED * steps)
    # A request that is larger than what is allowed waits for all others, not for ever.
    lacking = backlog.tokens - max(0.0, allowed - tokens)
    return backlog.memory_run_s * lacking / capacity.tokens


def _slot_wait_s(backlog: Backlog, capacity: Capacity, steps: int) -> float:
    """Return the time until a slot is free, and taken by nobody who is as urgent.

    Runs of any urgency hold their slots. Where only what is as urgent is counted, an urgent request
    is predicted no wait behind slots that are all held by long runs.
    """
    allowed = max(1.0, capacity.slots * (1.0 - SLOT_SHARE_RESERVED * steps))
    if not capacity.slots or backlog.requests + 1 <= allowed:
        return 0.0
    ahead = max(0.0, backlog.requests - allowed - backlog.lower_priority)
    return backlog.run_s * (ahead + 1) / capacity.slots


def excess_s(first_s: float, wait_s: float, target_s: float, memory_share: float) -> float:
    """Return how much too late the first event would come; at most 0 if a request is let in.

    `memory_share` is the part of the engine's memory that the request needs. What waits for nothing
    is let in however long it takes to read: it would find it no better later.
    """
    share = max(TARGET_SHARE_MIN, TARGET_SHARE_MAX - TARGET_SHARE_SLOPE * memory_share)
    return min(first_s - target_s * share, wait_s)
