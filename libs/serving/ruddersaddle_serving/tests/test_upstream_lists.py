"""Tests of the list of upstreams."""

import unittest

import msgspec
from ruddersaddle_base.ids import HallId, PoolId, RequestId, UpstreamId

from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

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
        self.upstreams.record_outage()
        self.now += 1.0
        self.upstreams.replace([], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])
        self.now += 1.0
        self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [ENTRY.id])
        self.now += 1.0
        self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [])

    def end_outage(self) -> None:
        """Let the store answer again after it has been away."""
        self.upstreams.record_outage()
        self.now += 0.5
        self.upstreams.confirm(self.now)

    def test_entry_that_goes_later_than_what_lapsed_is_back_is_gone_at_once(self) -> None:
        self.end_outage()
        self.now += 2.1
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [])

    def test_entry_that_was_written_since_the_return_is_gone_at_once(self) -> None:
        self.end_outage()
        self.now += 0.5
        self.upstreams.put_written(ENTRY)
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [])

    def test_entry_that_was_written_between_two_outages_may_have_lapsed_in_the_second(self) -> None:
        self.end_outage()
        self.upstreams.put_written(ENTRY)
        self.end_outage()
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_entry_read_with_the_first_answer_was_perhaps_written_before_the_outage(self) -> None:
        self.upstreams.record_outage()
        self.upstreams.put_written(ENTRY)
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_grace_ends_although_the_store_goes_on_turning_this_host_away(self) -> None:
        self.upstreams.record_outage()
        self.upstreams.remove(ENTRY.id)
        for _ in range(6):
            self.now += 0.2
            self.upstreams.record_outage()
            self.now += 0.2
            self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [])

    def test_what_another_host_has_taken_out_for_good_is_not_kept_for_its_grace(self) -> None:
        self.end_outage()
        self.upstreams.replace_reported([], [], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])
        self.upstreams.replace_reported([], [], self.now, [ENTRY.instance])
        self.assertEqual(self.ids(), [])

    def test_entry_that_comes_back_after_an_outage_stays(self) -> None:
        self.upstreams.record_outage()
        self.upstreams.remove(ENTRY.id)
        self.upstreams.put(ENTRY)
        self.now += 9.0
        self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_leave_is_never_taken_back(self) -> None:
        self.upstreams.put(msgspec.structs.replace(ENTRY, leaving=True))
        self.upstreams.put(ENTRY)
        self.assertEqual(self.ids(), [])

    def test_leave_said_in_an_answer_outlasts_entries_that_say_otherwise(self) -> None:
        ready = msgspec.structs.replace(ENTRY, born_ms=1000)
        self.upstreams.put(ready)
        self.upstreams.record_leaving(ready.instance, RequestId("q"), "host")
        self.assertEqual(self.ids(), [])
        for bring_back in (
            lambda: self.upstreams.put(ready),
            lambda: self.upstreams.replace([ready], self.now),
            lambda: self.upstreams.replace_reported([ready], [], self.now),
            lambda: self.upstreams.drop(ready.id) or self.upstreams.put(ready),
            lambda: self.upstreams.record_restore() or self.upstreams.replace([ready], self.now),
        ):
            bring_back()
            self.assertEqual(self.ids(), [])
        later = msgspec.structs.replace(ENTRY, born_ms=2000)
        self.upstreams.put(later)
        self.assertEqual(self.upstreams.of_pool(ENTRY.pool), [later])

    def test_leave_told_before_its_entry_is_read_counts(self) -> None:
        started = UpstreamList()
        self.upstreams.record_leaving(ENTRY.instance, RequestId("q"), "host")
        started.apply_leaving(self.upstreams.leaving())
        started.replace([ENTRY], self.now)
        self.assertEqual(started.of_pool(ENTRY.pool), [])

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

    def test_list_of_a_host_that_keeps_a_lapsed_entry_does_not_put_it_back(self) -> None:
        """Two readers: one has read the leave, the other is just out of an outage."""
        other = UpstreamList()
        other.replace([ENTRY], self.now)
        other.record_outage()
        for each in (self.upstreams, other):
            each.remove(ENTRY.id)
        self.assertEqual(list(other.by_id), [ENTRY.id])
        self.upstreams.replace_reported(other.by_id.values(), other.lapsing, self.now)
        self.assertEqual(self.ids(), [])
        other.put(ENTRY)
        self.upstreams.replace_reported(other.by_id.values(), other.lapsing, self.now)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_entry_that_another_host_keeps_for_its_grace_stays_where_it_is_known(self) -> None:
        self.upstreams.replace_reported([ENTRY], [ENTRY.id], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])
        self.upstreams.replace_reported([], [], self.now)
        self.assertEqual(self.ids(), [])

    def test_two_hosts_that_tell_one_another_of_a_lapsed_entry_both_give_it_up(self) -> None:
        other = UpstreamList()
        other.replace([ENTRY], self.now)
        hosts = (self.upstreams, other)
        for each in hosts:
            each.record_outage()
            each.remove(ENTRY.id)
        for _ in range(12):
            self.now += 0.2
            for teller, told in (hosts, hosts[::-1]):
                told.replace_reported(teller.by_id.values(), teller.lapsing, self.now)
        self.assertEqual([list(each.by_id) for each in hosts], [[], []])

    def test_entry_that_its_teller_alone_keeps_for_its_grace_is_given_up_here_as_well(self) -> None:
        self.upstreams.replace_reported([ENTRY], [ENTRY.id], self.now)
        self.now += 2.1
        self.assertEqual(self.ids(), [])

    def test_list_told_by_a_host_that_has_just_started_does_not_bring_back_what_left(self) -> None:
        self.upstreams.remove(ENTRY.id)
        self.upstreams.record_restore()
        self.upstreams.replace_reported([ENTRY], [], self.now)
        self.assertEqual(self.ids(), [])

    def test_start_that_others_know_to_have_left_is_not_read_from_a_copy(self) -> None:
        started = UpstreamList()
        started.replace_reported([], [], self.now, [ENTRY.instance])
        started.record_restore()
        started.replace([ENTRY], self.now)
        self.assertEqual(list(started.by_id), [])

    def test_copy_of_the_store_names_starts_that_have_left(self) -> None:
        self.upstreams.remove(ENTRY.id)
        self.upstreams.record_restore()
        self.upstreams.replace([ENTRY], self.now)
        self.assertEqual(self.ids(), [])
        later = msgspec.structs.replace(ENTRY, born_ms=5)
        self.upstreams.replace([later], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_entries_that_a_copy_lacks_are_kept_until_they_are_written_again(self) -> None:
        self.upstreams.record_restore()
        self.upstreams.replace([], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_what_others_know_to_have_left_is_taken_out_by_a_host_that_has_just_started(
        self,
    ) -> None:
        self.upstreams.record_gone([ENTRY.instance])
        self.assertEqual(self.ids(), [ENTRY.id])
        self.upstreams.drop_gone()
        self.assertEqual(self.ids(), [])


if __name__ == "__main__":
    unittest.main()
