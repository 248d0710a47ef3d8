"""Messages and records about parts of prompts that may crash upstreams.

A part may crash each upstream that begins to answer a prompt with it, whatever else the prompt
holds. No two such requests need be alike, so records of requests alone cannot identify the cause.
"""

from collections.abc import Iterable
from typing import NewType

import msgspec

from ruddersaddle_serving.fingerprints import Fingerprint, PartKey
from ruddersaddle_serving.upstream_entries import UpstreamInstance

RequestTag = NewType("RequestTag", str)
"""The first characters of a request's fingerprint; enough to tell a crash's runs apart."""
TAG_CHARS = 8
TAGS_MAX = 8
"""Requests that are named for a part and a crash. A part of more requests is of several anyway."""
CRASHES_KEPT = 12
"""Latest crashes of a part that are remembered."""
CLEARED_KEPT = 24
REFUSAL_MS = 60_000
"""How long a part is refused after its last crash; it doubles with each trial that crashed. It is
shorter than for one request, as a wrong refusal would keep out more callers."""
REFUSAL_MAX_MS = 3_600_000
TRIAL_GAP_MS = 10_000
"""A crash this long after the one before was a trial's; sooner ones ran before all hosts knew."""
SUSPICION_MS = 600_000
"""How long a crash counts against a part that is not refused."""


def make_tag(fingerprint: Fingerprint) -> RequestTag:
    """Return the tag of a request."""
    return RequestTag(fingerprint[:TAG_CHARS])


class CrashedPart(msgspec.Struct, frozen=True, array_like=True):
    """A shared part of the prompts that an upstream ran or had queued when it crashed."""

    part: PartKey
    requests: tuple[RequestTag, ...]
    """Requests with this part, at most `TAGS_MAX`."""
    is_proven: bool = False
    """Whether the sender has seen an answer to a prompt with this part lately."""

    def merge(self, other: "CrashedPart") -> "CrashedPart":
        """Return what both reports of one crash say of this part."""
        requests = merge_tags(self.requests, other.requests)
        return CrashedPart(self.part, requests, self.is_proven or other.is_proven)


class PartCrash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of one upstream instance, as it is held against a part."""

    instance: UpstreamInstance
    at_ms: int
    """Unix time of the crash, as precisely as the reporting host knows it."""
    requests: tuple[RequestTag, ...]
    is_decisive: bool = False
    """Whether the part is refused for it."""

    def merge(self, other: "PartCrash") -> "PartCrash":
        """Return what both records of one crash say."""
        return PartCrash(
            self.instance,
            min(self.at_ms, other.at_ms),
            merge_tags(self.requests, other.requests),
            self.is_decisive or other.is_decisive,
        )


class PartClearance(msgspec.Struct, frozen=True, array_like=True):
    """States that crashes were not caused by a part: a later run with it was answered."""

    part: PartKey
    instances: tuple[UpstreamInstance, ...]


class PartRecord(msgspec.Struct, frozen=True):
    """The crashes that are held against a part, and those of which it was cleared.

    Records are merged as unions, so that hosts agree in whichever order they receive them.
    """

    part: PartKey
    crashes: tuple[PartCrash, ...] = ()
    """Ordered by time."""
    cleared: tuple[UpstreamInstance, ...] = ()

    @property
    def is_refusal(self) -> bool:
        """Whether prompts with the part are refused, unless the refusal has run out."""
        return any(crash.is_decisive for crash in self.crashes)

    @property
    def instances(self) -> frozenset[UpstreamInstance]:
        """The upstream instances whose crashes are held against the part."""
        return frozenset(crash.instance for crash in self.crashes)

    @property
    def last_ms(self) -> int:
        """Time of the last crash; 0 if there is none."""
        return max((crash.at_ms for crash in self.crashes), default=0)

    @property
    def refusal_ms(self) -> int:
        """How long the part is refused after its last crash."""
        times = sorted(crash.at_ms for crash in self.crashes if crash.is_decisive)
        trials = sum(
            later - earlier >= TRIAL_GAP_MS
            for earlier, later in zip(times, times[1:], strict=False)
        )
        return min(REFUSAL_MAX_MS, REFUSAL_MS << trials)

    @property
    def until_ms(self) -> int:
        """When the refusal, or the suspicion, ends."""
        return self.last_ms + (self.refusal_ms if self.is_refusal else SUSPICION_MS)

    def is_expired(self, now_ms: int) -> bool:
        """Return whether the record can be dropped.

        A refused part is remembered for as long again, in which it is admitted by trials only.
        """
        spare_ms = self.refusal_ms if self.is_refusal else 0
        return now_ms >= self.until_ms + spare_ms

    def merge(
        self, crashes: Iterable[PartCrash], cleared: Iterable[UpstreamInstance] = ()
    ) -> "PartRecord":
        """Return the record with further crashes and clearances."""
        all_cleared = dict.fromkeys((*self.cleared, *cleared))
        by_instance = {crash.instance: crash for crash in self.crashes}
        for crash in crashes:
            known = by_instance.get(crash.instance)
            by_instance[crash.instance] = crash if known is None else known.merge(crash)
        kept = [crash for crash in by_instance.values() if crash.instance not in all_cleared]
        kept.sort(key=lambda crash: (crash.at_ms, str(crash.instance)))
        return PartRecord(
            self.part, tuple(kept[-CRASHES_KEPT:]), tuple(all_cleared)[-CLEARED_KEPT:]
        )


def merge_tags(
    first: tuple[RequestTag, ...], second: tuple[RequestTag, ...]
) -> tuple[RequestTag, ...]:
    """Return the tags of both, at most `TAGS_MAX`, the same in whichever order they come."""
    return tuple(sorted({*first, *second})[:TAGS_MAX])
