"""Tests of the list of hosts and of the choice of readers."""

import unittest

from ruddersaddle_base.ids import HallId, HostId

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

NORTH, SOUTH = HallId("north"), HallId("south")


def record(number: int, hall: HallId, link_mbps: float = 10.0) -> HostRecord:
    return HostRecord(f"10.0.0.{number}:1", hall, link_mbps)


def make_hosts(own: int, records: dict[int, HostRecord]) -> Hosts:
    hosts = Hosts(HostId(str(own)), records[own], [])
    hosts.replace({HostId(str(number)): each for number, each in records.items()})
    return hosts


class HostsTest(FixedClockTest):
    def test_each_hall_has_one_reader_and_all_hosts_agree(self) -> None:
        records = {n: record(n, NORTH if n < 4 else SOUTH) for n in range(1, 8)}
        readers = {tuple(sorted(make_hosts(n, records).readers())) for n in records}
        self.assertEqual(len(readers), 1)
        halls = {records[int(each.split(":")[0][-1])].hall for each in next(iter(readers))}
        self.assertEqual(halls, {NORTH, SOUTH})

    def test_reader_of_a_hall_is_one_of_its_hosts(self) -> None:
        records = {n: record(n, NORTH if n < 4 else SOUTH) for n in range(1, 8)}
        self.assertIn(make_hosts(1, records).hall_reader(), {records[n].address for n in (1, 2, 3)})
        self.assertIn(
            make_hosts(7, records).hall_reader(), {records[n].address for n in range(4, 8)}
        )

    def test_host_with_the_widest_link_is_the_reader(self) -> None:
        records = {n: record(n, NORTH, 100.0 if n == 5 else 10.0) for n in range(1, 8)}
        self.assertEqual(make_hosts(1, records).hall_reader(), records[5].address)

    def test_one_hall_has_a_second_reader(self) -> None:
        records = {n: record(n, NORTH) for n in range(1, 5)}
        self.assertEqual(len(make_hosts(1, records).readers()), 2)
        self.assertEqual(make_hosts(1, {1: records[1]}).readers(), [records[1].address])

    def test_unresponsive_reader_is_replaced_for_a_while(self) -> None:
        records = {n: record(n, NORTH) for n in range(1, 5)}
        hosts = make_hosts(1, records)
        first = next(each for each in hosts.readers() if each != records[1].address)
        hosts.record_unresponsive(first)
        self.assertNotIn(first, hosts.readers())
        self.now += 4.1
        self.assertIn(first, hosts.readers())

    def test_unresponsive_time_of_a_host_doubles_up_to_a_limit(self) -> None:
        records = {n: record(n, NORTH) for n in range(1, 5)}
        hosts = make_hosts(1, records)
        gone = records[2].address
        waits = []
        for _ in range(6):
            hosts.record_unresponsive(gone)
            hosts.record_unresponsive(gone)
            began = self.now
            while gone not in [each.address for each in hosts.live()]:
                self.now += 1.0
            waits.append(self.now - began)
        self.assertEqual(waits, [4.0, 8.0, 16.0, 32.0, 64.0, 64.0])
        hosts.record_response(gone)
        hosts.record_unresponsive(gone)
        self.now += 4.0
        self.assertIn(gone, [each.address for each in hosts.live()])

    def test_digest_differs_between_lists(self) -> None:
        records = {n: record(n, NORTH) for n in range(1, 4)}
        same = {make_hosts(n, records).digest for n in records}
        self.assertEqual(len(same), 1)
        other = {**records, 3: record(9, NORTH)}
        self.assertNotIn(make_hosts(1, other).digest, same)

    def test_seeds_count_until_their_records_are_known(self) -> None:
        hosts = Hosts(HostId("1"), record(1, NORTH), ["10.0.0.2:1", "10.0.0.1:1", ""])
        self.assertEqual(hosts.addresses(), ["10.0.0.2:1"])
        hosts.add(HostId("2"), record(2, SOUTH))
        self.assertEqual(hosts.others(), [record(2, SOUTH)])


if __name__ == "__main__":
    unittest.main()
