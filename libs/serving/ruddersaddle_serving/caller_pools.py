"""The tasks that serve callers' connections, and which connections have unread bytes."""

import logging
import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenio import shutdown_safe
from eventlet.hubs import get_hub
from eventlet.wsgi import STATE_CLOSE, STATE_IDLE, STATE_REQUEST
from ruddersaddle_base import clocks

from ruddersaddle_serving.caller_budgets import CallerBudget, Holding, NoRoomError, Phase

logger = logging.getLogger(__name__)

Connection = list[Any]
"""The WSGI server's record of a connection: the caller's address, the socket, the state, and what
is kept for it."""
STATE_INDEX = 2
"""Index of the state in that record."""
HOLDING_INDEX = 3
"""Index of the holding."""
CLOSING_CONNECTIONS = 256
"""Connections beyond the budget's limit that may exist at the same time, as they are being closed
to give way to others."""
LOG_INTERVAL_S = 5.0


class PooledConnection:
    """A connection as the budget of all callers sees it."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.task: eventlet.greenthread.GreenThread | None = None

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle and nothing has arrived on it."""
        return self.connection[STATE_INDEX] == STATE_IDLE and _close_unless_bytes(self.connection)

    def interrupt(self, holding: Holding) -> None:
        """Raise `NoRoomError` into the connection's task, if it still reads a request then."""
        get_hub().schedule_call_global(0, self._raise, holding)

    def _raise(self, holding: Holding) -> None:
        if holding.phase in (Phase.READING, Phase.WAITING) and self.task:
            self.task.throw(NoRoomError())

    def abort(self) -> None:
        """Close the connection at once."""
        shutdown_safe(self.connection[1])


class CallerPool(eventlet.GreenPool):
    """Runs the WSGI server's connections, and keeps their records while they are open."""

    def __init__(self, budget: CallerBudget) -> None:
        super().__init__(budget.connections_max + CLOSING_CONNECTIONS)
        self.budget = budget
        self._by_address: dict[object, Connection] = {}
        self._logged_at = float("-inf")

    def spawn(
        self, serve: Callable[[Connection], None], connection: Connection
    ) -> eventlet.greenthread.GreenThread:
        """Serve a connection in its own task; one for which there is no room is closed unread."""
        pooled = PooledConnection(connection)
        holding = self.budget.open(pooled)
        if holding is None:
            self._log_refused()
            # The server closes a connection whose task has ended.
            return super().spawn(lambda: None)
        connection.append(holding)
        task = pooled.task = super().spawn(serve, connection)
        self._by_address[connection[0]] = connection
        task.link(self._remove, connection)
        return task

    def _log_refused(self) -> None:
        now = clocks.now_s()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        budget = self.budget
        fields = {
            "count": budget.refused,
            "used_bytes": budget.used,
            "max_bytes": budget.bytes_max,
            "connections": budget.connections,
            "running": budget.count(Phase.RUNNING),
        }
        logger.warning("Connections of callers are closed unread: no room.", extra=fields)

    def _remove(self, _: object, connection: Connection) -> None:
        connection[HOLDING_INDEX].close()
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
            if connection[STATE_INDEX] == STATE_IDLE:
                _close_unless_bytes(connection)


def _close_unless_bytes(connection: Connection) -> bool:
    """Close an idle connection unless a request has arrived; return whether it was closed."""
    if _has_bytes(connection[1]):
        connection[STATE_INDEX] = STATE_REQUEST
        return False
    connection[STATE_INDEX] = STATE_CLOSE
    shutdown_safe(connection[1])
    return True


def _has_bytes(connection: Any) -> bool:
    try:
        return bool(connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except (OSError, ValueError):
        # Nothing has arrived, or the caller has closed the connection.
        return False
