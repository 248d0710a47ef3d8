"""Which connections of others the endpoint for messages between hosts keeps open.

Anybody who reaches the port can connect, and the messaging library reads one message of each
connection into memory, up to its largest size. So few connections are kept of addresses that are no
host's; an address of hosts has two for each, as a restarted host connects anew before its old
connection is known to be lost. Beyond that, the oldest connection gives way to the newest one.

The library calls this on threads of its own, one call at a time: it neither logs nor waits.
"""

from collections import Counter
from collections.abc import Iterable

import pynng

STRANGERS_MAX = 8
"""Connections of addresses that are no host's: new hosts connect before they are on the list."""
PIPES_PER_HOST = 2


class PipeGate:
    """Limits the connections by the address that they come from."""

    def __init__(self) -> None:
        self.closed = 0
        """Number of connections that were closed for others."""
        self._hosts_by_ip: Counter[str] = Counter()
        self._pipes_by_ip: dict[str, list[pynng.Pipe]] = {}

    def set_hosts(self, addresses: Iterable[str]) -> None:
        """Set the peer addresses of all known hosts."""
        self._hosts_by_ip = Counter(each.rpartition(":")[0] for each in addresses)

    def admit(self, pipe: pynng.Pipe) -> None:
        """Admit a new connection, and close the oldest of its kind if there are too many."""
        ip = _ip_of(pipe)
        self._pipes_by_ip.setdefault(ip, []).append(pipe)
        group, limit = self._group_of(ip)
        if len(group) > limit:
            self.closed += 1
            oldest = group[0]
            self.remove(oldest)
            oldest.close()

    def remove(self, pipe: pynng.Pipe) -> None:
        """Forget a connection that is closed."""
        for ip, pipes in self._pipes_by_ip.items():
            if pipe in pipes:
                pipes.remove(pipe)
                if not pipes:
                    del self._pipes_by_ip[ip]
                return

    def _group_of(self, ip: str) -> tuple[list[pynng.Pipe], int]:
        """Return the connections that share a limit with an address, and the limit."""
        hosts = self._hosts_by_ip
        if ip in hosts:
            return self._pipes_by_ip[ip], PIPES_PER_HOST * hosts[ip] + STRANGERS_MAX
        strangers = [
            pipe for each, pipes in self._pipes_by_ip.items() if each not in hosts for pipe in pipes
        ]
        return strangers, STRANGERS_MAX


def _ip_of(pipe: pynng.Pipe) -> str:
    return str(pipe.remote_address).rpartition(":")[0]
