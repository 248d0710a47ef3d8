"""What one host makes of the totals of an order: verdict, shares, and its own allowance."""

import logging
from collections.abc import Callable

from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.rollouts.counts import RolloutCounts
from ruddersaddle_serving.rollouts.exchanges import RolloutExchange
from ruddersaddle_serving.rollouts.exposures import HostAllowance
from ruddersaddle_serving.rollouts.order_books import OrderBook, Rollout
from ruddersaddle_serving.rollouts.orders import ExposureLimits, Stop, VersionSide
from ruddersaddle_serving.rollouts.schedules import (
    SharePlan,
    choose_upstreams,
    host_allowance,
    plan,
)
from ruddersaddle_serving.rollouts.situations import RequestRates, RouteTraits, Situation
from ruddersaddle_serving.rollouts.verdicts import Assessment, CountHistory, SideCapacity, assess
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

NOTHING = HostAllowance(0.0, 0.0)


class PoolPlan:
    """The plan of one order at this host, from its newest totals and grant."""

    def __init__(self, rollout: Rollout) -> None:
        self.rollout = rollout
        self.history = CountHistory(rollout.duration_s)
        self.rates = RequestRates()
        self.assessment = Assessment()
        self.shares: SharePlan | None = None
        self.situation: Situation | None = None
        self.allowance = NOTHING
        self.own: RolloutCounts | None = None
        """This host's counts as the totals contain them."""
        self.chosen: frozenset[UpstreamId] = frozenset()
        """The target's upstreams that get requests."""

    def share_of(self, route: str) -> float:
        """Return the share of a route's requests that goes to the target."""
        return 0.0 if self.shares is None else self.shares.share_by_route.get(route, 0.0)

    def permits(self, now: RolloutCounts) -> bool:
        """Return whether this host, with its counts as of now, may send to the target."""
        if self.own is None:
            return False
        sent = _target_sent(now) - _target_sent(self.own)
        return self.allowance.permits(sent, _requests(now) - _requests(self.own))


class PoolPlans:
    """The plans of all orders in force, refreshed whenever counts were exchanged."""

    def __init__(
        self,
        limits: ExposureLimits,
        book: OrderBook,
        exchange: RolloutExchange,
        publications: Publications,
        upstreams: UpstreamList,
        is_usable: Callable[[UpstreamEntry], bool],
    ) -> None:
        self.limits = limits
        self.book = book
        self.exchange = exchange
        self.publications = publications
        self.upstreams = upstreams
        self.is_usable = is_usable
        self._by_rollout: dict[Rollout, PoolPlan] = {}

    def plan_of(self, rollout: Rollout) -> PoolPlan:
        """Return the plan of an order."""
        found = self._by_rollout.get(rollout)
        if found is None:
            known = set(self.book.by_pool.values())
            kept = {each: plan for each, plan in self._by_rollout.items() if each in known}
            found = kept[rollout] = PoolPlan(rollout)
            self._by_rollout = kept
        return found

    def refresh(self, rollout: Rollout, decides_moves: bool = False) -> PoolPlan:
        """Judge the newest totals of an order, and compute shares and allowance from them."""
        each = self.plan_of(rollout)
        self.book.record_versions(rollout)
        counts = self.exchange.counts_of(rollout)
        each.history.record(rollout.elapsed_s, counts.totals)
        each.rates.record(rollout.elapsed_s, counts.totals)
        target = self._usable(rollout, VersionSide.TARGET)
        self._assess(each, len(target))
        each.situation = self._situation(each, target, decides_moves)
        planned = plan(each.situation)
        is_old_usable = each.situation.baseline.upstreams > 0
        may_grow = decides_moves or self.exchange.fresh_grant(rollout) is not None
        if is_old_usable and not may_grow:
            planned = planned.without_growth(each.shares)
        self._log_phase(each, planned)
        each.shares = planned
        own_share = _requests(counts.own) / max(1, counts.totals.requests)
        each.allowance = host_allowance(each.situation, planned, min(1.0, own_share))
        each.own = counts.own
        ids = [entry.id for entry in target]
        suspects = each.assessment.suspects
        number = planned.sample_upstreams
        each.chosen = choose_upstreams(counts.recorder.order, ids, suspects, number)
        return each

    def _assess(self, each: PoolPlan, upstreams: int) -> None:
        rollout = each.rollout
        totals = self.exchange.counts_of(rollout).totals
        before = each.assessment.suspects
        each.assessment = assess(each.history, totals, upstreams, before)
        for upstream in sorted(each.assessment.suspects - before):
            logger.warning(
                "Upstream %s of %s is suspect: %s.", upstream, rollout.id, each.assessment.reason
            )
        if each.assessment.is_bad and not rollout.is_return:
            by = self.exchange.hosts.own.address
            self.book.stop(rollout, Stop(each.assessment.reason, by))

    def _situation(
        self, each: PoolPlan, target: list[UpstreamEntry], decides_moves: bool
    ) -> Situation:
        rollout = each.rollout
        counts = self.exchange.counts_of(rollout)
        trusted = [entry for entry in target if entry.id not in each.assessment.suspects]
        return Situation(
            duration_s=rollout.duration_s,
            elapsed_s=rollout.elapsed_s,
            limits=self.limits,
            totals=counts.totals,
            traits=self.traits(rollout),
            baseline=capacity_of(self._usable(rollout, VersionSide.BASELINE)),
            target=capacity_of(trusted),
            rate_by_route=each.rates.by_route(),
            shifted=frozenset() if counts.grant is None else frozenset(counts.grant.shifted),
            decides_moves=decides_moves,
            is_suspicious=each.assessment.is_suspicious,
            totals_age_s=self.exchange.age_s(rollout),
        )

    def traits(self, rollout: Rollout) -> tuple[RouteTraits, ...]:
        """Return the routes that send to an order's pool."""
        table = self.publications.table
        routes = () if table is None else table.published.routes
        return tuple(
            RouteTraits.from_route(route)
            for route in routes
            if any(target.pool == rollout.id.pool for target in route.targets)
        )

    def _usable(self, rollout: Rollout, side: VersionSide) -> list[UpstreamEntry]:
        evacuations = self.publications.evacuations
        return [
            entry
            for entry in self.upstreams.of_pool(rollout.id.pool)
            if rollout.side_of(entry) is side
            and not evacuations.is_in_force(entry.hall)
            and self.is_usable(entry)
        ]

    def _log_phase(self, each: PoolPlan, planned: SharePlan) -> None:
        before = each.shares
        if before is None or (before.phase, before.shifted) != (planned.phase, planned.shifted):
            counts = self.exchange.counts_of(each.rollout).totals
            logger.info(
                "Rollout %s: %s after %.1f s, routes moved: %s.",
                each.rollout.id,
                planned.phase.value,
                each.rollout.elapsed_s,
                ", ".join(sorted(planned.shifted)) or "none",
                extra={"requests": counts.requests, "target_sent": counts.target_sent},
            )


def capacity_of(entries: list[UpstreamEntry]) -> SideCapacity:
    """Return the number and the slots of some upstreams."""
    return SideCapacity(len(entries), sum(entry.slots for entry in entries))


def _target_sent(counts: RolloutCounts) -> int:
    return sum(each.target.sent for each in counts.by_route.values())


def _requests(counts: RolloutCounts) -> int:
    return sum(each.requests for each in counts.by_route.values())
