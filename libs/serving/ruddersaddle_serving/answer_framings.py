"""How answers state where their bodies end (RFC 9112, section 6.3)."""

from collections.abc import Mapping
from enum import Enum

from ruddersaddle_base.codecs import is_decimal_integer

BODILESS_STATUSES = frozenset({204, 304})


class Framing(Enum):
    """What the end of an answer's bytes says about the answer."""

    DELIMITED = "delimited"
    """By a length or by chunks, or there is no body: an answer that ended in order is complete."""
    CONNECTION = "connection"
    """The answer ends with its connection: whether it is complete can't be known."""


def framing_of(method: str, status: int, headers: Mapping[str, str]) -> Framing:
    """Return the framing of an answer; `headers` must ignore the case of names."""
    has_no_body = method == "HEAD" or status in BODILESS_STATUSES
    is_chunked = headers.get("Transfer-Encoding", "").strip().lower() == "chunked"
    if has_no_body or is_chunked or is_decimal_integer(headers.get("Content-Length", "").strip()):
        return Framing.DELIMITED
    return Framing.CONNECTION
