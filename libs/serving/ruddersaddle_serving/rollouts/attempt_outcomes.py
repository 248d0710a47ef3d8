"""Observes attempts at upstreams of pools with an order in force, and records what they show."""

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure, Ran
from ruddersaddle_base.ids import PoolId

from ruddersaddle_serving.attempts import Attempt
from ruddersaddle_serving.crash_records import SHARED_MIN, CrashRecords
from ruddersaddle_serving.ports import AnswerHead
from ruddersaddle_serving.prompts import CallerRequest
from ruddersaddle_serving.rollouts.evidence import (
    AttemptEnd,
    Outcome,
    Reason,
    RecentMedians,
    classify,
)
from ruddersaddle_serving.rollouts.exchanges import RolloutExchange
from ruddersaddle_serving.rollouts.order_books import OrderBook, Rollout
from ruddersaddle_serving.rollouts.orders import VersionSide
from ruddersaddle_serving.rollouts.service_baselines import ServiceBaselines
from ruddersaddle_serving.routes import Route
from ruddersaddle_serving.standstills import StallMonitor
from ruddersaddle_serving.upstream_quotas import UpstreamQuotas

BREAK_DELAY_S = 0.5
"""A broken connection is classified this long after it broke: by then it is known whether a request
that crashes upstreams explains it. Probing takes some 0.1 s."""


class AttemptOutcomes:
    """Records requests, sends and outcomes of this host."""

    def __init__(
        self,
        book: OrderBook,
        exchange: RolloutExchange,
        baselines: ServiceBaselines,
        quotas: UpstreamQuotas,
        crash_records: CrashRecords,
        stalls: StallMonitor,
    ) -> None:
        self.book = book
        self.exchange = exchange
        self.baselines = baselines
        self.quotas = quotas
        self.crash_records = crash_records
        self.stalls = stalls
        self.call_medians = RecentMedians()
        self.event_medians = RecentMedians()
        self._running: set[AttemptOutcome] = set()

    def record_request(self, pool: PoolId, route: Route) -> None:
        """Record a request that reached a pool, before it is sent anywhere."""
        rollout = self.book.by_pool.get(pool)
        if rollout is not None and rollout.is_serving:
            self.exchange.counts_of(rollout).recorder.record_request(route.name)

    def start(self, attempt: Attempt) -> "AttemptOutcome":
        """Record that a request is sent now; return the record of this attempt."""
        entry = attempt.choice.tracker.entry
        rollout = self.book.by_pool.get(entry.pool)
        is_pinned = attempt.request.pin is not None
        if rollout is not None and (is_pinned or not rollout.is_serving):
            # A stream that goes on was not drawn for its version, so it is no evidence of it.
            rollout = None
        side = VersionSide.BASELINE if rollout is None else rollout.side_of(entry)
        outcome = AttemptOutcome(self, attempt, rollout, side)
        self._running.add(outcome)
        if rollout is not None:
            recorder = self.exchange.counts_of(rollout).recorder
            recorder.record_sent(attempt.request.route.name, side, entry.id)
        return outcome

    def end(self, outcome: "AttemptOutcome") -> None:
        """Remove an attempt that has ended."""
        self._running.discard(outcome)

    def count_old_runs(self, rollout: Rollout) -> int:
        """Return the runs at upstreams other than the target's that can't be resumed."""
        return sum(
            each.side is not VersionSide.TARGET and each.is_run_of(rollout)
            for each in self._running
        )


class AttemptOutcome:
    """What is observed of one attempt."""

    def __init__(
        self,
        outcomes: AttemptOutcomes,
        attempt: Attempt,
        rollout: Rollout | None,
        side: VersionSide,
    ) -> None:
        self.outcomes = outcomes
        self.attempt = attempt
        self.rollout = rollout
        self.side = side
        self._sent_at = clocks.now_s()
        self._stalled_s = outcomes.stalls.total_s
        self._was_loading = attempt.choice.tracker.is_avoided
        self._was_cold = outcomes.quotas.is_cold(attempt.choice.tracker)
        self._expected_s = self._predict_s()
        self._status: int | None = None
        self._failure: Failure | None = None
        self._first_at: float | None = None
        self._last_at = 0.0
        self._events = 0
        self._is_ended = False

    @property
    def _request(self) -> CallerRequest:
        return self.attempt.request

    def is_run_of(self, rollout: Rollout) -> bool:
        """Return whether this is a run in a pool that can't go on at another upstream."""
        pool = self.attempt.choice.tracker.entry.pool
        return pool == rollout.id.pool and not self._request.route.is_repeatable

    def _predict_s(self) -> float | None:
        """Return the time to the first event, or to the answer, as the old version would take."""
        choice = self.attempt.choice
        if choice.assignment is None:
            return self.outcomes.call_medians.median_s(self._request.route.name)
        if self.rollout is None:
            return None
        return self.outcomes.baselines.predict_s(self.rollout, choice)

    def record_head(self, head: AnswerHead | Failure) -> None:
        """Record the head of the answer, or why there is none."""
        if isinstance(head, Failure):
            self._failure = head
        else:
            self._status = head.status

    def record_data(self) -> None:
        """Record events that arrived, or the complete answer."""
        self._last_at = clocks.now_s()
        self._events += 1
        if self._first_at is None:
            self._first_at = self._last_at

    def record_failure(self, failure: Failure) -> None:
        """Record that reading the answer failed."""
        self._failure = failure

    def finish(self, is_cut: bool = False) -> None:
        """Record the end; `is_cut` says that this host ended it, for the caller or the time."""
        if self._is_ended:
            return
        self._is_ended = True
        self.outcomes.end(self)
        end = self._make_end(is_cut)
        if end.is_broken and self.rollout is not None:
            eventlet.spawn_after(BREAK_DELAY_S, self._record, end, clocks.now_s())
        else:
            self._record(end, clocks.now_s())

    def _make_end(self, is_cut: bool) -> AttemptEnd:
        attempt, failure, outcomes = self.attempt, self._failure, self.outcomes
        now = clocks.now_s()
        is_late = self._request.remaining_s <= 0
        not_run = failure is not None and failure.ran is Ran.NOT_RUN
        is_unexplained = not (attempt.is_broken or attempt.is_invalid or not_run)
        tracker = attempt.choice.tracker
        return AttemptEnd(
            status=self._status,
            not_run=not_run,
            is_broken=attempt.is_broken,
            is_invalid=attempt.is_invalid,
            caller_left=is_cut and not is_late,
            own_timeout=is_late or (failure is not None and is_unexplained),
            host_stalled=outcomes.stalls.total_s > self._stalled_s,
            is_loading=self._was_loading or tracker.is_avoided,
            is_cold=self._was_cold,
            expected_s=self._expected_s,
            first_s=None if self._first_at is None else self._first_at - self._sent_at,
            waited_s=now - self._sent_at,
            event_expected_s=outcomes.event_medians.median_s(self._request.route.name),
            event_s=self._event_s(),
        )

    def _event_s(self) -> float | None:
        if self._events < 2:
            return None
        return (self._last_at - self._first_at) / (self._events - 1)

    def _record(self, end: AttemptEnd, at: float) -> None:
        request, outcomes = self._request, self.outcomes
        if self.attempt.lacks_path:
            # The failure is this host's own, and other hosts may reach the upstream.
            return
        if end.is_broken:
            records = outcomes.crash_records
            is_explained = records.parts.is_refused(request.part_keys)
            if is_explained or records.count(request.fingerprint) >= SHARED_MIN:
                end = msgspec.structs.replace(end, crash_explained=True)
        found = classify(end)
        if self.side is VersionSide.BASELINE and found.reason is Reason.ANSWERED:
            self._learn(end)
        rollout = self.rollout
        if rollout is None or not rollout.is_serving or found.outcome is Outcome.NONE:
            return
        recorder = outcomes.exchange.counts_of(rollout).recorder
        upstream = self.attempt.choice.tracker.id
        recorder.record_end(request.route.name, self.side, upstream, found, at)

    def _learn(self, end: AttemptEnd) -> None:
        """Record times of the old version, which the new one is compared with."""
        route = self._request.route.name
        if self.attempt.choice.assignment is None and end.first_s is not None:
            self.outcomes.call_medians.record(route, end.first_s)
        if end.event_s is not None:
            self.outcomes.event_medians.record(route, end.event_s)
