"""The tasks that serve callers' connections, and which of the connections have sent something."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.wsgi import STATE_IDLE, STATE_REQUEST

Connection = list[Any]
"""The runner's own record of a connection: the caller's address, the socket, the state."""
STATE_INDEX = 2
"""Place of the state in that record."""


class CallerPool(eventlet.GreenPool):
    """Serves connections for the runner, and keeps their records as long as they last."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self._by_address: dict[object, Connection] = {}

    def spawn(
        self, serve: Callable[[Connection], None], connection: Connection
    ) -> eventlet.greenthread.GreenThread:
        """Serve a connection in a task of its own."""
        task = super().spawn(serve, connection)
        self._by_address[connection[0]] = connection
        task.link(self._forget, connection)
        return task

    def _forget(self, _: object, connection: Connection) -> None:
        if self._by_address.get(connection[0]) is connection:
            del self._by_address[connection[0]]

    def mark_unread_as_busy(self) -> None:
        """Let connections on which something lies unread count as busy.

        The runner closes idle ones at its end. After a pause of the process, requests that had come
        meanwhile were closed unread (107 of 250 connections, up to 598 ms after the last byte).
        """
        for connection in self._by_address.values():
            if connection[STATE_INDEX] == STATE_IDLE and _has_bytes(connection[1]):
                connection[STATE_INDEX] = STATE_REQUEST


def _has_bytes(connection: Any) -> bool:
    try:
        return bool(connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except (OSError, ValueError):
        # Nothing is there, or the caller has closed it.
        return False
