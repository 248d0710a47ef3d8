"""Outputs that never wait for their readers: a log handler with a bound on lines, a text stream."""

import contextlib
import io
import logging
import time

from eventlet import patcher

unpatched_os = patcher.original("os")
"""The unpatched_os's own calls. The green library's `os.write` waits for anything that is not a regular
file before it writes: from a signal's handler, which runs in the event loop, that ended the process
and cut all requests (8 of 8 streams at a planned stop); elsewhere a full pipe held requests up.
"""

LINES_PER_S = 150.0
"""Lines a second for each process, over time. A host of today's installations ends up to 40
requests a second with a line each."""
BURST_LINES = 600.0
"""Lines that may come at once after a quiet time."""
WARNING_RESERVE = 50
"""Warnings that are written although the bound on lines is reached; the reserve is whole again
after a quiet time. Else the line that says why a host ends could be dropped in a flood."""
REPORT_INTERVAL_S = 5.0
"""Pause between lines that tell how many lines were dropped."""


class BoundedHandler(logging.Handler):
    """Writes formatted records to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.host = ""
        """Named in the line about dropped lines, as filters do in others."""
        self.dropped = 0
        """Lines dropped since the last line that told so."""
        self.dropped_total = 0
        self._allowance = BURST_LINES
        self._warning_reserve = WARNING_RESERVE
        self._refilled_at = time.monotonic()
        self._reported_at = time.monotonic()
        self._unwritten = b""
        """What the descriptor did not take of the last line; it goes before the next."""
        unpatched_os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
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
        """Return whether a line of this level may be written now."""
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
            # Nobody reads, or not fast enough; a request must not wait for it.
            self._drop()
            return
        if written < len(self._unwritten):
            self._unwritten = self._unwritten[written:]
            self._drop()
        else:
            self._unwritten = data[written:]


class BoundedStream(io.TextIOBase):
    """Text for people on a descriptor; what its reader does not take at once is dropped.

    The event loop writes a trace of each task that fails, and the runner a line for each malformed
    probe. A plain write to a full pipe stopped the process for good; one to a pipe without a reader
    raised inside the loop and ended it.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped_total = 0
        """Writes that were not taken, or in part."""
        with contextlib.suppress(OSError):
            # The descriptor may be closed; then each write is dropped.
            unpatched_os.set_blocking(descriptor, False)

    def writable(self) -> bool:
        """Return true; the stream can't be read."""
        return True

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.descriptor

    def write(self, text: str) -> int:
        """Write what is taken at once."""
        data = text.encode(errors="backslashreplace")
        written = 0
        with contextlib.suppress(OSError):
            written = unpatched_os.write(self.descriptor, data)
        self.dropped_total += written < len(data)
        return len(text)
