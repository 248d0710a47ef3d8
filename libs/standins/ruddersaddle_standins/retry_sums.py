"""Sums over all hosts of the retries that a service gets, as operators bound them."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable

import msgspec
from ruddersaddle_base.ids import PoolId, RequestId

INSTANT_S = 1e-9
"""Distance at which a window begins just after an event."""


class Excess(msgspec.Struct, frozen=True):
    """A window in which a service got more retries than allowed; times in seconds."""

    service: PoolId
    begin: float
    retries: int
    allowed: float


class RetrySums(msgspec.Struct, frozen=True):
    """The bound: in no window do retries exceed a share of the service's requests plus a slack.

    Requests are counted in whichever has most of the window, the one before it, and the one half a
    window before it. A retry is an arrival of a request at a service beyond its first one there.
    """

    share: float
    slack: float
    window_s: float

    def find_worst(
        self,
        requests: Iterable[tuple[float, PoolId]],
        arrivals: Iterable[tuple[float, PoolId, RequestId]],
    ) -> dict[PoolId, Excess]:
        """Return the window of each service in which most retries lie above what is allowed.

        Services without retries are left out; `retries` is under `allowed` where the bound holds.
        """
        requests_by_service = defaultdict(list)
        for time_s, service in requests:
            requests_by_service[service].append(time_s)
        worst_by_service = {}
        for service, retries in retries_by_service(arrivals).items():
            times = sorted(requests_by_service[service])
            begins = self._candidate_windows(retries, times)
            windows = [self._judge(service, begin, retries, times) for begin in begins]
            worst_by_service[service] = max(windows, key=lambda each: each.retries - each.allowed)
        return worst_by_service

    def _candidate_windows(self, retries: list[float], requests: list[float]) -> set[float]:
        """Return begins of windows, between which neither count changes for the worse."""
        half_s = self.window_s / 2
        begins = {each - offset for each in retries for offset in (0.0, self.window_s)}
        for each in requests:
            offsets = (0.0, half_s, self.window_s, -half_s, -self.window_s)
            begins.update(each - offset + INSTANT_S for offset in offsets)
            begins.update(each - offset - INSTANT_S for offset in offsets)
        return begins

    def _judge(
        self, service: PoolId, begin: float, retries: list[float], requests: list[float]
    ) -> Excess:
        end = begin + self.window_s
        counted = max(
            _count(requests, begin - before, end - before)
            for before in (0.0, self.window_s / 2, self.window_s)
        )
        allowed = self.share * counted + self.slack
        return Excess(service, begin, _count(retries, begin, end), allowed)


def retries_by_service(
    arrivals: Iterable[tuple[float, PoolId, RequestId]],
) -> dict[PoolId, list[float]]:
    """Return the times of arrivals beyond the first of each request at each service, in order."""
    seen = set()
    retries = defaultdict(list)
    for time_s, service, request in sorted(arrivals):
        if (service, request) in seen:
            retries[service].append(time_s)
        seen.add((service, request))
    return retries


def _count(times: list[float], begin: float, end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, begin)
