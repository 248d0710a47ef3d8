"""Retry budgets, by which hosts that don't talk keep the sum of their retries under a bound.

The bound is on each pool and on every window: a share of the pool's requests, plus a slack. A host
earns credit for each request that it sends to the pool, which adds up over hosts. The slack is
divided: a part is what the hosts' credits may have grown to when a window begins, another what they
earn by time within it. A host that starts has no credit, so that starts add nothing.
"""

import math
from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId
from ruddersaddle_base.settings import Settings

REQUESTS_SHARE = 0.9
"""Part of the bound's share of requests that is used; the rest covers requests that are sent to an
upstream long after they were received."""
HELD_SHARE = 0.5
"""Part of the slack that the credits of all hosts may grow to."""
TIMED_SHARE = 0.4
"""Part of the slack that all hosts together earn in one window; the rest covers lists of hosts that
differ for a moment."""
MERGED_S = 0.1
"""Amounts that were earned within this time are kept as one, as if earned with the first."""
RETRY_COST = 1.0
ROUNDING = 1e-9
"""Sums of amounts may lie this far under their exact value."""


class RetryBound(msgspec.Struct, frozen=True):
    """Bound on the retries that one pool gets from all hosts in any window."""

    share: float
    """Retries allowed as a share of the pool's requests."""
    slack: float
    window_s: float

    @classmethod
    def from_settings(cls, settings: Settings) -> "RetryBound":
        """Return the bound that operators have set."""
        return cls(
            settings.number("bounds.retry_share"),
            settings.number("bounds.retry_slack"),
            settings.number("bounds.retry_window_s"),
        )


@dataclass(frozen=True)
class HeldCredit:
    """Credit that is kept until it is used; what all hosts may hold is a part of the slack."""

    per_request: float
    per_s: float
    balance_max: float


@dataclass(frozen=True)
class ExpiringCredit:
    """Credit for recent requests alone, which needs no part of the slack.

    A window's retries are then paid by requests of the window and of the half before it. With half
    of the share for each, the sum lies under the bound for one of these two.
    """

    per_request: float
    lifetime_s: float

    @property
    def balance_max(self) -> float:
        """One retry, or the credit of one request where that is more."""
        return max(RETRY_COST, self.per_request)


CreditRule = HeldCredit | ExpiringCredit


def rule_for(bound: RetryBound, hosts: int | None) -> CreditRule:
    """Return how each of a number of hosts earns credit; None if their number isn't known."""
    held = 0.0 if hosts is None else bound.slack * HELD_SHARE / hosts
    if held < RETRY_COST:
        return ExpiringCredit(bound.share / 2, bound.window_s / 2)
    per_s = bound.slack * TIMED_SHARE / bound.window_s / hosts
    return HeldCredit(bound.share * REQUESTS_SHARE, per_s, held)


class Credit:
    """The credit of one pool, as amounts by the time at which they were earned."""

    def __init__(self) -> None:
        self._amounts: deque[tuple[float, float]] = deque()
        """Time and amount, the oldest first."""
        self._settled_at = clocks.now_s()

    @property
    def balance(self) -> float:
        """The credit that is left, in retries."""
        return sum(amount for _, amount in self._amounts)

    def settle(self, rule: CreditRule) -> None:
        """Apply the time that has passed."""
        now = clocks.now_s()
        match rule:
            case HeldCredit():
                self._add(rule.per_s * (now - self._settled_at))
            case ExpiringCredit():
                while self._amounts and self._amounts[0][0] < now - rule.lifetime_s:
                    self._amounts.popleft()
        self._settled_at = now
        self._take(self.balance - rule.balance_max)

    def earn(self, rule: CreditRule) -> None:
        """Add the credit for one request."""
        self._add(rule.per_request)
        self.settle(rule)

    def has_retry(self, rule: CreditRule) -> bool:
        """Return whether there is credit for a retry."""
        self.settle(rule)
        return self.balance > RETRY_COST - ROUNDING

    def spend(self, rule: CreditRule) -> bool:
        """Use the credit of one retry; return False if there is too little."""
        if not self.has_retry(rule):
            return False
        self._take(RETRY_COST)
        return True

    def _add(self, amount: float) -> None:
        if amount <= 0:
            return
        earned_at, newest = self._amounts[-1] if self._amounts else (-math.inf, 0.0)
        now = clocks.now_s()
        if now < earned_at + MERGED_S:
            self._amounts[-1] = earned_at, newest + amount
        else:
            self._amounts.append((now, amount))

    def _take(self, amount: float) -> None:
        """Remove the oldest credit."""
        while amount > 0 and self._amounts:
            earned_at, oldest = self._amounts.popleft()
            if oldest > amount:
                self._amounts.appendleft((earned_at, oldest - amount))
            amount -= oldest


class RetryBudgets:
    """The retry budgets of one host, by pool."""

    def __init__(self, bound: RetryBound) -> None:
        self.bound = bound
        self.hosts: int | None = None
        """How many hosts share the bound; None while this host doesn't know."""
        self.requests_by_pool: Counter[PoolId] = Counter()
        """Requests that earned credit."""
        self.spent_by_pool: Counter[PoolId] = Counter()
        self.denied_by_pool: Counter[PoolId] = Counter()
        self._credit_by_pool: dict[PoolId, Credit] = {}

    @property
    def rule(self) -> CreditRule:
        """How this host earns credit now."""
        return rule_for(self.bound, self.hosts)

    def balance(self, pool: PoolId) -> float:
        """Return how many retries at a pool are left."""
        credit = self._credit(pool)
        credit.settle(self.rule)
        return credit.balance

    def record_request(self, pool: PoolId) -> None:
        """Earn credit for a request that is sent to a pool for the first time."""
        self.requests_by_pool[pool] += 1
        self._credit(pool).earn(self.rule)

    def has_retry(self, pool: PoolId) -> bool:
        """Return whether a retry at a pool could be sent now."""
        return self._record(pool, self._credit(pool).has_retry(self.rule))

    def try_spend(self, pool: PoolId) -> bool:
        """Charge for a retry that is about to be sent; return False if it may not be."""
        is_allowed = self._record(pool, self._credit(pool).spend(self.rule))
        self.spent_by_pool[pool] += is_allowed
        return is_allowed

    def keep_only(self, pools: Collection[PoolId]) -> None:
        """Drop the budgets of all other pools; one that comes back begins without credit."""
        for by_pool in (
            self._credit_by_pool,
            self.requests_by_pool,
            self.spent_by_pool,
            self.denied_by_pool,
        ):
            for gone in set(by_pool) - set(pools):
                del by_pool[gone]

    def _record(self, pool: PoolId, is_allowed: bool) -> bool:
        self.denied_by_pool[pool] += not is_allowed
        return is_allowed

    def _credit(self, pool: PoolId) -> Credit:
        if pool not in self._credit_by_pool:
            self._credit_by_pool[pool] = Credit()
        return self._credit_by_pool[pool]
