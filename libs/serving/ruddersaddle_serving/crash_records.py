"""Identifies requests that crash the upstreams running them, from the crashes that all hosts saw.

Such a request crashes every upstream that starts it, and is retried at any host, several copies at
once. Every other run on the upstream is cut too, so that each crash has dozens of suspects. The
cause is the request that is part of every crash and never completes. Therefore:

- A request is refused once `CRASHES_MAX` instances of upstreams have crashed while running it.
- A request that completes is cleared; one that completed just before a crash is not a suspect of
  it, so that requests which many callers send are not refused.
- Crashes attributed to a refused request do not count against any other request.
- Crashes attributed to a refused part of prompts (`part_records`) do not count against requests.

Nothing here reads a clock. Timestamps are Unix times in ms, since records outlive hosts.
"""

import logging
import random
from collections.abc import Iterable

import msgspec

from ruddersaddle_serving.context_stores import REVISION_BITS
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.part_crashes import CrashedPart, PartRecord
from ruddersaddle_serving.part_records import PartRecords
from ruddersaddle_serving.upstream_entries import UpstreamInstance

logger = logging.getLogger(__name__)

CRASHES_MAX = 3
"""Crashes after which a request is refused. Fewer would refuse bystanders: of 158 requests that
were cut by crashes of engines, 43 were cut by two or more, and only one was the cause."""
SHARED_MIN = 2
"""Crashes from which on a record is written to the store. Most suspects are in a single crash; a
request of which several hosts know one crash each is written after its next crash."""
REFUSAL_MS = 600_000
"""How long a request is refused after its last crash; it doubles with each further crash. It ends,
so that a request which a new release can run is admitted again."""
REFUSAL_MAX_MS = 86_400_000
RECENT_COMPLETION_MS = 2000
"""A request that completed this recently before a crash is not a suspect of it. A longer time would
miss the first crashes of a request that has only begun to crash upstreams."""
SUSPECTS_MAX = 4096
"""Requests that are remembered: the runs of 32 engines with 128 runs each; 0.6 MB of memory."""
INSTANCES_OF_PARTS_MAX = 1024
"""Crashes attributed to refused parts that are remembered, so that late reports don't count."""
INSTANCES_MAX = 12
"""Crashes of one request that are remembered; further ones do not extend its refusal."""
CLEARED_MS = 60_000
"""How long a host reports that a request was cleared; hosts poll each other every 0.6 s."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """An upstream instance that ended without notice, and the requests it ran or had queued."""

    instance: UpstreamInstance
    fingerprints: tuple[Fingerprint, ...]
    parts: tuple[CrashedPart, ...] = ()
    """Shared parts of their prompts; empty from a host of a program version that sends none."""
    age_ms: int = 0
    """Time from the crash until it was reported."""

    def merge(self, other: "Crash") -> "Crash":
        """Return what both reports of this crash say."""
        fingerprints = dict.fromkeys((*self.fingerprints, *other.fingerprints))
        by_part = {each.part: each for each in self.parts}
        for each in other.parts:
            known = by_part.get(each.part)
            by_part[each.part] = each if known is None else known.merge(each)
        age_ms = max(self.age_ms, other.age_ms)
        return Crash(self.instance, tuple(fingerprints), tuple(by_part.values()), age_ms)


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The upstream instances that crashed while running one request."""

    fingerprint: Fingerprint
    instances: tuple[UpstreamInstance, ...]
    last_ms: int
    """Time of the last crash."""

    @property
    def is_refusal(self) -> bool:
        """Whether there are enough crashes to refuse the request."""
        return len(self.instances) >= CRASHES_MAX

    @property
    def until_ms(self) -> int:
        """When the refusal, or the suspicion, of the request ends."""
        doublings = max(0, len(self.instances) - CRASHES_MAX)
        return self.last_ms + min(REFUSAL_MAX_MS, REFUSAL_MS << doublings)

    def is_expired(self, now_ms: int) -> bool:
        """Return whether the record can be dropped.

        A refused request is remembered for as long again after its refusal, so that its next crash
        refuses it at once.
        """
        spare_ms = self.until_ms - self.last_ms if self.is_refusal else 0
        return now_ms >= self.until_ms + spare_ms

    def with_instances(self, instances: Iterable[UpstreamInstance], last_ms: int) -> "CrashRecord":
        """Return the record with further crashes.

        Which crashes are kept does not depend on the order in which a host receives them, so that
        all hosts converge on the same record.
        """
        kept = tuple(sorted({*self.instances, *instances}, key=str)[:INSTANCES_MAX])
        return CrashRecord(self.fingerprint, kept, max(self.last_ms, last_ms))


class CrashRecords:
    """The records of this host, from crashes it saw and from those that others reported."""

    def __init__(self) -> None:
        self.by_fingerprint: dict[Fingerprint, CrashRecord] = {}
        self.revision = random.getrandbits(REVISION_BITS)
        """Grows with each change of the shared records. It starts at a random number, so that two
        processes do not report the same revision."""
        self.cleared = 0
        """Count of suspects that were cleared because they completed."""
        self._completed_at: dict[Fingerprint, int] = {}
        """Requests that completed within `RECENT_COMPLETION_MS`, the latest last."""
        self._cleared_at: dict[Fingerprint, int] = {}
        self._cause_by_instance: dict[UpstreamInstance, Fingerprint] = {}
        """Instances whose crash is attributed to a refused request."""
        self.parts = PartRecords(self._attribute_to_part)
        self._instances_of_parts: dict[UpstreamInstance, None] = {}
        """Instances whose crash is attributed to a refused part, the latest last."""

    # Observations

    def record_crash(self, crash: Crash, now_ms: int) -> list[CrashRecord]:
        """Add a crash to its suspects' records; return the records that changed."""
        if crash.instance in self._instances_of_parts:
            return []
        suspects = self._suspects(crash, now_ms)
        changed = [self._extend(each, (crash.instance,), now_ms) for each in suspects]
        self._attribute_crashes(changed)
        return changed

    def _suspects(self, crash: Crash, now_ms: int) -> list[Fingerprint]:
        """Return the requests that may have caused a crash."""
        self._forget_old_completions(now_ms)
        found = [each for each in crash.fingerprints if each not in self._completed_at]
        causes = [each for each in found if self._is_refused(each)]
        if causes:
            return causes
        cause = self._cause_by_instance.get(crash.instance)
        return found if cause is None else [each for each in found if each == cause]

    def merge(self, record: CrashRecord, now_ms: int) -> CrashRecord:
        """Merge a record of another host or of the store; return the merged record."""
        fingerprint = record.fingerprint
        cleared_ms = self._cleared_at.get(fingerprint)
        is_stale = cleared_ms is not None and record.last_ms <= cleared_ms
        instances = tuple(each for each in record.instances if each not in self._instances_of_parts)
        if not record.is_refusal:
            cause_of = self._cause_by_instance.get
            instances = tuple(
                each for each in instances if cause_of(each, fingerprint) == fingerprint
            )
        if is_stale or not instances or record.is_expired(now_ms):
            return record
        merged = self._extend(fingerprint, instances, record.last_ms)
        self._attribute_crashes([merged])
        return merged

    def record_complete(self, fingerprint: Fingerprint, now_ms: int) -> bool:
        """Record that a run of a request completed; return whether the request was a suspect."""
        self._completed_at.pop(fingerprint, None)
        self._completed_at[fingerprint] = now_ms
        self._forget_old_completions(now_ms)
        return self.clear(fingerprint, now_ms)

    def completed_recently(self, fingerprint: Fingerprint, now_ms: int) -> bool:
        """Return whether a run of a request completed here within `RECENT_COMPLETION_MS`."""
        self._forget_old_completions(now_ms)
        return fingerprint in self._completed_at

    def clear(self, fingerprint: Fingerprint, now_ms: int) -> bool:
        """Drop the record of a request; return whether there was one."""
        record = self.by_fingerprint.get(fingerprint)
        if record is None:
            return False
        self._drop(record)
        self.cleared += 1
        self._cleared_at[fingerprint] = now_ms
        if record.is_refusal:
            logger.info("Request %s is admitted again: a run of it completed.", fingerprint)
        return True

    # Decisions

    def find_refusal(self, fingerprint: Fingerprint, now_ms: int) -> CrashRecord | None:
        """Return the record for which a request is refused now, or None."""
        record = self.by_fingerprint.get(fingerprint)
        if record is None or not record.is_refusal or now_ms >= record.until_ms:
            return None
        return record

    def count(self, fingerprint: Fingerprint) -> int:
        """Return how many instances are known to have crashed while running a request."""
        record = self.by_fingerprint.get(fingerprint)
        return 0 if record is None else len(record.instances)

    def shared(self) -> tuple[CrashRecord, ...]:
        """Return the records that are shared with all hosts, refusals first."""
        records = self.by_fingerprint.values()
        found = [each for each in records if len(each.instances) >= SHARED_MIN]
        found.sort(key=lambda each: not each.is_refusal)
        return tuple(found)

    def recently_cleared(self) -> tuple[Fingerprint, ...]:
        """Return the requests that were cleared within `CLEARED_MS`."""
        return tuple(self._cleared_at)

    def sweep(self, now_ms: int) -> None:
        """Drop expired records."""
        for record in [each for each in self.by_fingerprint.values() if each.is_expired(now_ms)]:
            self._drop(record)
        self._cleared_at = {
            each: at for each, at in self._cleared_at.items() if now_ms - at < CLEARED_MS
        }

    def _is_refused(self, fingerprint: Fingerprint) -> bool:
        record = self.by_fingerprint.get(fingerprint)
        return record is not None and record.is_refusal

    def _extend(
        self, fingerprint: Fingerprint, instances: Iterable[UpstreamInstance], last_ms: int
    ) -> CrashRecord:
        known = self.by_fingerprint.get(fingerprint)
        if known is None:
            self._evict()
            known = CrashRecord(fingerprint, (), last_ms)
        record = known.with_instances(instances, last_ms)
        self.by_fingerprint[fingerprint] = record
        self._cleared_at.pop(fingerprint, None)
        if record.instances != known.instances and len(record.instances) >= SHARED_MIN:
            self.revision += 1
        if record.is_refusal and not known.is_refusal:
            names = ", ".join(map(str, record.instances))
            logger.warning("Request %s is refused: it crashed %s.", fingerprint, names)
        return record

    def _attribute_crashes(self, records: Iterable[CrashRecord]) -> None:
        """Attribute the crashes of refused requests to them and remove them from other records."""
        refusals = [each for each in records if each.is_refusal]
        new = {
            instance: each.fingerprint
            for each in refusals
            for instance in each.instances
            if instance not in self._cause_by_instance
        }
        if not new:
            return
        self._cause_by_instance.update(new)
        for record in list(self.by_fingerprint.values()):
            remaining = tuple(instance for instance in record.instances if instance not in new)
            if record.is_refusal or remaining == record.instances:
                continue
            if remaining:
                self.by_fingerprint[record.fingerprint] = msgspec.structs.replace(
                    record, instances=remaining
                )
            else:
                self._drop(record)

    def _attribute_to_part(self, cause: PartRecord) -> None:
        """Attribute crashes to a refused part and remove them from the records of requests."""
        new = cause.instances - self._instances_of_parts.keys()
        if not new:
            return
        self._instances_of_parts.update(dict.fromkeys(new))
        while len(self._instances_of_parts) > INSTANCES_OF_PARTS_MAX:
            del self._instances_of_parts[next(iter(self._instances_of_parts))]
        for record in list(self.by_fingerprint.values()):
            remaining = tuple(each for each in record.instances if each not in new)
            if not remaining:
                self._drop(record)
            elif remaining != record.instances:
                self.by_fingerprint[record.fingerprint] = msgspec.structs.replace(
                    record, instances=remaining
                )
                self.revision += 1

    def _evict(self) -> None:
        """Drop the oldest record of a single crash, or else the oldest of all."""
        if len(self.by_fingerprint) < SUSPECTS_MAX:
            return
        records = self.by_fingerprint.values()
        single = (each for each in records if len(each.instances) < SHARED_MIN)
        self._drop(next(single, None) or next(iter(records)))

    def _drop(self, record: CrashRecord) -> None:
        del self.by_fingerprint[record.fingerprint]
        if len(record.instances) >= SHARED_MIN:
            self.revision += 1
        for instance in record.instances:
            if self._cause_by_instance.get(instance) == record.fingerprint:
                del self._cause_by_instance[instance]

    def _forget_old_completions(self, now_ms: int) -> None:
        """Drop completions older than `RECENT_COMPLETION_MS`; the oldest come first."""
        while self._completed_at:
            fingerprint, at_ms = next(iter(self._completed_at.items()))
            if now_ms - at_ms < RECENT_COMPLETION_MS:
                return
            del self._completed_at[fingerprint]
