"""Tests of fetching parts from other engines where no store has them."""

import time
import unittest
from unittest import mock

from ruddersaddle_base.ids import HallId, ModelId, PoolId, StoreId, UpstreamId

from ruddersaddle_serving.context_stores import KeptStore
from ruddersaddle_serving.kept_parts import KeptParts
from ruddersaddle_serving.part_sources import find_sources
from ruddersaddle_serving.ports import StoreChange, Transfer
from ruddersaddle_serving.prompts import Part, PartId, Prompt
from ruddersaddle_serving.routes import ContextStore
from ruddersaddle_serving.trackers import Assignment, Notice, Progress, Tracker
from ruddersaddle_serving.upstream_lists import UpstreamEntry

HALL = HallId("h")
MODEL = ModelId("m")
FIRST, SECOND, OWN = Part(PartId("a"), 500), Part(PartId("b"), 9000), Part(PartId("o"), 100)
PROMPT = Prompt(MODEL, (FIRST, SECOND, OWN), 9600, 10)
SPEC = ContextStore(StoreId("s"), "10.0.0.9:1", HALL, 90_000, 130_000.0, 0.0, 8)


class PartSourcesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(time, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.kept = KeptParts(mock.Mock())
        self.store = self.kept.by_id[SPEC.id] = KeptStore(SPEC)
        self.store.reset(1, 0, has_parts=True)
        self.store.note_clock(5_000)
        self.store.confirmed_at = self.now
        self.engines = [self.make(number) for number in range(3)]

    def make(self, number: int) -> Tracker:
        address = f"10.0.0.{number}:1"
        name = UpstreamId(f"e-{number}")
        entry = UpstreamEntry(name, PoolId("p"), address, HALL, 8, False, {MODEL: 1})
        return Tracker(entry, 50_000)

    def tell(self, engine: Tracker, progress: Progress) -> None:
        assignment = Assignment("m/1", PROMPT.shared_parts, 0.1, 9610, 1)
        started = assignment if progress is Progress.SENT else None
        engine.take_notice("host", Notice(engine.id, 1, progress, started))

    def read(self, engine: Tracker) -> None:
        for progress in Progress:
            self.tell(engine, progress)

    def plan(self, reader: Tracker) -> Transfer:
        sources = find_sources(self.kept, self.engines, "m/1", PROMPT)
        return self.kept.plan("m/1", PROMPT, [each.for_reader(reader) for each in sources], HALL)

    def test_part_that_no_store_has_comes_from_an_engine_that_read_it(self) -> None:
        first, second, _ = self.engines
        self.read(first)
        plan = self.plan(second)
        self.assertEqual(plan.fetch_from, ("10.0.0.0:1", "10.0.0.0:1", None))
        self.assertEqual(plan.save_to, (SPEC.address, SPEC.address, None))
        self.assertEqual(plan.fetch_until_ms, 5_000 + 1_400)

    def test_part_that_a_store_has_comes_from_there(self) -> None:
        first, second, _ = self.engines
        self.read(first)
        self.store.put(StoreChange("m/1", FIRST.id, FIRST.tokens))
        self.assertEqual(self.plan(second).fetch_from, (SPEC.address, "10.0.0.0:1", None))

    def test_part_that_is_still_being_read_is_not_fetched(self) -> None:
        first, second, _ = self.engines
        self.tell(first, Progress.SENT)
        self.assertEqual(self.plan(second).fetch_from, (None, None, None))

    def test_engine_fetches_nothing_from_itself(self) -> None:
        first, second, _ = self.engines
        self.read(first)
        self.assertEqual(self.plan(first).fetch_from, (None, None, None))
        self.read(second)
        self.assertEqual(self.plan(first).fetch_from, ("10.0.0.1:1", "10.0.0.1:1", None))

    def test_new_weights_drop_what_an_engine_had_read(self) -> None:
        first, second, _ = self.engines
        self.read(first)
        first.take_version(MODEL, 2)
        self.assertEqual(self.plan(second).fetch_from, (None, None, None))

    def test_part_that_gave_way_is_not_fetched(self) -> None:
        first, second, _ = self.engines
        self.read(first)
        first.memory.use("m/1", (Part(PartId("large"), 45_000),))
        self.assertEqual(self.plan(second).fetch_from, (None, None, None))

    def test_nothing_is_fetched_without_the_engines_clock(self) -> None:
        first, second, _ = self.engines
        self.read(first)
        self.now += 10.0
        self.assertEqual(self.plan(second).fetch_from, (None, None, None))


if __name__ == "__main__":
    unittest.main()
