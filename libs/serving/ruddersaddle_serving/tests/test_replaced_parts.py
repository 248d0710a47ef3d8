"""Tests of freeing the cached parts of replaced weights."""

import unittest
from unittest import mock

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, ModelId, PoolId, StoreId, UpstreamId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.context_stores import FETCH_TIMEOUT_S, LISTING_TRUST_S, StoreView
from ruddersaddle_serving.ports import ModelVersion, StoreChange
from ruddersaddle_serving.prompts import Part, PartId, Prompt
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.replaced_parts import FREE_AFTER_S, FREE_CALL_S, ReplacedParts
from ruddersaddle_serving.routes import ContextStore
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

MODEL = ModelId("m")
HALL = HallId("h")
SPEC = ContextStore(StoreId("s"), "10.0.0.9:1", HALL, 90_000, 130_000.0, 0.006, 8)
SHARED = Part(PartId("shared"), 500)
OLD_PART = StoreChange("m/1", SHARED.id, SHARED.tokens)
NEW_PART = StoreChange("m/2", SHARED.id, SHARED.tokens)


class ReplacedPartsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.publications = Publications()
        self.upstreams = UpstreamList()
        self.trackers = Trackers()
        self.engines = mock.Mock()
        self.engines.free.return_value = None
        self.cached_parts = CachedParts(self.engines)
        self.store = self.cached_parts.by_id[SPEC.id] = StoreView(SPEC)
        self.store.reset(1, 0)
        self.store.record_clock(5_000)
        for part in (OLD_PART, NEW_PART):
            self.store.apply(part)
        neighbours = mock.Mock(live_hosts=["a"], address="a")
        self.replaced = ReplacedParts(
            self.publications, self.upstreams, self.trackers, neighbours, self.cached_parts
        )
        self.first, self.second = (self.add(name) for name in ("e-1", "e-2"))
        self.publications.apply(ModelVersion(MODEL, 2))

    def add(self, name: str) -> Tracker:
        address = f"10.0.0.1:{name[-1]}"
        entry = UpstreamEntry(UpstreamId(name), PoolId("p"), address, HALL, 8, False, {MODEL: 1})
        self.upstreams.put(entry)
        return self.trackers.get_or_create(entry)

    def run_for(self, seconds: float) -> None:
        """Check each half second; the store's listing and the upstream list stay confirmed."""
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            self.store.confirmed_at = self.now
            self.upstreams.confirm(self.now)
            self.replaced.free_unused(MODEL)

    def test_parts_stay_while_an_engine_has_their_weights(self) -> None:
        self.first.record_version(MODEL, 2)
        self.run_for(60.0)
        self.engines.free.assert_not_called()

    def test_parts_are_freed_once_every_fetch_of_them_has_ended(self) -> None:
        for tracker in (self.first, self.second):
            tracker.record_version(MODEL, 2)
        self.run_for(FREE_AFTER_S)
        self.engines.free.assert_not_called()
        self.run_for(1.0)
        gone = (StoreChange("m/1", SHARED.id, 0),)
        self.engines.free.assert_called_once()
        store, epoch, parts, until_ms = self.engines.free.call_args.args
        self.assertEqual((store, epoch, parts), (SPEC, 1, gone))
        self.assertLessEqual(until_ms, self.store.clock_ms + FREE_CALL_S * 1000)
        self.assertEqual(self.store.tokens_by_part, {("m/2", SHARED.id): SHARED.tokens})

    def test_nothing_is_freed_while_entries_may_be_missing(self) -> None:
        """An engine with the old weights may still run though its entry expired in an outage."""
        self.upstreams.remove(self.second.id)
        self.first.record_version(MODEL, 2)
        self.run_for(1.0)
        for _ in range(40):
            self.upstreams.record_outage()
            self.run_for(0.5)
        self.engines.free.assert_not_called()

    def test_engine_that_returns_with_old_weights_restarts_the_wait(self) -> None:
        self.first.record_version(MODEL, 2)
        self.upstreams.remove(self.second.id)
        self.run_for(FREE_AFTER_S - 1.0)
        self.upstreams.put(self.second.entry)
        self.run_for(10.0)
        self.engines.free.assert_not_called()

    def test_parts_are_freed_at_the_next_store_after_an_engine_has_returned(self) -> None:
        """A call to a store that hangs took two seconds, in which an engine came back."""
        for hanging_call in range(1, 4):
            with self.subTest(hanging_call=hanging_call):
                self.setUp()
                for name in ("t", "u"):
                    self.add_store(name)
                self.hang_at(hanging_call)
                for tracker in (self.first, self.second):
                    tracker.record_version(MODEL, 2)
                self.run_for(FREE_AFTER_S + 3.0)
                self.assertEqual(self.engines.free.call_count, hanging_call)

    def add_store(self, name: str) -> None:
        """Add a store with parts of the replaced weights, whose listing stays confirmed."""
        other = msgspec.structs.replace(SPEC, id=StoreId(name))
        view = self.cached_parts.by_id[other.id] = StoreView(other)
        view.reset(1, 0)
        view.record_clock(5_000)
        view.apply(OLD_PART)
        view.confirmed_at = self.now + 60.0

    def hang_at(self, number: int) -> None:
        """Let a call to free parts time out while an engine returns with the old weights."""
        hung = Failure(Code.UPSTREAM_FAILED, Step.KEEP, SPEC.address, "timed out")

        def free(*call: object) -> Failure | None:
            if self.engines.free.call_count < number:
                return None
            self.second.version_by_model[MODEL] = 1
            return hung

        self.engines.free.side_effect = free

    def test_wait_outlasts_trusted_listings_and_the_fetch_that_follows(self) -> None:
        self.assertGreater(FREE_AFTER_S, LISTING_TRUST_S + FETCH_TIMEOUT_S)

    def test_parts_are_fetched_however_old_the_published_items_are(self) -> None:
        """Otherwise every prompt is recomputed in full while the metadata store is unreachable."""
        prompt = Prompt(MODEL, (SHARED, Part(PartId("own"), 10)), 510, 3)
        self.now += 30.0
        self.store.confirmed_at = self.now
        self.assertGreater(self.publications.age_s, 30.0)
        self.assertEqual(self.cached_parts.find_holders("m/1", prompt), [self.store])


if __name__ == "__main__":
    unittest.main()
