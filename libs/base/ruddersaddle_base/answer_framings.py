"""How HTTP answers state where their bodies end (RFC 9112, section 6.3)."""

from collections.abc import Mapping
from enum import Enum

from ruddersaddle_base.codecs import is_decimal_integer

BODILESS_STATUSES = frozenset({204, 304})
LENGTH_DIGITS_MAX = 18
"""Longer numbers are no lengths; the HTTP library ignores some of them."""


class Framing(Enum):
    """What the end of an answer's bytes says about the answer."""

    DELIMITED = "delimited"
    """By a length or by chunks, or there is no body: an answer that ended in order is complete."""
    CONNECTION = "connection"
    """The answer ends with its connection: whether it is complete can't be known."""
    INVALID = "invalid"
    """The headers contradict each other or can't be read: where the body ends can't be known."""


def framing_of(method: str, status: int, headers: Mapping[str, str]) -> Framing:
    """Return the framing of an answer.

    `headers` must ignore the case of names and join repeated values. Hosts ask for no transfer
    coding, so that an upstream may use none but chunks; these decide if a length is given as well.
    """
    if method == "HEAD" or status in BODILESS_STATUSES:
        return Framing.DELIMITED
    codings, length = headers.get("Transfer-Encoding"), headers.get("Content-Length")
    if codings is not None:
        # The library decodes chunks only if the value is exactly this.
        return Framing.DELIMITED if codings.lower() == "chunked" else Framing.INVALID
    if length is not None:
        return Framing.DELIMITED if _is_length(length.strip()) else Framing.INVALID
    return Framing.CONNECTION


def _is_length(text: str) -> bool:
    return is_decimal_integer(text) and len(text) <= LENGTH_DIGITS_MAX
