"""Which upstreams of a pool a request may be sent to while an order is in force, and after it."""

import random
from collections.abc import Callable
from weakref import WeakSet

from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.prompts import CallerRequest
from ruddersaddle_serving.rollouts.exchanges import RolloutExchange
from ruddersaddle_serving.rollouts.order_books import OrderBook, Rollout
from ruddersaddle_serving.rollouts.orders import RolloutState, VersionSide
from ruddersaddle_serving.rollouts.pool_plans import PoolPlans
from ruddersaddle_serving.upstream_entries import UpstreamEntry

RETRY_STOPPED_S = 1.0
"""Retry-after for a pool whose only upstreams have a version that was stopped: old upstreams start
again within seconds."""


class SplitEntries:
    """The entries of a pool by their side."""

    def __init__(self, rollout: Rollout, entries: list[UpstreamEntry]) -> None:
        self.old: list[UpstreamEntry] = []
        self.new: list[UpstreamEntry] = []
        self.unproven: list[UpstreamEntry] = []
        for entry in entries:
            match rollout.side_of(entry):
                case VersionSide.BASELINE:
                    self.old.append(entry)
                case VersionSide.TARGET:
                    self.new.append(entry)
                case VersionSide.UNPROVEN:
                    self.unproven.append(entry)


class RolloutSelection:
    """The eligibility rule of rollouts."""

    def __init__(
        self,
        book: OrderBook,
        exchange: RolloutExchange,
        plans: PoolPlans,
        is_available: Callable[[UpstreamEntry], bool],
    ) -> None:
        self.book = book
        self.exchange = exchange
        self.plans = plans
        self.is_available = is_available
        """Whether this host may send to an upstream at the moment."""
        self._sampled: WeakSet[CallerRequest] = WeakSet()
        """Requests drawn for the target that an old upstream could serve."""
        self._returned: WeakSet[CallerRequest] = WeakSet()
        """Requests that go to old upstreams as no new one admitted them."""

    def select(
        self, request: CallerRequest, entries: list[UpstreamEntry], excluded: set[UpstreamId]
    ) -> list[UpstreamEntry] | Failure:
        """Return the entries of the side that the request goes to, or why there is none."""
        rollout = self.book.by_pool.get(entries[0].pool) if entries else None
        if rollout is None or request.pin is not None:
            # A stream goes on at the version that began it, whatever became of that version.
            return entries
        if rollout.state is RolloutState.COMPLETED:
            return self._select_completed(rollout, entries)
        if rollout.stop is not None:
            return rollout.old_of(entries) or self._select_stopped(rollout, entries)
        split = SplitEntries(rollout, entries)
        if rollout.is_return:
            return split.new or split.old or split.unproven
        if not split.old or not split.new:
            return split.old or split.new or split.unproven
        if self._is_closed(rollout):
            # The plan may still be that of the sampling, whose few upstreams can't bear the load.
            suspects = self.plans.plan_of(rollout).assessment.suspects
            return [each for each in split.new if each.id not in suspects] or split.new
        if request in self._returned or (excluded and self._has_usable_old(split)):
            return split.old
        return self._draw(request, rollout, split, is_retry=bool(excluded)) or split.old

    def _has_usable_old(self, split: SplitEntries) -> bool:
        """Return whether a retry can go to an old upstream; the plan is up to a step old."""
        return any(self.plans.is_usable(each) for each in split.old)

    def _select_completed(
        self, rollout: Rollout, entries: list[UpstreamEntry]
    ) -> list[UpstreamEntry]:
        """Return the entries that the rollout has not just replaced."""
        if not rollout.is_recent:
            return entries
        return [each for each in entries if not rollout.is_replaced(each)] or entries

    def _select_stopped(
        self, rollout: Rollout, entries: list[UpstreamEntry]
    ) -> list[UpstreamEntry] | Failure:
        """Refuse a request that only upstreams of a version stopped recently could serve."""
        if not rollout.is_recent:
            return entries
        detail = (
            f"no upstream of an old version; {len(entries)} have versions that get no requests: "
            f"{rollout.stop.reason}"
        )
        pool = rollout.id.pool
        return Failure(Code.NO_UPSTREAM, Step.ADMIT, pool, detail, retry_after_s=RETRY_STOPPED_S)

    def _draw(
        self, request: CallerRequest, rollout: Rollout, split: SplitEntries, is_retry: bool
    ) -> list[UpstreamEntry]:
        """Return the new upstreams that may get a request if it is drawn for them.

        A retry gets here if no old upstream is usable, and isn't drawn.
        """
        plan = self.plans.plan_of(rollout)
        if not is_retry and random.random() >= plan.share_of(request.route.name):
            return []
        if self._find_limit(rollout) is not None:
            return []
        chosen = [each for each in split.new if each.id in plan.chosen and self.is_available(each)]
        if chosen:
            self._sampled.add(request)
        return chosen

    def _find_limit(self, rollout: Rollout) -> str | None:
        """Return why this host may send nothing to the target at the moment, or None."""
        plan = self.plans.plan_of(rollout)
        if plan.situation is not None and not plan.situation.baseline.upstreams:
            return None
        if not self.exchange.is_fresh(rollout):
            age_s = self.exchange.age_s(rollout)
            return f"the totals of rollout {rollout.id} are {age_s:.1f} s old"
        counts = self.exchange.counts_of(rollout)
        if not plan.permits(counts.recorder.counts()):
            return f"the exposure of {rollout.id} allows no further request"
        return None

    def returns_to_old(self, request: CallerRequest) -> bool:
        """Return whether a refused request was drawn for the target; it goes to the old version.

        A request must not be refused because it was drawn as a sample.
        """
        if request not in self._sampled:
            return False
        self._sampled.discard(request)
        self._returned.add(request)
        return True

    def check(self, request: CallerRequest, entry: UpstreamEntry) -> str | None:
        """Return why a request may no longer be sent to its chosen upstream, or None."""
        rollout = self.book.by_pool.get(entry.pool)
        if rollout is None or request.pin is not None:
            return None
        side = rollout.side_of(entry)
        if rollout.state is RolloutState.COMPLETED:
            return self._check_replaced(rollout, entry)
        if side is VersionSide.BASELINE:
            return self._check_closed(rollout, entry)
        if side is VersionSide.TARGET and rollout.is_return:
            return None
        if rollout.stop is not None:
            if not rollout.is_recent:
                return None
            return f"version {entry.software_version} was stopped: {rollout.stop.reason}"
        if side is VersionSide.UNPROVEN:
            return self._check_unproven(rollout, entry)
        if request not in self._sampled:
            return None
        return None if self._is_closed(rollout) else self._find_limit(rollout)

    def _is_closed(self, rollout: Rollout) -> bool:
        """Return whether this host has confirmed that it sends nothing to old upstreams."""
        return rollout.stop is None and clocks.now_s() < rollout.old_closed_until

    def _check_closed(self, rollout: Rollout, entry: UpstreamEntry) -> str | None:
        others = self.plans.upstreams.of_pool(entry.pool)
        has_new = any(rollout.side_of(each) is VersionSide.TARGET for each in others)
        if not has_new or not self._is_closed(rollout):
            return None
        return f"all requests go to {rollout.id.target}"

    def _check_unproven(self, rollout: Rollout, entry: UpstreamEntry) -> str | None:
        others = self.plans.upstreams.of_pool(entry.pool)
        if all(rollout.side_of(each) is VersionSide.UNPROVEN for each in others):
            return None
        return f"version {entry.software_version} was superseded by {rollout.id.target}"

    def _check_replaced(self, rollout: Rollout, entry: UpstreamEntry) -> str | None:
        if not rollout.is_replaced(entry):
            return None
        others = self.plans.upstreams.of_pool(entry.pool)
        if all(rollout.is_replaced(each) for each in others):
            return None
        return f"its version was replaced by {rollout.id.target}"
