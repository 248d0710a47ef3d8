"""Maintains the list of hosts: registers this host, reads the list as a reader, and repairs it."""

import logging
import math
import random
from collections.abc import Callable

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import decode_json
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_base.ids import HostId
from ruddersaddle_base.tasks import spawn_forever

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.ports import (
    TOPIC_START,
    MetadataStore,
    Page,
    Record,
    StorePosition,
    Topic,
)

logger = logging.getLogger(__name__)

POLL_S = 1.0
"""Pause of a host that does not read the list, or failed to, plus up to as much again at random."""
READ_PAUSE_S = 12.0
"""Pause of a reader between reads of the list; a new host also becomes known by its requests."""
STARTUP_S = 15.0
"""Time after the start during which a host that finds no other on the list rereads it about every
`POLL_S`."""
CONFIRMATION_S = 2.5
"""A reader reads the list again this long after it first did, before it takes its part of what all
hosts share: the first list may lack hosts that were just starting."""
RESTORE_STAGGER_S = 1.0
"""Delay from one reader to the next before they rewrite lost hosts after a restore of the store;
one call is enough."""


class HostList:
    """The list of hosts in the store; `hosts` is this host's view of it."""

    def __init__(self, hosts: Hosts, store: MetadataStore) -> None:
        self.hosts = hosts
        self.store = store
        self.is_outdated = False
        """Whether another host knows a newer list."""
        self.listeners: list[Callable[[], None]] = []
        """Called synchronously after each list that was applied."""
        self._era: int | None = None
        """Era of the store that the list was last read in."""
        self._is_registered = False
        self._was_listed = False
        """Whether the newest list had this host's record."""
        self.is_rejoining = False
        """Whether the list had this host already before it registered. The others have counted it
        since its former process, which was killed, registered."""

    def start(self) -> None:
        """Start the task."""
        spawn_forever("hosts", self._follow)

    def _follow(self) -> None:
        settled_at = clocks.now_s() + STARTUP_S
        if not self._is_registered:
            self.is_rejoining = self._finds_former_record()
        while True:
            if not self._is_registered:
                record = msgspec.json.encode(self.hosts.own)
                failure = self.store.put(Topic.HOSTS, self.hosts.own_id, record)
                self._is_registered = failure is None
            if self.hosts.by_id and not self.hosts.is_reader():
                # A reader sends the list in its state updates.
                eventlet.sleep(POLL_S * (1 + random.random()))
                continue
            page = self.store.newest(Topic.HOSTS)
            if isinstance(page, Failure):
                logger.info("List of hosts could not be read. %s", page.detail)
                eventlet.sleep(POLL_S * (1 + random.random()))
                continue
            self.apply_page(page)
            # When all hosts start together, the first to read the list find no other on it yet.
            is_settled = self.hosts.by_id or clocks.now_s() > settled_at
            pause_s = READ_PAUSE_S if is_settled else POLL_S
            self._pause(min(pause_s * (0.75 + 0.5 * random.random()), self._confirmation_in_s()))

    def _finds_former_record(self) -> bool:
        """Return whether the list has a record of this host's former process, which was killed."""
        page = self.store.newest(Topic.HOSTS)
        if isinstance(page, Failure):
            return False
        former = _decode_hosts(page.records).get(self.hosts.own_id)
        return former is not None and not former.is_leaving

    def _confirmation_in_s(self) -> float:
        """Return in how many seconds a list that was read at the start must be read again."""
        remaining_s = self.hosts.known_at + CONFIRMATION_S - clocks.now_s()
        return remaining_s if remaining_s > 0 else math.inf

    def _pause(self, seconds: float) -> None:
        """Wait until the list must be read again.

        The wait ends early if another host knows a newer list, or if a new era of the store begins.
        """
        until = clocks.now_s() + seconds
        while clocks.now_s() < until and not self.is_outdated:
            if self._era != self.store.eras.newest:
                return
            eventlet.sleep(min(POLL_S, max(0.0, until - clocks.now_s())))

    def apply_page(self, page: Page) -> None:
        """Apply the list read from the store; rewrite the hosts that a restore has lost."""
        listed = _decode_hosts(page.records)
        is_restore = self._era not in (None, page.end.era)
        self._era = page.end.era
        if is_restore:
            known = self.hosts.all_by_id()
            missing = {host: each for host, each in known.items() if host not in listed}
            listed |= missing
            eventlet.spawn(self._restore, missing, RESTORE_STAGGER_S * self.hosts.reader_rank())
        self.is_outdated = False
        # The list was read after this host had registered.
        self._was_listed |= self._is_registered
        self.apply(listed, page.end)

    def _restore(self, missing: dict[HostId, HostRecord], delay_s: float) -> None:
        """Write hosts that the store lacks, unless another reader has done so during the delay."""
        eventlet.sleep(delay_s)
        while missing:
            page = self.store.newest(Topic.HOSTS)
            if not isinstance(page, Failure):
                listed = _decode_hosts(page.records)
                missing = {host: each for host, each in missing.items() if host not in listed}
                values = {host: msgspec.json.encode(each) for host, each in missing.items()}
                if not missing or self.store.put_all(Topic.HOSTS, values) is None:
                    logger.info("Hosts rewritten: %s.", ", ".join(sorted(missing)) or "none")
                    return
            eventlet.sleep(POLL_S * (1 + random.random()))

    def apply(
        self, records: dict[HostId, HostRecord], position: StorePosition = TOPIC_START
    ) -> None:
        """Apply a list as of a position, from the store or from another host."""
        self._check_registration(records, position)
        if self.hosts.replace(records, position):
            logger.info("Hosts: %s.", ", ".join(sorted(self.hosts.by_id)))
        for listener in self.listeners:
            listener()

    def _check_registration(
        self, records: dict[HostId, HostRecord], position: StorePosition
    ) -> None:
        """Register again if a newer list than one with this host's record lacks it.

        A write of this host's former process may have been carried out after this one registered.
        """
        if position < self.hosts.position or self.hosts.own.is_leaving:
            return
        is_listed = records.get(self.hosts.own_id) == self.hosts.own
        if self._was_listed and not is_listed:
            self._is_registered = False
        self._was_listed = is_listed

    def record_peer_position(self, position: StorePosition) -> None:
        """Record the position of a requesting host's list; a newer list is read soon."""
        self.is_outdated = self.is_outdated or position > self.hosts.position

    def announce_leave(self) -> None:
        """Write that this host's planned stop has begun."""
        self.hosts.record_own_leave()
        self._put_own(msgspec.json.encode(self.hosts.own), "marked as leaving")

    def remove_own(self) -> None:
        """Remove this host from the list at the end of its planned stop."""
        self._put_own(None, "removed from the list")

    def _put_own(self, value: bytes | None, outcome: str) -> None:
        failure = self.store.put(Topic.HOSTS, self.hosts.own_id, value)
        if failure is not None:
            logger.info("Host could not be %s. %s", outcome, failure.detail)


def _decode_hosts(records: tuple[Record, ...]) -> dict[HostId, HostRecord]:
    """Return the hosts of the list; a record that can't be decoded is logged and skipped."""
    found = {}
    for record in records:
        if not record.value:
            continue
        host = decode_json(record.value, HostRecord, Step.READ, record.key)
        if isinstance(host, Failure):
            logger.error("Record of host %s could not be decoded. %s", record.key, host.detail)
            continue
        found[HostId(record.key)] = host
    return found
