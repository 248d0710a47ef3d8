"""Tests of the choice of an upstream for given loads, without clocks or processes."""

import unittest

from ruddersaddle_base.ids import BlockKey, HallId, UpstreamId
from ruddersaddle_upstreams.engines import LoadReport

from ruddersaddle_routing.choices import POLICY_BY_NAME, Chooser, Prompt, StoredChain
from ruddersaddle_routing.limits import AdaptiveLimit
from ruddersaddle_routing.loads import Load
from ruddersaddle_routing.rendezvous import rank_names
from ruddersaddle_routing.retries import Circuit

SPEED = 1000.0
KEYS = [BlockKey(f"{number:032x}") for number in range(10)]
TOKENS = 700


def new_load(name: str, waiting: int = 0, cached: int = 0) -> Load:
    limit, circuit = AdaptiveLimit(8, 64), Circuit(1, 60.0)
    load = Load(UpstreamId(name), name, HallId("glerar"), limit, circuit)
    load.apply_report(LoadReport(waiting, 0, "v1", SPEED, 0.0))
    load.cached.update(KEYS[:cached])
    return load


class ChoiceTest(unittest.TestCase):
    def choose(self, loads, stored=None, policy="predicted", homes=()):
        prompt = Prompt(TOKENS, homes, lambda _version: KEYS)
        return Chooser.from_name(policy, SPEED).choose(loads, prompt, stored or StoredChain())

    def test_engine_that_caches_the_prefix_is_chosen_unless_overloaded(self):
        choice = self.choose([new_load("idle"), new_load("holder", waiting=300, cached=10)])
        self.assertEqual((choice.load.address, choice.cached_blocks), ("holder", 10))

    def test_overloaded_engine_is_not_chosen_for_its_cached_prefix(self):
        choice = self.choose([new_load("idle"), new_load("holder", waiting=9000, cached=10)])
        self.assertEqual(choice.load.address, "idle")

    def test_stored_context_is_fetched_if_that_is_faster_than_computing(self):
        fast = self.choose([new_load("a")], StoredChain(10, seconds_per_block=0.001))
        self.assertEqual(fast.fetch_until, 10)
        slow = self.choose([new_load("a")], StoredChain(10, seconds_per_block=1.0))
        self.assertEqual(slow.fetch_until, 0)
        queued = self.choose([new_load("a")], StoredChain(10, 0.001, wait_s=5.0))
        self.assertEqual(queued.fetch_until, 0)

    def test_cached_blocks_are_not_fetched(self):
        choice = self.choose([new_load("a", cached=10)], StoredChain(10, 0.001))
        self.assertEqual(choice.fetch_until, 0)

    def test_hosts_agree_on_the_engine_of_a_new_prefix(self):
        names = ["a", "b", "c", "d"]
        chosen = {
            self.choose([new_load(name) for name in order]).load.address
            for order in (names, names[::-1], names[2:] + names[:2])
        }
        self.assertEqual(chosen, {rank_names(KEYS[0], names)[0]})

    def test_a_marked_template_goes_to_its_home(self):
        names = rank_names(KEYS[0], ["a", "b", "c"])
        choice = self.choose([new_load(name) for name in names], homes=(names[-1],))
        self.assertEqual(choice.load.address, names[-1])

    def test_leaving_full_and_failing_engines_are_not_chosen(self):
        leaving, full, failing = (new_load(name) for name in ("leaving", "full", "failing"))
        leaving.leaving = True
        full.limit.in_flight = 8
        failing.circuit.end(failed=True)
        loads = [leaving, full, failing]
        for policy in POLICY_BY_NAME:
            with self.subTest(policy=policy):
                self.assertIsNone(self.choose(loads, policy=policy))
                self.assertEqual(
                    self.choose([*loads, new_load("good")], policy=policy).load.address, "good"
                )


if __name__ == "__main__":
    unittest.main()
