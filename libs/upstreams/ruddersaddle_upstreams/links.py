"""Links to store hosts: measured throughput, and the budget of background transfers."""

import time

SMOOTHING = 0.3
"""Weight of the newest transfer in the moving average of the rate."""
RATE_SAMPLE_BYTES_MIN = 4096
"""Smaller transfers measure latency rather than throughput."""
FAILURE_HOLD_S = 2.0
"""How long a link is not used after a failure."""
BACKGROUND_SHARE = 0.5
"""Share of the link's throughput that saving and prefetching may use."""
BURST_S = 1.0
"""Seconds of background throughput that may be sent in one burst."""


class Link:
    """The link between this host and one store host; rates are in bytes per second."""

    def __init__(self, capacity_bytes_s: float) -> None:
        self.capacity_bytes_s = capacity_bytes_s
        self.rate_bytes_s = capacity_bytes_s
        self.moved_bytes = 0
        self.useful_bytes = 0
        self.busy_s = 0.0
        self.queued_bytes = 0
        self._failed_at = -FAILURE_HOLD_S
        self._allowance = capacity_bytes_s * BACKGROUND_SHARE * BURST_S
        self._refilled_at = time.monotonic()

    @property
    def is_up(self) -> bool:
        """Whether the link may be used."""
        return time.monotonic() - self._failed_at >= FAILURE_HOLD_S

    def record_transfer(self, size: int, seconds: float) -> None:
        """Update the measured rate with one finished transfer."""
        self.moved_bytes += size
        self.busy_s += seconds
        if size >= RATE_SAMPLE_BYTES_MIN and seconds > 0:
            rate = min(self.capacity_bytes_s, size / seconds)
            self.rate_bytes_s += SMOOTHING * (rate - self.rate_bytes_s)

    def record_failure(self) -> None:
        """Record a failed transfer."""
        self._failed_at = time.monotonic()

    def estimate_s(self, size: int) -> float:
        """Return the seconds that `size` more bytes would take behind the queued ones."""
        return (self.queued_bytes + size) / max(1.0, self.rate_bytes_s)

    def try_reserve_background(self, size: int) -> bool:
        """Reserve `size` bytes of the background budget if it has as many (token bucket)."""
        now = time.monotonic()
        refill = self.rate_bytes_s * BACKGROUND_SHARE
        self._allowance += (now - self._refilled_at) * refill
        self._allowance = min(self._allowance, max(refill * BURST_S, size))
        self._refilled_at = now
        if self._allowance < size:
            return False
        self._allowance -= size
        return True
