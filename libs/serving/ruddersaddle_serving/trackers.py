"""Tracks the load, health and self-reported state of each upstream."""

import logging
from collections.abc import Callable
from enum import Enum
from statistics import median_low

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import PoolId, RequestId, UpstreamId

from ruddersaddle_serving.brittle_pools import BrittlePools, FreeSlots
from ruddersaddle_serving.engine_loads import EngineLoad, EngineMemory
from ruddersaddle_serving.liveness import REPORT_TTL_S, Liveness
from ruddersaddle_serving.prompts import Part
from ruddersaddle_serving.recent_sends import RecentSends
from ruddersaddle_serving.remote_requests import RemoteRequests
from ruddersaddle_serving.routes import RouteTable
from ruddersaddle_serving.self_reports import (
    LeaveNotice,
    LimitChange,
    LimitUpdate,
    ReportedState,
    SelfReport,
)
from ruddersaddle_serving.service_times import ServiceTime
from ruddersaddle_serving.upstream_connections import UpstreamConnections
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance
from ruddersaddle_serving.upstream_paths import PathBelief, ReachedBy, UpstreamPath, UpstreamPaths

logger = logging.getLogger(__name__)

OUTCOME_WEIGHT = 0.2
"""Weight of the latest outcome in the moving failure rate, which covers about the last ten."""
FAILURE_RATE_MAX = 0.35
"""An upstream with a higher failure rate gets no requests while others are available. Healthy
upstreams answer up to a seventh of some kinds of requests with an error of their own."""
FAILURE_HALF_LIFE_S = 3.0
"""The failure rate halves in this time without requests, so that an upstream is tried again."""
CONNECT_BACKOFF_S = 0.5
"""An upstream that refused a connection gets no requests for this long, doubled each time."""
CONNECT_BACKOFF_MAX_S = 4.0
TRIAL_PAUSE_S = 0.5
"""An upstream whose requests fail is tried with a single one this long after the last failure."""
REPORTED_MAX = 1000
"""Instances without an entry for which self-reported state is retained."""
SAME_LISTING_S = 0.5
"""Two upstreams at one address that became known within this time may both be in the first list
that a host reads, which doesn't say which one is older."""


class Progress(Enum):
    """Step of a request at its upstream, or another observation of the upstream."""

    SENT = 0
    FIRST_EVENT = 1
    """The first event of the answer came, so the prefill is done."""
    ENDED = 2
    PROBE_ANSWERED = 3
    """No request: the upstream answered a probe."""
    REPLACED = 4
    """No request: another upstream answers at its address."""
    SELF_REPORTED = 5
    """No step of the request: its answer reported state of the upstream itself."""


class Reachability(Enum):
    """What was received from an upstream before a request ended."""

    RESPONDED = 0
    NO_CONNECTION = 1
    NO_RESPONSE = 2
    """It accepted the request, and no response came, or the response broke off."""


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """Load that a prompt adds to the engine that it is sent to."""

    salt: str
    parts: tuple[Part, ...]
    prefill_s: float
    """Nominal prefill time of the tokens that the engine has not cached, in seconds."""
    tokens: int
    priority: int
    fetch_s: float = 0.0
    """Time to fetch its parts from context stores."""


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """One step of one request at an engine, as hosts send it to one another."""

    upstream: UpstreamId
    number: int
    """Number that the sending host gave the request."""
    progress: Progress
    assignment: Assignment | None = None
    failed: bool | None = None
    """Whether it failed; None if its end says nothing about the upstream."""
    reachability: Reachability = Reachability.NO_RESPONSE
    """What was received from the upstream before it ended."""
    expected_s: float = 0.0
    """With `SENT`: the time within which a response is expected."""
    born_ms: int | None = None
    """Time of birth, which identifies the instance of the upstream; None if it is unknown."""
    limit: LimitUpdate | None = None
    """Rate limit that an answer reported."""
    leave: LeaveNotice | None = None
    """Set if an answer reported that the upstream is leaving."""


class Tracker:
    """State of one upstream instance, from this host's requests and the reports of other hosts."""

    def __init__(
        self,
        entry: UpstreamEntry,
        memory_tokens: int = 0,
        reported: ReportedState | None = None,
        paths: UpstreamPaths | None = None,
        brittle_pools: BrittlePools | None = None,
    ) -> None:
        self.entry = entry
        self.path = UpstreamPath(paths or UpstreamPaths(), entry.id)
        self.connections = UpstreamConnections(entry.address)
        self.in_flight = 0
        self.load = EngineLoad()
        self.memory = EngineMemory(memory_tokens)
        self.version_by_model = dict(entry.version_by_model)
        self.avoided_until = 0.0
        """Until when it is avoided, as the lease holder has it load weights; boot-time clock."""
        self.liveness = Liveness()
        self.sends = RecentSends()
        self.reported = reported or ReportedState()
        self.brittle_pools = brittle_pools or BrittlePools()
        self.free_slots = FreeSlots()
        self.rejected_at = float("-inf")
        """When it last rejected a request of this host for want of room."""
        self.remote_requests = RemoteRequests()
        self._failure_rate = 0.0
        self._outcome_at = clocks.now_s()
        self._failed_at = float("-inf")
        self._reported_failure_rate = 0.0
        self._reported_at = float("-inf")
        self._region_failure_rate = 0.0
        self._region_reported_at = float("-inf")
        self._connect_failures = 0
        self._connect_backoff_until = 0.0
        self.is_replaced = False
        """Whether another upstream answers at its address: this instance has ended for good."""
        self.created_at = clocks.now_s()

    @property
    def id(self) -> UpstreamId:
        """The upstream's id."""
        return self.entry.id

    @property
    def failure_rate(self) -> float:
        """Approximate failure rate of recent requests, observed here or reported by others."""
        age_s = clocks.now_s() - self._region_reported_at
        reported = self._region_failure_rate if age_s < REPORT_TTL_S else 0.0
        return max(self.own_region_failure_rate, reported)

    @property
    def own_region_failure_rate(self) -> float:
        """The failure rate without what other regions report: regions that repeated one another's
        reports would keep an old rate alive."""
        age_s = clocks.now_s() - self._reported_at
        reported = self._reported_failure_rate if age_s < REPORT_TTL_S else 0.0
        return max(self.observed_failure_rate, reported)

    @property
    def observed_failure_rate(self) -> float:
        """Approximate failure rate of the recent requests that this host knows of."""
        idle_s = clocks.now_s() - self._outcome_at
        return self._failure_rate * 0.5 ** (idle_s / FAILURE_HALF_LIFE_S)

    @property
    def is_healthy(self) -> bool:
        """Whether requests to it are likely to be answered."""
        if self.is_replaced or clocks.now_s() < self._connect_backoff_until:
            return False
        if self.path_belief.reached_by is ReachedBy.OTHER_HOSTS:
            return False
        return not self.is_unresponsive and self.failure_rate < FAILURE_RATE_MAX

    @property
    def may_be_tried(self) -> bool:
        """Whether a single request may find out if its requests still fail."""
        is_paused = clocks.now_s() - self._failed_at < TRIAL_PAUSE_S
        return not is_paused and not self.known_in_flight and not self.is_replaced

    @property
    def path_belief(self) -> PathBelief:
        """Which hosts reach it, as far as this host knows."""
        if self.path.lost_at is None:
            return PathBelief(ReachedBy.THIS_HOST)
        return self.path.belief(self.liveness.last_response_at, self.connections.has_idle)

    @property
    def is_unresponsive(self) -> bool:
        """Whether requests were sent to it, and no host has received anything since."""
        return self.liveness.unresponsive_since(clocks.now_s()) is not None

    @property
    def stable_until(self) -> float:
        """Until when load and responsiveness stay the same if nothing is reported; boot time."""
        return min(self.load.next_expiry_at, self.liveness.next_due_at)

    @property
    def is_avoided(self) -> bool:
        """Whether it is loading weights or about to."""
        return clocks.now_s() < self.avoided_until

    def record_outcome(self, failed: bool) -> None:
        """Record whether a request failed."""
        rate = self.observed_failure_rate
        self._failure_rate = rate + OUTCOME_WEIGHT * (float(failed) - rate)
        self._outcome_at = clocks.now_s()
        if failed:
            self._failed_at = clocks.now_s()
        else:
            self._connect_failures = 0

    def apply_failure_rate(self, rate: float) -> None:
        """Apply the approximate failure rate that another host observed."""
        self._reported_failure_rate = rate
        self._reported_at = clocks.now_s()

    def apply_region_failure_rate(self, rate: float) -> None:
        """Apply the approximate failure rate that another region reports."""
        self._region_failure_rate = rate
        self._region_reported_at = clocks.now_s()

    def record_replaced(self) -> None:
        """Record that another upstream answers at this one's address.

        The entry remains for some seconds. Requests are refused immediately, so that the upstream
        looks idle and would attract all load. Without sharing this between hosts, three restarts of
        a third of 50 engines caused 850 of 5,000 prompts to be refused within 9 s.
        """
        if not self.is_replaced:
            logger.info("Upstream %s is gone; another upstream answers at its address.", self.id)
        self.is_replaced = True

    def record_reached(self) -> None:
        """Record that this host has received something from it, or opened a connection to it."""
        self.path.record_reached()
        self._connect_failures = 0
        self._connect_backoff_until = 0.0

    def record_stalled(self) -> None:
        """Record that bytes sent to it are not acknowledged, so that open connections are dead."""
        self.path.record_stalled()
        self.connections.close()

    def record_connect_failure(self) -> None:
        """Record that no connection could be opened."""
        self.path.record_refused(is_known_down=self.is_unresponsive)
        backoff_s = min(CONNECT_BACKOFF_MAX_S, CONNECT_BACKOFF_S * 2**self._connect_failures)
        self._connect_failures += 1
        self._connect_backoff_until = clocks.now_s() + backoff_s

    def apply_notice(self, host: str, notice: Notice) -> None:
        """Apply a notice of this host or of another one."""
        if (
            None not in (notice.born_ms, self.entry.born_ms)
            and notice.born_ms != self.entry.born_ms
        ):
            # A notice that an earlier instance was replaced would exclude this one for good.
            return
        request_key = (host, notice.number)
        now = clocks.now_s()
        match notice.progress:
            case Progress.SENT:
                self.liveness.record_sent(request_key, now, notice.expected_s)
                if notice.assignment is not None:
                    self._add_load(request_key, notice.assignment)
            case Progress.FIRST_EVENT:
                self.liveness.record_response(now)
                self.load.record_first_event(request_key)
            case Progress.ENDED:
                self._record_reachability(request_key, notice.reachability, now)
                self.load.end(request_key)
                if notice.failed is not None:
                    self.record_outcome(notice.failed)
            case Progress.PROBE_ANSWERED:
                self.liveness.record_response(now)
            case Progress.REPLACED:
                self.record_replaced()
            case Progress.SELF_REPORTED:
                self.apply_limit(notice.limit, host, is_first_hand=True)

    def _add_load(self, request_key: tuple[str, int], assignment: Assignment) -> None:
        self.memory.record_use(assignment.salt, assignment.parts)
        self.load.add(
            request_key,
            assignment.priority,
            assignment.prefill_s,
            assignment.tokens,
            assignment.fetch_s,
            self.memory.capacity_tokens,
            assignment.salt,
            assignment.parts,
        )

    def apply_self_report(
        self, report: SelfReport, request: RequestId | None, is_ordinary: bool
    ) -> Notice | None:
        """Apply what an answer reports of the upstream; return the notice for all hosts.

        `request` is None if the answer is to one of this host's own calls.
        """
        self._apply_backoff(report.backoff_s, request)
        self._apply_brittleness(report.brittle_rejections, request, is_ordinary)
        if isinstance(report.limit_per_s, Failure):
            self._warn_malformed(report.limit_per_s, request)
        limit = self.reported.rate_limit.limit_update(report, request, is_ordinary)
        if limit is None and not report.leaving:
            return None
        instance = self.entry.instance
        leave = LeaveNotice(request) if report.leaving else None
        return Notice(
            instance.id,
            0,
            Progress.SELF_REPORTED,
            born_ms=instance.born_ms,
            limit=limit,
            leave=leave,
        )

    def _apply_backoff(self, backoff_s: float | Failure, request: RequestId | None) -> None:
        if isinstance(backoff_s, Failure):
            self._warn_malformed(backoff_s, request)
        elif self.reported.back_off(backoff_s):
            logger.info(
                "Upstream %s asked for a backoff of %.1f s.",
                self.entry.instance,
                backoff_s,
                extra={"request": request},
            )

    def _apply_brittleness(
        self,
        rejections: float | None | Failure,
        request: RequestId | None,
        is_ordinary: bool,
    ) -> None:
        match rejections:
            case Failure():
                self._warn_malformed(rejections, request)
                self.brittle_pools.record_brittle(self.entry.pool, 0.0)
            case None if is_ordinary:
                self.brittle_pools.record_ordinary(self.entry.pool)
            case float():
                self.brittle_pools.record_brittle(self.entry.pool, rejections)

    def record_rejection(self) -> None:
        """Record that it rejected a request for want of room."""
        self.rejected_at = clocks.now_s()

    @property
    def known_in_flight(self) -> int:
        """Requests under way at it, of all hosts as far as this one knows."""
        return max(self.in_flight + self.remote_requests.count(), self.load.request_count)

    def _warn_malformed(self, failure: Failure, request: RequestId | None) -> None:
        logger.warning(
            "Self-report in an answer of upstream %s is malformed: %s.",
            self.entry.instance,
            failure.detail,
            extra={"request": request},
        )

    def apply_limit(self, update: LimitUpdate | None, reporter: str, is_first_hand: bool) -> None:
        """Apply the upstream's rate limit as reported by a host, first hand or not."""
        if update is None:
            return
        change = self.reported.rate_limit.apply(update, is_first_hand)
        if change is not LimitChange.NONE:
            logger.info(
                "Rate limit of upstream %s has %s: %.2f requests a second.",
                self.entry.instance,
                change.value,
                update.per_s,
                extra={
                    "request": update.request,
                    "told_by": reporter,
                    "told_age_ms": round(update.age_s * 1000),
                },
            )

    def _record_reachability(
        self, request_key: tuple[str, int], reachability: Reachability, now: float
    ) -> None:
        match reachability:
            case Reachability.RESPONDED:
                self.liveness.record_response(now)
            case Reachability.NO_CONNECTION:
                self.liveness.record_connect_failure(request_key)
            case Reachability.NO_RESPONSE:
                self.liveness.record_abandoned(request_key, now)

    def apply_entry(self, entry: UpstreamEntry) -> None:
        """Apply a newer entry; versions of weights never go back within one instance."""
        self.entry = entry
        for model, version in entry.version_by_model.items():
            self.record_version(model, version)

    def record_version(self, model: str, version: int) -> None:
        """Record that the upstream has loaded these weights of a model."""
        known = self.version_by_model.get(model, 0)
        if version > known:
            self.version_by_model[model] = version
            self.memory.clear()


class Trackers:
    """Trackers of all upstreams that have an entry, by id."""

    def __init__(self) -> None:
        self.by_id: dict[UpstreamId, Tracker] = {}
        self.paths = UpstreamPaths()
        self.brittle_pools = BrittlePools()
        self.listeners: list[Callable[[Tracker], None]] = []
        """Called synchronously after a tracker was created."""
        self._reported_by_instance: dict[UpstreamInstance, ReportedState] = {}
        """State reported by instances whose entries were removed, latest last; entries may
        return."""
        self._memory_by_pool: dict[PoolId, int] = {}

    def apply_table(self, table: RouteTable) -> None:
        """Apply the memory sizes of engines from a configuration."""
        self._memory_by_pool = {
            pool.id: pool.engine.cache_tokens
            for pool in table.published.pools
            if pool.engine is not None
        }
        for tracker in self.by_id.values():
            tracker.memory.capacity_tokens = self._memory_tokens(tracker.entry)

    def _memory_tokens(self, entry: UpstreamEntry) -> int:
        return self._memory_by_pool.get(entry.pool, 0)

    def get_or_create(self, entry: UpstreamEntry) -> Tracker:
        """Return the tracker of an entry; a new instance gets a new one."""
        tracker = self.by_id.get(entry.id)
        if tracker is None or entry.is_later_than(tracker.entry):
            # State of an earlier instance doesn't apply to this one. Requests in flight keep the
            # tracker that they started with.
            if tracker is not None:
                tracker.connections.close()
            reported = self._reported_by_instance.pop(entry.instance, None)
            tracker = Tracker(
                entry, self._memory_tokens(entry), reported, self.paths, self.brittle_pools
            )
            tracker.load.service_time = self._typical_service_time(entry.pool)
            self._mark_predecessors_replaced(tracker)
            self.by_id[entry.id] = tracker
            for listener in self.listeners:
                listener(tracker)
        elif tracker.entry is not entry:
            tracker.apply_entry(entry)
        return tracker

    def _mark_predecessors_replaced(self, tracker: Tracker) -> None:
        """Mark upstreams as replaced that were at the address of a new one."""
        for each in self.by_id.values():
            is_older = tracker.created_at - each.created_at > SAME_LISTING_S
            if is_older and each.entry.address == tracker.entry.address:
                each.record_replaced()

    def _typical_service_time(self, pool: PoolId) -> ServiceTime:
        """Return the median service time of a pool's engines, the initial value for a new one."""
        service_times = [
            each.load.service_time for each in self.by_id.values() if each.entry.pool == pool
        ]
        if not service_times:
            return ServiceTime()
        prefill_factor = median_low([each.prefill_factor for each in service_times])
        return ServiceTime(prefill_factor, median_low([each.overhead_s for each in service_times]))

    def keep_only(self, upstreams: set[UpstreamId]) -> None:
        """Remove upstreams that are gone and have no request in flight."""
        for gone in set(self.by_id) - upstreams:
            if not self.by_id[gone].in_flight:
                self._forget(self.by_id.pop(gone))
        self.paths.keep_only(set(self.by_id))

    def _forget(self, tracker: Tracker) -> None:
        tracker.connections.close()
        if tracker.reported.is_bounding:
            self._reported_by_instance[tracker.entry.instance] = tracker.reported
        if len(self._reported_by_instance) > REPORTED_MAX:
            del self._reported_by_instance[next(iter(self._reported_by_instance))]

    def close_expired(self) -> None:
        """Close idle connections that are too old."""
        for tracker in self.by_id.values():
            tracker.connections.close_expired()
