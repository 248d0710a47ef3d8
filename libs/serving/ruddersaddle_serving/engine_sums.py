"""Load and health of one engine, as readers send them to one another."""

import msgspec
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.engine_loads import LoadSum
from ruddersaddle_serving.liveness import Liveness
from ruddersaddle_serving.self_reports import LimitUpdate
from ruddersaddle_serving.service_times import OVERHEAD_S
from ruddersaddle_serving.trackers import Tracker

RESPONSE_AGE_MAX_MS = 60_000
"""Longer times since the last response are reported as this one."""


class EngineSum(msgspec.Struct, frozen=True, array_like=True):
    """Load and health of one engine, with the approximate failure rate of its recent requests."""

    upstream: UpstreamId
    load: LoadSum
    failure_percent: int
    run_ms: int
    """Mean length of a run from its first event."""
    memory_run_ms: int = 1000
    """Mean length of a run weighted by tokens."""
    prefill_percent: int = 100
    """Observed prefill time, as a percentage of the nominal time."""
    response_age_ms: int = RESPONSE_AGE_MAX_MS
    """Time since any host received something from it; in sums, any host of the sender's region."""
    unresponsive_ms: int | None = None
    """For how long it has been unresponsive; None if it is not."""
    is_replaced: bool = False
    """Whether another upstream answers at its address."""
    born_ms: int | None = None
    """Time of birth, which identifies its instance; None if it is unknown."""
    overhead_ms: float = OVERHEAD_S * 1000
    """Time to a first event beside queueing and prefill."""
    limit: LimitUpdate | None = None
    """Its latest known rate limit."""

    def aged(self, seconds: float) -> "EngineSum":
        """Return an unchanged row as it is some seconds later."""
        age_ms = min(RESPONSE_AGE_MAX_MS, self.response_age_ms + round(seconds * 1000))
        return msgspec.structs.replace(self, response_age_ms=age_ms)

    @property
    def is_changing(self) -> bool:
        """Whether it has values that change all the time, so that it is part of each message."""
        return (
            self.failure_percent > 0 or self.unresponsive_ms is not None or self.limit is not None
        )


def summarize(tracker: Tracker, is_total: bool, now: float) -> EngineSum:
    """Return the load and health of one engine: by this hall, or by all halls for a total."""
    liveness = tracker.liveness
    unresponsive_since = (
        liveness.unresponsive_since(now) if is_total else liveness.observed_unresponsive_since(now)
    )
    response_at = liveness.last_response_at if is_total else liveness.region_response_at
    return EngineSum(
        upstream=tracker.id,
        load=tracker.load.total_sum() if is_total else tracker.load.own_sum(),
        failure_percent=round(
            100 * (tracker.failure_rate if is_total else tracker.observed_failure_rate)
        ),
        run_ms=round(1000 * tracker.load.run_s),
        memory_run_ms=round(1000 * tracker.load.memory_run_s),
        prefill_percent=round(100 * tracker.load.service_time.prefill_factor),
        response_age_ms=round(min(RESPONSE_AGE_MAX_MS, 1000 * (now - response_at))),
        unresponsive_ms=None
        if unresponsive_since is None
        else round(1000 * (now - unresponsive_since)),
        is_replaced=tracker.is_replaced,
        born_ms=tracker.entry.born_ms,
        overhead_ms=round(1000 * tracker.load.service_time.overhead_s),
        limit=tracker.reported.rate_limit.latest_update(),
    )


def apply_liveness(
    liveness: Liveness, source: str, reported: EngineSum, now: float, is_elsewhere: bool = False
) -> None:
    """Apply when others last received something, and since when they see it as unresponsive.

    `now` is when the row was received; `is_elsewhere` says that another region sent it.
    """
    if reported.response_age_ms < RESPONSE_AGE_MAX_MS:
        liveness.record_response(now - reported.response_age_ms / 1000, is_elsewhere)
    since = None if reported.unresponsive_ms is None else now - reported.unresponsive_ms / 1000
    liveness.apply_report(source, since, now)


def apply_service_time(tracker: Tracker, reported: EngineSum) -> None:
    """Apply the lengths of runs and prefills that others have observed."""
    tracker.load.run_s = reported.run_ms / 1000
    tracker.load.memory_run_s = reported.memory_run_ms / 1000
    service_time = tracker.load.service_time
    service_time.prefill_factor = reported.prefill_percent / 100
    service_time.overhead_s = reported.overhead_ms / 1000
