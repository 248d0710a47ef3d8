"""Connections to upstreams for callers' requests, kept open between requests.

A connection is used again only after a whole answer to the right request was read from it, and only
while nothing has arrived on it since: what arrives on an idle connection belongs to no request.
"""

import socket
from collections.abc import Mapping
from http.client import HTTPException

from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from urllib3.exceptions import HTTPError, ProtocolError
from urllib3.exceptions import TimeoutError as TimeoutErrorOfLibrary
from urllib3.response import BaseHTTPResponse
from urllib3.util import SKIP_HEADER

from ruddersaddle_serving.ports import AnswerHead, Wire
from ruddersaddle_serving.reset_sockets import UpstreamConnection
from ruddersaddle_serving.socket_liveness import LIVENESS_OPTIONS, UNACKNOWLEDGED_MS

CONNECT_S = 0.35
"""Longest wait for a connection. Upstreams take one in a few milliseconds; a host that gets no
processor for a moment must not take its own pause for theirs. 0.15 s served no more callers where
hosts share which upstreams are silent (replay with a quarter of the engines dark)."""
IDLE_S = 4.0
"""Idle connections are kept this long where the upstream names no time of its own."""
IDLE_MARGIN_S = 1.0
"""An idle connection is left alone this long before the upstream would close it."""
IDLE_MAX = 32
"""Idle connections kept for each address."""
READ_BYTES = 65536
LONG_BODY = 65536
"""Bodies over this size, in bytes, may have to wait until the upstream reads: it is the room that
Linux offers on a new connection."""
UNACKNOWLEDGED_S = UNACKNOWLEDGED_MS / 1000
SOCKET_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1), *LIVENESS_OPTIONS]
ERRORS = (HTTPError, HTTPException, OSError, ValueError)
BREAKS = (ConnectionError, TimeoutError)
"""Ends of a connection; what arrived before can still be read."""
ENDS = (ProtocolError, HTTPException, OSError)
"""Ends of a connection in the middle of an exchange, as the library tells them."""
TIMEOUTS = (TimeoutError, TimeoutErrorOfLibrary)
SKIPPED = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}


class IdleConnection:
    """A connection that waits for its next request."""

    def __init__(self, connection: UpstreamConnection, until: float) -> None:
        self.connection = connection
        self.until = until

    @property
    def is_usable(self) -> bool:
        """Whether it is young enough and nothing has arrived on it."""
        return clocks.now_s() < self.until and self.connection.is_quiet


class Exchange:
    """One request on one connection, and its answer."""

    def __init__(self, pool: "UpstreamConnections", connection: UpstreamConnection) -> None:
        self.pool = pool
        self.connection = connection
        self.raw: BaseHTTPResponse | None = None
        self.head: AnswerHead | None = None
        self.whole = False
        self.is_broken = False
        """Whether the connection ended before the answer did, other than by a time-out."""
        self._is_long = False
        self._break: Exception | None = None
        """What ended the sending early."""

    def send(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
        remaining_s: float,
    ) -> Failure | None:
        """Send the request; after a failure it may have run.

        An upstream may read a long body late: the request's own time bounds how late.
        """
        sent = {
            name: value for name, value in SKIPPED.items() if name.lower() not in _names(headers)
        }
        sent.update(headers)
        data = body if body or method not in ("GET", "HEAD", "DELETE") else None
        try:
            self._allow_for(body, remaining_s)
            self.connection.request(
                method, target, data, sent, preload_content=False, decode_content=False
            )
        except BREAKS as error:
            # Upstreams may answer and close before they have read all: a 413 was lost here.
            self._break = error
        except ERRORS as error:
            return self._fail(Step.SEND, error)
        return None

    def _allow_for(self, body: bytes, remaining_s: float) -> None:
        """Let a long body wait for its upstream.

        TCP counts what waits before a full window as not acknowledged, too: upstreams that read
        nothing for 5 s were given up after 3.2 s.
        """
        self._is_long = len(body) > LONG_BODY
        if self._is_long:
            self.connection.give_up_after(max(remaining_s, UNACKNOWLEDGED_S))

    def read_head(self, wire: Wire) -> AnswerHead | Failure:
        """Wait for the head of the answer."""
        try:
            self.raw = self.connection.getresponse()
        except ERRORS as error:
            return self._fail(Step.READ, self._break or error)
        if self._break is not None and not self._is_delimited:
            # Its end would look the same as the break.
            return self._fail(Step.SEND, self._break)
        headers = tuple((name, value) for name, value in self.raw.headers.items())
        self.head = wire.read_answer(self.raw.status, headers)
        return self.head

    def read_some(self) -> bytes | Failure:
        """Return bytes of the body as they arrive; empty at its end."""
        try:
            data = self.raw.read1(READ_BYTES, decode_content=False)
        except ERRORS as error:
            return self._fail(Step.READ, error)
        if not data:
            self.whole = True
        return data

    def read_all(self, bytes_max: int) -> bytes | Failure:
        """Return the whole body."""
        parts: list[bytes] = []
        size = 0
        while True:
            data = self.read_some()
            if isinstance(data, Failure):
                return data
            if not data:
                return b"".join(parts)
            size += len(data)
            if size > bytes_max:
                return self._fail(Step.READ, ValueError("the answer is too large"))
            parts.append(data)

    def finish(self) -> None:
        """Keep the connection if its answer was read whole, or close it."""
        if not self.whole or not self._may_be_kept():
            self.connection.close()
            return
        if self._is_long:
            self.connection.give_up_after(UNACKNOWLEDGED_S)
        self.pool.keep(self.connection, self.head.keep_idle_s)

    def _may_be_kept(self) -> bool:
        if self.raw is None or self.raw.version != 11 or self._break is not None:
            return False
        if "close" in self.raw.headers.get("Connection", "").lower() or not self._is_delimited:
            return False
        # An upstream may answer first and read on later; a next request would wait behind the body.
        return not (self._is_long and self.connection.has_unacknowledged)

    @property
    def _is_delimited(self) -> bool:
        """Whether the answer itself says where it ends."""
        headers = self.raw.headers
        sized = headers.get("Content-Length") is not None
        return sized or headers.get("Transfer-Encoding", "").lower() == "chunked"

    def _fail(self, step: Step, error: Exception) -> Failure:
        self.is_broken = isinstance(error, ENDS) and not isinstance(error, TIMEOUTS)
        detail = f"{type(error).__name__}: {error}"
        return Failure(Code.UPSTREAM_FAILED, step, self.pool.address, detail, Ran.UNKNOWN)


class UpstreamConnections:
    """The connections to one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.opened = 0
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle: list[IdleConnection] = []

    @property
    def has_idle(self) -> bool:
        """Whether the next request probably needs no new connection."""
        return any(idle.is_usable for idle in self._idle)

    def begin(self) -> Exchange | Failure:
        """Return an exchange on an idle connection, or on a new one."""
        while self._idle:
            idle = self._idle.pop()
            if idle.is_usable:
                return Exchange(self, idle.connection)
            idle.connection.close()
        connection = UpstreamConnection(
            self._host, self._port, timeout=CONNECT_S, socket_options=SOCKET_OPTIONS
        )
        try:
            connection.connect()
        except ERRORS as error:
            connection.close()
            detail = f"{type(error).__name__}: {error}"
            return Failure(Code.UPSTREAM_FAILED, Step.CONNECT, self.address, detail, Ran.NOT_RUN)
        self.opened += 1
        # Bounds on the answer are the request's own; it raises into whoever waits here.
        connection.timeout = None
        return Exchange(self, connection)

    def keep(self, connection: UpstreamConnection, idle_s: float | None) -> None:
        """Keep a connection for the next request."""
        kept_s = IDLE_S if idle_s is None else idle_s
        if kept_s <= IDLE_MARGIN_S or len(self._idle) >= IDLE_MAX:
            connection.close()
            return
        until = clocks.now_s() + kept_s - IDLE_MARGIN_S
        self._idle.append(IdleConnection(connection, until))

    def close_expired(self) -> None:
        """Close idle connections that are too old."""
        usable = [idle for idle in self._idle if idle.is_usable]
        for idle in set(self._idle) - set(usable):
            idle.connection.close()
        self._idle = usable

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()


def _names(headers: Mapping[str, str]) -> set[str]:
    return {name.lower() for name in headers}
