"""Clocks for leases, orders, ages, verdicts and time budgets."""

import time

MS_PER_S = 1000


def now_s() -> float:
    """Return seconds on the boot-time clock.

    It is monotonic and keeps counting while the host is suspended. `time.monotonic` stops during
    suspension: a resumed host would treat its lease, its configuration and callers' keys as younger
    than they are.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in ms; clocks of other hosts may differ by some seconds."""
    return int(time.time() * MS_PER_S)
