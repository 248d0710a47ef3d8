"""Tests of notices on loads of weights: their number, lost readers, hosts of the former version."""

import unittest
from collections import Counter

import eventlet
import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId, ModelId, UpstreamId

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.neighbour_messages import Ack, Loaded, LoadedEngine, Loading
from ruddersaddle_serving.weight_notices import Notice, WeightNotices

ENGINES = tuple(UpstreamId(f"e-{number}") for number in range(28))
HALLS = 5


class FormerLoading(msgspec.Struct, frozen=True, tag="loading"):
    """The message as the former version knows it."""

    upstream: UpstreamId
    seconds: float
    relays: bool | msgspec.UnsetType = msgspec.UNSET


class FormerAck(msgspec.Struct, frozen=True, tag="noted"):
    """The answer as the former version knows it."""


class NoticeFleet:
    """Hosts that send and relay notices; lost ones don't answer, former ones know one engine."""

    def __init__(self, hosts: int) -> None:
        self.records = {
            HostId(f"h-{number}"): HostRecord(f"10.0.0.{number}:1", HallId(str(number % HALLS)))
            for number in range(hosts)
        }
        self.notices_by_address: dict[str, WeightNotices] = {}
        for host, record in self.records.items():
            known = Hosts(host, record, [])
            known.replace(self.records)
            self.notices_by_address[record.address] = WeightNotices(known, self.asker(record))
        self.lost: set[str] = set()
        self.former: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.known: Counter[tuple[str, UpstreamId]] = Counter()

    def asker(self, sender: HostRecord):
        def ask(address: str, notice: Notice) -> Ack | Failure:
            self.sent[sender.address] += 1
            if address in self.lost:
                return Failure(Code.PEER_GONE, Step.PEER, address)
            if address in self.former:
                data = msgspec.msgpack.encode(notice)
                found = msgspec.msgpack.decode(data, type=FormerLoading)
                self.known[address, found.upstream] += 1
                return msgspec.msgpack.decode(msgspec.msgpack.encode(FormerAck()), type=Ack)
            for each in notice.engines:
                self.known[address, each] += 1
            self.notices_by_address[address].relay(notice)
            return Ack(len(notice.engines))

        return ask

    def send(self, sender: str) -> None:
        first, *others = ENGINES
        notice = Loading(first, 6.0, others=tuple(others))
        self.notices_by_address[sender].send_to_all(notice)
        for _ in range(10):
            eventlet.sleep(0)


class WeightNoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = NoticeFleet(85)
        self.addresses = list(self.fleet.notices_by_address)
        self.sender = self.addresses[0]
        hosts = self.fleet.notices_by_address[self.sender].hosts
        self.reader = hosts.region_reader_by_hall()[HallId("1")]

    def check_known(self, by: set[str]) -> None:
        """Check that each of some hosts knows of each engine."""
        missing = [(each, engine) for each in by for engine in ENGINES]
        self.assertEqual([each for each in missing if not self.fleet.known[each]], [])

    def test_each_host_gets_one_message_for_all_engines(self) -> None:
        """A message for each pair of host and engine kept the sender busy for a second."""
        self.fleet.send(self.sender)
        others = set(self.addresses) - {self.sender}
        self.check_known(others)
        self.assertEqual(set(self.fleet.known.values()), {1})
        self.assertEqual(self.fleet.sent.total(), len(others))
        self.assertLessEqual(self.fleet.sent[self.sender], 85 // HALLS - 1 + HALLS - 1)

    def test_hall_whose_reader_is_lost_gets_the_message_from_the_sender(self) -> None:
        self.fleet.lost = {self.reader}
        self.fleet.send(self.sender)
        self.check_known(set(self.addresses) - {self.sender, self.reader})

    def test_hosts_of_the_former_version_learn_of_all_engines(self) -> None:
        """They know only the first engine of a message, and relay nothing to their hall."""
        hall = [record.address for record in self.fleet.records.values() if record.hall == "1"]
        for former in ({self.reader}, set(hall), set(self.addresses) - {self.sender}):
            with self.subTest(former=len(former)):
                self.fleet.known.clear()
                self.fleet.former = former
                self.fleet.send(self.sender)
                self.check_known(set(self.addresses) - {self.sender})

    def test_messages_of_the_former_version_are_understood(self) -> None:
        data = msgspec.msgpack.encode(FormerLoading(ENGINES[0], 2.0, True))
        self.assertEqual(msgspec.msgpack.decode(data, type=Loading).engines, ENGINES[:1])

    def test_relayed_message_is_not_relayed_again(self) -> None:
        """It would go around among the hosts of a hall for ever."""
        member = next(
            each.address
            for each in self.fleet.records.values()
            if each.hall == "1" and each.address != self.reader
        )
        loaded = Loaded(ENGINES[0], ModelId("m"), 2, others=(LoadedEngine(ENGINES[1], 1),))
        self.fleet.notices_by_address[self.reader].relay(
            msgspec.structs.replace(loaded, hall_relays=True)
        )
        for _ in range(10):
            eventlet.sleep(0)
        self.assertEqual(self.fleet.known[member, loaded.engines[1]], 1)
        self.assertEqual(self.fleet.sent[member], 0)


if __name__ == "__main__":
    unittest.main()
