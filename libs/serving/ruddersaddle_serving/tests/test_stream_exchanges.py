"""Tests of telling and asking where streams began, with hosts that fail in between."""

from unittest import mock

from ruddersaddle_base.codecs import decode_msgpack, encode_msgpack
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import HallId, HostId, PoolId, RequestId, SoftwareVersion, WorkspaceId

from ruddersaddle_serving import stream_exchanges
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.neighbour_messages import NeighbourMessage
from ruddersaddle_serving.stream_exchanges import HOLDERS, MUTE_S, TELL_ATTEMPTS, StreamExchange
from ruddersaddle_serving.stream_records import (
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
            has_several=lambda: True,
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
        """Return the version that a host learns of a stream, from its records or from holders."""
        exchange = self.exchange_by_address[address]
        known = exchange.find_known(key)
        replies = [] if known else exchange.ask(StreamQuestion(key, (POOL,)))
        found = [known] if known else [each.record for each in replies if each.record]
        return found[0].version if found else None

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

    def test_id_of_two_streams_is_ambiguous_for_all_hosts(self) -> None:
        key = self.begin("address-0", "r", "v1")
        self.begin("address-1", "r", "v2")
        for address in ("address-0", "address-1", "address-0"):
            self.deliver(address)
        self.exchange_by_address["address-0"].record_begun(
            StreamRecord(key, POOL, SoftwareVersion("v1"))
        )
        self.deliver("address-0")
        for address in self.exchange_by_address:
            self.assertIsNone(self.find(address, key))


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

    def test_hosts_started_again_one_after_another_lose_no_stream(self) -> None:
        keys = [self.begin("address-0", f"r-{number}") for number in range(40)]
        self.deliver("address-0")
        for host in self.records:
            self.start(host)._fetch_at_start()
        for address in self.exchange_by_address:
            for key in keys:
                self.assertEqual(self.find(address, key), "v1")

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


class ReplyTest(Fleet):
    def test_holder_says_which_version_is_alone(self) -> None:
        """A host that has just started can't know it."""
        key = StreamKey(None, RequestId("r"))
        holder = next(each for each in self.holders_of(key) if each != "address-0")
        self.alone[holder] = "v1"
        replies = self.exchange_by_address["address-0"].ask(StreamQuestion(key, (POOL,)))
        alone = [each.version for reply in replies for each in reply.alone]
        self.assertEqual(alone, ["v1"])
