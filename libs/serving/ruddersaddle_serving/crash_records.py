"""Which requests crash the upstreams that run them, by what all hosts have seen.

Load pattern: one request ends each upstream that begins it, and comes again at any host, several
copies at once. All other runs end with each upstream, so that every crash has dozens of suspects.
What tells the cause from the others: it is in every crash, and never ends whole. So:

- A request is refused once it was in the crashes of `CRASHES_MAX` instances of upstreams.
- One that ends whole is cleared; one that ended whole just before a crash is no suspect of it,
  which keeps requests that everybody sends out of it.
- Crashes that a refused request explains count against nobody else.

Nothing here reads a clock. Moments are Unix times in ms, since records outlive hosts.
"""

import logging
import random
from collections.abc import Iterable

import msgspec

from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.upstream_entries import UpstreamStart
from ruddersaddle_serving.upstream_lists import REVISION_BITS

logger = logging.getLogger(__name__)

CRASHES_MAX = 3
"""Crashes after which a request is refused. Fewer would take bystanders for the cause: of 158
prompts whose engine crashed under them in one day, 43 met two or more; one was the cause."""
SHARED_MIN = 2
"""Crashes from which on a record is kept in the store. Most suspects are in one crash only; a
request that hosts know of one by one gets there with its next crash."""
REFUSAL_MS = 600_000
"""How long a request is refused after its last crash, so that one that a new release can run gets
its chance; with each further crash it is twice as long."""
REFUSAL_MAX_MS = 86_400_000
RECENT_COMPLETION_MS = 2000
"""A request that ended whole so shortly before a crash did not cause it. Longer would hide one that
has only begun to crash upstreams from its first crashes."""
SUSPECTS_MAX = 4096
"""Requests that are remembered: 32 engines with 128 runs each; 0.6 MB of memory (tracemalloc)."""
INSTANCES_MAX = 12
"""Crashes of one request that are remembered; more make its refusal no longer."""
CLEARED_MS = 60_000
"""How long it is told that a request was cleared; hosts ask each other every 0.6 s."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """One instance of an upstream that ended without notice, and what it ran or had queued."""

    instance: UpstreamStart
    fingerprints: tuple[Fingerprint, ...]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The instances of upstreams that ended under one request."""

    fingerprint: Fingerprint
    instances: tuple[UpstreamStart, ...]
    last_ms: int
    """When the last of them ended."""

    @property
    def is_refusal(self) -> bool:
        """Whether these are enough to refuse the request."""
        return len(self.instances) >= CRASHES_MAX

    @property
    def until_ms(self) -> int:
        """Until when the request is refused, or suspected."""
        doublings = max(0, len(self.instances) - CRASHES_MAX)
        return self.last_ms + min(REFUSAL_MAX_MS, REFUSAL_MS << doublings)

    def is_expired(self, now_ms: int) -> bool:
        """Return whether nothing follows from it any more.

        A request that was refused is remembered as long again: its next crash refuses it at once.
        """
        spare_ms = self.until_ms - self.last_ms if self.is_refusal else 0
        return now_ms >= self.until_ms + spare_ms

    def with_instances(self, instances: Iterable[UpstreamStart], last_ms: int) -> "CrashRecord":
        """Return the record with further crashes.

        Which ones are kept doesn't hang on the order in which hosts heard of them, so that all of
        them come to the same record.
        """
        kept = tuple(sorted({*self.instances, *instances}, key=str)[:INSTANCES_MAX])
        return CrashRecord(self.fingerprint, kept, max(self.last_ms, last_ms))


class CrashRecords:
    """The records of this host, from its own crashes and from what others told."""

    def __init__(self) -> None:
        self.by_fingerprint: dict[Fingerprint, CrashRecord] = {}
        self.revision = random.getrandbits(REVISION_BITS)
        """Grows with each change of what is shared; begins anywhere: two processes differ."""
        self.cleared = 0
        """Suspects that ended whole."""
        self._completed_at: dict[Fingerprint, int] = {}
        """Requests that ended whole a moment ago, the latest last."""
        self._cleared_at: dict[Fingerprint, int] = {}
        self._cause_by_instance: dict[UpstreamStart, Fingerprint] = {}
        """Starts whose end a refused request explains."""

    # What was seen

    def record_crash(self, crash: Crash, now_ms: int) -> list[CrashRecord]:
        """Take a crash; return the records that it changed."""
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
        """Take what another host or the store has of a request; return all that is known."""
        fingerprint = record.fingerprint
        cleared_ms = self._cleared_at.get(fingerprint)
        is_stale = cleared_ms is not None and record.last_ms <= cleared_ms
        instances = record.instances
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

    def record_completion(self, fingerprint: Fingerprint, now_ms: int) -> bool:
        """Take that a run of a request ended whole; return whether it was suspected."""
        self._completed_at.pop(fingerprint, None)
        self._completed_at[fingerprint] = now_ms
        self._forget_old_completions(now_ms)
        return self.clear(fingerprint, now_ms)

    def completed_recently(self, fingerprint: Fingerprint, now_ms: int) -> bool:
        """Return whether a run of a request ended whole here a moment ago."""
        self._forget_old_completions(now_ms)
        return fingerprint in self._completed_at

    def clear(self, fingerprint: Fingerprint, now_ms: int) -> bool:
        """Drop what is held against a request; return whether there was something."""
        record = self.by_fingerprint.get(fingerprint)
        if record is None:
            return False
        self._drop(record)
        self.cleared += 1
        self._cleared_at[fingerprint] = now_ms
        if record.is_refusal:
            logger.info("Request %s is taken again: a run of it ended whole.", fingerprint)
        return True

    # What follows from it

    def find_refusal(self, fingerprint: Fingerprint, now_ms: int) -> CrashRecord | None:
        """Return the record for which a request is refused now, or None."""
        record = self.by_fingerprint.get(fingerprint)
        if record is None or not record.is_refusal or now_ms >= record.until_ms:
            return None
        return record

    def count(self, fingerprint: Fingerprint) -> int:
        """Return how many instances are known to have ended under a request."""
        record = self.by_fingerprint.get(fingerprint)
        return 0 if record is None else len(record.instances)

    def shared(self) -> tuple[CrashRecord, ...]:
        """Return the records that all hosts have to know."""
        records = self.by_fingerprint.values()
        return tuple(each for each in records if len(each.instances) >= SHARED_MIN)

    def recently_cleared(self) -> tuple[Fingerprint, ...]:
        """Return the requests that were cleared a short while ago."""
        return tuple(self._cleared_at)

    def sweep(self, now_ms: int) -> None:
        """Drop what is over."""
        for record in [each for each in self.by_fingerprint.values() if each.is_expired(now_ms)]:
            self._drop(record)
        self._cleared_at = {
            each: at for each, at in self._cleared_at.items() if now_ms - at < CLEARED_MS
        }

    def _is_refused(self, fingerprint: Fingerprint) -> bool:
        record = self.by_fingerprint.get(fingerprint)
        return record is not None and record.is_refusal

    def _extend(
        self, fingerprint: Fingerprint, instances: Iterable[UpstreamStart], last_ms: int
    ) -> CrashRecord:
        known = self.by_fingerprint.get(fingerprint)
        if known is None:
            self._make_room()
            known = CrashRecord(fingerprint, (), last_ms)
        record = known.with_instances(instances, last_ms)
        self.by_fingerprint[fingerprint] = record
        self._cleared_at.pop(fingerprint, None)
        if record.instances != known.instances and len(record.instances) >= SHARED_MIN:
            self.revision += 1
        if record.is_refusal and not known.is_refusal:
            names = ", ".join(map(str, record.instances))
            logger.warning("Request %s is refused: under it ended %s.", fingerprint, names)
        return record

    def _attribute_crashes(self, records: Iterable[CrashRecord]) -> None:
        """Hold crashes under refused requests against nobody else."""
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
            left = tuple(instance for instance in record.instances if instance not in new)
            if record.is_refusal or left == record.instances:
                continue
            if left:
                self.by_fingerprint[record.fingerprint] = msgspec.structs.replace(
                    record, instances=left
                )
            else:
                self._drop(record)

    def _make_room(self) -> None:
        """Forget the oldest suspect of one crash, or else the oldest of all."""
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
        """Forget whole runs that are too long ago; the oldest come first."""
        while self._completed_at:
            fingerprint, at_ms = next(iter(self._completed_at.items()))
            if now_ms - at_ms < RECENT_COMPLETION_MS:
                return
            del self._completed_at[fingerprint]
