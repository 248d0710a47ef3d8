"""The record of a case: what was sent, answered and run, with times."""

import threading
import time
from pathlib import Path


class Record:
    """Writes lines to `record.txt`; used by several threads."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def line(self, who: str, text: str) -> None:
        """Write one line with the time since the start of the case, in seconds."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began:8.3f}  {who:<10} {text}\n")
            self._file.flush()
