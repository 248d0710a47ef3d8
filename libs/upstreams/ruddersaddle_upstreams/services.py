"""Calls of plain services."""

from collections.abc import Mapping

from ruddersaddle_base.failures import Failure

from ruddersaddle_upstreams.connections import Connections, Reply

HOP_BY_HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection, or to us, and are not passed on."""


class ServiceClient:
    """Calls one plain service; each call has a connection of its own.

    A fresh connection costs a round trip, but a kept one that the service has just closed would
    leave the call's outcome unknown.
    """

    def __init__(self, address: str, connect_s: float, read_s: float) -> None:
        self.address = address
        self.connect_s = connect_s
        self.read_s = read_s

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Reply | Failure:
        """Pass a call on and return its whole answer; a failure says whether it may have run."""
        connections = Connections(self.address, self.connect_s, self.read_s, keep=1)
        forwarded = {name: value for name, value in headers.items() if is_forwarded(name)}
        forwarded["Connection"] = "close"
        reply = connections.call(method, path, body, forwarded)
        connections.close()
        return reply


def is_forwarded(name: str) -> bool:
    """Return whether a header is passed on."""
    return name.lower() not in HOP_BY_HOP_HEADERS
