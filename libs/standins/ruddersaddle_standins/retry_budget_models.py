"""Hosts that share a bound on retries, in virtual time, with drawn troubles.

Services fail for a while, so that each request asks for all retries that it may get; hosts are
killed, restarted, suspended and added, and know the list of hosts late.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from unittest import mock

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId, RequestId
from ruddersaddle_routing.retry_budgets import RetryBound, RetryBudgets

from ruddersaddle_standins.retry_sums import Excess, RetrySums

PLAY_S = 40.0
LIST_KNOWN_S = (3.0, 4.5)
"""Shortest and longest time from the start of a host that is new until it takes its parts."""
REJOINING_S = (0.02, 1.0)
"""The same for a host that was killed: it is still on the list."""
LIST_LAG_S = 2.0
"""Longest time until hosts count one that is added."""
RETRY_PAUSE_S = (0.001, 0.06)
SUSPENSION_S = (0.5, 12.0)
ATTEMPTS_MAX = 4


class Draw(msgspec.Struct, frozen=True):
    """A drawn play: its bound, hosts, and requests per second of each service."""

    seed: int
    bound: RetryBound
    hosts: int
    per_s_by_service: dict[PoolId, float]
    starts_per_s: float
    """Hosts that are killed and started again per second, one at a time."""
    are_skewed: bool
    """Whether a few hosts get most requests."""
    is_steady: bool
    """Whether requests arrive evenly; otherwise in bursts with pauses between them."""

    @classmethod
    def from_seed(cls, seed: int, hosts_max: int, requests: int) -> "Draw":
        """Return the play of a seed with at most this many hosts and about as many requests."""
        draws = random.Random(seed)
        hosts = draws.randint(1, hosts_max)
        bound = RetryBound(0.2, draws.choice([20.0, 52.0, 2.5 * hosts]), 10.0)
        per_s = requests / PLAY_S
        weights = [draws.random() ** 3 for _ in range(draws.randint(1, 4))]
        per_s_by_service = {
            PoolId(f"s-{number}"): per_s * weight / sum(weights)
            for number, weight in enumerate(weights)
        }
        return cls(
            seed,
            bound,
            hosts,
            per_s_by_service,
            draws.choice([0.0, 0.3, 1.5]),
            draws.random() < 0.5,
            draws.random() < 0.5,
        )


class Fleet:
    """The play of one draw."""

    def __init__(self, draw: Draw) -> None:
        self.draw = draw
        self.draws = random.Random(draw.seed)
        self.now = 0.0
        self.requests: list[tuple[float, PoolId]] = []
        self.arrivals: list[tuple[float, PoolId, RequestId]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._budgets: list[RetryBudgets] = []
        self._resumes_at: list[float] = []
        self._fails: dict[PoolId, list[tuple[float, float]]] = {}

    def play(self) -> dict[PoolId, Excess]:
        """Return the worst window of each service that got retries."""
        with mock.patch.object(clocks, "now_s", lambda: self.now):
            self._prepare()
            while self._events:
                self.now, _, act = heapq.heappop(self._events)
                act()
        bound = self.draw.bound
        sums = RetrySums(bound.share, bound.slack, bound.window_s)
        return sums.find_worst(self.requests, self.arrivals)

    def _at(self, moment: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._numbers), act))

    def _prepare(self) -> None:
        draw, draws = self.draw, self.draws
        late = draws.randint(0, draw.hosts // 4)
        for number in range(draw.hosts - late):
            self._add_host(number, LIST_KNOWN_S)
        self._tell_count(draw.hosts - late)
        for number in range(draw.hosts - late, draw.hosts):
            self._at(draws.uniform(5.0, PLAY_S), lambda number=number: self._join(number))
        if draws.random() < 0.5:
            self._at(draws.uniform(8.0, PLAY_S), self._restart_all)
        for moment in self._moments(draw.starts_per_s):
            self._at(moment, self._restart_one)
        for moment in self._moments(0.1):
            self._at(moment, self._suspend_one)
        for service, per_s in draw.per_s_by_service.items():
            begins = sorted(draws.uniform(0.0, PLAY_S) for _ in range(2))
            self._fails[service] = [(each, each + draws.uniform(1.0, 20.0)) for each in begins]
            self._schedule_requests(service, per_s)

    def _moments(self, per_s: float) -> list[float]:
        moments = []
        moment = 0.0
        while per_s:
            moment += self.draws.expovariate(per_s)
            if moment >= PLAY_S:
                break
            moments.append(moment)
        return moments

    def _schedule_requests(self, service: PoolId, per_s: float) -> None:
        period_s = self.draws.uniform(2.0, 12.0)
        on_share = 1.0 if self.draw.is_steady else self.draws.uniform(0.05, 0.6)
        for moment in self._moments(per_s / on_share):
            if moment % period_s < on_share * period_s:
                self._at(moment, lambda: self._send_first(service))

    def _add_host(self, number: int, known_s: tuple[float, float]) -> None:
        budgets = RetryBudgets(self.draw.bound)
        if number < len(self._budgets):
            self._budgets[number] = budgets
        else:
            self._budgets.append(budgets)
            self._resumes_at.append(0.0)
        known_at = self.now + self.draws.uniform(*known_s)
        self._at(known_at, lambda: self._learn_count(budgets))

    def _learn_count(self, budgets: RetryBudgets) -> None:
        budgets.hosts = len(self._budgets)

    def _tell_count(self, count: int) -> None:
        for budgets in self._budgets:
            if budgets.hosts is not None:
                budgets.hosts = count

    def _join(self, number: int) -> None:
        self._add_host(number, LIST_KNOWN_S)
        count = len(self._budgets)
        lag_s = self.draws.uniform(0.0, LIST_LAG_S)
        self._at(self.now + lag_s, lambda: self._tell_count(count))

    def _restart_one(self) -> None:
        self._add_host(self.draws.randrange(len(self._budgets)), REJOINING_S)

    def _restart_all(self) -> None:
        for number in range(len(self._budgets)):
            self._add_host(number, REJOINING_S)

    def _suspend_one(self) -> None:
        number = self.draws.randrange(len(self._budgets))
        self._resumes_at[number] = self.now + self.draws.uniform(*SUSPENSION_S)

    def _pick_host(self) -> int:
        number = self.draws.randrange(len(self._budgets))
        if self.draw.are_skewed and self.draws.random() < 0.8:
            return number % max(1, len(self._budgets) // 8)
        return number

    def _send_first(self, service: PoolId) -> None:
        self.requests.append((self.now, service))
        host = self._pick_host()
        if self.now < self._resumes_at[host]:
            return
        request = RequestId(str(next(self._numbers)))
        budgets = self._budgets[host]
        budgets.record_request(service)
        self.arrivals.append((self.now, service, request))
        self._plan_retry(host, budgets, service, request, ATTEMPTS_MAX - 1)

    def _plan_retry(
        self, host: int, budgets: RetryBudgets, service: PoolId, request: RequestId, left: int
    ) -> None:
        if not left or not any(begin <= self.now < end for begin, end in self._fails[service]):
            return
        pause_s = self.draws.uniform(*RETRY_PAUSE_S)

        def retry() -> None:
            is_running = self._budgets[host] is budgets and self.now >= self._resumes_at[host]
            if is_running and budgets.try_spend(service):
                self.arrivals.append((self.now, service, request))
                self._plan_retry(host, budgets, service, request, left - 1)

        self._at(self.now + pause_s, retry)
