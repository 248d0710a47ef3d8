"""Which order is in force for which pool, as this host knows it.

A record that is written later supersedes the earlier order for its pool. After a restore of the
store, records of the copy are read again at positions of a later era; these are no new orders.
"""

import logging
from collections.abc import Callable, Collection, Iterable

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId, SoftwareVersion

from ruddersaddle_serving.rollouts.orders import (
    OrderId,
    RolloutOrder,
    RolloutState,
    SharedRollout,
    Stop,
    VersionSide,
)
from ruddersaddle_serving.routes import RouteTable
from ruddersaddle_serving.store_eras import StoreEras, StorePosition
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

RESTORE_GRACE_S = 10.0
"""An order that is written again for the same version within this time of a restore of the store
is the same order: operators write again what the copy lacks."""
DECIDED_MEMORY_S = 60.0
"""Old upstreams of a completed rollout, or new ones of another, get nothing for this long after the
decision, even if there are no others: the platform stops them within seconds. An upstream with such
a version that is listed later is an ordinary release."""
LISTED_S = 2.0
"""A host that has just started may learn of an order this much before it has the upstreams."""
HISTORY_MAX = 100
"""Former orders that are remembered per pool, to recognize their records in a restored copy."""


class Rollout:
    """One order, as this host knows it. Times are of the boot-time clock, in seconds."""

    def __init__(self, id: OrderId, duration_s: float, elapsed_s: float = 0.0) -> None:
        self.id = id
        self.former_ids: set[OrderId] = set()
        """Ids of the same order before restores of the store."""
        self.duration_s = duration_s
        self.began_at = clocks.now_s() - elapsed_s
        self.placed_at = clocks.now_s()
        """When this host learned of the order, by the boot-time clock."""
        self.state = RolloutState.SERVING
        self.decided_at = float("inf")
        self.reason = ""
        self.stop: Stop | None = None
        self.baseline: set[SoftwareVersion] = set()
        """Versions that served the pool when the order was placed, or appeared later."""
        self.late: set[SoftwareVersion] = set()
        """Versions of `baseline` that appeared later. They may be targets of the next order, whose
        upstreams start before it is placed, and aren't proven."""
        self.unproven: set[SoftwareVersion] = set()
        """Targets of earlier orders for the pool that were not completed."""
        self.is_return = False
        """Whether the target is proven: it served the pool before an earlier, unproven target, or
        was completed before and is the only version with upstreams."""
        self.written_era = -1
        """Era of the store in which the decision and its status are known to be written."""
        self.old_closed_until = float("-inf")
        """Until when this host sends nothing to old upstreams, as it has confirmed."""

    @property
    def elapsed_s(self) -> float:
        """Time since the order was placed, never less than what any host has reported."""
        return clocks.now_s() - self.began_at

    @property
    def is_serving(self) -> bool:
        """Whether the order is not decided yet."""
        return not self.state.is_final

    @property
    def is_recent(self) -> bool:
        """Whether the order is undecided, or was decided a short while ago."""
        return self.is_serving or clocks.now_s() - self.decided_at < DECIDED_MEMORY_S

    def learn_baseline(self, baseline: Iterable[SoftwareVersion], state: RolloutState) -> None:
        """Apply the old versions that another host or a record knows of the order in a state.

        Those of a decided order are complete: what this host has seen besides appeared later.
        """
        if self.state.is_final:
            return
        if state.is_final:
            self.late.update(self.baseline.difference(baseline))
        self.baseline.update(baseline)

    def learn_elapsed(self, elapsed_s: float) -> None:
        """Apply the time since the order that another host or a record reports."""
        self.began_at = min(self.began_at, clocks.now_s() - elapsed_s)

    def side_of(self, entry: UpstreamEntry) -> VersionSide:
        """Return the side of an upstream of the pool; one without a version is an old one."""
        version = entry.software_version
        if version == self.id.target:
            return VersionSide.TARGET
        return VersionSide.UNPROVEN if version in self.unproven else VersionSide.BASELINE

    def is_replaced(self, entry: UpstreamEntry) -> bool:
        """Return whether a completed rollout has just replaced an upstream."""
        version = entry.software_version
        is_other = version in self.baseline or version in self.unproven
        return is_other and version != self.id.target and self.is_recent

    def old_of(self, entries: list[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return the entries of proven versions; takes microseconds also for a hundred entries."""
        versions = self.unproven if self.is_return else {self.id.target, *self.unproven}
        return [each for each in entries if each.software_version not in versions]

    def share(self) -> SharedRollout:
        """Return what other hosts need to know of this order."""
        return SharedRollout(
            self.id,
            self.duration_s,
            self.elapsed_s,
            self.state,
            tuple(sorted(self.baseline)),
            tuple(sorted(self.unproven)),
            self.is_return,
            self.stop,
            self.reason,
            self.written_era,
            tuple(sorted(self.late)),
            max(0.0, clocks.now_s() - self.decided_at),
        )


class OrderBook:
    """The newest order of each pool."""

    def __init__(self, eras: StoreEras, upstreams: UpstreamList) -> None:
        self.eras = eras
        self.upstreams = upstreams
        self.by_pool: dict[PoolId, Rollout] = {}
        self.stop_listeners: list[Callable[[Rollout], None]] = []
        """Called with each rollout that this host learns to be stopped."""
        self._pools: frozenset[PoolId] | None = None
        """Pools of the configuration; None before the first one."""
        self._awaiting_pool: dict[PoolId, Rollout] = {}
        """Orders for pools that the configuration doesn't have."""
        self._history_by_pool: dict[PoolId, list[OrderId]] = {}

    def in_force(self) -> list[Rollout]:
        """Return the orders that are not decided yet."""
        return [each for each in self.by_pool.values() if each.is_serving]

    def find(self, id: OrderId) -> Rollout | None:
        """Return the order with an id if it is the newest of its pool."""
        rollout = self.by_pool.get(id.pool)
        return rollout if rollout is not None and rollout.id == id else None

    # Orders

    def apply_table(self, table: RouteTable) -> None:
        """Apply the pools of a configuration; orders that waited for one are placed."""
        self._pools = frozenset(table.pool_by_id)
        for pool in self._pools & set(self._awaiting_pool):
            self._place(self._awaiting_pool.pop(pool))

    def apply(self, order: RolloutOrder, position: StorePosition) -> None:
        """Apply one record of the operators' topic."""
        if order.target is None:
            self._withdraw(order.pool, position)
            return
        id = OrderId(order.pool, order.target, position)
        known = self.by_pool.get(order.pool)
        if known is not None and self._is_known(id, known):
            return
        rollout = Rollout(id, order.duration_s)
        if self._pools is None or id.pool in self._pools:
            self._place(rollout)
            return
        logger.error("Order %s ignored: the configuration has no such service.", id)
        self._awaiting_pool[id.pool] = rollout

    def withdraw_missing(self, found: Collection[PoolId], end: StorePosition) -> None:
        """Withdraw the orders for pools that the complete topic, up to its `end`, has none for.

        Orders of an earlier era stay: the restored copy may lack them.
        """
        for pool in set(self.by_pool) - set(found):
            if self.by_pool[pool].id.position.era == end.era:
                self._withdraw(pool, end)

    def _is_known(self, id: OrderId, known: Rollout) -> bool:
        """Return whether a record is the order in force, or one that it superseded."""
        if id.position <= known.id.position:
            return True
        is_restored = id.position.era > known.id.position.era
        age_s = clocks.now_s() - self.eras.seen_at
        is_again = is_restored and id.target == known.id.target and age_s < RESTORE_GRACE_S
        if id.is_copy_of(known.id) or is_again:
            logger.info("Order %s is order %s, after a restore of the store.", id, known.id)
            self._remember(known.id)
            known.former_ids.add(known.id)
            known.id = id
            return True
        return any(id.is_copy_of(each) for each in self._history_by_pool.get(id.pool, ()))

    def _remember(self, id: OrderId) -> None:
        history = self._history_by_pool.setdefault(id.pool, [])
        history.append(id)
        del history[:-HISTORY_MAX]

    def _place(self, rollout: Rollout) -> None:
        id = rollout.id
        earlier = self.by_pool.get(id.pool)
        if earlier is not None:
            self._remember(earlier.id)
            self._supersede(earlier, rollout)
        self.by_pool[id.pool] = rollout
        self.record_versions(rollout)
        logger.info(
            "Order taken: %s within %.1f s, %.1f s ago.",
            id,
            rollout.duration_s,
            rollout.elapsed_s,
            extra={
                "baseline": sorted(rollout.baseline),
                "unproven": sorted(rollout.unproven),
                "is_return": rollout.is_return,
            },
        )

    def _supersede(self, earlier: Rollout, rollout: Rollout) -> None:
        target = rollout.id.target
        rollout.unproven = set(earlier.unproven)
        if earlier.state is not RolloutState.COMPLETED:
            if earlier.is_return:
                rollout.baseline.add(earlier.id.target)
            else:
                rollout.unproven.add(earlier.id.target)
            rollout.late = earlier.late - {target}
            rollout.is_return = target in earlier.baseline - earlier.late
        elif target == earlier.id.target:
            rollout.is_return = not self._has_other_versions(rollout.id)
        rollout.unproven.discard(target)
        rollout.baseline.discard(target)

    def _has_other_versions(self, id: OrderId) -> bool:
        entries = self.upstreams.of_pool(id.pool)
        return any(entry.software_version != id.target for entry in entries)

    def _withdraw(self, pool: PoolId, position: StorePosition) -> None:
        """Stop the order for a pool that was placed before `position`.

        This host may have learned a later order from another host before it reads the withdrawal.
        """
        waiting = self._awaiting_pool.get(pool)
        if waiting is not None and waiting.id.position < position:
            del self._awaiting_pool[pool]
        rollout = self.by_pool.get(pool)
        if rollout is not None and rollout.is_serving and rollout.id.position < position:
            self.stop(rollout, Stop("the order was withdrawn", "operators", is_bad=False))

    def record_versions(self, rollout: Rollout) -> None:
        """Record the versions that serve the pool besides the target of an order in force."""
        for entry in self.upstreams.of_pool(rollout.id.pool):
            version = entry.software_version
            is_old = rollout.side_of(entry) is VersionSide.BASELINE
            if not is_old or version is msgspec.UNSET or version in rollout.baseline:
                continue
            rollout.baseline.add(version)
            if clocks.now_s() - rollout.placed_at > LISTED_S:
                rollout.late.add(version)

    # Stops and decisions

    def stop(self, rollout: Rollout, stop: Stop) -> None:
        """Send nothing to the target of an order any more."""
        if rollout.state is RolloutState.COMPLETED or rollout.stop is not None:
            return
        rollout.stop = stop
        logger.warning("Rollout stopped: %s, by %s: %s.", rollout.id, stop.by, stop.reason)
        for listener in self.stop_listeners:
            listener(rollout)

    def decide(self, rollout: Rollout, state: RolloutState, reason: str) -> None:
        """Apply the recorded decision on an order; it is final."""
        if rollout.state.is_final or not state.is_final:
            return
        rollout.state = state
        rollout.reason = reason
        rollout.decided_at = clocks.now_s()
        if state is RolloutState.COMPLETED:
            rollout.stop = None
        elif rollout.stop is None:
            rollout.stop = Stop(reason, "the recorded decision", is_bad=False)
        logger.info("Rollout %s: %s, %s.", state.value, rollout.id, reason)

    # Between hosts

    def share(self) -> tuple[SharedRollout, ...]:
        """Return all orders, to send them to another host."""
        return tuple(each.share() for each in self.by_pool.values())

    def apply_shared(self, shared: Iterable[SharedRollout]) -> None:
        """Apply the orders that another host knows."""
        for each in shared:
            known = self.by_pool.get(each.id.pool)
            if known is None or not self._is_known(each.id, known):
                known = Rollout(each.id, each.duration_s, each.elapsed_s)
                known.is_return = each.is_return
                self._place(known)
            if known.id == each.id or each.id in known.former_ids:
                self._merge(known, each)

    def _merge(self, known: Rollout, shared: SharedRollout) -> None:
        known.learn_elapsed(shared.elapsed_s)
        known.late.update(shared.late)
        known.learn_baseline(shared.baseline, shared.state)
        known.unproven.update(shared.unproven)
        known.unproven.discard(known.id.target)
        known.baseline -= known.unproven
        known.is_return = known.is_return or shared.is_return
        if shared.stop is not None:
            self.stop(known, shared.stop)
        self.decide(known, shared.state, shared.reason)
        if shared.state.is_final and shared.state is known.state:
            known.decided_at = min(known.decided_at, clocks.now_s() - shared.decided_s)
        known.written_era = max(known.written_era, shared.written_era)
