"""Allocates loopback ports for the processes of a test, without conflicts between test processes.

A port found by binding to port 0 and closing the socket may be taken before the process binds it:
by an outgoing connection, or by another test. That made 2 of 26 parallel soak runs fail to start a
host. So ports are taken from below the ephemeral range of the system, and each test process
reserves blocks of them by sockets that stay bound.
"""

import atexit
import itertools
import socket
import threading
from collections.abc import Iterator

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
END_PORT = 32_000
"""The ephemeral ports of Linux begin at 32,768 (`ip_local_port_range`)."""
BLOCK_SIZE = 50
"""Ports per block; the first one is bound to reserve the block."""

_lock = threading.Lock()


def _allocate_ports() -> Iterator[int]:
    for first in range(FIRST_PORT, END_PORT, BLOCK_SIZE):
        reservation = socket.socket()
        try:
            reservation.bind((LOOPBACK, first))
        except OSError:
            # Another test process has reserved this block.
            reservation.close()
            continue
        # The registration keeps the socket open as long as the process lives.
        atexit.register(reservation.close)
        yield from filter(_is_free, range(first + 1, first + BLOCK_SIZE))
    raise OSError("all port blocks are reserved by other processes")


def _is_free(port: int) -> bool:
    """Return whether nothing listens there; programs other than tests may."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


_ports = _allocate_ports()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are given to nothing else while this process lives."""
    with _lock:
        return list(itertools.islice(_ports, count))
