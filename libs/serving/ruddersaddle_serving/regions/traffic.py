"""Counts the bytes that this host sends to other regions, by cause."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum

import msgspec
from ruddersaddle_base.ids import RegionId

from ruddersaddle_serving.crash_shares import CrashUpdate
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.load_shares import LoadSums, Notices
from ruddersaddle_serving.part_updates import PartsRequest, PartsUpdate, StoreLost
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.regions.loads import RegionLoads


class Cause(Enum):
    """Why bytes are sent to another region."""

    STATE = "state"
    """State of hosts, changes of engines, and probes."""
    LOADS = "loads"
    PARTS = "parts"
    """What context stores hold; prompt parts themselves are sent by engines."""
    CRASHES = "crashes"
    REQUESTS = "requests"
    """Bodies of callers' requests."""


CAUSE_BY_KIND: dict[type, Cause] = {
    Notices: Cause.LOADS,
    LoadSums: Cause.LOADS,
    RegionLoads: Cause.LOADS,
    PartsRequest: Cause.PARTS,
    PartsUpdate: Cause.PARTS,
    StoreLost: Cause.PARTS,
    CrashUpdate: Cause.CRASHES,
}
"""Causes of messages by type; all others are state."""


class SentBytes(msgspec.Struct, frozen=True):
    """Bytes sent to a region for a cause since the start of this host."""

    region: RegionId | None
    cause: Cause
    count: int


class RegionTraffic:
    """The bytes sent to other regions; `Peers` counts messages by their type."""

    def __init__(self, hosts: Hosts, peers: Peers) -> None:
        self.hosts = hosts
        self.peers = peers
        self._count_by_region: dict[RegionId | None, Counter[type]] = {}
        self._request_bytes: Counter[RegionId | None] = Counter()

    def update(self) -> None:
        """Have `Peers` count what it sends to the hosts of other regions that are known now."""
        regions = self.hosts.regions
        if not regions.is_divided:
            return
        counters: dict[str, Counter[type]] = {}
        for each in self.hosts.others():
            if not regions.is_own(each.hall):
                region = regions.region_of(each.hall)
                counters[each.address] = self._count_by_region.setdefault(region, Counter())
        self.peers.counter_by_address = counters

    def record_request(self, region: RegionId | None, body_bytes: int) -> None:
        """Record that a request was sent to an upstream of another region."""
        self._request_bytes[region] += body_bytes

    def rows(self) -> Iterable[SentBytes]:
        """Return the bytes of each region and cause."""
        totals: dict[tuple[RegionId | None, Cause], int] = {}
        for region, by_kind in self._count_by_region.items():
            for kind, count in by_kind.items():
                key = (region, CAUSE_BY_KIND.get(kind, Cause.STATE))
                totals[key] = totals.get(key, 0) + count
        for region, count in self._request_bytes.items():
            totals[region, Cause.REQUESTS] = count
        return [SentBytes(region, cause, count) for (region, cause), count in totals.items()]
