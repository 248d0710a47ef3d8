"""Tests of the lease to give orders, over a log that loses answers and is late."""

import unittest

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import Incarnation

from ruddersaddle_serving.fence_leases import FenceLease
from ruddersaddle_serving.ports import Appended, AppendOutcome, Page, Record, Topic
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

LEASE_S = 3.0


class LogStore:
    """A topic in memory; `lose_answers` appends are done without an answer."""

    def __init__(self) -> None:
        self.values: list[bytes] = []
        self.lose_answers = 0
        self.down = False

    def changes(self, topic: Topic, since: int, wait_s: float) -> Page | Failure:
        if self.down:
            return self._failure()
        records = [
            Record("", value, since + number) for number, value in enumerate(self.values[since:])
        ]
        return Page(tuple(records), len(self.values))

    def append(self, topic: Topic, value: bytes, at: int) -> Appended | Failure:
        if self.down:
            return self._failure()
        if at != len(self.values):
            return Appended(AppendOutcome.CONFLICT, len(self.values))
        self.values.append(value)
        if self.lose_answers:
            self.lose_answers -= 1
            return self._failure()
        return Appended(AppendOutcome.DONE, len(self.values))

    def _failure(self) -> Failure:
        return Failure(Code.LOG_UNAVAILABLE, Step.APPEND, "log")


class FenceLeaseTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.store = LogStore()
        self.first, self.second = (
            FenceLease(self.store, Incarnation(name), LEASE_S) for name in ("first", "second")
        )

    def test_one_holder_at_a_time_and_fences_rise(self) -> None:
        self.assertTrue(self.first.take())
        self.assertFalse(self.second.take())
        self.assertEqual(self.first.fence, 0)
        self.now += 2.0
        self.assertFalse(self.first.may_order)
        self.assertTrue(self.first.take())
        self.assertEqual(self.first.fence, 1)

    def test_orders_of_two_holders_are_further_apart_than_the_lease(self) -> None:
        self.first.take()
        last_order = self.now
        while self.first.may_order:
            last_order = self.now
            self.now += 0.01
        while not self.second.take():
            self.now += 0.01
        self.assertGreater(self.now - last_order, LEASE_S)
        self.assertGreater(self.second.fence, self.first.fence)

    def test_holder_that_was_paused_gives_no_order(self) -> None:
        self.first.take()
        self.now += 5.0
        self.second.take()
        self.now += 5.0
        self.second.take()
        self.assertFalse(self.first.may_order)
        self.assertFalse(self.first.take())

    def test_lost_answer_is_settled_by_reading(self) -> None:
        self.store.lose_answers = 1
        self.assertTrue(self.first.take())
        self.assertEqual((self.first.fence, len(self.store.values)), (0, 1))

    def test_nothing_is_ordered_while_the_log_is_away(self) -> None:
        self.store.down = True
        self.assertFalse(self.first.take())
        self.assertFalse(self.first.may_order)


if __name__ == "__main__":
    unittest.main()
