"""Tests of the estimated load and cache of an engine."""

import unittest

from ruddersaddle_serving.engine_loads import EngineLoad, EngineMemory
from ruddersaddle_serving.prompts import Part, PartId
from ruddersaddle_serving.tests.engine_waits import wait_s
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest


class EngineLoadTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.load = EngineLoad()

    def test_prefill_counts_until_the_first_event_and_memory_until_the_end(self) -> None:
        self.load.add(("a", 1), 1, 0.1, 1000)
        self.load.add(("b", 1), 1, 0.2, 500)
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000), 0.3)
        self.load.record_first_event(("a", 1))
        self.load.record_first_event(("a", 1))
        self.load.service_time.prefill_factor = 1.0
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000), 0.2)
        self.assertEqual(self.load.tokens, 1500)
        self.load.end(("a", 1))
        self.load.end(("a", 1))
        self.assertEqual(self.load.tokens, 500)

    def test_idle_engine_predicts_no_wait_whatever_it_served_before(self) -> None:
        """Guards against a rounding error for which an idle engine is refused requests for good."""
        for number, prefill_s in enumerate((0.1, 0.2, 0.0004)):
            self.load.add(("a", number), 1, prefill_s, 10)
        for number in range(3):
            self.load.record_first_event(("a", number))
            self.load.end(("a", number))
        self.assertEqual(wait_s(self.load, 1, 10, 9000), 0.0)

    def test_requests_of_a_host_that_is_gone_expire(self) -> None:
        self.load.add(("gone", 1), 0, 0.1, 1000)
        self.now += 9.0
        self.load.add(("here", 1), 0, 0.1, 10)
        self.assertEqual(self.load.tokens, 10)

    def test_wait_for_memory_depends_on_what_runs_must_release(self) -> None:
        self.load.memory_run_s = 2.0
        self.load.add(("a", 1), 1, 0.1, 900)
        self.load.record_first_event(("a", 1))
        self.assertEqual(wait_s(self.load, 1, 100, 1000), 0.0)
        self.assertAlmostEqual(wait_s(self.load, 1, 600, 1000), 1.0)

    def test_part_that_requests_share_is_counted_once(self) -> None:
        parts = (Part(PartId("shared"), 800),)
        for number in range(3):
            self.load.add(("a", number), 1, 0.1, 1000, salt="m/1", parts=parts)
        self.load.add(("b", 1), 1, 0.1, 1000, salt="m/2", parts=parts)
        self.assertEqual(self.load.tokens, 800 + 3 * 200 + 1000)
        for number in range(3):
            self.load.end(("a", number))
        self.assertEqual(self.load.tokens, 1000)
        self.load.end(("b", 1))
        self.assertEqual(self.load.tokens, 0)

    def test_wait_for_a_slot_depends_on_runs_that_must_end(self) -> None:
        self.load.run_s = 0.6
        for number in range(5):
            self.load.add(("a", number), 1, 0.01, 10)
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000, slots=12), 0.05)
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000, slots=4), 0.3)
        # A higher priority goes first, but still waits until one of the runs ends.
        self.assertAlmostEqual(wait_s(self.load, 0, 10, 9000, slots=4), 0.15)
        self.assertAlmostEqual(wait_s(self.load, 0, 10, 9000, slots=6), 0.0)

    def test_wait_for_memory_uses_run_lengths_weighted_by_memory(self) -> None:
        """With the plain mean length of runs, waits of 1.5 s were predicted as 0.3 s."""
        for number in range(200):
            for name, tokens, run_s in (("short", 100, 0.1), ("long", 4000, 3.0)):
                self.load.add((name, number), 1, 0.01, tokens)
                self.load.record_first_event((name, number))
                self.now += run_s
                self.load.end((name, number))
        self.load.add(("a", 1), 1, 0.0, 1000)
        self.load.record_first_event(("a", 1))
        self.assertGreater(wait_s(self.load, 1, 1000, 1000), 2.0)
        self.assertLess(self.load.run_s, 2.0)

    def test_service_time_follows_observed_first_events(self) -> None:
        for number in range(400):
            prefill_s = (0.005, 0.1, 0.4)[number % 3]
            self.load.add(("a", number), 1, prefill_s, 10, fetch_s=0.05)
            self.now += 0.05 + 0.06 + 3.0 * prefill_s
            self.load.record_first_event(("a", number))
            self.load.end(("a", number))
        self.assertAlmostEqual(self.load.service_time.prefill_factor, 3.0, delta=0.1)
        self.assertAlmostEqual(self.load.service_time.overhead_s, 0.06, delta=0.006)
        self.load.add(("a", 999), 1, 0.1, 10)
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000), 0.3, delta=0.01)

    def test_requests_that_wait_for_memory_are_not_observed(self) -> None:
        self.load.add(("a", 0), 1, 0.1, 1000, capacity_tokens=1000)
        for number in range(1, 60):
            self.load.add(("a", number), 1, 0.1, 10, capacity_tokens=1000)
        self.now += 5.0
        for number in range(1, 60):
            self.load.record_first_event(("a", number))
        self.assertEqual(self.load.service_time.prefill_factor, 1.0)

    def test_lower_priorities_are_not_waited_for(self) -> None:
        self.load.add(("a", 1), 2, 0.3, 5000)
        self.load.add(("a", 2), 0, 0.1, 10)
        waits = [wait_s(self.load, priority, 10, 1000) for priority in (0, 1, 9)]
        self.assertEqual([round(wait, 2) for wait in waits], [0.1, 0.1, 4.02])


class EngineMemoryTest(unittest.TestCase):
    def test_least_recently_used_parts_are_evicted(self) -> None:
        a, b, c = (Part(PartId(name), 40) for name in "abc")
        memory = EngineMemory(100)
        for part in (a, b, a, c):
            memory.record_use("s", (part,))
        cached = [memory.cached_prefix_tokens("s", (part,)) for part in (a, b, c)]
        self.assertEqual(cached, [40, 0, 40])
        self.assertEqual(memory.cached_prefix_tokens("other", (a,)), 0)

    def test_only_leading_parts_count(self) -> None:
        a, b = Part(PartId("a"), 10), Part(PartId("b"), 10)
        memory = EngineMemory(100)
        memory.record_use("s", (b,))
        self.assertEqual(memory.cached_prefix_tokens("s", (a, b)), 0)


if __name__ == "__main__":
    unittest.main()
