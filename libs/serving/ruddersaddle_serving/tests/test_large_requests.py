"""Tests that sustained overload doesn't starve large requests.

They have to be served at least half as often as all requests of their kind.

Guards against the starvation of large requests by admission control. A request is admitted if its
own first event would be in time; its prefill and its memory add to that time, so smaller requests
take the room first for as long as the overload lasts. With twice the load that three engines bear,
hosts then refused nearly all of the largest tenth of a kind at the first and second attempt, though
nothing had failed: 0.78 of all were served, 0.58 of the fifth below the largest tenth, and 0.18 of
the largest tenth.
"""

import logging
import unittest

import msgspec

from ruddersaddle_serving.tests.load_replays import Replay
from ruddersaddle_serving.tests.replay_loads import Kind, Load, Tally

SERVED_RATIO_MIN = 0.5
"""Minimum served share of the largest tenth of a kind and of the fifth below it, relative to the
served share of the whole kind."""
URGENT_SERVED_MIN = 0.95
URGENT = Kind("urgent", 20.0, 100, 200, 10, 0.4, 0, 1.0, 50)
SIZED = Kind("sized", 20.0, 200, 2440, 60, 0.6, 2, 3.1, 50, spread=0.7)
"""Three engines can just prefill this rate."""
PREFILL_BOUND = Load(
    (SIZED, URGENT),
    hosts=3,
    halls=3,
    engines=3,
    slots=16,
    memory_tokens=60_000,
    tokens_s=25_000.0,
    length_s=24.0,
)

LONG = Kind(
    "sized",
    16.3,
    7600,
    2250,
    380,
    0.6,
    2,
    3.1,
    326,
    spread=0.7,
    own_tokens_max=11_500,
    shared_spread=0.6,
)
"""Long prompts and answers that mostly consist of shared parts: they fill engines' memory."""
MIDDLE = Kind("middle", 29.6, 540, 140, 290, 0.4, 1, 1.6, 591, spread=0.7, shared_spread=0.6)
SHORT = Kind("urgent", 26.1, 1550, 400, 22, 0.4, 0, 1.9, 521, spread=0.7, shared_spread=0.6)
MEMORY_BOUND = Load(
    (LONG, MIDDLE, SHORT),
    hosts=7,
    halls=3,
    engines=5,
    slots=128,
    memory_tokens=179_134,
    tokens_s=112_000.0,
    first_s=0.047,
    step_s=0.006,
    length_s=16.0,
)
"""Five engines can just serve this load of three kinds."""


def scaled(load: Load, factor: float, seed: int) -> Load:
    """Return the load with the rates of all kinds multiplied."""
    kinds = [msgspec.structs.replace(kind, per_s=kind.per_s * factor) for kind in load.kinds]
    return msgspec.structs.replace(load, kinds=tuple(kinds), seed=seed)


def with_sized_scaled(load: Load, factor: float, seed: int) -> Load:
    """Return the load with the rate of the lower-priority kind multiplied."""
    sized = msgspec.structs.replace(SIZED, per_s=SIZED.per_s * factor)
    return msgspec.structs.replace(load, kinds=(sized, URGENT), seed=seed)


class LargeRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.INFO)
        self.addCleanup(logging.disable, logging.NOTSET)

    def replay(self, load: Load) -> Tally:
        """Simulate a load; check that large and high-priority requests were served."""
        tally_by_kind = Replay(load).run().tally_by_kind
        sized = tally_by_kind["sized"]
        parts = [(0.0, 0.5), (0.7, 0.9), (0.9, 1.0)]
        shares = [sized.served_between(low, high) for low, high in parts]
        figures = ", ".join(f"{share:.2f}" for share in shares)
        print(f"{load.seed}: of all {sized.served_share:.2f}, half, fifth, tenth {figures}")
        for share in shares[1:]:
            self.assertGreaterEqual(share, SERVED_RATIO_MIN * sized.served_share)
        self.assertGreater(tally_by_kind["urgent"].served_share, URGENT_SERVED_MIN)
        return sized

    def test_lasting_load(self) -> None:
        for factor in (0.7, 1.2, 2.0, 3.0):
            for seed in (1, 2):
                with self.subTest(factor=factor, seed=seed):
                    self.replay(with_sized_scaled(PREFILL_BOUND, factor, seed))

    def test_engines_lost_under_load(self) -> None:
        for factor in (1.2, 2.0):
            with self.subTest(factor=factor):
                load = msgspec.structs.replace(PREFILL_BOUND, outage=(4.0, 12.0, 0.34))
                self.replay(with_sized_scaled(load, factor, 3))

    def test_many_hosts_with_few_large_requests_each(self) -> None:
        """Forty hosts know one another's requests as sums, about a tenth of a second late."""
        load = msgspec.structs.replace(PREFILL_BOUND, hosts=40, halls=4, engines=12, length_s=10.0)
        for factor in (4.8, 8.0):
            with self.subTest(factor=factor):
                self.replay(with_sized_scaled(load, factor, 4))

    def test_long_prompts_beside_two_kinds_of_higher_priority(self) -> None:
        """Memory is the bottleneck.

        If 0.6 of the requests are judged as median, 0.23 of the largest tenth are served, and 0.50
        of all requests of their kind.
        """
        self.replay(scaled(MEMORY_BOUND, 3.0, 1))

    def test_long_prompts_while_engines_are_lost(self) -> None:
        """If 0.6 of the requests are judged as median, 0.21 of the largest tenth are served.

        Of all requests of their kind, 0.46 are served then.
        """
        self.replay(scaled(msgspec.structs.replace(MEMORY_BOUND, outage=(4.0, 20.0, 0.34)), 2.2, 2))


if __name__ == "__main__":
    unittest.main()
