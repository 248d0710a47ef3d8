"""Tests of when a host first lists context stores."""

import unittest
from unittest import mock

import eventlet
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId, StoreId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.neighbours import Neighbours
from ruddersaddle_serving.part_relays import PartRelay
from ruddersaddle_serving.ports import StoreListing
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import ContextStore, PublishedConfiguration, RouteTable
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList

HALL = HallId("h")
SPEC = ContextStore(StoreId("s"), "10.0.0.1:1", HALL, 100_000, 1000.0, 0.0, 12)
LOST = Failure(Code.UPSTREAM_FAILED, Step.READ, "s")


class FirstListingTest(unittest.TestCase):
    def test_stores_are_listed_as_soon_as_hosts_and_configuration_are_known(self) -> None:
        engines = mock.Mock()
        engines.store_listing.return_value = StoreListing(1, 0, (), ())
        engines.store_changes.return_value = LOST
        cached_parts = CachedParts(engines)
        hosts = Hosts(HostId("a"), HostRecord("10.0.0.2:1", HALL), [])
        neighbours = Neighbours(
            hosts,
            mock.Mock(),
            Publications(),
            UpstreamList(),
            Trackers(),
            cached_parts,
            CrashRecords(),
        )
        PartRelay(cached_parts, neighbours).start()
        cached_parts.start()
        cached_parts.apply_table(RouteTable(PublishedConfiguration(1, stores=(SPEC,))))
        eventlet.sleep(0.01)
        engines.store_listing.assert_not_called()
        neighbours.host_list.apply({HostId("b"): HostRecord("10.0.0.3:1", HALL)})
        eventlet.sleep(0.01)
        engines.store_listing.assert_called_once_with(SPEC)


if __name__ == "__main__":
    unittest.main()
