"""Listeners that go on taking connections whatever happens to a single one.

The library's accept loop ends at the first error, closes every connection that is idle, and closes
the others after their request; nothing is taken any more.
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

logger = logging.getLogger(__name__)

LISTENER_GONE = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTCONN, errno.ENOTSOCK})
"""Errors that concern the listener itself; any other one concerns one connection or a shortage that
may pass (accept(2))."""
NO_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})
ERROR_PAUSE_S = 0.02
"""Pause after an error, so that a shortage that lasts leaves the processor to the requests."""
LOG_PAUSE_S = 5.0
"""Least time between two lines of one listener about connections that were not taken."""
CONNECTIONS_MAX = 3000
"""Connections at once, where descriptors allow it."""
CALLERS_SHARE = 0.75
"""Share of the descriptors that callers' connections may use; the others are for upstreams, the
store and peers. 3,000 of about 4,000 that a host has."""


def connection_limit() -> int:
    """Return how many connections a listener may hold at once in this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return CONNECTIONS_MAX
    return max(1, min(CONNECTIONS_MAX, int(soft * CALLERS_SHARE)))


class ResilientListener:
    """A listening socket for the library's server; `pool` runs the connections' tasks.

    A connection for which there is no room is closed unread: its caller may go elsewhere at once,
    and nothing of it has run. Left waiting, it would hold its caller up until its time is over.
    """

    def __init__(self, listener: GreenSocket, pool: GreenPool) -> None:
        self.listener = listener
        self.pool = pool
        self.family = listener.family
        self._closed = False
        self._refused = 0
        self._logged_at = -LOG_PAUSE_S
        self._reserve: int | None = None
        self._take_reserve()

    def getsockname(self) -> Any:
        """Return the listener's own address."""
        return self.listener.getsockname()

    def accept(self) -> tuple[GreenSocket, Any]:
        """Return the next connection that there is room for."""
        while True:
            taken = self._try_accept()
            if taken is None:
                eventlet.sleep(ERROR_PAUSE_S)
            elif self.pool.free() > 0:
                return taken
            else:
                taken[0].close()
                self._note_refused("all places are taken")
                eventlet.sleep(0)

    def close(self) -> None:
        """Take no further connection."""
        self._closed = True
        self.listener.close()
        self._give_reserve()

    def _try_accept(self) -> tuple[GreenSocket, Any] | None:
        try:
            return self.listener.accept()
        except OSError as error:
            if self._closed or error.errno in LISTENER_GONE:
                raise
            if error.errno in NO_DESCRIPTORS:
                self._refuse_one()
            self._note_refused(os.strerror(error.errno or 0))
            return None
        except Exception as error:
            # A fault here (memory that ran out, say) would end the listener for good.
            self._note_refused(f"{type(error).__name__}: {error}")
            return None

    def _refuse_one(self) -> None:
        """Close the next connection by means of the descriptor that is kept for this."""
        self._give_reserve()
        try:
            connection, _ = self.listener.fd.accept()
            connection.close()
        except OSError:
            # Another thread took the descriptor; the connection waits for the next look.
            pass
        finally:
            self._take_reserve()

    def _take_reserve(self) -> None:
        try:
            self._reserve = os.open(os.devnull, os.O_RDONLY)
        except OSError:
            # There is none; connections wait in the backlog then.
            self._reserve = None

    def _give_reserve(self) -> None:
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None

    def _note_refused(self, reason: str) -> None:
        self._refused += 1
        now = clocks.now_s()
        if now - self._logged_at < LOG_PAUSE_S:
            return
        self._logged_at = now
        logger.warning("Connections were not taken: %s.", reason, extra={"count": self._refused})
        self._refused = 0
