"""Tests of what is known of cold upstreams."""

import unittest

from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.cold_starts import ColdStarts
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.upstream_entries import Heartbeat, UpstreamInstance

START = UpstreamInstance(UpstreamId("u"), 1000)


class ColdStartsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.cold = ColdStarts()

    def left_s(self) -> float:
        return self.cold.until(START) - self.now

    def test_unknown_start_is_not_cold(self) -> None:
        self.assertLess(self.left_s(), 0)

    def test_newer_write_counts_whether_it_tells_more_or_less(self) -> None:
        self.cold.take(START, Heartbeat(1, 3.0))
        self.now += 1.0
        self.cold.take(START, Heartbeat(2, 1.5))
        self.assertAlmostEqual(self.left_s(), 1.5)
        self.cold.take(START, Heartbeat(3, 2.5))
        self.assertAlmostEqual(self.left_s(), 2.5)
        self.cold.take(START, Heartbeat(4, 0.0))
        self.assertLessEqual(self.left_s(), 0)

    def test_same_write_read_again_lengthens_nothing(self) -> None:
        self.cold.take(START, Heartbeat(1, 3.0))
        self.now += 1.0
        self.cold.take(START, Heartbeat(1, 3.0))
        self.assertAlmostEqual(self.left_s(), 2.0)

    def test_older_write_never_says_that_a_start_is_warm(self) -> None:
        self.cold.take(START, Heartbeat(5, 3.0))
        self.cold.take(START, Heartbeat(4, 0.0))
        self.assertAlmostEqual(self.left_s(), 3.0)
        self.cold.take(START, Heartbeat(1, 4.0))
        self.assertAlmostEqual(self.left_s(), 4.0)

    def test_host_takes_what_another_one_knows_with_its_age(self) -> None:
        self.cold.take(START, Heartbeat(1, 3.0))
        self.now += 1.0
        other = ColdStarts()
        other.take_all(self.cold.current())
        self.assertAlmostEqual(other.until(START) - self.now, 2.0)
        self.now += 2.1
        self.assertEqual(self.cold.current(), ())

    def test_starts_that_are_gone_are_forgotten(self) -> None:
        self.cold.take(START, Heartbeat(1, 3.0))
        self.cold.keep_only([])
        self.assertLess(self.left_s(), 0)


if __name__ == "__main__":
    unittest.main()
