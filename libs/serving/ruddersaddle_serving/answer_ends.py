"""How answers state where their bodies end (RFC 9112, section 6.3), and what their ends mean."""

from collections import Counter
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
    INVALID = "invalid"
    """The headers contradict each other or can't be read: where the body ends can't be known."""


class AnswerEnd(Enum):
    """What is known of an upstream's answer once no more of it comes."""

    COMPLETE = "complete"
    CONNECTION_CLOSED = "connection_closed"
    """It has no framing, and its connection was closed in order: it may be complete."""
    CUT_SHORT = "cut_short"
    """It ended in order, but too early: inside an event, or without framing before the first."""
    BROKEN_OFF = "broken_off"
    """Reading it failed."""


class AnswerEnds:
    """Numbers of upstreams' answers by how they ended."""

    def __init__(self) -> None:
        self.count_by_end: Counter[AnswerEnd] = Counter()

    def record(self, end: AnswerEnd) -> None:
        """Count the end of an answer."""
        self.count_by_end[end] += 1

    def counts(self) -> dict[str, int]:
        """Return the counts by name, of ends that were not seen as well."""
        return {end.value: self.count_by_end[end] for end in AnswerEnd}


def ordinary_end(framing: Framing) -> AnswerEnd:
    """Return what the end of an answer means that was read to its end and isn't cut short."""
    match framing:
        case Framing.DELIMITED:
            return AnswerEnd.COMPLETE
        case Framing.CONNECTION:
            return AnswerEnd.CONNECTION_CLOSED
        case Framing.INVALID:
            return AnswerEnd.BROKEN_OFF


def framing_of(method: str, status: int, headers: Mapping[str, str]) -> Framing:
    """Return the framing of an answer.

    `headers` must ignore the case of names and join repeated values. Hosts ask for no transfer
    coding, so that an upstream may use none but chunks; these decide if a length is given as well.
    """
    if method == "HEAD" or status in BODILESS_STATUSES:
        return Framing.DELIMITED
    codings, length = headers.get("Transfer-Encoding"), headers.get("Content-Length")
    if codings is not None:
        return Framing.DELIMITED if codings.strip().lower() == "chunked" else Framing.INVALID
    if length is not None:
        return Framing.DELIMITED if is_decimal_integer(length.strip()) else Framing.INVALID
    return Framing.CONNECTION
