"""Brings engines to newly named weights, a share of them at a time.

Any host may do this; the holder of the lease does. An engine gets no new work from just before its
order until it has loaded. Its runs go on meanwhile under the new weights; waiting for them to end
first kept engines idle and measured 0.04 of worth less on days with new weights.
"""

import logging
import math

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import ModelId, UpstreamId

from ruddersaddle_serving.fence_leases import FenceLease
from ruddersaddle_serving.neighbour_messages import Loaded, Loading
from ruddersaddle_serving.neighbours import Neighbours, place_in_line
from ruddersaddle_serving.ports import Engines, Order, OrderOutcome
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.tasks import spawn_forever
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

LOOK_S = 0.2
"""Pause between looks while engines are brought to new weights."""
IDLE_LOOK_S = 0.5
"""Pause between looks while all engines have the newest weights; the bound is 12 s and more."""
AT_ONCE_SHARE = 0.4
"""Share of a pool's engines that load at once; the rest carries the traffic. Where the store of
weights serves fewer at once, each load takes longer, up to `LOAD_MAX_S`."""
LOAD_S = 2.5
"""How long an engine is out of rotation: the known kinds load in 0.9 to 1.3 s when few do at once;
the rest is the lag of its report, and for a store of weights that is busy."""
TIME_SHARE = 0.75
"""Share of the bound on old weights within which all engines are to be brought over; the rest is
left for orders that are lost and engines that come late."""
TELL_S = 0.05
"""Until all hosts have heard that an engine gets no new work."""
REPORT_S = 0.25
"""Pause between looks at an engine's report, which is some hundred milliseconds old itself."""
LOAD_MAX_S = 6.0
"""An engine that does not show the new weights after this long is tried again. A load takes 1.3 s,
longer when many load, and waits for runs that have to end."""
UNANSWERED_S = 2.5
"""An order without an answer is given again after this long if the engine shows no sign of it."""
STALLED_S = 2.5
"""A host that is not first in line for the lease acts when nothing has moved for this long, and for
`RANK_S` longer for each host before it."""
RANK_S = 0.6
WATCHERS = 4
"""Hosts first in line that follow the lease while engines are brought to new weights; each read is
a call to the store."""


class WeightRollouts:
    """The task that gives orders while this host holds the lease."""

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
        self.counts = {"orders": 0, "orders_fenced": 0, "loads": 0}
        self.stopping = False
        self._begun: set[UpstreamId] = set()
        self._failed_at: dict[UpstreamId, float] = {}
        """When an engine was last tried in vain."""
        self._left: dict[ModelId, int] = {}
        self._moved_at = clocks.now_s()
        self._fenced_until = float("-inf")

    def start(self) -> None:
        """Start the task."""
        spawn_forever("rollouts", self._run)

    def _run(self) -> None:
        while True:
            for model, version in list(self.publications.version_by_model.items()):
                self._look(model, version)
            eventlet.sleep(LOOK_S if any(self._left.values()) else IDLE_LOOK_S)

    def _look(self, model: ModelId, version: int) -> None:
        engines = self._engines_of(model)
        outdated = [each for each in engines if each.version_by_model.get(model, 0) < version]
        self._note_progress(model, len(outdated))
        if not outdated:
            return
        room = self._room(model, engines, outdated)
        waiting = [each for each in outdated if each.id not in self._begun]
        if room <= 0 or not waiting or not self._is_in_turn(model):
            self._watch_lease(model)
            return
        if not self.lease.take():
            return
        waiting.sort(key=lambda each: self._turn(each, model))
        for tracker in waiting[:room]:
            self._begun.add(tracker.id)
            eventlet.spawn(self._bring, tracker, model, version)

    def _watch_lease(self, model: ModelId) -> None:
        """Follow the lease if this host is among the next in line."""
        if place_in_line(model, self.neighbours) < WATCHERS and not self.stopping:
            self.lease.watch()

    def _turn(self, tracker: Tracker, model: ModelId) -> tuple[float, int, int]:
        """Order engines: those that were not tried in vain, then the oldest weights, the emptiest.

        The bound on the oldest weights ends first; a silent engine must not hold up the others.
        """
        failed_at = self._failed_at.get(tracker.id, float("-inf"))
        return failed_at, tracker.version_by_model.get(model, 0), tracker.load.tokens

    def _engines_of(self, model: ModelId) -> list[Tracker]:
        """Return the engines that have a model and stay."""
        entries = self.upstreams.by_id.values()
        found = [each for each in entries if model in each.version_by_model and not each.leaving]
        return [self.trackers.get_or_create(entry) for entry in found]

    def _room(self, model: ModelId, engines: list[Tracker], outdated: list[Tracker]) -> int:
        """Return how many engines more may begin: no more at once than the time asks for.

        The time counts from the first weights that are newer than those of any engine.
        """
        replaced_s = self.publications.replaced_at_least_s
        known_s = max(replaced_s(model, each.version_by_model.get(model, 0)) for each in outdated)
        left_s = max(LOAD_S, self.weights_s * TIME_SHARE - known_s)
        needed = math.ceil(len(outdated) * LOAD_S / left_s)
        most = max(1, int(len(engines) * AT_ONCE_SHARE))
        busy = sum(each.id in self._begun or self._is_with_other(each) for each in engines)
        return min(most, needed) - busy

    def _is_with_other(self, tracker: Tracker) -> bool:
        """Return whether another host is loading an engine.

        Its marks hold up nobody once it can give no orders any more, because this host has the
        lease, or once it has done nothing for a while: it may be frozen or gone.
        """
        is_stalled = clocks.now_s() - self._moved_at > STALLED_S
        return tracker.is_avoided and not self.lease.is_holder and not is_stalled

    def _note_progress(self, model: ModelId, left: int) -> None:
        if self._left.get(model, 0) != left:
            self._left[model] = left
            self._moved_at = clocks.now_s()
        self._moved_at = max(self._moved_at, self.neighbours.news_at)

    def _is_in_turn(self, model: ModelId) -> bool:
        """Return whether this host is first in line, or those before it do nothing."""
        now = clocks.now_s()
        if self.stopping or now < self._fenced_until:
            return False
        if self.lease.is_holder:
            return True
        rank = place_in_line(model, self.neighbours)
        if rank == 0:
            return True
        return now - self._moved_at > STALLED_S + RANK_S * rank

    # One engine

    def _bring(self, tracker: Tracker, model: ModelId, version: int) -> None:
        try:
            self.neighbours.tell_all(Loading(tracker.id, LOAD_MAX_S))
            eventlet.sleep(TELL_S + self.neighbours.loads.lag_s)
            if self._order(tracker, model, version) and self._await_version(
                tracker, model, version
            ):
                self.counts["loads"] += 1
                self.neighbours.tell_all(Loaded(tracker.id, model, version))
                return
            self._failed_at[tracker.id] = clocks.now_s()
            # It takes work again on the weights that it has, until it is tried again.
            held = tracker.version_by_model.get(model, 0)
            self.neighbours.tell_all(Loaded(tracker.id, model, held))
        finally:
            self._begun.discard(tracker.id)

    def _order(self, tracker: Tracker, model: ModelId, version: int) -> bool:
        """Give the order; return whether the engine has taken it or may have."""
        report = self.engines.report(tracker.entry.address)
        if isinstance(report, Failure):
            logger.info("Engine %s gives no report. %s", tracker.id, report.detail)
            return False
        if report.version_by_model.get(model, 0) >= version or report.loading:
            return True
        if not self.lease.take() or not self.lease.may_order:
            return False
        self.counts["orders"] += 1
        order = Order(
            upstream=tracker.id,
            model=model,
            version=version,
            holder=self.lease.holder,
            fence=self.lease.fence,
            sequence=report.sequence,
        )
        outcome = self.engines.order(tracker.entry.address, order)
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
            OrderOutcome.TAKEN,
            OrderOutcome.HOLDS,
            OrderOutcome.BUSY,
        )

    def _await_version(self, tracker: Tracker, model: ModelId, version: int) -> bool:
        """Wait for the new weights; return whether the engine shows them."""
        began = clocks.now_s()
        while clocks.now_s() - began < LOAD_MAX_S:
            eventlet.sleep(REPORT_S)
            report = self.engines.report(tracker.entry.address)
            if tracker.id not in self.upstreams.by_id:
                return False
            if isinstance(report, Failure):
                continue
            if report.version_by_model.get(model, 0) >= version:
                tracker.record_version(model, report.version_by_model[model])
                return True
            if not report.loading and clocks.now_s() - began > UNANSWERED_S:
                return False
        return False
