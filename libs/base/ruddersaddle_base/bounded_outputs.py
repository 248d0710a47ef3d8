"""Outputs that never block on their reader: a rate-limited log handler and a text stream."""

import contextlib
import io
import logging
import time

from eventlet import patcher

unpatched_os = patcher.original("os")
"""The `os` module without eventlet's patches. The patched `os.write` yields to the event loop
before it writes to anything that is not a regular file. In a signal handler, which runs in that
loop, this ended the process at a planned stop and cut every open stream; elsewhere a full pipe
blocked requests.
"""

LINES_PER_S = 150.0
"""Sustained rate for each process: a host ends up to 40 requests a second and logs a line each."""
BURST_LINES = 600.0
"""Lines that may be written at once after a period with few lines."""
WARNING_RESERVE = 50
"""Warnings that are written even when the rate limit is reached; refilled once the burst allowance
is full again. Otherwise a flood of lines could drop the one that says why a host exits."""
REPORT_INTERVAL_S = 5.0
"""Shortest interval between reports of dropped lines."""


class BoundedHandler(logging.Handler):
    """Writes formatted records to a file descriptor without blocking on its reader."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.host = ""
        """Host field of the report of dropped lines, which no filter adds to."""
        self.dropped = 0
        """Lines dropped since the last report."""
        self.dropped_total = 0
        self._allowance = BURST_LINES
        self._warning_reserve = WARNING_RESERVE
        self._refilled_at = time.monotonic()
        self._reported_at = time.monotonic()
        self._unwritten = b""
        """Part of the last line that the descriptor did not accept; written before the next."""
        unpatched_os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop and count it."""
        now = time.monotonic()
        self._allowance = min(
            BURST_LINES, self._allowance + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if not self._try_spend(record.levelno or logging.NOTSET):
            self._drop()
            return
        self._write(self.format(record))
        if self.dropped and now - self._reported_at > REPORT_INTERVAL_S:
            self._report_dropped(now)

    def _try_spend(self, level: int) -> bool:
        """Spend the allowance for a line of this level; return whether the line may be written."""
        if self._allowance >= BURST_LINES:
            self._warning_reserve = WARNING_RESERVE
        if self._allowance >= 1.0:
            self._allowance -= 1.0
            return True
        if level < logging.WARNING or self._warning_reserve == 0:
            return False
        self._warning_reserve -= 1
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _report_dropped(self, now: float) -> None:
        dropped, self.dropped = self.dropped, 0
        self._reported_at = now
        text = f"log: {dropped} lines were dropped."
        fields = {"msg": text, "levelname": "WARNING", "host": self.host}
        self._write(self.format(logging.makeLogRecord(fields)))

    def _write(self, line: str) -> None:
        data = self._unwritten + line.encode() + b"\n"
        try:
            written = unpatched_os.write(self.descriptor, data)
        except OSError:
            # The reader is gone or too slow; requests must not wait for it.
            self._drop()
            return
        if written < len(self._unwritten):
            self._unwritten = self._unwritten[written:]
            self._drop()
        else:
            self._unwritten = data[written:]


class BoundedStream(io.TextIOBase):
    """Text stream on a descriptor; text that can't be written at once is dropped.

    The event loop writes a traceback for each task that fails, and the runner a line for each
    malformed probe. A blocking write to a full pipe hangs the process, and a write to a pipe
    without a reader raises inside the loop and ends it.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped_total = 0
        """Writes that were dropped, entirely or in part."""
        with contextlib.suppress(OSError):
            # If the descriptor is closed, each write is dropped.
            unpatched_os.set_blocking(descriptor, False)

    def writable(self) -> bool:
        """Return true: the stream is write-only."""
        return True

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.descriptor

    def write(self, text: str) -> int:
        """Write what the descriptor accepts at once and drop the rest."""
        data = text.encode(errors="backslashreplace")
        written = 0
        with contextlib.suppress(OSError):
            written = unpatched_os.write(self.descriptor, data)
        self.dropped_total += written < len(data)
        return len(text)
