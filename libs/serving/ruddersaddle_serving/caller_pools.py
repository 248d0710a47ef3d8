"""The tasks that serve callers' connections, and which connections have unread bytes."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.wsgi import STATE_IDLE, STATE_REQUEST

Connection = list[Any]
"""The WSGI server's record of a connection: the caller's address, the socket, the state."""
STATE_INDEX = 2
"""Index of the state in that record."""


class CallerPool(eventlet.GreenPool):
    """Runs the WSGI server's connections, and keeps their records while they are open."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self._by_address: dict[object, Connection] = {}

    def spawn(
        self, serve: Callable[[Connection], None], connection: Connection
    ) -> eventlet.greenthread.GreenThread:
        """Serve a connection in its own task."""
        task = super().spawn(serve, connection)
        self._by_address[connection[0]] = connection
        task.link(self._remove, connection)
        return task

    def _remove(self, _: object, connection: Connection) -> None:
        if self._by_address.get(connection[0]) is connection:
            del self._by_address[connection[0]]

    def mark_unread_as_busy(self) -> None:
        """Mark idle connections with unread bytes as busy, so that the server does not close them.

        The server closes idle connections when it stops. After a stall of the process this closed
        connections with unread requests (107 of 250, up to 598 ms after the last byte).
        """
        for connection in self._by_address.values():
            if connection[STATE_INDEX] == STATE_IDLE and _has_bytes(connection[1]):
                connection[STATE_INDEX] = STATE_REQUEST


def _has_bytes(connection: Any) -> bool:
    try:
        return bool(connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except (OSError, ValueError):
        # Nothing has arrived, or the caller has closed the connection.
        return False
