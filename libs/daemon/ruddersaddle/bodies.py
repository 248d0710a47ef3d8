"""Reading a request's body with limits on size and time, so that a slow sender delays no other."""

from typing import Any

import eventlet
from ruddersaddle_base.codecs import is_decimal_integer
from ruddersaddle_base.failures import Code, Failure, Step

from ruddersaddle.callers import CALLER

READ_BYTES = 65536


def read_body(environ: dict[str, Any], bytes_max: int, timeout_s: float) -> bytes | Failure:
    """Return the complete body, or a failure if it is too large, too slow or truncated."""
    length = environ.get("CONTENT_LENGTH") or ""
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if length and not is_decimal_integer(length):
        return Failure(Code.BAD_REQUEST, Step.PARSE, CALLER, "Content-Length: expected a number")
    if not length and not chunked:
        return b""
    if length and int(length) > bytes_max:
        return _too_large(bytes_max)
    wanted = int(length) if length and not chunked else bytes_max + 1
    try:
        with eventlet.Timeout(timeout_s):
            data = _read_up_to(environ["wsgi.input"], wanted)
    except eventlet.Timeout:
        detail = f"the body did not arrive within {timeout_s:g} s"
        return Failure(Code.BAD_REQUEST, Step.PARSE, CALLER, detail)
    except (OSError, ValueError) as error:
        return Failure(Code.BAD_REQUEST, Step.PARSE, CALLER, f"unreadable body ({error})")
    if len(data) > bytes_max:
        return _too_large(bytes_max)
    if not chunked and len(data) < wanted:
        detail = f"the body ended after {len(data)} of {wanted} bytes"
        return Failure(Code.BAD_REQUEST, Step.PARSE, CALLER, detail)
    return data


def _read_up_to(source: Any, wanted: int) -> bytes:
    parts = []
    missing = wanted
    while missing > 0:
        part = source.read(min(READ_BYTES, missing))
        if not part:
            break
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)


def _too_large(bytes_max: int) -> Failure:
    return Failure(Code.TOO_LARGE, Step.PARSE, CALLER, f"expected at most {bytes_max} bytes")
