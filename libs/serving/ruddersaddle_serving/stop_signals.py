"""Signals that request a planned stop, and how late the host noticed the first."""

import signal
from typing import Any

from ruddersaddle_base import clocks


class StopSignals:
    """State that the signal handler sets; it runs in the event loop and does nothing else.

    The log lines are written by the task that carries out the stop.
    """

    def __init__(self) -> None:
        self.count = 0
        self.first: int | None = None
        self.first_at = 0.0

    def record(self, number: int) -> None:
        """Record a signal."""
        if self.first is None:
            self.first = number
            self.first_at = clocks.now_s()
        self.count += 1

    def fields(self) -> dict[str, Any]:
        """Return the log fields of the first signal: its name, and how late it was noticed."""
        if self.first is None:
            return {}
        late_s = clocks.now_s() - self.first_at
        return {"signal": signal.Signals(self.first).name, "noticed_ms": round(late_s * 1000)}
