"""Shares between hosts which requests crash upstreams.

Messages between hosts carry each crash within milliseconds, but they may be dropped silently, and a
host may be partitioned from the others. The records are therefore written to the platform's store
as well: a host that reaches the store knows which requests to refuse.
"""

import logging
import math
import random
from collections.abc import Iterable
from enum import Enum

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import decode_json, encode_json
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_base.tasks import spawn_forever

from ruddersaddle_serving.crash_records import (
    SHARED_MIN,
    SUSPECTS_MAX,
    Crash,
    CrashRecord,
    CrashRecords,
)
from ruddersaddle_serving.fingerprints import Fingerprint, PartKey
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.load_shares import DIRECT_HOSTS_MAX
from ruddersaddle_serving.part_crashes import PartClearance, PartRecord
from ruddersaddle_serving.part_verdicts import SETTLING_MS
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.ports import (
    TOPIC_START,
    MetadataStore,
    Page,
    Record,
    StorePosition,
    Topic,
)
from ruddersaddle_serving.record_faults import RecordFaults
from ruddersaddle_serving.upstream_entries import UpstreamInstance

logger = logging.getLogger(__name__)

MS_PER_S = 1000
SEND_DELAY_S = 0.01
"""Delay in which crashes are collected into one message: a crash cuts many runs at a time."""
WRITE_PAUSE_S = 0.2
"""Shortest pause between writes of one host; records that change meanwhile go in one call. A new
refusal ends it early, as hosts that all lose power remember only what was written."""
REFUSAL_POLL_S = 0.01
WRITES_PER_S = 100.0
"""Rate limit for the writes of all hosts together: a quarter of the store's 400 a second."""
BACKUP_WRITE_DELAY_S = 1.0
"""A host that did not see the last crash itself writes after this delay, unless the host that saw
it has written by then; readers receive a write within milliseconds."""
SWEEP_S = 5.0
"""Interval at which expired records are removed."""
CLEARING_DELAY_S = 0.25
"""Delay after which the record of a part that is not refused is written: answers clear most parts
within this time."""
CLEARANCE_SPREAD_S = 0.2
"""Longest delay of a clearance."""
SPREAD_PER_HOST_S = 0.002
PART_PREFIX = "part:"
"""Prefix of the store's keys of parts; other keys are fingerprints of requests."""
CRASH_RECORDS_MAX = 512
"""Most records sent in one message, refusals first, or kept in the store; each takes 114 to 145
bytes."""

PART_RECORDS_MAX = 64
"""Most records of parts sent in one state update, refusals first; each takes some 600 bytes."""


def store_key(part: PartKey) -> str:
    """Return the key of a part's record in the store."""
    return PART_PREFIX + part


class Hop(Enum):
    """How far a message has been relayed; with many hosts, the halls' readers relay it."""

    FIRST = 0
    """From the host that saw the crash, to all others or to the reader of its hall."""
    TO_READERS = 1
    """From that reader, to its hall and the other readers."""
    TO_HALL = 2
    """From another reader, to its hall."""
    TO_REGIONS = 3
    """From the first reader of a region, to the first readers of the other regions."""
    FROM_REGION = 4
    """From such a reader, to its hall and the readers of its region's other halls."""


class CrashUpdate(msgspec.Struct, frozen=True, tag="crash_news"):
    """Reports crashes that were seen and suspects that completed; it has no reply."""

    address: str
    crashes: tuple[Crash, ...]
    cleared: tuple[Fingerprint, ...]
    hop: Hop = Hop.FIRST
    cleared_parts: tuple[PartClearance, ...] = ()


class CrashNews(msgspec.Struct, frozen=True):
    """Reports that go into one message."""

    crashes: tuple[Crash, ...] = ()
    cleared: tuple[Fingerprint, ...] = ()
    cleared_parts: tuple[PartClearance, ...] = ()


class PendingUpdate:
    """Crashes and cleared requests that go into the next message."""

    def __init__(self) -> None:
        self.crash_by_instance: dict[UpstreamInstance, Crash] = {}
        self.cleared: dict[Fingerprint, None] = {}
        self.cleared_by_part: dict[PartKey, dict[UpstreamInstance, None]] = {}

    def add(self, news: CrashNews) -> None:
        """Add reports, merging those of the same crash or part."""
        for crash in news.crashes:
            known = self.crash_by_instance.get(crash.instance)
            self.crash_by_instance[crash.instance] = crash if known is None else known.merge(crash)
        self.cleared.update(dict.fromkeys(news.cleared))
        for each in news.cleared_parts:
            found = self.cleared_by_part.setdefault(each.part, {})
            found.update(dict.fromkeys(each.instances))

    def clearances(self) -> tuple[PartClearance, ...]:
        """Return what was collected on cleared parts."""
        return tuple(
            PartClearance(part, tuple(found)) for part, found in self.cleared_by_part.items()
        )


class CrashShares:
    """Exchanges crashes with other hosts, and keeps the store's records up to date."""

    def __init__(
        self, hosts: Hosts, peers: Peers, store: MetadataStore, records: CrashRecords
    ) -> None:
        self.hosts = hosts
        self.peers = peers
        self.store = store
        self.records = records
        self.confirmed_at = float("-inf")
        """When the last request to the store, or to a host that follows it, was sent of which the
        answer was applied."""
        self.end = TOPIC_START
        """Position in the store's topic up to which this host has read and applied all changes."""
        self.told_end = TOPIC_START
        """The latest position of another host whose records were applied."""
        self.writes = 0
        self._pending_by_hop: dict[Hop, PendingUpdate] = {}
        self._stored: dict[str, CrashRecord | PartRecord] = {}
        """The store's records by key, as far as this host knows."""
        self._unapplied: dict[str, CrashRecord | PartRecord | None] = {}
        """Former records of keys whose changes were read up to `told_end` but not applied yet."""
        self._written_at: dict[str, float] = {}
        """When this host wrote records since the topic was last read completely."""
        self._told: dict[str, StorePosition] = {}
        """Up to where other hosts had read that have sent a record, by its key, since the topic was
        last read completely."""
        self._seen_locally: dict[str, None] = {}
        """Keys of requests and parts with a crash that this host saw itself, the oldest first."""
        self._cleared_elsewhere: dict[tuple[PartKey, UpstreamInstance], None] = {}
        """Clearances that other hosts have sent, the latest last."""
        self._dirty: set[str] = set()
        self._is_writing = False

    def start(self) -> None:
        """Start the task that removes expired records from the store."""
        spawn_forever("crash records", self._sweep)

    @property
    def are_known(self) -> bool:
        """Whether the records were read since the start, from the store or another host."""
        return self.confirmed_at != float("-inf")

    @property
    def age_s(self) -> float:
        """Seconds since the records were last confirmed."""
        return clocks.now_s() - self.confirmed_at

    @property
    def told_age_s(self) -> float:
        """Age of the records as another host learns them by a state update.

        Infinity if there are more refusals than one update holds: it confirms nothing then, so that
        the other host reads the store itself.
        """
        records, parts = self.records, self.records.parts
        if (
            len(records.by_fingerprint) <= CRASH_RECORDS_MAX
            and len(parts.by_part) <= PART_RECORDS_MAX
        ):
            return self.age_s
        left_out = (*records.shared()[CRASH_RECORDS_MAX:], *parts.shared()[PART_RECORDS_MAX:])
        return math.inf if any(each.is_refusal for each in left_out) else self.age_s

    # Between hosts

    def broadcast_crash(self, crash: Crash) -> None:
        """Record a crash that this host has seen, and send it to the other hosts."""
        self._seen_locally.update(dict.fromkeys(crash.fingerprints))
        self._seen_locally.update(dict.fromkeys(store_key(each.part) for each in crash.parts))
        while len(self._seen_locally) > SUSPECTS_MAX:
            del self._seen_locally[next(iter(self._seen_locally))]
        self._record_crash(crash, 0.0)
        self._send_first(CrashNews(crashes=(crash,)))

    def broadcast_cleared(self, fingerprint: Fingerprint) -> None:
        """Send that a suspect completed; the records must have been updated before."""
        self._send_first(CrashNews(cleared=(fingerprint,)))
        self._write_soon(fingerprint, 0.0)

    def broadcast_cleared_parts(self, clearances: list[PartClearance]) -> None:
        """Send that parts were cleared; the records must have been updated before.

        After a crash all hosts have answers that clear its most common parts. Each sends after a
        random delay, and only what no other host has sent by then.
        """
        delay_s = random.random() * min(CLEARANCE_SPREAD_S, self.hosts.count * SPREAD_PER_HOST_S)
        eventlet.spawn_after(delay_s, self._send_clearances, clearances)

    def _send_clearances(self, clearances: list[PartClearance]) -> None:
        news = []
        for each in clearances:
            left = tuple(
                instance
                for instance in each.instances
                if (each.part, instance) not in self._cleared_elsewhere
            )
            if left:
                news.append(PartClearance(each.part, left))
        if news:
            self._send_first(CrashNews(cleared_parts=tuple(news)))
        for each in news:
            self._write_soon(store_key(each.part), 0.0)

    def _apply_clearances(self, clearances: Iterable[PartClearance]) -> None:
        """Apply what other hosts have sent on cleared parts."""
        for each in clearances:
            keys = ((each.part, instance) for instance in each.instances)
            self._cleared_elsewhere.update(dict.fromkeys(keys))
            is_news = self.records.parts.clear(each, clocks.unix_ms())
            if is_news and self.hosts.is_reader():
                self._write_soon(store_key(each.part), BACKUP_WRITE_DELAY_S)
        while len(self._cleared_elsewhere) > SUSPECTS_MAX:
            del self._cleared_elsewhere[next(iter(self._cleared_elsewhere))]

    def _send_first(self, news: CrashNews) -> None:
        self._send_soon(Hop.TO_READERS if self._relays_for_hall else Hop.FIRST, news)
        if self.hosts.is_region_reader:
            self._send_soon(Hop.TO_REGIONS, news)

    def _send_soon(self, hop: Hop, news: CrashNews) -> None:
        """Send a message after a delay, with everything that is added until then.

        Hundreds of hosts may lose runs at one upstream. With 195 hosts in five halls, readers that
        relayed each report by itself would send 37,800 messages for one crash; this way it is 990.
        """
        pending = self._pending_by_hop.get(hop)
        if pending is None:
            pending = self._pending_by_hop[hop] = PendingUpdate()
            eventlet.spawn_after(SEND_DELAY_S, self._send, hop)
        pending.add(news)

    def _send(self, hop: Hop) -> None:
        pending = self._pending_by_hop.pop(hop)
        update = CrashUpdate(
            self.hosts.own.address,
            tuple(pending.crash_by_instance.values()),
            tuple(pending.cleared),
            hop,
            pending.clearances(),
        )
        self.peers.broadcast(self._targets(hop), update)

    @property
    def _relays_for_hall(self) -> bool:
        """Whether this host relays the messages of its hall's hosts."""
        hosts = self.hosts
        return not self._is_direct and hosts.hall_reader() == hosts.own.address

    @property
    def _is_direct(self) -> bool:
        """Whether the region has so few hosts that each notifies all others."""
        return self.hosts.region_count <= DIRECT_HOSTS_MAX

    def _targets(self, hop: Hop) -> list[str]:
        hosts = self.hosts
        match hop:
            case Hop.TO_REGIONS:
                return sorted(hosts.other_region_readers().values())
            case Hop.FIRST | Hop.FROM_REGION if self._is_direct:
                return hosts.region_addresses()
            case Hop.FIRST:
                return [hosts.hall_reader()]
            case Hop.TO_READERS | Hop.FROM_REGION:
                readers = set(hosts.region_reader_by_hall().values()) - {hosts.own.address}
                return sorted({*hosts.hall_addresses(), *readers})
            case Hop.TO_HALL:
                return hosts.hall_addresses()

    def apply_update(self, update: CrashUpdate) -> None:
        """Apply an update of another host, and relay it if this host relays for its hall."""
        now_ms = clocks.unix_ms()
        for crash in update.crashes:
            self._record_crash(crash, BACKUP_WRITE_DELAY_S)
            completed = [
                each for each in crash.fingerprints if self.records.completed_recently(each, now_ms)
            ]
            for fingerprint in completed:
                self.broadcast_cleared(fingerprint)
        self.apply_cleared(update.cleared)
        self._apply_clearances(update.cleared_parts)
        news = CrashNews(update.crashes, update.cleared, update.cleared_parts)
        for next_hop in self._next_hops(update.hop):
            self._send_soon(next_hop, news)

    def _next_hops(self, hop: Hop) -> list[Hop]:
        """Return how this host relays a message that arrived by a hop."""
        match hop:
            case Hop.TO_HALL:
                return []
            case Hop.TO_REGIONS:
                return [Hop.FROM_REGION]
            case Hop.FROM_REGION:
                return [Hop.TO_HALL] if self._relays_for_hall else []
        hops = [Hop.TO_REGIONS] if self.hosts.is_region_reader else []
        if self._relays_for_hall:
            hops.append(Hop.TO_READERS if hop is Hop.FIRST else Hop.TO_HALL)
        return hops

    def _record_crash(self, crash: Crash, delay_s: float) -> None:
        now_ms = clocks.unix_ms()
        parts = self.records.parts
        at_ms = now_ms - crash.age_ms
        for part in parts.record_crash(crash.instance, crash.parts, at_ms, now_ms):
            self._write_part_soon(part, delay_s)
        if crash.parts:
            eventlet.spawn_after(SETTLING_MS / MS_PER_S, self._judge_settled)
        for record in self.records.record_crash(crash, now_ms):
            if len(record.instances) >= SHARED_MIN and self._may_write(record.fingerprint):
                self._write_soon(record.fingerprint, delay_s)

    def _judge_settled(self) -> None:
        """Judge parts again, once all hosts have reported their runs of a crash."""
        for part in self.records.parts.judge(clocks.unix_ms()):
            self._write_part_soon(part, 0.0)

    def _write_part_soon(self, part: PartKey, delay_s: float) -> None:
        """Write a part's record, unless answers clear it first, as they do for most parts."""
        record = self.records.parts.by_part.get(part)
        key = store_key(part)
        if record is None or len(record.crashes) < SHARED_MIN or not self._may_write(key):
            return
        self._write_soon(key, delay_s if record.is_refusal else delay_s + CLEARING_DELAY_S)

    def _may_write(self, key: str) -> bool:
        """Return whether this host may write the store's record of a request or a part.

        A host that has only received the crash, and does not follow the store, cannot know whether
        the record was written: without this rule 37 of 40 hosts wrote the same record again.
        """
        return key in self._seen_locally or self.hosts.is_reader()

    # Between hosts and the store

    def confirm(self, asked_at: float) -> None:
        """Record that the records are as new as a request sent at `asked_at`."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def apply_page(self, page: Page, complete: bool, asked_at: float, faults: RecordFaults) -> None:
        """Apply records of the store, as of a request sent at `asked_at`.

        What was deleted since must not be refused again: changes that lie before what other hosts
        have told are applied only once all of them have been read.
        """
        for record in page.records:
            at = page.end if complete else StorePosition(page.end.era, record.offset)
            with faults.contain(record):
                if at < self.told_end:
                    self._unapplied.setdefault(record.key, self._stored.get(record.key))
                    self._note(record)
                else:
                    self.apply_record(record)
        if page.end < self.told_end:
            return
        if complete:
            self._drop_missing({record.key for record in page.records}, asked_at, page.end)
        for key, former in self._unapplied.items():
            self._apply_stored(key, former)
        self._unapplied.clear()
        self.end = max(self.end, page.end)

    def _drop_missing(self, found: set[str], asked_at: float, end: StorePosition) -> None:
        """Drop what the complete topic lacks; the store may no longer have the deletions.

        What this host wrote after it had asked for the topic stays, and what was told of an earlier
        era: a restored store lacks it, too.
        """
        told = {key for key, at in self._told.items() if at.era == end.era}
        missing = (self._stored.keys() | told) - found
        for key in missing:
            if self._written_at.get(key, float("-inf")) < asked_at:
                self._unapplied.setdefault(key, self._stored.get(key) or self._known(key))
                self._stored.pop(key, None)
        self._told.clear()
        self._written_at.clear()

    def apply_told(
        self,
        records: tuple[CrashRecord, ...],
        part_records: tuple[PartRecord, ...],
        end: StorePosition | msgspec.UnsetType,
    ) -> None:
        """Apply the records of a host that has read up to a position."""
        self.apply_records(records)
        self.apply_part_records(part_records)
        if end is msgspec.UNSET:
            return
        self.told_end = max(self.told_end, end)
        self._told.update(dict.fromkeys(map(_key_of, (*records, *part_records)), end))
        while len(self._told) > SUSPECTS_MAX:
            del self._told[next(iter(self._told))]

    def lags(self, end: StorePosition | msgspec.UnsetType) -> bool:
        """Return whether the records of a host that has read up to a position may be outdated.

        The position is unset for hosts of the former version.
        """
        return end is not msgspec.UNSET and end < max(self.end, self.told_end)

    def record_restore(self) -> None:
        """Record that the store was restored from a copy: its records are not known any more."""
        self._stored.clear()
        self._told.clear()
        self._unapplied.clear()

    def write_missing(self) -> None:
        """Write the records that a completely read store lacks.

        The first reader writes at once; the others wait by their rank, in case that it does not.
        """
        if not self.hosts.is_reader():
            return
        delay_s = BACKUP_WRITE_DELAY_S * self.hosts.reader_rank()
        keys = [each.fingerprint for each in self.records.shared()]
        keys += [store_key(each.part) for each in self.records.parts.shared()]
        for key in keys:
            if self._needs_write(key):
                self._write_soon(key, delay_s)

    def apply_record(self, record: Record) -> None:
        """Apply one record of the store; one without a value was deleted."""
        former = self._stored.get(record.key)
        if self._note(record):
            self._apply_stored(record.key, former)

    def _apply_stored(self, key: str, former: CrashRecord | PartRecord | None) -> None:
        """Apply what the store holds for a key, and held before."""
        match self._stored.get(key):
            case CrashRecord() as stored:
                self.apply_records((stored,))
            case PartRecord() as stored:
                self.apply_part_records((stored,))
            case None:
                self._apply_deletion(key, former)

    def _note(self, record: Record) -> bool:
        """Record what the store holds for a key; return whether the record is usable."""
        if not record.value:
            self._stored.pop(record.key, None)
            return True
        is_part = record.key.startswith(PART_PREFIX)
        kind = PartRecord if is_part else CrashRecord
        decoded = decode_json(record.value, kind, Step.READ, record.key)
        if isinstance(decoded, Failure) or _key_of(decoded) != record.key:
            is_other = not isinstance(decoded, Failure)
            detail = "it names another key" if is_other else decoded.detail
            logger.error("Crash record %s is unreadable. %s", record.key, detail)
            return False
        self._stored[record.key] = decoded
        return True

    def _apply_deletion(self, key: str, former: CrashRecord | PartRecord | None) -> None:
        if not key.startswith(PART_PREFIX):
            self.records.clear(Fingerprint(key), clocks.unix_ms())
        elif isinstance(former, PartRecord):
            clearance = PartClearance(former.part, tuple(former.instances))
            self.records.parts.clear(clearance, clocks.unix_ms())

    def apply_part_records(self, records: tuple[PartRecord, ...]) -> None:
        """Merge the records of others, and write those to which this host adds crashes."""
        for received in records:
            merged = self.records.parts.merge(received, clocks.unix_ms())
            if not merged.instances <= received.instances:
                self._write_part_soon(merged.part, BACKUP_WRITE_DELAY_S)

    def apply_records(self, records: tuple[CrashRecord, ...]) -> None:
        """Merge the records of others, and write those to which this host adds crashes."""
        for received in records:
            merged = self.records.merge(received, clocks.unix_ms())
            adds_crashes = (
                merged.instances != received.instances and len(merged.instances) >= SHARED_MIN
            )
            if adds_crashes and self._may_write(merged.fingerprint):
                self._write_soon(merged.fingerprint, BACKUP_WRITE_DELAY_S)

    def apply_cleared(self, cleared: tuple[Fingerprint, ...]) -> None:
        """Clear requests that were recently cleared elsewhere; readers clear the store's records.

        The host that saw the request complete may not know that the store has a record of it.
        """
        for fingerprint in cleared:
            self.records.clear(fingerprint, clocks.unix_ms())
            if self.hosts.is_reader():
                self._write_soon(fingerprint, 0.0)

    def _write_soon(self, key: str, delay_s: float) -> None:
        eventlet.spawn_after(delay_s, self._mark_dirty, key)

    def _mark_dirty(self, key: str) -> None:
        if not self._needs_write(key):
            return
        self._dirty.add(key)
        if not self._is_writing:
            self._is_writing = True
            eventlet.spawn(self._write)

    def _known(self, key: str) -> CrashRecord | PartRecord | None:
        """Return this host's record for a key of the store."""
        if key.startswith(PART_PREFIX):
            return self.records.parts.by_part.get(PartKey(key.removeprefix(PART_PREFIX)))
        return self.records.by_fingerprint.get(Fingerprint(key))

    def _needs_write(self, key: str) -> bool:
        """Return whether the store's record for a key must be added, changed or deleted."""
        stored = self._stored.get(key)
        match self._known(key):
            case CrashRecord() as known if len(known.instances) >= SHARED_MIN:
                is_new = stored is None or not set(known.instances) <= set(stored.instances)
            case PartRecord() as known if len(known.crashes) >= SHARED_MIN or known.is_refusal:
                is_new = stored is None or not known.instances <= stored.instances
                is_new = is_new or known.is_refusal > stored.is_refusal
            case _:
                return stored is not None
        has_room = known.is_refusal or len(self._stored) < CRASH_RECORDS_MAX
        return is_new and (stored is not None or has_room)

    def _write(self) -> None:
        """Write until the store is up to date; a write that fails is tried again."""
        try:
            while self._dirty:
                self._dirty = {each for each in self._dirty if self._needs_write(each)}
                batch = list(self._dirty)[:CRASH_RECORDS_MAX]
                is_written = self._write_batch(batch) if batch else True
                self._pause(ends_at_refusal=is_written)
        finally:
            self._is_writing = False

    def _pause(self, ends_at_refusal: bool) -> None:
        """Wait until the next write is due."""
        shortest_s = self.hosts.count / WRITES_PER_S
        until = clocks.now_s() + max(WRITE_PAUSE_S, shortest_s)
        eventlet.sleep(shortest_s)
        while clocks.now_s() < until:
            if ends_at_refusal and any(map(self._adds_refusal, self._dirty)):
                return
            eventlet.sleep(min(REFUSAL_POLL_S, max(0.0, until - clocks.now_s())))

    def _adds_refusal(self, key: str) -> bool:
        """Return whether a request or part is refused, but not by the store's record."""
        known, stored = self._known(key), self._stored.get(key)
        return known is not None and known.is_refusal and not (stored and stored.is_refusal)

    def _write_batch(self, batch: list[str]) -> bool:
        """Write records in one call; return whether the store has them."""
        records = {each: self._recorded(each) for each in batch}
        values = {
            each: None if record is None else encode_json(record)
            for each, record in records.items()
        }
        self.writes += 1
        failure = self.store.put_all(Topic.CRASHES, values)
        if failure is not None:
            logger.info(
                "Crash records could not be written and will be retried. %s", failure.detail
            )
            return False
        self._dirty -= set(batch)
        for key, record in records.items():
            self._written_at[key] = clocks.now_s()
            if len(self._written_at) > SUSPECTS_MAX:
                del self._written_at[next(iter(self._written_at))]
            if record is None:
                self._stored.pop(key, None)
            else:
                self._stored[key] = record
        return True

    def _recorded(self, key: str) -> CrashRecord | PartRecord | None:
        """Return what the store is to hold for a key; None if it is to be deleted."""
        known = self._known(key)
        return None if isinstance(known, PartRecord) and not known.crashes else known

    def _sweep(self) -> None:
        while True:
            eventlet.sleep(SWEEP_S)
            now_ms = clocks.unix_ms()
            self.records.sweep(now_ms)
            self.records.parts.sweep(now_ms)
            expired = [key for key, record in self._stored.items() if record.is_expired(now_ms)]
            for key in expired:
                if self.hosts.is_reader():
                    self._write_soon(key, 0.0)
                else:
                    del self._stored[key]


def _key_of(record: CrashRecord | PartRecord) -> str:
    """Return the key of a record in the store."""
    return store_key(record.part) if isinstance(record, PartRecord) else record.fingerprint
