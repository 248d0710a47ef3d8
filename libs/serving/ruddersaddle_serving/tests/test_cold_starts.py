"""Tests of the cold times that entries report."""

import unittest

from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.cold_starts import ColdStarts
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.upstream_entries import Heartbeat, UpstreamInstance

INSTANCE = UpstreamInstance(UpstreamId("u"), 1000)


class ColdStartsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.cold = ColdStarts()

    def left_s(self) -> float:
        return self.cold.until(INSTANCE) - self.now

    def test_unknown_instance_is_not_cold(self) -> None:
        self.assertLess(self.left_s(), 0)

    def test_newer_write_counts_whether_it_reports_more_or_less_time(self) -> None:
        self.cold.apply(INSTANCE, Heartbeat(1, 3.0))
        self.now += 1.0
        self.cold.apply(INSTANCE, Heartbeat(2, 1.5))
        self.assertAlmostEqual(self.left_s(), 1.5)
        self.cold.apply(INSTANCE, Heartbeat(3, 2.5))
        self.assertAlmostEqual(self.left_s(), 2.5)
        self.cold.apply(INSTANCE, Heartbeat(4, 0.0))
        self.assertLessEqual(self.left_s(), 0)

    def test_same_write_read_again_does_not_extend_the_time(self) -> None:
        self.cold.apply(INSTANCE, Heartbeat(1, 3.0))
        self.now += 1.0
        self.cold.apply(INSTANCE, Heartbeat(1, 3.0))
        self.assertAlmostEqual(self.left_s(), 2.0)

    def test_older_write_never_ends_a_cold_time(self) -> None:
        self.cold.apply(INSTANCE, Heartbeat(5, 3.0))
        self.cold.apply(INSTANCE, Heartbeat(4, 0.0))
        self.assertAlmostEqual(self.left_s(), 3.0)
        self.cold.apply(INSTANCE, Heartbeat(1, 4.0))
        self.assertAlmostEqual(self.left_s(), 4.0)

    def test_report_of_another_host_keeps_its_remaining_time(self) -> None:
        self.cold.apply(INSTANCE, Heartbeat(1, 3.0))
        self.now += 1.0
        other = ColdStarts()
        other.apply_all(self.cold.current())
        self.assertAlmostEqual(other.until(INSTANCE) - self.now, 2.0)
        self.now += 2.1
        self.assertEqual(self.cold.current(), ())

    def test_instances_that_are_gone_are_forgotten(self) -> None:
        self.cold.apply(INSTANCE, Heartbeat(1, 3.0))
        self.cold.keep_only([])
        self.assertLess(self.left_s(), 0)


if __name__ == "__main__":
    unittest.main()
