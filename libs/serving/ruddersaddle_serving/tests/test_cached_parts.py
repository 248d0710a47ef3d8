"""Tests of which prompt parts are fetched from and saved to context stores."""

import unittest
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, ModelId, PoolId, StoreId, WorkspaceId

from ruddersaddle_serving.cached_parts import CachedParts, make_salt
from ruddersaddle_serving.context_stores import (
    FETCH_TIMEOUT_S,
    LISTING_TRUST_S,
    RESTART_SAVE_PAUSE_S,
    StoreView,
    is_older_salt,
)
from ruddersaddle_serving.part_updates import StoreUpdate, apply_store_update
from ruddersaddle_serving.ports import StoreChange, StoreChanges, StoreListing, Transfer
from ruddersaddle_serving.prompts import Part, PartId, Prompt
from ruddersaddle_serving.routes import (
    ContextStore,
    EngineSpec,
    Pool,
    PublishedConfiguration,
    RouteTable,
)
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

HALL = HallId("h")
MODEL = ModelId("m")
SMALL, LARGE, OWN = Part(PartId("s"), 500), Part(PartId("l"), 9000), Part(PartId("o"), 100)
PROMPT = Prompt(MODEL, (SMALL, LARGE, OWN), 9600, 10)
FAST = ContextStore(StoreId("fast"), "10.0.0.1:1", HALL, 20_000, 310_000.0, 0.0005, 8)
SLOW = ContextStore(StoreId("slow"), "10.0.0.2:1", HALL, 90_000, 130_000.0, 0.006, 8)


class CachedPartsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.cached_parts = CachedParts(mock.Mock())
        for spec in (FAST, SLOW):
            store = self.cached_parts.by_id[spec.id] = StoreView(spec)
            store.reset(1, 0)
            store.record_clock(5_000)
        self.now += 10.0
        self.confirm()

    def confirm(self) -> None:
        for store in self.cached_parts.by_id.values():
            store.confirmed_at = self.now

    def plan(self) -> Transfer:
        holders = self.cached_parts.find_holders("m/1", PROMPT)
        return self.cached_parts.plan("m/1", PROMPT, holders, HALL)

    def put(self, store: ContextStore, part: Part) -> None:
        self.cached_parts.by_id[store.id].apply(StoreChange("m/1", part.id, part.tokens))

    def test_small_parts_go_to_fast_stores_and_large_ones_to_slow_ones(self) -> None:
        expected = Transfer("m/1", (None,) * 3, (FAST.address, SLOW.address, None), 0)
        self.assertEqual(self.plan(), expected)

    def test_part_is_not_saved_twice_at_once(self) -> None:
        self.plan()
        self.assertEqual(self.plan().save_to, (None, None, None))

    def test_complete_parts_are_fetched_with_a_deadline_on_the_engines_clock(self) -> None:
        self.put(FAST, SMALL)
        self.put(SLOW, LARGE)
        plan = self.plan()
        self.assertEqual(plan.fetch_from, (FAST.address, SLOW.address, None))
        self.assertEqual(plan.save_to, (None, None, None))
        self.assertEqual(plan.fetch_until_ms, 5_000 + 10_000 + 1_400)

    def test_part_after_a_missing_one_is_not_fetched(self) -> None:
        self.put(SLOW, LARGE)
        self.assertEqual(self.plan().fetch_from, (None, None, None))

    def test_part_after_one_that_the_engine_caches_is_fetched(self) -> None:
        self.put(SLOW, LARGE)
        holders = self.cached_parts.find_holders("m/1", PROMPT)
        plan = self.cached_parts.plan("m/1", PROMPT, holders, HALL, covered_tokens=SMALL.tokens)
        self.assertEqual(plan.fetch_from, (None, SLOW.address, None))

    def test_nothing_is_saved_for_replaced_weights(self) -> None:
        plan = self.cached_parts.plan("m/1", PROMPT, [None, None], HALL, may_save=False)
        self.assertEqual(plan, Transfer("m/1", (None,) * 3, (None,) * 3, 0))

    def test_part_of_a_shorter_length_is_not_complete(self) -> None:
        self.cached_parts.by_id[FAST.id].apply(StoreChange("m/1", SMALL.id, SMALL.tokens - 1))
        self.assertEqual(self.cached_parts.find_holders("m/1", PROMPT), [None, None])

    def test_listing_that_is_not_confirmed_is_not_trusted(self) -> None:
        self.put(FAST, SMALL)
        self.now += LISTING_TRUST_S + 0.1
        self.assertEqual(self.plan(), Transfer("m/1", (None,) * 3, (None,) * 3, 0))

    def failure_at(self, step: Step) -> Failure:
        return Failure(Code.UPSTREAM_FAILED, step, FAST.address, "reset")

    def follow(self, *answers: Failure | StoreChanges) -> list[StoreId]:
        """Poll the fast store with these answers; return the stores that are broadcast as lost."""
        lost: list[StoreId] = []
        self.cached_parts.broadcast_lost = lost.append
        self.cached_parts.engines.store_changes.side_effect = answers
        self.cached_parts.follow_once(self.cached_parts.by_id[FAST.id])
        return lost

    def test_nothing_is_fetched_from_a_store_that_accepts_no_connection(self) -> None:
        """Otherwise each prompt is delayed by 0.3 s while the listing is still trusted."""
        self.put(FAST, SMALL)
        lost = self.follow(self.failure_at(Step.SEND), self.failure_at(Step.CONNECT))
        self.assertEqual(lost, [FAST.id])
        self.assertEqual(self.plan().fetch_from, (None, None, None))
        self.now += 0.4
        self.assertEqual(self.follow(StoreChanges(1, 0, False, (), 5_400)), [])
        self.assertEqual(self.plan().fetch_from, (FAST.address, None, None))

    def test_store_whose_reused_connection_broke_is_polled_again_at_once(self) -> None:
        self.put(FAST, SMALL)
        lost = self.follow(self.failure_at(Step.SEND), StoreChanges(1, 0, False, (), 5_000))
        self.assertEqual((lost, self.plan().fetch_from), ([], (FAST.address, None, None)))

    def test_events_that_go_backwards_in_one_epoch_confirm_nothing(self) -> None:
        """Such a store was asked again at once, without end."""
        self.put(FAST, SMALL)
        store = self.cached_parts.by_id[FAST.id]
        store.next_event = 5
        engines = self.cached_parts.engines
        listing = StoreListing(1, 3, (StoreChange("m/2", PartId("x"), 100),), ())
        engines.store_listing.return_value = listing
        for gap in (False, True):
            self.now += 0.1
            engines.store_changes.side_effect = [StoreChanges(1, 4, gap, (), 5_400)]
            self.assertGreater(self.cached_parts.follow_once(store), 0.0)
        engines.store_listing.assert_not_called()
        self.now += 0.1
        engines.store_changes.side_effect = [StoreChanges(1, 5, True, (), 5_400)]
        self.assertGreater(self.cached_parts.follow_once(store), 0.0)
        self.assertEqual(store.next_event, 5)
        self.assertNotIn(("m/2", PartId("x")), store.tokens_by_part)
        self.assertLess(store.confirmed_at, self.now - 0.2)

    def test_late_answer_to_a_poll_puts_back_a_part_that_was_freed(self) -> None:
        """Another host's update, with later events, arrived while the poll was waiting."""
        store = self.cached_parts.by_id[FAST.id]
        page = StoreChanges(1, 1, False, (StoreChange("m/1", SMALL.id, SMALL.tokens),), None)
        listing = StoreListing(1, 1, page.changes, ())
        removal = (StoreChange("m/1", SMALL.id, 0),)
        poll_began_at = self.now
        for read in ("store_changes", "store_listing"):
            store.epoch = 1 if read == "store_changes" else None
            store.next_event = 0

            def overtake(
                *call: object, answer: object = page if store.epoch else listing
            ) -> object:
                self.now += 0.3
                update = StoreUpdate(FAST.id, 1, 2, 0, 0.1, 5_000.0, 0, True, removal)
                self.assertTrue(apply_store_update(store, update, self.now))
                return answer

            getattr(self.cached_parts.engines, read).side_effect = overtake
            with self.subTest(read=read):
                self.cached_parts.follow_once(store)
                self.assertEqual((store.tokens_by_part, store.next_event), ({}, 2))
                self.assertGreater(store.confirmed_at, poll_began_at)

    def test_store_that_refuses_a_poll_is_still_fetched_from(self) -> None:
        self.put(FAST, SMALL)
        self.assertEqual(self.follow(self.failure_at(Step.READ)), [])
        self.assertEqual(self.plan().fetch_from, (FAST.address, None, None))

    def test_nothing_is_saved_to_a_restarted_store_until_all_hosts_know(self) -> None:
        for store in self.cached_parts.by_id.values():
            store.reset(2, 0)
        self.assertEqual(self.plan().save_to, (None, None, None))
        self.now += RESTART_SAVE_PAUSE_S + 0.1
        self.confirm()
        self.assertEqual(self.plan().save_to, (FAST.address, SLOW.address, None))

    def test_host_that_has_just_started_saves_where_others_have_saved(self) -> None:
        """Otherwise nothing is saved for 4.2 s after a restart of all hosts."""
        for store in self.cached_parts.by_id.values():
            store.epoch = None
            store.reset(1, 0, has_parts=True)
        self.assertEqual(self.plan().save_to, (FAST.address, SLOW.address, None))

    def test_transfer_time_follows_the_configured_size_of_tokens(self) -> None:
        engines = [EngineSpec(8, 1000, (MODEL,), token_bytes=size) for size in (10_000, 30_000)]
        self.cached_parts.polls_directly = lambda spec: False
        times = []
        for engine in engines:
            pools = (Pool(PoolId("p"), engine),)
            self.cached_parts.apply_table(
                RouteTable(PublishedConfiguration(1, pools=pools, stores=(FAST,)))
            )
            times.append(self.cached_parts.by_id[FAST.id].link_s(1000))
        self.assertAlmostEqual(times[1] / times[0], 3.0)

    def test_nothing_is_saved_to_a_full_store(self) -> None:
        self.cached_parts.by_id[FAST.id].used_tokens = FAST.capacity_tokens
        self.assertEqual(self.plan().save_to, (SLOW.address, SLOW.address, None))

    def test_pause_after_a_restart_outlasts_every_fetch_by_the_earlier_listing(self) -> None:
        self.assertGreater(RESTART_SAVE_PAUSE_S, LISTING_TRUST_S + FETCH_TIMEOUT_S)

    def test_equal_stores_divide_the_parts(self) -> None:
        for number in range(6):
            name = StoreId(f"fast-{number}")
            spec = ContextStore(name, f"10.1.0.{number}:1", HALL, 20_000, 310_000.0, 0.0005, 8)
            store = self.cached_parts.by_id[name] = StoreView(spec)
            store.reset(1, 0)
            store.record_clock(5_000)
        self.now += 10.0
        self.confirm()
        places = {
            self.cached_parts._choose_store("m/1", Part(PartId(f"part-{number}"), 500), HALL)
            for number in range(60)
        }
        self.assertEqual(len(places), 7)


class SaltsTest(unittest.TestCase):
    def test_salts_separate_weights_and_dedicated_workspaces(self) -> None:
        self.assertEqual(make_salt(MODEL, 3, None), "m/3")
        self.assertEqual(make_salt(MODEL, 3, WorkspaceId("w")), "m/3/w")

    def test_only_older_weights_of_the_model_are_older(self) -> None:
        salts = ("m/2", "m/2/w", "m/3", "m/10", "mm/1", "m", "m/x")
        older = [salt for salt in salts if is_older_salt(salt, MODEL, 3)]
        self.assertEqual(older, ["m/2", "m/2/w"])


if __name__ == "__main__":
    unittest.main()
