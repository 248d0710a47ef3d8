"""Tests of telling and asking where streams began, with hosts that fail in between."""

from collections.abc import Callable
from unittest import mock

from msgspec import structs
from ruddersaddle_base.codecs import decode_msgpack, encode_msgpack
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import HallId, HostId, PoolId, RequestId, SoftwareVersion, WorkspaceId

from ruddersaddle_serving import stream_exchanges, stream_records
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.neighbour_messages import NeighbourMessage
from ruddersaddle_serving.routes import Target
from ruddersaddle_serving.stream_exchanges import (
    HOLDERS,
    MUTE_S,
    RECORDS_PER_MESSAGE,
    START_ATTEMPTS,
    TELL_ATTEMPTS,
    StreamExchange,
)
from ruddersaddle_serving.stream_origins import StreamOrigins
from ruddersaddle_serving.stream_records import (
    KEY_CHARS_MAX,
    NAME_CHARS_MAX,
    StreamKey,
    StreamQuestion,
    StreamRecord,
    StreamRecords,
    StreamsTold,
)
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

POOL = PoolId("p")


def copied(message: NeighbourMessage) -> NeighbourMessage:
    """Return a message as its receiver decodes it."""
    return decode_msgpack(encode_msgpack(message), NeighbourMessage, Step.PEER, "peer")


class Fleet(FixedClockTest):
    """Hosts of two halls that exchange messages at once."""

    count = 8

    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(StreamExchange, "_send_all")
        patch.start()
        self.addCleanup(patch.stop)
        self.sent: list[NeighbourMessage] = []
        self.down: set[str] = set()
        self.alone: dict[str, str | None] = {}
        """Version that a host takes for alone."""
        self.alone_until_now: dict[str, str | None] = {}
        self.records = {
            HostId(f"host-{number}"): HostRecord(f"address-{number}", HallId(f"h{number % 2}"))
            for number in range(self.count)
        }
        self.exchange_by_address: dict[str, StreamExchange] = {}
        for host in self.records:
            self.start(host)

    def start(self, host: HostId) -> StreamExchange:
        """Start a host, or start it again without anything that it knew."""
        record = self.records[host]
        hosts = Hosts(host, record, [])
        hosts.replace(self.records)
        peers = mock.Mock(ask=lambda address, message, _: self.ask(address, message))
        versions = mock.Mock(
            alone=lambda pool: self.alone.get(record.address),
            alone_until_now=lambda pool: self.alone_until_now.get(record.address),
            seen=lambda pool: {"v1", "v2"},
            begun_beside=lambda pool: {"v1", "v2"},
            is_changing=lambda pools: False,
            upstreams=mock.Mock(complete=True),
        )
        own, held = StreamRecords(lambda: 60.0), StreamRecords(lambda: 60.0)
        exchange = StreamExchange(hosts, peers, versions, own, held)
        self.exchange_by_address[record.address] = exchange
        return exchange

    def ask(self, address: str, message: NeighbourMessage) -> NeighbourMessage | Failure:
        self.sent.append(message)
        if address in self.down:
            return Failure(Code.PEER_GONE, Step.PEER, address, "down", Ran.UNKNOWN)
        return copied(self.exchange_by_address[address].handle(copied(message)))

    def begin(self, address: str, request: str, version: str = "v1") -> StreamKey:
        """Begin a stream at a host."""
        key = StreamKey(WorkspaceId("w"), RequestId(request))
        record = StreamRecord(key, POOL, SoftwareVersion(version))
        self.exchange_by_address[address].record_begun(record)
        return key

    def deliver(self, address: str) -> None:
        """Send all that a host has queued."""
        exchange = self.exchange_by_address[address]
        for _ in range(TELL_ATTEMPTS + 1):
            for holder, queued in list(exchange._unsent_by_address.items()):
                if queued:
                    exchange.send_next(holder)

    def find(self, address: str, key: StreamKey) -> str | None:
        """Return the version at which a host lets a stream go on; None if it refuses."""
        exchange = self.exchange_by_address[address]
        route = mock.Mock(targets=(Target(POOL),))
        request = mock.Mock(route=route, workspace=mock.Mock(id=key.workspace))
        request.head.resumes = key.request
        found = StreamOrigins(exchange.versions, exchange).find(request, POOL)
        return found.pin.version if found.pin else None

    def holders_of(self, key: StreamKey) -> list[str]:
        return self.exchange_by_address["address-0"].holders(key)


class TellingTest(Fleet):
    def test_all_hosts_find_a_stream(self) -> None:
        keys = [self.begin("address-0", f"r-{number}") for number in range(20)]
        self.deliver("address-0")
        for address in self.exchange_by_address:
            for key in keys:
                self.assertEqual(self.find(address, key), "v1")

    def test_holders_are_the_same_for_all_hosts_and_of_different_halls(self) -> None:
        for number in range(50):
            key = StreamKey(None, RequestId(f"r-{number}"))
            holders = self.holders_of(key)
            self.assertEqual(len(set(holders)), HOLDERS)
            for each in self.exchange_by_address.values():
                self.assertEqual(each.holders(key), holders)
            halls = [int(each.rpartition("-")[2]) % 2 for each in holders]
            self.assertEqual(sorted(halls), [0, 0, 1, 1])

    def test_one_message_tells_a_holder_of_many_streams(self) -> None:
        for number in range(400):
            self.begin("address-0", f"r-{number}")
        self.deliver("address-0")
        self.assertLess(len(self.sent), self.count)
        counts = self.exchange_by_address["address-0"].counts
        self.assertEqual(counts["told"], sum(len(each.records) for each in self.sent))

    def test_lost_message_is_sent_again_until_it_is_acknowledged(self) -> None:
        key = self.begin("address-0", "r")
        holder = next(each for each in self.holders_of(key) if each != "address-0")
        exchange = self.exchange_by_address["address-0"]
        self.down.add(holder)
        self.assertFalse(exchange.send_next(holder))
        self.assertEqual((exchange.counts["told"], exchange.counts["unacknowledged"]), (0, 1))
        self.down.clear()
        self.assertTrue(exchange.send_next(holder))
        self.assertEqual(exchange.counts["told"], 1)
        self.assertIsNotNone(self.exchange_by_address[holder].held.find(key))

    def test_mute_holder_is_told_a_bounded_number_of_times(self) -> None:
        key = self.begin("address-0", "r")
        holder = next(each for each in self.holders_of(key) if each != "address-0")
        exchange = self.exchange_by_address["address-0"]
        self.down.add(holder)
        for _ in range(TELL_ATTEMPTS):
            exchange.send_next(holder)
        self.assertEqual(exchange._unsent_by_address[holder], [])
        for number in range(20):
            self.begin("address-0", f"r-{number}")
        self.assertEqual(exchange._unsent_by_address[holder], [])
        self.now += MUTE_S + 1
        for number in range(20):
            self.begin("address-0", f"later-{number}")
        self.assertNotEqual(exchange._unsent_by_address[holder], [])

    def test_queue_for_a_mute_holder_is_bounded(self) -> None:
        with mock.patch.object(stream_exchanges, "QUEUED_MAX", 3):
            for number in range(40):
                self.begin("address-0", f"r-{number}")
        exchange = self.exchange_by_address["address-0"]
        self.assertLessEqual(max(map(len, exchange._unsent_by_address.values())), 3)

    def test_mute_holder_that_has_started_again_is_told_at_once(self) -> None:
        """It was told nothing for up to 10 s after its start."""
        exchange = self.exchange_by_address["address-0"]
        exchange._mute_until["address-1"] = self.now + MUTE_S
        self.start(HostId("host-1"))._fetch_at_start()
        for number in range(20):
            self.begin("address-0", f"r-{number}")
        self.assertTrue(exchange._unsent_by_address["address-1"])

    def skip_holder(self) -> tuple[str, list[StreamKey]]:
        """Begin streams at the first host while one of their holders is down.

        Return that holder and the keys of which it wasn't told.
        """
        holder = "address-1"
        self.down.add(holder)
        keys = [self.begin("address-0", f"in-vain-{number}") for number in range(20)]
        self.deliver("address-0")
        keys += [self.begin("address-0", f"skipped-{number}") for number in range(20)]
        self.deliver("address-0")
        self.down.clear()
        # To the first host the holder is replaced for now; others don't know of its outage.
        other = self.exchange_by_address["address-7"]
        found = [each for each in keys if holder in other.holders(each)]
        self.assertGreater(len(found), 2)
        return holder, found

    def assert_held(self, holder: str, keys: list[StreamKey]) -> None:
        held = self.exchange_by_address[holder].held
        self.assertEqual([each for each in keys if held.find(each) is None], [])

    def test_mute_holder_is_told_later_what_was_skipped(self) -> None:
        """It counted as told of streams that were never sent to it or not acknowledged."""
        holder, keys = self.skip_holder()
        exchange = self.exchange_by_address["address-0"]
        exchange.tell_untold()
        self.deliver("address-0")
        self.assertIsNone(self.exchange_by_address[holder].held.find(keys[0]))
        self.now += MUTE_S + 0.1
        exchange.tell_untold()
        self.deliver("address-0")
        self.assert_held(holder, keys)
        sent = len(self.sent)
        exchange.tell_untold()
        self.deliver("address-0")
        self.assertEqual(len(self.sent), sent)

    def test_mute_holder_that_sends_or_answers_anything_is_told_at_once(self) -> None:
        """It was told nothing for 10 s, although it was back."""
        question = StreamQuestion(StreamKey(None, RequestId("unknown")), (POOL,))
        for asker, asked in (("address-0", "address-1"), ("address-1", "address-0")):
            with self.subTest(asker):
                for host in self.records:
                    self.start(host)
                holder, keys = self.skip_holder()
                holders = mock.Mock(return_value=[asked])
                with mock.patch.object(StreamExchange, "other_holders", holders):
                    self.assertEqual(len(self.exchange_by_address[asker].ask(question)), 1)
                self.exchange_by_address["address-0"].tell_untold()
                self.deliver("address-0")
                self.assert_held(holder, keys)

    def test_mute_holder_that_tells_of_streams_is_told_at_once(self) -> None:
        """It was told nothing for 10 s, although it was back."""
        holder, keys = self.skip_holder()
        for number in range(20):
            self.begin(holder, f"other-{number}")
        self.deliver(holder)
        self.exchange_by_address["address-0"].tell_untold()
        self.deliver("address-0")
        self.assert_held(holder, keys)

    def test_streams_that_a_full_queue_dropped_are_told_later(self) -> None:
        """Their holders counted as told."""
        with mock.patch.object(stream_exchanges, "QUEUED_MAX", 3):
            keys = [self.begin("address-0", f"r-{number}") for number in range(12)]
        for _ in range(2):
            self.deliver("address-0")
            self.exchange_by_address["address-0"].tell_untold()
        for address in self.exchange_by_address:
            if address != "address-0":
                self.assert_held(
                    address, [each for each in keys if address in self.holders_of(each)]
                )

    def test_nothing_is_told_while_one_version_is_alone_and_all_once_it_isnt(self) -> None:
        self.alone = dict.fromkeys(self.exchange_by_address, "v1")
        keys = [self.begin("address-0", f"r-{number}") for number in range(20)]
        exchange = self.exchange_by_address["address-0"]
        exchange.tell_untold()
        self.deliver("address-0")
        self.assertEqual(self.sent, [])
        self.alone = {}
        exchange.tell_untold()
        self.deliver("address-0")
        self.down = {"address-0"}
        for key in keys:
            self.assertEqual(self.find("address-7", key), "v1")

    def test_new_holders_are_told(self) -> None:
        """When the list of hosts changed, the hosts that were asked knew nothing."""
        keys = [self.begin("address-0", f"r-{number}") for number in range(20)]
        self.deliver("address-0")
        exchange = self.exchange_by_address["address-0"]
        exchange.tell_untold()
        for number in range(1, 6):
            del self.records[HostId(f"host-{number}")]
        for number in range(8, 11):
            self.records[HostId(f"host-{number}")] = HostRecord(f"address-{number}", HallId("h0"))
            self.start(HostId(f"host-{number}"))
        for each in self.exchange_by_address.values():
            each.hosts.replace(dict(self.records))
        exchange.tell_untold()
        self.deliver("address-0")
        for key in keys:
            self.assertEqual(self.find("address-9", key), "v1")

    def test_holder_that_left_and_came_back_is_told_again(self) -> None:
        """A planned stop takes a host off the list; what it held is gone when it is back."""
        keys = [self.begin("address-0", f"r-{number}") for number in range(20)]
        self.deliver("address-0")
        exchange = self.exchange_by_address["address-0"]
        host = HostId("host-1")
        without = {each: record for each, record in self.records.items() if each != host}
        for records in (without, self.records):
            exchange.hosts.replace(dict(records))
            exchange.tell_untold()
        self.start(host)
        self.deliver("address-0")
        held = self.exchange_by_address["address-1"].held
        for key in keys:
            self.assertEqual(held.find(key) is not None, "address-1" in exchange.holders(key))

    def test_id_of_two_streams_is_ambiguous_for_all_hosts(self) -> None:
        """The host that began the first stream went on with it if it isn't a holder of the id."""
        for number in range(20):
            key = self.begin("address-0", f"r-{number}", "v1")
            self.deliver("address-0")
            self.begin("address-1", f"r-{number}", "v2")
            self.deliver("address-1")
            for address in self.exchange_by_address:
                self.assertIsNone(self.find(address, key))

    def test_id_of_two_streams_is_ambiguous_though_one_holder_missed_the_second(self) -> None:
        """The first reply that had a record decided, also if another reply differed."""
        key = self.begin("address-0", "r", "v1")
        self.deliver("address-0")
        missing = [each for each in self.holders_of(key) if each not in ("address-0", "address-1")]
        self.down = set(missing[:1])
        self.begin("address-1", "r", "v2")
        self.deliver("address-1")
        self.down.clear()
        for address in self.exchange_by_address:
            self.assertIsNone(self.find(address, key))

    def test_id_used_twice_at_one_host_is_ambiguous_for_all_hosts(self) -> None:
        """Holders learnt only the second version if the first was alone when its stream began."""
        for alone_before in (True, False):
            self.alone = dict.fromkeys(self.exchange_by_address, "v1") if alone_before else {}
            key = self.begin("address-0", f"r-{alone_before}", "v1")
            self.alone = {}
            self.begin("address-0", f"r-{alone_before}", "v2")
            self.deliver("address-0")
            for address in self.exchange_by_address:
                self.assertIsNone(self.find(address, key))

    def test_new_holders_are_told_that_an_id_is_ambiguous(self) -> None:
        """They were told nothing of it, or of the stream at the other host only."""
        key = self.begin("address-0", "r", "v1")
        self.begin("address-0", "r", "v2")
        exchange = self.exchange_by_address["address-0"]
        exchange._unsent_by_address.clear()
        exchange._told_by_key.clear()
        exchange.tell_untold()
        self.deliver("address-0")
        for address in self.holders_of(key):
            known = self.exchange_by_address[address].find_known(key)
            self.assertEqual((known is not None, known and known.version), (True, None))


class FailingHostsTest(Fleet):
    def test_two_of_four_holders_and_the_beginner_may_be_gone(self) -> None:
        for number in range(40):
            key = self.begin("address-0", f"r-{number}")
            self.deliver("address-0")
            gone = [each for each in self.holders_of(key) if each != "address-0"][:2]
            self.down = {"address-0", *gone}
            asker = next(each for each in self.exchange_by_address if each not in self.down)
            self.assertEqual(self.find(asker, key), "v1")
            self.down.clear()

    def test_unresponsive_hosts_are_replaced_as_holders(self) -> None:
        """Streams that began while two of their holders were gone had two copies less."""
        exchange = self.exchange_by_address["address-0"]
        gone = {"address-1", "address-2"}
        for each in gone:
            exchange.hosts.record_unresponsive(each)
        self.down = set(gone)
        keys = [self.begin("address-0", f"r-{number}") for number in range(40)]
        self.deliver("address-0")
        self.assert_copies(keys, gone)

    def test_holders_that_are_mute_are_replaced(self) -> None:
        """A holder that acknowledged nothing was replaced only once it was off the list."""
        self.down = {"address-1", "address-2"}
        keys = [self.begin("address-0", f"r-{number}") for number in range(40)]
        self.deliver("address-0")
        self.exchange_by_address["address-0"].tell_untold()
        self.deliver("address-0")
        self.assert_copies(keys, self.down)

    def assert_copies(self, keys: list[StreamKey], gone: set[str]) -> None:
        """Assert that each stream has all its copies, also if its host and a holder are lost."""
        alive = [each for each in self.exchange_by_address if each not in gone]
        for key in keys:
            known = [each for each in alive if self.exchange_by_address[each].find_known(key)]
            self.assertGreaterEqual(len(known), HOLDERS)
            self.down = {*gone, "address-0", known[1]}
            for address in set(alive) - self.down:
                self.assertEqual(self.find(address, key), "v1")

    def test_hosts_started_again_one_after_another_lose_no_stream(self) -> None:
        keys = [self.begin("address-0", f"r-{number}") for number in range(40)]
        self.deliver("address-0")
        for host in self.records:
            self.start(host)._fetch_at_start()
        for address in self.exchange_by_address:
            for key in keys:
                self.assertEqual(self.find(address, key), "v1")

    def test_host_that_starts_fetches_though_it_lists_one_version_only(self) -> None:
        """The other version had just left the list, and the started host held nothing."""
        keys = [self.begin("address-0", f"r-{number}") for number in range(20)]
        self.deliver("address-0")
        for host in self.records:
            exchange = self.start(host)
            exchange.versions.upstreams.complete = False
            with mock.patch("eventlet.sleep", side_effect=AssertionError("waits")):
                exchange._fetch_at_start()
        for address, exchange in self.exchange_by_address.items():
            due = [each for each in keys if address in self.holders_of(each)]
            self.assertEqual([each for each in due if exchange.held.find(each) is None], [])

    def test_host_that_starts_asks_again_those_that_do_not_answer(self) -> None:
        """A host whose connection was dead, or that paused, was asked once."""
        for number in range(20):
            self.begin("address-0", f"r-{number}")
        for answers_from, is_fetched in ((3, True), (START_ATTEMPTS, False)):
            with self.subTest(answers_from):
                self.down = {"address-0"}
                exchange = self.start(HostId("host-1"))
                pauses: list[float] = []

                def pause(seconds: float, pauses: list = pauses, until: int = answers_from) -> None:
                    pauses.append(seconds)
                    if len(pauses) >= until:
                        self.down.clear()

                self.sent.clear()
                with mock.patch("eventlet.sleep", pause):
                    exchange._fetch_at_start()
                self.assertEqual(len(exchange.held) > 0, is_fetched)
                self.assertEqual(len(pauses), START_ATTEMPTS - 1)
                asked_once = self.count - 2
                self.assertEqual(len(self.sent), asked_once + START_ATTEMPTS)

    def test_host_that_starts_gets_nothing_while_one_version_is_alone(self) -> None:
        """An answer with all streams of a busy host would take long."""
        for number in range(20):
            self.begin("address-0", f"r-{number}")
        self.alone = dict.fromkeys(self.exchange_by_address, "v1")
        exchange = self.start(HostId("host-1"))
        exchange._fetch_at_start()
        self.assertEqual(len(exchange.held), 0)

    def test_cut_off_host_knows_its_own_streams_only(self) -> None:
        own, other = self.begin("address-0", "own"), self.begin("address-1", "other")
        self.down = {each for each in self.exchange_by_address if each != "address-0"}
        exchange = self.exchange_by_address["address-0"]
        self.assertEqual(self.find("address-0", own), "v1")
        self.assertIsNone(exchange.find_known(other))
        self.assertEqual(exchange.ask(StreamQuestion(other, (POOL,))), [])

    def test_fetched_records_are_bounded(self) -> None:
        for number in range(30):
            self.begin("address-0", f"r-{number}")
        with mock.patch.object(stream_exchanges, "HELD_MAX", 5):
            exchange = self.exchange_by_address["address-0"]
            message = stream_exchanges.HeldRequest("address-1")
            answer = exchange.handle(message)
        self.assertIsInstance(answer, StreamsTold)
        self.assertEqual(len(answer.records), 5)


def wrapped(work: Callable, function: Callable) -> Callable:
    """Return a method that calls `work` with the function and its arguments."""

    def call(*args: object) -> object:
        return work(function, *args)

    return call


class TurnTest(Fleet):
    """Ranking the candidates of a bucket takes a millisecond here, and fetching a record too."""

    def setUp(self) -> None:
        super().setUp()
        self.ranked_by_turn = [0]
        choose, put = StreamExchange._choose_candidates, StreamRecords.put

        def work(function: Callable, *args: object) -> object:
            self.now += 0.001
            self.ranked_by_turn[-1] += 1
            return function(*args)

        for owner, name, function in (
            (StreamExchange, "_choose_candidates", choose),
            (StreamRecords, "put", put),
        ):
            patch = mock.patch.object(owner, name, wrapped(work, function))
            patch.start()
            self.addCleanup(patch.stop)
        patch = mock.patch("eventlet.sleep", lambda _: self.ranked_by_turn.append(0))
        patch.start()
        self.addCleanup(patch.stop)
        for number in range(100):
            self.begin("address-0", f"r-{number}")

    def assert_turns(self) -> None:
        self.assertGreater(sum(self.ranked_by_turn), 50)
        most = stream_exchanges.TURN_S / 0.001 + 1
        self.assertLessEqual(max(self.ranked_by_turn), most)

    def test_other_tasks_get_turns_while_holders_are_ranked_anew(self) -> None:
        """After a change of a list of 450 hosts the host stood still for up to 0.2 s."""
        exchange = self.exchange_by_address["address-0"]
        self.records[HostId("host-9")] = HostRecord("address-9", HallId("h0"))
        exchange.hosts.replace(dict(self.records))
        self.ranked_by_turn = [0]
        exchange.tell_untold()
        self.assert_turns()

    def test_other_tasks_get_turns_while_fetched_records_are_held(self) -> None:
        """A host that started stood still for each answer of up to 5,000 records."""
        self.down = {f"address-{number}" for number in range(2, self.count)}
        exchange = self.start(HostId("host-1"))
        exchange._candidates = lambda key: ["address-1"]
        self.exchange_by_address["address-0"]._candidates = lambda key: ["address-1"]
        self.ranked_by_turn = [0]
        exchange._fetch_from("address-0")
        self.assert_turns()


class LookTest(Fleet):
    def test_streams_are_looked_through_for_mute_holders_a_tenth_of_the_time(self) -> None:
        """With many hosts of an earlier program version, it was done without a pause."""
        exchange = self.exchange_by_address["address-0"]
        looks: list[float] = []

        def look(telling: frozenset) -> None:
            looks.append(self.now)
            self.now += 0.5

        exchange._tell_all = look
        ends_at = self.now + 100.0
        while self.now < ends_at:
            exchange._mute_until = {f"address-{len(looks) % 7 + 1}": self.now + MUTE_S}
            exchange.tell_untold()
            self.now += 0.1
        self.assertLessEqual(len(looks) * 0.5, 11.0)
        self.assertGreater(len(looks), 10)
        exchange.hosts.replace({})
        exchange.tell_untold()
        self.assertAlmostEqual(looks[-1], self.now - 0.5)


class BoundsTest(Fleet):
    """What another host sends is bounded, also if that host has a fault."""

    def make_records(self, count: int, **fields: object) -> tuple[StreamRecord, ...]:
        keys = (StreamKey(WorkspaceId("w"), RequestId(f"r-{number}")) for number in range(count))
        record = StreamRecord(StreamKey(None, RequestId("")), POOL, SoftwareVersion("v1"))
        return tuple(structs.replace(record, **{"key": key, **fields}) for key in keys)

    def test_records_of_one_message_are_bounded(self) -> None:
        """50,000 records of one message were held in one turn, of 0.1 s."""
        exchange = self.exchange_by_address["address-0"]
        with self.assertLogs(stream_exchanges.logger) as logs:
            for _ in range(3):
                exchange.handle(StreamsTold(self.make_records(RECORDS_PER_MESSAGE + 7)))
        self.assertEqual(len(exchange.held), RECORDS_PER_MESSAGE)
        self.assertEqual((exchange.counts["rejected"], len(logs.output)), (21, 1))

    def test_long_texts_are_not_held(self) -> None:
        """A request id of a million characters was held."""
        exchange = self.exchange_by_address["address-0"]
        texts = "a" * 10**6
        long_keys = (
            StreamKey(WorkspaceId("w"), RequestId(texts)),
            StreamKey(WorkspaceId(texts), RequestId("r")),
            StreamKey(WorkspaceId("w"), RequestId("")),
        )
        records = [
            *(each for key in long_keys for each in self.make_records(1, key=key)),
            *self.make_records(1, pool=PoolId(texts)),
            *self.make_records(1, version=SoftwareVersion(texts)),
        ]
        noted = exchange.handle(StreamsTold(tuple(records)))
        self.assertEqual((len(exchange.held), noted.ambiguous), (0, ()))
        self.assertEqual(exchange.counts["rejected"], len(records))
        key = StreamKey(WorkspaceId("a" * NAME_CHARS_MAX), RequestId("a" * KEY_CHARS_MAX))
        exchange.handle(StreamsTold(self.make_records(1, key=key)))
        self.assertEqual(len(exchange.held), 1)

    def test_answers_to_a_started_host_are_bounded(self) -> None:
        exchange = self.exchange_by_address["address-0"]
        exchange.peers.ask = lambda *_: StreamsTold(self.make_records(20))
        with mock.patch.object(stream_exchanges, "HELD_MAX", 5):
            exchange._fetch_from("address-1")
        counts = exchange.counts
        self.assertEqual((len(exchange.held), counts["fetched"], counts["rejected"]), (5, 5, 15))

    def test_unknown_host_gets_no_records(self) -> None:
        """All records were looked through for any address, and a pause was ended for it."""
        exchange = self.exchange_by_address["address-0"]
        answer = exchange.handle(stream_exchanges.HeldRequest("elsewhere"))
        self.assertNotIsInstance(answer, StreamsTold)
        answer = exchange.handle(stream_exchanges.HeldRequest("address-1"))
        self.assertIsInstance(answer, StreamsTold)

    def test_host_that_starts_asks_again_those_that_do_not_know_it_yet(self) -> None:
        keys = [self.begin("address-0", f"r-{number}") for number in range(20)]
        self.deliver("address-0")
        other = self.exchange_by_address["address-0"].hosts
        other.replace({each: self.records[each] for each in self.records if each != "host-1"})
        exchange = self.start(HostId("host-1"))
        with mock.patch("eventlet.sleep", lambda _: other.replace(dict(self.records))):
            exchange._fetch_at_start()
        due = [each for each in keys if "address-1" in self.holders_of(each)]
        self.assertEqual([each for each in due if exchange.held.find(each) is None], [])
        self.assertEqual(sum(type(each) is stream_exchanges.HeldRequest for each in self.sent), 8)

    def test_pools_of_a_question_are_bounded(self) -> None:
        exchange = self.exchange_by_address["address-0"]
        exchange.versions.alone = mock.Mock(return_value=None)
        pools = tuple(PoolId(f"p-{number}") for number in range(100_000))
        exchange.handle(StreamQuestion(StreamKey(None, RequestId("r")), pools))
        self.assertLessEqual(exchange.versions.alone.call_count, stream_exchanges.POOLS_MAX)


class CountsTest(Fleet):
    def test_dropped_records_are_counted(self) -> None:
        """Neither own nor held records that the bound dropped were in the metrics."""
        with mock.patch.object(stream_records, "RECORDS_MAX", 3):
            for number in range(5):
                self.begin("address-0", f"r-{number}")
            self.deliver("address-0")
        counts = [each.counts_by_event()["dropped"] for each in self.exchange_by_address.values()]
        held = [each.held.dropped for each in self.exchange_by_address.values()]
        self.assertEqual(counts, [2 + held[0], *held[1:]])
        self.assertGreater(sum(held), 0)


class AskingTest(Fleet):
    """Each return waited for holders that answer nothing, and closed the connections to them."""

    def setUp(self) -> None:
        super().setUp()
        self.exchange = self.exchange_by_address["address-0"]
        self.key = StreamKey(None, RequestId("r"))
        self.others = self.exchange.other_holders(self.key)
        self.asked: list[str] = []
        ask = self.exchange.peers.ask

        def record(address: str, *args: object) -> object:
            self.asked.append(address)
            return ask(address, *args)

        self.exchange.peers.ask = record

    def hold(self, addresses: list[str]) -> None:
        """Let only some hosts hold the record of the stream."""
        for address, each in self.exchange_by_address.items():
            each.held = StreamRecords(lambda: 60.0)
            if address in addresses:
                each.held.put(StreamRecord(self.key, POOL, SoftwareVersion("v1")))

    def ask_holders(self) -> set[str]:
        """Ask, and return who was asked."""
        self.asked.clear()
        self.exchange.ask(StreamQuestion(self.key, (POOL,)))
        return set(self.asked)

    def test_mute_holders_are_asked_only_if_no_other_knows_the_stream(self) -> None:
        for count in range(1, len(self.others) + 1):
            mute, left = self.others[:count], self.others[count:]
            self.exchange._mute_until = dict.fromkeys(mute, self.now + MUTE_S)
            if left:
                self.hold(left[:1])
                self.assertEqual(self.ask_holders(), set(left))
            self.hold(mute[:1])
            self.assertEqual(self.find("address-0", self.key), "v1")

    def test_holder_that_left_a_question_unanswered_is_asked_last_for_a_while(self) -> None:
        self.hold(self.others)
        gone = set(self.others[:2])
        self.down = set(gone)
        self.assertEqual(self.ask_holders(), set(self.others))
        self.assertEqual(self.ask_holders(), set(self.others) - gone)
        self.down.clear()
        self.now += stream_exchanges.ASK_AGAIN_S
        self.assertEqual(self.ask_holders(), set(self.others))

    def test_holder_that_sends_something_is_asked_again_at_once(self) -> None:
        self.hold(self.others)
        self.down = {self.others[0]}
        self.ask_holders()
        self.down.clear()
        self.assertEqual(self.ask_holders(), set(self.others[1:]))
        self.exchange.handle(StreamQuestion(self.key, (POOL,), self.others[0]))
        self.assertEqual(self.ask_holders(), set(self.others))

    def test_all_are_asked_again_after_a_pause_of_this_process(self) -> None:
        """To the paused process all holders look as if they hadn't answered."""
        self.hold(self.others)
        self.down = set(self.others)
        self.ask_holders()
        self.down.clear()
        self.assertEqual(self.ask_holders(), set(self.others))


class ReplyTest(Fleet):
    def test_holder_says_which_version_is_alone(self) -> None:
        """A host that has just started can't know it."""
        key = StreamKey(None, RequestId("r"))
        holder = next(each for each in self.holders_of(key) if each != "address-0")
        self.alone[holder] = "v1"
        replies = self.exchange_by_address["address-0"].ask(StreamQuestion(key, (POOL,)))
        alone = [each.version for reply in replies for each in reply.alone]
        self.assertEqual(alone, ["v1"])
        self.alone, self.alone_until_now = {}, {holder: "v1"}
        replies = self.exchange_by_address["address-0"].ask(StreamQuestion(key, (POOL,)))
        alone = [each.version for reply in replies for each in reply.alone_until_now]
        self.assertEqual(alone, ["v1"])
