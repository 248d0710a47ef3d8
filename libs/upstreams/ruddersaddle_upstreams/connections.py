"""HTTP connections to one upstream, and replies that are read completely or closed.

A connection whose reply was not read to its end is closed and never reused, so that a late answer
can't reach another request.
"""

from collections.abc import Mapping

import msgspec
import urllib3
from ruddersaddle_base.answer_framings import Framing, framing_of
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.strict_answers import StrictAnswer

READ_BYTES = 65536
OK = 200
CHUNK_END = b"\r\n"
"""End of a chunk; stays in the buffer until the next chunk is read."""
HTTP_ERRORS = (urllib3.exceptions.HTTPError, OSError)
NOT_SENT_ERRORS = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
"""Errors that prove that no byte of the request was sent."""


TIMEOUTS = (urllib3.exceptions.ConnectTimeoutError, urllib3.exceptions.ReadTimeoutError)
TIMEOUT_NAMES = frozenset(error.__name__ for error in TIMEOUTS)


class Reply(msgspec.Struct, frozen=True):
    """A complete answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class OpenReply:
    """An answer that is still being read; must be closed unless it is read to its end."""

    def __init__(self, raw: urllib3.BaseHTTPResponse, address: str, method: str) -> None:
        self.raw = raw
        self.method = method
        self.address = address
        self.status = raw.status

    @property
    def is_delimited(self) -> bool:
        """Whether the answer is framed by a length or chunks, so that truncation is detected."""
        framing = framing_of(self.method, self.status, self.raw.headers)
        return framing is Framing.DELIMITED

    def read_some(self) -> bytes | Failure:
        """Return the bytes that have arrived, waiting for some; empty at the end."""
        try:
            data = self.raw.read1(READ_BYTES)
            parts = [data]
            while data and self._has_more():
                data = self.raw.read1(READ_BYTES)
                parts.append(data)
        except HTTP_ERRORS as error:
            return transport_failure(Step.READ, self.address, error, Ran.UNKNOWN)
        return b"".join(parts)

    def _has_more(self) -> bool:
        """Return whether a read would return bytes without waiting.

        Each read returns one chunk at most; reading on while bytes are available lets many tokens
        be forwarded in one write. `peek` of a buffered reader on a non-blocking socket shows it.
        """
        file = getattr(self.raw._fp, "fp", None)
        if file is None:
            return False
        socket = file.raw._sock
        timeout = socket.gettimeout()
        socket.setblocking(False)
        try:
            return len(file.peek(1)) > len(CHUNK_END)
        finally:
            socket.settimeout(timeout)

    def close(self) -> None:
        """Close the connection, which makes the upstream stop."""
        self.raw.close()

    def release(self) -> None:
        """Return the connection to the pool, after the answer was read to its end."""
        self.raw.release_conn()


class StrictConnection(urllib3.connection.HTTPConnection):
    """A connection on which a cut chunked answer is noticed wherever it was cut."""

    response_class = StrictAnswer


class Connections:
    """The connections to one address."""

    def __init__(self, address: str, connect_s: float, read_s: float, idle_max: int = 16) -> None:
        self.address = address
        self.timeout = urllib3.Timeout(connect=connect_s, read=read_s)
        host, _, port = address.partition(":")
        self.pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=idle_max, retries=False)
        self.pool.ConnectionCls = StrictConnection

    def open(
        self, method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> OpenReply | Failure:
        """Send a request and return its answer as soon as the headers have arrived."""
        try:
            raw = self.pool.urlopen(
                method,
                path,
                body=body,
                headers=dict(headers or {}),
                timeout=self.timeout,
                preload_content=False,
                redirect=False,
            )
        except NOT_SENT_ERRORS as error:
            return transport_failure(Step.CONNECT, self.address, error, Ran.NOT_RUN)
        except HTTP_ERRORS as error:
            return transport_failure(Step.SEND, self.address, error, Ran.UNKNOWN)
        return OpenReply(raw, self.address, method)

    def call(
        self, method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> Reply | Failure:
        """Send a request and return its complete answer."""
        opened = self.open(method, path, body, headers)
        if isinstance(opened, Failure):
            return opened
        try:
            data = opened.raw.read()
        except HTTP_ERRORS as error:
            opened.close()
            return transport_failure(Step.READ, self.address, error, Ran.UNKNOWN)
        if not opened.is_delimited:
            opened.close()
            detail = "the answer has neither a length nor chunks"
            return Failure(Code.UPSTREAM_FAILED, Step.READ, self.address, detail, Ran.UNKNOWN)
        opened.release()
        return Reply(opened.status, tuple(opened.raw.headers.items()), data)

    def call_ok(
        self,
        method: str,
        path: str,
        body: bytes,
        step: Step,
        headers: Mapping[str, str] | None = None,
    ) -> bytes | Failure:
        """Send a request and return the answer's body; any status but 200 is a failure."""
        reply = self.call(method, path, body, headers)
        if isinstance(reply, Failure):
            return reply
        if reply.status != OK:
            detail = f"status {reply.status}"
            return Failure(Code.UPSTREAM_FAILED, step, self.address, detail, Ran.UNKNOWN)
        return reply.body

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close()


def transport_failure(step: Step, address: str, error: Exception, ran: Ran) -> Failure:
    """Return the failure that describes a transport error."""
    return Failure(Code.UPSTREAM_FAILED, step, address, type(error).__name__, ran)


def is_timeout(failure: Failure) -> bool:
    """Return whether a call failed by a timeout."""
    return failure.detail in TIMEOUT_NAMES
