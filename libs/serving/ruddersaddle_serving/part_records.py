"""Identifies parts of prompts that crash upstreams, and refuses prompts with them.

Nothing here reads a clock. Timestamps are Unix times in ms, since records outlive hosts.
"""

import logging
from collections.abc import Callable, Iterable

import msgspec

from ruddersaddle_serving.fingerprints import PartKey
from ruddersaddle_serving.part_crashes import (
    CrashedPart,
    PartClearance,
    PartCrash,
    PartRecord,
)
from ruddersaddle_serving.part_histories import PartHistory
from ruddersaddle_serving.part_verdicts import (
    UNTRIED_THRESHOLD,
    Established,
    Evidence,
    Untried,
    count_rounds,
    find_cause,
    is_of_one_request,
)
from ruddersaddle_serving.upstream_entries import UpstreamInstance

logger = logging.getLogger(__name__)

PARTS_MAX = 4096
"""Parts that are remembered; the least suspect ones are dropped first."""
SHARED_MIN = 2
"""Crashes from which on a record is shared with all hosts."""
TRIAL_MS = 5000
"""Time for one trial of a part whose refusal has run out. Hosts try one after another, in the order
of their rank, as the first ones may receive no request with it."""
CONTRAST_MS = 10_000
"""How long before the first crash of a part that no answer is known of, answers to other prompts
show that upstreams did not crash by themselves."""
LOGGED_RIVALS_MAX = 8
CLEARED_MS = 60_000
"""How long a record without crashes is kept, so that late reports of them don't count."""


class Trial(msgspec.Struct, frozen=True):
    """The request that tries whether upstreams can run a part again."""

    request: str
    began_ms: int


class PartRecords:
    """The records of this host, from crashes it saw and from those that others reported."""

    def __init__(self, notify_refused: Callable[[PartRecord], None]) -> None:
        self.notify_refused = notify_refused
        """Called with each record that has become a refusal, or has further crashes as one."""
        self.by_part: dict[PartKey, PartRecord] = {}
        self.history = PartHistory()
        self.revision = 0
        """Grows with each change of the shared records."""
        self.counts = {"refused": 0, "cleared": 0, "trials": 0}
        """Parts that became refused, refused parts that were cleared, and trials."""
        self.rank: Callable[[str], int] = lambda part: 0
        """Returns the rank of this host among all hosts for trials of a part."""
        self.admitted: frozenset[str] = frozenset()
        """Ids of parts that the operator has excluded from refusals."""
        self._changed_ms: dict[PartKey, int] = {}
        self._trial_by_part: dict[PartKey, Trial] = {}

    # Observations

    def record_crash(
        self,
        instance: UpstreamInstance,
        parts: Iterable[CrashedPart],
        at_ms: int,
        now_ms: int,
    ) -> list[PartKey]:
        """Hold a crash against the parts of its runs; return the parts of which records changed."""
        found = list(parts)
        for each in found:
            if each.is_proven:
                self.history.record_proven(each.part, now_ms)
        causes = [each for each in found if self._is_refused(each.part)]
        explained = self._refused_for(instance)
        if causes or explained:
            found = causes
        changed = [
            each.part
            for each in found
            if self._merge(
                each.part,
                (PartCrash(instance, at_ms, each.requests, is_decisive=bool(causes)),),
                (),
                now_ms,
            )
        ]
        return changed + self.judge(now_ms)

    def merge(self, record: PartRecord, now_ms: int) -> PartRecord:
        """Merge a record of another host or of the store; return the merged record."""
        if record.is_expired(now_ms) and not record.cleared:
            return record
        # A host whose clock is ahead must not make a refusal last longer.
        crashes = [
            msgspec.structs.replace(crash, at_ms=min(crash.at_ms, now_ms))
            for crash in record.crashes
        ]
        was_refused = self._is_refused(record.part)
        self._merge(record.part, crashes, record.cleared, now_ms)
        if self._is_refused(record.part) and not was_refused:
            logger.info(
                "Part %s is on record as refused.", record.part, extra={"part": record.part}
            )
        self.judge(now_ms)
        return self.by_part.get(record.part, record)

    def record_answer(
        self, parts: tuple[PartKey, ...], began_ms: int, now_ms: int
    ) -> list[PartClearance]:
        """Record that a run was answered that began to be answered at a time.

        Returns the clearances of its parts, which other hosts are to be sent.
        """
        self.history.record_answer(parts, began_ms)
        clearances = []
        for part in parts:
            record = self.by_part.get(part)
            if record is None:
                continue
            cleared = tuple(crash.instance for crash in record.crashes if crash.at_ms < began_ms)
            if cleared:
                clearances.append(PartClearance(part, cleared))
                self.clear(clearances[-1], now_ms)
        return clearances

    def clear(self, clearance: PartClearance, now_ms: int) -> bool:
        """Clear a part of crashes; return whether anything changed."""
        return self._merge(clearance.part, (), clearance.instances, now_ms)

    def admit(self, ids: str) -> None:
        """Never refuse the parts with these comma-separated ids."""
        self.admitted = frozenset(each.strip() for each in ids.split(",") if each.strip())

    # Decisions

    def find_refusal(
        self, parts: Iterable[PartKey], request: str, now_ms: int
    ) -> PartRecord | None:
        """Return the record for which a prompt with these parts is refused now, or None."""
        for part in parts:
            record = self.by_part.get(part)
            if record is None or not record.is_refusal or self._is_admitted(part):
                continue
            if now_ms < record.until_ms or not self._may_try(record, request, now_ms):
                return record
        return None

    def is_suspect(self, part: PartKey, now_ms: int) -> bool:
        """Return whether one more crash may get a part refused."""
        record = self.by_part.get(part)
        if record is None or self.history.is_proven(part, now_ms):
            return False
        return len(record.crashes) >= UNTRIED_THRESHOLD.rounds - 1

    def is_refused(self, parts: Iterable[PartKey]) -> bool:
        """Return whether any of these parts is refused, or may be tried at most."""
        return any(self._is_refused(part) for part in parts)

    def shared(self) -> tuple[PartRecord, ...]:
        """Return the records that are shared with all hosts, refusals first."""
        found = [each for each in self.by_part.values() if is_shared(each)]
        found.sort(key=lambda each: not each.is_refusal)
        return tuple(found)

    def refused(self) -> list[PartRecord]:
        """Return the records of refused parts."""
        return [each for each in self.by_part.values() if each.is_refusal]

    def sweep(self, now_ms: int) -> None:
        """Drop expired records."""
        for record in list(self.by_part.values()):
            age_ms = now_ms - self._changed_ms[record.part]
            is_expired = record.is_expired(now_ms) if record.crashes else age_ms >= CLEARED_MS
            if not is_expired:
                continue
            if record.is_refusal:
                fields = {"part": record.part}
                logger.info(
                    "Part %s is admitted again: its record expired.", record.part, extra=fields
                )
            self._drop(record)

    def judge(self, now_ms: int) -> list[PartKey]:
        """Refuse the parts that must have caused crashes; return them."""
        causes: list[PartKey] = []
        while True:
            explained = frozenset().union(*(each.instances for each in self.refused()))
            evidence = [
                self._weigh(record, explained, now_ms)
                for record in self.by_part.values()
                if self._may_judge(record)
            ]
            cause = find_cause(evidence)
            if cause is None:
                return causes
            self._refuse(cause, evidence, now_ms)
            causes.append(cause)

    def _may_judge(self, record: PartRecord) -> bool:
        is_suspect = len(record.crashes) >= UNTRIED_THRESHOLD.rounds
        return is_suspect and not record.is_refusal and not self._is_admitted(record.part)

    def _weigh(
        self, record: PartRecord, explained: frozenset[UpstreamInstance], now_ms: int
    ) -> Evidence:
        crashes = [each for each in record.crashes if each.instance not in explained]
        first_ms = min((each.at_ms for each in crashes), default=now_ms)
        history = self.history
        is_established = history.is_proven(record.part, now_ms) or history.is_common(record.part)
        contrast_ms = first_ms if is_established else first_ms - CONTRAST_MS
        return Evidence(
            part=record.part,
            instances=frozenset(each.instance for each in crashes),
            rounds=count_rounds(crashes),
            is_of_one_request=is_of_one_request(crashes),
            standing=Established() if is_established else Untried(),
            arrivals=history.count_arrivals(record.part),
            settled_ms=now_ms - first_ms,
            has_contrast=history.has_answered_without(record.part, contrast_ms),
        )

    def _refuse(self, part: PartKey, evidence: list[Evidence], now_ms: int) -> None:
        record = self.by_part[part]
        crashes = [msgspec.structs.replace(each, is_decisive=True) for each in record.crashes]
        (own,) = (each for each in evidence if each.part == part)
        rivals = [
            f"{each.part} {len(each.instances)} {type(each.standing).__name__.lower()}"
            for each in evidence
            if each.part != part and not each.instances.isdisjoint(own.instances)
        ]
        fields = {
            "part": part,
            "crashed": [str(each.instance) for each in crashes],
            "rounds": own.rounds,
            "standing": type(own.standing).__name__.lower(),
            "arrivals": own.arrivals,
            "contrast": own.has_contrast,
            "rivals": rivals[:LOGGED_RIVALS_MAX],
        }
        logger.warning(
            "Part %s is refused: it crashed %d upstreams.", part, len(crashes), extra=fields
        )
        self._merge(part, crashes, (), now_ms)

    def _may_try(self, record: PartRecord, request: str, now_ms: int) -> bool:
        """Return whether a request may try a part whose refusal has run out."""
        trial = self._trial_by_part.get(record.part)
        if trial is not None and now_ms - trial.began_ms < TRIAL_MS:
            return trial.request == request
        if now_ms < record.until_ms + TRIAL_MS * self.rank(record.part):
            return False
        self._trial_by_part[record.part] = Trial(request, now_ms)
        self.counts["trials"] += 1
        logger.info("Request %s tries part %s again.", request, record.part)
        return True

    def _is_admitted(self, part: PartKey) -> bool:
        return bool(self.admitted) and part.rpartition("/")[2] in self.admitted

    def _is_refused(self, part: PartKey) -> bool:
        record = self.by_part.get(part)
        return record is not None and record.is_refusal

    def _refused_for(self, instance: UpstreamInstance) -> bool:
        """Return whether the crash of an instance is attributed to a refused part."""
        return any(instance in each.instances for each in self.refused())

    def _merge(
        self,
        part: PartKey,
        crashes: Iterable[PartCrash],
        cleared: Iterable[UpstreamInstance],
        now_ms: int,
    ) -> bool:
        """Merge into a part's record; return whether it changed."""
        known = self.by_part.get(part)
        merged = (known or PartRecord(part)).merge(crashes, cleared)
        if merged == known or not (merged.crashes or merged.cleared):
            return False
        if known is None:
            self._evict()
        self.by_part[part] = merged
        self._changed_ms[part] = now_ms
        self.revision += is_shared(merged)
        was_refusal = known is not None and known.is_refusal
        if merged.is_refusal:
            self.counts["refused"] += not was_refusal
            self.notify_refused(merged)
        elif was_refusal:
            self.counts["cleared"] += 1
            self._trial_by_part.pop(part, None)
            logger.info(
                "Part %s is admitted again: a run with it was answered.", part, extra={"part": part}
            )
        return True

    def _evict(self) -> None:
        """Drop the record with the fewest crashes, the oldest of these."""
        if len(self.by_part) >= PARTS_MAX:
            self._drop(min(self.by_part.values(), key=lambda each: len(each.crashes)))

    def _drop(self, record: PartRecord) -> None:
        del self.by_part[record.part], self._changed_ms[record.part]
        self._trial_by_part.pop(record.part, None)
        self.revision += is_shared(record)


def is_shared(record: PartRecord) -> bool:
    """Return whether a record is shared with all hosts."""
    return len(record.crashes) + len(record.cleared) >= SHARED_MIN
