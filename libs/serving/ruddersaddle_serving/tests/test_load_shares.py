"""Tests of how hosts share what they know of requests at engines."""

import unittest

from ruddersaddle_base.ids import HallId, HostId, PoolId, RequestId, UpstreamId

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.load_shares import LoadShares, LoadSums, Notices
from ruddersaddle_serving.prompts import Part, PartId
from ruddersaddle_serving.self_reports import Leave, LimitNews
from ruddersaddle_serving.tests.engine_waits import wait_s
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Assignment, Notice, Progress, Reach, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList

ENGINE = UpstreamId("e-1")
ASSIGNMENT = Assignment("m/1", (Part(PartId("a"), 100),), 0.05, 120, 1)
CAPACITY = 1000


class FakePeers:
    """Carries messages between the shares of hosts, by address."""

    def __init__(self) -> None:
        self.by_address: dict[str, LoadShares] = {}
        self.sent = 0

    def broadcast(self, addresses: list[str], message: Notices | LoadSums) -> None:
        for address in addresses:
            self.sent += 1
            shares = self.by_address[address]
            if isinstance(message, Notices):
                shares.take_notices(message)
            else:
                shares.take_sums(message)


def make_trackers() -> Trackers:
    trackers = Trackers()
    entry = UpstreamEntry(ENGINE, PoolId("p"), "10.1.0.1:80", HallId("a"), 8, False, {})
    trackers.at(entry)
    return trackers


def make_fleet(halls: int, in_hall: int) -> tuple[FakePeers, list[LoadShares]]:
    records = {
        HostId(f"h{hall}-{number}"): HostRecord(f"10.0.{hall}.{number}:1", HallId(f"hall-{hall}"))
        for hall in range(halls)
        for number in range(in_hall)
    }
    peers = FakePeers()
    for host, record in records.items():
        hosts = Hosts(host, record, [])
        hosts.replace(records)
        peers.by_address[record.address] = LoadShares(hosts, peers, make_trackers(), UpstreamList())
    return peers, list(peers.by_address.values())


class LoadSharesTest(FixedClockTest):
    def settle(self, fleet: list[LoadShares]) -> None:
        """Let every host tell its notices, then every reader its sums and totals."""
        for shares in fleet:
            shares.tell_notices()
        for is_total in (False, True):
            for shares in fleet:
                if shares.is_summing:
                    shares.tell_sums(is_total)

    def send(self, shares: LoadShares, number: int) -> None:
        shares.tell(Notice(ENGINE, number, Progress.SENT, ASSIGNMENT))

    def waits(self, fleet: list[LoadShares]) -> set[float]:
        loads = [shares.trackers.by_id[ENGINE].load for shares in fleet]
        return {round(wait_s(load, 1, 10, CAPACITY), 3) for load in loads}

    def test_few_hosts_hear_of_each_request(self) -> None:
        _, fleet = make_fleet(2, 3)
        for number, shares in enumerate(fleet):
            self.send(shares, number)
        self.settle(fleet)
        self.assertEqual(self.waits(fleet), {0.3})

    def test_many_hosts_hear_the_totals_of_all_halls(self) -> None:
        peers, fleet = make_fleet(3, 8)
        for number, shares in enumerate(fleet[::4]):
            self.send(shares, number)
        self.settle(fleet)
        self.assertEqual(self.waits(fleet), {0.3})
        self.assertLessEqual(peers.sent, 24 + 3 * 2 + 3 * 7)

    def test_own_requests_are_not_counted_twice(self) -> None:
        _, fleet = make_fleet(1, 20)
        for _ in range(3):
            self.send(fleet[0], self.now)
            self.now += 0.1
            self.settle(fleet)
        self.assertEqual(self.waits(fleet), {0.15})

    def test_totals_of_a_reader_that_fell_silent_are_forgotten(self) -> None:
        _, fleet = make_fleet(1, 20)
        self.send(fleet[0], 1)
        self.settle(fleet)
        self.now += 1.1
        self.assertEqual(self.waits(fleet[1:2]), {0.0})

    def test_failures_that_any_host_saw_are_known_to_all_and_fade(self) -> None:
        _, fleet = make_fleet(2, 10)
        for number in range(8):
            fleet[number].tell(Notice(ENGINE, number, Progress.ENDED, failed=True))
        self.settle(fleet)
        sound = {shares.trackers.by_id[ENGINE].is_sound for shares in fleet}
        self.assertEqual(sound, {False})
        for _ in range(8):
            self.now += 1.0
            self.settle(fleet)
        sound = {shares.trackers.by_id[ENGINE].is_sound for shares in fleet}
        self.assertEqual(sound, {True})

    def silent_count(self, fleet: list[LoadShares]) -> int:
        return sum(shares.trackers.by_id[ENGINE].is_silent for shares in fleet)

    def test_dark_engine_that_one_host_finds_is_left_by_all(self) -> None:
        """Each of 195 hosts found each of 16 dark engines with requests of callers."""
        _, fleet = make_fleet(3, 8)
        fleet[0].tell(Notice(ENGINE, 1, Progress.SENT, expected_s=0.1))
        self.now += 0.15
        fleet[0].tell(Notice(ENGINE, 1, Progress.ENDED, reach=Reach.NO_CONNECTION))
        self.settle(fleet)
        self.assertEqual(self.silent_count(fleet), 24)
        for _ in range(30):
            self.now += 0.1
            self.settle(fleet)
        self.assertEqual(self.silent_count(fleet), 24)
        fleet[9].tell(Notice(ENGINE, 2, Progress.REACHED))
        self.settle(fleet)
        self.assertEqual(self.silent_count(fleet), 0)

    def test_engine_that_one_host_found_replaced_is_left_by_all(self) -> None:
        _, fleet = make_fleet(3, 8)
        fleet[5].tell(Notice(ENGINE, 1, Progress.REPLACED))
        self.settle(fleet)
        sound = {shares.trackers.by_id[ENGINE].is_sound for shares in fleet}
        self.assertEqual(sound, {False})

    def test_limit_that_one_host_hears_of_holds_and_ends_on_all(self) -> None:
        for halls, in_hall in ((2, 3), (3, 8)):
            _, fleet = make_fleet(halls, in_hall)
            for ended in (False, True):
                news = LimitNews(2.1, ended, RequestId("q"))
                fleet[4].tell(Notice(ENGINE, 1, Progress.REPORTED, limit=news))
                self.settle(fleet)
                named = {each.trackers.by_id[ENGINE].reported.rate_limit.is_named for each in fleet}
                with self.subTest(halls=halls, ended=ended):
                    self.assertEqual(named, {not ended})
                self.now += 0.1

    def test_leave_that_one_host_hears_of_is_known_to_all_of_few_and_to_the_reader(self) -> None:
        for halls, in_hall, knowing in ((2, 3, 6), (1, 20, 2)):
            _, fleet = make_fleet(halls, in_hall)
            teller = next(each for each in fleet if not each.is_summing)
            teller.tell(Notice(ENGINE, 1, Progress.REPORTED, leave=Leave(RequestId("q"))))
            self.settle(fleet)
            known = [each for each in fleet if each.upstreams.is_leaving(UpstreamInstance(ENGINE))]
            with self.subTest(hosts=len(fleet)):
                self.assertEqual(len(known), knowing)

    def test_engine_that_others_hear_of_is_not_left(self) -> None:
        _, fleet = make_fleet(3, 8)
        for number in range(20):
            fleet[0].tell(Notice(ENGINE, number, Progress.SENT, expected_s=0.1))
            fleet[20].tell(Notice(ENGINE, number, Progress.SENT, expected_s=0.1))
            self.now += 0.15
            fleet[0].tell(Notice(ENGINE, number, Progress.ENDED, reach=Reach.NO_CONNECTION))
            fleet[20].tell(Notice(ENGINE, number, Progress.FIRST))
            self.settle(fleet)
            self.assertLessEqual(self.silent_count(fleet), 1)


if __name__ == "__main__":
    unittest.main()
