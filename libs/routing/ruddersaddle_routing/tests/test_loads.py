"""Tests of the estimated load: an old report corrected by what this host knows."""

import time
import unittest
from unittest import mock

from ruddersaddle_base.ids import BlockKey, HallId, UpstreamId
from ruddersaddle_upstreams.engines import LoadReport

from ruddersaddle_routing.limits import AdaptiveLimit
from ruddersaddle_routing.loads import PENDING_TIMEOUT_S, RATE_WINDOW_S, Load
from ruddersaddle_routing.retries import Circuit


def new_load(name: str = "engine-1") -> Load:
    limit, circuit = AdaptiveLimit(8, 64), Circuit(3, 2.0)
    return Load(UpstreamId(name), f"{name}:1", HallId("glerar"), limit, circuit)


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000.0
        clock = mock.patch.object(time, "monotonic", side_effect=lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        self.load = new_load()

    def report(self, waiting: int, age_s: float) -> None:
        self.load.apply_report(LoadReport(waiting, 0, "v1", 8000.0, age_s))

    def test_estimate_adds_requests_sent_since_the_report_and_subtracts_computed_tokens(self):
        self.report(5000, 0.5)
        self.now += 0.1
        self.load.record_sent(600, [])
        self.assertAlmostEqual(self.load.waiting_tokens(hosts=1), 5000 + 600 - 0.6 * 8000)

    def test_other_hosts_are_assumed_to_send_at_this_hosts_rate(self):
        self.report(9000, 0.5)
        self.now += 0.1
        self.load.record_sent(600, [])
        others = 2 * 600 / RATE_WINDOW_S * 0.6
        expected = 9000 + 600 + others - 0.6 * 8000
        self.assertAlmostEqual(self.load.waiting_tokens(hosts=3), expected)

    def test_requests_sent_before_the_measurement_are_not_counted_twice(self):
        self.load.record_sent(40, []).finish()
        self.now += RATE_WINDOW_S + 1
        self.report(9000, 0.5)
        self.assertAlmostEqual(self.load.waiting_tokens(hosts=3), 9000 - 0.5 * 8000)

    def test_estimate_is_at_least_what_this_host_itself_has_waiting(self):
        self.report(0, 0.5)
        sent = self.load.record_sent(700, [])
        self.assertEqual(self.load.waiting_tokens(hosts=6), 700)
        sent.finish()
        self.assertEqual(self.load.waiting_tokens(hosts=6), 0)

    def test_earlier_report_does_not_override_a_recorded_version(self):
        self.report(0, 0.5)
        self.load.record_version("v2")
        self.now += 0.2
        self.report(0, 0.5)
        self.assertEqual(self.load.version, "v2")
        self.now += 1.0
        self.report(0, 0.5)
        self.assertEqual(self.load.version, "v1")

    def test_an_old_report_is_not_used(self):
        self.report(5000, 0.0)
        self.now += 60.0
        self.assertEqual(self.load.waiting_tokens(hosts=1), 0)

    def test_pending_blocks_count_as_cached_until_a_timeout(self):
        keys = [BlockKey("a"), BlockKey("b")]
        self.load.record_sent(10, keys)
        self.assertEqual(self.load.count_cached(keys), 2)
        self.assertEqual(self.load.count_confirmed(keys), 0)
        self.now += PENDING_TIMEOUT_S + 1
        self.assertEqual(self.load.count_cached(keys), 0)

    def test_cache_events_add_and_remove_blocks(self):
        key = BlockKey("a")
        self.load.apply_event(True, key)
        self.assertEqual(self.load.count_confirmed([key]), 1)
        self.load.apply_event(False, key)
        self.assertEqual(self.load.count_cached([key]), 0)


if __name__ == "__main__":
    unittest.main()
