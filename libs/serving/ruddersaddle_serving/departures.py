"""Hosts that have left the list of hosts a short while ago.

Their requests go on until their planned stop ends, and most of them are on the list again soon
after. Until then they keep their part of what all hosts share.
"""

from collections.abc import Collection

from ruddersaddle_base import clocks
from ruddersaddle_base.ids import HostId


class Departures:
    """When each host left the list; `memory_s` is how long it counts, in seconds."""

    def __init__(self, memory_s: float) -> None:
        self.memory_s = memory_s
        self._left_at_by_id: dict[HostId, float] = {}

    def apply(self, listed: Collection[HostId], left: Collection[HostId]) -> None:
        """Record which hosts are listed now, and which have left, be it for the first time."""
        now = clocks.now_s()
        for host in left:
            self._left_at_by_id.setdefault(host, now)
        # A host that is still recorded as leaving would begin anew if it was dropped.
        self._left_at_by_id = {
            host: left_at
            for host, left_at in self._left_at_by_id.items()
            if host not in listed and (host in left or self._counts(left_at))
        }

    def count(self) -> int:
        """Return how many hosts left so recently that they still count."""
        return sum(self._counts(left_at) for left_at in self._left_at_by_id.values())

    def _counts(self, left_at: float) -> bool:
        return clocks.now_s() < left_at + self.memory_s
