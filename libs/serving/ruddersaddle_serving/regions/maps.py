"""Which hall is in which region, from the settings."""

import logging
from collections.abc import Mapping
from functools import cached_property

from ruddersaddle_base.ids import HallId, RegionId
from ruddersaddle_base.settings import Settings

logger = logging.getLogger(__name__)


class RegionMap:
    """The region of each hall, and this host's own region.

    Without a map, or if all halls are in one region, regions make no difference.
    """

    def __init__(self, own_hall: HallId, region_by_hall: Mapping[HallId, RegionId]) -> None:
        self.own_hall = own_hall
        self.region_by_hall = dict(region_by_hall)

    @classmethod
    def from_settings(cls, settings: Settings) -> "RegionMap":
        """Return the map of `host.regions`; items that can't be parsed are logged and skipped."""
        region_by_hall: dict[HallId, RegionId] = {}
        for item in filter(None, map(str.strip, settings.text("host.regions").split(","))):
            hall, _, region = (each.strip() for each in item.partition("="))
            if hall and region:
                region_by_hall[HallId(hall)] = RegionId(region)
            else:
                logger.error("Setting host.regions has %r, expected HALL=REGION.", item)
        return cls(HallId(settings.text("host.hall")), region_by_hall)

    @cached_property
    def regions(self) -> frozenset[RegionId]:
        """All regions."""
        return frozenset(self.region_by_hall.values())

    @cached_property
    def is_divided(self) -> bool:
        """Whether there is more than one region."""
        return len(self.regions) > 1

    @cached_property
    def own(self) -> RegionId | None:
        """The region of this host; None if its hall is not on the map."""
        return self.region_by_hall.get(self.own_hall)

    def region_of(self, hall: HallId) -> RegionId | None:
        """Return the region of a hall; None if the hall is not on the map."""
        return self.region_by_hall.get(hall)

    def is_own(self, hall: HallId) -> bool:
        """Return whether a hall is in this host's region; true if there is only one region."""
        return not self.is_divided or self.region_of(hall) == self.own
