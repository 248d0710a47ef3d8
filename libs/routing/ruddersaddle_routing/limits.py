"""Adaptive concurrency limits: additive increase, multiplicative decrease, per upstream."""

DECREASE_FACTOR = 0.7
LIMIT_MIN = 2.0


class AdaptiveLimit:
    """Bounds how many calls this host has in flight at one upstream."""

    def __init__(self, start: int, maximum: int) -> None:
        self.limit = float(start)
        self.maximum = float(maximum)
        self.in_flight = 0

    @property
    def has_room(self) -> bool:
        """Whether another call may start."""
        return self.in_flight < int(self.limit)

    def begin(self) -> None:
        """Count a call that starts."""
        self.in_flight += 1

    def end(self, overloaded: bool) -> None:
        """Count a call that has ended, and adapt the limit.

        The limit grows only while it is nearly used up.
        """
        was_full = self.in_flight >= int(self.limit) - 1
        self.in_flight -= 1
        if overloaded:
            self.limit = max(LIMIT_MIN, self.limit * DECREASE_FACTOR)
        elif was_full:
            self.limit = min(self.maximum, self.limit + 1.0 / self.limit)
