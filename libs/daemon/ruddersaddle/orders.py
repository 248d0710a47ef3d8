"""Orders to engines: one lease holder per pool keeps them on the published weight version.

The lease and its fence come from the log. Engines that check fences refuse a stale holder. For
other engines the holder reads the lease stream to its end before each order; what remains is the
risk that the process stalls between that read and the order.
"""

import logging
import time

import eventlet
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import Incarnation, PoolId, Position, new_record_id
from ruddersaddle_base.settings import Settings
from ruddersaddle_base.tasks import contain, spawn_forever
from ruddersaddle_state.appenders import Appender
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Model, PoolKind
from ruddersaddle_state.followers import Follower
from ruddersaddle_state.leases import Leases
from ruddersaddle_state.records import Grant, Outcome, Release
from ruddersaddle_upstreams.engines import Order

from ruddersaddle.pools import Pools, PoolView

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
"""Interval between checks for engines that need an order."""
CONCURRENT_LOADS_MAX = 2
"""Engines that load weights at the same time; more would slow each other down."""
ORDER_TIMEOUT_S = 10.0
RENEW_SHARE = 0.5
"""A lease is renewed once this share of it has passed."""


class OrderCounts:
    """Counts of orders given, refused by engines, and withheld for lack of a lease."""

    def __init__(self) -> None:
        self.given = 0
        self.refused = 0
        self.withheld = 0


class OrderTask:
    """Acquires the lease of each pool that needs orders, sends them, and releases the lease."""

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        pools: Pools,
        configuration: Configuration,
        follower: Follower,
        appender: Appender,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.pools = pools
        self.configuration = configuration
        self.follower = follower
        self.appender = appender
        self.counts = OrderCounts()
        self._lease_until: dict[PoolId, float] = {}
        self._held_since: dict[PoolId, float] = {}
        self._ordered_at: dict[str, float] = {}

    @property
    def leases(self) -> Leases:
        """The folded leases."""
        return self.follower.fold

    def held_pools(self) -> list[PoolId]:
        """Return the pools whose lease this process holds according to the records read so far."""
        by_pool = self.leases.by_pool.items()
        return [pool for pool, lease in by_pool if lease.holder == self.incarnation]

    def start(self) -> None:
        """Start the task."""
        spawn_forever("orders", self._run)

    def _run(self) -> None:
        while True:
            for view in list(self.pools.by_id.values()):
                if view.pool.kind is PoolKind.ENGINE:
                    with contain(f"engines of {view.pool.id}"):
                        self._update_engines(view)
            eventlet.sleep(CHECK_INTERVAL_S)

    def _update_engines(self, view: PoolView) -> None:
        model = self.configuration.get(Model, view.pool.model)
        if not isinstance(model, Model) or not self._outdated_engines(view, model):
            self._release_lease(view.pool.id)
            return
        fence = self._acquire_lease(view.pool.id)
        if fence is not None:
            self._send_orders(view, model, fence)

    def _outdated_engines(self, view: PoolView, model: Model) -> list[str]:
        """Return the addresses of the engines that report another weight version."""
        loads = [load for load in view.loads() if not load.leaving]
        return [load.address for load in loads if load.version not in ("", model.version)]

    def _confirmed_outdated_engines(self, view: PoolView, model: Model) -> list[str]:
        """Return the engines that are outdated by a report from after the lease was acquired.

        An older report may predate an order of the last holder, and the engine would load twice.
        """
        since = self._held_since[view.pool.id]
        outdated = self._outdated_engines(view, model)
        return [
            address for address in outdated if view.load_by_address[address].measured_at >= since
        ]

    def _acquire_lease(self, pool: PoolId) -> Position | None:
        """Acquire or renew the lease and return its fence; None while another process holds it."""
        length_s = self.settings.number("leases.length_s")
        lease = self.leases.by_pool.get(pool)
        is_own = lease is not None and lease.holder == self.incarnation
        until = self._lease_until.get(pool, 0.0)
        if is_own and time.monotonic() < until - length_s * RENEW_SHARE:
            return lease.fence
        if lease is not None and not is_own and time.time() <= lease.until + self.leases.margin_s:
            return None
        began = time.monotonic()
        grant = Grant(new_record_id(), pool, self.incarnation, length_s)
        self.follower.expect(grant.id)
        self.appender.post(grant, self.follower.cancel_wait)
        result = self.follower.wait(grant.id, length_s)
        self.follower.forget(grant.id)
        if result is None or result.outcome is not Outcome.ACCEPTED:
            return None
        if not is_own or pool not in self._held_since:
            self._held_since[pool] = time.monotonic()
        # Counted from before the append, so that the local expiry is never late.
        self._lease_until[pool] = began + length_s
        return result.position

    def _release_lease(self, pool: PoolId) -> None:
        if self._ordered_at:
            return
        if self._lease_until.pop(pool, None) is not None:
            self.appender.post(Release(new_record_id(), pool, self.incarnation))

    def _send_orders(self, view: PoolView, model: Model, fence: Position) -> None:
        now = time.monotonic()
        loading = [at for at in self._ordered_at.values() if now - at < ORDER_TIMEOUT_S]
        for address in self._confirmed_outdated_engines(view, model):
            if len(loading) >= CONCURRENT_LOADS_MAX:
                return
            if now - self._ordered_at.get(address, -ORDER_TIMEOUT_S) < ORDER_TIMEOUT_S:
                continue
            loading.append(now)
            self._ordered_at[address] = now
            eventlet.spawn(self._send_order, view, address, Order(model.id, model.version, fence))

    def _send_order(self, view: PoolView, address: str, order: Order) -> None:
        """Send one order, if this process still holds the lease at the end of its stream."""
        if not view.pool.checks_fences and not self._still_holds_lease(view.pool.id, order.fence):
            self.counts.withheld += 1
            self._ordered_at.pop(address, None)
            return
        done = view.engine_by_address[address].order(order)
        self._ordered_at.pop(address, None)
        if done is True and address in view.load_by_address:
            view.load_by_address[address].record_version(order.version)
        if isinstance(done, Failure):
            logger.warning("Order to %s failed. %s", address, done.detail)
        elif done:
            self.counts.given += 1
            logger.info("Engine %s loads weight version %s.", address, order.version)
        else:
            self.counts.refused += 1
            logger.warning("Engine %s refused a stale fence.", address)

    def _still_holds_lease(self, pool: PoolId, fence: Position) -> bool:
        if not self.follower.read_to_end():
            return False
        lease = self.leases.by_pool.get(pool)
        in_time = time.monotonic() < self._lease_until.get(pool, 0.0)
        return in_time and lease is not None and lease.fence == fence
