"""Detects callers that close their connections while their requests are active."""

import socket

import eventlet
from eventlet.hubs import get_hub, trampoline


class CallerLeftError(Exception):
    """Raised into a request's task when its caller has closed the connection."""


class CallerWatch:
    """Watches one connection during one request.

    eventlet lets only one task wait for a socket, so the watch ends before the next request is
    read. Bytes that arrive during the watch belong to the next request and don't count as a close.
    """

    def __init__(self, connection: socket.socket) -> None:
        self.connection = connection
        self._handler = eventlet.getcurrent()
        self._active = True
        self._task = eventlet.spawn(self._run)

    def has_left(self) -> bool:
        """Return whether the caller has closed the connection, without waiting.

        After a stall, a host reads requests of callers that gave up long before; these must not
        reach an upstream.
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
            # The connection was closed during the watch.
            pass
        if self.has_left():
            get_hub().schedule_call_global(0, self._raise)

    def _raise(self) -> None:
        if self._active:
            self._active = False
            self._handler.throw(CallerLeftError())

    def stop(self) -> None:
        """End the watch; nothing is raised afterwards."""
        self._active = False
        self._task.kill()
