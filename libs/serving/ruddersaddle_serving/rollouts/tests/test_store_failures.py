"""Failures of the store during a rollout, in virtual time."""

import unittest
from unittest import mock

from ruddersaddle_base.failures import Failure

from ruddersaddle_serving.ports import StorePosition, Topic
from ruddersaddle_serving.rollouts.order_books import OrderBook
from ruddersaddle_serving.rollouts.orders import RolloutOrder, RolloutState
from ruddersaddle_serving.rollouts.records import DecisionRecord
from ruddersaddle_serving.rollouts.tests.host_worlds import (
    DURATION_S,
    NEW,
    OLD,
    POOL,
    HostWorld,
)


def apply_complete(
    book: OrderBook, orders: list[tuple[RolloutOrder, StorePosition]], end: StorePosition
) -> None:
    """Apply all records of the operators' topic, as its followers do."""
    for order, position in orders:
        book.apply(order, position)
    book.withdraw_missing([order.pool for order, _ in orders], end)


class OutageTest(HostWorld):
    def largest_share(self) -> float:
        host = self.hosts[0]
        shares = host.participant.plans.plan_of(host.rollout).shares
        return max(shares.share_by_route.values())

    def test_shares_do_not_grow_while_the_store_is_down(self) -> None:
        self.order()
        self.run_for(3.0)
        self.store.down = True
        self.run_for(1.5)
        before = self.largest_share()
        self.run_for(DURATION_S)
        self.assertLessEqual(self.largest_share(), before + 1e-9)
        self.assert_exposure()

    def test_bad_version_is_stopped_without_the_store_and_recorded_later(self) -> None:
        self.order()
        self.run_for(3.0)
        self.store.down = True
        self.is_bad = lambda route: True
        began = self.now
        self.run_for(6.0)
        self.assertLess(self.last_sent_to(NEW), began + 2.5)
        self.assertEqual(self.states(), ["serving"])
        self.store.down = False
        self.run_for(5.0)
        self.assertEqual(self.states(), ["serving", "rolled_back"])

    def test_good_version_is_completed_after_an_outage_at_the_end(self) -> None:
        self.order()
        self.run_for(9.0)
        self.store.down = True
        self.run_for(5.0)
        self.store.down = False
        self.run_for(6.0)
        self.assertEqual(self.states(), ["serving", "completed"])

    def test_lost_answers_change_nothing(self) -> None:
        self.order()
        for _ in range(60):
            self.store.lose_answers = 1
            self.run_for(0.2)
        self.store.lose_answers = 0
        self.run_for(2.0)
        self.assertEqual(self.states(), ["serving", "completed"])

    def test_old_upstreams_get_nothing_while_the_completion_is_recorded_slowly(self) -> None:
        """Hosts went back to old upstreams 1.5 s after they were asked to leave them."""
        self.order()
        self.run_for(DURATION_S - 1.0)
        holder = self.holder()
        log = holder.participant.holder.log
        record, sent = log.record, []

        def record_slowly(decision: DecisionRecord) -> Failure | None:
            if decision.state is RolloutState.COMPLETED:
                before = self.sent_to(OLD)
                self.run_for(3.0)
                sent.append(self.sent_to(OLD) - before)
            return record(decision)

        with mock.patch.object(log, "record", record_slowly):
            self.run_for(1.0)
        self.assertEqual((sent, self.states()), ([0], ["serving", "completed"]))

    def test_late_appends_leave_one_final_state(self) -> None:
        """An append whose answer is lost may be applied after the next holder's decision."""
        for elapsed_s in (3.0, 10.6, 11.0, 11.4):
            with self.subTest(elapsed_s=elapsed_s):
                self.setUp()
                self.order()
                self.run_for(elapsed_s)
                self.store.delay_appends = 4
                self.run_for(1.2)
                self.store.delay_appends = 0
                self.store.apply_late()
                self.run_for(8.0)
                self.assertEqual(sum(each != "serving" for each in self.states()), 1)
                self.assert_agreed(RolloutState(self.states()[-1]))


class RestoreTest(HostWorld):
    def read_copy(self, *orders: tuple[str, int]) -> None:
        """All hosts read the restored operators' topic: targets and offsets."""
        for each in self.running():
            each.store.newest(Topic.OPERATOR)
            era = self.store.era
            found = [
                (
                    RolloutOrder(POOL, target, DURATION_S),
                    type(each.rollout.id.position)(era, offset),
                )
                for target, offset in orders
            ]
            end = StorePosition(era, len(self.store.log(Topic.OPERATOR)))
            apply_complete(each.participant.book, found, end)

    def test_order_goes_on_after_a_restore(self) -> None:
        self.order()
        self.run_for(5.0)
        sent = self.sent_to(NEW)
        self.store.restore({Topic.ROLLOUTS: 1, Topic.STATUS: 1})
        self.read_copy((NEW, 0))
        self.assertEqual(self.hosts[0].rollout.id.position.era, 2)
        self.run_for(0.4)
        totals = self.hosts[0].participant.exchange.counts_of(self.hosts[0].rollout).totals
        self.assertGreaterEqual(totals.target_sent, sent)
        self.run_for(8.0)
        self.assertEqual(self.states()[-1], "completed")

    def test_decision_that_the_copy_lacks_is_written_again(self) -> None:
        self.is_bad = lambda route: True
        self.order()
        self.run_for(8.0)
        self.store.restore({Topic.ROLLOUTS: 1, Topic.STATUS: 1})
        self.read_copy((NEW, 0))
        self.run_for(6.0)
        self.assertEqual(self.states(), ["serving", "rolled_back"])
        self.assert_agreed(RolloutState.ROLLED_BACK)

    def test_decision_is_written_again_where_the_copy_has_an_earlier_state(self) -> None:
        """Hosts would go on to mirror the earlier state of the copy."""
        self.is_bad = lambda route: True
        self.order()
        self.run_for(8.0)
        self.store.restore({Topic.ROLLOUTS: 1, Topic.STATUS: 1})
        for each in self.running():
            each.store.newest(Topic.OPERATOR)
        self.run_for(6.0)
        self.assertEqual(self.states(), ["serving", "rolled_back"])

    def test_order_that_is_written_again_soon_after_a_restore_is_the_same(self) -> None:
        """It would be a new order, and the version that was stopped would get samples again."""
        self.is_bad = lambda route: True
        self.order()
        self.run_for(8.0)
        self.store.restore({Topic.ROLLOUTS: 0, Topic.STATUS: 0, Topic.OPERATOR: 0})
        self.read_copy()
        self.assert_agreed(RolloutState.ROLLED_BACK)
        self.run_for(1.0)
        before = self.sent_to(NEW)
        self.order()
        self.run_for(DURATION_S)
        self.assertEqual(self.sent_to(NEW), before)
        self.assertEqual(self.states()[-1], "rolled_back")

    def test_earlier_order_of_the_copy_does_not_supersede_the_one_in_force(self) -> None:
        self.order(OLD, 1.0)
        self.run_for(3.0)
        self.order(NEW)
        self.run_for(2.0)
        self.store.restore({Topic.OPERATOR: 1})
        self.read_copy((OLD, 0))
        self.assertEqual({each.rollout.id.target for each in self.hosts}, {NEW})


class PowerLossTest(HostWorld):
    def lose_power(self) -> None:
        """All hosts start again and read the order."""
        orders = [(RolloutOrder(POOL, NEW, DURATION_S), self.hosts[0].rollout.id.position)]
        for each in self.running():
            each.is_running = False
        self.hosts = [self.start_host(each.address, run=1) for each in self.hosts]
        for each in self.hosts:
            apply_complete(each.participant.book, orders, StorePosition(1, 1))

    def test_samples_and_time_go_on_after_all_hosts_lost_power(self) -> None:
        self.order()
        self.run_for(6.0)
        sent = self.sent_to(NEW)
        self.lose_power()
        self.run_for(4.0)
        rollout = self.hosts[0].rollout
        totals = self.hosts[0].participant.exchange.counts_of(rollout).totals
        self.assertGreater(rollout.elapsed_s, 9.0)
        self.assertGreaterEqual(totals.target_sent, sent)
        self.run_for(8.0)
        self.assertEqual(self.states()[-1], "completed")

    def test_counts_of_a_record_outlast_the_holder_that_found_them(self) -> None:
        self.order()
        self.run_for(6.0)
        sent = self.sent_to(NEW)
        self.lose_power()
        self.run_for(2.6)
        self.holder().is_running = False
        self.run_for(4.0)
        for each in self.running():
            totals = each.participant.exchange.counts_of(each.rollout).totals
            self.assertGreaterEqual(totals.target_sent, sent)

    def test_version_that_is_bad_after_a_loss_of_power_stays_within_the_exposure(self) -> None:
        self.order()
        self.run_for(6.0)
        self.is_bad = lambda route: True
        self.lose_power()
        self.run_for(DURATION_S)
        self.assertEqual(self.states()[-1], "rolled_back")
        self.assert_exposure()

    def test_decided_order_is_not_begun_again_after_a_loss_of_power(self) -> None:
        """The operators' record stays in the store for good."""
        self.is_bad = lambda route: True
        self.order()
        self.run_for(DURATION_S)
        before = self.sent_to(NEW)
        self.lose_power()
        self.run_for(DURATION_S)
        self.assertEqual(self.sent_to(NEW), before)
        self.assertEqual(self.states(), ["serving", "rolled_back"])
        self.assert_agreed(RolloutState.ROLLED_BACK)


if __name__ == "__main__":
    unittest.main()
