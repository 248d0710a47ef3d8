"""Decides when a request is sent to an upstream of another region.

Nothing here reads a clock or a socket; times are in seconds.
"""

import math
import random
from collections.abc import Iterable

import msgspec
from ruddersaddle_base.ids import RegionId

from ruddersaddle_serving.engine_loads import PRIORITY_LEVELS
from ruddersaddle_serving.regions.links import QUEUE_MAX_S, Link, LinkStatus
from ruddersaddle_serving.regions.maps import RegionMap
from ruddersaddle_serving.trackers import Tracker
from ruddersaddle_serving.weighings import Estimate

SPARE_SHARE = 0.2
"""Share of an engine's slots and memory that requests of other regions leave free.

Load pattern: one region loses half of its engines, and each of its 33 hosts sends what is left over
to the other region by a view that is up to half a second old. Of 50 requests in that time, each of
22 engines gets two or three, so the last fifth (6 of 32 slots) stays free for the region's own.
"""
ROOM_SHARE_MIN = 0.5
"""Share of a region's engines that must have room before it gets requests of other regions."""
IN_TIME_SHARE = 0.9
"""Share of the latency target within which the first event must be predicted. The share that
admission demands within a region falls to 0.7 for large prompts, as they take the place of several
small ones; an engine with room to spare has no such choice to make."""
FIRST_WINDOW_BYTES = 14_600
"""Bytes that TCP sends on a new connection before the first acknowledgement; each further round
trip doubles it."""


class RegionSplit(msgspec.Struct, frozen=True):
    """Upstreams of this host's region, and of others."""

    own: list[Tracker]
    others: list[Tracker]


def split_by_region(trackers: Iterable[Tracker], regions: RegionMap) -> RegionSplit:
    """Return the upstreams divided by region.

    Load pattern: calm traffic in both regions. If engines were ranked by affinity over both, only
    half of the candidates that are compared would be in the own region, and a prompt's parts would
    be cached twice among engines that neither region uses alone.
    """
    split = RegionSplit([], [])
    for each in trackers:
        (split.own if regions.is_own(each.entry.hall) else split.others).append(each)
    return split


def may_overflow(link: Link) -> bool:
    """Return whether a request that the own region can't serve in time may cross a link.

    Load pattern: the link is full of other traffic, or cut. What crosses it then arrives late and
    delays the state that both regions need, while a refusal lets the caller try again at once.
    """
    return link.status is LinkStatus.ANSWERS and link.queue_s <= QUEUE_MAX_S


def is_reachable(link: Link) -> bool:
    """Return whether a request that only another region may serve can be sent there."""
    return link.status is not LinkStatus.SILENT


def crossing_s(link: Link, body_bytes: int, has_connection: bool) -> float:
    """Return how much later a first event arrives from another region.

    Connecting takes one round trip, the request and its answer another, and a body that exceeds
    TCP's first window one more each time that the window doubles.
    """
    windows = math.ceil(math.log2(1 + body_bytes / FIRST_WINDOW_BYTES))
    round_trips = max(1, windows) + (not has_connection)
    return round_trips * link.round_trip_s


def is_usable(tracker: Tracker) -> bool:
    """Return whether an upstream is likely to serve a request at all.

    Load pattern: all engines of a region are lost. They look idle, and would be preferred.
    """
    return tracker.is_healthy and not tracker.is_avoided


def has_room(tracker: Tracker, tokens: int) -> bool:
    """Return whether an engine of another region has room beyond its region's own work.

    Requests of all priorities count: one from elsewhere must not displace the region's own.
    """
    if not is_usable(tracker):
        return False
    backlog = tracker.load.backlog(PRIORITY_LEVELS - 1)
    slots, memory = tracker.entry.slots, tracker.memory.capacity_tokens
    share = 1.0 - SPARE_SHARE
    has_slot = not slots or backlog.requests + 1 <= share * slots
    return has_slot and (not memory or backlog.tokens + tokens <= share * memory)


def select_with_room(trackers: Iterable[Tracker], regions: RegionMap, tokens: int) -> list[Tracker]:
    """Return the engines with room for a request, of regions that aren't full themselves.

    Load pattern: both regions are full. If each sent to the other what it can't admit itself, they
    would swap their work at the cost of the link, and caches would serve neither. Single engines
    have room for a moment at any load, so most of a region's engines must have it.
    """
    by_region: dict[RegionId | None, list[Tracker]] = {}
    for each in trackers:
        by_region.setdefault(regions.region_of(each.entry.hall), []).append(each)
    selected: list[Tracker] = []
    for engines in by_region.values():
        with_room = [each for each in engines if has_room(each, tokens)]
        if len(with_room) >= ROOM_SHARE_MIN * len(engines):
            selected += with_room
    return selected


def is_in_time(estimate: Estimate, target_s: float) -> bool:
    """Return whether the first event is predicted in time, the crossing included.

    Unlike in the own region, a request that doesn't have to wait isn't sent if it would be late:
    its prefill would take as long as at home, and the crossing comes on top.
    """
    return estimate.first_s <= IN_TIME_SHARE * target_s


def pick_crossing(
    estimates: Iterable[Estimate], target_s: float, margin_s: float
) -> Estimate | None:
    """Return the engine of another region for a request, or None if it must not cross.

    One of those within `margin_s` of the earliest is drawn at random: all hosts of a region have
    the same view of the other one, which is half a second old.
    """
    fitting = [each for each in estimates if is_in_time(each, target_s)]
    if not fitting:
        return None
    earliest_s = min(each.first_s for each in fitting)
    return random.choice([each for each in fitting if each.first_s <= earliest_s + margin_s])


def has_free_slot(tracker: Tracker) -> bool:
    """Return whether a plain service has a slot that none of this host's requests holds.

    Load pattern: calls of 20 ms. The region's own services take them all; services of another
    region are used only if those of the own one are down or held by calls that hang.
    """
    return is_usable(tracker) and tracker.in_flight < max(1, tracker.entry.slots)
