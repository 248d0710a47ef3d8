"""Listeners that go on accepting connections after errors.

The library's accept loop ends at the first error: it closes all idle connections, closes the others
after their current requests, and accepts no more.
"""

import errno
import logging
import os
import resource
from typing import Any

import eventlet
from eventlet import GreenPool
from eventlet.greenio import GreenSocket
from ruddersaddle_base import clocks

from ruddersaddle_serving.connection_gates import ConnectionGate

logger = logging.getLogger(__name__)

LISTENER_GONE = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTCONN, errno.ENOTSOCK})
"""Errors of the listener itself; all others concern a single connection or a temporary shortage
(accept(2))."""
NO_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})
ERROR_PAUSE_S = 0.02
"""Pause after an error, so that a lasting shortage doesn't take processor time from requests."""
LOG_INTERVAL_S = 5.0
"""Shortest time between two log lines of one listener about refused connections."""
CONNECTIONS_MAX = 3000
"""Concurrent connections of all callers, if the descriptor limit allows it."""
ACCEPTED_PER_TURN = 16
"""Connections that are accepted before other tasks get a turn, while more are waiting."""
CALLERS_SHARE = 0.75
"""Share of the descriptors for callers' connections: 3,000 of the about 4,000 of a host. The others
are for upstreams, the store and peers."""


def connection_limit() -> int:
    """Return how many concurrent connections of callers this process may have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return CONNECTIONS_MAX
    return max(1, min(CONNECTIONS_MAX, int(soft * CALLERS_SHARE)))


class ResilientListener:
    """A listening socket for the library's server; `pool` runs the connections' tasks.

    A connection above the limit is closed unread: its caller can go to another host at once, and
    nothing has run. If it were left in the backlog, its caller would wait until its deadline.
    """

    def __init__(
        self, listener: GreenSocket, pool: GreenPool, gate: ConnectionGate | None = None
    ) -> None:
        self.gate = gate
        """Decides which connections are closed unread; None if all are accepted."""
        self.listener = listener
        self.pool = pool
        self.family = listener.family
        self._closed = False
        self._refused = 0
        self._accepted = 0
        self._logged_at = -LOG_INTERVAL_S
        self._reserve: int | None = None
        self._open_reserve()

    def getsockname(self) -> Any:
        """Return the listener's own address."""
        return self.listener.getsockname()

    def accept(self) -> tuple[GreenSocket, Any]:
        """Return the next connection within the limit; close those above it."""
        while True:
            accepted = self._try_accept()
            if accepted is None:
                eventlet.sleep(ERROR_PAUSE_S)
            elif self.pool.free() > 0:
                self._accepted += 1
                if self._accepted % ACCEPTED_PER_TURN == 0:
                    eventlet.sleep(0)
                if self.gate is None or self.gate.admits():
                    return accepted
                accepted[0].close()
            else:
                accepted[0].close()
                self._log_refused("the connection limit is reached")
                eventlet.sleep(0)

    def close(self) -> None:
        """Stop accepting connections."""
        self._closed = True
        self.listener.close()
        self._close_reserve()

    def _try_accept(self) -> tuple[GreenSocket, Any] | None:
        try:
            return self.listener.accept()
        except OSError as error:
            if self._closed or error.errno in LISTENER_GONE:
                raise
            if error.errno in NO_DESCRIPTORS:
                self._refuse_next()
            self._log_refused(os.strerror(error.errno or 0))
            return None
        except Exception as error:
            # An exception here (out of memory, say) would end the listener for good.
            self._log_refused(f"{type(error).__name__}: {error}")
            return None

    def _refuse_next(self) -> None:
        """Close the next connection, using the descriptor that is reserved for this."""
        self._close_reserve()
        try:
            connection, _ = self.listener.fd.accept()
            connection.close()
        except OSError:
            # Another thread took the descriptor; the connection waits for the next attempt.
            pass
        finally:
            self._open_reserve()

    def _open_reserve(self) -> None:
        try:
            self._reserve = os.open(os.devnull, os.O_RDONLY)
        except OSError:
            # No descriptor is free; connections then wait in the backlog.
            self._reserve = None

    def _close_reserve(self) -> None:
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None

    def _log_refused(self, reason: str) -> None:
        self._refused += 1
        now = clocks.now_s()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        logger.warning("Connections were not taken: %s.", reason, extra={"count": self._refused})
        self._refused = 0
