"""Tests of the bound on the sum of retries, over drawn plays of whole fleets in virtual time."""

import unittest

from ruddersaddle_base.ids import PoolId, RequestId

from ruddersaddle_standins.retry_budget_models import Draw, Fleet
from ruddersaddle_standins.retry_sums import RetrySums

SEEDS = range(1, 25)
LARGE_SEEDS = range(101, 105)


class DrawnFleetsTest(unittest.TestCase):
    def check(self, draw: Draw) -> int:
        """Check every window of a play; return how many retries were sent."""
        fleet = Fleet(draw)
        for excess in fleet.play().values():
            self.assertLessEqual(excess.retries, excess.allowed, (draw, excess))
        return len(fleet.arrivals) - len({each[2] for each in fleet.arrivals})

    def test_sum_of_retries_stays_under_its_bound(self) -> None:
        sent = [self.check(Draw.from_seed(seed, 12, 4000)) for seed in SEEDS]
        self.assertGreater(sum(sent), 0)

    def test_sum_of_retries_of_many_hosts_stays_under_its_bound(self) -> None:
        sent = [self.check(Draw.from_seed(seed, 400, 8000)) for seed in LARGE_SEEDS]
        self.assertGreater(sum(sent), 0)


class RetrySumsTest(unittest.TestCase):
    SERVICE = PoolId("s")

    def excess(self, requests: list[float], retries: list[float]) -> float:
        """Return the most retries beyond what is allowed, with a share of 0.5 and no slack."""
        first = [(0.0, self.SERVICE, RequestId("q"))]
        arrivals = first + [(each, self.SERVICE, RequestId("q")) for each in retries]
        sums = RetrySums(share=0.5, slack=0.0, window_s=10.0)
        worst = sums.find_worst([(each, self.SERVICE) for each in requests], arrivals)
        return worst[self.SERVICE].retries - worst[self.SERVICE].allowed

    def test_requests_of_the_window_before_or_half_before_are_counted(self) -> None:
        self.assertLessEqual(self.excess([5.0, 5.1], [14.9]), 0)
        self.assertLessEqual(self.excess([11.0, 11.1], [11.2]), 0)

    def test_requests_of_another_window_are_not_counted(self) -> None:
        self.assertEqual(self.excess([1.0, 1.1], [40.0]), 1.0)

    def test_every_window_is_looked_at(self) -> None:
        self.assertEqual(self.excess([30.0, 30.1], [28.0, 30.0, 37.9]), 2.0)


if __name__ == "__main__":
    unittest.main()
