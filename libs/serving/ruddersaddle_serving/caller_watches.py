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

    def _run(self) -> None:
        try:
            trampoline(self.connection.fileno(), read=True)
            raw = getattr(self.connection, "fd", self.connection)
            data = raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except (OSError, ValueError):
            data = b""
        if not data:
            get_hub().schedule_call_global(0, self._raise)

    def _raise(self) -> None:
        if self._active:
            self._active = False
            self._handler.throw(CallerLeftError())

    def stop(self) -> None:
        """End the watch; nothing is raised any more."""
        self._active = False
        self._task.kill()
