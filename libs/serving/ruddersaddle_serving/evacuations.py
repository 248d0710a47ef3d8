"""Which halls are evacuated: their upstreams get no more requests."""

import logging
from collections.abc import Collection

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import HallId

logger = logging.getLogger(__name__)

RESTORE_GRACE_S = 10.0
"""How long an evacuation that a restored store lacks stays in force, so that operators can write it
again."""


class Evacuation(msgspec.Struct, frozen=True):
    """An operator's order to evacuate a hall, or to end its evacuation."""

    hall: HallId
    in_force: bool


class Evacuations:
    """The evacuated halls. Times are on the boot-time clock."""

    def __init__(self) -> None:
        self._since_by_hall: dict[HallId, float] = {}
        self._held_until_by_hall: dict[HallId, float] = {}
        """Halls that the restored store no longer lists, with the end of their grace period."""
        self._ended_by_hall: dict[HallId, float] = {}

    def in_force(self) -> tuple[HallId, ...]:
        """Return the evacuated halls, without those whose grace period has ended."""
        self._end_expired()
        return tuple(self._since_by_hall)

    def is_in_force(self, hall: HallId) -> bool:
        """Return whether a hall is evacuated."""
        return hall in self._since_by_hall and hall in self.in_force()

    def ended_at(self, hall: HallId) -> float:
        """Return when the last evacuation of a hall ended; minus infinity if there was none."""
        return self._ended_by_hall.get(hall, float("-inf"))

    def age_s(self, hall: HallId) -> float:
        """Return how long this host has known that a hall is evacuated; 0 if it is not."""
        return clocks.now_s() - self._since_by_hall.get(hall, clocks.now_s())

    def apply(self, evacuation: Evacuation) -> None:
        """Apply a single change."""
        if evacuation.in_force:
            self._begin(evacuation.hall)
        else:
            self._end(evacuation.hall)

    def replace(self, halls: Collection[HallId], is_restored: bool) -> None:
        """Apply the complete list of evacuated halls.

        `is_restored` says that the store has just been restored from a copy that is some seconds
        old. An evacuation that such a copy lacks may have been written since, so it stays in force
        until operators have had time to write it again.
        """
        now = clocks.now_s()
        for hall in set(self._since_by_hall) - set(halls):
            if is_restored:
                self._held_until_by_hall[hall] = now + RESTORE_GRACE_S
            elif hall not in self._held_until_by_hall:
                self._end(hall)
        for hall in halls:
            self._begin(hall)
        self._end_expired()

    def _begin(self, hall: HallId) -> None:
        self._held_until_by_hall.pop(hall, None)
        if hall not in self._since_by_hall:
            self._since_by_hall[hall] = clocks.now_s()
            logger.info("Hall %s is evacuated; its upstreams get no more requests.", hall)

    def _end(self, hall: HallId) -> None:
        self._held_until_by_hall.pop(hall, None)
        since = self._since_by_hall.pop(hall, None)
        if since is not None:
            now = clocks.now_s()
            self._ended_by_hall[hall] = now
            logger.info("Evacuation of hall %s ended after %.1f s.", hall, now - since)

    def _end_expired(self) -> None:
        now = clocks.now_s()
        for hall, until in list(self._held_until_by_hall.items()):
            if now >= until:
                self._end(hall)
