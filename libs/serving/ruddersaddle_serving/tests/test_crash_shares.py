"""Tests that all hosts come to refuse a request that crashes upstreams."""

import unittest
from unittest import mock

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import decode_json, encode_json
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId, UpstreamId

from ruddersaddle_serving import crash_shares
from ruddersaddle_serving.crash_records import Crash, CrashRecord, CrashRecords
from ruddersaddle_serving.crash_shares import CrashShares, CrashUpdate, store_key
from ruddersaddle_serving.fingerprints import Fingerprint, PartKey
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.part_crashes import CrashedPart, PartCrash, PartRecord, make_tag
from ruddersaddle_serving.ports import Record, Topic
from ruddersaddle_serving.upstream_entries import UpstreamInstance

BAD, COMMON = Fingerprint("bad"), Fingerprint("common")
PART, OTHER_PART = PartKey("m/deadly"), PartKey("m/other")
SETTLE_ROUNDS_MAX = 20
"""Hosts that don't reach the store call it again and again."""
STORE_DOWN = Failure(Code.LOG_UNAVAILABLE, Step.APPEND, "store", "status 503")


class FakeStore:
    """Holds the newest value of each key, and notifies the hosts that follow the store."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self.followers: list[CrashShares] = []
        self.calls = 0
        self.is_down = False

    def put_all(self, topic: Topic, values: dict[str, bytes | None]) -> Failure | None:
        self.calls += 1
        if self.is_down:
            return STORE_DOWN
        for key, value in values.items():
            self.value_by_key.pop(key, None)
            if value is not None:
                self.value_by_key[key] = value
            for shares in self.followers:
                shares.apply_record(Record(key, value, 0))
        return None

    def read(self, shares: CrashShares) -> None:
        """Let a host that has just started read all records."""
        for key, value in self.value_by_key.items():
            shares.apply_record(Record(key, value, 0))


class FakePeers:
    """Delivers messages between hosts, unless they are partitioned."""

    def __init__(self) -> None:
        self.by_address: dict[str, CrashShares] = {}
        self.is_partitioned = False
        self.sent = 0

    def broadcast(self, addresses: list[str], message: CrashUpdate) -> None:
        if self.is_partitioned:
            return
        for address in addresses:
            self.sent += 1
            self.by_address[address].apply_update(message)


def instance(number: int) -> UpstreamInstance:
    """Return an upstream instance."""
    return UpstreamInstance(UpstreamId(f"e-{number}"), 1000 + number)


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
        """Wait until nothing has been sent or stored for a while, however busy the machine is."""
        before = None
        for _ in range(SETTLE_ROUNDS_MAX):
            now = (self.peers.sent, self.store.calls)
            if now == before:
                return
            before = now
            eventlet.sleep(0.05)

    def refusing(self, fleet: list[CrashShares], fingerprint: Fingerprint = BAD) -> int:
        now_ms = clocks.unix_ms()
        found = [each.records.find_refusal(fingerprint, now_ms) for each in fleet]
        return sum(each is not None for each in found)

    def test_crashes_seen_by_three_hosts_are_merged(self) -> None:
        fleet = self.make_fleet(3, 2)
        for number in range(3):
            fleet[number].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(self.refusing(fleet), 6)

    def test_many_hosts_receive_crashes_through_their_readers(self) -> None:
        fleet = self.make_fleet(4, 10)
        for number in range(3):
            fleet[7 * number].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(self.refusing(fleet), 40)
        self.assertLessEqual(self.peers.sent, 3 * 40)

    def test_crash_that_many_hosts_saw_is_relayed_in_few_messages(self) -> None:
        fleet = self.make_fleet(4, 10)
        for number, shares in enumerate(fleet):
            shares.broadcast_crash(Crash(instance(0), (BAD, Fingerprint(f"f-{number}"))))
        self.settle()
        self.assertEqual({len(each.records.by_fingerprint) for each in fleet}, {41})
        self.assertLess(self.peers.sent, 40 * 10)

    def test_partitioned_hosts_refuse_by_the_store(self) -> None:
        """Each host saw one crash; the next crash that any of them sees brings its record to two,
        so that the host writes it to the store."""
        fleet = self.make_fleet(3, 1)
        self.store.followers = fleet
        self.peers.is_partitioned = True
        for number in range(3):
            fleet[number].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(self.refusing(fleet), 0)
        fleet[0].broadcast_crash(Crash(instance(3), (BAD,)))
        self.settle()
        self.assertEqual(self.refusing(fleet), 3)

    def test_host_that_has_just_started_refuses_by_the_store_alone(self) -> None:
        fleet = self.make_fleet(1, 2)
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        (new, *_) = self.make_fleet(1, 1)
        self.store.read(new)
        self.assertEqual(self.refusing([new]), 1)

    def test_outage_of_the_store_only_delays_the_record(self) -> None:
        fleet = self.make_fleet(1, 2)
        self.store.is_down = True
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(self.store.value_by_key, {})
        self.store.is_down = False
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

    def test_hosts_that_do_not_follow_the_store_write_no_received_records(self) -> None:
        """Guards against each of 195 hosts writing the same record to the store."""
        fleet = self.make_fleet(4, 10)
        self.store.followers = [each for each in fleet if each.hosts.is_reader()]
        for number in range(3):
            fleet[number].broadcast_crash(Crash(instance(number), (BAD,)))
            self.settle()
        self.assertEqual(self.refusing(fleet), 40)
        self.assertLessEqual(self.store.calls, 5)

    def crash_with_part(self, shares: CrashShares, number: int, age_ms: int = 0) -> None:
        """Let a host see the crash of an engine that ran one prompt with the part."""
        fingerprint = Fingerprint(f"{number:08}")
        part = CrashedPart(PART, (make_tag(fingerprint),))
        shares.broadcast_crash(Crash(instance(number), (fingerprint,), (part,), age_ms))

    def arrive(self, fleet: list[CrashShares]) -> None:
        """Let each host receive a prompt with the part, and others without it that are answered."""
        now_ms = clocks.unix_ms()
        for shares in fleet:
            history = shares.records.parts.history
            history.record_request((PART,), now_ms)
            for _ in range(3):
                history.record_request((OTHER_PART,), now_ms)
            history.record_answer((OTHER_PART,), now_ms)

    def refusing_part(self, fleet: list[CrashShares]) -> int:
        now_ms = clocks.unix_ms()
        found = [each.records.parts.find_refusal((PART,), "r", now_ms) for each in fleet]
        return sum(each is not None for each in found)

    def test_part_in_crashes_that_three_hosts_saw_is_refused_by_all(self) -> None:
        fleet = self.make_fleet(4, 10)
        self.arrive(fleet)
        for number in range(3):
            self.crash_with_part(fleet[7 * number], number, age_ms=900 - 300 * number)
        self.settle()
        self.assertEqual(self.refusing_part(fleet), 40)

    def test_partitioned_hosts_refuse_a_part_by_the_store(self) -> None:
        fleet = self.make_fleet(3, 1)
        self.store.followers = fleet
        self.peers.is_partitioned = True
        self.arrive(fleet)
        with mock.patch.object(crash_shares, "CLEARING_DELAY_S", 0.002):
            for number in range(6):
                age_ms = 2000 - 300 * number
                self.crash_with_part(fleet[number % 3], number, age_ms)
            self.settle()
        self.assertEqual(self.refusing_part(fleet), 3)

    def test_host_that_has_just_started_refuses_a_part_by_the_store_alone(self) -> None:
        fleet = self.make_fleet(1, 2)
        self.arrive(fleet)
        for number in range(3):
            self.crash_with_part(fleet[0], number, age_ms=900 - 300 * number)
        self.settle()
        (new, *_) = self.make_fleet(1, 1)
        self.store.read(new)
        self.assertEqual(self.refusing_part([new]), 1)

    def test_refusal_is_written_before_the_pause_after_another_write_ends(self) -> None:
        """Hosts that all lost power 0.2 s after they had refused a part sent prompts with it."""
        (shares,) = fleet = self.make_fleet(1, 1)
        self.arrive(fleet)
        for name, seconds in (("CLEARING_DELAY_S", 0.002), ("WRITE_PAUSE_S", 60.0)):
            patch = mock.patch.object(crash_shares, name, seconds)
            patch.start()
            self.addCleanup(patch.stop)
        for number in range(2):
            self.crash_with_part(shares, number, age_ms=900 - 300 * number)
        self.settle()
        self.assertEqual(self.store.calls, 1)
        self.crash_with_part(shares, 2, age_ms=300)
        self.settle()
        (new,) = self.make_fleet(1, 1)
        self.store.read(new)
        self.assertEqual(self.refusing_part([new]), 1)

    def test_refusal_waits_for_the_pause_while_the_store_is_down(self) -> None:
        (shares,) = fleet = self.make_fleet(1, 1)
        self.arrive(fleet)
        self.store.is_down = True
        with mock.patch.object(crash_shares, "WRITE_PAUSE_S", 60.0):
            for number in range(3):
                self.crash_with_part(shares, number, age_ms=900 - 300 * number)
            self.settle()
        self.assertEqual(self.store.calls, 1)

    def test_answer_at_any_host_clears_a_part_everywhere_and_in_the_store(self) -> None:
        fleet = self.make_fleet(2, 2)
        self.store.followers = [each for each in fleet if each.hosts.is_reader()]
        self.arrive(fleet)
        for number in range(3):
            self.crash_with_part(fleet[0], number, age_ms=900 - 300 * number)
        self.settle()
        self.assertIn(store_key(PART), self.store.value_by_key)
        now_ms = clocks.unix_ms()
        clearances = fleet[3].records.parts.record_answer((PART,), now_ms + 1, now_ms + 1)
        fleet[3].broadcast_cleared_parts(clearances)
        self.settle()
        self.assertEqual(self.refusing_part(fleet), 0)
        self.assertNotIn(store_key(PART), self.store.value_by_key)

    def test_part_that_all_hosts_clear_at_once_costs_few_messages(self) -> None:
        fleet = self.make_fleet(5, 40)
        self.crash_with_part(fleet[0], 0)
        self.settle()
        self.peers.sent = 0
        now_ms = clocks.unix_ms()
        for shares in fleet:
            clearances = shares.records.parts.record_answer((PART,), now_ms + 1, now_ms + 1)
            shares.broadcast_cleared_parts(clearances)
        eventlet.sleep(crash_shares.CLEARANCE_SPREAD_S + 0.1)
        self.assertLess(self.peers.sent, 10 * len(fleet))

    def test_parts_that_answers_clear_at_once_cost_no_call(self) -> None:
        (only,) = self.make_fleet(1, 1)
        self.arrive([only])
        for number in range(2):
            self.crash_with_part(only, number, age_ms=900 - 300 * number)
        now_ms = clocks.unix_ms()
        only.broadcast_cleared_parts(only.records.parts.record_answer((PART,), now_ms, now_ms))
        eventlet.sleep(crash_shares.CLEARING_DELAY_S + 0.05)
        self.assertEqual(self.store.calls, 0)

    def test_record_of_a_part_is_no_record_of_a_request(self) -> None:
        """Hosts of the former program version read all keys as those of requests."""
        record = PartRecord(PART, (PartCrash(instance(0), 1, (), is_decisive=True),))
        decoded = decode_json(encode_json(record), CrashRecord, Step.READ, "key")
        self.assertIsInstance(decoded, Failure)

    def test_crash_reported_by_a_host_of_the_former_program_version_names_no_part(self) -> None:
        former = encode_json([["e-0", 1000], ["bad"]])
        crash = decode_json(former, Crash, Step.READ, "key")
        self.assertEqual(crash.parts, ())

    def test_record_of_a_completed_request_is_deleted_whichever_host_saw_it(self) -> None:
        fleet = self.make_fleet(4, 10)
        self.store.followers = [each for each in fleet if each.hosts.is_reader()]
        (other, *_) = [each for each in fleet if not each.hosts.is_reader()]
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertEqual(list(self.store.value_by_key), [BAD])
        other.records.record_complete(BAD, clocks.unix_ms())
        other.broadcast_cleared(BAD)
        self.settle()
        self.assertEqual(self.store.value_by_key, {})

    def test_completion_clears_a_request_on_all_hosts(self) -> None:
        fleet = self.make_fleet(1, 3)
        self.store.followers = fleet
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (BAD,)))
        self.settle()
        self.assertTrue(fleet[2].records.record_complete(BAD, clocks.unix_ms()))
        fleet[2].broadcast_cleared(BAD)
        self.settle()
        self.assertEqual(self.refusing(fleet), 0)
        self.assertEqual(self.store.value_by_key, {})

    def test_host_where_a_common_request_completed_clears_it_on_others(self) -> None:
        fleet = self.make_fleet(1, 2)
        fleet[1].records.record_complete(COMMON, clocks.unix_ms())
        for number in range(3):
            fleet[0].broadcast_crash(Crash(instance(number), (COMMON,)))
            self.settle()
        self.assertEqual(self.refusing(fleet, COMMON), 0)

    def test_unreadable_record_is_skipped(self) -> None:
        (only,) = self.make_fleet(1, 1)
        for value in (b"{}", b"\xff", b'["x", [["e"]], "late"]', b'["y", [["e"]], 5]'):
            only.apply_record(Record("x", value, 0))
        self.assertEqual(only.records.by_fingerprint, {})


if __name__ == "__main__":
    unittest.main()
