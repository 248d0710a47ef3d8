"""Tests of the fence lease, over a log that loses answers and applies appends late."""

import unittest

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import Incarnation

from ruddersaddle_serving.fence_leases import FENCES_PER_ERA, MARGIN_S, FenceLease
from ruddersaddle_serving.ports import (
    AppendOutcome,
    AppendResult,
    Page,
    Record,
    StorePosition,
    Topic,
)
from ruddersaddle_serving.store_eras import StoreEras
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

LEASE_S = 3.0


class LogStore:
    """A topic in memory; the next `lose_answers` appends are applied without an answer."""

    def __init__(self) -> None:
        self.values: list[bytes] = []
        self.lose_answers = 0
        self.down = False
        self.era = 0

    @property
    def end(self) -> StorePosition:
        return StorePosition(self.era, len(self.values))

    def restore(self, count: int) -> None:
        """Begin a new era with the first `count` records."""
        self.values = self.values[:count]
        self.era += 1


class StoreView:
    """The store as one host reaches it, with the eras that the host has seen."""

    def __init__(self, log: LogStore) -> None:
        self.log = log
        self.eras = StoreEras()

    def changes(self, topic: Topic, since: StorePosition, wait_s: float) -> Page | Failure:
        if self.log.down:
            return self._failure()
        self.eras.learn(self.log.era)
        if since.era != self.log.era:
            return self._failure(Code.GAP)
        values = self.log.values[since.offset :]
        records = [Record("", value, since.offset + at) for at, value in enumerate(values)]
        return Page(tuple(records), self.log.end)

    def append(self, topic: Topic, value: bytes, at: StorePosition) -> AppendResult | Failure:
        if self.log.down:
            return self._failure()
        is_at_end = at.offset == len(self.log.values)
        if is_at_end:
            self.log.values.append(value)
        if self.log.lose_answers:
            self.log.lose_answers -= 1
            return self._failure()
        self.eras.learn(self.log.era)
        if at.era != self.log.era:
            return self._failure(Code.GAP)
        outcome = AppendOutcome.DONE if is_at_end else AppendOutcome.CONFLICT
        return AppendResult(outcome, self.log.end)

    def _failure(self, code: Code = Code.LOG_UNAVAILABLE) -> Failure:
        return Failure(code, Step.APPEND, "log")


class FenceLeaseTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.store = LogStore()
        self.first, self.second = (
            FenceLease(StoreView(self.store), Incarnation(name), LEASE_S)
            for name in ("first", "second")
        )
        for each in (self.first, self.second):
            each.store.eras.learn(0)
        self.now += LEASE_S + MARGIN_S

    def test_one_holder_at_a_time_and_fences_rise(self) -> None:
        self.assertTrue(self.first.acquire())
        self.assertFalse(self.second.acquire())
        self.assertEqual(self.first.fence, 0)
        self.now += 2.0
        self.assertFalse(self.first.may_order)
        self.assertTrue(self.first.acquire())
        self.assertEqual(self.first.fence, 1)

    def test_orders_of_two_holders_are_further_apart_than_the_lease(self) -> None:
        self.first.acquire()
        last_order = self.now
        while self.first.may_order:
            last_order = self.now
            self.now += 0.01
        while not self.second.acquire():
            self.now += 0.01
        self.assertGreater(self.now - last_order, LEASE_S)
        self.assertGreater(self.second.fence, self.first.fence)

    def test_number_of_holders_that_left_the_lease_passes_to_the_next(self) -> None:
        """Without it each host left the lease in turn for a cause that they share."""
        third = FenceLease(StoreView(self.store), Incarnation("third"), LEASE_S)
        third.store.eras.learn(0)
        for count, lease in enumerate((self.first, self.second)):
            self.wait_for(lease)
            self.assertEqual(lease.yields, count)
            lease.leave()
        self.wait_for(third)
        self.assertEqual(third.yields, 2)
        third.record_order()
        self.now += 1.0
        third.acquire()
        self.wait_for(self.first)
        self.assertEqual(self.first.yields, 0)

    def test_host_that_does_not_hold_the_lease_can_not_leave_it(self) -> None:
        """Its record would end the holder's term without the wait of a successor."""
        self.first.acquire()
        self.second.acquire()
        self.assertFalse(self.second.leave())
        self.assertEqual(len(self.store.values), 1)

    def test_record_of_the_former_version_is_understood(self) -> None:
        self.store.values.append(b'{"holder":"former","nonce":"1"}')
        self.wait_for(self.first)
        self.assertEqual((self.first.yields, self.first.fence), (0, 1))

    def test_orders_are_apart_also_after_a_holder_left_the_lease(self) -> None:
        self.first.acquire()
        self.first.leave()
        last_order = self.now
        self.wait_for(self.second)
        self.assertGreater(self.now - last_order, LEASE_S)
        self.assertGreater(self.second.fence, self.first.fence)

    def test_holder_that_was_paused_gives_no_order(self) -> None:
        self.first.acquire()
        self.now += 5.0
        self.second.acquire()
        self.now += 5.0
        self.second.acquire()
        self.assertFalse(self.first.may_order)
        self.assertFalse(self.first.acquire())

    def test_lost_answer_is_settled_by_reading(self) -> None:
        self.store.lose_answers = 1
        self.assertTrue(self.first.acquire())
        self.assertEqual((self.first.fence, len(self.store.values)), (0, 1))

    def test_nothing_is_ordered_while_the_log_is_unavailable(self) -> None:
        self.store.down = True
        self.assertFalse(self.first.acquire())
        self.assertFalse(self.first.may_order)

    def wait_for(self, lease: FenceLease) -> float:
        """Return how long a host waits until it acquires the lease."""
        began = self.now
        while not lease.acquire():
            self.now += 0.01
        return self.now - began

    def test_fences_rise_though_the_store_assigns_offsets_again(self) -> None:
        """With offsets alone as fences, two holders got the same fence or the later a lower one."""
        for _ in range(3):
            self.wait_for(self.first)
            self.now += 1.0
        before = self.first.fence
        self.store.restore(1)
        self.wait_for(self.second)
        self.assertGreater(self.second.fence, before)
        self.assertEqual(self.second.fence, FENCES_PER_ERA + 1)

    def test_successor_waits_a_whole_lease_though_the_holders_record_is_gone(self) -> None:
        self.second.watch()
        self.first.acquire()
        last_order = self.now
        self.store.restore(0)
        while not self.second.acquire():
            if self.first.may_order:
                last_order = self.now
            self.now += 0.01
        self.assertGreater(self.now - last_order, LEASE_S)

    def test_host_that_has_just_started_waits_a_whole_lease_in_an_era_of_unknown_start(
        self,
    ) -> None:
        self.store.restore(0)
        third = FenceLease(StoreView(self.store), Incarnation("third"), LEASE_S)
        self.assertGreaterEqual(self.wait_for(third), LEASE_S)

    def test_holder_gives_no_order_once_a_later_era_is_known(self) -> None:
        self.first.acquire()
        self.first.store.eras.learn(1)
        self.assertFalse(self.first.may_order)
        self.assertFalse(self.first.acquire())

    def test_append_that_is_applied_in_a_later_era_starts_no_term(self) -> None:
        """Its offset was assigned again after the restore, so that its condition held by chance."""
        self.first.acquire()
        self.second.watch()
        self.now += 2.0
        self.store.values.append(b"{}")
        self.store.restore(1)
        self.assertFalse(self.first.acquire())
        self.assertEqual(len(self.store.values), 2)
        self.assertFalse(self.first.is_holder)
        self.assertGreaterEqual(self.wait_for(self.first), LEASE_S)

    def test_append_of_an_earlier_era_that_is_applied_late_ends_no_other_term_early(self) -> None:
        """The late record follows that of another holder, which may still give orders."""
        self.first.acquire()
        late = self.store.values[0]
        self.store.restore(0)
        self.first.store.eras.learn(1)
        self.wait_for(self.second)
        self.store.values.append(late)
        self.assertTrue(self.second.may_order)
        self.assertGreaterEqual(self.wait_for(self.first), LEASE_S)

    def test_end_position_of_an_earlier_era_keeps_no_host_from_the_lease(self) -> None:
        for _ in range(5):
            self.first.acquire()
            self.now += 1.0
        self.store.restore(0)
        self.assertLess(self.wait_for(self.first), LEASE_S + MARGIN_S + 0.1)


if __name__ == "__main__":
    unittest.main()
