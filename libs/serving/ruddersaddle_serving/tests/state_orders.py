"""Hosts that read entries of upstreams and ask one another, with drawn delays, in virtual time.

Each read and each request has three moments: it is sent, handled and answered. Anything else may
happen to any host between them.
"""

import itertools
from random import Random
from unittest import mock

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId, PoolId, UpstreamId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.neighbour_messages import NeighbourMessage
from ruddersaddle_serving.neighbours import Neighbours
from ruddersaddle_serving.ports import Page, Record, StorePosition
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.store_eras import StoreEras
from ruddersaddle_serving.store_followers import StoreLink, UpstreamFollower
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.tests.virtual_schedules import VirtualSchedule
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

POOL = PoolId("p")
HALL = HallId("h")
ERA = 1
DELAYS_S = (0.001, 0.01, 0.05, 0.2, 0.35)
"""Delays of each way of a request; the last two are those of a slow or frozen host."""
LOST_SHARE = 0.1
READ_PAUSE_S = 0.8
ASK_PAUSE_S = 0.6
RESTART_SHARE = 0.2
FREEZE_S = 1.5
STARTED = 4
CHANGE_PAUSE_S = 1.5


def make_entry(upstream: str, leaving: bool) -> UpstreamEntry:
    """Return the entry of an upstream."""
    return UpstreamEntry(UpstreamId(upstream), POOL, "10.1.0.1:80", HALL, 4, leaving, {})


class EntryLog:
    """The store's topic of entries: all writes with the time at which the store took them."""

    def __init__(self) -> None:
        self.writes: list[tuple[float, str, UpstreamEntry | None]] = []

    def put(self, at: float, upstream: str, entry: UpstreamEntry | None) -> None:
        """Append a write."""
        self.writes.append((at, upstream, entry))

    def page(self, since: StorePosition | None) -> Page:
        """Return a page: complete without a position, else the writes from there on."""
        end = StorePosition(ERA, len(self.writes))
        rows = [
            Record(key, b"" if entry is None else msgspec.json.encode(entry), offset)
            for offset, (_, key, entry) in enumerate(self.writes)
        ]
        if since is not None:
            return Page(tuple(rows[since.offset :]), end)
        newest = {row.key: row for row in rows}
        return Page(tuple(row for row in newest.values() if row.value), end)

    def taken_leaves(self, before: float) -> set[str]:
        """Return the upstreams whose leave the store had taken before a time."""
        return {
            key
            for at, key, entry in self.writes
            if at < before and (entry is None or entry.leaving)
        }

    def taken_starts(self, before: float) -> set[str]:
        """Return the upstreams that the store had taken as accepting work before a time."""
        return {key for at, key, entry in self.writes if at < before and entry is not None}


class DelayedPeers:
    """The connections of one host: each request takes virtual time."""

    def __init__(self, fleet: "StateOrders", address: str) -> None:
        self.fleet = fleet
        self.address = address

    def ask(self, address: str, message: NeighbourMessage, timeout_s: float) -> object:
        """Ask a host; the answer may be lost, or come after the time-out."""
        fleet = self.fleet
        sent_at = fleet.test.now
        fleet.sleep(fleet._draw_delay())
        if fleet.random.random() < LOST_SHARE or address in fleet.frozen:
            fleet.sleep(max(0.0, sent_at + timeout_s - fleet.test.now))
            return Failure(Code.PEER_GONE, Step.PEER, address)
        answer = fleet.by_address[address]._handle(message)
        fleet.sleep(fleet._draw_delay())
        if fleet.test.now - sent_at > timeout_s:
            return Failure(Code.PEER_GONE, Step.PEER, address)
        return answer

    def broadcast(self, addresses: list[str], message: NeighbourMessage) -> None:
        """Send a message that needs no answer."""
        for each in addresses:
            if self.fleet.random.random() >= LOST_SHARE:
                self.fleet.spawn(lambda each=each: self._deliver(each, message))

    def _deliver(self, address: str, message: NeighbourMessage) -> None:
        self.fleet.sleep(self.fleet._draw_delay())
        if address not in self.fleet.frozen:
            self.fleet.by_address[address]._handle(message)

    def keep_only(self, addresses: set[str]) -> None:
        """Do nothing: there are no connections."""


class StateOrders(VirtualSchedule):
    """Some hosts of one hall, the store's topic of entries, and the schedule of what they do."""

    def __init__(self, test: FixedClockTest, seed: int, count: int) -> None:
        super().__init__(test)
        self.random = Random(seed)
        self.log = EntryLog()
        self.frozen: set[str] = set()
        self.records = {
            HostId(f"host-{n}"): HostRecord(f"10.0.0.{n}:1", HALL) for n in range(count)
        }
        self.by_address: dict[str, Neighbours] = {}
        self.follower_by_address: dict[str, UpstreamFollower] = {}
        for host in self.records:
            self.start_host(host)

    def start_host(self, host: HostId) -> None:
        """Start a host, or start it again without what it knew."""
        record = self.records[host]
        hosts = Hosts(host, record, [])
        hosts.replace(self.records)
        store = mock.Mock(eras=StoreEras())
        store.decode_upstream = lambda record: msgspec.json.decode(record.value, type=UpstreamEntry)
        upstreams = UpstreamList()
        neighbours = Neighbours(
            hosts,
            store,
            Publications(),
            upstreams,
            Trackers(),
            CachedParts(mock.Mock()),
            CrashRecords(),
        )
        neighbours.peers = DelayedPeers(self, record.address)
        self.by_address[record.address] = neighbours
        self.follower_by_address[record.address] = UpstreamFollower(store, StoreLink(), upstreams)

    def _draw_delay(self) -> float:
        """Return the delay of one way of a request."""
        return self.random.choice(DELAYS_S)

    # Tasks

    def start(self) -> None:
        """Start the tasks of all hosts, and freezes and restarts of drawn hosts in series."""
        for address in self.by_address:
            self.spawn(lambda address=address: self._read_store(address))
            self.spawn(lambda address=address: self._ask_readers(address))
        self.spawn(self._disturb)

    def _read_store(self, address: str) -> None:
        while True:
            if not self.by_address[address].hosts.is_reader():
                self.sleep(0.1)
                continue
            follower = self.follower_by_address[address]
            asked_at = self.test.now
            since = follower.position
            self.sleep(self._draw_delay())
            page = self.log.page(since)
            self.sleep(self._draw_delay())
            self._hold_while_frozen(address)
            if follower.apply(page, since is None, asked_at):
                follower.position = page.end
            self.by_address[address]._broadcast_changes()
            self.sleep(READ_PAUSE_S)

    def _ask_readers(self, address: str) -> None:
        while True:
            self._hold_while_frozen(address)
            readers = self.by_address[address].hosts.readers()
            others = [each for each in readers if each != address]
            if others:
                self.by_address[address]._request_state(self.random.choice(others))
            self.sleep(ASK_PAUSE_S * self.random.random())

    def _disturb(self) -> None:
        while True:
            self.sleep(2.0 * self.random.random())
            host = self.random.choice(list(self.records))
            if self.random.random() < RESTART_SHARE:
                self.start_host(host)
            else:
                address = self.records[host].address
                self.frozen.add(address)
                self.sleep(FREEZE_S * self.random.random())
                self.frozen.discard(address)

    def _hold_while_frozen(self, address: str) -> None:
        while address in self.frozen:
            self.sleep(0.05)

    # The store

    def change_upstreams(self, first: int) -> None:
        """Let upstreams start, announce that they leave, and go, at drawn times, forever."""
        numbers = itertools.count(first)
        accepting = [str(next(numbers)) for _ in range(STARTED)]
        for each in accepting:
            self.log.put(self.test.now, each, make_entry(each, leaving=False))
        while True:
            self.sleep(CHANGE_PAUSE_S * self.random.random())
            left = accepting.pop(self.random.randrange(len(accepting)))
            if self.random.random() < 0.5:
                self.log.put(self.test.now, left, make_entry(left, leaving=True))
                self.sleep(0.5 * self.random.random())
            self.log.put(self.test.now, left, None)
            self.sleep(0.3 * self.random.random())
            accepting.append(str(next(numbers)))
            self.log.put(self.test.now, accepting[-1], make_entry(accepting[-1], leaving=False))

    # The check

    def check(self) -> None:
        """Check that each list has what the store took before the time it counts as confirmed."""
        for address, host in self.by_address.items():
            upstreams = host.upstreams
            accepting = {each.id for each in upstreams.of_pool(POOL)}
            left = self.log.taken_leaves(upstreams.confirmed_at)
            for upstream in sorted(accepting & left):
                self._record(address, f"{upstream} accepts work, which had left")
            started = self.log.taken_starts(upstreams.confirmed_at)
            gone = self.log.taken_leaves(self.test.now)
            for upstream in sorted(started - gone - accepting):
                self._record(address, f"{upstream} is missing, which had started")

    def _record(self, address: str, what: str) -> None:
        age_s = self.by_address[address].upstreams.age_s
        self.violations.append(
            f"{address} at {self.test.now:.3f} s, list {age_s:.3f} s old: {what}"
        )
