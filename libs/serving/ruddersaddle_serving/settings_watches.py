"""Reloads the settings on SIGHUP, and when their file changes without a signal."""

import logging
import signal
from collections.abc import Callable
from pathlib import Path

from ruddersaddle_base.settings import Problem, Settings
from ruddersaddle_base.tasks import pause, spawn_forever

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5
"""Interval at which the file's modification time is polled. The file is read once two polls agree,
so that a partially written file is not read."""
POLLS_MAX = 4
"""Polls after a signal until the file is read although it keeps changing."""

Read = Callable[[], Settings | list[Problem]]
Stamp = tuple[int, int]
"""Modification time in nanoseconds, and size in bytes."""


class SettingsWatch:
    """Holds the current settings; `apply` is called with new settings that are valid."""

    def __init__(self, path: str, read: Read) -> None:
        self.path = Path(path)
        self.read = read
        self.settings = Settings({})
        self.signalled = False
        self._last_seen: Stamp | None = None
        self._applied: Stamp | None = None
        self._polls = 0
        """Polls since a signal."""

    def load_initial(self) -> Settings | list[Problem]:
        """Install the handler of SIGHUP and return the first settings, or the problems in them.

        The file's modification time is taken before the file is read, so that a change during the
        read is noticed later.
        """
        signal.signal(signal.SIGHUP, self._handle_signal)
        self._last_seen = self._applied = self._stamp()
        found = self.read()
        if isinstance(found, Settings):
            self.settings = found
        return found

    def start(self, apply: Callable[[Settings], None]) -> None:
        """Start to poll the file."""
        spawn_forever("settings", self._run, apply)

    def _handle_signal(self, *_: object) -> None:
        self.signalled = True

    def _stamp(self) -> Stamp | None:
        try:
            status = self.path.stat()
        except OSError:
            # The file may be missing for a moment while it is replaced.
            return None
        if status.st_size == 0:
            # An empty file counts as missing: reading it would reset every setting to its default.
            return None
        return status.st_mtime_ns, status.st_size

    def _run(self, apply: Callable[[Settings], None]) -> None:
        while True:
            pause(POLL_INTERVAL_S)
            self.poll(apply)

    def poll(self, apply: Callable[[Settings], None]) -> None:
        """Read the file after a signal or a change, once it is stable.

        After a signal it is read at the last of `POLLS_MAX` polls even if it is not stable:
        otherwise a file that is written every 0.3 s delays the reload by more than 10 s.
        """
        stamp = self._stamp()
        if stamp is None:
            self._last_seen = None
            return
        is_stable = stamp == self._last_seen
        self._last_seen = stamp
        self._polls = self._polls + 1 if self.signalled else 0
        if self._polls >= POLLS_MAX or (is_stable and (self.signalled or stamp != self._applied)):
            self._apply(stamp, apply)

    def _apply(self, stamp: Stamp, apply: Callable[[Settings], None]) -> None:
        self._applied = stamp
        self._polls = 0
        self.signalled = False
        self._reload(apply)

    def _reload(self, apply: Callable[[Settings], None]) -> None:
        found = self.read()
        if isinstance(found, list):
            for problem in found:
                logger.error("New settings are rejected. %s", problem)
            return
        before = self.settings.by_name
        changed = sorted(name for name, value in found.by_name.items() if value != before[name])
        logger.info("Settings were reloaded. Changed: %s.", ", ".join(changed) or "nothing")
        self.settings = found
        apply(found)
