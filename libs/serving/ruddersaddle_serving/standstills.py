"""Notices that the whole process stood still: frozen, short of processor, or blocked by a call."""

import logging

from ruddersaddle_base import clocks

logger = logging.getLogger(__name__)

STALL_MIN_S = 0.5
"""A task that wakes later than this was kept from it; on a busy machine some 0.1 s are usual."""


class StallMonitor:
    """Measures how late one regular task wakes."""

    def __init__(self) -> None:
        self.total_s = 0.0
        """Seconds of standstill since the start; it never falls."""

    def check(self, slept_at: float, pause_s: float) -> None:
        """Compare a pause with how long it took; call it when the pause is over."""
        late_s = clocks.now_s() - slept_at - pause_s
        if late_s < STALL_MIN_S:
            return
        self.total_s += late_s
        logger.warning("The process stood still.", extra={"still_ms": round(late_s * 1000)})
