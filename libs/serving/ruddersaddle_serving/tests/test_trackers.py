"""Tests of the trackers of upstreams."""

import unittest

from ruddersaddle_base.ids import HallId, ModelId, PoolId, RequestId, UpstreamId

from ruddersaddle_serving.prompts import Part, PartId
from ruddersaddle_serving.routes import EngineSpec, Pool, PublishedConfiguration, RouteTable
from ruddersaddle_serving.self_reports import LimitUpdate
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Assignment, Notice, Progress, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry

POOL = PoolId("p")
PARTS = (Part(PartId("a"), 100),)
ASSIGNMENT = Assignment("m/1", PARTS, 0.01, 120, 1)


def make_entry(name: str, born_ms: int | None = None) -> UpstreamEntry:
    address = "10.0.0.1:80"
    return UpstreamEntry(UpstreamId(name), POOL, address, HallId("h"), 8, False, {}, born_ms)


def make_table(memory_tokens: int) -> RouteTable:
    engine = EngineSpec(8, memory_tokens, (ModelId("m"),))
    return RouteTable(PublishedConfiguration(1, pools=(Pool(POOL, engine),)))


class MemoryTest(unittest.TestCase):
    def test_new_engine_has_its_memory_size_at_once(self) -> None:
        trackers = Trackers()
        trackers.apply_table(make_table(1000))
        tracker = trackers.get_or_create(make_entry("e-1"))
        tracker.apply_notice("host", Notice(tracker.id, 1, Progress.SENT, ASSIGNMENT))
        self.assertEqual(tracker.memory.cached_prefix_tokens("m/1", PARTS), 100)

    def test_new_configuration_changes_the_memory_size_of_known_engines(self) -> None:
        trackers = Trackers()
        tracker = trackers.get_or_create(make_entry("e-1"))
        for tokens in (1000, 500):
            trackers.apply_table(make_table(tokens))
            self.assertEqual(tracker.memory.capacity_tokens, tokens)


class ReplacedTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.trackers = Trackers()
        self.old = self.trackers.get_or_create(make_entry("e-1"))

    def test_upstream_at_the_address_of_a_new_one_is_replaced(self) -> None:
        self.now += 5.0
        new = self.trackers.get_or_create(make_entry("e-2"))
        self.assertEqual((self.old.is_healthy, new.is_healthy), (False, True))

    def test_two_upstreams_in_the_first_list_both_stay_healthy(self) -> None:
        new = self.trackers.get_or_create(make_entry("e-2"))
        self.assertEqual((self.old.is_healthy, new.is_healthy), (True, True))

    def test_replacement_reported_by_another_host_counts(self) -> None:
        self.old.apply_notice("other", Notice(self.old.id, 1, Progress.REPLACED))
        self.assertFalse(self.old.is_healthy)


class InstancesTest(FixedClockTest):
    """Instances under one id, distinguished by their time of birth."""

    def setUp(self) -> None:
        super().setUp()
        self.trackers = Trackers()
        self.old = self.trackers.get_or_create(make_entry("e-1", 1000))
        self.old.apply_notice("host", Notice(self.old.id, 1, Progress.SENT, ASSIGNMENT))
        self.old.record_version(ModelId("m"), 7)
        self.now += 5.0
        self.new = self.trackers.get_or_create(make_entry("e-1", 2000))

    def test_next_instance_inherits_no_state(self) -> None:
        self.assertIs(self.trackers.by_id[self.old.id], self.new)
        self.assertEqual((self.old.is_healthy, self.new.is_healthy), (False, True))
        self.assertEqual(self.new.version_by_model, {})
        self.assertEqual(self.new.load.tokens, 0)

    def test_late_notice_about_the_previous_instance_leaves_it_healthy(self) -> None:
        self.new.apply_notice("other", Notice(self.old.id, 2, Progress.REPLACED, born_ms=1000))
        self.assertTrue(self.new.is_healthy)

    def test_notice_of_its_own_replacement_counts(self) -> None:
        self.new.apply_notice("other", Notice(self.old.id, 2, Progress.REPLACED, born_ms=2000))
        self.assertFalse(self.new.is_healthy)


class LimitTest(FixedClockTest):
    def test_limit_survives_an_entry_that_is_removed_and_returns(self) -> None:
        trackers = Trackers()
        entry = make_entry("e-1", 1000)
        trackers.get_or_create(entry).reported.rate_limit.apply(
            LimitUpdate(2.1, False, RequestId("q"))
        )
        trackers.keep_only(set())
        self.assertEqual(trackers.get_or_create(entry).reported.rate_limit.bound_per_s(), 2.1)

    def test_limit_of_an_instance_does_not_apply_to_the_next_one(self) -> None:
        trackers = Trackers()
        trackers.get_or_create(make_entry("e-1", 1000)).reported.rate_limit.apply(
            LimitUpdate(2.1, False, RequestId("q"))
        )
        self.assertIsNone(
            trackers.get_or_create(make_entry("e-1", 2000)).reported.rate_limit.bound_per_s()
        )


class OutcomesTest(unittest.TestCase):
    def test_outcome_reported_by_another_host_counts(self) -> None:
        tracker = Trackers().get_or_create(make_entry("e-1"))
        for number in range(5):
            tracker.apply_notice("other", Notice(tracker.id, number, Progress.ENDED, failed=True))
        self.assertFalse(tracker.is_healthy)

    def test_end_without_an_outcome_does_not_count(self) -> None:
        tracker = Trackers().get_or_create(make_entry("e-1"))
        for number in range(5):
            tracker.apply_notice("other", Notice(tracker.id, number, Progress.ENDED))
        self.assertTrue(tracker.is_healthy)


if __name__ == "__main__":
    unittest.main()
