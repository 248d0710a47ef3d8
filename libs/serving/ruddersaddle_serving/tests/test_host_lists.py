"""Tests that all hosts converge on one list of hosts, also if they start at the same time."""

import unittest
from unittest import mock

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.entry_hosts import EntryHost
from ruddersaddle_serving.host_lists import HostList
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.neighbour_messages import NeighbourMessage
from ruddersaddle_serving.neighbours import Neighbours
from ruddersaddle_serving.ports import Page, Record, StorePosition
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.store_eras import StoreEras
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_quotas import JOIN_GRACE_S

HALL = HallId("h")


def record_of(number: int) -> HostRecord:
    return HostRecord(f"10.0.0.{number}:1", HALL)


def page_of(numbers: range) -> Page:
    """Return a page of the list with these hosts registered."""
    records = tuple(
        Record(f"host-{number}", msgspec.json.encode(record_of(number)), number)
        for number in numbers
    )
    return Page(records, StorePosition(1, len(numbers)))


def at(offset: int) -> StorePosition:
    return StorePosition(1, offset)


class StopReadingError(Exception):
    """Ends the task that reads the list."""


class FakePeers:
    """Delivers requests to other hosts by direct calls."""

    def __init__(self, by_address: dict[str, Neighbours]) -> None:
        self.by_address = by_address

    def ask(self, address: str, message: NeighbourMessage, timeout_s: float) -> NeighbourMessage:
        return self.by_address[address]._handle(message)

    def keep_only(self, addresses: set[str]) -> None:
        pass


class HostListsTest(FixedClockTest):
    def make(self, number: int, registered: int) -> Neighbours:
        """Return a host that read the list when `registered` hosts were on it."""
        store = mock.Mock(eras=StoreEras())
        neighbours = Neighbours(
            Hosts(HostId(f"host-{number}"), record_of(number), []),
            store,
            Publications(),
            UpstreamList(),
            Trackers(),
            CachedParts(mock.Mock()),
            CrashRecords(),
        )
        neighbours.peers = FakePeers(self.by_address)
        self.by_address[neighbours.address] = neighbours
        neighbours.host_list.apply_page(page_of(range(registered)))
        return neighbours

    def setUp(self) -> None:
        super().setUp()
        self.by_address: dict[str, Neighbours] = {}

    def count(self, neighbours: Neighbours) -> int:
        return neighbours.hosts.count

    def test_host_that_read_early_learns_the_list_from_any_other(self) -> None:
        """Of 71 hosts, twelve knew only three to seven of the others until they were stopped."""
        late = [self.make(number, 12) for number in range(12)]
        early = self.make(3, 5)
        asked = next(each for each in late if not each.hosts.is_reader())
        early._request_state(asked.address)
        self.assertEqual(self.count(early), 12)

    def test_list_of_a_reader_that_read_early_changes_nothing(self) -> None:
        host = self.make(11, 12)
        for number in range(12):
            self.make(number, 5)
        for address in list(self.by_address):
            host._request_state(address)
        self.assertEqual(self.count(host), 12)

    def test_reader_that_gets_a_request_of_a_host_with_a_newer_list_reads_again_soon(self) -> None:
        reader = self.make(0, 5)
        self.assertFalse(reader.host_list.is_outdated)
        self.make(11, 12)._request_state(reader.address)
        self.assertTrue(reader.host_list.is_outdated)
        reader.host_list.apply_page(page_of(range(12)))
        self.assertFalse(reader.host_list.is_outdated)
        self.assertEqual(self.count(reader), 12)

    def test_other_readers_are_notified_of_a_changed_list(self) -> None:
        fleet = [self.make(number, 11) for number in range(12)]
        readers = self.make(11, 12).hosts.readers()
        reader = next(each for each in fleet if each.address in readers)
        other = next(each for each in readers if each != reader.address)
        reader.peers.broadcast = mock.Mock()
        reader.refresh()
        reader.peers.broadcast.reset_mock()
        reader.host_list.apply_page(page_of(range(12)))
        reader.refresh()
        (addresses, _), _ = reader.peers.broadcast.call_args
        self.assertIn(other, addresses)

    def test_all_hosts_learn_the_complete_list_from_their_readers(self) -> None:
        """Each has read the list when a different number of hosts was on it."""
        fleet = [self.make(number, min(30, 3 + number)) for number in range(30)]
        self.make(29, 30)
        for _ in range(12):
            for each in fleet:
                for address in each.hosts.readers():
                    if address != each.address:
                        each._request_state(address)
                if each.host_list.is_outdated and each.hosts.is_reader():
                    each.host_list.apply_page(page_of(range(30)))
        self.assertEqual({self.count(each) for each in fleet}, {30})


class RejoiningTest(FixedClockTest):
    """Hosts that were killed waited for 3 s for a part that the others had left to them."""

    def start(self, *pages: Page | Failure) -> HostList:
        """Return the list of a host that has read these pages after its start."""
        store = mock.Mock(eras=StoreEras())
        store.put.return_value = None
        store.newest.side_effect = [*pages, StopReadingError]
        hosts = Hosts(HostId("host-0"), record_of(0), [])
        host_list = HostList(hosts, store)
        with (
            mock.patch.object(host_list, "_pause"),
            mock.patch("eventlet.sleep"),
            mock.patch.object(hosts, "is_reader", lambda: True),
            self.assertRaises(StopReadingError),
        ):
            host_list._follow()
        self.calls = [name for name, _, _ in store.method_calls]
        return host_list

    def test_host_that_was_killed_is_still_on_the_list(self) -> None:
        self.assertTrue(self.start(page_of(range(3)), page_of(range(3))).is_rejoining)
        self.assertEqual(self.calls[:2], ["newest", "put"])

    def test_new_host_is_not_on_the_list(self) -> None:
        self.assertFalse(self.start(page_of(range(1, 3)), page_of(range(3))).is_rejoining)

    def test_host_that_was_killed_in_its_planned_stop_is_not_counted_for_long(self) -> None:
        own = msgspec.structs.replace(record_of(0), is_leaving=True)
        leaving = Record("host-0", msgspec.json.encode(own), 0)
        self.assertFalse(self.start(Page((leaving,), at(1))).is_rejoining)

    def test_host_that_could_not_look_before_it_registered_is_new(self) -> None:
        """What it finds on the list after that may be its own record."""
        failure = Failure(Code.LOG_UNAVAILABLE, Step.READ, "store", "status 503")
        self.assertFalse(self.start(failure, page_of(range(3))).is_rejoining)

    def test_part_of_a_host_that_was_killed_is_known_from_its_first_list_on(self) -> None:
        host = mock.Mock()
        host.quotas.may_split = False
        host.hosts.position = at(3)
        for is_rejoining in (True, False):
            host.neighbours.host_list.is_rejoining = is_rejoining
            found = EntryHost._count_slack_hosts(host)
            self.assertEqual(found, host.hosts.sending_count if is_rejoining else None)


class ConfirmationTest(FixedClockTest):
    def test_reader_reads_its_first_list_again_before_it_takes_its_part(self) -> None:
        """One that read the list while others started again divided by three, not by seven."""
        store = mock.Mock(eras=StoreEras())
        hosts = Hosts(HostId("host-0"), record_of(0), [])
        host_list = HostList(hosts, store)
        before = page_of(range(1, 3))
        pages = [before, page_of(range(3)), page_of(range(7))]
        store.newest.side_effect = [*pages, StopReadingError]
        waits = []

        def pause(seconds: float) -> None:
            waits.append(seconds)
            self.now += seconds

        with (
            mock.patch.object(host_list, "_pause", pause),
            mock.patch.object(hosts, "is_reader", lambda: True),
            self.assertRaises(StopReadingError),
        ):
            host_list._follow()
        self.assertEqual(hosts.count, 7)
        self.assertLess(waits[0], JOIN_GRACE_S)

    def test_host_that_a_late_write_of_its_former_process_removed_registers_again(self) -> None:
        """It stayed off the list, or marked as leaving, for good."""
        store = mock.Mock(eras=StoreEras())
        store.put.return_value = None
        own = record_of(0)
        hosts = Hosts(HostId("host-0"), own, [])
        host_list = HostList(hosts, store)
        leaving = Record(
            "host-0", msgspec.json.encode(msgspec.structs.replace(own, is_leaving=True)), 9
        )
        others = page_of(range(1, 3))
        pages = [
            page_of(range(3)),
            page_of(range(3)),
            msgspec.structs.replace(others, end=at(8)),
            msgspec.structs.replace(others, records=(*others.records, leaving), end=at(9)),
            msgspec.structs.replace(page_of(range(3)), end=at(10)),
        ]
        store.newest.side_effect = [*pages, StopReadingError]
        with (
            mock.patch.object(host_list, "_pause"),
            mock.patch.object(hosts, "is_reader", lambda: True),
            self.assertRaises(StopReadingError),
        ):
            host_list._follow()
        self.assertEqual(store.put.call_count, 3)


if __name__ == "__main__":
    unittest.main()
