"""HTTP connections to one upstream, and replies that are read completely or closed.

A connection whose reply was not read to its end is closed and never reused, so that a late answer
can't reach another request.
"""

import io
import socket
import time
from collections.abc import Mapping
from functools import partial
from typing import Any

import msgspec
import urllib3
from ruddersaddle_base import clocks
from ruddersaddle_base.answer_framings import Framing, framing_of
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.strict_answers import StrictAnswer

READ_BYTES = 65536
ANSWER_BYTES_MAX = 64 << 20
"""Longest body of an answer to a call that has no limit of its own; stores send whole listings and
blocks of contexts."""
READS_PER_YIELD = 8
"""A green socket lets other tasks run only while nothing has arrived, so that an answer that is
sent as fast as it is read would stop them all; each read brings 64 kB at most."""
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


class BoundedReads(io.RawIOBase):
    """Reads an answer until it has taken too long as a whole, and lets other tasks run meanwhile.

    The time-out of a socket is that of each read, which an answer that comes byte by byte keeps to.
    """

    def __init__(self, raw: socket.SocketIO, whole_s: float | None) -> None:
        super().__init__()
        self._raw = raw
        self._sock = raw._sock
        self._until = None if whole_s is None else clocks.now_s() + whole_s
        self._reads = 0

    def readable(self) -> bool:
        """Return that it can be read; called by the library."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer; raise `TimeoutError` once the answer has taken too long."""
        self._reads += 1
        if self._reads % READS_PER_YIELD == 0:
            time.sleep(0)
        if self._until is not None:
            self._limit_wait(self._until - clocks.now_s())
        return self._raw.readinto(buffer)

    def _limit_wait(self, left_s: float) -> None:
        if left_s <= 0:
            raise TimeoutError("the answer has not ended in time")
        timeout_s = self._sock.gettimeout()
        if timeout_s is None or timeout_s > left_s:
            self._sock.settimeout(left_s)

    def close(self) -> None:
        """Close the socket's file."""
        self._raw.close()
        super().close()


class BoundedAnswer(StrictAnswer):
    """An answer that takes `whole_s` at most, from when its request was sent to its end."""

    def __init__(self, sock: Any, *args: Any, whole_s: float | None, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.fp = io.BufferedReader(BoundedReads(self.fp.detach(), whole_s))


class StrictConnection(urllib3.connection.HTTPConnection):
    """A connection on which a cut chunked answer is noticed wherever it was cut."""

    def __init__(self, *args: Any, whole_s: float | None = None, **options: Any) -> None:
        super().__init__(*args, **options)
        self.response_class = partial(BoundedAnswer, whole_s=whole_s)


class Connections:
    """The connections to one address.

    `read_s` limits the wait for the next bytes of an answer, `whole_s` its time as a whole.
    """

    def __init__(
        self,
        address: str,
        connect_s: float,
        read_s: float,
        idle_max: int = 16,
        whole_s: float | None = None,
    ) -> None:
        self.address = address
        self.timeout = urllib3.Timeout(connect=connect_s, read=read_s)
        host, _, port = address.partition(":")
        self.pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=idle_max, retries=False)
        self.pool.ConnectionCls = partial(StrictConnection, whole_s=whole_s)

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
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        bytes_max: int = ANSWER_BYTES_MAX,
    ) -> Reply | Failure:
        """Send a request and return its complete answer, of `bytes_max` at most."""
        opened = self.open(method, path, body, headers)
        if isinstance(opened, Failure):
            return opened
        try:
            data = _read_up_to(opened.raw, bytes_max)
        except HTTP_ERRORS as error:
            opened.close()
            return transport_failure(Step.READ, self.address, error, Ran.UNKNOWN)
        if not opened.is_delimited or data is None:
            opened.close()
            detail = "the answer has neither a length nor chunks"
            if data is None:
                detail = f"the answer has more than {bytes_max} bytes"
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
        bytes_max: int = ANSWER_BYTES_MAX,
    ) -> bytes | Failure:
        """Send a request and return the answer's body; any status but 200 is a failure."""
        reply = self.call(method, path, body, headers, bytes_max)
        if isinstance(reply, Failure):
            return reply
        if reply.status != OK:
            detail = f"status {reply.status}"
            return Failure(Code.UPSTREAM_FAILED, step, self.address, detail, Ran.UNKNOWN)
        return reply.body

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close()


def _read_up_to(raw: urllib3.BaseHTTPResponse, bytes_max: int) -> bytes | None:
    """Return an answer's body, or None if it has more than `bytes_max`."""
    parts, count = [], 0
    while data := raw.read1(READ_BYTES):
        count += len(data)
        if count > bytes_max:
            return None
        parts.append(data)
    return b"".join(parts)


def transport_failure(step: Step, address: str, error: Exception, ran: Ran) -> Failure:
    """Return the failure that describes a transport error."""
    return Failure(Code.UPSTREAM_FAILED, step, address, type(error).__name__, ran)


def is_timeout(failure: Failure) -> bool:
    """Return whether a call failed by a timeout."""
    return failure.detail in TIMEOUT_NAMES
