"""Counts of a rollout: requests sent, and good, failed and slow answers, by route and side.

Counts are cumulative, so that a lost or repeated message does no harm. Those of one host process
are merged by maximum, those of different processes are added.
"""

import operator
from collections.abc import Callable, Collection, Iterable
from typing import NewType

import msgspec
from ruddersaddle_base.ids import Incarnation, UpstreamId

from ruddersaddle_serving.rollouts.evidence import Classification, Outcome, Reason
from ruddersaddle_serving.rollouts.orders import VersionSide
from ruddersaddle_serving.routes import RouteName

BURST_S = 1.0
"""Broken connections to one upstream within this time of one another count once: the crash of an
engine breaks all of its streams, and hosts see that within some hundred milliseconds."""

OrderId = NewType("OrderId", str)
"""Identifies an order by service, target version and position; its form is up to the caller."""

Combine = Callable[[int, int], int]


def _difference(later: int, earlier: int) -> int:
    """Return the growth; 0 if counts of a process that ended are missing from the later ones."""
    return max(0, later - earlier)


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Requests sent, and what their answers showed; answers without evidence are only sent."""

    sent: int = 0
    good: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        """Answers that failed or were slow."""
        return self.failed + self.slow

    @property
    def judged(self) -> int:
        """Answers that were evidence, good or bad."""
        return self.good + self.failed + self.slow

    def combine(self, other: "Tally", combine: Combine) -> "Tally":
        """Return the tally of pairwise combined counts."""
        return Tally(
            combine(self.sent, other.sent),
            combine(self.good, other.good),
            combine(self.failed, other.failed),
            combine(self.slow, other.slow),
        )


_ZERO = Tally()


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one route; `requests` reached the service, each once however often it was sent."""

    requests: int = 0
    baseline: Tally = _ZERO
    target_by_upstream: dict[UpstreamId, Tally] = {}

    @property
    def target(self) -> Tally:
        """Counts of all upstreams of the target version."""
        return self.target_without(())

    def target_without(self, excluded: Collection[UpstreamId]) -> Tally:
        """Return the counts of the target's upstreams other than `excluded`."""
        total = _ZERO
        for upstream, tally in self.target_by_upstream.items():
            if upstream not in excluded:
                total = total.combine(tally, operator.add)
        return total

    def combine(self, other: "RouteCounts", combine: Combine) -> "RouteCounts":
        """Return the route's counts with pairwise combined numbers."""
        mine, others = self.target_by_upstream, other.target_by_upstream
        return RouteCounts(
            combine(self.requests, other.requests),
            self.baseline.combine(other.baseline, combine),
            {
                each: mine.get(each, _ZERO).combine(others.get(each, _ZERO), combine)
                for each in [*mine, *(each for each in others if each not in mine)]
            },
        )


_NO_COUNTS = RouteCounts()


def _combine_routes(
    mine: dict[RouteName, RouteCounts], others: dict[RouteName, RouteCounts], combine: Combine
) -> dict[RouteName, RouteCounts]:
    return {
        route: mine.get(route, _NO_COUNTS).combine(others.get(route, _NO_COUNTS), combine)
        for route in [*mine, *(each for each in others if each not in mine)]
    }


def _combine_breaks(
    mine: dict[UpstreamId, int], others: dict[UpstreamId, int], combine: Combine
) -> dict[UpstreamId, int]:
    return {each: combine(mine.get(each, 0), others.get(each, 0)) for each in {**mine, **others}}


class RolloutCounts(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative counts of one host process for one order."""

    process: Incarnation
    order: OrderId
    by_route: dict[RouteName, RouteCounts] = {}
    baseline_breaks: dict[UpstreamId, int] = {}
    """Bursts of broken connections by upstream, as this process saw them."""
    target_breaks: dict[UpstreamId, int] = {}

    def merge(self, other: "RolloutCounts") -> "RolloutCounts":
        """Return the newest counts of two reports by the same process."""
        return RolloutCounts(
            self.process,
            self.order,
            _combine_routes(self.by_route, other.by_route, max),
            _combine_breaks(self.baseline_breaks, other.baseline_breaks, max),
            _combine_breaks(self.target_breaks, other.target_breaks, max),
        )


class RolloutTotals(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one order over several processes.

    `carried_requests` and `carried_sent` are those that no process remembers, taken from the newest
    record after all hosts lost power.
    """

    order: OrderId
    by_route: dict[RouteName, RouteCounts] = {}
    baseline_breaks: dict[UpstreamId, int] = {}
    """Bursts of broken connections by upstream: the most that one process saw."""
    target_breaks: dict[UpstreamId, int] = {}
    carried_requests: int = 0
    carried_sent: int = 0

    @classmethod
    def from_counts(cls, order: OrderId, counts: Iterable[RolloutCounts]) -> "RolloutTotals":
        """Return the sum over different processes; counts of other orders are ignored."""
        total = cls(order)
        for each in counts:
            if each.order == order:
                total = total._plus(each)
        return total

    def plus(self, other: "RolloutTotals") -> "RolloutTotals":
        """Return the sum of totals over disjoint sets of processes, for example of two halls."""
        added = self._plus(other)
        return msgspec.structs.replace(
            added,
            carried_requests=max(self.carried_requests, other.carried_requests),
            carried_sent=max(self.carried_sent, other.carried_sent),
        )

    def _plus(self, other: "RolloutCounts | RolloutTotals") -> "RolloutTotals":
        # Several processes see the same crash, so breaks are not added.
        return msgspec.structs.replace(
            self,
            by_route=_combine_routes(self.by_route, other.by_route, operator.add),
            baseline_breaks=_combine_breaks(self.baseline_breaks, other.baseline_breaks, max),
            target_breaks=_combine_breaks(self.target_breaks, other.target_breaks, max),
        )

    def since(self, earlier: "RolloutTotals") -> "RolloutTotals":
        """Return the growth since earlier totals of the same order, without what was carried."""
        return RolloutTotals(
            self.order,
            _combine_routes(self.by_route, earlier.by_route, _difference),
            _combine_breaks(self.baseline_breaks, earlier.baseline_breaks, _difference),
            _combine_breaks(self.target_breaks, earlier.target_breaks, _difference),
        )

    @property
    def requests(self) -> int:
        """Requests that reached the service since the order."""
        return self.carried_requests + sum(each.requests for each in self.by_route.values())

    @property
    def target_sent(self) -> int:
        """Requests sent to the target version since the order."""
        return self.carried_sent + sum(each.target.sent for each in self.by_route.values())


class CountRecorder:
    """Records what one host process sends and receives for one order."""

    def __init__(self, process: Incarnation, order: OrderId) -> None:
        self.process = process
        self.order = order
        self._requests_by_route: dict[RouteName, int] = {}
        self._baseline_by_route: dict[RouteName, list[int]] = {}
        self._target_by_route: dict[RouteName, dict[UpstreamId, list[int]]] = {}
        self._breaks_by_side: dict[VersionSide, dict[UpstreamId, int]] = {
            VersionSide.BASELINE: {},
            VersionSide.TARGET: {},
        }
        self._broken_at: dict[UpstreamId, float] = {}

    def record_request(self, route: RouteName) -> None:
        """Record a request that reached the service, before it is sent anywhere."""
        self._requests_by_route[route] = self._requests_by_route.get(route, 0) + 1

    def record_sent(self, route: RouteName, side: VersionSide, upstream: UpstreamId) -> None:
        """Record that a request is sent to an upstream."""
        counters = self._counters(route, side, upstream)
        if counters is not None:
            counters[0] += 1

    def record_end(
        self,
        route: RouteName,
        side: VersionSide,
        upstream: UpstreamId,
        end: Classification,
        now_s: float,
    ) -> None:
        """Record how an attempt ended, at `now_s` by a steady clock."""
        counters = self._counters(route, side, upstream)
        if counters is None:
            return
        if end.reason is Reason.BROKEN:
            self._record_break(side, upstream, now_s)
            return
        match end.outcome:
            case Outcome.GOOD:
                counters[1] += 1
            case Outcome.FAILED:
                counters[2] += 1
            case Outcome.SLOW:
                counters[3] += 1
            case Outcome.NONE:
                pass

    def _record_break(self, side: VersionSide, upstream: UpstreamId, now_s: float) -> None:
        last_at = self._broken_at.get(upstream)
        self._broken_at[upstream] = now_s
        if last_at is None or now_s - last_at > BURST_S:
            breaks = self._breaks_by_side[side]
            breaks[upstream] = breaks.get(upstream, 0) + 1

    def _counters(
        self, route: RouteName, side: VersionSide, upstream: UpstreamId
    ) -> list[int] | None:
        """Return sent, good, failed and slow; None for a version that is not part of the order."""
        match side:
            case VersionSide.BASELINE:
                return self._baseline_by_route.setdefault(route, [0, 0, 0, 0])
            case VersionSide.TARGET:
                upstreams = self._target_by_route.setdefault(route, {})
                return upstreams.setdefault(upstream, [0, 0, 0, 0])
            case VersionSide.UNPROVEN:
                return None

    def counts(self) -> RolloutCounts:
        """Return the counts as of now."""
        routes = {**self._requests_by_route, **self._baseline_by_route, **self._target_by_route}
        return RolloutCounts(
            self.process,
            self.order,
            {
                route: RouteCounts(
                    self._requests_by_route.get(route, 0),
                    Tally(*self._baseline_by_route.get(route, ())),
                    {
                        upstream: Tally(*counters)
                        for upstream, counters in self._target_by_route.get(route, {}).items()
                    },
                )
                for route in routes
            },
            dict(self._breaks_by_side[VersionSide.BASELINE]),
            dict(self._breaks_by_side[VersionSide.TARGET]),
        )
