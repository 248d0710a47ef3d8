"""Times at which this host sent its latest requests to an upstream."""

from collections import deque

SENDS_MAX = 1024
"""Send times recorded per upstream; a host may send fewer requests a second to a cold one."""


class RecentSends:
    """Times at which this host sent its latest requests to an upstream, on the boot-time clock."""

    def __init__(self) -> None:
        self._sent_at: deque[float] = deque(maxlen=SENDS_MAX)

    def record(self, at: float) -> None:
        """Record that a request is sent."""
        self._sent_at.append(at)

    def count_since(self, moment: float) -> int:
        """Return how many requests were sent after a moment, up to `SENDS_MAX`."""
        return sum(at > moment for at in self._sent_at)
