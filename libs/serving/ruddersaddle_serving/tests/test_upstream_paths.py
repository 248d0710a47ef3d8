"""Tests of what a host concludes from lost paths to upstreams."""

import unittest
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, PoolId, UpstreamId

from ruddersaddle_serving.path_probes import PathProbes
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_paths import (
    ELSEWHERE_MARGIN_S,
    UNACKNOWLEDGED_S,
    Acknowledgement,
    ReachedBy,
)

REFUSED = Failure(Code.UPSTREAM_FAILED, Step.CONNECT, "e", "refused")


class UpstreamPathsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.trackers = Trackers()
        self.paths = self.trackers.paths
        self.first, self.second, self.third = (self.add(number) for number in range(3))

    def add(self, number: int) -> Tracker:
        name = UpstreamId(f"e-{number}")
        address = f"10.0.0.{number}:80"
        entry = UpstreamEntry(name, PoolId("p"), address, HallId("h"), 8, False, {}, 1000)
        return self.trackers.get_or_create(entry)

    def reached_by(self, tracker: Tracker) -> ReachedBy:
        return tracker.path_belief.reached_by

    def test_one_lost_path_says_nothing_about_the_others(self) -> None:
        self.first.record_connect_failure()
        self.assertFalse(self.paths.is_isolated)
        self.assertIs(self.reached_by(self.second), ReachedBy.THIS_HOST)

    def test_two_lost_paths_in_a_row_are_all_paths(self) -> None:
        self.now += 1.0
        self.first.record_connect_failure()
        self.second.record_connect_failure()
        self.assertTrue(self.paths.is_isolated)
        self.assertIs(self.reached_by(self.third), ReachedBy.NOBODY)
        self.assertFalse(self.third.path_belief.is_tested)

    def test_answer_between_two_lost_paths_shows_that_there_is_one(self) -> None:
        self.first.record_connect_failure()
        self.third.record_reached()
        self.second.record_connect_failure()
        self.assertFalse(self.paths.is_isolated)

    def test_isolation_ends_if_all_upstreams_whose_paths_were_lost_are_gone(self) -> None:
        self.now += 1.0
        self.first.record_connect_failure()
        self.second.record_connect_failure()
        self.paths.keep_only({self.first.id, self.third.id})
        self.assertTrue(self.paths.is_isolated)
        self.paths.keep_only({self.third.id})
        self.assertFalse(self.paths.is_isolated)
        self.assertIs(self.reached_by(self.third), ReachedBy.THIS_HOST)

    def test_upstreams_that_no_host_reaches_show_no_lost_path(self) -> None:
        for tracker in (self.first, self.second):
            tracker.liveness.apply_report("peer", self.now, self.now)
            tracker.record_connect_failure()
        self.assertFalse(self.paths.is_isolated)

    def test_upstream_that_answers_others_is_reached_by_them_alone(self) -> None:
        self.first.record_connect_failure()
        self.first.liveness.record_response(self.now + ELSEWHERE_MARGIN_S / 2)
        self.assertIs(self.reached_by(self.first), ReachedBy.NOBODY)
        self.first.liveness.record_response(self.now + 2 * ELSEWHERE_MARGIN_S)
        self.assertIs(self.reached_by(self.first), ReachedBy.OTHER_HOSTS)
        self.now += 60.0
        self.assertFalse(self.first.is_healthy)
        self.assertEqual(self.first.path_belief.age_s, 60.0)

    def test_open_connection_is_a_path_unless_its_bytes_are_not_acknowledged(self) -> None:
        self.first.connections = mock.Mock(has_idle=True)
        self.first.record_connect_failure()
        self.assertIs(self.reached_by(self.first), ReachedBy.THIS_HOST)
        self.first.record_stalled()
        self.assertIs(self.reached_by(self.first), ReachedBy.NOBODY)
        self.first.connections.close.assert_called_once()

    def test_upstream_that_started_since_may_be_reached(self) -> None:
        self.first.record_connect_failure()
        self.second.record_connect_failure()
        self.now += 0.1
        self.assertIs(self.reached_by(self.add(4)), ReachedBy.THIS_HOST)

    def test_path_that_is_back_is_used_at_once(self) -> None:
        for tracker in (self.first, self.second):
            for _ in range(5):
                tracker.record_connect_failure()
        self.first.record_reached()
        self.assertTrue(self.first.is_healthy)
        self.assertFalse(self.paths.is_isolated)
        self.assertEqual(self.paths.lost_count, 1)

    def test_request_whose_bytes_are_not_acknowledged_shows_a_lost_path(self) -> None:
        stalled, arrived, long_body = mock.Mock(), mock.Mock(), mock.Mock()
        stalled.check_acknowledgement.return_value = Acknowledgement.OVERDUE
        arrived.check_acknowledgement.return_value = Acknowledgement.COMPLETE
        long_body.check_acknowledgement.return_value = Acknowledgement.PENDING
        for request in (long_body, stalled, arrived):
            self.paths.watch(request, self.now)
        self.paths.check_waiting()
        stalled.record_path_lost.assert_not_called()
        self.now += 2 * UNACKNOWLEDGED_S
        self.paths.check_waiting()
        self.paths.check_waiting()
        stalled.record_path_lost.assert_called_once()
        arrived.record_path_lost.assert_not_called()
        long_body.record_path_lost.assert_not_called()
        self.assertEqual(arrived.check_acknowledgement.call_count, 1)
        self.assertEqual(long_body.check_acknowledgement.call_count, 2)

    def test_probes_take_turns_and_end_with_the_last_lost_path(self) -> None:
        probes = PathProbes(self.trackers)
        for tracker in (self.first, self.second, self.third):
            tracker.connections = mock.Mock(has_idle=False)
            tracker.connections.open_idle.return_value = REFUSED
        self.now += 1.0
        self.first.record_connect_failure()
        self.second.record_connect_failure()
        probed = []
        for _ in range(3):
            self.now += 0.25
            tracker = probes.next_due()
            probed.append(tracker.id)
            self.assertFalse(probes.probe(tracker))
        self.assertEqual(sorted(probed), ["e-0", "e-1", "e-2"])
        for tracker in (self.first, self.second, self.third):
            tracker.connections.open_idle.return_value = None
            self.assertTrue(probes.probe(tracker))
        self.assertIsNone(probes.next_due())

    def test_pool_that_no_host_reaches_is_probed_though_others_are_reached(self) -> None:
        for tracker in (self.first, self.second, self.third):
            tracker.record_connect_failure()
            self.add_other().record_reached()
        self.assertFalse(self.paths.is_isolated)
        self.assertIsNotNone(PathProbes(self.trackers).next_due())

    def test_path_that_others_report_on_only_later_is_probed(self) -> None:
        probes = PathProbes(self.trackers)
        self.first.record_connect_failure()
        self.first.connections = mock.Mock(has_idle=False)
        self.first.connections.open_idle.return_value = None
        pauses = []

        def sleep(seconds: float) -> None:
            pauses.append(seconds)
            self.now += seconds
            self.first.liveness.record_response(self.now)

        with mock.patch("eventlet.sleep", sleep):
            probes._probe_lost()
        self.assertEqual(probes.count, 1)

    def add_other(self) -> Tracker:
        """Return an upstream of another pool."""
        name = UpstreamId("other")
        entry = UpstreamEntry(name, PoolId("q"), "10.0.0.9:80", HallId("h"), 8, False, {}, 1000)
        return self.trackers.get_or_create(entry)

    def test_upstream_that_nobody_reaches_is_not_probed_by_every_host(self) -> None:
        self.first.record_connect_failure()
        self.assertIsNone(PathProbes(self.trackers).next_due())


if __name__ == "__main__":
    unittest.main()
