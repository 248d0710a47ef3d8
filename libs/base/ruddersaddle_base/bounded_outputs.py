"""A log handler that never blocks and never writes more than so many lines a second."""

import logging
import os
import time

LINES_S = 150.0
"""Lines a second for each process, over time. A host of today's installations ends up to 40
requests a second with a line each."""
LINES_BURST = 600.0
"""Lines that may come at once after a quiet time."""
REPORT_S = 5.0
"""Pause between lines that tell how many lines were dropped."""


class BoundedHandler(logging.Handler):
    """Writes formatted records to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self._saved = LINES_BURST
        self._counted_at = time.monotonic()
        self._told_at = time.monotonic()
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        now = time.monotonic()
        self._saved = min(LINES_BURST, self._saved + (now - self._counted_at) * LINES_S)
        self._counted_at = now
        if self._saved < 1.0:
            self.dropped += 1
            return
        self._saved -= 1.0
        self._write(self.format(record))
        if self.dropped and now - self._told_at > REPORT_S:
            self._tell(now)

    def _tell(self, now: float) -> None:
        dropped, self.dropped = self.dropped, 0
        self._told_at = now
        text = f"log: {dropped} lines were dropped."
        self._write(self.format(logging.makeLogRecord({"msg": text, "levelname": "WARNING"})))

    def _write(self, line: str) -> None:
        try:
            os.write(self.descriptor, line.encode() + b"\n")
        except OSError:
            # Nobody reads, or not fast enough; a request must not wait for it.
            self.dropped += 1
