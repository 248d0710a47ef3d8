"""Which life of the platform's store this host knows.

The store may come back from a copy some seconds old. Each time its era rises by one; what this
system appended since the copy is gone, and offsets are given out again.
"""

import logging
from collections.abc import Callable

from ruddersaddle_base import clocks

logger = logging.getLogger(__name__)

ERA_UNKNOWN = 0
"""Era of a store that tells none."""


class StoreEras:
    """The newest era that is known, from the store's answers and from other hosts."""

    def __init__(self) -> None:
        self.newest = ERA_UNKNOWN
        self.seen_at = float("-inf")
        """When the newest era became known, on the steady clock; the return was before."""
        self.restores = 0
        """Returns of the store that this host has seen."""
        self.restore_listeners: list[Callable[[], None]] = []
        """Called when a return becomes known."""
        self._is_known = False

    def learn(self, era: int) -> None:
        """Take an era that the store or another host told."""
        if self._is_known and era <= self.newest:
            return
        is_restore = self._is_known
        self._is_known = True
        before, self.newest = self.newest, era
        self.seen_at = clocks.now_s()
        if is_restore:
            self.restores += 1
            logger.warning(
                "Store has come back from an earlier copy: era %d after %d.", era, before
            )
            for listener in self.restore_listeners:
                listener()
