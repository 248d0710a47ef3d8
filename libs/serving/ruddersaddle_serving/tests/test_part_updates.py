"""Tests of the updates that hosts send each other about context stores."""

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
    reply_parts,
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
        self.read_view = self.reader.by_id[SPEC.id] = StoreView(SPEC)
        self.read_view.reset(7, 40)
        self.read_view.record_clock(9_000)
        self.read_view.confirmed_at = self.now
        self.relayed_view = StoreView(SPEC)
        self.revision = -1

    def put(self, name: str, tokens: int) -> None:
        self.read_view.apply(StoreChange("m/1", PartId(name), tokens))

    def ask(self, latency_s: float = 0.0) -> PartsUpdate:
        """Request an update and apply it; each direction takes `latency_s`."""
        asked_at = self.now
        self.now += latency_s
        update = reply_parts(self.reader, PartsRequest((KnownRevision(SPEC.id, self.revision),)))
        self.now += latency_s
        for each in update.stores:
            apply_store_update(self.relayed_view, each, asked_at)
            self.revision = each.revision
        return update

    def parts(self) -> dict[str, int]:
        return {part: tokens for (_, part), tokens in self.relayed_view.tokens_by_part.items()}

    def test_first_update_is_complete_and_later_ones_are_changes(self) -> None:
        self.put("a", 10)
        self.assertTrue(self.ask().stores[0].is_complete)
        self.put("b", 20)
        self.put("a", 0)
        second = self.ask().stores[0]
        self.assertEqual((second.is_complete, len(second.changes)), (False, 2))
        self.assertEqual(self.parts(), {"b": 20})
        self.assertEqual(self.relayed_view.used_tokens, self.read_view.used_tokens)
        self.assertEqual(self.ask().stores[0].changes, ())

    def test_host_that_fell_far_behind_gets_the_complete_listing(self) -> None:
        self.ask()
        for number in range(RECENT_CHANGES_MAX + 1):
            self.put(str(number % 5), 10 + number)
        update = self.ask().stores[0]
        self.assertEqual((update.is_complete, len(update.changes)), (True, 5))

    def test_restart_of_the_store_clears_the_listing_and_pauses_saves(self) -> None:
        self.put("a", 10)
        self.ask()
        self.now += 10.0
        self.read_view.reset(8, 0)
        self.read_view.confirmed_at = self.now
        self.ask()
        self.assertEqual((self.parts(), self.relayed_view.epoch), ({}, 8))
        self.assertFalse(self.relayed_view.accepts_saves)

    def test_update_requested_before_a_store_was_lost_does_not_restore_trust(self) -> None:
        asked_at = self.now
        update = reply_parts(self.reader, PartsRequest((KnownRevision(SPEC.id, -1),)))
        self.now += 0.01
        self.relayed_view.record_lost()
        apply_store_update(self.relayed_view, update.stores[0], asked_at)
        self.assertFalse(self.relayed_view.is_trusted)
        self.now += 0.1
        self.read_view.confirmed_at = self.now
        self.ask()
        self.assertTrue(self.relayed_view.is_trusted)

    def test_age_of_a_listing_includes_the_readers_and_the_round_trip(self) -> None:
        self.now += 1.0
        self.ask(latency_s=0.3)
        self.assertAlmostEqual(self.now - self.relayed_view.confirmed_at, 1.0 + 0.3 + 0.6, places=6)
        self.assertTrue(self.relayed_view.is_trusted)
        self.now += 0.2
        self.assertFalse(self.relayed_view.is_trusted)

    def test_reader_that_no_longer_trusts_its_listing_sends_nothing(self) -> None:
        self.now += LISTING_TRUST_S + 0.1
        self.assertEqual(self.ask(), PartsUpdate(()))

    def test_listing_of_a_reader_that_lags_brings_back_a_part_that_was_removed(self) -> None:
        self.put("a", 10)
        lagging = reply_parts(self.reader, PartsRequest((KnownRevision(SPEC.id, -1),))).stores[0]
        self.put("a", 0)
        self.read_view.next_event += 1
        self.ask()
        self.assertFalse(apply_store_update(self.relayed_view, lagging, self.now))
        self.assertEqual(self.parts(), {})

    def test_listing_of_an_earlier_epoch_counts_as_new(self) -> None:
        self.put("a", 10)
        lagging = reply_parts(self.reader, PartsRequest((KnownRevision(SPEC.id, -1),))).stores[0]
        asked_at = self.now
        self.now += 1.0
        self.read_view.reset(8, 0)
        self.read_view.confirmed_at = self.now
        self.ask()
        self.assertFalse(apply_store_update(self.relayed_view, lagging, asked_at))
        self.assertEqual((self.parts(), self.relayed_view.epoch), ({}, 8))

    def test_relayed_clock_is_never_ahead(self) -> None:
        self.ask(latency_s=0.2)
        passed_ms = (self.now - 100.0) * 1000
        self.assertLessEqual(self.relayed_view.clock_ms, 9_000 + passed_ms)


if __name__ == "__main__":
    unittest.main()
