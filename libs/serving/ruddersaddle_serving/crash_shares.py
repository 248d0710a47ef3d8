"""How hosts share which requests crash upstreams.

Messages between hosts carry each crash within some milliseconds, but may be dropped without a word,
and a host may be cut off from the others. What counts is therefore kept in the platform's store as
well: a host needs nothing but its way to the store to know whom to refuse.
"""

import logging
from collections.abc import Iterable
from enum import Enum

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import decode_json, encode_json
from ruddersaddle_base.failures import Failure, Step

from ruddersaddle_serving.crash_records import (
    SHARED_MIN,
    SUSPECTS_MAX,
    Crash,
    CrashRecord,
    CrashRecords,
)
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.load_shares import DIRECT_HOSTS_MAX
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.ports import MetadataStore, Record, Topic
from ruddersaddle_serving.tasks import spawn_forever
from ruddersaddle_serving.upstream_entries import UpstreamStart

logger = logging.getLogger(__name__)

SEND_DELAY_S = 0.01
"""Pause between messages about crashes: one crash ends runs of many requests at a time."""
WRITE_PAUSE_S = 0.2
"""Least pause between writes of one host. What has to be written meanwhile goes in one call."""
WRITES_PER_S = 100.0
"""Writes of all hosts together, a quarter of what the store takes (400 a second)."""
BACKUP_WRITE_DELAY_S = 1.0
"""A host that did not see the last crash itself writes after this time, if the one that did has
not written yet; readers read a write within some milliseconds."""
SWEEP_S = 5.0
"""Pause between looks for records that are over."""
CRASH_RECORDS_MAX = 512
"""Records that are received in one message or kept in the store; 114 to 145 bytes each."""


class Hop(Enum):
    """How far a message has come; readers pass it on where hosts are too many to tell all."""

    FIRST = 0
    """From the host that saw it, to all others or to the reader of its hall."""
    TO_READERS = 1
    """From that reader, to its hall and the other readers."""
    TO_HALL = 2
    """From another reader, to its hall."""


class CrashUpdate(msgspec.Struct, frozen=True, tag="crash_news"):
    """Tells crashes that were seen, and suspects that ended whole; it is not answered."""

    address: str
    crashes: tuple[Crash, ...]
    cleared: tuple[Fingerprint, ...]
    hop: Hop = Hop.FIRST


class PendingUpdate:
    """What waits to be received."""

    def __init__(self) -> None:
        self.fingerprints_by_instance: dict[UpstreamStart, dict[Fingerprint, None]] = {}
        self.cleared: dict[Fingerprint, None] = {}


class CrashShares:
    """Tells and takes crashes, and keeps the records of the store."""

    def __init__(
        self, hosts: Hosts, peers: Peers, store: MetadataStore, records: CrashRecords
    ) -> None:
        self.hosts = hosts
        self.peers = peers
        self.store = store
        self.records = records
        self.confirmed_at = float("-inf")
        """When the store, or a host that follows it, was asked for what was taken last."""
        self.writes = 0
        self._pending_by_hop: dict[Hop, PendingUpdate] = {}
        self._stored: dict[Fingerprint, CrashRecord] = {}
        """What the store has, as far as this host knows."""
        self._seen_locally: dict[Fingerprint, None] = {}
        """Requests of which this host itself saw a crash, the oldest first."""
        self._unwritten: set[Fingerprint] = set()
        self._is_writing = False

    def start(self) -> None:
        """Start the task that takes records that are over out of the store."""
        spawn_forever("crash records", self._sweep)

    @property
    def age_s(self) -> float:
        """Seconds since the records were last confirmed."""
        return clocks.now_s() - self.confirmed_at

    # Between hosts

    def broadcast_crash(self, crash: Crash) -> None:
        """Take a crash that this host has seen, and tell it."""
        self._seen_locally.update(dict.fromkeys(crash.fingerprints))
        while len(self._seen_locally) > SUSPECTS_MAX:
            del self._seen_locally[next(iter(self._seen_locally))]
        self._record_crash(crash, 0.0)
        self._send_soon(self._first_hop, (crash,), ())

    def broadcast_cleared(self, fingerprint: Fingerprint) -> None:
        """Tell that a suspect ended whole; the records have it already."""
        self._send_soon(self._first_hop, (), (fingerprint,))
        self._write_soon(fingerprint, 0.0)

    @property
    def _first_hop(self) -> Hop:
        return Hop.TO_READERS if self._relays_for_hall else Hop.FIRST

    def _send_soon(
        self, hop: Hop, crashes: Iterable[Crash], cleared: Iterable[Fingerprint]
    ) -> None:
        """Send a message after a pause, with all that comes until then.

        Hundreds of hosts may lose runs at one upstream. A reader that passed on each one's word by
        itself would make 37,800 messages of one crash with 195 hosts in five halls; these are 990.
        """
        pending = self._pending_by_hop.get(hop)
        if pending is None:
            pending = self._pending_by_hop[hop] = PendingUpdate()
            eventlet.spawn_after(SEND_DELAY_S, self._send, hop)
        for crash in crashes:
            found = pending.fingerprints_by_instance.setdefault(crash.instance, {})
            found.update(dict.fromkeys(crash.fingerprints))
        pending.cleared.update(dict.fromkeys(cleared))

    def _send(self, hop: Hop) -> None:
        pending = self._pending_by_hop.pop(hop)
        crashes = tuple(
            Crash(instance, tuple(found))
            for instance, found in pending.fingerprints_by_instance.items()
        )
        update = CrashUpdate(self.hosts.own.address, crashes, tuple(pending.cleared), hop)
        self.peers.tell_all(self._targets(hop), update)

    @property
    def _relays_for_hall(self) -> bool:
        """Whether this host passes on what the hosts of its hall tell."""
        hosts = self.hosts
        return hosts.count > DIRECT_HOSTS_MAX and hosts.hall_reader() == hosts.own.address

    def _targets(self, hop: Hop) -> list[str]:
        hosts = self.hosts
        match hop:
            case Hop.FIRST if hosts.count <= DIRECT_HOSTS_MAX:
                return hosts.addresses()
            case Hop.FIRST:
                return [hosts.hall_reader()]
            case Hop.TO_READERS:
                readers = set(hosts.reader_by_hall().values()) - {hosts.own.address}
                return sorted({*hosts.hall_addresses(), *readers})
            case Hop.TO_HALL:
                return hosts.hall_addresses()

    def apply_update(self, update: CrashUpdate) -> None:
        """Take what another host tells, and pass it on where that is this host's to do."""
        now_ms = clocks.unix_ms()
        for crash in update.crashes:
            self._record_crash(crash, BACKUP_WRITE_DELAY_S)
            whole = [
                each for each in crash.fingerprints if self.records.completed_recently(each, now_ms)
            ]
            for fingerprint in whole:
                self.broadcast_cleared(fingerprint)
        self.apply_cleared(update.cleared)
        if self._relays_for_hall and update.hop is not Hop.TO_HALL:
            next_hop = Hop.TO_READERS if update.hop is Hop.FIRST else Hop.TO_HALL
            self._send_soon(next_hop, update.crashes, update.cleared)

    def _record_crash(self, crash: Crash, delay_s: float) -> None:
        for record in self.records.record_crash(crash, clocks.unix_ms()):
            if len(record.instances) >= SHARED_MIN and self._may_write(record.fingerprint):
                self._write_soon(record.fingerprint, delay_s)

    def _may_write(self, fingerprint: Fingerprint) -> bool:
        """Return whether this host looks after the store's record of a request.

        One that has only heard of it, and doesn't follow the store, can't know what is written: of
        40 hosts 37 wrote what one had.
        """
        return fingerprint in self._seen_locally or self.hosts.is_reader()

    # With the store

    def confirm(self, asked_at: float) -> None:
        """Note that the records are as new as a question sent at `asked_at`."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def handle_store_restore(self) -> None:
        """Take that the store has come back from an earlier copy: what it has is not known."""
        self._stored.clear()

    def write_missing(self) -> None:
        """Write what a store that was read whole lacks: one reader, the next one if it doesn't."""
        if not self.hosts.is_reader():
            return
        delay_s = BACKUP_WRITE_DELAY_S * self.hosts.reader_rank()
        for record in self.records.shared():
            if self._store_lacks(record.fingerprint):
                self._write_soon(record.fingerprint, delay_s)

    def apply_record(self, record: Record) -> None:
        """Take one record of the store."""
        fingerprint = Fingerprint(record.key)
        if not record.value:
            self._stored.pop(fingerprint, None)
            self.records.clear(fingerprint, clocks.unix_ms())
            return
        decoded = decode_json(record.value, CrashRecord, Step.READ, record.key)
        if isinstance(decoded, Failure) or decoded.fingerprint != fingerprint:
            detail = decoded.detail if isinstance(decoded, Failure) else "it names another request"
            logger.error("Crash record %s is unreadable. %s", record.key, detail)
            return
        self._stored[fingerprint] = decoded
        self.apply_records((decoded,))

    def apply_records(self, records: tuple[CrashRecord, ...]) -> None:
        """Take what others know, and write what the store lacks of it."""
        for received in records:
            merged = self.records.merge(received, clocks.unix_ms())
            is_more = merged.instances != received.instances and len(merged.instances) >= SHARED_MIN
            if is_more and self._may_write(merged.fingerprint):
                self._write_soon(merged.fingerprint, BACKUP_WRITE_DELAY_S)

    def apply_cleared(self, cleared: tuple[Fingerprint, ...]) -> None:
        """Take which requests were cleared a short while ago; readers clear the store's records.

        The host that saw it may not know that there is one.
        """
        for fingerprint in cleared:
            self.records.clear(fingerprint, clocks.unix_ms())
            if self.hosts.is_reader():
                self._write_soon(fingerprint, 0.0)

    def _write_soon(self, fingerprint: Fingerprint, delay_s: float) -> None:
        eventlet.spawn_after(delay_s, self._add_unwritten, fingerprint)

    def _add_unwritten(self, fingerprint: Fingerprint) -> None:
        if not self._store_lacks(fingerprint):
            return
        self._unwritten.add(fingerprint)
        if not self._is_writing:
            self._is_writing = True
            eventlet.spawn(self._write)

    def _store_lacks(self, fingerprint: Fingerprint) -> bool:
        """Return whether the store should have something else of a request."""
        stored = self._stored.get(fingerprint)
        known = self.records.by_fingerprint.get(fingerprint)
        if known is None or len(known.instances) < SHARED_MIN:
            return stored is not None
        if stored is None:
            return known.is_refusal or len(self._stored) < CRASH_RECORDS_MAX
        return not set(known.instances) <= set(stored.instances)

    def _write(self) -> None:
        """Write until the store has what it lacked; a store that is away is tried again."""
        try:
            while self._unwritten:
                self._unwritten = {each for each in self._unwritten if self._store_lacks(each)}
                batch = list(self._unwritten)[:CRASH_RECORDS_MAX]
                if batch:
                    self._write_batch(batch)
                pause_s = max(WRITE_PAUSE_S, self.hosts.count / WRITES_PER_S)
                eventlet.sleep(pause_s)
        finally:
            self._is_writing = False

    def _write_batch(self, batch: list[Fingerprint]) -> None:
        records = {each: self.records.by_fingerprint.get(each) for each in batch}
        values = {
            each: None if record is None else encode_json(record)
            for each, record in records.items()
        }
        self.writes += 1
        failure = self.store.put_all(Topic.CRASHES, values)
        if failure is not None:
            logger.info("Crash records were not written. %s", failure.detail)
            return
        self._unwritten -= set(batch)
        for fingerprint, record in records.items():
            if record is None:
                self._stored.pop(fingerprint, None)
            else:
                self._stored[fingerprint] = record

    def _sweep(self) -> None:
        while True:
            eventlet.sleep(SWEEP_S)
            now_ms = clocks.unix_ms()
            self.records.sweep(now_ms)
            over = [key for key, record in self._stored.items() if record.is_expired(now_ms)]
            for fingerprint in over:
                if self.hosts.is_reader():
                    self._write_soon(fingerprint, 0.0)
                else:
                    del self._stored[fingerprint]
