"""Rolls newly named weights out to the engines of a model, a share of them at a time.

Any host can do this; the lease holder does. An engine gets no new work from just before its order
until it has loaded the weights. Its runs continue meanwhile, under the new weights; waiting
for them to end first leaves engines idle.
"""

import logging
import math
from dataclasses import dataclass

import eventlet
from eventlet.semaphore import Semaphore
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import ModelId, UpstreamId
from ruddersaddle_base.tasks import contain, pause, spawn_forever

from ruddersaddle_serving.fence_leases import MARGIN_S, FenceLease
from ruddersaddle_serving.neighbour_messages import Loaded, LoadedEngine, Loading
from ruddersaddle_serving.neighbours import Neighbours, rank_for_duty
from ruddersaddle_serving.ports import EngineReport, Engines, Order, OrderOutcome
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

POLL_S = 0.2
"""Interval between steps while engines are being updated."""
IDLE_POLL_S = 0.5
"""Interval between steps while all engines have the newest weights; short beside the bound on old
weights, which is 12 s or more."""
CONCURRENT_SHARE = 0.4
"""Largest share of a model's engines that load at the same time; the others carry the traffic.
Where the weights store serves fewer concurrent loads, each takes longer, up to `LOAD_MAX_S`."""
LOAD_S = 2.5
"""Assumed time for which an engine is out of rotation: known kinds of engines load in 0.9 to
1.3 s when few load at once; the rest covers the lag of the engine's report and a busy weights
store."""
BOUND_SHARE = 0.75
"""Share of the bound on old weights within which all engines should be updated; the rest is a
reserve for lost orders and engines that join late."""
PROPAGATION_S = 0.1
"""Time until all hosts have received the message that engines get no new work, by way of the
readers of halls."""
REPORT_POLL_S = 0.25
"""Interval between reads of an engine's report, which itself lags by some hundred milliseconds."""
REPORTS_PER_S = 100
"""Limit on reads of engines' reports while many engines load: each costs a millisecond."""
CALLS_MAX = 8
"""Limit on concurrent calls to engines, so that connections are opened a few at a time."""
LOAD_MAX_S = 6.0
"""Time-out of a load, after which the engine is tried again. A load takes 1.3 s, longer when many
engines load, and waits for runs that must end first."""
ORDER_RETRY_S = 2.5
"""Time after which a load ends as failed if the engine's report shows no load in progress, as when
the order was lost."""
STALLED_S = 2.5
"""A host that is not ranked first acts when the rollout has made no progress for this long, plus
`RANK_DELAY_S` for each host ranked before it."""
RANK_DELAY_S = 0.6
UNREACHED_MAX = 3
"""A holder that can't reach this many engines in a row, though other hosts get responses of them,
leaves the lease to others: it is cut off from engines, but not from the store."""
YIELDS_MAX = 2
"""Holders in a row that may leave the lease at once. If two could not reach engines that respond to
others, the cause is hardly one host's connections."""
KEPT_S = 8.0
"""A further holder leaves it once it has reached no engine for this long: it may be cut off too."""
LATE_MAX_S = 0.1
"""If this process was later than this, a call that failed says nothing about the engine: the
time-out of connecting is 0.3 s."""
RESPONSIVE_S = 2.0
"""An engine responds to other hosts if one of them received something of it within this time: a
call that is not answered fails after half a second, and responses become known in 0.1 to 0.5 s."""
WATCHERS = 4
"""Number of first-ranked hosts that follow the lease during a rollout; each read is a call to the
store."""


@dataclass
class GivenOrders:
    """Orders that this host has given for the newest weights of a model."""

    known_at: float
    """When this host learnt that engines have older weights."""
    first_at: float = 0.0
    last_at: float = 0.0
    count: int = 0

    def record(self, now: float) -> None:
        """Record an order."""
        self.first_at = self.first_at or now
        self.last_at = now
        self.count += 1


class WeightRollouts:
    """The task that gives load orders to engines while this host holds the lease."""

    def __init__(
        self,
        lease: FenceLease,
        weights_s: float,
        publications: Publications,
        upstreams: UpstreamList,
        trackers: Trackers,
        neighbours: Neighbours,
        engines: Engines,
    ) -> None:
        self.lease = lease
        self.weights_s = weights_s
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.neighbours = neighbours
        self.engines = engines
        self.counts = {
            "orders": 0,
            "orders_fenced": 0,
            "loads": 0,
            "yields": 0,
            "unreached": 0,
            "unreached_late": 0,
        }
        self.stopping = False
        self._in_progress: set[UpstreamId] = set()
        """Engines from before their order until all hosts are told that their load has ended."""
        self._ended_by_model: dict[ModelId, list[LoadedEngine]] = {}
        """Engines whose load has ended, to be told to all hosts with the next step."""
        self._calls = Semaphore(CALLS_MAX)
        self._failed_at: dict[UpstreamId, float] = {}
        """When the last load of an engine failed."""
        self._outdated_count_by_model: dict[ModelId, int] = {}
        self._given_by_model: dict[ModelId, GivenOrders] = {}
        self._progressed_at = clocks.now_s()
        self._fenced_until = float("-inf")
        self._late_s = 0.0
        self._wake_due_at = float("inf")
        self._unreached_since = float("inf")
        """When the first of the engines in `_unreached` could not be reached."""
        self._unreached = 0
        """Number of engines in a row that this host can't reach, though other hosts can."""
        self._yielded_until = float("-inf")
        """Until when this host neither acquires nor renews the lease."""

    def start(self) -> None:
        """Start the task."""
        spawn_forever("rollouts", self._run)

    def _run(self) -> None:
        while True:
            for model, version in list(self.publications.version_by_model.items()):
                with contain(f"weights of {model}"):
                    self._advance(model, version)
            is_active = any(self._outdated_count_by_model.values()) or self._in_progress
            self._pause(POLL_S if is_active else IDLE_POLL_S)

    def _pause(self, seconds: float) -> None:
        """Pause, and record how late this task woke."""
        slept_at = clocks.now_s()
        self._wake_due_at = slept_at + seconds
        pause_s = pause(seconds)
        self._late_s = max(0.0, clocks.now_s() - slept_at - pause_s)
        self._wake_due_at = float("inf")

    def _advance(self, model: ModelId, version: int) -> None:
        self._broadcast_ended(model)
        engines = self._engines_of(model)
        outdated = [each for each in engines if each.version_by_model.get(model, 0) < version]
        self._record_progress(model, len(outdated))
        if not outdated:
            self._log_given(model, version)
            return
        self._given_by_model.setdefault(model, GivenOrders(clocks.now_s()))
        slots = self._free_slots(model, engines, outdated)
        waiting = [each for each in outdated if each.id not in self._in_progress]
        if slots <= 0 or not waiting or not self._may_act(model):
            self._watch_lease(model)
            return
        if not self.lease.acquire():
            return
        waiting.sort(key=lambda each: self._priority(each, model))
        chosen = waiting[:slots]
        self._in_progress.update(each.id for each in chosen)
        eventlet.spawn(self._update_engines, chosen, model, version)

    def _log_given(self, model: ModelId, version: int) -> None:
        """Log the orders of this host once all engines have the newest weights."""
        given = self._given_by_model.pop(model, None)
        if given is None or not given.count:
            return
        logger.info(
            "All engines of %s have weights %d: this host gave %d orders, %.1f to %.1f s after it "
            "knew of them.",
            model,
            version,
            given.count,
            given.first_at - given.known_at,
            given.last_at - given.known_at,
        )

    def _watch_lease(self, model: ModelId) -> None:
        """Follow the lease if this host is among the next to take over."""
        if rank_for_duty(model, self.neighbours) < WATCHERS and not self.stopping:
            self.lease.watch()

    def _priority(self, tracker: Tracker, model: ModelId) -> tuple[float, int, int]:
        """Return the sort key of an engine: no failed load, oldest weights, fewest tokens first.

        The bound on the oldest weights expires first; an unresponsive engine must not delay the
        others.
        """
        failed_at = self._failed_at.get(tracker.id, float("-inf"))
        return failed_at, tracker.version_by_model.get(model, 0), tracker.load.tokens

    def _engines_of(self, model: ModelId) -> list[Tracker]:
        """Return the engines that serve a model and are not leaving."""
        entries = self.upstreams.by_id.values()
        found = [each for each in entries if model in each.version_by_model and not each.leaving]
        return [self.trackers.get_or_create(entry) for entry in found]

    def _free_slots(self, model: ModelId, engines: list[Tracker], outdated: list[Tracker]) -> int:
        """Return how many more engines may start loading: no more than the remaining time requires.

        The time counts from the first weights that are newer than those of any engine.
        """
        replaced_s = self.publications.replaced_at_least_s
        known_s = max(replaced_s(model, each.version_by_model.get(model, 0)) for each in outdated)
        left_s = max(LOAD_S, self.weights_s * BOUND_SHARE - known_s)
        needed = math.ceil(len(outdated) * LOAD_S / left_s)
        concurrent_max = max(1, int(len(engines) * CONCURRENT_SHARE))
        busy = sum(
            each.id in self._in_progress or self._is_loading_elsewhere(each) for each in engines
        )
        return min(concurrent_max, needed) - busy

    def _is_loading_elsewhere(self, tracker: Tracker) -> bool:
        """Return whether another host is updating an engine.

        `Loading` messages of another host are ignored once this host holds the lease, so that the
        other can give no more orders, or once there was no progress for a while: the other may be
        suspended or gone.
        """
        is_stalled = clocks.now_s() - self._progressed_at > STALLED_S
        return tracker.is_avoided and not self.lease.is_holder and not is_stalled

    def _record_progress(self, model: ModelId, outdated: int) -> None:
        if self._outdated_count_by_model.get(model, 0) != outdated:
            self._outdated_count_by_model[model] = outdated
            self._progressed_at = clocks.now_s()
        self._progressed_at = max(self._progressed_at, self.neighbours.load_message_at)

    def _may_act(self, model: ModelId) -> bool:
        """Return whether this host is ranked first, or the hosts before it make no progress."""
        now = clocks.now_s()
        if self.stopping or now < max(self._fenced_until, self._yielded_until):
            return False
        if self.lease.is_holder:
            return True
        rank = rank_for_duty(model, self.neighbours)
        if rank == 0:
            return True
        return now - self._progressed_at > STALLED_S + RANK_DELAY_S * rank

    # The engines of a step

    def _update_engines(self, trackers: list[Tracker], model: ModelId, version: int) -> None:
        first, *others = (each.id for each in trackers)
        try:
            self.neighbours.broadcast(Loading(first, LOAD_MAX_S, others=tuple(others)))
            eventlet.sleep(PROPAGATION_S + self.neighbours.loads.lag_s)
        except Exception:
            self._in_progress.difference_update(each.id for each in trackers)
            raise
        for tracker in trackers:
            eventlet.spawn(self._update_engine, tracker, model, version)

    def _broadcast_ended(self, model: ModelId) -> None:
        """Tell all hosts which loads have ended since the last step."""
        ended = self._ended_by_model.pop(model, [])
        if not ended:
            return
        first, *others = ended
        self.neighbours.broadcast(
            Loaded(first.upstream, model, first.version, others=tuple(others))
        )
        self._in_progress.difference_update(each.upstream for each in ended)

    # One engine

    def _update_engine(self, tracker: Tracker, model: ModelId, version: int) -> None:
        # An engine whose load failed takes work again with the weights that it has.
        reached = tracker.version_by_model.get(model, 0)
        try:
            if self._send_order(tracker, model, version) and self._await_version(
                tracker, model, version
            ):
                self.counts["loads"] += 1
                reached = version
            else:
                self._failed_at[tracker.id] = clocks.now_s()
                reached = tracker.version_by_model.get(model, 0)
        finally:
            ended = self._ended_by_model.setdefault(model, [])
            ended.append(LoadedEngine(tracker.id, reached))

    def _read_report(self, tracker: Tracker) -> EngineReport | Failure:
        with self._calls:
            return self.engines.report(tracker.entry.address)

    def _send_order(self, tracker: Tracker, model: ModelId, version: int) -> bool:
        """Send the order; return whether the engine has accepted it or may have."""
        report = self._read_report(tracker)
        if isinstance(report, Failure):
            logger.info(
                "Report of engine %s could not be read. %s",
                tracker.id,
                report.detail,
                extra={"late_ms": round(self.late_s * 1000)},
            )
            self._record_unreached(tracker)
            return False
        self._reset_unreached()
        if clocks.now_s() < self._yielded_until:
            return False
        if report.version_by_model.get(model, 0) >= version or report.loading:
            return True
        if not self.lease.acquire() or not self.lease.may_order:
            return False
        self.counts["orders"] += 1
        self._given_by_model.setdefault(model, GivenOrders(clocks.now_s())).record(clocks.now_s())
        order = Order(
            upstream=tracker.id,
            model=model,
            version=version,
            holder=self.lease.holder,
            fence=self.lease.fence,
            sequence=report.sequence,
        )
        with self._calls:
            outcome = self.engines.order(tracker.entry.address, order)
        if not isinstance(outcome, Failure) and outcome is not OrderOutcome.FENCED:
            self.lease.record_order()
        detail = outcome.detail if isinstance(outcome, Failure) else outcome.value
        logger.info(
            "Order to %s: weights %d of %s, fence %d, sequence %d: %s.",
            tracker.id,
            version,
            model,
            order.fence,
            order.sequence,
            detail,
        )
        if outcome is OrderOutcome.FENCED:
            self.counts["orders_fenced"] += 1
            self._fenced_until = clocks.now_s() + 2 * self.lease.lease_s
        return isinstance(outcome, Failure) or outcome in (
            OrderOutcome.ACCEPTED,
            OrderOutcome.ALREADY_LOADED,
            OrderOutcome.BUSY,
        )

    def _record_unreached(self, tracker: Tracker) -> None:
        """Leave the lease to others if this host alone can't reach engines.

        The next holder has to wait for the lease to expire, so this host must stop renewing it. If
        holders before it have left it as well, the lease stays here for a while: else each host
        would leave it in turn for a cause that they share, and no order would be given.
        """
        now = clocks.now_s()
        if now - tracker.liveness.last_response_at > RESPONSIVE_S or now < self._yielded_until:
            return
        if self.late_s > LATE_MAX_S:
            self.counts["unreached_late"] += 1
            return
        self.counts["unreached"] += 1
        self._unreached += 1
        self._unreached_since = min(self._unreached_since, now)
        unreached_s = now - self._unreached_since
        keeps = self.lease.yields >= YIELDS_MAX and unreached_s < KEPT_S
        if self._unreached < UNREACHED_MAX or keeps:
            return
        self._leave_lease(now, unreached_s)

    def _leave_lease(self, now: float, unreached_s: float) -> None:
        unreached, since = self._unreached, self.lease.held_since
        self._reset_unreached()
        self.counts["yields"] += 1
        self._yielded_until = now + 2 * (self.lease.lease_s + MARGIN_S)
        logger.warning(
            "Lease is left to other hosts for %.1f s: %d engines in a row respond to others only, "
            "for %.1f s; held for %.1f s, %d holders before left it.",
            self._yielded_until - now,
            unreached,
            unreached_s,
            0.0 if since is None else now - since,
            self.lease.yields,
            extra={"late_ms": round(self.late_s * 1000)},
        )
        self.lease.leave()

    def _reset_unreached(self) -> None:
        self._unreached = 0
        self._unreached_since = float("inf")

    @property
    def late_s(self) -> float:
        """How late this task woke last, or has not woken yet, in seconds."""
        return max(self._late_s, clocks.now_s() - self._wake_due_at)

    def _await_version(self, tracker: Tracker, model: ModelId, version: int) -> bool:
        """Wait until the engine reports the new weights; return whether it did."""
        began = clocks.now_s()
        while clocks.now_s() - began < LOAD_MAX_S:
            eventlet.sleep(max(REPORT_POLL_S, len(self._in_progress) / REPORTS_PER_S))
            report = self._read_report(tracker)
            if tracker.id not in self.upstreams.by_id:
                return False
            if isinstance(report, Failure):
                continue
            if report.version_by_model.get(model, 0) >= version:
                tracker.record_version(model, report.version_by_model[model])
                return True
            if not report.loading and clocks.now_s() - began > ORDER_RETRY_S:
                return False
        return False
