"""Takes a request back from an upstream that has fallen silent."""

import eventlet
from eventlet.hubs import get_hub

from ruddersaddle_serving.trackers import Tracker

LOOK_S = 0.1
"""Pause between looks; targets are 0.4 s and more, so another upstream may still be in time."""


class UpstreamSilentError(Exception):
    """Raised into the task of a request whose upstream has fallen silent."""


class SilenceWatch:
    """Watches one upstream while a request waits for its first event there."""

    def __init__(self, tracker: Tracker) -> None:
        self.tracker = tracker
        self._handler = eventlet.getcurrent()
        self._active = True
        self._look_later()

    def _look_later(self) -> None:
        get_hub().schedule_call_global(LOOK_S, self._look)

    def _look(self) -> None:
        if not self._active:
            return
        self.tracker.check_silence()
        if self.tracker.is_off:
            self._active = False
            self._handler.throw(UpstreamSilentError())
        else:
            self._look_later()

    def stop(self) -> None:
        """End the watch; nothing is raised any more."""
        self._active = False
