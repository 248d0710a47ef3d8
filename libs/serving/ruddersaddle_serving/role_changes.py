"""Lets tasks wait until this host may have become a reader, instead of checking all the time."""

import eventlet
from eventlet.event import Event as Signal
from ruddersaddle_base.tasks import until_tick_s

from ruddersaddle_serving.hosts import Hosts

CHECK_MAX_S = 5.0
"""Longest wait of a task that only waits for a change."""


class RoleChanges:
    """Wakes waiting tasks when the list of hosts or their responsiveness changes."""

    def __init__(self, hosts: Hosts) -> None:
        self._signal: Signal = Signal()
        hosts.listeners.append(self._wake)

    def wait(self, timeout_s: float = CHECK_MAX_S) -> None:
        """Return at the next change, or at the first tick after a time-out."""
        with eventlet.Timeout(until_tick_s(timeout_s), False):
            self._signal.wait()

    def _wake(self) -> None:
        signal, self._signal = self._signal, Signal()
        signal.send()
