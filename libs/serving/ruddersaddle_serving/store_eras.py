"""The newest era of the platform's store that this host knows.

The era is the store's epoch: it rises by one each time the store is restored from a copy some
seconds old. What this system appended since the copy is lost, and offsets are assigned again.
"""

import logging
from collections.abc import Callable

import msgspec
from ruddersaddle_base import clocks

logger = logging.getLogger(__name__)

ERA_UNKNOWN = 0
"""Era of a store that reports none."""


class StorePosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A position in a topic; positions of a later era come after all of an earlier one.

    An era is the store's epoch, raised each time it is restored from a copy. The copy may be some
    seconds old: later appends are lost and their offsets are assigned again, so an offset is valid
    only within its era.
    """

    era: int
    offset: int


class StoreEras:
    """The newest known era, from the store's responses and from other hosts."""

    def __init__(self) -> None:
        self.newest = ERA_UNKNOWN
        self.seen_at = float("-inf")
        """When the newest era became known, by the boot-time clock; the restore was before that."""
        self.restores = 0
        """Number of restores of the store that this host has seen."""
        self.restore_listeners: list[Callable[[], None]] = []
        """Called when a restore becomes known."""
        self._is_known = False

    def learn(self, era: int) -> None:
        """Apply an era that the store or another host reported."""
        if self._is_known and era <= self.newest:
            return
        is_restore = self._is_known
        self._is_known = True
        before, self.newest = self.newest, era
        self.seen_at = clocks.now_s()
        if is_restore:
            self.restores += 1
            logger.warning(
                "Store was restored from an earlier copy: era is %d, was %d.", era, before
            )
            for listener in self.restore_listeners:
                listener()
