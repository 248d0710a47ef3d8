"""Loopback ports for processes that a test starts, kept apart from other tests' and callers' ports.

A port that was bound, noted and released could be taken before the process came up: by a connection
of any process, or by another test. Two of 26 soaks that ran beside one another failed to start a
host so. Ports here lie below those that the system gives to connections, and each test process
keeps the blocks that it draws from by a socket that stays bound.
"""

import atexit
import itertools
import socket
import threading
from collections.abc import Iterator

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
END_PORT = 32_000
"""Systems give ports from 32,768 on to connections (`ip_local_port_range`)."""
BLOCK = 50
"""Ports of one block; the first is the one that keeps it."""

_guard = threading.Lock()


def _take_ports() -> Iterator[int]:
    for first in range(FIRST_PORT, END_PORT, BLOCK):
        keeper = socket.socket()
        try:
            keeper.bind((LOOPBACK, first))
        except OSError:
            # Another test process keeps this block.
            keeper.close()
            continue
        # The registration holds the socket as long as the process lives.
        atexit.register(keeper.close)
        yield from filter(_is_free, range(first + 1, first + BLOCK))
    raise OSError("all blocks of ports are taken")


def _is_free(port: int) -> bool:
    """Return whether nothing listens there: a program outside of the tests may."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


_ports = _take_ports()


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that nothing else is given while this process lives."""
    with _guard:
        return list(itertools.islice(_ports, count))
