"""Tests that crashes are told from broken connections, and which requests are refused for them."""

import unittest
from unittest import mock

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code
from ruddersaddle_base.ids import HallId, PoolId, UpstreamId

from ruddersaddle_serving import crash_watches
from ruddersaddle_serving.crash_records import CRASHES_MAX, Crash, CrashRecords
from ruddersaddle_serving.crash_watches import BrokenRun, CrashWatch
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.ports import Presence
from ruddersaddle_serving.trackers import Tracker
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_paths import ELSEWHERE_MARGIN_S, ISOLATED_MIN

BAD, OTHER = Fingerprint("bad"), Fingerprint("other")
POOL = PoolId("p")


class CrashWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(crash_watches, "PROBE_PAUSES_S", (0.0, 0.01, 0.02, 0.02))
        patch.start()
        self.addCleanup(patch.stop)
        self.records = CrashRecords()
        self.engines = mock.Mock()
        self.cleared: list[Fingerprint] = []
        self.crashes: list[Crash] = []
        self.upstreams = UpstreamList()
        self.watch = CrashWatch(
            self.engines, self.upstreams, self.records, self.record_crash, self.cleared.append
        )

    def record_crash(self, crash: Crash) -> None:
        self.crashes.append(crash)
        self.records.record_crash(crash, clocks.unix_ms())

    def make_tracker(self, number: int = 0, leaving: bool = False) -> Tracker:
        name = UpstreamId(f"e-{number}")
        address = f"10.0.0.{number}:80"
        entry = UpstreamEntry(name, POOL, address, HallId("h"), 8, leaving, {}, 1000)
        self.upstreams.put(entry)
        return Tracker(entry)

    def count_crashes(self, *presences: Presence, tracker: Tracker | None = None) -> int:
        """Return how many crashes are reported after a broken run and probes with these results."""
        self.engines.presence.side_effect = [*presences, *[presences[-1]] * 9]
        self.watch.record_broken(tracker or self.make_tracker(), BrokenRun(BAD))
        eventlet.sleep(0.1)
        return len(self.crashes)

    def close(self, presence: Presence) -> None:
        """Record that a run's answer ended with its connection, and answer probes like this."""
        self.engines.presence.side_effect = None
        self.engines.presence.return_value = presence
        self.watch.record_closed(self.make_tracker(5), BrokenRun(BAD))
        eventlet.sleep(0.1)

    def test_suspect_whose_answer_ended_with_its_connection_is_cleared_by_a_live_upstream(
        self,
    ) -> None:
        self.count_crashes(Presence.DOWN)
        self.close(Presence.UNKNOWN)
        self.assertEqual((self.cleared, len(self.crashes)), ([], 1))
        self.close(Presence.PRESENT)
        self.assertEqual((self.cleared, len(self.crashes)), ([BAD], 1))

    def test_suspect_whose_answer_ended_with_a_crash_is_recorded(self) -> None:
        self.count_crashes(Presence.DOWN)
        self.close(Presence.DOWN)
        self.assertEqual((self.cleared, len(self.crashes)), ([], 2))

    def test_answer_that_ended_with_its_connection_costs_no_probe_without_suspicion(self) -> None:
        self.close(Presence.PRESENT)
        self.engines.presence.assert_not_called()

    def test_address_that_refuses_connections_is_a_crash(self) -> None:
        self.assertEqual(self.count_crashes(Presence.DOWN), 1)
        self.assertEqual(self.crashes[0].fingerprints, (BAD,))

    def test_next_instance_at_the_address_is_a_crash(self) -> None:
        self.assertEqual(self.count_crashes(Presence.UNKNOWN, Presence.REPLACED), 1)

    def test_upstream_that_answers_has_only_lost_a_connection(self) -> None:
        self.assertEqual(self.count_crashes(Presence.PRESENT), 0)
        self.assertEqual(self.watch.counts["reset"], 1)

    def test_upstream_at_its_connection_limit_resets_one_probe(self) -> None:
        self.assertEqual(self.count_crashes(Presence.DOWN, Presence.PRESENT), 0)

    def test_unreachable_upstream_is_no_crash(self) -> None:
        self.assertEqual(self.count_crashes(Presence.UNKNOWN), 0)

    def test_refused_probe_of_a_host_without_any_path_is_no_crash(self) -> None:
        tracker = self.make_tracker()
        for number in range(ISOLATED_MIN):
            tracker.path.paths.record_lost(UpstreamId(f"e-{number}"))
        self.assertEqual(self.count_crashes(Presence.DOWN, tracker=tracker), 0)
        self.assertEqual(self.watch.counts["unreachable"], 1)

    def test_upstream_that_answers_other_hosts_has_not_crashed(self) -> None:
        tracker = self.make_tracker()
        tracker.liveness.record_response(clocks.now_s() + 2 * ELSEWHERE_MARGIN_S)
        self.assertEqual(self.count_crashes(Presence.DOWN, tracker=tracker), 0)

    def test_next_instance_is_a_crash_on_a_host_without_any_path(self) -> None:
        tracker = self.make_tracker()
        for number in range(ISOLATED_MIN):
            tracker.path.paths.record_lost(UpstreamId(f"e-{number}"))
        self.assertEqual(self.count_crashes(Presence.DOWN, Presence.REPLACED, tracker=tracker), 1)

    def test_planned_stop_is_no_crash(self) -> None:
        self.assertEqual(self.count_crashes(Presence.DOWN, tracker=self.make_tracker(0, True)), 0)

    def test_stop_of_an_upstream_that_withdrew_its_entry_is_no_crash(self) -> None:
        tracker = self.make_tracker()
        self.upstreams.remove(tracker.id)
        self.assertEqual(self.count_crashes(Presence.DOWN, tracker=tracker), 0)

    def test_all_broken_runs_of_an_instance_share_its_probes(self) -> None:
        tracker = self.make_tracker()
        self.engines.presence.return_value = Presence.DOWN
        self.watch.record_broken(tracker, BrokenRun(BAD))
        self.watch.record_broken(tracker, BrokenRun(OTHER))
        eventlet.sleep(0.1)
        (crash,) = self.crashes
        self.assertEqual(set(crash.fingerprints), {BAD, OTHER})
        self.assertEqual(self.engines.presence.call_count, crash_watches.DOWN_MIN)

    def test_third_crash_refuses_the_request_with_its_own_code(self) -> None:
        self.engines.presence.return_value = Presence.DOWN
        for number in range(CRASHES_MAX):
            self.assertIsNone(self.watch.check(BAD, POOL))
            self.watch.record_broken(self.make_tracker(number), BrokenRun(BAD))
            eventlet.sleep(0.1)
        failure = self.watch.check(BAD, POOL)
        self.assertEqual(failure.code, Code.CRASHES_UPSTREAMS)
        self.assertIn("e-2 of 1000", failure.detail)
        self.assertGreater(failure.retry_after_s, 500)
        self.assertIsNone(self.watch.check(OTHER, POOL))

    def test_second_attempt_waits_while_the_third_crash_is_probed(self) -> None:
        """Guards against the second attempt crashing a fourth upstream before the third counts."""
        self.engines.presence.return_value = Presence.DOWN
        for number in range(CRASHES_MAX):
            self.watch.record_broken(self.make_tracker(number), BrokenRun(BAD))
            self.watch.wait_for_outcome(BAD)
            if number < CRASHES_MAX - 1:
                eventlet.sleep(0.1)
        self.assertIsNotNone(self.watch.check(BAD, POOL))

    def test_request_waits_until_the_records_are_read_after_a_start(self) -> None:
        """Hosts that had just started sent prompts with a part that all had refused before."""
        reads = iter([False] * 5 + [True])
        self.watch.are_records_known = lambda: next(reads)
        self.watch.wait_for_outcome(BAD)
        self.assertEqual(list(reads), [])

    def test_request_waits_for_records_only_for_a_time_after_the_start(self) -> None:
        self.watch.are_records_known = lambda: False
        self.watch._started_at = clocks.now_s() - crash_watches.RECORDS_WAIT_S + 0.05
        for shortest_s in (0.04, 0.0):
            began = clocks.now_s()
            self.watch.wait_for_outcome(BAD)
            self.assertTrue(shortest_s <= clocks.now_s() - began < shortest_s + 0.5)

    def test_first_retry_after_a_crash_does_not_wait(self) -> None:
        self.engines.presence.return_value = Presence.DOWN
        self.watch.record_broken(self.make_tracker(), BrokenRun(BAD))
        began = clocks.now_s()
        self.watch.wait_for_outcome(BAD)
        self.assertLess(clocks.now_s() - began, crash_watches.OUTCOME_POLL_S)

    def test_completed_run_clears_a_suspect_and_notifies(self) -> None:
        self.count_crashes(Presence.DOWN)
        self.watch.record_complete(BAD)
        self.watch.record_complete(OTHER)
        self.assertEqual(self.cleared, [BAD])
        self.assertEqual(self.records.count(BAD), 0)


if __name__ == "__main__":
    unittest.main()
