"""Which connections of others the endpoint for messages between hosts keeps open.

Anybody who reaches the port can connect, and the messaging library reads one message of each
connection into memory, up to its largest size. So each address has few connections: some for
somebody who isn't known yet, as new hosts connect before they are on the list, and two for each
known host, as a restarted host connects anew before its old connection is known to be lost. Beyond
that, the oldest connection gives way to the newest one.

The library calls this on threads of its own, one call at a time: it neither logs nor waits.
"""

from collections import Counter
from collections.abc import Iterable

import pynng

UNKNOWN_PIPES = 8
"""Connections of one address beside those of its known hosts."""
PIPES_PER_HOST = 2


class PipeGate:
    """Limits the connections of each address."""

    def __init__(self) -> None:
        self.closed = 0
        """Number of connections that gave way to others."""
        self._hosts_by_ip: Counter[str] = Counter()
        self._pipes_by_ip: dict[str, list[pynng.Pipe]] = {}

    def set_hosts(self, addresses: Iterable[str]) -> None:
        """Set the peer addresses of all known hosts."""
        self._hosts_by_ip = Counter(each.rpartition(":")[0] for each in addresses)

    def admit(self, pipe: pynng.Pipe) -> None:
        """Admit a new connection, and close the oldest of its address if there are too many."""
        ip = _ip_of(pipe)
        pipes = self._pipes_by_ip.setdefault(ip, [])
        pipes.append(pipe)
        if len(pipes) > UNKNOWN_PIPES + PIPES_PER_HOST * self._hosts_by_ip[ip]:
            self.closed += 1
            pipes.pop(0).close()

    def remove(self, pipe: pynng.Pipe) -> None:
        """Forget a connection that is closed."""
        for ip, pipes in self._pipes_by_ip.items():
            if pipe in pipes:
                pipes.remove(pipe)
                if not pipes:
                    del self._pipes_by_ip[ip]
                return


def _ip_of(pipe: pynng.Pipe) -> str:
    return str(pipe.remote_address).rpartition(":")[0]
