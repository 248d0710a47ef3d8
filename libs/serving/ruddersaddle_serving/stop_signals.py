"""Signals that asked for a planned stop, and how late they were noticed."""

import signal
from typing import Any

from ruddersaddle_base import clocks


class StopSignals:
    """What a signal's handler may leave behind: handlers run in the event loop and only set this.

    The lines about it are written by the task that carries the stop out.
    """

    def __init__(self) -> None:
        self.count = 0
        self.first: int | None = None
        self.first_at = 0.0

    def record(self, number: int) -> None:
        """Note a signal."""
        if self.first is None:
            self.first = number
            self.first_at = clocks.now_s()
        self.count += 1

    def fields(self) -> dict[str, Any]:
        """Return a log line's fields about the first signal."""
        if self.first is None:
            return {}
        late_s = clocks.now_s() - self.first_at
        return {"signal": signal.Signals(self.first).name, "noticed_ms": round(late_s * 1000)}
