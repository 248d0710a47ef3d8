"""Tests of fair queueing, adaptive limits, circuit breakers and retry budgets."""

import time
import unittest
from unittest import mock

import eventlet
from ruddersaddle_base.ids import WorkspaceId

from ruddersaddle_routing.limits import AdaptiveLimit
from ruddersaddle_routing.queues import FairQueue
from ruddersaddle_routing.retries import BUDGET_MAX, Circuit, CircuitState, RetryBudget

FLOOD = WorkspaceId("flood")
QUIET = WorkspaceId("quiet")
LONG_S = 30.0


class FairQueueTest(unittest.TestCase):
    def setUp(self):
        self.slots = 1
        self.open = True
        self.queue = FairQueue(lambda: self.slots, lambda: self.open)
        self.order: list[str] = []

    def enter(self, workspace, weight=1.0, timeout_s=LONG_S):
        if self.queue.acquire(workspace, weight, 1.0, timeout_s):
            self.order.append(workspace)
        else:
            self.order.append(f"{workspace} refused")

    def start(self, *workspaces, **more):
        for workspace in workspaces:
            eventlet.spawn(self.enter, workspace, **more)
        eventlet.sleep(0)

    def drain(self):
        while self.queue.waiting:
            self.queue.release(next(iter(self.queue.held_by_workspace)), 0.1)
            eventlet.sleep(0)

    def test_a_quiet_workspace_does_not_wait_behind_a_flood(self):
        self.start(*[FLOOD] * 6, QUIET)
        self.drain()
        self.assertLessEqual(self.order.index(QUIET), 2)

    def test_weights_share_the_slots(self):
        self.start("first")
        self.start(*["heavy"] * 6, weight=2.0)
        self.start(*["light"] * 6)
        self.drain()
        self.assertEqual(self.order[1:7].count("heavy"), 4)

    def test_timed_out_wait_is_refused_and_holds_no_slot(self):
        self.start("first")
        self.enter(QUIET, timeout_s=0.01)
        self.assertEqual(self.order, ["first", "quiet refused"])
        self.assertEqual(self.queue.count_of(QUIET), 0)
        self.queue.release(WorkspaceId("first"), 0.1)
        self.assertEqual((self.queue.in_use, self.queue.waiting), (0, 0))

    def test_closed_upstreams_leave_one_slot(self):
        self.slots, self.open = 10, False
        self.start(QUIET, QUIET, QUIET)
        self.assertEqual((self.queue.in_use, self.queue.waiting), (1, 2))
        self.open = True
        self.queue.wake()
        self.assertEqual(self.queue.in_use, 3)
        eventlet.sleep(0)

    def test_the_predicted_wait_counts_a_floods_requests_for_the_flood_alone(self):
        self.start("first", *[FLOOD] * 9)
        flood_s = self.queue.predict_wait_s(FLOOD)
        self.assertGreater(flood_s, 5 * self.queue.predict_wait_s(QUIET))


class LimitTest(unittest.TestCase):
    def test_a_limit_grows_by_use_and_shrinks_by_overload(self):
        limit = AdaptiveLimit(4, 64)
        for _ in range(4):
            limit.begin()
        self.assertFalse(limit.has_room)
        limit.end(overloaded=False)
        self.assertGreater(limit.limit, 4)
        limit.end(overloaded=True)
        self.assertLess(limit.limit, 4)
        for _ in range(50):
            limit.begin()
            limit.end(overloaded=True)
        self.assertGreaterEqual(limit.limit, 2)

    def test_an_idle_limit_does_not_grow(self):
        limit = AdaptiveLimit(8, 64)
        limit.begin()
        limit.end(overloaded=False)
        self.assertEqual(limit.limit, 8)


class CircuitTest(unittest.TestCase):
    def test_it_opens_lets_one_probe_through_and_closes(self):
        now = [0.0]
        with mock.patch.object(time, "monotonic", side_effect=lambda: now[0]):
            circuit = Circuit(2, 5.0)
            circuit.end(failed=True)
            self.assertTrue(circuit.may_pass())
            circuit.end(failed=True)
            self.assertFalse(circuit.may_pass())
            now[0] = 6.0
            self.assertIs(circuit.state, CircuitState.HALF_OPEN)
            circuit.begin()
            self.assertFalse(circuit.may_pass())
            circuit.end(failed=False)
            self.assertIs(circuit.state, CircuitState.CLOSED)

    def test_retries_are_a_share_of_first_attempts(self):
        budget = RetryBudget(0.1)
        taken = sum(budget.try_spend() for _ in range(100))
        self.assertEqual(taken, BUDGET_MAX)
        for _ in range(30):
            budget.record_first()
        self.assertEqual(sum(budget.try_spend() for _ in range(100)), 3)


if __name__ == "__main__":
    unittest.main()
