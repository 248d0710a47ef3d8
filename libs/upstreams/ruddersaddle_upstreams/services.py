"""Client of plain services."""

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
"""Headers that concern one connection, or this system alone, and are not forwarded."""


class ServiceClient:
    """Calls one plain service, each time on a new connection.

    A new connection costs a round trip, but on a reused one that the service has just closed the
    call's outcome would be unknown.
    """

    def __init__(self, address: str, connect_s: float, read_s: float) -> None:
        self.address = address
        self.connect_s = connect_s
        self.read_s = read_s

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Reply | Failure:
        """Forward a call and return its complete answer; a failure says whether it may have run."""
        connections = Connections(self.address, self.connect_s, self.read_s, idle_max=1)
        forwarded = {name: value for name, value in headers.items() if is_forwarded(name)}
        forwarded["Connection"] = "close"
        reply = connections.call(method, path, body, forwarded)
        connections.close()
        return reply


def is_forwarded(name: str) -> bool:
    """Return whether a header is forwarded."""
    return name.lower() not in HOP_BY_HOP_HEADERS
