"""Timeouts that let what has arrived go first.

The event loop fires all timers that are due before it looks at its sockets. After a freeze, or a
long step of another task, a request or an answer that had arrived in time was dropped for a timer:
after 1.6 s, 78 of 80 requests, 80 of 80 heads and 80 of 80 answers.
"""

from typing import Any

import eventlet
from eventlet.hubs import get_hub


class DeferredTimeout(eventlet.Timeout):
    """A timeout that is raised only after the event loop has looked at its sockets once more.

    Bytes that are there wake their task first, which may end what is timed and cancel this.
    """

    def start(self) -> "DeferredTimeout":
        """Begin to count; the library's constructor calls this."""
        task = eventlet.getcurrent()
        self.timer = get_hub().schedule_call_global(self.seconds, self._look_first, task)
        return self

    def _look_first(self, task: Any) -> None:
        # A timer set from within a timer is due only after the sockets' turn.
        self.timer = get_hub().schedule_call_global(0, task.throw, self)
