"""Tests of how hosts share out what an upstream bears that is cold or names a limit."""

import unittest
from collections import deque

from hypothesis import given, strategies
from ruddersaddle_base.ids import HallId, HostId, PoolId, RequestId, UpstreamId
from ruddersaddle_base.tests.drawn_inputs import DRAWN

from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Pool, Published
from ruddersaddle_serving.self_reports import DOUBLING_S, DOUBLINGS_MAX, TRUST_S, LimitNews
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_entries import Heartbeat, UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_shares import JOIN_S, WINDOW_S, UpstreamShares, share_out

HALL = HallId("h")
POOL = PoolId("p")
COLD_S = 3.0
OVERAGE, SLACK = 1.5, 5
"""Of what a cold upstream bears it may get this many times as much, and so many requests more."""


def bound(per_s: float) -> float:
    return per_s * OVERAGE + SLACK


def names(count: int, first: int = 0) -> list[str]:
    return [f"host-{number}" for number in range(first, first + count)]


def records(hosts: list[str]) -> dict[HostId, HostRecord]:
    return {HostId(each): HostRecord(f"{each}:1", HALL) for each in hosts}


class SharingTest(unittest.TestCase):
    @DRAWN
    @given(strategies.floats(0.05, 200.0), strategies.integers(1, 500))
    def test_shares_add_up_to_what_a_cold_upstream_bears(self, per_s: float, hosts: int) -> None:
        ranked = names(hosts)
        shares = [share_out(per_s, ranked, host) for host in ranked]
        total = sum(each.requests / each.window_s for each in shares)
        self.assertLessEqual(total, per_s + 1e-9)
        self.assertGreater(total, 0)

    def test_shares_of_known_sizes(self) -> None:
        for per_s, hosts, holders, each in (
            (18.0, 71, 18, 1),
            (18.0, 6, 6, 3),
            (4.0, 400, 4, 1),
            (7.8, 60, 7, 1),
            (0.5, 3, 1, 1),
        ):
            with self.subTest(per_s=per_s, hosts=hosts):
                ranked = names(hosts)
                shares = [share_out(per_s, ranked, host).requests for host in ranked]
                self.assertEqual(sum(share > 0 for share in shares), holders)
                self.assertEqual(max(shares), each)


class Fleet:
    """Hosts that know the list of hosts that they are given, and one upstream."""

    def __init__(self, per_s: float, known_by_host: dict[str, list[str]]) -> None:
        self.upstream = UpstreamEntry(UpstreamId("u"), POOL, "10.0.0.1:80", HALL, 64, False, {}, 1)
        self.shares: list[UpstreamShares] = []
        self.trackers: list[Tracker] = []
        for host, known in known_by_host.items():
            hosts = Hosts(HostId(host), HostRecord(f"{host}:1", HALL), [])
            hosts.replace(records(known))
            publications = Publications()
            publications.apply(Published(1, pools=(Pool(POOL, None, COLD_S, per_s),)))
            upstreams = UpstreamList()
            upstreams.put(self.upstream)
            self.shares.append(UpstreamShares(hosts, publications, upstreams))
            self.trackers.append(Trackers().get_or_create(self.upstream))

    def turn_cold(self, cold_s: float = COLD_S) -> None:
        for each in self.shares:
            each.upstreams.cold.take(self.upstream.instance, Heartbeat(2, cold_s))

    def send(self) -> int:
        """Let each host send as much as it may; return how many requests leave."""
        sent = 0
        for shares, tracker in zip(self.shares, self.trackers, strict=True):
            while shares.may_send(tracker) and sent < 10_000:
                shares.note_sent(tracker)
                sent += 1
        return sent


class FleetTest(FixedClockTest):
    """A cold upstream."""

    def most_in_a_second(self, fleet: Fleet, seconds: float = 2.0) -> int:
        """Return the most requests that leave within a second, with a look each 0.05 s."""
        sent: deque[int] = deque(maxlen=20)
        most = 0
        for _ in range(round(seconds / 0.05)):
            sent.append(fleet.send())
            most = max(most, sum(sent))
            self.now += 0.05
        return most

    def test_hosts_that_agree_send_what_it_bears(self) -> None:
        for per_s, count in ((18.0, 71), (4.0, 400), (18.0, 6)):
            with self.subTest(per_s=per_s, hosts=count):
                fleet = Fleet(per_s, dict.fromkeys(names(count), names(count)))
                self.now += JOIN_S
                fleet.turn_cold()
                most = self.most_in_a_second(fleet)
                self.assertLessEqual(most, bound(per_s))
                self.assertGreater(most, 0.8 * per_s)

    def test_bound_holds_while_three_quarters_more_hosts_join(self) -> None:
        """Each host knows those that were there, and of the new ones as many as happens to be."""
        old, new = names(71), names(53, 71)
        for known_of_new in range(0, 54, 6):
            with self.subTest(known=known_of_new):
                known = dict.fromkeys(old, [*old, *new[:known_of_new]])
                known |= dict.fromkeys(new, [*old, *new])
                fleet = Fleet(18.0, known)
                self.now += JOIN_S
                fleet.turn_cold()
                self.assertLessEqual(self.most_in_a_second(fleet), bound(18.0))

    def test_host_that_has_just_started_has_no_share(self) -> None:
        fleet = Fleet(18.0, {"host-0": ["host-0"]})
        fleet.turn_cold(60.0)
        self.now += JOIN_S / 2
        self.assertEqual(fleet.send(), 0)
        self.now += JOIN_S
        self.assertEqual(fleet.send(), 18)

    def test_one_host_alone_keeps_a_large_bound(self) -> None:
        fleet = Fleet(400.0, {"host-0": ["host-0"]})
        self.now += JOIN_S
        fleet.turn_cold()
        self.assertEqual(fleet.send(), 400)

    def test_what_left_before_it_turned_cold_counts(self) -> None:
        fleet = Fleet(18.0, {"host-0": ["host-0"]})
        self.now += JOIN_S
        for _ in range(30):
            fleet.shares[0].note_sent(fleet.trackers[0])
        fleet.turn_cold()
        self.assertEqual(fleet.send(), 0)
        self.now += WINDOW_S
        self.assertEqual(fleet.send(), 18)
        self.assertEqual(fleet.shares[0].cold_sent, 18)

    def test_upstream_is_cold_for_a_while_after_its_hall_was_evacuated(self) -> None:
        fleet = Fleet(18.0, {"host-0": ["host-0"]})
        shares, tracker = fleet.shares[0], fleet.trackers[0]
        evacuations = shares.publications.evacuations
        evacuations.take(Evacuation(HALL, in_force=True))
        evacuations.take(Evacuation(HALL, in_force=False))
        self.assertTrue(shares.is_cold(tracker))
        self.now += COLD_S
        self.assertFalse(shares.is_cold(tracker))

    def test_upstream_is_cold_for_a_while_after_a_silence(self) -> None:
        fleet = Fleet(18.0, {"host-0": ["host-0"]})
        shares, tracker = fleet.shares[0], fleet.trackers[0]
        tracker.liveness.record_response(self.now)
        self.now += 0.1
        tracker.liveness.record_sent(("host-0", 1), self.now, 0.2)
        self.now += 1.5
        self.assertTrue(tracker.is_unresponsive)
        self.assertFalse(shares.is_cold(tracker))
        tracker.liveness.record_response(self.now)
        self.assertTrue(shares.is_cold(tracker))
        self.now += COLD_S
        self.assertFalse(shares.is_cold(tracker))

    def test_pool_whose_starts_make_no_difference_is_never_cold(self) -> None:
        fleet = Fleet(0.0, {"host-0": ["host-0"]})
        fleet.turn_cold()
        self.assertFalse(fleet.shares[0].is_cold(fleet.trackers[0]))


class LimitTest(FixedClockTest):
    """An upstream that names a limit, of which all hosts have heard."""

    def start(self, limit_per_s: float, hosts: int) -> Fleet:
        fleet = Fleet(0.0, dict.fromkeys(names(hosts), names(hosts)))
        self.now += JOIN_S
        self.tell(fleet, limit_per_s)
        return fleet

    def tell(self, fleet: Fleet, limit_per_s: float, ended: bool = False) -> None:
        for tracker in fleet.trackers:
            tracker.reported.rate_limit.take(LimitNews(limit_per_s, ended, RequestId("q")))

    def sent_by_step(
        self, fleet: Fleet, seconds: float, limit_per_s: float | None = None
    ) -> list[int]:
        """Return how many requests leave in each 0.05 s; each answer names the limit, if any."""
        sent: list[int] = []
        for _ in range(round(seconds / 0.05)):
            sent.append(fleet.send())
            if sent[-1] and limit_per_s is not None:
                self.tell(fleet, limit_per_s)
            self.now += 0.05
        return sent

    def most_in_window(self, sent: list[int]) -> int:
        """Return the most requests that leave within 4 s."""
        return max(sum(sent[at : at + 80]) for at in range(len(sent)))

    def test_hosts_together_send_what_the_limit_allows(self) -> None:
        for limit_per_s in (0.0, 0.3, 0.9, 2.1, 18.0, 300.0):
            for hosts in (1, 7, 71, 400):
                with self.subTest(limit_per_s=limit_per_s, hosts=hosts):
                    fleet = self.start(limit_per_s, hosts)
                    sent = self.sent_by_step(fleet, 16.0, limit_per_s)
                    allowed = OVERAGE * 4 * limit_per_s + SLACK
                    self.assertLessEqual(self.most_in_window(sent), allowed)
                    self.assertGreater(sum(sent), 16 * 0.4 * limit_per_s)
                    self.assertGreater(sum(sent[160:]), 0)

    def test_lower_of_cold_and_limit_holds(self) -> None:
        for limit_per_s, cold_per_s in ((2.0, 18.0), (18.0, 2.0)):
            fleet = Fleet(cold_per_s, {"host-0": ["host-0"]})
            self.now += JOIN_S
            fleet.turn_cold()
            self.tell(fleet, limit_per_s)
            self.assertEqual(fleet.send(), 2)

    def test_limit_that_nobody_hears_of_is_given_up_in_steps(self) -> None:
        fleet = self.start(2.1, 71)
        self.now += TRUST_S
        per_second = [sum(self.sent_by_step(fleet, 1.0)) for _ in range(3)]
        self.assertEqual(per_second, sorted(per_second))
        self.assertLessEqual(per_second[0], 4 * 2.1)
        self.assertGreater(per_second[-1], 16)
        self.tell(fleet, 2.1)
        self.now += 1.0
        self.assertLessEqual(sum(self.sent_by_step(fleet, 1.0, 2.1)), 2)

    def test_load_returns_in_steps_once_a_limit_has_ended(self) -> None:
        fleet = self.start(2.1, 7)
        self.tell(fleet, 2.1, ended=True)
        per_second = [sum(self.sent_by_step(fleet, 1.0)) for _ in range(4)]
        self.assertLessEqual(per_second[0], 4 * 2.1)
        self.assertGreater(per_second[-1], 8 * per_second[0])
        self.now += DOUBLING_S * DOUBLINGS_MAX
        self.assertIsNone(fleet.shares[0].bound_per_s(fleet.trackers[0]))

    def test_limit_falls_and_rises_from_answer_to_answer(self) -> None:
        fleet = self.start(18.0, 7)
        self.assertEqual(fleet.send(), 14)
        self.tell(fleet, 0.0)
        self.assertEqual(sum(self.sent_by_step(fleet, 3.0)), 0)
        self.tell(fleet, 18.0)
        self.assertEqual(fleet.send(), 14)


if __name__ == "__main__":
    unittest.main()
