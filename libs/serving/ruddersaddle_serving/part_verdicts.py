"""Decides which part of prompts caused a series of crashes.

Each crash cuts dozens of runs, whose prompts hold many parts. The cause is in every crash that it
brought about, and no prompt with it is answered. Other parts are in many of the same crashes: the
first part of a conversation, shared by all its prompts, is in all of them. They are told apart by:

- Answers. A run with the part that began after a crash and was answered clears the part of it.
- History. A part with answers shortly before, or that most prompts hold, is less likely the cause
  than one with none.
- Breadth. Of two parts in the same crashes, the one that fewer requests hold is the likelier cause:
  refusing it keeps out fewer callers, and the other one is in no further crash if it was the cause.
- Contrast. As long as no prompt is answered at all, upstreams may be crashing by themselves.
- Requests. If one request is in all the crashes, it is refused by itself.

Nothing here reads a clock or keeps state.
"""

from collections.abc import Iterable, Sequence

import msgspec

from ruddersaddle_serving.fingerprints import PartKey
from ruddersaddle_serving.part_crashes import TAGS_MAX, PartCrash
from ruddersaddle_serving.upstream_entries import UpstreamInstance

ROUND_GAP_MS = 100
"""Crashes closer together than this count as one: they may have a common cause outside the
requests, as a loss of power."""
SETTLING_MS = 1000
"""Reports of a crash from several hosts arrive within this time. Until then, an established part
may seem to be in crashes that the cause is not in."""
NARROWER_FACTOR = 2
"""A part is narrower than another if at most one in this many requests of the other hold it."""
EXPLAINED_SHARE = 2 / 3
"""Share of a part's crashes that others must be in to explain them; the rest may be ordinary."""


class Untried(msgspec.Struct, frozen=True):
    """No prompt with the part was answered lately, as far as hosts reported."""


class Established(msgspec.Struct, frozen=True):
    """Prompts with the part were answered shortly before the crashes, or most prompts hold it."""


Standing = Untried | Established


class Threshold(msgspec.Struct, frozen=True):
    """The least evidence for which a part is refused.

    Rounds count in full; crashes in quick succession count if there are more of them.
    """

    rounds: int
    quick_crashes: int
    quick_rounds: int
    rounds_without_contrast: int


UNTRIED_THRESHOLD = Threshold(3, 5, 2, 5)
ESTABLISHED_THRESHOLD = Threshold(4, 8, 2, 8)
TIE_CRASHES = 4
"""Crashes from which on one of several parts that are in the same crashes may be refused."""


class Evidence(msgspec.Struct, frozen=True):
    """What speaks against one part."""

    part: PartKey
    instances: frozenset[UpstreamInstance]
    rounds: int
    """Groups of crashes that are at least `ROUND_GAP_MS` apart."""
    is_of_one_request: bool
    """Whether one request is in all the crashes."""
    standing: Standing
    arrivals: int
    """Requests with the part that this host has received lately."""
    settled_ms: int
    """Time since its first crash."""
    has_contrast: bool
    """Whether prompts without the part were answered since its first crash; for an untried part,
    also shortly before."""


def count_rounds(crashes: Iterable[PartCrash]) -> int:
    """Return the number of groups of crashes that are apart in time."""
    rounds, last_ms = 0, float("-inf")
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if at_ms - last_ms >= ROUND_GAP_MS:
            rounds, last_ms = rounds + 1, at_ms
    return rounds


def is_of_one_request(crashes: Sequence[PartCrash]) -> bool:
    """Return whether one request is in all the crashes."""
    common: set[str] | None = None
    for crash in crashes:
        if len(crash.requests) >= TAGS_MAX:
            return False
        common = set(crash.requests) if common is None else common & set(crash.requests)
    return bool(common)


def find_cause(evidence: Sequence[Evidence]) -> PartKey | None:
    """Return the part that is to be refused next; its crashes then no longer count against others.

    The one in most crashes comes first: others may be in some of them by chance.
    """
    suspects = [
        each
        for each in evidence
        if not each.is_of_one_request and len(each.instances) >= UNTRIED_THRESHOLD.rounds
    ]
    causes = [each for each in suspects if _is_cause(each, suspects)]
    causes.sort(key=lambda each: (-len(each.instances), each.arrivals, each.part))
    return causes[0].part if causes else None


def _is_cause(candidate: Evidence, suspects: Sequence[Evidence]) -> bool:
    if not candidate.arrivals:
        # Hosts that receive such requests know better which of their parts are common.
        return False
    if not _reaches_threshold(candidate) or _is_explained(candidate, suspects):
        return False
    for rival in suspects:
        if rival is candidate or not rival.instances >= candidate.instances:
            continue
        if rival.instances != candidate.instances:
            if not _is_explained(rival, suspects):
                return False
        elif rival.standing == candidate.standing and len(rival.instances) < TIE_CRASHES:
            return False
    return True


def _reaches_threshold(candidate: Evidence) -> bool:
    match candidate.standing:
        case Untried():
            threshold = UNTRIED_THRESHOLD
        case Established():
            threshold = ESTABLISHED_THRESHOLD
            if candidate.settled_ms < SETTLING_MS:
                return False
    if not candidate.has_contrast:
        return candidate.rounds >= threshold.rounds_without_contrast
    is_quick = len(candidate.instances) >= threshold.quick_crashes
    return candidate.rounds >= (threshold.quick_rounds if is_quick else threshold.rounds)


def _is_explained(broad: Evidence, suspects: Sequence[Evidence]) -> bool:
    """Return whether other parts, which are likelier causes, are in the crashes of a part."""
    covered: set[UpstreamInstance] = set()
    covered_by_untried: set[UpstreamInstance] = set()
    for other in suspects:
        if other is broad:
            continue
        match broad.standing, other.standing:
            case Established(), Untried():
                covered_by_untried |= other.instances & broad.instances
            case Untried(), Established():
                pass
            case _ if NARROWER_FACTOR * other.arrivals <= broad.arrivals:
                covered |= other.instances & broad.instances
    count = len(broad.instances)
    return len(covered) == count or len(covered_by_untried) >= EXPLAINED_SHARE * count
