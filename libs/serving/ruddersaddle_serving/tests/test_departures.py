"""Tests that the parts of what all hosts share add up, whatever hosts stop, start and join."""

import random
import unittest

from ruddersaddle_base.ids import HallId, HostId

from ruddersaddle_serving.departures import Departures
from ruddersaddle_serving.host_lists import CONFIRMATION_S, READ_PAUSE_S
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.ports import TOPIC_START, StorePosition
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.upstream_quotas import JOIN_GRACE_S

HALL = HallId("h")
TICK_S = 0.25
PLAY_S = 60.0
ASK_PAUSE_S = 1.0
GRACE_S = 8.0
MEMORY_S = 28.0
PARTS_MAX = 1 / 0.9
"""Largest sum of the parts: budgets use 0.9 of the slack."""


def host_id(number: int) -> HostId:
    """Return the id of a host."""
    return HostId(f"host-{number}")


class Process:
    """One process of a host, with its view of the list."""

    def __init__(self, number: int, now: float, former: HostRecord | None) -> None:
        self.is_rejoining = former is not None and not former.is_leaving
        self.id = host_id(number)
        record = HostRecord(f"10.0.{number // 250}.{number % 250}:1", HALL)
        self.hosts = Hosts(self.id, record, [], departure_memory_s=MEMORY_S)
        self.reads_at = self.asks_at = now
        self.ends_at = float("inf")

    def part(self, now: float) -> float:
        """Return the part that it takes of what all hosts share."""
        grace_s = 0.0 if self.is_rejoining else JOIN_GRACE_S
        is_known = now >= self.hosts.known_at + grace_s
        return 1 / self.hosts.sending_count if is_known else 0.0


class ListFleet:
    """Hosts that stop, are killed, start and join at drawn moments, and their list in the store."""

    def __init__(self, test: FixedClockTest, seed: int, size: int) -> None:
        self.test = test
        self.draws = random.Random(seed)
        random.seed(seed)
        self.position = 0
        self.listed: dict[HostId, HostRecord] = {}
        self.by_number: dict[int, Process] = {}
        self.starts: dict[int, float] = {}
        for number in range(size):
            self.start(number)
        self.next_number = size
        self.largest = 0.0

    @property
    def now(self) -> float:
        return self.test.now

    def start(self, number: int) -> None:
        former = self.listed.get(host_id(number))
        process = self.by_number[number] = Process(number, self.now, former)
        self.write(process.id, process.hosts.own)

    def write(self, host: HostId, record: HostRecord | None) -> None:
        self.position += 1
        if record is None:
            self.listed.pop(host, None)
        else:
            self.listed[host] = record

    def stop(self, number: int) -> None:
        process = self.by_number[number]
        if process.ends_at == float("inf"):
            process.hosts.record_own_leave()
            self.write(process.id, process.hosts.own)
            process.ends_at = self.now + self.draws.uniform(0.5, GRACE_S)

    def end(self, number: int) -> None:
        process = self.by_number.pop(number)
        if process.hosts.own.is_leaving:
            self.write(process.id, None)
        if self.draws.random() < 0.8:
            self.starts[number] = self.now + self.draws.uniform(0.5, 2.0)

    def step(self) -> None:
        self.test.now += TICK_S
        for number in [each for each, at in self.starts.items() if at <= self.now]:
            del self.starts[number]
            self.start(number)
        ended = [each for each, process in self.by_number.items() if process.ends_at <= self.now]
        for number in ended:
            self.end(number)
        for process in list(self.by_number.values()):
            self.refresh(process)
        parts = [each.part(self.now) for each in self.by_number.values()]
        self.largest = max(self.largest, sum(parts))

    def refresh(self, process: Process) -> None:
        hosts = process.hosts
        if hosts.by_id and not hosts.is_reader():
            if self.now >= process.asks_at:
                process.asks_at = self.now + ASK_PAUSE_S
                self.ask_reader(process)
        elif self.now >= process.reads_at:
            self.read(process)

    def read(self, process: Process) -> None:
        """Read the list, and notify the others if it has changed."""
        hosts = process.hosts
        pause_s = (READ_PAUSE_S if hosts.by_id else ASK_PAUSE_S) * self.draws.uniform(0.75, 1.25)
        is_new = hosts.position < StorePosition(1, self.position)
        hosts.replace(dict(self.listed), StorePosition(1, self.position))
        confirmation_in_s = hosts.known_at + CONFIRMATION_S - self.now
        process.reads_at = self.now + min(
            pause_s, confirmation_in_s if confirmation_in_s > 0 else pause_s
        )
        if is_new and hosts.is_reader():
            for other in self.by_number.values():
                if other.id in hosts.by_id:
                    self.ask(other, process)

    def ask_reader(self, process: Process) -> None:
        by_address = {each.hosts.own.address: each for each in self.by_number.values()}
        for address in process.hosts.readers():
            if address in by_address:
                self.ask(process, by_address[address])
                return
            process.hosts.record_unresponsive(address)

    def ask(self, asker: Process, asked: Process) -> None:
        """Exchange views of the list, as requests for state do."""
        mine, theirs = asker.hosts, asked.hosts
        theirs.add(asker.id, mine.own)
        if mine.position > theirs.position:
            asked.reads_at = min(asked.reads_at, self.now + ASK_PAUSE_S)
        elif mine.position < theirs.position:
            known = {**theirs.leaving_by_id, **theirs.by_id, theirs.own_id: theirs.own}
            mine.replace(known, theirs.position)

    def disturb(self) -> None:
        """Let hosts stop, be killed or join now and then."""
        if self.draws.random() > 0.2 * TICK_S:
            return
        numbers = sorted(self.by_number)
        some = self.draws.sample(numbers, self.draws.randint(0, max(0, len(numbers) - 1)))
        match self.draws.randrange(4):
            case 0:
                for number in some:
                    self.stop(number)
            case 1:
                for number in numbers:
                    self.stop(number)
            case 2:
                for number in some:
                    self.by_number[number].ends_at = self.now
            case 3:
                for _ in range(self.draws.randint(1, 1 + len(numbers) // 8)):
                    self.start(self.next_number)
                    self.next_number += 1


class PartsTest(FixedClockTest):
    def play(self, seed: int, size: int) -> float:
        fleet = ListFleet(self, seed, size)
        for _ in range(round(10.0 / TICK_S)):
            fleet.step()
        for _ in range(round(PLAY_S / TICK_S)):
            fleet.disturb()
            fleet.step()
        return fleet.largest

    def test_parts_of_drawn_fleets_add_up_while_hosts_stop_start_and_join(self) -> None:
        for seed in range(40):
            with self.subTest(seed=seed):
                self.assertLessEqual(self.play(seed, 3 + seed % 12), PARTS_MAX)

    def test_parts_of_large_fleets_add_up(self) -> None:
        self.assertLessEqual(self.play(1, 86), PARTS_MAX)


class DeparturesTest(FixedClockTest):
    def test_host_counts_until_it_has_been_gone_for_the_memory_time(self) -> None:
        departures = Departures(20.0)
        departures.apply(set(), {HostId("a")})
        self.now += 19.9
        self.assertEqual(departures.count(), 1)
        self.now += 0.2
        self.assertEqual(departures.count(), 0)

    def test_host_that_is_listed_again_doesnt_count_twice(self) -> None:
        departures = Departures(20.0)
        departures.apply(set(), {HostId("a")})
        departures.apply({HostId("a")}, set())
        self.assertEqual(departures.count(), 0)

    def test_host_whose_stop_never_ends_on_the_list_counts_once(self) -> None:
        departures = Departures(20.0)
        for _ in range(5):
            departures.apply(set(), {HostId("a")})
            self.now += 10.0
        self.assertEqual(departures.count(), 0)


class LeavingHostsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        own = HostRecord("10.0.0.1:1", HALL)
        self.other = HostRecord("10.0.0.2:1", HALL, is_leaving=True)
        self.hosts = Hosts(HostId("own"), own, [])

    def test_leaving_host_gets_no_duties_but_is_counted(self) -> None:
        self.hosts.replace({HostId("other"): self.other})
        self.assertEqual(self.hosts.addresses(), [])
        self.assertEqual(self.hosts.sending_count, 2)

    def test_message_of_a_leaving_host_takes_it_off_the_list(self) -> None:
        self.hosts.add(HostId("other"), HostRecord(self.other.address, HALL))
        self.hosts.add(HostId("other"), self.other)
        self.assertEqual((self.hosts.count, self.hosts.sending_count), (1, 2))
        self.hosts.add(HostId("other"), HostRecord(self.other.address, HALL))
        self.assertEqual((self.hosts.count, self.hosts.sending_count), (2, 2))

    def test_leaving_host_that_was_not_listed_is_counted_once_it_is_heard_of(self) -> None:
        for _ in range(2):
            self.hosts.add(HostId("other"), self.other)
            self.assertEqual((self.hosts.count, self.hosts.sending_count), (1, 2))

    def test_position_of_the_list_is_unknown_before_any_host_has_read_it(self) -> None:
        self.hosts.add(HostId("other"), self.other)
        self.assertEqual(self.hosts.position, TOPIC_START)


if __name__ == "__main__":
    unittest.main()
