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

    def test_missing_entry_is_dropped_at_once_without_an_outage(self) -> None:
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [])

    def test_entry_that_lapsed_in_an_outage_is_kept_for_the_grace_period(self) -> None:
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
        """Let the store answer again after an outage."""
        self.upstreams.record_outage()
        self.now += 0.5
        self.upstreams.confirm(self.now)

    def test_entry_missing_after_the_grace_period_is_dropped_at_once(self) -> None:
        self.end_outage()
        self.now += 2.1
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [])

    def test_entry_written_since_the_outage_is_dropped_at_once(self) -> None:
        self.end_outage()
        self.now += 0.5
        self.upstreams.put_written(ENTRY)
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [])

    def test_entry_written_between_two_outages_may_have_lapsed_in_the_second(self) -> None:
        self.end_outage()
        self.upstreams.put_written(ENTRY)
        self.end_outage()
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_entry_in_the_first_response_may_have_been_written_before_the_outage(self) -> None:
        self.upstreams.record_outage()
        self.upstreams.put_written(ENTRY)
        self.upstreams.remove(ENTRY.id)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_grace_ends_although_the_store_keeps_rejecting_this_host(self) -> None:
        self.upstreams.record_outage()
        self.upstreams.remove(ENTRY.id)
        for _ in range(6):
            self.now += 0.2
            self.upstreams.record_outage()
            self.now += 0.2
            self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [])

    def test_entry_that_another_host_has_dropped_is_not_kept(self) -> None:
        self.end_outage()
        self.upstreams.replace_reported([], [], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])
        self.upstreams.replace_reported([], [], self.now, [ENTRY.instance])
        self.assertEqual(self.ids(), [])

    def test_entry_written_again_after_an_outage_stays(self) -> None:
        self.upstreams.record_outage()
        self.upstreams.remove(ENTRY.id)
        self.upstreams.put(ENTRY)
        self.now += 9.0
        self.upstreams.confirm(self.now)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_leaving_is_final(self) -> None:
        self.upstreams.put(msgspec.structs.replace(ENTRY, leaving=True))
        self.upstreams.put(ENTRY)
        self.assertEqual(self.ids(), [])

    def test_leave_announced_in_a_response_outlasts_entries_that_say_otherwise(self) -> None:
        ready = msgspec.structs.replace(ENTRY, born_ms=1000)
        self.upstreams.put(ready)
        self.upstreams.record_leaving(ready.instance, RequestId("q"), "host")
        self.assertEqual(self.ids(), [])
        for apply_again in (
            lambda: self.upstreams.put(ready),
            lambda: self.upstreams.replace([ready], self.now),
            lambda: self.upstreams.replace_reported([ready], [], self.now),
            lambda: self.upstreams.drop(ready.id) or self.upstreams.put(ready),
            lambda: self.upstreams.record_restore() or self.upstreams.replace([ready], self.now),
        ):
            apply_again()
            self.assertEqual(self.ids(), [])
        later = msgspec.structs.replace(ENTRY, born_ms=2000)
        self.upstreams.put(later)
        self.assertEqual(self.upstreams.of_pool(ENTRY.pool), [later])

    def test_leave_reported_before_the_entry_is_read_counts(self) -> None:
        started = UpstreamList()
        self.upstreams.record_leaving(ENTRY.instance, RequestId("q"), "host")
        started.apply_leaving(self.upstreams.leaving())
        started.replace([ENTRY], self.now)
        self.assertEqual(started.of_pool(ENTRY.pool), [])

    def test_version_of_a_process_stays_known_if_a_list_lacks_it(self) -> None:
        """Hosts of an earlier program version don't send it; streams could not go on."""
        known = msgspec.structs.replace(ENTRY, born_ms=5, software_version="v1")
        self.upstreams.put(known)
        revision = self.upstreams.revision
        unknown = msgspec.structs.replace(known, software_version=msgspec.UNSET)
        self.upstreams.replace_reported([unknown], (), self.now)
        self.assertEqual(self.upstreams.by_id[ENTRY.id], known)
        self.assertEqual(self.upstreams.revision, revision)
        for later in (
            msgspec.structs.replace(unknown, born_ms=6),
            msgspec.structs.replace(unknown, id=UpstreamId("x"), born_ms=None),
        ):
            self.upstreams.put(msgspec.structs.replace(later, software_version="v1", born_ms=None))
            self.upstreams.put(later)
            self.assertIs(self.upstreams.by_id[later.id].software_version, msgspec.UNSET)

    def test_next_instance_of_the_same_id_is_not_leaving(self) -> None:
        leaving = msgspec.structs.replace(ENTRY, leaving=True, born_ms=1000)
        self.upstreams.put(leaving)
        self.upstreams.put(msgspec.structs.replace(ENTRY, born_ms=2000))
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_late_entry_of_an_earlier_instance_changes_nothing(self) -> None:
        later = msgspec.structs.replace(ENTRY, born_ms=2000)
        self.upstreams.put(later)
        self.upstreams.put(msgspec.structs.replace(ENTRY, leaving=True, born_ms=1000))
        self.assertEqual(self.upstreams.of_pool(ENTRY.pool), [later])

    def test_lapsing_entry_of_another_host_is_not_added_again(self) -> None:
        """Of two readers, one has read the leave, the other has just had an outage."""
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

    def test_lapsing_entry_of_another_host_stays_where_it_is_known(self) -> None:
        self.upstreams.replace_reported([ENTRY], [ENTRY.id], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])
        self.upstreams.replace_reported([], [], self.now)
        self.assertEqual(self.ids(), [])

    def test_two_hosts_that_exchange_a_lapsing_entry_both_drop_it(self) -> None:
        other = UpstreamList()
        other.replace([ENTRY], self.now)
        hosts = (self.upstreams, other)
        for each in hosts:
            each.record_outage()
            each.remove(ENTRY.id)
        for _ in range(12):
            self.now += 0.2
            for sender, receiver in (hosts, hosts[::-1]):
                receiver.replace_reported(sender.by_id.values(), sender.lapsing, self.now)
        self.assertEqual([list(each.by_id) for each in hosts], [[], []])

    def test_lapsing_entry_of_another_host_is_dropped_after_the_grace_period(self) -> None:
        self.upstreams.replace_reported([ENTRY], [ENTRY.id], self.now)
        self.now += 2.1
        self.assertEqual(self.ids(), [])

    def test_list_of_a_host_that_has_just_started_adds_no_gone_instance(self) -> None:
        self.upstreams.remove(ENTRY.id)
        self.upstreams.record_restore()
        self.upstreams.replace_reported([ENTRY], [], self.now)
        self.assertEqual(self.ids(), [])

    def test_instance_that_others_know_to_be_gone_is_not_read_from_a_copy(self) -> None:
        started = UpstreamList()
        started.replace_reported([], [], self.now, [ENTRY.instance])
        started.record_restore()
        started.replace([ENTRY], self.now)
        self.assertEqual(list(started.by_id), [])

    def test_gone_instances_in_a_restored_copy_are_ignored(self) -> None:
        self.upstreams.remove(ENTRY.id)
        self.upstreams.record_restore()
        self.upstreams.replace([ENTRY], self.now)
        self.assertEqual(self.ids(), [])
        later = msgspec.structs.replace(ENTRY, born_ms=5)
        self.upstreams.replace([later], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_entries_missing_in_a_restored_copy_are_kept_until_written_again(self) -> None:
        self.upstreams.record_restore()
        self.upstreams.replace([], self.now)
        self.assertEqual(self.ids(), [ENTRY.id])

    def test_host_that_has_just_started_drops_what_others_know_to_be_gone(
        self,
    ) -> None:
        self.upstreams.record_gone([ENTRY.instance])
        self.assertEqual(self.ids(), [ENTRY.id])
        self.upstreams.drop_gone()
        self.assertEqual(self.ids(), [])


if __name__ == "__main__":
    unittest.main()
