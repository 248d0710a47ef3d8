"""Connections to upstreams for callers' requests, kept open between requests.

A connection is reused only after a complete answer to the right request was read from it, and only
while nothing has arrived on it since: bytes on an idle connection belong to no request. It carries
each request id once: answers name ids, so a late answer to the first sending of an id would pass
for the answer to a second one on the same connection.
"""

import io
import logging
import socket
from collections.abc import Mapping
from http.client import HTTPException

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.answer_framings import Framing, framing_of
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import RequestId
from ruddersaddle_base.strict_answers import EndlessAnswerError, UnusableAnswerError
from urllib3.exceptions import HTTPError, InvalidHeader, ProtocolError
from urllib3.exceptions import TimeoutError as LibraryTimeoutError
from urllib3.response import BaseHTTPResponse
from urllib3.util import SKIP_HEADER

from ruddersaddle_serving.buffer_shares import BufferShare
from ruddersaddle_serving.deferred_timeouts import DeferredTimeout
from ruddersaddle_serving.ports import AnswerHead, Wire
from ruddersaddle_serving.reset_sockets import UpstreamConnection
from ruddersaddle_serving.socket_liveness import LIVENESS_OPTIONS, UNACKNOWLEDGED_MS
from ruddersaddle_serving.upstream_paths import Acknowledgement

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.35
"""Upstreams accept a connection within a few milliseconds; the timeout is much longer so that a
host that is not scheduled for a moment doesn't blame the upstream for its own pause. 0.15 s served
no more callers with a quarter of the engines down, as hosts share which upstreams are
unresponsive."""
IDLE_TIMEOUT_S = 4.0
"""Keep-alive time of idle connections if the upstream states none."""
IDLE_MARGIN_S = 1.0
"""An idle connection is no longer reused this long before the upstream would close it."""
IDLE_MAX = 32
"""Largest number of idle connections for each address."""
ACCEPTANCE_S = 0.01
"""Time after which a new connection counts as accepted: an upstream with too many open ones resets
it at once. A request that was sent on it by then might have run."""
REJECTIONS_REMEMBERED_S = 10.0
"""How long after a connection was rejected all requests wait until theirs are accepted; those that
may run once only always do."""
REQUESTS_MAX = 250
"""Requests for which one connection is used. It remembers their ids, in 8 bytes each, and compares
them one by one, within 10 us."""
READ_BYTES = 65536
ANSWER_BYTES_MAX = 16 * 1024 * 1024
"""Largest answer that is buffered before it is forwarded, in bytes."""
LONG_BODY_BYTES = 65536
"""Larger bodies may block until the upstream reads: this is the receive window that Linux offers on
a new connection."""
UNACKNOWLEDGED_S = UNACKNOWLEDGED_MS / 1000
SOCKET_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1), *LIVENESS_OPTIONS]
ERRORS = (HTTPError, HTTPException, OSError, ValueError)
SEND_BREAK_ERRORS = (ConnectionError, TimeoutError)
"""Errors of sending after which an answer that arrived before can still be read."""
CONNECTION_LOST_ERRORS = (ProtocolError, HTTPException, OSError)
"""Errors that the HTTP library raises if a connection ends in the middle of an exchange."""
TIMEOUTS = (TimeoutError, LibraryTimeoutError)
SKIPPED = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}


class IdleConnection:
    """A connection kept for a later request."""

    def __init__(self, connection: UpstreamConnection, until: float) -> None:
        self.connection = connection
        self.until = until

    @property
    def is_usable(self) -> bool:
        """Whether its keep-alive time has not passed and nothing has arrived on it."""
        return clocks.now_s() < self.until and self.connection.is_idle


class Exchange:
    """One request on one connection, and its answer."""

    def __init__(
        self, pool: "UpstreamConnections", connection: UpstreamConnection, is_new: bool = False
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.is_new = is_new
        """Whether the connection was opened for it."""
        self.raw: BaseHTTPResponse | None = None
        self.head: AnswerHead | None = None
        self.has_ended = False
        """Whether the answer was read to its end, and the end is not known to be too early."""
        self.is_broken = False
        """Whether the connection ended before the answer was complete, other than by a timeout."""
        self.has_invalid_head = False
        """Whether the head of the answer contradicts itself or is too long."""
        self._method = ""
        self._is_long = False
        self._share = BufferShare()
        self._send_error: Exception | None = None
        """The error that ended sending early."""

    def send(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
        remaining_s: float,
    ) -> Failure | None:
        """Send the request; after a failure it may have run.

        How late an upstream may read a long body is bounded by the request's remaining time.
        """
        self._method = method
        sent = {
            name: value for name, value in SKIPPED.items() if name.lower() not in _names(headers)
        }
        sent.update(headers)
        data: bytes | memoryview | None = body
        if not body and method in ("GET", "HEAD", "DELETE"):
            data = None
        try:
            self._allow_slow_upload(body, remaining_s)
            if self._is_long:
                # A green socket copies the rest of bytes each time that the upstream is slow.
                data = memoryview(body)
            self.connection.request(
                method, target, data, sent, preload_content=False, decode_content=False
            )
        except SEND_BREAK_ERRORS as error:
            # An upstream may answer (a 413, say) and close before it has read all; keep its answer.
            self._send_error = error
        except ERRORS as error:
            return self._fail(Step.SEND, error)
        return None

    def _allow_slow_upload(self, body: bytes, remaining_s: float) -> None:
        """Extend the TCP user timeout for a long body.

        TCP counts bytes waiting for a full receive window as unacknowledged, too: connections to
        upstreams that read nothing for 5 s were aborted after 3.2 s.
        """
        self._is_long = len(body) > LONG_BODY_BYTES
        if self._is_long:
            self.connection.set_user_timeout(max(remaining_s, UNACKNOWLEDGED_S))

    def read_head(self, wire: Wire) -> AnswerHead | Failure:
        """Wait for the head of the answer."""
        try:
            self.raw = self.connection.getresponse()
        except ERRORS as error:
            self.has_invalid_head = isinstance(error, InvalidHeader) or _is_unusable(error)
            return self._fail(Step.READ, self._send_error or error)
        framing = framing_of(self._method, self.raw.status, self.raw.headers)
        if self._send_error is not None and framing is not Framing.DELIMITED:
            # Without a length, the answer's end looks the same as the lost connection.
            return self._fail(Step.SEND, self._send_error)
        headers = tuple((name, value) for name, value in self.raw.headers.items())
        head = wire.read_answer(self.raw.status, headers)
        self.head = msgspec.structs.replace(head, framing=framing)
        return self.head

    def read_some(self) -> bytes | Failure:
        """Return bytes of the body as they arrive; empty at the end."""
        try:
            data = self.raw.read1(READ_BYTES, decode_content=False)
        except ERRORS as error:
            return self._fail(Step.READ, error)
        if not data:
            self.has_ended = True
        return data

    def break_off(self, detail: str) -> Failure:
        """Return the failure of an answer whose content shows that it ended too early.

        If the answer has no framing, its connection was lost, perhaps with the upstream's process.
        """
        self.has_ended = False
        self.is_broken = self.head.framing is Framing.CONNECTION
        return Failure(Code.UPSTREAM_FAILED, Step.READ, self.pool.address, detail, Ran.UNKNOWN)

    def refuse_rest(self, detail: str) -> Failure:
        """Return the failure of an answer that goes on beyond a bound; its connection is alive."""
        self.has_ended = False
        return self._fail(Step.READ, EndlessAnswerError(detail))

    def read_all(self, bytes_max: int) -> bytes | Failure:
        """Return the complete body, which is kept as one object while it is read."""
        body = io.BytesIO()
        size = 0
        while True:
            data = self.read_some()
            if isinstance(data, Failure):
                return data
            if not data:
                return body.getvalue()
            size += len(data)
            if size > bytes_max:
                return self.refuse_rest(f"a body of more than {bytes_max} bytes")
            if not self.has_room_for(size):
                return self.refuse_rest(f"{size} bytes to buffer, beside those of other answers")
            body.write(data)

    def has_room_for(self, size: int) -> bool:
        """Record that so much of the answer is buffered, if all answers leave room for it."""
        return self._share.resize(size)

    def drain(self, bytes_max: int, timeout_s: float) -> Failure | None:
        """Read the rest of a body that isn't used, so that the connection can be reused.

        Return why it was not read to its end; `finish` then closes the connection.
        """
        if self.head.framing is not Framing.DELIMITED:
            return self._fail(Step.READ, ValueError("its end can't be known"))
        body: bytes | Failure | None = None
        with DeferredTimeout(timeout_s, False):
            body = self.read_all(bytes_max)
        if body is None:
            return self._fail(Step.READ, ValueError(f"no end within {timeout_s} s"))
        return body if isinstance(body, Failure) else None

    def finish(self) -> None:
        """Release the connection for reuse if its answer was read completely, else close it."""
        self._share.release()
        if not self.has_ended or not self._is_reusable():
            self.connection.close()
            return
        if self._is_long:
            self.connection.set_user_timeout(UNACKNOWLEDGED_S)
        self.pool.release(self.connection, self.head.keep_alive_s)

    def _is_reusable(self) -> bool:
        if self.raw is None or self.raw.version != 11 or self._send_error is not None:
            return False
        if "close" in self.raw.headers.get("Connection", "").lower():
            return False
        if self.connection.carried_count >= REQUESTS_MAX:
            return False
        if self.head.framing is not Framing.DELIMITED:
            return False
        # An upstream may answer before it has read the body; a next request would queue behind it.
        return not (self._is_long and self.connection.has_unacknowledged_bytes)

    def check_acknowledgement(self) -> Acknowledgement:
        """Return whether the other end has acknowledged what was sent.

        Once it has, a long body no longer needs its longer time-out, which would also decide when
        keepalives give up.
        """
        if self.connection.sock is None:
            return Acknowledgement.COMPLETE
        if self.connection.has_unacknowledged_bytes:
            return Acknowledgement.PENDING if self._is_long else Acknowledgement.OVERDUE
        if self._is_long:
            self.connection.set_user_timeout(UNACKNOWLEDGED_S)
        return Acknowledgement.COMPLETE

    def _fail(self, step: Step, error: Exception) -> Failure:
        is_unusable = _is_unusable(error)
        is_lost = isinstance(error, CONNECTION_LOST_ERRORS) and not isinstance(error, TIMEOUTS)
        self.is_broken = is_lost and not is_unusable
        if self.is_broken and self.is_new and self.head is None:
            self.pool.record_rejection()
        detail = f"{type(error).__name__}: {error}"
        if is_unusable:
            logger.warning("Answer of %s not used: %s.", self.pool.address, detail)
        return Failure(Code.UPSTREAM_FAILED, step, self.pool.address, detail, Ran.UNKNOWN)


class UpstreamConnections:
    """The connections to one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.opened = 0
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle: list[IdleConnection] = []
        self._rejected_at = float("-inf")
        """When a new connection was last reset before its first answer."""

    @property
    def has_idle(self) -> bool:
        """Whether a connection is open that no request uses."""
        return any(idle.is_usable for idle in self._idle)

    def has_idle_for(self, request: RequestId) -> bool:
        """Return whether a request probably needs no new connection."""
        return any(
            idle.is_usable and not idle.connection.may_have_carried(request) for idle in self._idle
        )

    def open_exchange(self, request: RequestId, is_repeatable: bool = True) -> Exchange | Failure:
        """Return an exchange for a request, on an idle connection or on a new one."""
        connection = self._take_idle(request)
        is_new = connection is None
        if is_new:
            connection = self._open()
            if isinstance(connection, Failure):
                return connection
            is_rejecting = clocks.now_s() < self._rejected_at + REJECTIONS_REMEMBERED_S
            if is_rejecting or not is_repeatable:
                failure = self._await_acceptance(connection)
                if failure is not None:
                    return failure
        connection.record_carried(request)
        return Exchange(self, connection, is_new)

    def record_rejection(self) -> None:
        """Record that a new connection was reset before its first answer."""
        self._rejected_at = clocks.now_s()

    def _await_acceptance(self, connection: UpstreamConnection) -> Failure | None:
        """Wait until a new connection is probably accepted; return why it can't be used."""
        eventlet.sleep(ACCEPTANCE_S)
        if connection.is_idle:
            return None
        connection.close()
        self.record_rejection()
        detail = "the connection was closed as soon as it was open"
        return Failure(Code.OVERLOADED, Step.CONNECT, self.address, detail, Ran.NOT_RUN)

    def _take_idle(self, request: RequestId) -> UpstreamConnection | None:
        """Return the newest idle connection that hasn't carried the request's id."""
        passed_over: list[IdleConnection] = []
        try:
            while self._idle:
                idle = self._idle.pop()
                if not idle.is_usable:
                    idle.connection.close()
                elif idle.connection.may_have_carried(request):
                    passed_over.append(idle)
                else:
                    return idle.connection
            return None
        finally:
            self._idle.extend(reversed(passed_over))

    def open_idle(self) -> Failure | None:
        """Open a connection for later requests."""
        connection = self._open()
        if isinstance(connection, Failure):
            return connection
        self.release(connection, None)
        return None

    def _open(self) -> UpstreamConnection | Failure:
        connection = UpstreamConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_S, socket_options=SOCKET_OPTIONS
        )
        try:
            connection.connect()
        except ERRORS as error:
            connection.close()
            detail = f"{type(error).__name__}: {error}"
            return Failure(Code.UPSTREAM_FAILED, Step.CONNECT, self.address, detail, Ran.NOT_RUN)
        self.opened += 1
        # The wait for the answer is bounded by the request's own timeout, raised into this task.
        connection.timeout = None
        return connection

    def release(self, connection: UpstreamConnection, idle_s: float | None) -> None:
        """Keep a connection for a later request, or close it."""
        keep_alive_s = IDLE_TIMEOUT_S if idle_s is None else idle_s
        if keep_alive_s <= IDLE_MARGIN_S or len(self._idle) >= IDLE_MAX:
            connection.close()
            return
        until = clocks.now_s() + keep_alive_s - IDLE_MARGIN_S
        self._idle.append(IdleConnection(connection, until))

    def close_expired(self) -> None:
        """Close idle connections that are no longer usable."""
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


def _is_unusable(error: Exception) -> bool:
    """Return whether an answer violates the protocol; the library wraps what it raises."""
    causes = (error, *error.args) if isinstance(error, ProtocolError) else (error,)
    return any(isinstance(each, UnusableAnswerError) for each in causes)
