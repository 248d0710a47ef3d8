"""Tests of what is fetched from context stores and saved to them."""

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
from ruddersaddle_serving.ports import StoreChange, StoreChanges, Transfer
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
        self.kept = CachedParts(mock.Mock())
        for spec in (FAST, SLOW):
            store = self.kept.by_id[spec.id] = StoreView(spec)
            store.reset(1, 0)
            store.record_clock(5_000)
        self.now += 10.0
        self.confirm()

    def confirm(self) -> None:
        for store in self.kept.by_id.values():
            store.confirmed_at = self.now

    def plan(self) -> Transfer:
        holders = self.kept.find_holders("m/1", PROMPT)
        return self.kept.plan("m/1", PROMPT, holders, HALL)

    def put(self, store: ContextStore, part: Part) -> None:
        self.kept.by_id[store.id].apply(StoreChange("m/1", part.id, part.tokens))

    def test_small_parts_go_to_fast_stores_and_large_ones_to_slow_ones(self) -> None:
        expected = Transfer("m/1", (None,) * 3, (FAST.address, SLOW.address, None), 0)
        self.assertEqual(self.plan(), expected)

    def test_part_is_not_saved_twice_at_once(self) -> None:
        self.plan()
        self.assertEqual(self.plan().save_to, (None, None, None))

    def test_whole_parts_are_fetched_with_a_bound_on_the_engines_clock(self) -> None:
        self.put(FAST, SMALL)
        self.put(SLOW, LARGE)
        plan = self.plan()
        self.assertEqual(plan.fetch_from, (FAST.address, SLOW.address, None))
        self.assertEqual(plan.save_to, (None, None, None))
        self.assertEqual(plan.fetch_until_ms, 5_000 + 10_000 + 1_400)

    def test_part_behind_a_missing_one_is_not_fetched(self) -> None:
        self.put(SLOW, LARGE)
        self.assertEqual(self.plan().fetch_from, (None, None, None))

    def test_part_behind_one_that_the_engine_keeps_is_fetched(self) -> None:
        self.put(SLOW, LARGE)
        holders = self.kept.find_holders("m/1", PROMPT)
        plan = self.kept.plan("m/1", PROMPT, holders, HALL, covered_tokens=SMALL.tokens)
        self.assertEqual(plan.fetch_from, (None, SLOW.address, None))

    def test_nothing_is_saved_for_replaced_weights(self) -> None:
        plan = self.kept.plan("m/1", PROMPT, [None, None], HALL, may_save=False)
        self.assertEqual(plan, Transfer("m/1", (None,) * 3, (None,) * 3, 0))

    def test_part_of_a_shorter_length_is_not_whole(self) -> None:
        self.kept.by_id[FAST.id].apply(StoreChange("m/1", SMALL.id, SMALL.tokens - 1))
        self.assertEqual(self.kept.find_holders("m/1", PROMPT), [None, None])

    def test_listing_that_is_not_confirmed_is_not_trusted(self) -> None:
        self.put(FAST, SMALL)
        self.now += LISTING_TRUST_S + 0.1
        self.assertEqual(self.plan(), Transfer("m/1", (None,) * 3, (None,) * 3, 0))

    def refuse(self, step: Step) -> Failure:
        return Failure(Code.UPSTREAM_FAILED, step, FAST.address, "reset")

    def follow(self, *answers: Failure | StoreChanges) -> list[StoreId]:
        """Ask the fast store, which answers so; return of which stores the loss is told."""
        told: list[StoreId] = []
        self.kept.broadcast_lost = told.append
        self.kept.engines.store_changes.side_effect = answers
        self.kept.follow_once(self.kept.by_id[FAST.id])
        return told

    def test_nothing_is_fetched_from_a_store_that_takes_no_connection(self) -> None:
        """Prompts were delayed by 0.3 s each as long as the earlier listing was believed."""
        self.put(FAST, SMALL)
        told = self.follow(self.refuse(Step.SEND), self.refuse(Step.CONNECT))
        self.assertEqual(told, [FAST.id])
        self.assertEqual(self.plan().fetch_from, (None, None, None))
        self.now += 0.4
        self.assertEqual(self.follow(StoreChanges(1, 0, False, (), 5_400)), [])
        self.assertEqual(self.plan().fetch_from, (FAST.address, None, None))

    def test_store_whose_kept_connection_broke_is_asked_again_at_once(self) -> None:
        self.put(FAST, SMALL)
        told = self.follow(self.refuse(Step.SEND), StoreChanges(1, 0, False, (), 5_000))
        self.assertEqual((told, self.plan().fetch_from), ([], (FAST.address, None, None)))

    def test_store_that_has_too_many_askers_is_still_fetched_from(self) -> None:
        self.put(FAST, SMALL)
        self.assertEqual(self.follow(self.refuse(Step.READ)), [])
        self.assertEqual(self.plan().fetch_from, (FAST.address, None, None))

    def test_nothing_is_saved_to_a_store_that_was_restarted_until_all_hosts_know(self) -> None:
        for store in self.kept.by_id.values():
            store.reset(2, 0)
        self.assertEqual(self.plan().save_to, (None, None, None))
        self.now += RESTART_SAVE_PAUSE_S + 0.1
        self.confirm()
        self.assertEqual(self.plan().save_to, (FAST.address, SLOW.address, None))

    def test_host_that_has_just_started_saves_where_others_have_saved(self) -> None:
        """Found after a common restart: nothing was saved for 4.2 s."""
        for store in self.kept.by_id.values():
            store.epoch = None
            store.reset(1, 0, has_parts=True)
        self.assertEqual(self.plan().save_to, (FAST.address, SLOW.address, None))

    def test_time_of_a_move_follows_the_configured_size_of_tokens(self) -> None:
        engines = [EngineSpec(8, 1000, (MODEL,), token_bytes=size) for size in (10_000, 30_000)]
        self.kept.polls_directly = lambda spec: False
        times = []
        for engine in engines:
            pools = (Pool(PoolId("p"), engine),)
            self.kept.apply_table(
                RouteTable(PublishedConfiguration(1, pools=pools, stores=(FAST,)))
            )
            times.append(self.kept.by_id[FAST.id].link_s(1000))
        self.assertAlmostEqual(times[1] / times[0], 3.0)

    def test_full_store_takes_nothing(self) -> None:
        self.kept.by_id[FAST.id].used_tokens = FAST.capacity_tokens
        self.assertEqual(self.plan().save_to, (SLOW.address, SLOW.address, None))

    def test_quiet_time_outlasts_every_fetch_by_the_earlier_listing(self) -> None:
        self.assertGreater(RESTART_SAVE_PAUSE_S, LISTING_TRUST_S + FETCH_TIMEOUT_S)

    def test_stores_that_are_alike_share_the_parts(self) -> None:
        for number in range(6):
            name = StoreId(f"fast-{number}")
            spec = ContextStore(name, f"10.1.0.{number}:1", HALL, 20_000, 310_000.0, 0.0005, 8)
            store = self.kept.by_id[name] = StoreView(spec)
            store.reset(1, 0)
            store.record_clock(5_000)
        self.now += 10.0
        self.confirm()
        places = {
            self.kept._place("m/1", Part(PartId(f"part-{number}"), 500), HALL)
            for number in range(60)
        }
        self.assertEqual(len(places), 7)


class SaltsTest(unittest.TestCase):
    def test_salts_part_weights_and_dedicated_workspaces(self) -> None:
        self.assertEqual(make_salt(MODEL, 3, None), "m/3")
        self.assertEqual(make_salt(MODEL, 3, WorkspaceId("w")), "m/3/w")

    def test_only_older_weights_of_the_model_are_older(self) -> None:
        salts = ("m/2", "m/2/w", "m/3", "m/10", "mm/1", "m", "m/x")
        older = [salt for salt in salts if is_older_salt(salt, MODEL, 3)]
        self.assertEqual(older, ["m/2", "m/2/w"])


if __name__ == "__main__":
    unittest.main()
