"""Links to store hosts: measured throughput, and the share that background transfers may take."""

import time

SMOOTHING = 0.3
"""Weight of the newest transfer in the measured rate."""
RATE_SAMPLE_BYTES_MIN = 4096
"""Transfers below this say more of latency than of rate."""
FAILURE_HOLD_S = 2.0
"""Seconds for which a link that failed is not used."""
BACKGROUND_SHARE = 0.5
"""Share of the link's bytes a second that keeping and prefetching may use."""
BURST_S = 1.0
"""Seconds' worth of background bytes that may go at once."""


class Link:
    """The link between this host and one store host; rates are in bytes a second."""

    def __init__(self, capacity_bytes_s: float) -> None:
        self.capacity_bytes_s = capacity_bytes_s
        self.rate_bytes_s = capacity_bytes_s
        self.moved_bytes = 0
        self.useful_bytes = 0
        self.busy_s = 0.0
        self.queued_bytes = 0
        self._failed_at = -FAILURE_HOLD_S
        self._allowance = capacity_bytes_s * BACKGROUND_SHARE * BURST_S
        self._allowed_at = time.monotonic()

    @property
    def is_up(self) -> bool:
        """Whether the link may be used."""
        return time.monotonic() - self._failed_at >= FAILURE_HOLD_S

    def record_transfer(self, size: int, seconds: float) -> None:
        """Take one finished transfer into the measured rate."""
        self.moved_bytes += size
        self.busy_s += seconds
        if size >= RATE_SAMPLE_BYTES_MIN and seconds > 0:
            rate = min(self.capacity_bytes_s, size / seconds)
            self.rate_bytes_s += SMOOTHING * (rate - self.rate_bytes_s)

    def record_failure(self) -> None:
        """Note a transfer that failed."""
        self._failed_at = time.monotonic()

    def estimate_s(self, size: int) -> float:
        """Return the seconds that `size` more bytes would take behind those that wait."""
        return (self.queued_bytes + size) / max(1.0, self.rate_bytes_s)

    def try_reserve_background(self, size: int) -> bool:
        """Take `size` bytes of the background's budget if it has them."""
        now = time.monotonic()
        refill = self.rate_bytes_s * BACKGROUND_SHARE
        self._allowance += (now - self._allowed_at) * refill
        self._allowance = min(self._allowance, max(refill * BURST_S, size))
        self._allowed_at = now
        if self._allowance < size:
            return False
        self._allowance -= size
        return True
