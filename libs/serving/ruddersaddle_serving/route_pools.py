"""Which pools serve the streams of a route, and so may have begun one that is taken up again."""

import math
from collections import defaultdict
from collections.abc import Callable

from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId

from ruddersaddle_serving.routes import PublishedConfiguration, Route, RouteTable

RoutePath = tuple[str, str]
"""Host name and path prefix of a route. Its name may change while callers send the same URL."""


class RoutePools:
    """The pools of all resumable routes, those of earlier configurations for a while longer."""

    def __init__(self, memory_s: Callable[[], float]) -> None:
        self.memory_s = memory_s
        """Time for which a pool counts after its route has left it."""
        self.known_since = -math.inf
        """When the first configuration was applied; negative infinity before."""
        self._table = RouteTable(PublishedConfiguration(0))
        self._last_at_by_pool: dict[RoutePath, dict[PoolId, float]] = {}
        """When routes last had their pools, by the boot-time clock; infinity for present ones."""
        self._beside_by_pool: dict[PoolId, set[PoolId]] = {}
        """Results of `beside`, for which each stream asks: one takes 0.6 ms with 500 routes."""
        self._beside_until = -math.inf
        """Until when these results hold."""

    def apply_table(self, table: RouteTable) -> None:
        """Apply the routes of a configuration."""
        now = clocks.now_s()
        if self.known_since == -math.inf:
            self.known_since = now
        found: dict[RoutePath, dict[PoolId, float]] = defaultdict(dict)
        for path in {*self._last_at_by_pool, *_paths(self._table), *_paths(table)}:
            after = table.find(*path)
            target = path if after is None else _path_of(after)
            for pool, last_at in self._pools_until_now(path).items():
                last_at = min(last_at, now)
                found[target][pool] = max(last_at, found[target].get(pool, -math.inf))
        for route in table.published.routes:
            if route.resumable:
                found[_path_of(route)].update({each.pool: math.inf for each in route.targets})
        self._table = table
        self._beside_until = -math.inf
        self._last_at_by_pool = {path: self._recent(pools) for path, pools in found.items()}

    def _pools_until_now(self, path: RoutePath) -> dict[PoolId, float]:
        """Return the pools that streams of a path may have begun at before a change."""
        before = self._table.find(*path)
        if before is None:
            return self._last_at_by_pool.get(path, {})
        return self._last_at_by_pool.get(_path_of(before), {})

    def _recent(self, pools: dict[PoolId, float]) -> dict[PoolId, float]:
        oldest_at = clocks.now_s() - self.memory_s()
        return {pool: last_at for pool, last_at in pools.items() if last_at >= oldest_at}

    def beside(self, pool: PoolId) -> set[PoolId]:
        """Return the pools that share a resumable route with a pool, itself included."""
        if clocks.now_s() > self._beside_until:
            self._beside_by_pool = {}
            self._beside_until = self._next_end()
        found = self._beside_by_pool.get(pool)
        if found is None:
            found = self._beside_by_pool[pool] = self._find_beside(pool)
        return found

    def _next_end(self) -> float:
        """Return when the next pool that its route has left no longer counts."""
        now, memory_s = clocks.now_s(), self.memory_s()
        times = (each for pools in self._last_at_by_pool.values() for each in pools.values())
        return min((each + memory_s for each in times if each + memory_s >= now), default=math.inf)

    def _find_beside(self, pool: PoolId) -> set[PoolId]:
        pools_of_routes = map(self._recent, self._last_at_by_pool.values())
        return {pool}.union(*(each for each in pools_of_routes if pool in each))


def _path_of(route: Route) -> RoutePath:
    return route.host.lower(), route.path_prefix


def _paths(table: RouteTable) -> list[RoutePath]:
    return [_path_of(each) for each in table.published.routes]
