"""Recent request sizes of each route, and counts of how requests of each size end.

Sizes are input and output tokens. Size bands are relative to recent requests of the same route, not
fixed numbers: a size that is large on one route is common on another. The counts show operators
whether large requests are served.
"""

from bisect import bisect_left, insort
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from ruddersaddle_serving.metric_pages import Labels
from ruddersaddle_serving.routes import RouteName

T = TypeVar("T")

RECENT_SIZES = 200
"""Requests of a route that a size is compared with: a host gets this many in 20 to 200 s."""
ROUTES_MAX = 32
"""Number of most recently used routes that are counted; a deployment has a few whose requests are
prompts."""


class SizeBand(Enum):
    """Rank of a size among the recent sizes of its route, in ascending order."""

    SMALLEST_HALF = "smallest_half"
    MIDDLE = "middle"
    """The fifth above the smallest half."""
    FIFTH_BELOW_LARGEST = "fifth_below_largest"
    LARGEST_TENTH = "largest_tenth"


BAND_BOUNDS = (
    (0.9, SizeBand.LARGEST_TENTH),
    (0.7, SizeBand.FIFTH_BELOW_LARGEST),
    (0.5, SizeBand.MIDDLE),
)
"""Lower bound of each band: the share of recent sizes that are smaller."""


class RecentSizes:
    """Sizes of the latest requests of one route, in order of arrival and of size."""

    def __init__(self) -> None:
        self._by_arrival: deque[int] = deque()
        self._by_size: list[int] = []

    def record(self, tokens: int) -> SizeBand:
        """Record the size of a request; return its band among the previous ones."""
        band = self._band(tokens)
        insort(self._by_size, tokens)
        self._by_arrival.append(tokens)
        if len(self._by_arrival) > RECENT_SIZES:
            del self._by_size[bisect_left(self._by_size, self._by_arrival.popleft())]
        return band

    @property
    def median(self) -> int:
        """Median of the sizes; at least one must have been recorded."""
        return self._by_size[len(self._by_size) // 2]

    def _band(self, tokens: int) -> SizeBand:
        smaller = bisect_left(self._by_size, tokens)
        for share, band in BAND_BOUNDS:
            if self._by_size and smaller >= share * len(self._by_size):
                return band
        return SizeBand.SMALLEST_HALF


class SizesByRoute:
    """Sizes of the most recently used routes."""

    def __init__(self) -> None:
        self._by_route: OrderedDict[RouteName, RecentSizes] = OrderedDict()

    def record(self, route: RouteName, tokens: int) -> SizeBand:
        """Record the size of a request; return its band among the previous ones of its route."""
        return _get_or_create(self._by_route, route, RecentSizes).record(tokens)

    def median_share(self, route: RouteName, tokens: int) -> float:
        """Return the route's median size as a share of this size; at most 1."""
        recent = self._by_route.get(route)
        return 1.0 if recent is None else min(1.0, recent.median / max(1, tokens))


class SizeCounts:
    """Counts how requests ended, by route and size band."""

    def __init__(self) -> None:
        self._sizes = SizesByRoute()
        self._end_counts_by_route: OrderedDict[RouteName, Counter[tuple[SizeBand, str]]] = (
            OrderedDict()
        )

    def record(self, route: RouteName, tokens: int) -> SizeBand:
        """Record the size of a new request; return its band."""
        return self._sizes.record(route, tokens)

    def count_end(self, route: RouteName, band: SizeBand, end: str) -> None:
        """Count the end of a request: served, or the cause why it was not."""
        _get_or_create(self._end_counts_by_route, route, Counter)[band, end] += 1

    def rows(self) -> list[tuple[Labels, int]]:
        """Return the counts with their labels, for the metrics page."""
        return [
            ({"route": route, "size": band.value, "end": end}, count)
            for route, ends in self._end_counts_by_route.items()
            for (band, end), count in ends.items()
        ]


def _get_or_create(
    by_route: OrderedDict[RouteName, T], route: RouteName, make: Callable[[], T]
) -> T:
    """Return the value of a route, created if missing; evict the least recently used route."""
    if route not in by_route:
        by_route[route] = make()
    by_route.move_to_end(route)
    if len(by_route) > ROUTES_MAX:
        by_route.popitem(last=False)
    return by_route[route]
