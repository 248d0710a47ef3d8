"""Socket options by which a connection whose other end fell silent is noticed.

A connection may go silent without a reset, for good, while new ones work. What was sent is given up
when it is not acknowledged in time; a connection on which nothing is under way is probed.
"""

import socket

UNACKNOWLEDGED_MS = 3000
"""TCP gives a connection up when sent bytes are not acknowledged for this long (TCP_USER_TIMEOUT).
As long as the platform takes to count a host as out of touch: shorter cuts are outlived."""
CALLER_UNACKNOWLEDGED_MS = 60_000
"""The same for callers, who may read slowly. A full window counts as unacknowledged, too, until
a whole segment of up to 64 KB fits into it: at 10 s, callers with buffers of 16 KB who read 80 KB/s
without a pause lost their answers."""
KEEPALIVE_IDLE_S = 1
"""A connection is probed when nothing has arrived on it for this long."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Probes without an answer after which a connection is given up: 3 s after it fell silent, unless
the bound on sent bytes comes first."""

LIVENESS_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
"""Level, name and value of each option."""


def set_listener_options(listener: socket.socket) -> None:
    """Set the options on the listener for callers; what it accepts inherits them."""
    for level, name, value in LIVENESS_OPTIONS:
        listener.setsockopt(level, name, value)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, CALLER_UNACKNOWLEDGED_MS)
