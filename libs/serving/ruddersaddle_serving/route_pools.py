"""Which pools serve the streams of a route, and so may have begun one that is taken up again."""

from collections import defaultdict

from ruddersaddle_base.ids import PoolId

from ruddersaddle_serving.routes import RouteTable


class RoutePools:
    """The pools of all resumable routes."""

    def __init__(self) -> None:
        self._beside_by_pool: dict[PoolId, set[PoolId]] = {}

    def apply_table(self, table: RouteTable) -> None:
        """Apply the routes of a configuration."""
        beside_by_pool = defaultdict(set)
        for route in table.published.routes:
            pools = {each.pool for each in route.targets}
            for pool in pools if route.resumable else ():
                beside_by_pool[pool] |= pools
        self._beside_by_pool = dict(beside_by_pool)

    def beside(self, pool: PoolId) -> set[PoolId]:
        """Return the pools that share a resumable route with a pool, itself included."""
        return self._beside_by_pool.get(pool, set()) | {pool}
