"""Retry budgets and circuits, so that failures don't multiply load."""

import time
from enum import Enum

BUDGET_MAX = 10.0
"""Most retries that a quiet time can save up."""


class RetryBudget:
    """Retries as a share of first tries."""

    def __init__(self, share: float) -> None:
        self.share = share
        self.balance_max = BUDGET_MAX
        self.balance = BUDGET_MAX
        self.spent = 0
        self.denied = 0

    def record_first_attempt(self) -> None:
        """Count a first try."""
        self.balance = min(self.balance_max, self.balance + self.share)

    def try_spend(self) -> bool:
        """Take one retry if the budget has one."""
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
    """Keeps calls from an upstream that fails; one probe at a time is let through after a pause."""

    def __init__(self, failures_open: int, open_s: float) -> None:
        self.failures_open = failures_open
        self.open_s = open_s
        self.failures = 0
        self.opened_at = 0.0
        self.probing = False

    @property
    def state(self) -> CircuitState:
        """The present state."""
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
        """Count a call that starts; in half-open state it is the probe."""
        if self.state is CircuitState.HALF_OPEN:
            self.probing = True

    def end(self, failed: bool) -> None:
        """Count a call that ended."""
        self.probing = False
        if not failed:
            self.failures = 0
            return
        self.failures += 1
        if self.failures >= self.failures_open:
            self.opened_at = time.monotonic()
