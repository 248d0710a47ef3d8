"""Reads heads and chunk sizes of HTTP answers whose connection may have been cut.

The library takes the end of the connection for the end of a head, and what came of a cut line with
a chunk's size for the size: of `0a`, the `0` alone, which is the size of the last chunk. Such
answers passed for complete.
"""

from http.client import HTTPResponse, LineTooLong, RemoteDisconnected
from typing import BinaryIO

LINE_BYTES_MAX = 65536
"""Longest line with a chunk's size and extensions; the library's own limit."""
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class HeadReader:
    """Reads the lines of a head for the library; each must be complete."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.close = file.close

    def readline(self, limit: int) -> bytes:
        """Return a line of up to `limit` bytes; raise `RemoteDisconnected` if it is cut."""
        line = self.file.readline(limit)
        if len(line) < limit and not line.endswith(b"\n"):
            raise RemoteDisconnected("the connection ended inside the head")
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

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk in bytes.

        The library turns a `ValueError` into an `IncompleteRead`.
        """
        line = self.fp.readline(LINE_BYTES_MAX + 1)
        if len(line) > LINE_BYTES_MAX:
            raise LineTooLong("chunk size")
        digits = line.partition(b";")[0].strip(b" \t\r\n")
        if not line.endswith(b"\n") or not digits or not HEX_DIGITS.issuperset(digits):
            self._close_conn()
            raise ValueError("the line with a chunk's size is cut or malformed")
        return int(digits, 16)
