"""Notices that a caller has closed its connection while its request is under way."""

import socket

import eventlet
from eventlet.hubs import get_hub, trampoline


class CallerLeftError(Exception):
    """Raised into the task of a request whose caller has closed the connection."""


class CallerWatch:
    """Watches one connection during one request.

    eventlet lets one task wait for a socket, so the watch ends before the next request is read.
    Bytes that arrive early belong to the next request and are no close.
    """

    def __init__(self, connection: socket.socket) -> None:
        self.connection = connection
        self._handler = eventlet.getcurrent()
        self._active = True
        self._task = eventlet.spawn(self._run)

    def has_left(self) -> bool:
        """Return whether the connection is closed, without waiting.

        A host that was frozen reads requests of callers who gave up long before; none of them
        should reach an upstream.
        """
        raw = getattr(self.connection, "fd", self.connection)
        try:
            return not raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True

    def _run(self) -> None:
        try:
            trampoline(self.connection.fileno(), read=True)
        except (OSError, ValueError):
            # The connection was closed under the watch.
            pass
        if self.has_left():
            get_hub().schedule_call_global(0, self._raise)

    def _raise(self) -> None:
        if self._active:
            self._active = False
            self._handler.throw(CallerLeftError())

    def stop(self) -> None:
        """End the watch; nothing is raised any more."""
        self._active = False
        self._task.kill()
