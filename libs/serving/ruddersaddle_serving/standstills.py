"""Detects stalls of the whole process: suspended, starved of CPU time, or blocked by a call."""

import logging

from ruddersaddle_base import clocks

logger = logging.getLogger(__name__)

STALL_MIN_S = 0.5
"""A task that wakes this late was stalled; on a busy machine some 0.1 s are usual."""


class StallMonitor:
    """Measures how late a periodic task wakes."""

    def __init__(self) -> None:
        self.total_s = 0.0
        """Seconds stalled since the start; never decreases."""

    def check(self, slept_at: float, pause_s: float) -> None:
        """Compare an intended pause with its actual length; call this when the pause is over."""
        late_s = clocks.now_s() - slept_at - pause_s
        if late_s < STALL_MIN_S:
            return
        self.total_s += late_s
        logger.warning("The process stalled.", extra={"still_ms": round(late_s * 1000)})
