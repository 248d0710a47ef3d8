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
from ruddersaddle_base.tasks import spawn_forever
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.pool_versions import PoolVersions, Version
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

logger = logging.getLogger(__name__)

HOLDERS = 4
"""Hosts that hold a record, the one that runs the stream possibly among them. Hosts are killed and
started again in pairs; two copies are then left."""
CANDIDATES = 6
"""Hosts among which the holders of a record are, and that are asked: two holders that are killed,
and don't answer for some seconds until they are off the list, are replaced."""
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
ASK_AGAIN_S = 2.0
"""Pause after a question that a holder didn't answer: the time-out of each closes a connection. It
is short, as a pause of this process or a lost connection looks the same."""
RECORDS_PER_MESSAGE = 500
"""About 29 KB."""
MUTE_S = 10.0
"""Pause after a record was told in vain: each message that isn't answered closes a connection, also
those to hosts of a program version that doesn't know it."""
QUEUED_MAX = 5000
"""Records that wait for a mute holder; the oldest are dropped."""
RECORDS_PER_TURN = 200
"""Records that are looked through before other tasks get a turn, if it doesn't take long."""
TURN_S = 0.005
"""Time after which other tasks get a turn: after a change of the list of hosts, the candidates of
each bucket are ranked anew."""
PAUSE_PER_LOOK = 9.0
"""Shortest pause after own streams were looked through before that is done again for mute holders,
by the time that it took. With 20,000 streams it takes 0.3 s, and many hosts may be mute."""
HELD_MAX = 5000
"""Records that a host that has just started gets from one other host, about 285 KB."""
CHECK_INTERVAL_S = 0.1
"""Interval of checks whether another version has appeared or the list of hosts has changed."""
START_ASKED_AT_ONCE = 16
"""Hosts that a host that has just started asks at the same time."""
START_ATTEMPTS = 4
"""Times that a host that has just started asks a host that doesn't answer."""
START_PAUSE_S = 1.0
POOLS_MAX = 100
"""Pools of a question that are looked up."""
REJECTED_PAUSE_S = 10.0
"""Shortest time between lines on rejected records."""


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
        self._candidates_by_bucket: dict[int, list[str]] = {}
        self._pools: set[PoolId] = set()
        """Pools of own streams."""
        self._told_state: tuple[int, frozenset[PoolId], frozenset[str]] | None = None
        """List of hosts, pools with streams to tell of, and mute hosts, when holders were last
        told."""
        self._told_by_key: dict[StreamKey, set[str]] = {}
        """Holders that have acknowledged own streams, or for which these are queued."""
        self._skipped: set[str] = set()
        """Holders that weren't told of some own streams, or didn't acknowledge them."""
        self._look_again_at = float("-inf")
        """When own streams may be looked through again for mute holders."""
        self._mute_until: dict[str, float] = {}
        """Until when holders that acknowledge nothing are told nothing, by the boot-time clock."""
        self._asked_in_vain_until: dict[str, float] = {}
        """Until when holders that didn't answer a question are asked last, by the same clock."""
        self._unsent_by_address: dict[str, list[tuple[StreamRecord, int]]] = {}
        """Records to tell, with the number of the attempt."""
        self._rejected_logged_at = float("-inf")

    def start(self) -> None:
        """Start the tasks that fetch what this host should hold, and tell others of its streams."""
        spawn_forever("held streams", self._fetch_at_start)
        spawn_forever("stream records", self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            self.tell_untold()

    def counts_by_event(self) -> dict[str, int]:
        """Return the numbers of records by what became of them."""
        return {**self.counts, "dropped": self.own.dropped + self.held.dropped}

    # Telling

    def record_begun(self, record: StreamRecord) -> None:
        """Record that a stream began or went on here, and tell its holders if they must know."""
        if not self.own.put(record):
            record = msgspec.structs.replace(record, version=None)
        self._pools.add(record.pool)
        if self.versions.alone(record.pool) is None:
            self._told_by_key.pop(record.key, None)
            self._tell(record)

    def tell_untold(self) -> None:
        """Tell holders of the streams that they have to know of since something has changed.

        Another version has appeared in a pool, other hosts have become holders, or a holder has
        become mute or isn't any longer.
        """
        self.versions.observe()
        telling = frozenset(each for each in self._pools if self.versions.alone(each) is None)
        now = clocks.now_s()
        mute = frozenset(each for each in self._mute_until if self._is_mute(each))
        state = (self.hosts.digest, telling, mute)
        skipped = {each for each in self._skipped if self._may_tell_again(each)}
        if state == self._told_state and not skipped:
            return
        is_same = self._told_state is not None and state[:2] == self._told_state[:2]
        if is_same and now < self._look_again_at:
            return
        self._told_state = state
        self._skipped -= skipped
        self._tell_all(telling)
        ended_at = clocks.now_s()
        self._look_again_at = ended_at + PAUSE_PER_LOOK * (ended_at - now)

    def _tell_all(self, telling: frozenset[PoolId]) -> None:
        """Look through all own streams, and tell holders of those in some pools."""
        present = set()
        for record in in_turns(self.own.all()):
            present.add(record.key)
            if record.pool in telling:
                self._tell(record)
        for key in set(self._told_by_key) - present:
            del self._told_by_key[key]

    def _tell(self, record: StreamRecord) -> None:
        if len(self._told_by_key) > RECORDS_MAX:
            del self._told_by_key[next(iter(self._told_by_key))]
        told = self._told_by_key.setdefault(record.key, set())
        # A host that leaves the list and comes back has lost what it was told.
        told.intersection_update(self._candidates(record.key))
        for address in self.holders(record.key):
            if address != self.hosts.own.address and address not in told:
                told.add(address)
                self._queue(address, record)

    def _is_mute(self, address: str) -> bool:
        return clocks.now_s() < self._mute_until.get(address, float("-inf"))

    def _may_tell_again(self, address: str) -> bool:
        """Return whether a holder isn't mute, and all that was queued for it is sent."""
        return not self._is_mute(address) and not self._unsent_by_address.get(address)

    def _record_untold(self, address: str, records: Iterable[StreamRecord]) -> None:
        """Record that a holder doesn't know of streams, so that it is told of them later."""
        self._skipped.add(address)
        for record in records:
            self._told_by_key.get(record.key, set()).discard(address)

    def _record_message_of(self, address: str) -> None:
        """Record that a host has answered or sent a message: it is told and asked again."""
        self._mute_until.pop(address, None)
        self._asked_in_vain_until.pop(address, None)

    def _queue(self, address: str, record: StreamRecord) -> None:
        if self._is_mute(address):
            self.counts["unacknowledged"] += 1
            self._record_untold(address, [record])
            return
        is_sending = address in self._unsent_by_address
        queued = self._unsent_by_address.setdefault(address, [])
        queued.append((record, 1))
        if len(queued) > QUEUED_MAX:
            dropped, _ = queued.pop(0)
            self.counts["unacknowledged"] += 1
            self._record_untold(address, [dropped])
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
        message = StreamsTold(tuple(record for record, _ in part), self.hosts.own.address)
        answer = self.peers.ask(address, message, TELL_TIMEOUT_S)
        if isinstance(answer, StreamsNoted):
            self._record_message_of(address)
            self.counts["told"] += len(part)
            self.own.mark_ambiguous(answer.ambiguous[:RECORDS_PER_MESSAGE])
            return True
        self.counts["unacknowledged"] += len(part)
        again = [(each, attempt + 1) for each, attempt in part if attempt < TELL_ATTEMPTS]
        queued[:0] = again
        if len(again) < len(part):
            lost = [each for each, attempt in part if attempt >= TELL_ATTEMPTS]
            logger.warning("Holder %s has not acknowledged %d streams.", address, len(lost))
            self._record_untold(address, lost)
            self._mute_until[address] = clocks.now_s() + MUTE_S
        return False

    # Holders

    def holders(self, key: StreamKey) -> list[str]:
        """Return the addresses of the hosts that hold a record, this one possibly among them.

        Hosts that don't answer are among them only if there are too few others.
        """
        return sorted(self._candidates(key), key=self._is_unavailable)[:HOLDERS]

    def other_holders(self, key: StreamKey) -> list[str]:
        """Return the addresses of the other hosts that may hold a record."""
        return [each for each in self._candidates(key) if each != self.hosts.own.address]

    def _is_unavailable(self, address: str) -> bool:
        return self._is_mute(address) or not self.hosts.is_responsive(address)

    def _candidates(self, key: StreamKey) -> list[str]:
        """Return the addresses of the hosts that may hold a record, equal on all hosts."""
        if self._digest != self.hosts.digest:
            self._digest = self.hosts.digest
            self._candidates_by_bucket.clear()
        bucket = crc32(f"{key.workspace}\0{key.request}".encode()) % BUCKETS
        found = self._candidates_by_bucket.get(bucket)
        if found is None:
            found = self._candidates_by_bucket[bucket] = self._choose_candidates(bucket)
        return found

    def _choose_candidates(self, bucket: int) -> list[str]:
        by_address: dict[str, HostRecord] = {
            each.address: each for each in (self.hosts.own, *self.hosts.region_others())
        }
        count_by_hall: Counter[HallId] = Counter()
        ranked = []
        for place, address in enumerate(rank_names(f"stream {bucket}", by_address)):
            hall = by_address[address].hall
            ranked.append((count_by_hall[hall], place, address))
            count_by_hall[hall] += 1
        return [address for _, _, address in sorted(ranked)[:CANDIDATES]]

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
        """Ask all that may hold a record; return the replies that come in time.

        All are waited for, as one of them may know of a second stream with the same key. Those that
        left messages unanswered are asked only if no other knows the stream.
        """
        self.counts["asked"] += 1
        question = msgspec.structs.replace(question, sender=self.hosts.own.address)
        others = self.other_holders(question.key)
        skipped = [each for each in others if self._is_asked_last(each)]
        replies = self._ask_all([each for each in others if each not in skipped], question)
        if any(each.record is not None for each in replies):
            return replies
        return replies + self._ask_all(skipped, question)

    def _is_asked_last(self, address: str) -> bool:
        until = self._asked_in_vain_until.get(address, float("-inf"))
        return self._is_mute(address) or clocks.now_s() < until

    def _ask_all(self, addresses: list[str], question: StreamQuestion) -> list[StreamReply]:
        """Ask hosts at the same time; return the replies that come in time."""
        answers: LightQueue[object] = LightQueue()
        for address in addresses:
            eventlet.spawn(self._ask_into, address, question, answers)
        replies: list[StreamReply] = []
        with eventlet.Timeout(ASK_TIMEOUT_S, False):
            for _ in addresses:
                answer = answers.get()
                if isinstance(answer, StreamReply):
                    replies.append(answer)
        return replies

    def _ask_into(
        self, address: str, question: StreamQuestion, answers: "LightQueue[object]"
    ) -> None:
        answer: object = None
        try:
            answer = self.peers.ask(address, question, TELL_TIMEOUT_S)
            if isinstance(answer, StreamReply):
                self._record_message_of(address)
            else:
                self._asked_in_vain_until[address] = clocks.now_s() + ASK_AGAIN_S
        finally:
            answers.put(answer)

    # Messages of other hosts

    def handle(self, message: StreamMessage) -> StreamsNoted | StreamReply | StreamsTold:
        """Handle a message of another host."""
        match message:
            case StreamsTold(records, sender):
                self._record_message_of(sender)
                part = records[:RECORDS_PER_MESSAGE]
                return self._hold(part, len(records) - len(part))
            case StreamQuestion(sender=sender):
                self._record_message_of(sender)
                return self._reply(message)
            case HeldRequest(address) if address not in self.hosts.region_addresses():
                # It asks again; its list of hosts may be newer than this one.
                logger.info("Streams were not sent to %.60s: no known host.", address)
                return StreamsNoted()
            case HeldRequest(address):
                # What it is told from now on isn't among the records that it gets.
                self._record_message_of(address)
                return StreamsTold(tuple(self._records_for(address))[-HELD_MAX:])

    def _hold(self, records: Iterable[StreamRecord], rejected: int) -> StreamsNoted:
        """Hold records; return the keys that several streams have.

        `rejected` is the number of further records of the message that are not held.
        """
        ambiguous = []
        for record in records:
            if not record.is_valid:
                rejected += 1
                continue
            self.held.put(record)
            known = self.find_known(record.key)
            if known is not None and known.version is None:
                ambiguous.append(record.key)
        if rejected > 0:
            self._record_rejected(rejected)
        return StreamsNoted(tuple(ambiguous))

    def _record_rejected(self, count: int) -> None:
        self.counts["rejected"] += count
        now = clocks.now_s()
        if now >= self._rejected_logged_at + REJECTED_PAUSE_S:
            self._rejected_logged_at = now
            logger.warning("%d records of another host are not held: too many, or too long.", count)

    def _reply(self, question: StreamQuestion) -> StreamReply:
        pools = question.pools[:POOLS_MAX]
        return StreamReply(
            self.find_known(question.key),
            _named((pool, self.versions.alone(pool)) for pool in pools),
            _named((pool, self.versions.alone_until_now(pool)) for pool in pools),
        )

    def _records_for(self, address: str) -> Iterable[StreamRecord]:
        for record in in_turns(self.held.all()):
            if address in self._candidates(record.key):
                yield record
        for record in in_turns(self.own.all()):
            # What is alone is told to nobody.
            is_told = self.versions.alone(record.pool) is None
            if is_told and address in self._candidates(record.key):
                yield record

    # Start

    def _fetch_at_start(self) -> None:
        """Get the records that this host should hold, which it has lost with its last process.

        Hosts that are started again one after another would otherwise lose all copies. The list of
        upstreams doesn't matter: a version that has just left it counts for others.
        """
        while not self.hosts.is_known:
            eventlet.sleep(CHECK_INTERVAL_S)
        addresses = self.hosts.region_addresses()
        for attempt in range(START_ATTEMPTS):
            if attempt > 0:
                eventlet.sleep(START_PAUSE_S)
            addresses = self._fetch_from_all(addresses)
            if not addresses:
                break
        fetched = self.counts["fetched"]
        logger.info(
            "Streams held again after the start: %d; hosts without an answer: %d.",
            fetched,
            len(addresses),
        )

    def _fetch_from_all(self, addresses: list[str]) -> list[str]:
        """Fetch from hosts; return those that didn't answer."""
        pool = eventlet.GreenPool(START_ASKED_AT_ONCE)
        answered = list(pool.imap(self._fetch_from, addresses))
        return [address for address, each in zip(addresses, answered, strict=True) if not each]

    def _fetch_from(self, address: str) -> bool:
        """Fetch from a host; return whether it answered."""
        answer = self.peers.ask(address, HeldRequest(self.hosts.own.address), TELL_TIMEOUT_S)
        if not isinstance(answer, StreamsTold):
            detail = answer.detail if isinstance(answer, Failure) else "unexpected answer"
            logger.info("Streams of %s were not fetched. %s", address, detail)
            return False
        records = answer.records[:HELD_MAX]
        self._hold(in_turns(records), len(answer.records) - len(records))
        self.counts["fetched"] += len(records)
        return True


def in_turns(records: Iterable[StreamRecord]) -> Iterator[StreamRecord]:
    """Yield records, and give other tasks a turn now and then."""
    began_at = clocks.now_s()
    for number, record in enumerate(records, 1):
        yield record
        if number % RECORDS_PER_TURN == 0 or clocks.now_s() - began_at > TURN_S:
            eventlet.sleep(0)
            began_at = clocks.now_s()


def _named(versions: Iterable[tuple[PoolId, Version | None]]) -> tuple[AloneVersion, ...]:
    """Return the versions that have a name, by pool."""
    return tuple(AloneVersion(pool, each) for pool, each in versions if isinstance(each, str))
