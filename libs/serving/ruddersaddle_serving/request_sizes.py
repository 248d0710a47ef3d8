"""How requests of each size end, so that on-call sees from metrics whether large ones are served.

Sizes are tokens in and out. They are told apart by what came lately on the same route, not by fixed
figures: a size that is large for one kind of request is common for another.
"""

from bisect import bisect_left, insort
from collections import OrderedDict, deque
from enum import Enum

from ruddersaddle_serving.metric_pages import Labels
from ruddersaddle_serving.routes import RouteName

RECENT_SIZES = 200
"""Requests of a route that sizes are told apart by: a host sees these in 20 to 200 s."""
ROUTES_MAX = 32
"""Routes that are counted, those used last; a deployment has a few with sizes."""


class SizeBand(Enum):
    """Where a size stands among those of its route, from the smallest up."""

    HALF = "smallest_half"
    MIDDLE = "middle"
    """The fifth above the smallest half."""
    FIFTH = "fifth_below_largest"
    TENTH = "largest_tenth"


BOUNDS = ((0.9, SizeBand.TENTH), (0.7, SizeBand.FIFTH), (0.5, SizeBand.MIDDLE))
"""Share of the sizes that are smaller, from which on a size is in a band."""


class RecentSizes:
    """The sizes of the last requests of one route, in order of arrival and of size."""

    def __init__(self) -> None:
        self._arrived: deque[int] = deque()
        self._ordered: list[int] = []

    def take(self, tokens: int) -> SizeBand:
        """Take the size of a request; return where it stands among those before it."""
        band = self._band(tokens)
        insort(self._ordered, tokens)
        self._arrived.append(tokens)
        if len(self._arrived) > RECENT_SIZES:
            del self._ordered[bisect_left(self._ordered, self._arrived.popleft())]
        return band

    def _band(self, tokens: int) -> SizeBand:
        smaller = bisect_left(self._ordered, tokens)
        for share, band in BOUNDS:
            if self._ordered and smaller >= share * len(self._ordered):
                return band
        return SizeBand.HALF


class RouteSizes:
    """Sizes and ends of one route's requests."""

    def __init__(self) -> None:
        self.recent = RecentSizes()
        self.counts: dict[tuple[SizeBand, str], int] = {}


class SizeCounts:
    """Ends of requests by route, size and how they ended."""

    def __init__(self) -> None:
        self._by_route: OrderedDict[RouteName, RouteSizes] = OrderedDict()

    def take(self, route: RouteName, tokens: int) -> SizeBand:
        """Take that a request of this size came; return where its size stands."""
        sizes = self._by_route.setdefault(route, RouteSizes())
        self._by_route.move_to_end(route)
        if len(self._by_route) > ROUTES_MAX:
            self._by_route.popitem(last=False)
        return sizes.recent.take(tokens)

    def count(self, route: RouteName, band: SizeBand, end: str) -> None:
        """Count how a request ended: served, or by what cause it was not."""
        sizes = self._by_route.get(route)
        if sizes is not None:
            sizes.counts[band, end] = sizes.counts.get((band, end), 0) + 1

    def rows(self) -> list[tuple[Labels, int]]:
        """Return the counts with their labels, for the metrics page."""
        return [
            ({"route": route, "size": band.value, "end": end}, count)
            for route, sizes in self._by_route.items()
            for (band, end), count in sizes.counts.items()
        ]
