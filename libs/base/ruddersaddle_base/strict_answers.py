"""Reads heads and chunk sizes of HTTP answers whose connection may have been cut.

The library takes the end of the connection for the end of a head, and what came of a cut line with
a chunk's size for the size: of `0a`, the `0` alone, which is the size of the last chunk. Such
answers passed for complete. It also reads any number of interim answers and of trailers, and skips
none of the interim answers but 100. A status is any number from 100 to 999 to it, however written.
"""

import re
from http.client import (
    HTTPException,
    HTTPResponse,
    RemoteDisconnected,
    parse_headers,
)
from typing import BinaryIO

LINE_BYTES_MAX = 65536
"""Longest line with a chunk's size and extensions; the library's own limit."""
INTERIM_HEADS_MAX = 100
"""Most interim answers before the final one."""
HEAD_BYTES_MAX = 262144
"""Longest head, or trailers; the library bounds only their lines."""
HEAD_LINES_MAX = 101
"""Most lines of a head with its first and the blank one; the library's own limit."""
TRAILERS_MAX = 100
SWITCHING_PROTOCOLS = 101
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [1-5][0-9]{2}(?:[ \t].*)?\r?\n")
"""The first line of an answer (RFC 9112, section 4), which may lack the space before the reason;
statuses are 100 to 599 (RFC 9110, section 15)."""
LOGGED_BYTES = 40
"""Bytes of an invalid first line in an error."""
CONTROLS = frozenset({*range(0x20), 0x7F}) - {ord("\t")}
"""Bytes that no field has; the library takes some of them for ends of lines."""
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class UnusableAnswerError(HTTPException):
    """An answer violates the protocol; the connection itself is alive."""


class EndlessAnswerError(UnusableAnswerError):
    """A part of an answer exceeds its bound."""


class MalformedHeadError(UnusableAnswerError):
    """A line of a head is no field; the library drops it and all lines that follow."""


class InvalidStatusError(UnusableAnswerError):
    """The status of an answer is none, or none that answers the request."""


class HeadReader:
    """Reads the lines of heads for the library; each must be complete."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.close = file.close
        self.begin_head()

    def begin_head(self) -> None:
        """Count the bytes and lines of the next head."""
        self.size = 0
        self.lines = 0
        self.first_line = b""

    def readline(self, limit: int) -> bytes:
        """Return a line of up to `limit` bytes; raise `RemoteDisconnected` if it is cut."""
        line = self.file.readline(limit)
        self.size += len(line)
        self.lines += 1
        if self.lines == 1:
            self.first_line = line
        if len(line) == limit or self.size > HEAD_BYTES_MAX or self.lines > HEAD_LINES_MAX:
            raise EndlessAnswerError(f"a head of {self.lines} or more lines, {self.size} bytes")
        if len(line) < limit and not line.endswith(b"\n"):
            raise RemoteDisconnected("the connection ended inside the head")
        if CONTROLS.intersection(line.rstrip(b"\r\n")):
            raise MalformedHeadError("a control character in a line of the head")
        return line


class StrictAnswer(HTTPResponse):
    """An answer with a complete head, whose chunks have complete and well-formed sizes.

    See RFC 9112, sections 2.1 and 7.1. The methods are the library's, which calls them.
    """

    def begin(self) -> None:
        """Read the head."""
        file = self.fp
        self.fp = HeadReader(file)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = file
        if self.headers.defects:
            raise MalformedHeadError(f"a line of the head is no field: {self.headers.defects[0]!r}")

    def _read_status(self) -> tuple[str, int, str]:
        """Return the version, status and reason of the final answer."""
        for _ in range(INTERIM_HEADS_MAX + 1):
            self.fp.begin_head()
            version, status, reason = super()._read_status()
            if not STATUS_LINE.fullmatch(self.fp.first_line):
                raise InvalidStatusError(f"the first line {self.fp.first_line[:LOGGED_BYTES]!r}")
            if status == SWITCHING_PROTOCOLS:
                raise InvalidStatusError("another protocol, which was not asked for")
            if status >= 200:
                return version, status, reason
            parse_headers(self.fp)
        raise EndlessAnswerError(f"more than {INTERIM_HEADS_MAX} interim answers")

    def _read_and_discard_trailer(self) -> None:
        """Skip the trailers, which may be cut: the body before them is complete."""
        size = 0
        for _ in range(TRAILERS_MAX + 1):
            line = self.fp.readline(LINE_BYTES_MAX + 1)
            size += len(line)
            if line in (b"\r\n", b"\n", b""):
                return
            if size > HEAD_BYTES_MAX:
                raise EndlessAnswerError(f"trailers of more than {HEAD_BYTES_MAX} bytes")
        raise EndlessAnswerError(f"more than {TRAILERS_MAX} trailers")

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk in bytes.

        The library turns a `ValueError` into an `IncompleteRead`.
        """
        line = self.fp.readline(LINE_BYTES_MAX + 1)
        if len(line) > LINE_BYTES_MAX:
            raise EndlessAnswerError(f"a chunk's size in more than {LINE_BYTES_MAX} bytes")
        digits = line.partition(b";")[0].strip(b" \t\r\n")
        if not line.endswith(b"\n") or not digits or not HEX_DIGITS.issuperset(digits):
            self._close_conn()
            raise ValueError("the line with a chunk's size is cut or malformed")
        return int(digits, 16)
