"""Tests of request sizes and of the counts by size."""

import random
import unittest
from collections import Counter

from ruddersaddle_serving.metric_pages import format_labelled
from ruddersaddle_serving.request_sizes import (
    RECENT_SIZES,
    ROUTES_MAX,
    RecentSizes,
    SizeBand,
    SizeCounts,
)
from ruddersaddle_serving.routes import RouteName

ROUTE = RouteName("quotes")


class RecentSizesTest(unittest.TestCase):
    def test_bands_hold_their_shares_at_any_scale_of_sizes(self) -> None:
        for median in (100, 10_000):
            rng = random.Random(median)
            recent = RecentSizes()
            sizes = [round(rng.lognormvariate(0, 0.7) * median) for _ in range(2000)]
            bands = Counter(recent.record(size) for size in sizes)
            self.assertAlmostEqual(bands[SizeBand.LARGEST_TENTH] / 2000, 0.1, delta=0.03)
            self.assertAlmostEqual(bands[SizeBand.FIFTH_BELOW_LARGEST] / 2000, 0.2, delta=0.03)
            self.assertAlmostEqual(bands[SizeBand.SMALLEST_HALF] / 2000, 0.5, delta=0.05)

    def test_equal_sizes_are_all_in_the_smallest_half(self) -> None:
        recent = RecentSizes()
        self.assertEqual({recent.record(500) for _ in range(50)}, {SizeBand.SMALLEST_HALF})

    def test_bands_follow_recent_sizes(self) -> None:
        recent = RecentSizes()
        for size in range(RECENT_SIZES):
            recent.record(size)
        self.assertIs(recent.record(190), SizeBand.LARGEST_TENTH)
        for size in range(RECENT_SIZES):
            recent.record(10 * size)
        self.assertIs(recent.record(190), SizeBand.SMALLEST_HALF)


class SizeCountsTest(unittest.TestCase):
    def test_metrics_show_ends_by_route_and_size(self) -> None:
        counts = SizeCounts()
        for _ in range(2):
            counts.count_end(ROUTE, counts.record(ROUTE, 500), "served")
        counts.count_end(ROUTE, counts.record(ROUTE, 9000), "overloaded")
        lines = format_labelled("requests_by_size", "prompts by size and end", counts.rows())
        name = "ruddersaddle_requests_by_size_total"
        self.assertEqual(
            lines[2:],
            [
                f'{name}{{route="quotes",size="smallest_half",end="served"}} 2',
                f'{name}{{route="quotes",size="largest_tenth",end="overloaded"}} 1',
            ],
        )

    def test_least_recently_used_routes_are_evicted(self) -> None:
        counts = SizeCounts()
        for number in range(ROUTES_MAX + 5):
            route = RouteName(f"r-{number}")
            counts.count_end(route, counts.record(route, 100), "served")
        self.assertEqual(len(counts.rows()), ROUTES_MAX)
        counts.count_end(RouteName("r-0"), SizeBand.SMALLEST_HALF, "served")
        self.assertEqual(len(counts.rows()), ROUTES_MAX)


if __name__ == "__main__":
    unittest.main()
