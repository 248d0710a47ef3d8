"""Retry budgets and circuit breakers, which keep failures from multiplying load."""

import time
from enum import Enum

BUDGET_MAX = 10.0
"""Maximum number of unspent retries that a budget accumulates."""


class RetryBudget:
    """Allows retries as a share of first attempts."""

    def __init__(self, share: float) -> None:
        self.share = share
        self.balance_max = BUDGET_MAX
        self.balance = BUDGET_MAX
        self.spent = 0
        self.denied = 0

    def record_first(self) -> None:
        """Credit the budget for a first attempt."""
        self.balance = min(self.balance_max, self.balance + self.share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget has none."""
        if self.balance < 1.0:
            self.denied += 1
            return False
        self.balance -= 1.0
        self.spent += 1
        return True


class CircuitState(Enum):
    """Whether calls may pass."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Circuit:
    """Circuit breaker of one upstream.

    It opens after `failures_open` failures in a row; after `open_s` it admits one probe at a time.
    """

    def __init__(self, failures_open: int, open_s: float) -> None:
        self.failures_open = failures_open
        self.open_s = open_s
        self.failures = 0
        self.opened_at = 0.0
        self.probing = False

    @property
    def state(self) -> CircuitState:
        """The current state."""
        if self.failures < self.failures_open:
            return CircuitState.CLOSED
        if time.monotonic() - self.opened_at < self.open_s:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    def may_pass(self) -> bool:
        """Return whether a call may start now."""
        match self.state:
            case CircuitState.CLOSED:
                return True
            case CircuitState.OPEN:
                return False
        return not self.probing

    def begin(self) -> None:
        """Record the start of a call, which is the probe if the circuit is half open."""
        if self.state is CircuitState.HALF_OPEN:
            self.probing = True

    def end(self, failed: bool) -> None:
        """Record the end of a call."""
        self.probing = False
        if not failed:
            self.failures = 0
            return
        self.failures += 1
        if self.failures >= self.failures_open:
            self.opened_at = time.monotonic()
