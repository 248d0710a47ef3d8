"""Reads answers of the HTTP library whose chunked bodies may have been cut.

The library takes what came of a cut line with a chunk's size for the size: of `0a`, the `0` alone,
which is the size of the last chunk, so that the answer passed for complete.
"""

from http.client import HTTPResponse, LineTooLong

LINE_BYTES_MAX = 65536
"""Longest line with a chunk's size and extensions; the library's own limit."""
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class StrictAnswer(HTTPResponse):
    """An answer whose chunks have complete and well-formed sizes (RFC 9112, section 7.1)."""

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk in bytes; called by the library.

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
