"""The list of upstreams, built from the entries that they write to the platform's store."""

import hashlib
import logging
from collections.abc import Collection, Iterable

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import ModelId, PoolId, RequestId, UpstreamId

from ruddersaddle_serving.cold_starts import ColdStarts
from ruddersaddle_serving.ports import TOPIC_START, StorePosition
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance

logger = logging.getLogger(__name__)
_entry_encoder = msgspec.msgpack.Encoder(order="deterministic")

LAPSE_GRACE_S = 2.0
"""How long after an outage of the store an entry that lapsed in it is kept: an upstream that is
alive has written its entry again by then."""
DIGEST_MAX = 2**63 - 1
OUTAGE_MEMORY_S = 4.0
"""How long after an outage the list may lack upstreams that are alive: two seconds until they write
again, and two until this host has read it."""
RESTORE_MEMORY_S = 10.0
"""How long after a restore of the store a complete list may still contain instances that are gone:
an entry that is not written again lapses after three missed heartbeats (3.6 s)."""
REMEMBERED_MAX = 1000
"""Number of instances remembered as gone, and as leaving; a release of 450 upstreams ends as
many."""
REPORTED_MAX = 50
"""Number of these instances that are sent to another host, about 1 KB."""
UP_TO_DATE_S = 3.0
"""Age up to which a list counts as up to date; hosts receive what others read within 1.9 s."""
FOLLOWED_AGE_MAX_S = 2.0
"""Age up to which a list shows that an upstream has had an entry without a gap."""


class EntryHash(msgspec.Struct, frozen=True):
    """An entry and its hash, which is computed once: few entries change at a time."""

    entry: UpstreamEntry
    value: int


class UpstreamList:
    """The entries by id. All times are of the boot-time clock, in seconds."""

    def __init__(self) -> None:
        self.by_id: dict[UpstreamId, UpstreamEntry] = {}
        self.cold = ColdStarts()
        self.complete = False
        self.revision = 0
        """Grows with each change of an entry."""
        self.confirmed_at = float("-inf")
        """Time before which the list has every change that the store had accepted."""
        self.end = TOPIC_START
        """Position in the store's topic up to which the list has all changes. It orders lists: the
        time of a request doesn't, as a response may have changes that the store accepted later."""
        self.lists_ignored = 0
        """Number of lists from other hosts that were ignored as older than the one in use."""
        self._hash_by_entry_id: dict[UpstreamId, EntryHash] = {}
        self._digest = 0
        self._digest_source: tuple[int, tuple[UpstreamId, ...]] | None = None
        """Revision and lapsing entries that the digest was computed of."""
        self._lapse_at_by_id: dict[UpstreamId, float] = {}
        """When entries that may have lapsed in an outage are dropped; infinity until it ends."""
        self._listed_since_by_id: dict[UpstreamId, float] = {}
        self.followed_since = float("inf")
        """Since when the list has been confirmed at least each `UP_TO_DATE_S`. An entry that was
        missing for longer in that time was missed here, too."""
        self._newest_weights_by_model: dict[ModelId, int] = {}
        self._newest_weights_revision: int | None = None
        self._unanswered_at: float | None = None
        """When the store last failed to answer this host; None once it has answered this host, or
        another one that sent its list."""
        self._grace_until = float("-inf")
        self._written_since_outage: set[UpstreamId] = set()
        """Upstreams that wrote since the last outage: a missing entry means that they left."""
        self._outage_until = 0.0
        self._gone_ignored_until = float("-inf")
        self._leaving: dict[UpstreamInstance, None] = {}
        """Instances that announced in a response that they are leaving, the latest last."""
        self._gone: dict[UpstreamInstance, None] = {}
        """Instances whose entries were dropped, the latest last."""

    @property
    def age_s(self) -> float:
        """Seconds since the list was last confirmed to be the newest."""
        return clocks.now_s() - self.confirmed_at

    @property
    def is_up_to_date(self) -> bool:
        """Whether every upstream that is alive is listed: the list is recent, and the last outage
        of the store is long enough ago."""
        return self.age_s < UP_TO_DATE_S and clocks.now_s() >= self._outage_until

    def record_outage(self) -> None:
        """Record that the store does not answer; entries may lapse meanwhile."""
        self._unanswered_at = clocks.now_s()
        self._written_since_outage.clear()
        self._outage_until = self._unanswered_at + OUTAGE_MEMORY_S

    def _end_outage(self, at: float) -> None:
        """Record that the store answers again, as of a time."""
        self._unanswered_at = None
        self._grace_until = at + LAPSE_GRACE_S
        for upstream, until in self._lapse_at_by_id.items():
            self._lapse_at_by_id[upstream] = min(until, self._grace_until)

    def record_restore(self) -> None:
        """Record that the store was restored from a copy some seconds old.

        What upstreams wrote since the copy is missing until they write it again; instances that
        left since are listed again, though they accept no more work.
        """
        self.record_outage()
        self._end_outage(clocks.now_s())
        self.ignore_gone_instances()

    def ignore_gone_instances(self) -> None:
        """For a while, ignore entries of instances known to be gone: lists of the store and of
        other hosts may come from the restored copy."""
        self._gone_ignored_until = clocks.now_s() + RESTORE_MEMORY_S

    def _is_known_gone(self, instance: UpstreamInstance) -> bool:
        """Return whether an instance listed in the restored copy is known to be gone."""
        return clocks.now_s() < self._gone_ignored_until and instance in self._gone

    def replace(
        self,
        entries: Iterable[UpstreamEntry],
        asked_at: float,
        end: StorePosition = TOPIC_START,
    ) -> None:
        """Apply a complete list read from the store, which ends at `end`."""
        self._replace(
            [entry for entry in entries if not self._is_known_gone(entry.instance)], asked_at
        )
        self.advance(end)

    def covers(self, end: StorePosition) -> bool:
        """Return whether this list has all changes before a position, and later ones."""
        return end < self.end

    def advance(self, end: StorePosition) -> None:
        """Record that all changes before a position have been applied."""
        self.end = max(self.end, end)

    def confirm_covered(self, end: StorePosition, asked_at: float) -> None:
        """Confirm the list by a response that has no changes beyond those that this list has.

        A response of an earlier era says nothing of a list that was read after a restore.
        """
        if end.era == self.end.era:
            self.confirm(asked_at)

    @property
    def digest(self) -> int:
        """Digest of the entries that the store has; equal on hosts with equal lists.

        Entries kept for a grace period don't count: which ones a host keeps depends on what it
        knew before the outage.
        """
        source = (self.revision, self.lapsing)
        if source != self._digest_source:
            self._digest_source = source
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> int:
        known = self._hash_by_entry_id
        self._hash_by_entry_id = {
            each.id: known[each.id]
            if each.id in known and known[each.id].entry is each
            else EntryHash(each, _hash_entry(each))
            for each in self.by_id.values()
            if each.id not in self._lapse_at_by_id
        }
        return sum(each.value for each in self._hash_by_entry_id.values()) & DIGEST_MAX

    def replace_reported(
        self,
        entries: Collection[UpstreamEntry],
        lapsing: Collection[UpstreamId],
        asked_at: float,
        gone: Collection[UpstreamInstance] = (),
        end: StorePosition = TOPIC_START,
    ) -> None:
        """Apply a complete list that another host sent.

        `lapsing` names the entries of it that the sender keeps for a grace period only, `gone` the
        instances that it has dropped for good. A lapsing entry that is known here stays for the
        same grace period, but it is never added: otherwise two hosts would keep it for each other
        forever.
        """
        known = {entry.instance for entry in self.by_id.values()}
        kept = {each.instance for each in entries if each.id in lapsing}
        fresh = [
            each
            for each in entries
            if each.id not in lapsing and not self._is_known_gone(each.instance)
        ]
        for left in set(gone) - {each.instance for each in fresh}:
            if left in known:
                self.drop(left.id)
            else:
                _remember(self._gone, left)
        until = clocks.now_s() + LAPSE_GRACE_S
        for instance in known & kept - set(gone):
            self._lapse_at_by_id.setdefault(instance.id, until)
        self._replace(fresh, asked_at, {instance.id for instance in kept})
        self.advance(end)

    @property
    def lapsing(self) -> tuple[UpstreamId, ...]:
        """The entries that are missing in the store and kept for a grace period."""
        return tuple(self._lapse_at_by_id)

    def _replace(
        self,
        entries: Iterable[UpstreamEntry],
        asked_at: float,
        kept: Collection[UpstreamId] = (),
    ) -> None:
        found = {entry.id: entry for entry in entries}
        for gone in set(self.by_id) - set(found) - set(kept):
            self.remove(gone)
        for entry in found.values():
            self.put(entry)
        self.complete = True
        self.confirm(asked_at)

    def put_written(self, entry: UpstreamEntry) -> None:
        """Apply an entry that its upstream has just written."""
        if self._unanswered_at is None and clocks.now_s() < self._outage_until:
            self._written_since_outage.add(entry.id)
        self.put(entry)

    def put(self, entry: UpstreamEntry) -> None:
        """Apply one entry."""
        known = self.by_id.get(entry.id)
        if known is not None and known.is_later_than(entry):
            logger.info("Entry of %s ignored: a later instance is known.", entry.instance)
            return
        if entry.heartbeat is not None:
            # Each change of an entry is sent to all hosts; a heartbeat must not count as one.
            self.cold.apply(entry.instance, entry.heartbeat)
            entry = msgspec.structs.replace(entry, heartbeat=None)
        entry = _with_known_version(entry, known)
        is_other = known is not None and known.instance != entry.instance
        if known is None or is_other or entry.id in self._lapse_at_by_id:
            self._listed_since_by_id[entry.id] = clocks.now_s()
        self._lapse_at_by_id.pop(entry.id, None)
        self._gone.pop(entry.instance, None)
        is_same = known is not None and not entry.is_later_than(known)
        if (is_same and known.leaving) or entry.instance in self._leaving:
            # Leaving is final for an instance.
            entry = msgspec.structs.replace(entry, leaving=True)
        self.by_id[entry.id] = entry
        if known != entry:
            self.revision += 1
            logger.info(
                "Upstream %s of %s at %s: leaving %s, versions %s, born %s.",
                entry.id,
                entry.pool,
                entry.address,
                entry.leaving,
                entry.version_by_model,
                entry.born_ms,
            )

    def remove(self, upstream: UpstreamId) -> None:
        """Record that an entry is missing: its upstream left, or it lapsed in an outage."""
        if upstream not in self.by_id:
            return
        is_outage = self._unanswered_at is not None
        until = float("inf") if is_outage else self._grace_until
        if upstream in self._written_since_outage or clocks.now_s() >= until:
            self.drop(upstream)
        elif upstream not in self._lapse_at_by_id:
            logger.info("Entry of %s is gone after an outage of the store.", upstream)
            self._lapse_at_by_id[upstream] = until

    def confirm(self, asked_at: float) -> None:
        """Confirm the list as of a request sent at `asked_at`; drop lapsed entries."""
        if asked_at - self.confirmed_at > UP_TO_DATE_S:
            self.followed_since = clocks.now_s()
        self.confirmed_at = max(self.confirmed_at, asked_at)
        if self._unanswered_at is not None and asked_at > self._unanswered_at:
            self._end_outage(asked_at)
        self._drop_lapsed()

    def _drop_lapsed(self) -> None:
        """Drop entries that lapsed in an outage and were not written again in time."""
        now = clocks.now_s()
        for upstream, until in list(self._lapse_at_by_id.items()):
            if now >= until:
                self.drop(upstream)

    def drop(self, upstream: UpstreamId) -> None:
        """Drop an entry at once."""
        self._lapse_at_by_id.pop(upstream, None)
        self._listed_since_by_id.pop(upstream, None)
        self._written_since_outage.discard(upstream)
        entry = self.by_id.pop(upstream, None)
        if entry is not None:
            self.revision += 1
            _remember(self._gone, entry.instance)
            self.cold.keep_only(self.instances())
            logger.info("Upstream %s of %s at %s is gone.", upstream, entry.pool, entry.address)

    def record_leaving(
        self, instance: UpstreamInstance, request: RequestId | None, reporter: str
    ) -> None:
        """Record that an instance announced that it is leaving, in a response to host `reporter`.

        Its entry may say otherwise until the store accepts its next write.
        """
        if instance not in self._leaving:
            extra = {"request": request, "told_by": reporter}
            logger.info("Upstream %s announced that it is leaving.", instance, extra=extra)
            self.apply_leaving([instance])

    def apply_leaving(self, instances: Iterable[UpstreamInstance]) -> None:
        """Apply the instances that announced that they are leaving."""
        for instance in instances:
            if instance in self._leaving:
                continue
            _remember(self._leaving, instance)
            entry = self.by_id.get(instance.id)
            if entry is not None and entry.instance == instance:
                self.put(entry)

    def is_leaving(self, instance: UpstreamInstance) -> bool:
        """Return whether an instance is leaving, by its announcement or by its entry."""
        return instance in self._leaving or (
            self.is_listed(instance) and self.by_id[instance.id].leaving
        )

    def entry_followed_since(self, upstream: UpstreamId) -> float:
        """Return since when this host knows that an upstream has had an entry without a gap.

        Infinity if it doesn't know: the upstream isn't listed, or the list is not recent.
        """
        if self.age_s > FOLLOWED_AGE_MAX_S:
            return float("inf")
        listed_since = self._listed_since_by_id.get(upstream, float("inf"))
        return max(listed_since, self.followed_since)

    def newest_weights(self, model: ModelId) -> int:
        """Return the newest weights of a model that any listed upstream has; 0 if none has any."""
        if self._newest_weights_revision != self.revision:
            self._newest_weights_revision = self.revision
            self._newest_weights_by_model = {}
            for entry in self.by_id.values():
                for name, version in entry.version_by_model.items():
                    known = self._newest_weights_by_model.get(name, 0)
                    self._newest_weights_by_model[name] = max(known, version)
        return self._newest_weights_by_model.get(model, 0)

    def is_listed(self, instance: UpstreamInstance) -> bool:
        """Return whether an instance has an entry; otherwise it left, or another replaced it."""
        entry = self.by_id.get(instance.id)
        return entry is not None and entry.instance == instance

    def leaving(self) -> tuple[UpstreamInstance, ...]:
        """Return the instances that announced last that they are leaving, to send to hosts."""
        return tuple(self._leaving)[-REPORTED_MAX:]

    def recently_gone(self) -> tuple[UpstreamInstance, ...]:
        """Return the instances that were dropped last, to send to hosts that have just started."""
        return tuple(self._gone)[-REPORTED_MAX:]

    def record_gone(self, instances: Iterable[UpstreamInstance]) -> None:
        """Record instances that another host knows to be gone."""
        for instance in instances:
            _remember(self._gone, instance)

    def drop_gone(self) -> None:
        """Drop instances known to be gone: the store may list them from a restored copy."""
        for entry in list(self.by_id.values()):
            if entry.instance in self._gone:
                self.drop(entry.id)

    def instances(self) -> list[UpstreamInstance]:
        """Return all instances that are listed."""
        return [entry.instance for entry in self.by_id.values()]

    def of_pool(self, pool: PoolId) -> list[UpstreamEntry]:
        """Return the entries of a pool that accept new work."""
        self._drop_lapsed()
        return [each for each in self.by_id.values() if each.pool == pool and not each.leaving]


def _hash_entry(entry: UpstreamEntry) -> int:
    data = _entry_encoder.encode(entry)
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def _with_known_version(entry: UpstreamEntry, known: UpstreamEntry | None) -> UpstreamEntry:
    """Return an entry with the software version that is known of the same process.

    Hosts of an earlier program version send entries without it. Where upstreams don't publish their
    start, the process may be another one, so that its version is unknown.
    """
    if known is None or entry.software_version is not msgspec.UNSET or entry.born_ms is None:
        return entry
    if known.instance != entry.instance:
        return entry
    return msgspec.structs.replace(entry, software_version=known.software_version)


def _remember(instances: dict[UpstreamInstance, None], instance: UpstreamInstance) -> None:
    """Move an instance to the end, and forget the first one if there are too many."""
    instances.pop(instance, None)
    instances[instance] = None
    if len(instances) > REMEMBERED_MAX:
        del instances[next(iter(instances))]
