"""Tests of the rollout of new weights to engines."""

import unittest
from unittest import mock

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, Incarnation, ModelId, PoolId, UpstreamId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving import weight_rollouts
from ruddersaddle_serving.fence_leases import FenceLease
from ruddersaddle_serving.ports import EngineReport, ModelVersion, Order, OrderOutcome
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.tests.test_fence_leases import LogStore, StoreView
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.weight_rollouts import WeightRollouts

MODEL = ModelId("m")
BOUND_S = 12.0
"""Bound on the use of replaced weights in current installations."""


class FakeEngines:
    """Engines by address; unresponsive ones answer nothing."""

    def __init__(self, unresponsive: set[str]) -> None:
        self.unresponsive = unresponsive
        self.version_by_address: dict[str, int] = {}
        self.orders: list[Order] = []

    def report(self, address: str) -> EngineReport | Failure:
        if address in self.unresponsive:
            eventlet.sleep(0.01)
            return Failure(Code.UPSTREAM_FAILED, Step.READ, address)
        version = self.version_by_address.get(address, 1)
        return EngineReport({MODEL: version}, False, 0, 0, 0)

    def order(self, address: str, order: Order) -> OrderOutcome | Failure:
        self.orders.append(order)
        self.version_by_address[address] = order.version
        return OrderOutcome.ACCEPTED


class WeightRolloutsTest(unittest.TestCase):
    def setUp(self) -> None:
        for name, value in (("PROPAGATION_S", 0.0), ("REPORT_POLL_S", 0.01)):
            patch = mock.patch.object(weight_rollouts, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.publications = Publications()
        self.upstreams = UpstreamList()
        self.trackers = Trackers()
        self.lease = mock.Mock(
            is_holder=True,
            may_order=True,
            fence=7,
            holder="host",
            lease_s=3.0,
            yields=0,
            held_since=None,
        )
        self.lease.acquire.return_value = True
        self.neighbours = mock.Mock(load_message_at=0.0, live_hosts=["a"], address="a")
        self.neighbours.loads.lag_s = 0.0

    def make(self, count: int, unresponsive: set[str]) -> WeightRollouts:
        for number in range(count):
            entry = UpstreamEntry(
                UpstreamId(f"e-{number}"),
                PoolId("p"),
                f"10.0.0.{number}:1",
                HallId("h"),
                8,
                False,
                {MODEL: 1},
            )
            self.upstreams.put(entry)
        self.engines = FakeEngines(unresponsive)
        self.publications.apply(ModelVersion(MODEL, 2))
        return WeightRollouts(
            self.lease,
            100.0,
            self.publications,
            self.upstreams,
            self.trackers,
            self.neighbours,
            self.engines,
        )

    def run_for(self, rollouts: WeightRollouts, steps: int) -> None:
        for _ in range(steps):
            rollouts._advance(MODEL, 2)
            eventlet.sleep(0.03)

    def test_all_engines_get_one_fenced_order(self) -> None:
        self.run_for(self.make(3, set()), 8)
        found = sorted(
            (order.upstream, order.version, order.fence) for order in self.engines.orders
        )
        self.assertEqual(found, [("e-0", 2, 7), ("e-1", 2, 7), ("e-2", 2, 7)])

    def test_unresponsive_engine_delays_no_other(self) -> None:
        self.run_for(self.make(4, {"10.0.0.0:1"}), 12)
        self.assertEqual(
            sorted(order.upstream for order in self.engines.orders), ["e-1", "e-2", "e-3"]
        )

    def test_loading_messages_of_a_suspended_holder_do_not_block_its_successor(self) -> None:
        """`Loading` messages of the suspended holder kept all others from giving orders for 7 s."""
        rollouts = self.make(4, set())
        self.lease.is_holder = False
        for tracker in rollouts._engines_of(MODEL):
            tracker.avoided_until = clocks.now_s() + 7.0
        self.run_for(rollouts, 2)
        self.assertEqual(self.engines.orders, [])
        rollouts._progressed_at = clocks.now_s() - weight_rollouts.STALLED_S - 0.1
        rollouts._advance(MODEL, 2)
        self.lease.is_holder = True
        self.run_for(rollouts, 12)
        self.assertEqual(len(self.engines.orders), 4)

    def test_time_left_counts_from_the_first_newer_weights(self) -> None:
        rollouts = self.make(10, set())
        engines = rollouts._engines_of(MODEL)
        with mock.patch.object(self.publications, "replaced_at_least_s", return_value=60.0):
            late = rollouts._free_slots(MODEL, engines, engines)
        self.assertGreater(late, rollouts._free_slots(MODEL, engines, engines))

    def respond_to_others(self, rollouts: WeightRollouts, seconds_ago: float) -> None:
        for tracker in rollouts._engines_of(MODEL):
            tracker.liveness.record_response(clocks.now_s() - seconds_ago)

    def test_holder_that_alone_cannot_reach_engines_leaves_the_lease(self) -> None:
        """It renewed the lease for 7 s, and no engine got an order meanwhile."""
        addresses = {f"10.0.0.{number}:1" for number in range(10)}
        rollouts = self.make(10, addresses)
        self.respond_to_others(rollouts, 0.0)
        with self.assertLogs(weight_rollouts.logger, "WARNING"):
            self.run_for(rollouts, 6)
        self.lease.acquire.reset_mock()
        self.engines.unresponsive.clear()
        self.run_for(rollouts, 4)
        self.lease.acquire.assert_not_called()
        self.assertEqual(self.engines.orders, [])
        rollouts._yielded_until = clocks.now_s()
        self.run_for(rollouts, 20)
        self.assertEqual(len(self.engines.orders), 10)

    def test_third_holder_in_a_row_keeps_the_lease_for_a_while(self) -> None:
        """At 86 hosts each holder left the lease in turn, and no order was given."""
        self.lease.yields = weight_rollouts.YIELDS_MAX
        rollouts = self.make(10, {f"10.0.0.{number}:1" for number in range(10)})
        self.respond_to_others(rollouts, 0.0)
        self.run_for(rollouts, 6)
        self.lease.leave.assert_not_called()
        self.engines.unresponsive.clear()
        self.run_for(rollouts, 20)
        self.assertEqual(len(self.engines.orders), 10)

    def test_third_holder_that_stays_cut_off_leaves_the_lease(self) -> None:
        self.lease.yields = weight_rollouts.YIELDS_MAX
        rollouts = self.make(10, {f"10.0.0.{number}:1" for number in range(10)})
        self.respond_to_others(rollouts, 0.0)
        with mock.patch.object(weight_rollouts, "KEPT_S", 0.05):
            self.run_for(rollouts, 8)
        self.lease.leave.assert_called_once_with()

    def test_failures_while_the_process_was_late_say_nothing_about_engines(self) -> None:
        rollouts = self.make(10, {f"10.0.0.{number}:1" for number in range(10)})
        self.respond_to_others(rollouts, 0.0)
        rollouts._late_s = weight_rollouts.LATE_MAX_S + 0.1
        self.run_for(rollouts, 6)
        self.lease.leave.assert_not_called()
        self.assertGreater(rollouts.counts["unreached_late"], 0)
        rollouts._late_s = 0.0
        self.run_for(rollouts, 6)
        self.lease.leave.assert_called_once_with()

    def test_lateness_of_this_process_belongs_to_the_line_of_a_failed_read(self) -> None:
        """Without it a time-out of a busy host looks like one of the engine."""
        rollouts = self.make(1, {"10.0.0.0:1"})
        blocked_s = weight_rollouts.LATE_MAX_S + 0.1
        eventlet.spawn_after(0.02, eventlet.patcher.original("time").sleep, blocked_s)
        rollouts._pause(0.05)
        self.assertGreater(rollouts.late_s, weight_rollouts.LATE_MAX_S)
        with self.assertLogs(weight_rollouts.logger, "INFO") as logs:
            self.run_for(rollouts, 2)
        self.assertEqual(logs.records[0].late_ms, round(rollouts.late_s * 1000))

    def test_end_of_a_naming_is_told_with_its_orders(self) -> None:
        rollouts = self.make(3, set())
        with self.assertLogs(weight_rollouts.logger, "INFO") as logs:
            self.run_for(rollouts, 10)
        told = [each for each in logs.output if "All engines of m have weights 2" in each]
        self.assertEqual(len(told), 1)
        self.assertIn("gave 3 orders", told[0])

    def test_holder_keeps_the_lease_if_engines_respond_to_nobody(self) -> None:
        rollouts = self.make(10, {f"10.0.0.{number}:1" for number in range(9)})
        self.respond_to_others(rollouts, weight_rollouts.RESPONSIVE_S + 1.0)
        self.run_for(rollouts, 20)
        self.assertEqual([order.upstream for order in self.engines.orders], ["e-9"])
        self.assertTrue(rollouts._may_act(MODEL))

    def test_nothing_is_ordered_without_the_lease(self) -> None:
        self.lease.acquire.return_value = False
        self.run_for(self.make(2, set()), 4)
        self.assertEqual(self.engines.orders, [])

    def test_stopping_host_gives_no_orders(self) -> None:
        rollouts = self.make(2, set())
        rollouts.stopping = True
        self.run_for(rollouts, 4)
        self.assertEqual(self.engines.orders, [])


class TakeOverTest(unittest.TestCase):
    """The lease holder is suspended right after it acquired the lease."""

    def test_second_in_line_takes_over_within_half_of_the_bound(self) -> None:
        now = 50.0
        with mock.patch.object(clocks, "now_s", lambda: now):
            log = LogStore()
            stores = [StoreView(log), StoreView(log)]
            for store in stores:
                store.eras.learn(log.era)
            now = 100.0
            self.assertTrue(FenceLease(stores[0], Incarnation("suspended"), 3.0).acquire())
            lease = FenceLease(stores[1], Incarnation("second"), 3.0)
            hosts = rank_names(MODEL, ["a", "b"])
            neighbours = mock.Mock(load_message_at=now, live_hosts=hosts, address=hosts[1])
            publications = Publications()
            publications.apply(ModelVersion(MODEL, 2))
            upstreams = UpstreamList()
            entry = UpstreamEntry(
                UpstreamId("e"), PoolId("p"), "10.0.0.1:1", HallId("h"), 8, False, {MODEL: 1}
            )
            upstreams.put(entry)
            rollouts = WeightRollouts(
                lease,
                BOUND_S,
                publications,
                upstreams,
                Trackers(),
                neighbours,
                FakeEngines(set()),
            )
            with mock.patch.object(eventlet, "spawn") as begun:
                while not begun.called and now < 100.0 + BOUND_S:
                    now += 0.2
                    rollouts._advance(MODEL, 2)
        self.assertLessEqual(round(now - 100.0, 1), BOUND_S / 2)


if __name__ == "__main__":
    unittest.main()
