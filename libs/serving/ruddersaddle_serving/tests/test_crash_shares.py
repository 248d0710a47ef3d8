"""Tests of how all hosts come to refuse a request that crashes upstreams."""

import unittest
from unittest import mock

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId, UpstreamId

from ruddersaddle_serving import crash_shares
from ruddersaddle_serving.crash_records import Crash, CrashRecords
from ruddersaddle_serving.crash_shares import CrashShares, CrashUpdate
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.ports import Record, Topic
from ruddersaddle_serving.upstream_entries import UpstreamStart

BAD, COMMON = Fingerprint("bad"), Fingerprint("common")
AWAY = Failure(Code.LOG_UNAVAILABLE, Step.APPEND, "store", "status 503")


class FakeStore:
    """The newest value of each key, and who follows them."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self.followers: list[CrashShares] = []
        self.calls = 0
        self.is_away = False

    def put_all(self, topic: Topic, values: dict[str, bytes | None]) -> Failure | None:
        self.calls += 1
        if self.is_away:
            return AWAY
        for key, value in values.items():
            self.value_by_key.pop(key, None)
            if value is not None:
                self.value_by_key[key] = value
            for shares in self.followers:
                shares.apply_record(Record(key, value, 0))
        return None

    def read(self, shares: CrashShares) -> None:
        """Let a host that has just started read everything."""
        for key, value in self.value_by_key.items():
            shares.apply_record(Record(key, value, 0))


class FakePeers:
    """Carries messages between hosts, unless they are cut off from one another."""

    def __init__(self) -> None:
        self.by_address: dict[str, CrashShares] = {}
        self.is_cut = False
        self.sent = 0

    def tell_all(self, addresses: list[str], message: CrashUpdate) -> None:
        if self.is_cut:
            return
        for address in addresses:
            self.sent += 1
            self.by_address[address].apply_update(message)


def instance(number: int) -> UpstreamStart:
    """Return a start of an upstream."""
    return UpstreamStart(UpstreamId(f"e-{number}"), 1000 + number)


class CrashSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        for name in ("BACKUP_WRITE_DELAY_S", "WRITE_PAUSE_S", "SEND_DELAY_S"):
            patch = mock.patch.object(crash_shares, name, 0.002)
            patch.start()
            self.addCleanup(patch.stop)
        self.store = FakeStore()
        self.peers = FakePeers()

    def make_fleet(self, halls: int, in_hall: int) -> list[CrashShares]:
        records = {
            HostId(f"h{hall}-{number}"): HostRecord(f"10.{hall}.{number}.1:1", HallId(f"{hall}"))
            for hall in range(halls)
            for number in range(in_hall)
        }
        for host, record in records.items():
            hosts = Hosts(host, record, [])
            hosts.replace(records)
            shares = CrashShares(hosts, self.peers, self.store, CrashRecords())
            self.peers.by_address[record.address] = shares
        return list(self.peers.by_address.values())

    def settle(self) -> None:
        eventlet.sleep(0.05)

    def refusing(self, fleet: list[CrashShares], fingerprint: Fingerprint = BAD) -> int:
        now_ms = clocks.unix_ms()
        found = [each.records.find_refusal(fingerprint, now_ms) for each in fleet]
        return sum(each is not None for each in found)

    def test_crashes_seen_by_three_hosts_are_put_together(self) -> None:
        fleet = self.make_fleet(3, 2)
        for number in range(3):
            fleet[number].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(self.refusing(fleet), 6)

    def test_many_hosts_hear_of_it_by_their_readers(self) -> None:
        fleet = self.make_fleet(4, 10)
        for number in range(3):
            fleet[7 * number].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(self.refusing(fleet), 40)
        self.assertLessEqual(self.peers.sent, 3 * 40)

    def test_crash_that_many_hosts_saw_is_passed_on_together(self) -> None:
        fleet = self.make_fleet(4, 10)
        for number, shares in enumerate(fleet):
            shares.broadcast_crash(Crash(instance(0), (BAD, Fingerprint(f"f-{number}"))))
        self.settle()
        self.assertEqual({len(each.records.by_fingerprint) for each in fleet}, {41})
        self.assertLess(self.peers.sent, 40 * 10)

    def test_hosts_cut_off_from_one_another_refuse_it_by_the_store(self) -> None:
        """Each saw one crash; the next one of any host goes to the store with its first."""
        fleet = self.make_fleet(3, 1)
        self.store.followers = fleet
        self.peers.is_cut = True
        for number in range(3):
            fleet[number].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(self.refusing(fleet), 0)
        fleet[0].broadcast_crash(Crash(instance(3), (BAD,)))
        self.settle()
        self.assertEqual(self.refusing(fleet), 3)

    def test_host_that_has_just_started_refuses_it_by_the_store_alone(self) -> None:
        fleet = self.make_fleet(1, 2)
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        (new, *_) = self.make_fleet(1, 1)
        self.store.read(new)
        self.assertEqual(self.refusing([new]), 1)

    def test_outage_of_the_store_delays_the_record_only(self) -> None:
        fleet = self.make_fleet(1, 2)
        self.store.is_away = True
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(self.store.value_by_key, {})
        self.store.is_away = False
        self.settle()
        self.assertIn(BAD, self.store.value_by_key)

    def test_suspects_of_one_crash_cost_no_call(self) -> None:
        (only,) = self.make_fleet(1, 1)
        names = tuple(Fingerprint(f"f-{number}") for number in range(200))
        only.broadcast_crash(Crash(instance(0), names))
        self.settle()
        self.assertEqual(self.store.calls, 0)

    def test_flood_of_crashing_requests_costs_few_calls(self) -> None:
        (only,) = self.make_fleet(1, 1)
        names = tuple(Fingerprint(f"f-{number}") for number in range(200))
        for number in range(3):
            only.broadcast_crash(Crash(instance(number), names))
        self.settle()
        self.assertEqual(len(self.store.value_by_key), 200)
        self.assertLessEqual(self.store.calls, 3)

    def test_hosts_that_do_not_follow_the_store_write_nothing_of_what_they_only_heard(self) -> None:
        """Each of 195 hosts wrote what it couldn't know to be written."""
        fleet = self.make_fleet(4, 10)
        self.store.followers = [each for each in fleet if each.hosts.is_reader()]
        for number in range(3):
            fleet[number].broadcast_crash(Crash(instance(number), (BAD,)))
            self.settle()
        self.assertEqual(self.refusing(fleet), 40)
        self.assertLessEqual(self.store.calls, 5)

    def test_record_of_a_request_that_ended_whole_goes_whoever_saw_it(self) -> None:
        fleet = self.make_fleet(4, 10)
        self.store.followers = [each for each in fleet if each.hosts.is_reader()]
        (other, *_) = [each for each in fleet if not each.hosts.is_reader()]
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(list(self.store.value_by_key), [BAD])
        other.records.record_completion(BAD, clocks.unix_ms())
        other.broadcast_cleared(BAD)
        self.settle()
        self.assertEqual(self.store.value_by_key, {})

    def test_run_that_ends_whole_clears_it_everywhere(self) -> None:
        fleet = self.make_fleet(1, 3)
        self.store.followers = fleet
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertTrue(fleet[2].records.record_completion(BAD, clocks.unix_ms()))
        fleet[2].broadcast_cleared(BAD)
        self.settle()
        self.assertEqual(self.refusing(fleet), 0)
        self.assertEqual(self.store.value_by_key, {})

    def test_host_where_it_ended_whole_clears_a_common_request_that_another_suspects(self) -> None:
        fleet = self.make_fleet(1, 2)
        fleet[1].records.record_completion(COMMON, clocks.unix_ms())
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (COMMON,)))
            self.settle()
        self.assertEqual(self.refusing(fleet, COMMON), 0)

    def test_unreadable_record_is_left_out(self) -> None:
        (only,) = self.make_fleet(1, 1)
        for value in (b"{}", b"\xff", b'["x", [["e"]], "late"]', b'["y", [["e"]], 5]'):
            only.apply_record(Record("x", value, 0))
        self.assertEqual(only.records.by_fingerprint, {})


if __name__ == "__main__":
    unittest.main()
