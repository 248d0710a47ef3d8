"""Reads callers' complete request bodies, up to the size that the configuration allows."""

import re
from typing import Any, BinaryIO

from ruddersaddle_base.failures import Code, Failure, Step

CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(;[^\r\n]*)?\r\n\Z")
"""A chunk's size line; more than eight digits exceed any limit."""
LINE_BYTES_MAX = 4096
TRAILERS_MAX = 64


def read_body(environ: dict[str, Any], bytes_max: int) -> bytes | Failure:
    """Return a request's body, or why it is refused."""
    source = environ["eventlet.input"]
    try:
        if (source.content_length or 0) > bytes_max:
            return _refuse_size(bytes_max)
        _send_continue(source)
        if source.chunked_input:
            body = _read_chunks(source.rfile, bytes_max)
            # Without this the library would try to read the chunks that were read here.
            source.chunk_length = 0
            return body
        return _read_sized(source)
    except (OSError, ValueError) as error:
        return _refuse(Code.BAD_REQUEST, f"reading the body failed: {error}")


def _send_continue(source: Any) -> None:
    """Send "100 Continue" if the caller waits for it before it sends its body.

    The library sends it at its own first read, which is bypassed for chunked bodies. While it has
    not been sent, the library closes the connection after the answer without announcing it.
    """
    if not source.should_send_hundred_continue:
        return
    if source.chunked_input or source.content_length:
        source.send_hundred_continue_response()
    source.is_hundred_continue_response_sent = True


def _read_sized(source: Any) -> bytes | Failure:
    length = source.content_length or 0
    body = source.read(length) if length else b""
    if len(body) < length:
        return _refuse(Code.BAD_REQUEST, f"the body ended after {len(body)} of {length} bytes")
    return body


def _read_chunks(file: BinaryIO, bytes_max: int) -> bytes | Failure:
    parts: list[bytes] = []
    total = 0
    while True:
        match = CHUNK_SIZE.match(file.readline(LINE_BYTES_MAX))
        if match is None:
            return _refuse(Code.BAD_REQUEST, "a chunk has no valid size line")
        size = int(match.group(1), 16)
        if size == 0:
            return b"".join(parts) if _skip_trailers(file) else _refuse_trailers()
        total += size
        if total > bytes_max:
            return _refuse_size(bytes_max)
        data = file.read(size)
        if len(data) < size or file.read(2) != b"\r\n":
            return _refuse(Code.BAD_REQUEST, "the length of a chunk differs from its size line")
        parts.append(data)


def _skip_trailers(file: BinaryIO) -> bool:
    for _ in range(TRAILERS_MAX):
        line = file.readline(LINE_BYTES_MAX)
        if line == b"\r\n":
            return True
        if not line.endswith(b"\r\n"):
            return False
    return False


def _refuse_trailers() -> Failure:
    return _refuse(Code.BAD_REQUEST, "the trailers are too long or not terminated")


def _refuse_size(bytes_max: int) -> Failure:
    return _refuse(Code.TOO_LARGE, f"expected at most {bytes_max} bytes")


def _refuse(code: Code, detail: str) -> Failure:
    return Failure(code, Step.PARSE, "caller", detail)
