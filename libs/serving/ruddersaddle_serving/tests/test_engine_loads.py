"""Tests of what hosts know of the requests at an engine."""

import unittest

from ruddersaddle_serving.engine_loads import EngineLoad, EngineMemory
from ruddersaddle_serving.prompts import Part, PartId
from ruddersaddle_serving.tests.engine_waits import wait_s
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest


class EngineLoadTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.load = EngineLoad()

    def test_reading_counts_until_the_first_event_and_memory_until_the_end(self) -> None:
        self.load.add(("a", 1), 1, 0.1, 1000)
        self.load.add(("b", 1), 1, 0.2, 500)
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000), 0.3)
        self.load.record_first_event(("a", 1))
        self.load.record_first_event(("a", 1))
        self.load.service_time.factor = 1.0
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000), 0.2)
        self.assertEqual(self.load.tokens, 1500)
        self.load.end(("a", 1))
        self.load.end(("a", 1))
        self.assertEqual(self.load.tokens, 500)

    def test_requests_of_a_host_that_is_gone_are_forgotten(self) -> None:
        self.load.add(("gone", 1), 0, 0.1, 1000)
        self.now += 9.0
        self.load.add(("here", 1), 0, 0.1, 10)
        self.assertEqual(self.load.tokens, 10)

    def test_wait_for_memory_is_what_runs_must_leave(self) -> None:
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

    def test_wait_for_a_slot_is_what_runs_must_end(self) -> None:
        self.load.run_s = 0.6
        for number in range(5):
            self.load.add(("a", number), 1, 0.01, 10)
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000, slots=12), 0.05)
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000, slots=4), 0.3)
        # What is more urgent goes first, but not before one of the runs has ended.
        self.assertAlmostEqual(wait_s(self.load, 0, 10, 9000, slots=4), 0.15)
        self.assertAlmostEqual(wait_s(self.load, 0, 10, 9000, slots=6), 0.0)

    def test_memory_comes_free_by_the_runs_that_hold_it(self) -> None:
        """Found on a day with engines lost: waits of 1.5 s were predicted as 0.3 s."""
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

    def test_pace_follows_what_first_events_take(self) -> None:
        for number in range(400):
            prefill_s = (0.005, 0.1, 0.4)[number % 3]
            self.load.add(("a", number), 1, prefill_s, 10, fetch_s=0.05)
            self.now += 0.05 + 0.06 + 3.0 * prefill_s
            self.load.record_first_event(("a", number))
            self.load.end(("a", number))
        self.assertAlmostEqual(self.load.service_time.factor, 3.0, delta=0.1)
        self.assertAlmostEqual(self.load.service_time.overhead_s, 0.06, delta=0.006)
        self.load.add(("a", 999), 1, 0.1, 10)
        self.assertAlmostEqual(wait_s(self.load, 1, 10, 9000), 0.3, delta=0.01)

    def test_pace_is_not_learned_from_requests_that_wait_for_memory(self) -> None:
        self.load.add(("a", 0), 1, 0.1, 1000, capacity_tokens=1000)
        for number in range(1, 60):
            self.load.add(("a", number), 1, 0.1, 10, capacity_tokens=1000)
        self.now += 5.0
        for number in range(1, 60):
            self.load.record_first_event(("a", number))
        self.assertEqual(self.load.service_time.factor, 1.0)

    def test_what_is_less_urgent_is_not_waited_for(self) -> None:
        self.load.add(("a", 1), 2, 0.3, 5000)
        self.load.add(("a", 2), 0, 0.1, 10)
        waits = [wait_s(self.load, priority, 10, 1000) for priority in (0, 1, 9)]
        self.assertEqual([round(wait, 2) for wait in waits], [0.1, 0.1, 4.02])


class EngineMemoryTest(unittest.TestCase):
    def test_least_recently_used_parts_give_way(self) -> None:
        a, b, c = (Part(PartId(name), 40) for name in "abc")
        memory = EngineMemory(100)
        for part in (a, b, a, c):
            memory.record_use("s", (part,))
        kept = [memory.cached_prefix_tokens("s", (part,)) for part in (a, b, c)]
        self.assertEqual(kept, [40, 0, 40])
        self.assertEqual(memory.cached_prefix_tokens("other", (a,)), 0)

    def test_only_leading_parts_count(self) -> None:
        a, b = Part(PartId("a"), 10), Part(PartId("b"), 10)
        memory = EngineMemory(100)
        memory.record_use("s", (b,))
        self.assertEqual(memory.cached_prefix_tokens("s", (a, b)), 0)


if __name__ == "__main__":
    unittest.main()
