"""The list of entry hosts, and which of them are readers for the others.

What every host must know (published items, entries of upstreams, listings of context stores, loads
of engines) is read by one host in each hall, the reader, and sent to the others of that hall. The
number of calls to the platform and to upstreams thus grows with the halls, not with the hosts.

With several regions, one host of each region reads the store for its region, and halls' readers go
on to collect loads. Hosts exchange with other regions only through the first readers of regions.
"""

import logging
from collections.abc import Callable
from zlib import crc32

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import HallId, HostId, RegionId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.departures import Departures
from ruddersaddle_serving.ports import TOPIC_START, StorePosition
from ruddersaddle_serving.regions.maps import RegionMap

logger = logging.getLogger(__name__)

READERS_MIN = 2
"""Minimum number of readers; the second one serves while the first is being replaced."""
UNRESPONSIVE_S = 4.0
"""How long a host that did not answer counts as unresponsive. The time doubles with each further
failure, as the record of a host that is gone for good stays on the list."""
UNRESPONSIVE_MAX_S = 64.0
DEPARTURE_MEMORY_S = 30.0
"""Default time for which a host that has left the list counts as one that may send requests."""
READERS_KEY = "readers"
"""Key of the rendezvous hash that ranks hosts as readers."""


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """Peer address, hall and link bandwidth (Mbit/s) of a host."""

    address: str
    hall: HallId
    link_mbps: float = 0.0
    relay: str = ""
    """Address at which it accepts relayed requests; empty if it doesn't."""
    is_leaving: bool = False
    """Whether its planned stop has begun: it gets no duties and no relayed requests, but its own
    requests go on."""


class Hosts:
    """The other hosts by id, and this one.

    `seeds` are addresses from the settings; until their records are known they are treated as hosts
    of this hall with the narrowest link.
    """

    def __init__(
        self,
        own_id: HostId,
        own: HostRecord,
        seeds: list[str],
        regions: RegionMap | None = None,
        departure_memory_s: float = DEPARTURE_MEMORY_S,
    ) -> None:
        self.own_id = own_id
        self.own = own
        self.regions = RegionMap(own.hall, {}) if regions is None else regions
        self.by_id: dict[HostId, HostRecord] = {}
        self.leaving_by_id: dict[HostId, HostRecord] = {}
        """Other hosts whose planned stop has begun and, as far as is known, has not ended."""
        self.departures = Departures(departure_memory_s)
        self.known_at = float("inf")
        """Time at which this host first read or received a list, by the boot-time clock."""
        self.position = TOPIC_START
        """Position after the newest record of the list; TOPIC_START if it is not known."""
        self.listeners: list[Callable[[], None]] = []
        """Called synchronously when this host may have become a reader: the list has changed, or a
        host has become unresponsive. A host that responds again makes no other a reader."""
        self._seeds = [seed for seed in seeds if seed and seed != own.address]
        self._unresponsive_until: dict[str, float] = {}
        self._failures_by_address: dict[str, int] = {}
        self._others: list[HostRecord] | None = None
        self._region_others: list[HostRecord] | None = None
        self._digest: int | None = None
        self._ranked: list[HostRecord] = []
        self._ranked_until = float("-inf")
        """Time until which `_ranked` is valid. Ranking takes some hundred microseconds and is used
        some hundred times a second, so the result is cached until a host is added or removed,
        becomes unresponsive or responds again."""

    @property
    def is_known(self) -> bool:
        """Whether this host has read or received a list."""
        return self.known_at != float("inf")

    def replace(
        self, records: dict[HostId, HostRecord], position: StorePosition = TOPIC_START
    ) -> bool:
        """Apply a complete list as of a position; return whether it differs from the known one.

        A list older than the known one is ignored. Otherwise hosts that read the list while others
        were still starting knew only three to seven of 71 for good, and read the store themselves.
        """
        if position < self.position:
            return False
        self.position = position
        self.known_at = min(self.known_at, clocks.now_s())
        others = {host: record for host, record in records.items() if host != self.own_id}
        listed = {host: record for host, record in others.items() if not record.is_leaving}
        self.leaving_by_id = {host: each for host, each in others.items() if each.is_leaving}
        return self._apply_listed(listed)

    def _apply_listed(self, listed: dict[HostId, HostRecord]) -> bool:
        """Apply which other hosts are listed; return whether that differs from what was known."""
        self.departures.apply(listed, {*self.leaving_by_id, *(set(self.by_id) - set(listed))})
        changed = listed != self.by_id
        self.by_id = listed
        if changed:
            self._invalidate_caches()
        return changed

    def _invalidate_caches(self) -> None:
        self._others = None
        self._region_others = None
        self._digest = None
        self._ranked_until = float("-inf")
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    def add(self, host: HostId, record: HostRecord) -> None:
        """Add the record of a host that has sent a request to this one."""
        known = self.leaving_by_id if record.is_leaving else self.by_id
        if host == self.own_id or known.get(host) == record:
            return
        listed = {each: other for each, other in self.by_id.items() if each != host}
        self.leaving_by_id.pop(host, None)
        changed = self.leaving_by_id if record.is_leaving else listed
        changed[host] = record
        self._apply_listed(listed)

    def record_own_leave(self) -> None:
        """Record that this host's planned stop has begun."""
        self.own = msgspec.structs.replace(self.own, is_leaving=True)

    def all_by_id(self) -> dict[HostId, HostRecord]:
        """Return the records of all hosts, this one included."""
        return {**self.by_id, self.own_id: self.own}

    def record_unresponsive(self, address: str) -> None:
        """Record that a host did not answer."""
        now = clocks.now_s()
        if now < self._unresponsive_until.get(address, now):
            return
        failures = self._failures_by_address.get(address, 0)
        self._failures_by_address[address] = failures + 1
        pause_s = min(UNRESPONSIVE_MAX_S, UNRESPONSIVE_S * 2**failures)
        self._unresponsive_until[address] = now + pause_s
        logger.info("Host at %s does not answer; not asked again for %.0f s.", address, pause_s)
        self._ranked_until = float("-inf")
        self._notify_listeners()

    def record_response(self, address: str) -> None:
        """Record a message from a host: it is alive."""
        if self._failures_by_address.pop(address, None) is not None:
            logger.info("Host at %s answers again.", address)
        if self._unresponsive_until.pop(address, None) is not None:
            self._ranked_until = float("-inf")

    def is_responsive(self, address: str) -> bool:
        """Return whether a host is not known to be unresponsive."""
        return clocks.now_s() >= self._unresponsive_until.get(address, float("-inf"))

    def others(self) -> list[HostRecord]:
        """Return all other known hosts, sorted by address."""
        if self._others is not None:
            return self._others
        by_address = {seed: HostRecord(seed, self.own.hall) for seed in self._seeds}
        for record in self.by_id.values():
            by_address[record.address] = record
        by_address.pop(self.own.address, None)
        self._others = [by_address[address] for address in sorted(by_address)]
        return self._others

    def addresses(self) -> list[str]:
        """Return the addresses of all other hosts."""
        return [record.address for record in self.others()]

    def region_others(self) -> list[HostRecord]:
        """Return the other known hosts of this region, sorted by address; all if undivided."""
        if self._region_others is None:
            is_own = self.regions.is_own
            self._region_others = [each for each in self.others() if is_own(each.hall)]
        return self._region_others

    def region_addresses(self) -> list[str]:
        """Return the addresses of the other hosts of this region."""
        return [record.address for record in self.region_others()]

    def is_in_region(self, address: str) -> bool:
        """Return whether an address is that of a host of this region; true if undivided."""
        return not self.regions.is_divided or any(
            each.address == address for each in (self.own, *self.region_others())
        )

    def hall_addresses(self) -> list[str]:
        """Return the addresses of the other hosts of this hall."""
        return [each.address for each in self.others() if each.hall == self.own.hall]

    def live(self) -> list[HostRecord]:
        """Return the hosts that are not known to be unresponsive, this one first."""
        now = clocks.now_s()
        unresponsive = {
            address for address, until in self._unresponsive_until.items() if now < until
        }
        return [self.own, *(each for each in self.others() if each.address not in unresponsive)]

    @property
    def digest(self) -> int:
        """Checksum of the list; equal on hosts that know the same hosts."""
        if self._digest is None:
            names = sorted(f"{host}={record}" for host, record in self.all_by_id().items())
            self._digest = crc32("\n".join(names).encode())
        return self._digest

    @property
    def count(self) -> int:
        """Approximate number of hosts, this one included."""
        return 1 + len(self.others())

    @property
    def sending_count(self) -> int:
        """Number of hosts that may send requests, this one included: those on the list, and those
        that have left it a short while ago."""
        return self.count + self.departures.count()

    @property
    def region_count(self) -> int:
        """Approximate number of hosts of this region, this one included."""
        return 1 + len(self.region_others())

    def reader_by_hall(self) -> dict[HallId, str]:
        """Return the reader of each hall, the widest link first, as it answers all other hosts."""
        first_by_hall: dict[HallId, str] = {}
        for each in self._by_link_width():
            first_by_hall.setdefault(each.hall, each.address)
        return first_by_hall

    def region_reader_by_hall(self) -> dict[HallId, str]:
        """Return the readers of the halls of this region; of all halls if undivided."""
        by_hall = self.reader_by_hall()
        return {hall: each for hall, each in by_hall.items() if self.regions.is_own(hall)}

    def reader_by_region(self) -> dict[RegionId | None, str]:
        """Return the first reader of each region, chosen as the readers of halls are.

        Hosts of halls that are not on the map count as a region without a name.
        """
        first_by_region: dict[RegionId | None, str] = {}
        for each in self._by_link_width():
            first_by_region.setdefault(self.regions.region_of(each.hall), each.address)
        return first_by_region

    def other_region_readers(self) -> dict[RegionId | None, str]:
        """Return the first reader of each other region; empty if undivided."""
        if not self.regions.is_divided:
            return {}
        own = self.regions.own
        return {each: address for each, address in self.reader_by_region().items() if each != own}

    @property
    def is_region_reader(self) -> bool:
        """Whether this host is the first reader of its region; false if undivided."""
        if not self.regions.is_divided:
            return False
        return self.reader_by_region()[self.regions.own] == self.own.address

    def region_sources(self, count: int) -> list[str]:
        """Return the other hosts of this region that rank first as its reader, at most `count`."""
        ranked = (each for each in self._by_link_width() if each.address != self.own.address)
        return [each.address for each in ranked if self.regions.is_own(each.hall)][:count]

    def rank_in_region(self, duty: str) -> int:
        """Return this host's rank for a duty among the responsive hosts of its region."""
        live = [each.address for each in self.live() if self.regions.is_own(each.hall)]
        return rank_names(duty, live).index(self.own.address)

    def rank(self, duty: str) -> int:
        """Return this host's rank for a duty among all responsive hosts."""
        live = [each.address for each in self.live()]
        return rank_names(duty, live).index(self.own.address)

    def ranked_before_own(self, count: int) -> list[str]:
        """Return the hosts of this region that rank before this one as its reader, at most `count`
        of them."""
        first = [each for each in self._by_link_width() if self.regions.is_own(each.hall)][:count]
        addresses = [each.address for each in first]
        own = self.own.address
        return addresses[: addresses.index(own)] if own in addresses else addresses

    def _by_link_width(self) -> list[HostRecord]:
        now = clocks.now_s()
        if now >= self._ranked_until:
            live = self.live()
            names = rank_names(READERS_KEY, [each.address for each in live])
            rank = {name: place for place, name in enumerate(names)}
            self._ranked = sorted(live, key=lambda each: (-each.link_mbps, rank[each.address]))
            ends = [until for until in self._unresponsive_until.values() if until > now]
            self._ranked_until = min(ends, default=float("inf"))
        return self._ranked

    def readers(self) -> list[str]:
        """Return the addresses of all readers, that of this hall or region first.

        There is one for each hall or, with several regions, one for each region.
        """
        if self.regions.is_divided:
            own = self.reader_by_region()[self.regions.own]
            others = self.other_region_readers()
            readers = [own, *(others[each] for each in sorted(others, key=str))]
        else:
            by_hall = self.reader_by_hall()
            halls = sorted(by_hall, key=lambda hall: (hall != self.own.hall, hall))
            readers = [by_hall[hall] for hall in halls]
        missing = READERS_MIN - len(readers)
        if missing > 0:
            spare = [each.address for each in self._by_link_width() if each.address not in readers]
            readers += spare[:missing]
        return readers

    def reader_rank(self) -> int:
        """Return this host's rank among the readers, in an order that all hosts agree on."""
        return sum(each < self.own.address for each in self.readers())

    def hall_reader(self) -> str:
        """Return the address of the reader of this hall."""
        return self.reader_by_hall()[self.own.hall]

    def is_reader(self) -> bool:
        """Return whether this host is a reader."""
        return self.own.address in self.readers()

    def serves_hall(self) -> bool:
        """Return whether this host collects data for its hall: a reader or, with several regions,
        the reader of its hall."""
        if self.regions.is_divided:
            return self.hall_reader() == self.own.address
        return self.is_reader()
