"""HTTP from callers: eventlet's WSGI protocol with stricter framing and time limits."""

import logging
import re
import socket
import struct
from enum import Enum
from http.client import responses
from http.server import BaseHTTPRequestHandler
from typing import BinaryIO

import msgspec
from eventlet import wsgi
from eventlet.wsgi import STATE_IDLE, STATE_REQUEST, HttpProtocol
from ruddersaddle_base import clocks

from ruddersaddle_serving.caller_bodies import CallerInput
from ruddersaddle_serving.caller_budgets import CONNECTION_BYTES, Holding, NoRoomError, Phase
from ruddersaddle_serving.caller_pools import HOLDING_INDEX, STATE_INDEX
from ruddersaddle_serving.deferred_timeouts import DeferredTimeout
from ruddersaddle_serving.read_turns import TURNS
from ruddersaddle_serving.routes import CallerLimits

logger = logging.getLogger(__name__)

HTTP_1_0 = "HTTP/1.0"
HTTP_1_1 = "HTTP/1.1"
AWAIT_CLOSE_S = 1.0
DISCARD_BYTES = 65536
LINGER = struct.Struct("ii")
"""The value of SO_LINGER: whether it is on, and seconds; 0 s resets the connection on close."""
HEAD_BYTES_MAX = 1 << 20
"""Replaces the library's own limits, which are below what configurations allow (8 KB a line)."""
wsgi.MAX_HEADER_LINE = HEAD_BYTES_MAX
wsgi.MAX_TOTAL_HEADER_SIZE = HEAD_BYTES_MAX
HEAD_SPACE_BYTES = 1024
"""Bytes of white space around values that a head may have beyond its limit."""
HEAD_LINE_BYTES = 800
"""Memory of a parsed line of a head, in addition to its text; measured."""
HEAD_COPIES = 4
"""How often the text of a head is kept: as it came, parsed, and as the request's variables."""
REQUESTS_PER_TURN = 8
"""Requests of one connection after which its task takes a turn, if they have arrived already."""

RELAY_HEAD_BYTES = 4096
"""Largest size of the headers that a host adds to a relayed request."""
RELAY_IDLE_S = 10.0
"""Idle time of connections between hosts; the sender stops using one earlier."""
CONTENT_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}\Z")
TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
"""A method or a header name (RFC 9110, section 5.6.2)."""
REQUEST_LINE_PATTERN = re.compile(TOKEN.encode() + rb" (/[\x21-\x7e]*) HTTP/1\.[01]\r\n\Z")
"""A request line with a target in origin form (RFC 9112, section 3)."""
CONTROL_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
"""Characters that no header value holds (RFC 9110, section 5.5)."""
OPTIONAL_SPACE = " \t"
"""White space around a header value that is no part of it (RFC 9110, section 5.6.3)."""
HEADER_NAME_PATTERN = re.compile(TOKEN + r"\Z")
LOGGED_LINE_BYTES = 80
"""Bytes of a refused request line in the log."""


class HeadFault(Enum):
    """Why a request's head is refused."""

    UNREADABLE = "unreadable"
    REQUEST_LINE = "request_line"
    LINE_END = "line_end"
    FIELD = "field"
    HOST = "host"
    FRAMING = "framing"
    VERSION = "version"
    TOO_LARGE = "too_large"
    TIMEOUT = "timeout"
    NO_ROOM = "no_room"


STATUS_BY_FAULT = {
    HeadFault.VERSION: 505,
    HeadFault.TOO_LARGE: 431,
    HeadFault.TIMEOUT: 408,
    HeadFault.NO_ROOM: 503,
}
"""Status by fault; all other faults get 400."""
NO_ROOM_RETRY_S = 1
"""Retry delay of a request whose head found no room."""


class HeadTooLargeError(Exception):
    """A head is longer than its limit, whatever is still to come of it."""


class HeadLines:
    """Reads the lines of a head up to its limit, and notices those that don't end with CR and LF.

    A recipient before or behind this one may not take a lone LF for a line's end.
    """

    def __init__(self, file: BinaryIO, bytes_max: int) -> None:
        self.file = file
        self.has_bare_end = False
        self.size = 0
        self.count = 0
        self._bytes_max = bytes_max

    @property
    def closed(self) -> bool:
        """Whether the file is closed."""
        return self.file.closed

    def readline(self, size: int = -1) -> bytes:
        """Read one line, or `size` bytes of it."""
        left = self._bytes_max + 1 - self.size
        line = self.file.readline(left if size < 0 else min(size, left))
        self.size += len(line)
        self.count += 1
        if self.size > self._bytes_max:
            raise HeadTooLargeError
        self.has_bare_end |= line.endswith(b"\n") and not line.endswith(b"\r\n")
        return line


class HeadTimeout(DeferredTimeout):
    """Raised if a caller takes too long to send a request's head."""


class CallerProtocol(HttpProtocol):
    """One connection of a caller."""

    minimum_chunk_size = 0
    """Forward events as they arrive; by default, the server buffers 4 KB."""
    is_unframed_answer_open = False
    """Whether an answer that ends with its connection is being written."""
    has_unframed_answer = False
    """Whether the connection's last answer ends with it."""
    has_unread_rest = False
    """Whether the rest of a request is left unread."""
    holding: Holding
    """What is kept for this connection."""
    _lines: HeadLines
    """The lines of the head that is being read."""
    _requests = 0

    def setup(self) -> None:
        """Prepare the connection."""
        super().setup()
        self.holding = self.conn_state[HOLDING_INDEX]

    @property
    def limits(self) -> CallerLimits:
        """The limits that are in effect now."""
        return self.server.app.limits

    def handle_one_request(self) -> None:
        """Wait for a request within the idle timeout, then its head within the head timeout."""
        if not self._await_request():
            self.close_connection = True
            return
        if self.conn_state[STATE_INDEX] == STATE_IDLE:
            # The library counts the connection as idle until it has read a complete line. A planned
            # stop thus closed 40 of 40 connections whose first bytes had arrived.
            self.conn_state[STATE_INDEX] = STATE_REQUEST
        limits = self.limits
        self._head_timer = HeadTimeout(limits.header_timeout_s)
        self.holding.enter(Phase.READING)
        self.raw_requestline = b""
        try:
            if self.holding.resize(CONNECTION_BYTES + limits.header_bytes):
                super().handle_one_request()
            else:
                self._refuse(HeadFault.NO_ROOM)
        except HeadTimeout:
            self._refuse(HeadFault.TIMEOUT)
        except HeadTooLargeError:
            self._refuse(HeadFault.TOO_LARGE)
        except NoRoomError:
            self._refuse(HeadFault.NO_ROOM)
        finally:
            self._head_timer.cancel()
            self.holding.end_request()

    def _read_request_line(self) -> bytes:
        """Read the first line of a head; called by the library."""
        file = self.rfile
        self._lines = HeadLines(file, self.limits.header_bytes + HEAD_SPACE_BYTES)
        self.rfile = self._lines
        try:
            return super()._read_request_line()
        finally:
            self.rfile = file

    def _await_request(self) -> bool:
        """Return whether the first byte of a request arrived."""
        self._requests += 1
        if self._requests % REQUESTS_PER_TURN == 0:
            TURNS.take()
        try:
            with DeferredTimeout(self.limits.idle_timeout_s, False):
                return bool(self.rfile.peek(1))
        except (OSError, ValueError):
            # The connection was reset, or closed by a planned stop.
            pass
        return False

    def parse_request(self) -> bool:
        """Parse the head; refuse requests with ambiguous framing (request smuggling)."""
        lines = self._lines
        file, lines.file = self.rfile, self.rfile
        self.rfile = lines
        lines.has_bare_end = False
        try:
            if not super().parse_request():
                return False
        finally:
            self.rfile = file
        self._head_timer.cancel()
        fault = HeadFault.LINE_END if lines.has_bare_end else self._find_fault()
        fault = fault or self._take_room(lines)
        if fault is None:
            return True
        self._refuse(fault)
        return False

    def _take_room(self, lines: HeadLines) -> HeadFault | None:
        """Take the room for a request with this head."""
        size = CONNECTION_BYTES + HEAD_COPIES * lines.size + HEAD_LINE_BYTES * lines.count
        self.holding.enter(Phase.RUNNING)
        return None if self.holding.resize(size) else HeadFault.NO_ROOM

    def _find_fault(self) -> HeadFault | None:
        line = REQUEST_LINE_PATTERN.match(self.raw_requestline)
        if line is None:
            return HeadFault.REQUEST_LINE
        if self.headers.defects:
            return HeadFault.FIELD
        # The library shortens leading slashes, which would make it another path.
        self.path = line.group(1).decode("ascii")
        size = len(self.raw_requestline)
        for name, value in self.headers.items():
            size += len(name) + len(value) + 4
            if not HEADER_NAME_PATTERN.match(name) or CONTROL_PATTERN.search(value):
                return HeadFault.FIELD
        if len(self.headers.get_all("host", [])) > 1:
            return HeadFault.HOST
        if size > self.limits.header_bytes:
            return HeadFault.TOO_LARGE
        return None if self._is_framing_unambiguous() else HeadFault.FRAMING

    def _is_framing_unambiguous(self) -> bool:
        """Return whether the body's length is stated once and clearly (RFC 9112, section 6)."""
        lengths = self.headers.get_all("content-length", [])
        encodings = self.headers.get_all("transfer-encoding", [])
        if len(lengths) > 1 or len(encodings) > 1 or (lengths and encodings):
            return False
        if lengths and not CONTENT_LENGTH_PATTERN.match(lengths[0].strip(OPTIONAL_SPACE)):
            return False
        return not encodings or encodings[0].strip(OPTIONAL_SPACE).lower() == "chunked"

    def _refuse(self, fault: HeadFault) -> None:
        self.close_connection = True
        self.has_unread_rest = True
        counts = self.server.app.head_faults
        counts[fault.value] = counts.get(fault.value, 0) + 1
        line = bytes(self.raw_requestline)[:LOGGED_LINE_BYTES]
        logger.info("Head of a request refused: %s.", fault.value, extra={"line": repr(line)})
        status = STATUS_BY_FAULT.get(fault, 400)
        head = f"HTTP/1.1 {status} {responses[status]}\r\nConnection: close\r\n"
        if fault is HeadFault.NO_ROOM:
            head += f"Retry-After: {NO_ROOM_RETRY_S}\r\n"
        try:
            self.wfile.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            self.wfile.flush()
        except OSError:
            # The caller has disconnected.
            return

    def leave_rest(self) -> None:
        """Close the connection after the answer, as the rest of the request stays unread."""
        self.close_connection = 1
        self.has_unread_rest = True

    @property
    def can_use_chunks(self) -> bool:
        """Whether the caller's version of HTTP has chunks."""
        return self.request_version == HTTP_1_1

    def begin_unframed_answer(self) -> None:
        """Answer without a length or chunks; the answer ends with its connection.

        Until `end_unframed_answer`, the connection is reset however it is closed, the end of the
        process included: an orderly close would look like the answer's end.
        """
        self.is_unframed_answer_open = True
        self.has_unframed_answer = True
        self.close_connection = True
        # The library uses chunks for requests of HTTP/1.1 only.
        self.request_version = HTTP_1_0
        self._set_reset_on_close(True)

    def end_unframed_answer(self) -> None:
        """Let the connection be closed in order, once the answer was written to its end."""
        if self.is_unframed_answer_open:
            self.is_unframed_answer_open = False
            self._set_reset_on_close(False)

    def _set_reset_on_close(self, resets: bool) -> None:
        linger = LINGER.pack(resets, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def finish(self) -> None:
        """Close the connection, without a shutdown if it is to be reset."""
        if not self.is_unframed_answer_open:
            if self.has_unframed_answer or self.has_unread_rest:
                self._await_close()
            super().finish()
            return
        try:
            BaseHTTPRequestHandler.finish(self)
        except OSError as error:
            logger.debug("A broken answer was not written completely. %s", error)
        self.connection.close()

    def _await_close(self) -> None:
        """Wait a moment for the caller's close after the end of the answer.

        Closing a connection with unread bytes resets it, and the caller would lose the end.
        """
        self.holding.enter(Phase.READING)
        with DeferredTimeout(AWAIT_CLOSE_S, False):
            try:
                self.connection.shutdown(socket.SHUT_WR)
                while self.connection.recv(DISCARD_BYTES):
                    TURNS.take()
            except OSError as error:
                logger.debug("The caller closed its connection first. %s", error)
            except NoRoomError:
                logger.debug("The connection gives way to another.")

    def get_environ(self) -> dict[str, object]:
        """Add what the front needs: the target as sent, the connection, the start time."""
        environ = super().get_environ()
        environ["caller.target"] = self.path
        environ["caller.connection"] = self.connection
        environ["caller.protocol"] = self
        body = CallerInput(
            environ["eventlet.input"],
            self.holding,
            self.limits.header_timeout_s,
            self.leave_rest,
        )
        environ["wsgi.input"] = environ["eventlet.input"] = body
        environ["caller.began"] = clocks.now_s()
        return environ

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Answer a head that can't be parsed, without the library's error page."""
        match code:
            case 431 | 414:
                self._refuse(HeadFault.TOO_LARGE)
            case 505:
                self._refuse(HeadFault.VERSION)
            case _:
                self._refuse(HeadFault.UNREADABLE)

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Discard the library's own log lines; requests are logged by the front."""


class RelayProtocol(CallerProtocol):
    """One connection of another host, which relays its callers' requests.

    That host has checked its callers' limits. It reuses a connection for some seconds and adds some
    headers, so that the limits on idle connections and heads are wider here.
    """

    @property
    def limits(self) -> CallerLimits:
        """The limits that are in effect now."""
        limits = super().limits
        return msgspec.structs.replace(
            limits,
            header_bytes=limits.header_bytes + RELAY_HEAD_BYTES,
            idle_timeout_s=max(limits.idle_timeout_s, RELAY_IDLE_S),
        )

    def get_environ(self) -> dict[str, object]:
        """Mark the request as relayed."""
        return {**super().get_environ(), "caller.is_relayed": True}
