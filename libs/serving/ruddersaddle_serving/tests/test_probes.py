"""Tests of which hosts probe an unresponsive upstream, and how often."""

import unittest
from unittest import mock

from ruddersaddle_base.ids import HallId, HostId, PoolId, UpstreamId

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.ports import Presence
from ruddersaddle_serving.probes import PROBE_INTERVAL_S, Probes
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Notice, Progress, Reachability, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry

ENGINE = UpstreamId("e-1")


class ProbesTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.probes = self.make_probes("h0-0")
        self.tracker = self.probes.trackers.by_id[ENGINE]

    def make_probes(self, own: str) -> Probes:
        records = {
            HostId(f"h{hall}-{number}"): HostRecord(
                f"10.0.{hall}.{number}:1", HallId(f"hall-{hall}"), 100.0 - number
            )
            for hall in range(4)
            for number in range(5)
        }
        hosts = Hosts(HostId(own), records[HostId(own)], [])
        hosts.replace(records)
        trackers = Trackers()
        entry = UpstreamEntry(ENGINE, PoolId("p"), "10.1.0.1:80", HallId("hall-0"), 8, False, {})
        tracker = trackers.get_or_create(entry)
        engines = mock.Mock()
        engines.presence.return_value = Presence.PRESENT
        return Probes(hosts, trackers, engines, lambda notice: tracker.apply_notice(own, notice))

    def become_unresponsive(self, probes: Probes) -> None:
        tracker = probes.trackers.by_id[ENGINE]
        tracker.apply_notice("x", Notice(ENGINE, 1, Progress.SENT, expected_s=0.1))
        ended = Notice(ENGINE, 1, Progress.ENDED, reachability=Reachability.NO_CONNECTION)
        tracker.apply_notice("x", ended)

    def run_for(self, seconds: float) -> int:
        """Check for due probes ten times a second; return how many were made."""
        before = self.probes.count
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for tracker in self.probes.due():
                self.probes.probe(tracker)
        return self.probes.count - before

    def test_only_two_of_twenty_hosts_probe(self) -> None:
        names = [f"h{hall}-{number}" for hall in range(4) for number in range(5)]
        probers = []
        for name in names:
            probes = self.make_probes(name)
            self.become_unresponsive(probes)
            probers += [name] if probes.due() else []
        self.assertEqual(probers, ["h0-0", "h1-0"])

    def test_upstream_that_answers_is_not_probed(self) -> None:
        self.assertEqual(self.run_for(5.0), 0)

    def test_upstream_that_is_down_is_probed_until_it_accepts_a_connection(self) -> None:
        self.become_unresponsive(self.probes)
        self.probes.engines.presence.return_value = Presence.DOWN
        self.assertIn(self.run_for(4.0), range(8, round(4.0 / PROBE_INTERVAL_S) + 1))
        self.assertFalse(self.tracker.is_healthy)
        self.probes.engines.presence.return_value = Presence.PRESENT
        self.run_for(2 * PROBE_INTERVAL_S)
        self.assertTrue(self.tracker.is_healthy)
        self.assertEqual(self.run_for(4.0), 0)

    def test_address_of_another_upstream_is_not_probed_again(self) -> None:
        """Guards against each of 25 hosts sending requests there until its own first is refused."""
        self.become_unresponsive(self.probes)
        self.probes.engines.presence.return_value = Presence.REPLACED
        self.assertEqual(self.run_for(4.0), 1)
        self.assertFalse(self.tracker.is_healthy)

    def test_upstream_that_accepts_connections_but_answers_nothing_is_probed_less_and_less(
        self,
    ) -> None:
        counts = []
        for _ in range(4):
            began = self.probes.count
            for _ in range(40):
                if not self.tracker.is_unresponsive:
                    self.now += 0.5
                    self.become_unresponsive(self.probes)
                self.run_for(0.1)
            counts.append(self.probes.count - began)
        self.assertLess(counts[-1], counts[0])


if __name__ == "__main__":
    unittest.main()
