"""What sizes requests of a route have lately, and how requests of each size end.

Sizes are tokens in and out. They are told apart by what came lately on the same route, not by fixed
figures: a size that is large for one kind of request is common for another. On-call sees from the
counts whether large requests are served.
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
"""Requests of a route that sizes are told apart by: a host sees these in 20 to 200 s."""
ROUTES_MAX = 32
"""Routes that are counted, those used last; a deployment has a few with sizes."""


class SizeBand(Enum):
    """Where a size stands among those of its route, from the smallest up."""

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
"""Share of the sizes that are smaller, from which on a size is in a band."""


class RecentSizes:
    """The sizes of the last requests of one route, in order of arrival and of size."""

    def __init__(self) -> None:
        self._by_arrival: deque[int] = deque()
        self._by_size: list[int] = []

    def record(self, tokens: int) -> SizeBand:
        """Take the size of a request; return where it stands among those before it."""
        band = self._band(tokens)
        insort(self._by_size, tokens)
        self._by_arrival.append(tokens)
        if len(self._by_arrival) > RECENT_SIZES:
            del self._by_size[bisect_left(self._by_size, self._by_arrival.popleft())]
        return band

    @property
    def median(self) -> int:
        """The middle one of the sizes; at least one has come."""
        return self._by_size[len(self._by_size) // 2]

    def _band(self, tokens: int) -> SizeBand:
        smaller = bisect_left(self._by_size, tokens)
        for share, band in BAND_BOUNDS:
            if self._by_size and smaller >= share * len(self._by_size):
                return band
        return SizeBand.SMALLEST_HALF


class SizesByRoute:
    """The sizes of lately used routes."""

    def __init__(self) -> None:
        self._by_route: OrderedDict[RouteName, RecentSizes] = OrderedDict()

    def record(self, route: RouteName, tokens: int) -> SizeBand:
        """Take the size of a request; return where it stands among those of its route before it."""
        return _get_or_create(self._by_route, route, RecentSizes).record(tokens)

    def median_share(self, route: RouteName, tokens: int) -> float:
        """Return what part of this size a common one of its route is; 1 where it is no larger."""
        recent = self._by_route.get(route)
        return 1.0 if recent is None else min(1.0, recent.median / max(1, tokens))


class SizeCounts:
    """Ends of requests by route, size and how they ended."""

    def __init__(self) -> None:
        self._sizes = SizesByRoute()
        self._end_counts_by_route: OrderedDict[RouteName, Counter[tuple[SizeBand, str]]] = (
            OrderedDict()
        )

    def record(self, route: RouteName, tokens: int) -> SizeBand:
        """Take that a request of this size came; return where its size stands."""
        return self._sizes.record(route, tokens)

    def count_end(self, route: RouteName, band: SizeBand, end: str) -> None:
        """Count how a request ended: served, or by what cause it was not."""
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
    """Return what is kept of a route, made if it is new; the routes used last are kept."""
    if route not in by_route:
        by_route[route] = make()
    by_route.move_to_end(route)
    if len(by_route) > ROUTES_MAX:
        by_route.popitem(last=False)
    return by_route[route]
