"""Tests of what hosts tell one another of context stores."""

import unittest
from unittest import mock

from ruddersaddle_base.ids import HallId, StoreId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.context_stores import LISTING_TRUST_S, RECENT_CHANGES_MAX, StoreView
from ruddersaddle_serving.part_updates import (
    KnownRevision,
    PartsRequest,
    PartsUpdate,
    apply_store_update,
    make_parts_update,
)
from ruddersaddle_serving.ports import StoreChange
from ruddersaddle_serving.prompts import PartId
from ruddersaddle_serving.routes import ContextStore
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

SPEC = ContextStore(StoreId("s"), "10.0.0.1:1", HallId("h"), 100_000, 1000.0, 0.0, 12)


class PartUpdatesTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.reader = CachedParts(mock.Mock())
        self.read = self.reader.by_id[SPEC.id] = StoreView(SPEC)
        self.read.reset(7, 40)
        self.read.record_clock(9_000)
        self.read.confirmed_at = self.now
        self.told = StoreView(SPEC)
        self.revision = -1

    def put(self, name: str, tokens: int) -> None:
        self.read.apply(StoreChange("m/1", PartId(name), tokens))

    def ask(self, way_s: float = 0.0) -> PartsUpdate:
        """Ask and take the answer, each way taking `way_s`."""
        asked_at = self.now
        self.now += way_s
        news = make_parts_update(
            self.reader, PartsRequest((KnownRevision(SPEC.id, self.revision),))
        )
        self.now += way_s
        for each in news.stores:
            apply_store_update(self.told, each, asked_at)
            self.revision = each.revision
        return news

    def parts(self) -> dict[str, int]:
        return {part: tokens for (_, part), tokens in self.told.tokens_by_part.items()}

    def test_first_answer_is_whole_and_later_ones_are_changes(self) -> None:
        self.put("a", 10)
        self.assertTrue(self.ask().stores[0].is_complete)
        self.put("b", 20)
        self.put("a", 0)
        second = self.ask().stores[0]
        self.assertEqual((second.is_complete, len(second.changes)), (False, 2))
        self.assertEqual(self.parts(), {"b": 20})
        self.assertEqual(self.told.used_tokens, self.read.used_tokens)
        self.assertEqual(self.ask().stores[0].changes, ())

    def test_asker_that_fell_far_behind_gets_the_whole_listing(self) -> None:
        self.ask()
        for number in range(RECENT_CHANGES_MAX + 1):
            self.put(str(number % 5), 10 + number)
        news = self.ask().stores[0]
        self.assertEqual((news.is_complete, len(news.changes)), (True, 5))

    def test_restart_of_the_store_drops_what_was_known_and_saves_nothing_at_first(self) -> None:
        self.put("a", 10)
        self.ask()
        self.now += 10.0
        self.read.reset(8, 0)
        self.read.confirmed_at = self.now
        self.ask()
        self.assertEqual((self.parts(), self.told.epoch), ({}, 8))
        self.assertFalse(self.told.accepts_saves)

    def test_answer_from_before_the_loss_of_a_store_does_not_restore_it(self) -> None:
        asked_at = self.now
        news = make_parts_update(self.reader, PartsRequest((KnownRevision(SPEC.id, -1),)))
        self.now += 0.01
        self.told.record_lost()
        apply_store_update(self.told, news.stores[0], asked_at)
        self.assertFalse(self.told.is_trusted)
        self.now += 0.1
        self.read.confirmed_at = self.now
        self.ask()
        self.assertTrue(self.told.is_trusted)

    def test_listing_is_as_old_as_the_readers_and_the_way(self) -> None:
        self.now += 1.0
        self.ask(way_s=0.3)
        self.assertAlmostEqual(self.now - self.told.confirmed_at, 1.0 + 0.3 + 0.6, places=6)
        self.assertTrue(self.told.is_trusted)
        self.now += 0.2
        self.assertFalse(self.told.is_trusted)

    def test_reader_that_no_longer_trusts_its_listing_tells_nothing(self) -> None:
        self.now += LISTING_TRUST_S + 0.1
        self.assertEqual(self.ask(), PartsUpdate(()))

    def test_clock_is_never_told_ahead_of_itself(self) -> None:
        self.ask(way_s=0.2)
        passed_ms = (self.now - 100.0) * 1000
        self.assertLessEqual(self.told.clock_ms, 9_000 + passed_ms)


if __name__ == "__main__":
    unittest.main()
