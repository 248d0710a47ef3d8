"""Tests of how hosts split the rate of an upstream that is cold or states a limit."""

import unittest
from collections import deque

from hypothesis import given, strategies
from ruddersaddle_base.ids import HallId, HostId, PoolId, RequestId, UpstreamId
from ruddersaddle_base.tests.property_tests import DETERMINISTIC

from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Pool, PublishedConfiguration
from ruddersaddle_serving.self_reports import (
    LIMIT_TRUST_S,
    RAMP_DOUBLING_S,
    RAMP_DOUBLINGS_MAX,
    LimitUpdate,
)
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_entries import Heartbeat, UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_quotas import (
    JOIN_GRACE_S,
    WINDOW_S,
    UpstreamQuotas,
    compute_quota,
)

HALL = HallId("h")
POOL = PoolId("p")
COLD_S = 3.0
OVERAGE, SLACK = 1.5, 5
"""Factor and constant by which the requests sent may exceed what a cold upstream can take."""


def bound(per_s: float) -> float:
    return per_s * OVERAGE + SLACK


def names(count: int, first: int = 0) -> list[str]:
    return [f"host-{number}" for number in range(first, first + count)]


def records(hosts: list[str]) -> dict[HostId, HostRecord]:
    return {HostId(each): HostRecord(f"{each}:1", HALL) for each in hosts}


class QuotaTest(unittest.TestCase):
    @DETERMINISTIC
    @given(strategies.floats(0.05, 200.0), strategies.integers(1, 500))
    def test_quotas_add_up_to_at_most_the_rate(self, per_s: float, hosts: int) -> None:
        ranked = names(hosts)
        quotas = [compute_quota(per_s, ranked, host) for host in ranked]
        total = sum(each.requests / each.window_s for each in quotas)
        self.assertLessEqual(total, per_s + 1e-9)
        self.assertGreater(total, 0)

    def test_quotas_of_known_rates(self) -> None:
        for per_s, hosts, holders, each in (
            (18.0, 71, 18, 1),
            (18.0, 6, 6, 3),
            (4.0, 400, 4, 1),
            (7.8, 60, 7, 1),
            (0.5, 3, 1, 1),
        ):
            with self.subTest(per_s=per_s, hosts=hosts):
                ranked = names(hosts)
                quotas = [compute_quota(per_s, ranked, host).requests for host in ranked]
                self.assertEqual(sum(quota > 0 for quota in quotas), holders)
                self.assertEqual(max(quotas), each)


class Fleet:
    """One upstream, and hosts that each know a given host list."""

    def __init__(self, per_s: float, known_by_host: dict[str, list[str]]) -> None:
        self.upstream = UpstreamEntry(UpstreamId("u"), POOL, "10.0.0.1:80", HALL, 64, False, {}, 1)
        self.quotas: list[UpstreamQuotas] = []
        self.trackers: list[Tracker] = []
        for host, known in known_by_host.items():
            hosts = Hosts(HostId(host), HostRecord(f"{host}:1", HALL), [])
            hosts.replace(records(known))
            publications = Publications()
            publications.apply(PublishedConfiguration(1, pools=(Pool(POOL, None, COLD_S, per_s),)))
            upstreams = UpstreamList()
            upstreams.put(self.upstream)
            self.quotas.append(UpstreamQuotas(hosts, publications, upstreams))
            self.trackers.append(Trackers().get_or_create(self.upstream))

    def turn_cold(self, cold_s: float = COLD_S) -> None:
        for each in self.quotas:
            each.upstreams.cold.apply(self.upstream.instance, Heartbeat(2, cold_s))

    def send(self) -> int:
        """Let each host send as many requests as it may; return their number."""
        sent = 0
        for quotas, tracker in zip(self.quotas, self.trackers, strict=True):
            while quotas.may_send(tracker) and sent < 10_000:
                quotas.record_sent(tracker)
                sent += 1
        return sent


class FleetTest(FixedClockTest):
    """Quotas at a cold upstream."""

    def most_in_a_second(self, fleet: Fleet, seconds: float = 2.0) -> int:
        """Return the most requests sent within any second, in steps of 0.05 s."""
        sent: deque[int] = deque(maxlen=20)
        most = 0
        for _ in range(round(seconds / 0.05)):
            sent.append(fleet.send())
            most = max(most, sum(sent))
            self.now += 0.05
        return most

    def test_hosts_that_agree_send_at_its_rate(self) -> None:
        for per_s, count in ((18.0, 71), (4.0, 400), (18.0, 6)):
            with self.subTest(per_s=per_s, hosts=count):
                fleet = Fleet(per_s, dict.fromkeys(names(count), names(count)))
                self.now += JOIN_GRACE_S
                fleet.turn_cold()
                most = self.most_in_a_second(fleet)
                self.assertLessEqual(most, bound(per_s))
                self.assertGreater(most, 0.8 * per_s)

    def test_bound_holds_while_many_hosts_join(self) -> None:
        """Old hosts know all old ones and some of the new ones, new hosts know all."""
        old, new = names(71), names(53, 71)
        for known_new_count in range(0, 54, 6):
            with self.subTest(known=known_new_count):
                known = dict.fromkeys(old, [*old, *new[:known_new_count]])
                known |= dict.fromkeys(new, [*old, *new])
                fleet = Fleet(18.0, known)
                self.now += JOIN_GRACE_S
                fleet.turn_cold()
                self.assertLessEqual(self.most_in_a_second(fleet), bound(18.0))

    def test_host_that_has_just_started_has_no_quota(self) -> None:
        fleet = Fleet(18.0, {"host-0": ["host-0"]})
        fleet.turn_cold(60.0)
        self.now += JOIN_GRACE_S / 2
        self.assertEqual(fleet.send(), 0)
        self.now += JOIN_GRACE_S
        self.assertEqual(fleet.send(), 18)

    def test_host_that_starts_anew_waits_for_the_whole_window_of_a_slow_upstream(self) -> None:
        """A host that was killed right after a request sent the next one too early."""
        per_s = 0.25
        for restarts_after_s in (0.0, 0.5):
            with self.subTest(restarts_after_s=restarts_after_s):
                sent_at = []
                for _ in range(2):
                    fleet = Fleet(per_s, {"host-0": ["host-0"]})
                    fleet.turn_cold(10.0 / per_s)
                    until = self.now + 2.0 / per_s
                    while self.now < until:
                        if fleet.send():
                            sent_at.append(self.now)
                            break
                        self.now += 0.05
                    self.now += restarts_after_s
                self.assertGreaterEqual(sent_at[1] - sent_at[0], 1.0 / per_s)

    def test_one_host_alone_keeps_a_large_bound(self) -> None:
        fleet = Fleet(400.0, {"host-0": ["host-0"]})
        self.now += JOIN_GRACE_S
        fleet.turn_cold()
        self.assertEqual(fleet.send(), 400)

    def test_requests_sent_before_it_turned_cold_count(self) -> None:
        fleet = Fleet(18.0, {"host-0": ["host-0"]})
        self.now += JOIN_GRACE_S
        for _ in range(30):
            fleet.quotas[0].record_sent(fleet.trackers[0])
        fleet.turn_cold()
        self.assertEqual(fleet.send(), 0)
        self.now += WINDOW_S
        self.assertEqual(fleet.send(), 18)
        self.assertEqual(fleet.quotas[0].cold_sent, 18)

    def test_upstream_is_cold_for_a_while_after_its_hall_was_evacuated(self) -> None:
        fleet = Fleet(18.0, {"host-0": ["host-0"]})
        quotas, tracker = fleet.quotas[0], fleet.trackers[0]
        evacuations = quotas.publications.evacuations
        evacuations.apply(Evacuation(HALL, in_force=True))
        evacuations.apply(Evacuation(HALL, in_force=False))
        self.assertTrue(quotas.is_cold(tracker))
        self.now += COLD_S
        self.assertFalse(quotas.is_cold(tracker))

    def test_upstream_is_cold_for_a_while_after_it_was_unresponsive(self) -> None:
        fleet = Fleet(18.0, {"host-0": ["host-0"]})
        quotas, tracker = fleet.quotas[0], fleet.trackers[0]
        tracker.liveness.record_response(self.now)
        self.now += 0.1
        tracker.liveness.record_sent(("host-0", 1), self.now, 0.2)
        self.now += 1.5
        self.assertTrue(tracker.is_unresponsive)
        self.assertFalse(quotas.is_cold(tracker))
        tracker.liveness.record_response(self.now)
        self.assertTrue(quotas.is_cold(tracker))
        self.now += COLD_S
        self.assertFalse(quotas.is_cold(tracker))

    def test_upstream_of_a_pool_without_cold_rate_is_never_cold(self) -> None:
        fleet = Fleet(0.0, {"host-0": ["host-0"]})
        fleet.turn_cold()
        self.assertFalse(fleet.quotas[0].is_cold(fleet.trackers[0]))


class LimitTest(FixedClockTest):
    """Quotas at an upstream whose limit all hosts know."""

    def start(self, limit_per_s: float, hosts: int) -> Fleet:
        fleet = Fleet(0.0, dict.fromkeys(names(hosts), names(hosts)))
        self.now += JOIN_GRACE_S
        self.apply_limit(fleet, limit_per_s)
        return fleet

    def apply_limit(self, fleet: Fleet, limit_per_s: float, ended: bool = False) -> None:
        for tracker in fleet.trackers:
            tracker.reported.rate_limit.apply(LimitUpdate(limit_per_s, ended, RequestId("q")))

    def sent_by_step(
        self, fleet: Fleet, seconds: float, limit_per_s: float | None = None
    ) -> list[int]:
        """Return the requests sent in each 0.05 s; each answer states `limit_per_s`, if any."""
        sent: list[int] = []
        for _ in range(round(seconds / 0.05)):
            sent.append(fleet.send())
            if sent[-1] and limit_per_s is not None:
                self.apply_limit(fleet, limit_per_s)
            self.now += 0.05
        return sent

    def most_in_window(self, sent: list[int]) -> int:
        """Return the most requests sent within any 4 s."""
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
            self.now += JOIN_GRACE_S
            fleet.turn_cold()
            self.apply_limit(fleet, limit_per_s)
            self.assertEqual(fleet.send(), 2)

    def test_limit_that_is_not_confirmed_is_lifted_in_steps(self) -> None:
        fleet = self.start(2.1, 71)
        self.now += LIMIT_TRUST_S
        per_second = [sum(self.sent_by_step(fleet, 1.0)) for _ in range(3)]
        self.assertEqual(per_second, sorted(per_second))
        self.assertLessEqual(per_second[0], 4 * 2.1)
        self.assertGreater(per_second[-1], 16)
        self.apply_limit(fleet, 2.1)
        self.now += 1.0
        self.assertLessEqual(sum(self.sent_by_step(fleet, 1.0, 2.1)), 2)

    def test_rate_rises_in_steps_once_a_limit_has_ended(self) -> None:
        fleet = self.start(2.1, 7)
        self.apply_limit(fleet, 2.1, ended=True)
        per_second = [sum(self.sent_by_step(fleet, 1.0)) for _ in range(4)]
        self.assertLessEqual(per_second[0], 4 * 2.1)
        self.assertGreater(per_second[-1], 8 * per_second[0])
        self.now += RAMP_DOUBLING_S * RAMP_DOUBLINGS_MAX
        self.assertIsNone(fleet.quotas[0].bound_per_s(fleet.trackers[0]))

    def test_limit_follows_the_latest_answer(self) -> None:
        fleet = self.start(18.0, 7)
        self.assertEqual(fleet.send(), 14)
        self.apply_limit(fleet, 0.0)
        self.assertEqual(sum(self.sent_by_step(fleet, 3.0)), 0)
        self.apply_limit(fleet, 18.0)
        self.assertEqual(fleet.send(), 14)


if __name__ == "__main__":
    unittest.main()
