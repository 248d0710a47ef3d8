"""Socket options that detect connections whose other end no longer responds.

A connection may go dead without a reset, for good, while new ones work. It is closed if sent bytes
are not acknowledged in time; an idle connection is probed by keepalives.
"""

import contextlib
import socket
from collections.abc import Iterator

UNACKNOWLEDGED_MS = 3000
"""TCP closes a connection if sent bytes are not acknowledged for this long (TCP_USER_TIMEOUT). The
platform counts a host as disconnected after the same time, so connections survive shorter losses of
the network."""
CALLER_UNACKNOWLEDGED_MS = 60_000
"""The same while a long answer is written to a caller, who may read slowly. A full window also
counts as unacknowledged until a complete segment of up to 64 KB fits into it: at 10 s, callers with
buffers of 16 KB that read 80 KB/s without a pause lost their answers. At other times it is not set
for callers: it would also decide when keepalives give up, whatever their count (tcp(7)), and
upstreams would work on for callers that are gone."""
NO_USER_TIMEOUT_MS = 0
KEEPALIVE_IDLE_S = 1
"""Time without incoming data after which a connection is probed."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Unanswered probes after which a connection is closed: 3 s after the last data, unless the bound
on sent bytes is reached first."""

LIVENESS_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
"""Level, name and value of each socket option."""


def set_listener_options(listener: socket.socket) -> None:
    """Set the options on the listener for callers; accepted connections inherit them."""
    for level, name, value in LIVENESS_OPTIONS:
        listener.setsockopt(level, name, value)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, NO_USER_TIMEOUT_MS)


@contextlib.contextmanager
def bounded_writes(connection: socket.socket) -> Iterator[None]:
    """Abort a caller's connection if it takes nothing of a long answer for too long."""
    _set_user_timeout(connection, CALLER_UNACKNOWLEDGED_MS)
    try:
        yield
    finally:
        _set_user_timeout(connection, NO_USER_TIMEOUT_MS)


def _set_user_timeout(connection: socket.socket, timeout_ms: int) -> None:
    with contextlib.suppress(OSError):
        # The connection may be closed already.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
