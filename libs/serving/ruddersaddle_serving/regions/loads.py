"""Loads of engines between regions: one stream for each pair of regions and direction.

A stream carries the sum of one region, from its first reader to the first reader of the other
region, which passes each message on within its region. Messages have only the engines whose figures
changed, so that an idle engine costs nothing on the link.
"""

from collections.abc import Collection, Iterable

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import RegionId, UpstreamId

from ruddersaddle_serving.engine_sums import (
    EngineSum,
    apply_liveness,
    apply_service_time,
    summarize,
)
from ruddersaddle_serving.liveness import REPORT_TTL_S
from ruddersaddle_serving.regions.maps import RegionMap
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList

REGION_INTERVAL_S = 0.4
"""Interval of the messages between regions. A region uses engines of another one only when its own
are full, so a view that is half a second old is enough."""
LEAVE_CHECK_S = 0.1
"""Interval of checks for a leave that isn't sent yet; it isn't held back for the next message. The
readers of halls on the way from its host to all others take up to 0.2 s each."""
MESSAGES_PER_FULL = 5
"""Every fifth message (2 s) has all engines that aren't idle; it replaces what the receiver knows,
so that any loss heals."""
CHANGE_REPEATS = 2
"""Each change is in this many messages in a row, so that the loss of one message delays it by
`REGION_INTERVAL_S` only. Limits and leaves must be known within a second."""
HALL_SOURCE = "hall"
"""Source under which hosts know the totals of their hall's reader, which include other regions."""


class RegionLoads(msgspec.Struct, frozen=True, tag="region_loads"):
    """Message with the load of engines by all hosts of the sender's region; it isn't answered."""

    address: str
    """First reader of the region."""
    region: RegionId | None
    sequence: int
    """Number of the message; it counts from 0 when a host becomes the first reader."""
    sums: tuple[EngineSum, ...]
    leaving: tuple[UpstreamInstance, ...] = ()
    """Instances that announced recently that they are leaving."""
    is_full: bool = False
    """Whether engines that aren't in `sums` are idle; otherwise they are unchanged."""
    is_relayed: bool = False
    """Whether it has been passed on within the receiving region."""


class OutgoingLoads:
    """Selects what the messages of this region's stream contain."""

    def __init__(self, regions: RegionMap) -> None:
        self.regions = regions
        sources = (region_source(each) for each in (*regions.regions, None))
        self._excluded_sources = frozenset({HALL_SOURCE, *sources})
        """Sources of what comes from other regions, which must not be sent back."""
        self._sequence = 0
        self._known_by_id: dict[UpstreamId, EngineSum] = {}
        """Figures of each engine as of the latest message, without ages."""
        self._repeats_by_id: dict[UpstreamId, int] = {}
        """How many more messages contain an engine that changed."""
        self._repeats_by_instance: dict[UpstreamInstance, int] = {}

    def restart(self) -> None:
        """Begin a new stream with the next message: this host isn't the first reader for now."""
        self._sequence = 0
        self._repeats_by_instance.clear()

    def next_message(
        self,
        address: str,
        trackers: Iterable[Tracker],
        leaving: Iterable[UpstreamInstance],
    ) -> RegionLoads:
        """Return the next message of the stream."""
        is_full = self._sequence % MESSAGES_PER_FULL == 0
        rows = [(each, summarize_region(each, self._excluded_sources)) for each in trackers]
        sums = tuple(row for tracker, row in rows if self._is_due(tracker, row, is_full))
        known = {row.upstream for _, row in rows}
        for gone in set(self._known_by_id) - known:
            del self._known_by_id[gone]
            self._repeats_by_id.pop(gone, None)
        message = RegionLoads(
            address, self.regions.own, self._sequence, sums, self._due_leaves(leaving), is_full
        )
        self._sequence += 1
        return message

    def has_new_leave(self, leaving: Iterable[UpstreamInstance]) -> bool:
        """Return whether an instance has announced its leave since the last message."""
        return any(each not in self._repeats_by_instance for each in leaving)

    def _is_due(self, tracker: Tracker, row: EngineSum, is_full: bool) -> bool:
        """Return whether a message contains an engine."""
        figures = msgspec.structs.replace(row, response_age_ms=0, unresponsive_ms=None, limit=None)
        repeats = self._repeats_by_id.get(row.upstream, 0)
        if self._known_by_id.get(row.upstream) != figures:
            self._known_by_id[row.upstream] = figures
            repeats = CHANGE_REPEATS
        self._repeats_by_id[row.upstream] = max(0, repeats - 1)
        if is_full:
            return not _is_idle(row) or repeats > 0
        return repeats > 0 or _has_health_facts(row) or self._has_responded(tracker, row)

    def _has_responded(self, tracker: Tracker, row: EngineSum) -> bool:
        """Return whether an engine of this region responded since the last message."""
        is_recent = row.response_age_ms <= REGION_INTERVAL_S * 1000
        return is_recent and self.regions.is_own(tracker.entry.hall)

    def _due_leaves(self, leaving: Iterable[UpstreamInstance]) -> tuple[UpstreamInstance, ...]:
        """Return the instances of which the leave was in less than `CHANGE_REPEATS` messages."""
        self._repeats_by_instance = {
            each: self._repeats_by_instance.get(each, CHANGE_REPEATS + 1) - 1 for each in leaving
        }
        return tuple(each for each, left in self._repeats_by_instance.items() if left > 0)


class IncomingStream:
    """What another region has sent last."""

    def __init__(self) -> None:
        self.sum_by_id: dict[UpstreamId, EngineSum] = {}
        self._address = ""
        self._sequence = -1
        self.received_at = float("-inf")
        """When the latest message was received, by the boot-time clock."""

    def accept(self, message: RegionLoads) -> None:
        """Take in a message; drop what may be outdated because messages are missing before it."""
        now = clocks.now_s()
        is_same = message.address == self._address
        missing = message.sequence - self._sequence - 1 if is_same else 0
        is_silent = now - self.received_at > REPORT_TTL_S
        if message.is_full or is_silent or not 0 <= missing < CHANGE_REPEATS:
            self.sum_by_id.clear()
        self.sum_by_id.update({each.upstream: each for each in message.sums})
        self._address = message.address
        self._sequence = message.sequence
        self.received_at = now


class IncomingLoads:
    """Applies the streams of other regions to the trackers of engines."""

    def __init__(self, regions: RegionMap, trackers: Trackers, upstreams: UpstreamList) -> None:
        self.regions = regions
        self.trackers = trackers
        self.upstreams = upstreams
        self._stream_by_region: dict[RegionId | None, IncomingStream] = {}

    def apply(self, message: RegionLoads) -> None:
        """Apply a message.

        The loads of engines that it leaves out are renewed: they expire `REPORT_TTL_S` after the
        latest message of the stream.
        """
        stream = self._stream_by_region.setdefault(message.region, IncomingStream())
        stream.accept(message)
        source = region_source(message.region)
        for reported in stream.sum_by_id.values():
            tracker = self._find_tracker(reported)
            if tracker is not None:
                tracker.load.apply_sum(source, reported.load, False)
                tracker.apply_region_failure_rate(reported.failure_percent / 100)
        for reported in message.sums:
            tracker = self._find_tracker(reported)
            if tracker is not None:
                _apply_health(tracker, source, reported, message.address)
                if self.regions.region_of(tracker.entry.hall) == message.region:
                    apply_service_time(tracker, reported)
        for instance in message.leaving:
            self.upstreams.record_leaving(instance, None, message.address)

    def live_sources(self, now: float) -> set[str]:
        """Return the sources of the regions whose sums have not expired."""
        return {
            region_source(region)
            for region, stream in self._stream_by_region.items()
            if now - stream.received_at < REPORT_TTL_S
        }

    def _find_tracker(self, reported: EngineSum) -> Tracker | None:
        tracker = self.trackers.by_id.get(reported.upstream)
        is_known = tracker is not None and tracker.entry.born_ms == reported.born_ms
        return tracker if is_known else None


def region_source(region: RegionId | None) -> str:
    """Return the source under which hosts know the loads of another region."""
    return f"region {region}"


def summarize_region(tracker: Tracker, excluded_sources: Collection[str]) -> EngineSum:
    """Return the load and health of one engine by this region, without reports of others."""
    now = clocks.now_s()
    since = tracker.liveness.unresponsive_since(now, excluded_sources)
    return msgspec.structs.replace(
        summarize(tracker, False, now),
        load=tracker.load.total_sum(excluded_sources),
        failure_percent=round(100 * tracker.own_region_failure_rate),
        unresponsive_ms=None if since is None else round(1000 * (now - since)),
    )


def _apply_health(tracker: Tracker, source: str, reported: EngineSum, reporter: str) -> None:
    apply_liveness(tracker.liveness, source, reported, clocks.now_s(), is_elsewhere=True)
    if reported.is_replaced:
        tracker.record_replaced()
    tracker.apply_limit(reported.limit, reporter, is_first_hand=False)


def _has_health_facts(row: EngineSum) -> bool:
    return row.is_replaced or row.unresponsive_ms is not None or row.limit is not None


def _is_idle(row: EngineSum) -> bool:
    return not (any(row.load.requests) or row.failure_percent or _has_health_facts(row))
