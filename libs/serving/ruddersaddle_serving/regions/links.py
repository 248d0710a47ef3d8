"""The links to other regions: round-trip time, queue, and whether the other region answers.

The first reader of a region measures them (`link_probes`) and reports them to the hosts of its
region. A link's queue is the current round-trip time minus the lowest one of the last minute.
"""

import logging
from collections import deque
from enum import Enum

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import HallId, RegionId

from ruddersaddle_serving.regions.maps import RegionMap

logger = logging.getLogger(__name__)

MEASURED_MAX = 120
"""Round trips that are kept, one each 0.5 s: the lowest of a minute is that of an empty link."""
CURRENT_COUNT = 3
"""The lowest of this many round trips is the current one: single ones include pauses of hosts."""
SILENT_S = 2.5
"""A region doesn't answer if no host of it has answered for this long. The next host of the region
is asked after a second, so the loss of one host isn't taken for the loss of the link."""
REPORT_TRUST_S = 4.0
"""Reports on a link count for this long; they come at least each second."""
QUEUE_MAX_S = 0.2
"""A longer queue is logged, and no request crosses the link that could be refused instead."""
QUEUE_OVER_S = 0.1
"""The queue must fall below this before another one is logged."""
UNKNOWN_ROUND_TRIP_S = 0.1
"""Assumed round-trip time of a link that hasn't been measured."""


class LinkStatus(Enum):
    """Whether another region answers."""

    UNKNOWN = "unknown"
    ANSWERS = "answers"
    SILENT = "silent"


class Link(msgspec.Struct, frozen=True):
    """State of the link to one region; times are in seconds."""

    status: LinkStatus = LinkStatus.UNKNOWN
    round_trip_s: float = UNKNOWN_ROUND_TRIP_S
    """Current round-trip time, which includes the queue."""
    queue_s: float = 0.0


UNKNOWN_LINK = Link()


class LinkReport(msgspec.Struct, frozen=True, array_like=True):
    """State of the link to one region, as hosts send it."""

    region: RegionId | None
    answers: bool
    round_trip_ms: int
    queue_ms: int


class LinkReports(msgspec.Struct, frozen=True, tag="link_reports"):
    """Message with the links that the first reader of a region has measured; it isn't answered."""

    address: str
    reports: tuple[LinkReport, ...]


class MeasuredLink:
    """Round trips to one region, measured by this host."""

    def __init__(self, region: RegionId | None) -> None:
        self.region = region
        self._round_trips_s: deque[float] = deque(maxlen=MEASURED_MAX)
        self._answered_at = clocks.now_s()
        self._is_silent = False
        self._is_queued = False

    def record_answer(self, round_trip_s: float) -> None:
        """Record the round-trip time of a probe."""
        self._round_trips_s.append(round_trip_s)
        if self._is_silent:
            silent_s = clocks.now_s() - self._answered_at
            logger.info("Region %s answers again after %.1f s.", self.region, silent_s)
            self._is_silent = False
        self._answered_at = clocks.now_s()
        self._log_queue()

    def record_no_answer(self) -> None:
        """Record that a probe wasn't answered."""
        if not self._is_silent and clocks.now_s() - self._answered_at >= SILENT_S:
            self._is_silent = True
            logger.warning("Region %s doesn't answer.", self.region)

    def _log_queue(self) -> None:
        queue_s = self.queue_s
        if not self._is_queued and queue_s > QUEUE_MAX_S:
            self._is_queued = True
            logger.warning("Queue of the link to region %s is %.2f s.", self.region, queue_s)
        elif self._is_queued and queue_s < QUEUE_OVER_S:
            self._is_queued = False
            logger.info("Queue of the link to region %s is %.2f s again.", self.region, queue_s)

    @property
    def round_trip_s(self) -> float:
        """Current round-trip time."""
        latest = list(self._round_trips_s)[-CURRENT_COUNT:]
        return min(latest, default=UNKNOWN_ROUND_TRIP_S)

    @property
    def queue_s(self) -> float:
        """Current round-trip time above the lowest one of the last minute."""
        return self.round_trip_s - min(self._round_trips_s, default=UNKNOWN_ROUND_TRIP_S)

    def report(self) -> LinkReport | None:
        """Return the state of the link; None before the first result."""
        if not self._round_trips_s and not self._is_silent:
            return None
        return LinkReport(
            self.region,
            not self._is_silent,
            round(1000 * self.round_trip_s),
            round(1000 * self.queue_s),
        )


class RegionLinks:
    """What this host knows of the links to other regions, measured by itself or reported."""

    def __init__(self, regions: RegionMap) -> None:
        self.regions = regions
        self._measured_by_region: dict[RegionId | None, MeasuredLink] = {}
        self._reported_by_region: dict[RegionId | None, tuple[Link, float]] = {}

    def measured(self, region: RegionId | None) -> MeasuredLink:
        """Return what this host has measured of the link to a region."""
        link = self._measured_by_region.get(region)
        if link is None:
            link = self._measured_by_region[region] = MeasuredLink(region)
        return link

    def clear_measured(self) -> None:
        """Forget what was measured: another host measures now."""
        self._measured_by_region.clear()

    def reports(self) -> tuple[LinkReport, ...]:
        """Return the state of all measured links, and apply it here."""
        reports = (each.report() for each in self._measured_by_region.values())
        known = tuple(each for each in reports if each is not None)
        self.apply(known)
        return known

    def apply(self, reports: tuple[LinkReport, ...]) -> None:
        """Apply the state of links."""
        for each in reports:
            status = LinkStatus.ANSWERS if each.answers else LinkStatus.SILENT
            link = Link(status, each.round_trip_ms / 1000, each.queue_ms / 1000)
            self._reported_by_region[each.region] = (link, clocks.now_s())

    def of_region(self, region: RegionId | None) -> Link:
        """Return the link to another region; unknown without a report within `REPORT_TRUST_S`."""
        link, at = self._reported_by_region.get(region, (UNKNOWN_LINK, float("-inf")))
        return link if clocks.now_s() - at < REPORT_TRUST_S else UNKNOWN_LINK

    def to_hall(self, hall: HallId) -> Link:
        """Return the link to the region of a hall."""
        return self.of_region(self.regions.region_of(hall))
