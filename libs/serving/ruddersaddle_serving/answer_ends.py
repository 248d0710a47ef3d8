"""What the ends of upstreams' answers mean."""

from collections import Counter
from enum import Enum

from ruddersaddle_base.answer_framings import Framing


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
