"""Classifies how one attempt at an upstream ended: evidence about its software version, or none.

Both sides of a rollout are classified by the same rules, so that what troubles the old version as
well is seen on both.
"""

from collections import deque
from enum import Enum
from statistics import median_low

import msgspec

from ruddersaddle_serving.routes import RouteName

SLOW_FACTOR = 2.5
"""An answer is slow if it takes this many times what was expected."""
SLOW_MARGIN_S = 0.03
"""An answer that is late by less than this is not slow: a busy host adds this much by itself."""
MEDIAN_SIZE = 64
"""Latest observations per route from which the expected time is taken."""
MEDIAN_SIZE_MIN = 5
"""With fewer observations of the old version, nothing is expected and nothing counts as slow."""


class Outcome(Enum):
    """What the end of one attempt says about the software version of its upstream."""

    GOOD = "good"
    FAILED = "failed"
    SLOW = "slow"
    NONE = "none"
    """Says nothing about it."""


class Reason(Enum):
    """Why an attempt has its outcome."""

    ANSWERED = "answered"
    STATUS = "error_status"
    BROKEN = "broken"
    """The connection broke after the request was sent; counted once per upstream and burst."""
    INVALID = "invalid_answer"
    LATE_START = "late_start"
    LATE_EVENTS = "late_events"
    CALLER_LEFT = "caller_left"
    OWN_TIMEOUT = "own_timeout"
    OWN_STALL = "own_stall"
    NOT_RUN = "not_run"
    NO_CONNECTION = "no_connection"
    LOADING = "loading"
    COLD = "cold"
    CRASH_EXPLAINED = "crash_explained"
    SUPERSEDED = "cut"
    """This host ended the attempt."""


class AttemptEnd(msgspec.Struct, frozen=True):
    """How one attempt ended; times are in seconds from sending the request.

    `expected_s` is the time to the first event that the old version's service time predicts for
    what the engine has cached, or the old version's recent median for a plain call; None if
    unknown. `event_expected_s` is the old version's recent median time between events.
    """

    status: int | None = None
    """None if no head of an answer came."""
    not_run: bool = False
    """The answer states that the request did not run, or it was refused with 421, 429 or 503."""
    is_connected: bool = True
    is_broken: bool = False
    """The connection broke off before the answer was complete."""
    is_invalid: bool = False
    """The answer violates the protocol."""
    caller_left: bool = False
    own_timeout: bool = False
    was_cut: bool = False
    """This host ended the attempt, for example because of a configuration change."""
    host_stalled: bool = False
    """This host did not run for part of the time, so its times say nothing."""
    is_loading: bool = False
    """The upstream loaded weights during the attempt, or was about to."""
    is_cold: bool = False
    crash_explained: bool = False
    """A crash record names the request as the cause of the break."""
    expected_s: float | None = None
    first_s: float | None = None
    """Time to the first event, or to the complete answer of a plain call; None if none came."""
    waited_s: float = 0.0
    """Time until the attempt ended."""
    event_expected_s: float | None = None
    event_s: float | None = None
    """Mean time between events; None with fewer than two events."""


class Classification(msgspec.Struct, frozen=True):
    """Outcome of one attempt, and why."""

    outcome: Outcome
    reason: Reason


def slow_after_s(expected_s: float) -> float:
    """Return after which time in seconds an answer expected after `expected_s` is slow."""
    return max(SLOW_FACTOR * expected_s, expected_s + SLOW_MARGIN_S)


def classify(end: AttemptEnd) -> Classification:
    """Return what the end of an attempt says about the software version of its upstream.

    A wait that has exceeded the limit is slow however it ends, also if the caller left or the time
    was over: otherwise a version that answers after the time-out would show no evidence.
    """
    return _unrelated(end) or _failed(end) or _slow(end) or _ended(end)


def _unrelated(end: AttemptEnd) -> Classification | None:
    """Return why the attempt can't be evidence, or None."""
    if not end.is_connected:
        return Classification(Outcome.NONE, Reason.NO_CONNECTION)
    if end.not_run or end.status in (421, 429):
        return Classification(Outcome.NONE, Reason.NOT_RUN)
    if end.is_loading:
        return Classification(Outcome.NONE, Reason.LOADING)
    if end.crash_explained:
        return Classification(Outcome.NONE, Reason.CRASH_EXPLAINED)
    return None


def _failed(end: AttemptEnd) -> Classification | None:
    """Return a failure of the upstream, or None.

    A cold upstream that breaks off may have been overloaded. One that answers with an error status
    fails like a warm one; ignoring it would hide a version whose upstreams are all still cold.
    """
    if end.status is not None and end.status >= 500:
        return Classification(Outcome.FAILED, Reason.STATUS)
    if end.is_invalid:
        return Classification(Outcome.FAILED, Reason.INVALID)
    is_ours = end.caller_left or end.own_timeout or end.was_cut
    if end.is_broken and not is_ours:
        if end.is_cold:
            return Classification(Outcome.NONE, Reason.COLD)
        return Classification(Outcome.FAILED, Reason.BROKEN)
    return None


def _slow(end: AttemptEnd) -> Classification | None:
    """Return that the answer was slow, or why a slow answer doesn't count, or None."""
    reason = _lateness(end)
    if reason is None:
        return None
    if end.host_stalled:
        return Classification(Outcome.NONE, Reason.OWN_STALL)
    if end.is_cold:
        return Classification(Outcome.NONE, Reason.COLD)
    return Classification(Outcome.SLOW, reason)


def _lateness(end: AttemptEnd) -> Reason | None:
    started_s = end.waited_s if end.first_s is None else end.first_s
    if end.expected_s is not None and started_s > slow_after_s(end.expected_s):
        return Reason.LATE_START
    if end.event_s is None or end.event_expected_s is None:
        return None
    return Reason.LATE_EVENTS if end.event_s > slow_after_s(end.event_expected_s) else None


def _ended(end: AttemptEnd) -> Classification:
    """Return the outcome of an attempt that neither failed nor was slow."""
    if end.caller_left:
        return Classification(Outcome.NONE, Reason.CALLER_LEFT)
    if end.own_timeout:
        return Classification(Outcome.NONE, Reason.OWN_TIMEOUT)
    if end.was_cut:
        return Classification(Outcome.NONE, Reason.SUPERSEDED)
    return Classification(Outcome.GOOD, Reason.ANSWERED)


class RecentMedians:
    """Recent median time per route of the old version: of plain calls, or between events."""

    def __init__(self) -> None:
        self._latest_by_route: dict[RouteName, deque[float]] = {}

    def record(self, route: RouteName, observed_s: float) -> None:
        """Record a time of the old version that was observed."""
        latest = self._latest_by_route.setdefault(route, deque(maxlen=MEDIAN_SIZE))
        latest.append(observed_s)

    def median_s(self, route: RouteName) -> float | None:
        """Return the median in seconds; None with fewer than `MEDIAN_SIZE_MIN` observations."""
        latest = self._latest_by_route.get(route, ())
        return median_low(latest) if len(latest) >= MEDIAN_SIZE_MIN else None
