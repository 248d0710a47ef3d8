"""Tests of how much brittle upstreams get, and when they are no longer brittle."""

import unittest
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId, PoolId, UpstreamId

from ruddersaddle_serving.brittle_pools import (
    BORROW_STEP_S,
    OVERTAKEN_S,
    TRUST_S,
    BrittlePool,
    rejection_pause_s,
    share_of_slots,
)
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.self_reports import EMPTY_REPORT, SelfReport
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_quotas import JOIN_GRACE_S, UpstreamQuotas

POOL = PoolId("p")
SLOTS = 4
MALFORMED = Failure(Code.CORRUPT, Step.READ, "upstream", "malformed")


class BrittlePoolsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        names = [HostId(f"host-{number}") for number in range(3)]
        records = {name: HostRecord(f"{name}:1", HallId("h")) for name in names}
        self.trackers = Trackers()
        entry = UpstreamEntry(
            UpstreamId("s"), POOL, "10.0.0.1:80", HallId("h"), SLOTS, False, {}, 1
        )
        self.tracker = self.trackers.get_or_create(entry)
        self.quotas_by_host: dict[HostId, UpstreamQuotas] = {}
        upstreams = self.upstreams = UpstreamList()
        upstreams.put(entry)
        for name in names:
            hosts = Hosts(name, records[name], [])
            hosts.replace(records)
            self.quotas_by_host[name] = UpstreamQuotas(hosts, mock.Mock(table=None), upstreams)
        self.now += JOIN_GRACE_S + 0.1

    def answer(self, rejections: float | None | Failure) -> None:
        report = EMPTY_REPORT if rejections is None else SelfReport(brittle_rejections=rejections)
        self.tracker.apply_self_report(report, None, is_ordinary=True)

    @property
    def is_brittle(self) -> bool:
        return self.trackers.brittle_pools.find(POOL) is not None

    def admitted_by_host(self) -> dict[HostId, int]:
        """Return how many requests each host would have under way with no room left by others."""
        counts = {}
        for name, quotas in self.quotas_by_host.items():
            self.tracker.in_flight = 0
            self.tracker.remote_requests = mock.Mock(count=lambda: SLOTS)
            while quotas.may_send(self.tracker):
                self.tracker.in_flight += 1
            counts[name] = self.tracker.in_flight
        return counts

    def test_hosts_together_have_no_more_under_way_than_an_upstream_runs(self) -> None:
        self.answer(4.0)
        self.assertEqual(sum(self.admitted_by_host().values()), SLOTS)

    def test_slots_of_a_host_that_leaves_are_its_own_until_it_is_gone(self) -> None:
        """Its requests go on; the others used its slots as well."""
        self.answer(4.0)
        leaving = self.quotas_by_host[HostId("host-2")].hosts
        leaving.record_own_leave()
        for name in (HostId("host-0"), HostId("host-1")):
            self.quotas_by_host[name].hosts.add(leaving.own_id, leaving.own)
        self.assertEqual(sum(self.admitted_by_host().values()), SLOTS)
        records = dict(self.quotas_by_host[HostId("host-0")].hosts.all_by_id())
        self.quotas_by_host.pop(leaving.own_id)
        for quotas in self.quotas_by_host.values():
            quotas.hosts.replace(records)
        self.assertEqual(sum(self.admitted_by_host().values()), SLOTS)

    def test_host_takes_more_than_its_share_while_others_leave_room(self) -> None:
        self.answer(4.0)
        quotas = self.quotas_by_host[HostId("host-0")]
        self.tracker.in_flight = SLOTS - 2
        self.assertTrue(quotas.may_send(self.tracker))
        self.tracker.remote_requests = mock.Mock(count=lambda: 1)
        self.assertFalse(quotas.may_send(self.tracker))

    def test_hosts_take_slots_that_others_leave_free_in_turn(self) -> None:
        """Guards against hosts that all use the same free slot, which causes rejections."""
        entry = UpstreamEntry(UpstreamId("t"), POOL, "10.0.0.2:80", HallId("h"), 12, False, {}, 1)
        self.upstreams.put(entry)
        self.answer(4.0)
        # More than a host's own slots, and less than all.
        views = {name: self.view_of_host(entry, in_flight=6) for name in self.quotas_by_host}
        allowed_at_step = []
        for _ in range(len(views) + 1):
            allowed_at_step.append(
                sum(self.quotas_by_host[name].may_send(view) for name, view in views.items())
            )
            self.now += BORROW_STEP_S * 1.01
        self.assertEqual(allowed_at_step, [0, 1, 2, 3])

    def test_host_waits_its_turn_again_after_it_took_a_free_slot(self) -> None:
        """Guards against a host that takes all free slots before others hear of the first."""
        entry = UpstreamEntry(UpstreamId("t"), POOL, "10.0.0.2:80", HallId("h"), 12, False, {}, 1)
        self.upstreams.put(entry)
        self.answer(4.0)
        view = self.view_of_host(entry, in_flight=6)
        quotas = self.quotas_by_host[HostId("host-0")]
        for _ in range(4):
            quotas.may_send(view)
            self.now += BORROW_STEP_S * 1.01
        self.assertTrue(quotas.may_send(view))
        view.in_flight += 1
        self.assertTrue(quotas.may_send(view, is_counted=True))
        self.assertFalse(quotas.may_send(view))

    def view_of_host(self, entry: UpstreamEntry, in_flight: int) -> Tracker:
        """Return a host's own view of an upstream that another host uses as well."""
        tracker = Tracker(entry, brittle_pools=self.trackers.brittle_pools)
        tracker.in_flight = in_flight
        tracker.remote_requests.record_sent(("another", 1))
        return tracker

    def test_upstream_that_rejected_a_request_gets_none_for_a_while(self) -> None:
        self.answer(1.0)
        quotas = self.quotas_by_host[HostId("host-0")]
        self.tracker.record_rejection()
        self.now += 2.9
        self.answer(1.0)
        self.assertFalse(quotas.may_send(self.tracker))
        self.now += 0.2
        self.assertTrue(quotas.may_send(self.tracker))

    def test_upstream_that_is_not_brittle_is_not_bounded(self) -> None:
        self.tracker.in_flight = 10 * SLOTS
        self.tracker.record_rejection()
        self.assertTrue(self.quotas_by_host[HostId("host-0")].may_send(self.tracker))

    def test_malformed_number_counts_as_none_that_it_survives(self) -> None:
        self.answer(MALFORMED)
        self.assertEqual(self.trackers.brittle_pools.find(POOL).rejections, 0.0)

    def test_answers_that_say_nothing_end_it_unless_they_were_overtaken(self) -> None:
        self.answer(4.0)
        self.now += OVERTAKEN_S / 2
        self.answer(None)
        self.assertTrue(self.is_brittle)
        self.now += OVERTAKEN_S
        self.answer(None)
        self.assertFalse(self.is_brittle)

    def test_it_ends_if_no_answer_says_so_any_more(self) -> None:
        self.answer(4.0)
        self.now += TRUST_S + 0.1
        self.assertFalse(self.is_brittle)

    def test_shares_of_many_hosts_add_up_to_the_slots(self) -> None:
        for hosts in (1, 3, 7, 85, 400):
            for slots in (0, 1, 6, 128):
                total = sum(share_of_slots(slots, rank, hosts) for rank in range(hosts))
                self.assertEqual(total, slots)

    def test_many_hosts_cause_fewer_rejections_than_an_upstream_survives(self) -> None:
        pool = BrittlePool(20.0, 0.0, 0.0)
        for hosts in (3, 7, 85):
            self.assertLessEqual(hosts / rejection_pause_s(pool, hosts), pool.rejections)


if __name__ == "__main__":
    unittest.main()
