"""Tests of the list of upstreams."""

import unittest

import msgspec
from ruddersaddle_base.ids import HallId, PoolId, UpstreamId

from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.upstream_lists import UpstreamEntry, UpstreamList

ENTRY = UpstreamEntry(UpstreamId("u"), PoolId("p"), "10.0.0.1:80", HallId("h"), 4, False, {})


class UpstreamListTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.upstreams = UpstreamList()
        self.upstreams.replace([ENTRY], self.now)

    def ids(self) -> list[UpstreamId]:
        return [entry.id for entry in self.upstreams.of_pool(ENTRY.pool)]

    def test_entry_that_goes_on_a_calm_day_is_gone_at_once(self) -> None:
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [])

    def test_entry_that_lapsed_in_an_outage_is_kept_until_it_should_be_back(self) -> None:
        self.upstreams.note_outage()
        self.now += 1.0
        self.upstreams.replace([], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])
        self.now += 1.0
        self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [ENTRY.id])
        self.now += 1.0
        self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [])

    def test_entry_that_comes_back_after_an_outage_stays(self) -> None:
        self.upstreams.note_outage()
        self.upstreams.remove(ENTRY.id)
        self.upstreams.put(ENTRY)
        self.now += 9.0
        self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_leave_is_never_taken_back(self) -> None:
        self.upstreams.put(msgspec.structs.replace(ENTRY, leaving=True))
        self.upstreams.put(ENTRY)
        self.assertEqual(self.ids(), [])

    def test_next_start_under_the_same_id_is_not_leaving(self) -> None:
        leaving = msgspec.structs.replace(ENTRY, leaving=True, born_ms=1000)
        self.upstreams.put(leaving)
        self.upstreams.put(msgspec.structs.replace(ENTRY, born_ms=2000))
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_late_entry_of_an_earlier_start_changes_nothing(self) -> None:
        later = msgspec.structs.replace(ENTRY, born_ms=2000)
        self.upstreams.put(later)
        self.upstreams.put(msgspec.structs.replace(ENTRY, leaving=True, born_ms=1000))
        self.assertEqual(self.upstreams.of_pool(ENTRY.pool), [later])


if __name__ == "__main__":
    unittest.main()
