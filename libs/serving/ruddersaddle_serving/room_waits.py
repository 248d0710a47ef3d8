"""Requests of this host that wait until upstreams of a brittle pool have room, in order."""

from collections import deque

from ruddersaddle_base.ids import PoolId


class RoomWaits:
    """The requests that wait for room, by pool, the longest waiting first."""

    def __init__(self) -> None:
        self._waiting_by_pool: dict[PoolId, deque[object]] = {}

    def enter(self, pool: PoolId, waiting: object) -> None:
        """Record that a request begins to wait."""
        self._waiting_by_pool.setdefault(pool, deque()).append(waiting)

    def leave(self, pool: PoolId, waiting: object) -> None:
        """Record that a request that waited has got room, or has given up."""
        waiting_here = self._waiting_by_pool[pool]
        waiting_here.remove(waiting)
        if not waiting_here:
            del self._waiting_by_pool[pool]

    def count_before(self, pool: PoolId, waiting: object) -> int:
        """Return how many requests have waited for longer."""
        return self._waiting_by_pool[pool].index(waiting)

    def has_any(self, pool: PoolId) -> bool:
        """Return whether any request waits."""
        return pool in self._waiting_by_pool
