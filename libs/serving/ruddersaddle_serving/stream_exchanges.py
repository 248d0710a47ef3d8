"""Hosts tell a few others where streams began, and ask these when a caller comes back.

The holders of a record are chosen by rendezvous hashing of its key among the hosts of this region.
Records are kept in memory only. Nothing is sent while one software version alone has served in a
pool for longer than streams last.
"""

import logging
from collections import Counter
from collections.abc import Iterable, Iterator
from zlib import crc32

import eventlet
import msgspec
from eventlet.queue import LightQueue
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, PoolId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.pool_versions import PoolVersions
from ruddersaddle_serving.stream_records import (
    RECORDS_MAX,
    AloneVersion,
    HeldRequest,
    StreamKey,
    StreamMessage,
    StreamQuestion,
    StreamRecord,
    StreamRecords,
    StreamReply,
    StreamsNoted,
    StreamsTold,
)
from ruddersaddle_serving.tasks import spawn_forever

logger = logging.getLogger(__name__)

HOLDERS = 4
"""Hosts that hold a record, the one that runs the stream possibly among them. Hosts are killed and
started again in pairs; two copies are then left."""
BUCKETS = 1024
"""Keys are hashed to so many buckets, each with its holders, as ranking 450 hosts takes 0.3 ms."""
TELL_INTERVAL_S = 0.015
"""Pause after a message to a holder, in which further records gather; a message costs sender and
receiver about 0.2 ms. The first record of a pause isn't held back: a host that was killed within
15 ms of a first event took the only record of the stream with it."""
TELL_TIMEOUT_S = 1.0
"""A connection whose message isn't answered for this long is closed."""
TELL_ATTEMPTS = 4
"""Times that a record is told to a holder that doesn't acknowledge it."""
RETELL_PAUSE_S = 0.25
ASK_TIMEOUT_S = 0.2
"""Longest wait for holders when a caller comes back, in seconds."""
RECORDS_PER_MESSAGE = 500
"""About 29 KB."""
MUTE_S = 10.0
"""Pause after a record was told in vain: each message that isn't answered closes a connection, also
those to hosts of a program version that doesn't know it."""
QUEUED_MAX = 5000
"""Records that wait for a mute holder; the oldest are dropped."""
RECORDS_PER_TURN = 200
"""Records that are looked through before other tasks get a turn, some 0.5 ms."""
HELD_MAX = 5000
"""Records that a host that has just started gets from one other host, about 285 KB."""
CHECK_INTERVAL_S = 0.1
"""Interval of checks whether another version has appeared or the list of hosts has changed."""
START_ASKED_AT_ONCE = 16
"""Hosts that a host that has just started asks at the same time."""


class StreamExchange:
    """Records of this host's streams, those that it holds for others, and their exchange."""

    def __init__(
        self,
        hosts: Hosts,
        peers: Peers,
        versions: PoolVersions,
        own: StreamRecords,
        held: StreamRecords,
    ) -> None:
        self.hosts = hosts
        self.peers = peers
        self.versions = versions
        self.own = own
        """Streams that this host has run."""
        self.held = held
        """Streams that other hosts have run, as they told it."""
        self.counts: Counter[str] = Counter()
        self._digest: int | None = None
        self._holders_by_bucket: dict[int, list[str]] = {}
        self._pools: set[PoolId] = set()
        """Pools of own streams."""
        self._told_state: tuple[int, frozenset[PoolId]] | None = None
        """List of hosts and pools with streams to tell of, when holders were last told."""
        self._told_by_key: dict[StreamKey, set[str]] = {}
        """Holders that were told of own streams, acknowledged or not yet."""
        self._mute_until: dict[str, float] = {}
        """Until when holders that acknowledge nothing are told nothing, by the boot-time clock."""
        self._unsent_by_address: dict[str, list[tuple[StreamRecord, int]]] = {}
        """Records to tell, with the number of the attempt."""

    def start(self) -> None:
        """Start the tasks that fetch what this host should hold, and tell others of its streams."""
        spawn_forever("held streams", self._fetch_at_start)
        spawn_forever("stream records", self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            self.tell_untold()

    # Telling

    def record_begun(self, record: StreamRecord) -> None:
        """Record that a stream began or went on here, and tell its holders if they must know."""
        self.own.put(record)
        self._pools.add(record.pool)
        if self.versions.alone(record.pool) is None:
            self._told_by_key.pop(record.key, None)
            self._tell(record)

    def tell_untold(self) -> None:
        """Tell holders of the streams that they have to know of since something has changed.

        Another version has appeared in a pool, or other hosts have become holders.
        """
        self.versions.observe()
        telling = frozenset(each for each in self._pools if self.versions.alone(each) is None)
        state = (self.hosts.digest, telling)
        if state == self._told_state:
            return
        self._told_state = state
        present = set()
        for record in in_turns(self.own.all()):
            present.add(record.key)
            if record.pool in telling and record.version is not None:
                self._tell(record)
        for key in set(self._told_by_key) - present:
            del self._told_by_key[key]

    def _tell(self, record: StreamRecord) -> None:
        if len(self._told_by_key) > RECORDS_MAX:
            del self._told_by_key[next(iter(self._told_by_key))]
        told = self._told_by_key.setdefault(record.key, set())
        for address in self.holders(record.key):
            if address != self.hosts.own.address and address not in told:
                told.add(address)
                self._queue(address, record)

    def _queue(self, address: str, record: StreamRecord) -> None:
        if clocks.now_s() < self._mute_until.get(address, float("-inf")):
            self.counts["unacknowledged"] += 1
            return
        is_sending = address in self._unsent_by_address
        queued = self._unsent_by_address.setdefault(address, [])
        queued.append((record, 1))
        if len(queued) > QUEUED_MAX:
            del queued[0]
            self.counts["unacknowledged"] += 1
        if not is_sending:
            eventlet.spawn(self._send_all, address)

    def _send_all(self, address: str) -> None:
        """Send a holder what is queued for it, one message after another."""
        try:
            while self._unsent_by_address[address]:
                was_noted = self.send_next(address)
                eventlet.sleep(TELL_INTERVAL_S if was_noted else RETELL_PAUSE_S)
        finally:
            del self._unsent_by_address[address]

    def send_next(self, address: str) -> bool:
        """Send a holder one message, and queue its records again if they are not acknowledged."""
        queued = self._unsent_by_address[address]
        part = queued[:RECORDS_PER_MESSAGE]
        del queued[:RECORDS_PER_MESSAGE]
        message = StreamsTold(tuple(record for record, _ in part))
        answer = self.peers.ask(address, message, TELL_TIMEOUT_S)
        if isinstance(answer, StreamsNoted):
            self.counts["told"] += len(part)
            self.own.mark_ambiguous(answer.ambiguous)
            return True
        self.counts["unacknowledged"] += len(part)
        again = [(each, attempt + 1) for each, attempt in part if attempt < TELL_ATTEMPTS]
        queued[:0] = again
        if len(again) < len(part):
            lost = len(part) - len(again)
            logger.warning("Holder %s has not acknowledged %d streams.", address, lost)
            self._mute_until[address] = clocks.now_s() + MUTE_S
        return False

    # Holders

    def holders(self, key: StreamKey) -> list[str]:
        """Return the addresses of the hosts that hold a record, this one possibly among them."""
        if self._digest != self.hosts.digest:
            self._digest = self.hosts.digest
            self._holders_by_bucket.clear()
        bucket = crc32(f"{key.workspace}\0{key.request}".encode()) % BUCKETS
        found = self._holders_by_bucket.get(bucket)
        if found is None:
            found = self._holders_by_bucket[bucket] = self._choose_holders(bucket)
        return found

    def _choose_holders(self, bucket: int) -> list[str]:
        by_address: dict[str, HostRecord] = {
            each.address: each for each in (self.hosts.own, *self.hosts.region_others())
        }
        count_by_hall: Counter[HallId] = Counter()
        ranked = []
        for place, address in enumerate(rank_names(f"stream {bucket}", by_address)):
            hall = by_address[address].hall
            ranked.append((count_by_hall[hall], place, address))
            count_by_hall[hall] += 1
        return [address for _, _, address in sorted(ranked)[:HOLDERS]]

    # Asking

    def find_known(self, key: StreamKey) -> StreamRecord | None:
        """Return the record of a stream that this host has run or holds."""
        own, held = self.own.find(key), self.held.find(key)
        if own is None or held is None:
            return own or held
        if (own.pool, own.version) != (held.pool, held.version):
            return msgspec.structs.replace(own, version=None)
        return own

    def ask(self, question: StreamQuestion) -> list[StreamReply]:
        """Ask the holders; return their replies up to the first that knows the stream."""
        addresses = [each for each in self.holders(question.key) if each != self.hosts.own.address]
        answers: LightQueue[object] = LightQueue()
        for address in addresses:
            eventlet.spawn(self._ask_into, address, question, answers)
        replies: list[StreamReply] = []
        with eventlet.Timeout(ASK_TIMEOUT_S, False):
            for _ in addresses:
                answer = answers.get()
                if isinstance(answer, StreamReply):
                    replies.append(answer)
                    if answer.record is not None:
                        break
        self.counts["asked"] += 1
        return replies

    def _ask_into(
        self, address: str, question: StreamQuestion, answers: "LightQueue[object]"
    ) -> None:
        answer: object = None
        try:
            answer = self.peers.ask(address, question, TELL_TIMEOUT_S)
        finally:
            answers.put(answer)

    # Messages of other hosts

    def handle(self, message: StreamMessage) -> StreamsNoted | StreamReply | StreamsTold:
        """Handle a message of another host."""
        match message:
            case StreamsTold(records):
                return self._hold(records)
            case StreamQuestion():
                return self._reply(message)
            case HeldRequest(address):
                return StreamsTold(tuple(self._records_for(address))[-HELD_MAX:])

    def _hold(self, records: Iterable[StreamRecord]) -> StreamsNoted:
        ambiguous = []
        for record in records:
            self.held.put(record)
            known = self.find_known(record.key)
            if known is not None and known.version is None:
                ambiguous.append(record.key)
        return StreamsNoted(tuple(ambiguous))

    def _reply(self, question: StreamQuestion) -> StreamReply:
        found = ((pool, self.versions.alone(pool)) for pool in question.pools)
        alone = tuple(
            AloneVersion(pool, version) for pool, version in found if isinstance(version, str)
        )
        return StreamReply(self.find_known(question.key), alone)

    def _records_for(self, address: str) -> Iterable[StreamRecord]:
        for records in (self.held, self.own):
            for record in in_turns(records.all()):
                if address in self.holders(record.key):
                    yield record

    # Start

    def _fetch_at_start(self) -> None:
        """Get the records that this host should hold, which it has lost with its last process.

        Hosts that are started again one after another would otherwise lose all copies.
        """
        while not (self.hosts.is_known and self.versions.upstreams.complete):
            eventlet.sleep(CHECK_INTERVAL_S)
        if not self.versions.has_several():
            return
        addresses = self.hosts.region_addresses()
        pool = eventlet.GreenPool(START_ASKED_AT_ONCE)
        fetched = sum(pool.imap(self._fetch_from, addresses))
        logger.info("Streams held again after the start: %d.", fetched)

    def _fetch_from(self, address: str) -> int:
        answer = self.peers.ask(address, HeldRequest(self.hosts.own.address), TELL_TIMEOUT_S)
        if not isinstance(answer, StreamsTold):
            detail = answer.detail if isinstance(answer, Failure) else "unexpected answer"
            logger.info("Streams of %s were not fetched. %s", address, detail)
            return 0
        self._hold(answer.records)
        self.counts["fetched"] += len(answer.records)
        return len(answer.records)


def in_turns(records: Iterable[StreamRecord]) -> Iterator[StreamRecord]:
    """Yield records, and give other tasks a turn now and then."""
    for number, record in enumerate(records, 1):
        yield record
        if number % RECORDS_PER_TURN == 0:
            eventlet.sleep(0)
