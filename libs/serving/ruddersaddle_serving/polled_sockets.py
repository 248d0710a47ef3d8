"""Time-outs of sockets that count only if the socket isn't ready when they expire.

The event loop fires due timers before it polls its sockets. After a long turn, or while the process
isn't scheduled, the time-outs of connections that stand and of answers that have arrived would
expire, as if their peers didn't respond.
"""

import logging
from typing import Any

from eventlet import patcher
from eventlet.greenio.base import GreenSocket

logger = logging.getLogger(__name__)

select = patcher.original("select")


class ExpiryCounts:
    """How many time-outs of sockets expired, by whether the socket was ready."""

    def __init__(self) -> None:
        self.by_kind = {"peer": 0, "ready": 0}
        """`peer`: nothing had come; `ready`: the event loop was late, and the wait went well."""


EXPIRIES = ExpiryCounts()
"""Counts of this process."""


def poll_before_timeouts() -> None:
    """Let waits of all sockets of this process end well if the socket is ready at their end."""
    wait = GreenSocket._trampoline

    def wait_and_poll(
        self: GreenSocket,
        fd: Any,
        read: bool = False,
        write: bool = False,
        timeout: float | None = None,
        timeout_exc: BaseException | None = None,
    ) -> Any:
        try:
            return wait(self, fd, read, write, timeout, timeout_exc)
        except Exception as error:
            if error is not timeout_exc:
                raise
            if not _is_ready(fd, read, write):
                EXPIRIES.by_kind["peer"] += 1
                raise
        EXPIRIES.by_kind["ready"] += 1
        logger.debug("A socket was ready when its time-out expired.")
        return None

    GreenSocket._trampoline = wait_and_poll


def _is_ready(fd: Any, read: bool, write: bool) -> bool:
    """Return whether a read or write wouldn't wait, or would fail at once."""
    poll = select.poll()
    poll.register(fd, (select.POLLIN if read else 0) | (select.POLLOUT if write else 0))
    return bool(poll.poll(0))
