"""The clocks of this program. Leases, orders, ages, verdicts and time budgets all go by them."""

import time

MS_PER_S = 1000


def now_s() -> float:
    """Return seconds on a clock that only goes forward, also while the host is suspended.

    The usual steady clock stands still meanwhile: a host that was suspended for seconds took its
    lease, its configuration and callers' keys for as young as before.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in ms; other hosts' may be some seconds off."""
    return int(time.time() * MS_PER_S)
