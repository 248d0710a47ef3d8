"""What a host knows of an order in force, from which the schedule computes the shares."""

from collections import deque

import msgspec

from ruddersaddle_serving.rollouts.counts import RolloutTotals
from ruddersaddle_serving.rollouts.orders import ExposureLimits
from ruddersaddle_serving.rollouts.verdicts import SideCapacity
from ruddersaddle_serving.routes import Route, RouteKind, RouteName

LEAD_SHARE_RESUMABLE = 0.5
LEAD_SHARE_CALL = 0.25
"""How long before the last move a route moves, as a share of its time-out, where the exposure
allows it; streams that can't be resumed have 1."""
RATE_SPAN_S = 2.0
"""Time over which rates of requests are taken."""


class RouteTraits(msgspec.Struct, frozen=True):
    """What the schedule needs to know about a route."""

    route: RouteName
    kind: RouteKind
    resumable: bool
    timeout_s: float

    @classmethod
    def from_route(cls, route: Route) -> "RouteTraits":
        """Return the traits of a configured route."""
        return cls(route.name, route.kind, route.resumable, route.timeout_s)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be run again if it may have run already."""
        return self.kind is RouteKind.REPEATABLE or self.resumable

    @property
    def moving_rank(self) -> int:
        """Order in which routes move: 0 moves first."""
        if self.kind is not RouteKind.STREAM:
            return 2
        return 1 if self.resumable else 0

    @property
    def lead_max_s(self) -> float:
        """How long before the last move this route moves at most."""
        shares = (1.0, LEAD_SHARE_RESUMABLE, LEAD_SHARE_CALL)
        return self.timeout_s * shares[self.moving_rank]


class Situation(msgspec.Struct, frozen=True):
    """What is known of an order in force, at a host."""

    duration_s: float
    elapsed_s: float
    limits: ExposureLimits
    totals: RolloutTotals
    traits: tuple[RouteTraits, ...]
    """All routes that send to the service."""
    baseline: SideCapacity
    target: SideCapacity
    """Usable upstreams; suspects are not among them."""
    rate_by_route: dict[RouteName, float]
    """Recent requests per second, as `RequestRates` gives them; empty if not known yet."""
    shifted: frozenset[RouteName] = frozenset()
    """Routes that have moved, by the newest grant."""
    decides_moves: bool = False
    """Whether this host holds the lease and may move further routes."""
    is_suspicious: bool = False
    totals_age_s: float = 0.0

    @property
    def rate(self) -> float:
        """Requests per second to the service."""
        return sum(self.rate_by_route.values())

    @property
    def left_s(self) -> float:
        """Time until the duration is over."""
        return max(0.0, self.duration_s - self.elapsed_s)


class RequestRates:
    """Recent requests per second by route, from successive totals."""

    def __init__(self) -> None:
        self._latest: deque[tuple[float, RolloutTotals]] = deque()

    def record(self, elapsed_s: float, totals: RolloutTotals) -> None:
        """Record totals that became known at a time since the order."""
        self._latest.append((elapsed_s, totals))
        while len(self._latest) > 2 and self._latest[1][0] <= elapsed_s - RATE_SPAN_S:
            self._latest.popleft()

    def by_route(self) -> dict[RouteName, float]:
        """Return the rates; empty with fewer than two totals."""
        if len(self._latest) < 2:
            return {}
        (start_s, first), (end_s, last) = self._latest[0], self._latest[-1]
        span_s = max(end_s - start_s, 1e-3)
        grown = {
            route: counts.requests - first.by_route[route].requests
            if route in first.by_route
            else counts.requests
            for route, counts in last.by_route.items()
        }
        return {route: max(0, number) / span_s for route, number in grown.items()}
