"""Tests of how a host gets the state of the readers."""

import math
import unittest
from unittest import mock

import eventlet
from eventlet.queue import LightQueue
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId, UpstreamId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.crash_records import (
    CRASHES_MAX,
    SHARED_MIN,
    CrashRecord,
    CrashRecords,
)
from ruddersaddle_serving.crash_shares import CRASH_RECORDS_MAX
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.neighbour_messages import NeighbourMessage, StateRequest
from ruddersaddle_serving.neighbours import Neighbours
from ruddersaddle_serving.ports import StorePosition
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.store_eras import StoreEras
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_entries import UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList

HALLS = [HallId("a"), HallId("b"), HallId("c"), HallId("d")]
RECORDS = {
    HostId(f"host-{number}"): HostRecord(f"10.0.0.{number}:1", HALLS[number % len(HALLS)])
    for number in range(8)
}
POSITION = StorePosition(1, 5)


def make_neighbours(host: HostId) -> Neighbours:
    hosts = Hosts(host, RECORDS[host], [])
    hosts.replace(RECORDS)
    store = mock.Mock(eras=StoreEras())
    return Neighbours(
        hosts,
        store,
        Publications(),
        UpstreamList(),
        Trackers(),
        CachedParts(mock.Mock()),
        CrashRecords(),
    )


class DeadConnections:
    """The connections of one host, of which those to some readers are dead."""

    def __init__(self, dead: set[str], answering: Neighbours) -> None:
        self.dead = dead
        self.answering = answering
        self.asked: LightQueue[str] = LightQueue()

    def ask(
        self, address: str, message: NeighbourMessage, timeout_s: float
    ) -> NeighbourMessage | Failure:
        """Ask a host; a dead connection gives no answer until the time-out."""
        self.asked.put(address)
        if address in self.dead:
            eventlet.sleep(timeout_s)
            return Failure(Code.PEER_GONE, Step.PEER, address)
        return self.answering._handle(message)


class ReadersTest(unittest.TestCase):
    def setUp(self) -> None:
        names = list(RECORDS)
        self.host = next(each for each in map(make_neighbours, names) if not each.hosts.is_reader())
        self.reader = make_neighbours(names[0])
        self.readers = self.host.hosts.readers()

    def confirm(self, neighbours: Neighbours, age_s: float) -> None:
        at = clocks.now_s() - age_s
        neighbours.publications.confirm(at, POSITION)
        neighbours.upstreams.replace([], at, POSITION)

    def refresh(self, dead: set[str]) -> DeadConnections:
        peers = DeadConnections(dead, self.reader)
        self.host.peers = peers
        self.host._request_state_from_reader(self.host.upstreams.age_s)
        return peers

    def test_time_outs_of_dead_connections_to_readers_add_up(self) -> None:
        self.confirm(self.reader, 0.1)
        self.assertGreaterEqual(len(self.readers), 3)
        before = clocks.now_s()
        self.refresh(set(self.readers[:2]))
        self.assertLess(clocks.now_s() - before, 0.4)
        self.assertLess(self.host.upstreams.age_s, 1.0)

    def test_reader_with_an_old_list_of_upstreams_is_the_only_one_asked(self) -> None:
        self.confirm(self.reader, 10.0)
        self.reader.publications.confirm(clocks.now_s(), POSITION)
        peers = self.refresh(set())
        self.assertEqual(peers.asked.qsize(), len(self.readers))

    def test_reader_that_answers_is_the_only_one_asked(self) -> None:
        self.confirm(self.reader, 0.1)
        self.assertEqual(self.refresh(set()).asked.qsize(), 1)


class CrashRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.host = (make_neighbours(each) for each in list(RECORDS)[:2])
        self.reader.crashes.confirm(clocks.now_s())

    def fill(self, refusals: int, suspects: int = 0) -> None:
        """Have the reader know requests that crashed three upstreams each, or two."""
        now_ms = clocks.unix_ms()
        for number in range(suspects + refusals):
            crashes = SHARED_MIN if number < suspects else CRASHES_MAX
            instances = tuple(
                UpstreamInstance(UpstreamId(f"e-{each}"), 1) for each in range(crashes)
            )
            record = CrashRecord(Fingerprint(f"f-{number}"), instances, now_ms)
            self.reader.crashes.records.by_fingerprint[record.fingerprint] = record

    def ask(self) -> int:
        """Let the host ask the reader; return how many requests it refuses then."""
        request = StateRequest(HostId("host-1"), self.host.hosts.own, 0, -1, -1, -1)
        update = self.reader._handle(request)
        self.host._apply_crashes(update, clocks.now_s())
        return sum(each.is_refusal for each in self.host.crashes.records.by_fingerprint.values())

    def test_first_part_of_the_refusals_confirms_that_there_are_no_others(self) -> None:
        """The host didn't read the rest from the store, and let these requests crash upstreams."""
        self.fill(refusals=CRASH_RECORDS_MAX + 1)
        self.assertEqual(self.ask(), CRASH_RECORDS_MAX)
        self.assertEqual(self.host.crashes.age_s, math.inf)

    def test_refusals_behind_many_suspects_are_left_out(self) -> None:
        self.fill(refusals=9, suspects=CRASH_RECORDS_MAX)
        self.assertEqual(self.ask(), 9)
        self.assertLess(self.host.crashes.age_s, 1.0)


if __name__ == "__main__":
    unittest.main()
