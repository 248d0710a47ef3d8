"""A log handler that never blocks and never writes more than so many lines a second."""

import logging
import time

from eventlet import patcher

system = patcher.original("os")
"""The system's own calls. The green library's `os.write` waits for anything that is not a regular
file before it writes: from a signal's handler, which runs in the event loop, that ended the process
and cut all requests (8 of 8 streams at a planned stop); elsewhere a full pipe held requests up.
"""

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
        self._rest = b""
        """What the descriptor did not take of the last line; it goes before the next."""
        system.set_blocking(descriptor, False)

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
        data = self._rest + line.encode() + b"\n"
        try:
            written = system.write(self.descriptor, data)
        except OSError:
            # Nobody reads, or not fast enough; a request must not wait for it.
            self.dropped += 1
            return
        if written < len(self._rest):
            self._rest = self._rest[written:]
            self.dropped += 1
        else:
            self._rest = data[written:]
