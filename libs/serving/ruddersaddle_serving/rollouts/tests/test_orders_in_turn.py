"""Orders that follow one another or can't be carried out, in virtual time."""

import random
import unittest
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import PoolId, SoftwareVersion

from ruddersaddle_serving.ports import Page, Record, StorePosition
from ruddersaddle_serving.rollouts.orders import RolloutOrder, RolloutState
from ruddersaddle_serving.rollouts.tests import host_worlds
from ruddersaddle_serving.rollouts.tests.host_worlds import (
    DURATION_S,
    NEW,
    OLD,
    OTHER_POOL,
    POOL,
    ROUTES,
    HostWorld,
)
from ruddersaddle_serving.store_followers import OperatorFollower


class OrdersInTurnTest(HostWorld):
    def test_later_order_supersedes_and_the_earlier_target_gets_nothing(self) -> None:
        self.put_entry("third", "v3")
        self.put_entry("third-2", "v3")
        self.order()
        self.run_for(4.0)
        self.order("v3")
        self.run_for(0.2)
        before = self.sent_to(NEW)
        self.run_for(DURATION_S)
        self.assertEqual(self.sent_to(NEW), before)
        self.assertEqual(self.states()[-1], "completed")
        before = self.sent_to("v3")
        self.run_for(1.0)
        self.assertGreater(self.sent_to("v3"), before + 100)

    def test_attempts_of_a_superseded_order_leave_the_counts_of_its_successor(self) -> None:
        """Each attempt that ended late cleared this host's counts, and so the used exposure."""
        self.order()
        self.run_for(4.0)
        earlier = self.hosts[0].rollout
        self.order()
        self.run_for(4.0)
        exchange = self.hosts[0].participant.exchange
        counts = exchange.counts_of(self.hosts[0].rollout)
        recorded = counts.recorder.counts()
        self.assertGreater(sum(each.target.sent for each in recorded.by_route.values()), 0)
        exchange.counts_of(earlier).recorder.record_request(ROUTES[0].name)
        self.assertIs(exchange.counts_of(self.hosts[0].rollout), counts)
        self.assertEqual(counts.recorder.counts(), recorded)

    def test_same_version_ordered_again_has_new_counts(self) -> None:
        """A version that was fixed would be judged by its earlier answers."""
        self.is_bad = lambda route: True
        self.order()
        self.run_until(lambda: self.states()[-1:] == ["rolled_back"])
        self.is_bad = lambda route: False
        self.order()
        self.run_for(DURATION_S)
        self.assertEqual(self.states(), ["serving", "rolled_back", "serving", "completed"])

    def test_order_back_to_the_old_version_completes_at_once(self) -> None:
        self.order()
        self.run_for(5.0)
        self.order(OLD)
        self.run_for(1.0)
        self.assertEqual(self.states()[-1], "completed")
        before = self.sent_to(NEW)
        self.run_for(2.0)
        self.assertEqual(self.sent_to(NEW), before)

    def test_order_back_is_kept_while_the_store_is_down_and_some_answers_fail(self) -> None:
        """The only proven version was stopped, and all requests were refused."""
        self.order(OLD)
        self.run_for(4.0)
        self.store.down = True
        self.is_bad = lambda route: random.random() < 0.9
        self.order(NEW)
        self.run_for(DURATION_S + 32.0)
        self.assertEqual(self.refused, 0)
        self.store.down = False
        self.run_for(5.0)
        self.assertEqual((self.refused, self.states()[-1]), (0, "completed"))

    def test_version_of_an_order_back_that_is_superseded_stays_proven(self) -> None:
        """All requests went to the third version without a bound."""
        self.order()
        self.run_for(4.0)
        self.store.down = True
        self.order(OLD)
        self.run_for(0.4)
        self.order("v3")
        self.put_entry("third", "v3")
        before = self.sent_to(OLD)
        self.run_for(1.0)
        self.assertEqual(self.hosts[0].rollout.unproven, {NEW})
        self.assertGreater(self.sent_to(OLD), before + 150)

    def test_withdrawn_order_back_leaves_the_old_version_in_use(self) -> None:
        self.order()
        self.run_for(4.0)
        self.store.down = True
        self.order(OLD)
        self.run_for(0.4)
        self.order(None)
        before = self.sent_to(OLD)
        self.run_for(2.0)
        self.assertEqual((self.refused, self.sent_to(OLD)), (0, before + 400))

    def order_unproven_third(self) -> None:
        """Order a bad version whose upstreams started shortly before."""
        self.is_bad = lambda route: True
        with mock.patch(f"{host_worlds.__name__}.NEW", "v3"):
            self.order("v3")
            self.run_for(DURATION_S)
        self.assertEqual(self.states()[-1], "rolled_back")
        self.assertFalse(self.hosts[0].rollout.is_return)

    def test_upstreams_that_start_before_a_superseding_order_are_not_proven(self) -> None:
        """They counted as old ones of the order in force, and got all requests at once."""
        self.order()
        self.run_for(4.0)
        self.put_entry("third", "v3")
        self.put_entry("third-2", "v3")
        self.run_for(0.4)
        self.order_unproven_third()

    def test_upstreams_that_a_started_host_sees_first_are_not_proven(self) -> None:
        """It took them for old ones of the earlier order, and all hosts believed it."""
        self.is_bad = lambda route: True
        self.order()
        self.run_for(DURATION_S)
        self.put_entry("third", "v3")
        self.put_entry("third-2", "v3")
        position = self.hosts[0].rollout.id.position
        self.hosts[0].is_running = False
        self.hosts[0] = self.start_host(self.hosts[0].address, run=1)
        book = self.hosts[0].participant.book
        book.apply(RolloutOrder(POOL, NEW, DURATION_S), position)
        book.apply_shared(self.hosts[1].participant.book.share())
        self.order_unproven_third()

    def test_order_back_after_completion_is_an_ordinary_order(self) -> None:
        self.order()
        self.run_for(DURATION_S)
        self.drop_entries(OLD)
        self.put_entry("old-9", OLD)
        self.put_entry("old-10", OLD)
        self.order(OLD)
        self.run_for(1.0)
        self.assertEqual(self.states()[-1], "serving")
        self.run_for(DURATION_S)
        self.assertEqual(self.states()[-1], "completed")

    def test_withdrawn_order_is_rolled_back(self) -> None:
        self.order()
        self.run_for(4.0)
        self.order(None)
        before = self.sent_to(NEW)
        self.run_for(2.0)
        self.assertEqual((self.sent_to(NEW), self.states()[-1]), (before, "rolled_back"))

    def learn_later_order(self) -> None:
        """The first host learns an order from another host before it reads it."""
        self.hosts[1].participant.book.apply(
            RolloutOrder(POOL, NEW, DURATION_S), StorePosition(1, 7)
        )
        self.hosts[0].participant.book.apply_shared(self.hosts[1].participant.book.share())

    def test_withdrawal_that_is_read_late_leaves_a_later_order_in_force(self) -> None:
        """The host stopped the order that had followed, on all hosts."""
        self.learn_later_order()
        book = self.hosts[0].participant.book
        book.apply(RolloutOrder(POOL, None, 0.0), StorePosition(1, 6))
        self.assertIsNone(self.hosts[0].rollout.stop)
        book.apply(RolloutOrder(POOL, None, 0.0), StorePosition(1, 8))
        self.assertIsNotNone(self.hosts[0].rollout.stop)

    def test_complete_page_from_before_an_order_does_not_withdraw_it(self) -> None:
        self.learn_later_order()
        book = self.hosts[0].participant.book
        book.withdraw_missing([], StorePosition(1, 7))
        self.assertIsNone(self.hosts[0].rollout.stop)
        book.withdraw_missing([], StorePosition(1, 8))
        self.assertIsNotNone(self.hosts[0].rollout.stop)

    def test_withdrawal_after_completion_changes_nothing(self) -> None:
        self.order()
        self.run_for(DURATION_S)
        self.order(None)
        self.run_for(2.0)
        self.assertEqual(self.states(), ["serving", "completed"])

    def test_order_for_an_unknown_service_is_logged_and_changes_nothing(self) -> None:
        self.order()
        self.run_for(1.0)
        with self.assertLogs(level="ERROR") as logs:
            self.order("v9", pool=PoolId("none"))
        self.assertIn("no such service", logs.output[0])
        self.run_for(DURATION_S)
        self.assertEqual(self.states(), ["serving", "completed"])

    def read(self, *records: Record, complete: bool = False) -> None:
        """Let all hosts read a page of the operators' topic; a value is a target version."""
        for each in self.hosts:
            store = mock.Mock(decode_operator=_decode)
            book = each.participant.book
            follower = OperatorFollower(store, mock.Mock(), each.publications, book)
            follower.apply(Page(records, StorePosition(1, 9)), complete, self.now)

    def test_unreadable_record_changes_nothing(self) -> None:
        self.order()
        self.run_for(1.0)
        with self.assertLogs(level="ERROR"):
            self.read(Record(POOL, b"", 5))
        self.run_for(DURATION_S)
        self.assertEqual(self.states(), ["serving", "completed"])

    def test_order_that_a_complete_page_lacks_was_withdrawn(self) -> None:
        self.read(Record(POOL, NEW.encode(), 5), complete=True)
        self.run_for(4.0)
        self.read(Record(POOL, NEW.encode(), 5), complete=True)
        self.assertIsNone(self.hosts[0].rollout.stop)
        self.read(complete=True)
        self.run_for(1.0)
        self.assertEqual(self.states(), ["serving", "rolled_back"])

    def test_version_without_upstreams_is_rolled_back_at_the_end(self) -> None:
        self.order("v9")
        self.run_for(DURATION_S - 1.0)
        self.assertEqual(self.states(), ["serving"])
        self.run_for(2.0)
        self.assertEqual((self.states(), self.refused), (["serving", "rolled_back"], 0))

    def test_two_services_at_once_are_decided_separately(self) -> None:
        for number in range(2):
            self.put_entry(f"x-old-{number}", OLD, OTHER_POOL)
            self.put_entry(f"x-new-{number}", NEW, OTHER_POOL)
        self.is_bad = lambda route: route is not ROUTES[2]
        self.order()
        self.order(pool=OTHER_POOL)
        for _ in range(60):
            self.run_for(0.2)
            for _ in range(20):
                self.serve(self.hosts[0], ROUTES[2])
        self.run_for(0.4)
        book = self.hosts[0].participant.book
        self.assertIs(book.by_pool[OTHER_POOL].state, RolloutState.COMPLETED)
        self.assert_agreed(RolloutState.ROLLED_BACK)

    def test_order_of_the_shortest_duration_is_decided(self) -> None:
        """The division by its duration failed at each step."""
        with self.assertNoLogs(level="ERROR"):
            self.order(duration_s=5e-324)
            self.run_for(4.0)
        self.assertEqual(self.states(), ["serving", "rolled_back"])

    def test_order_that_cannot_be_planned_leaves_others_their_judgement(self) -> None:
        """The task of all orders ended, and no version was stopped any more."""
        self.is_bad = lambda route: True
        self.order(pool=OTHER_POOL)
        self.order()
        for host in self.hosts:
            plans = host.participant.plans
            patch = mock.patch.object(plans, "refresh", _fail_for_other(plans.refresh))
            patch.start()
            self.addCleanup(patch.stop)
        with self.assertLogs(level="ERROR") as logs:
            self.run_for(8.0)
        self.assertIn("Plan of other", logs.output[0])
        self.assert_agreed(RolloutState.ROLLED_BACK)


def _fail_for_other(refresh):
    """Return `refresh` with a fault for the orders of one pool."""

    def refresh_or_fail(rollout, decides_moves=False):
        if rollout.id.pool == OTHER_POOL:
            raise ValueError("for the test")
        return refresh(rollout, decides_moves)

    return refresh_or_fail


def _decode(record: Record) -> RolloutOrder | Failure:
    if not record.value:
        return Failure(Code.BAD_REQUEST, Step.PUBLISH, "store", "unreadable")
    return RolloutOrder(PoolId(record.key), SoftwareVersion(record.value.decode()), DURATION_S)


class UpstreamsTest(HostWorld):
    def test_new_upstreams_that_all_crash_are_rolled_back(self) -> None:
        self.order()
        self.run_for(5.0)
        self.drop_entries(NEW)
        self.run_for(DURATION_S)
        self.assertEqual((self.states(), self.refused), (["serving", "rolled_back"], 0))

    def test_requests_go_to_the_new_version_if_the_old_upstreams_leave(self) -> None:
        """A service must not be refused because of a rollout."""
        self.order()
        self.run_for(5.0)
        self.drop_entries(OLD)
        self.run_for(DURATION_S)
        self.assertEqual((self.states(), self.refused), (["serving", "completed"], 0))

    def test_requests_are_refused_if_only_a_stopped_version_is_left(self) -> None:
        self.is_bad = lambda route: True
        self.order()
        self.run_until(lambda: self.hosts[0].rollout.stop is not None)
        self.drop_entries(OLD)
        before = self.sent_to(NEW)
        self.run_for(2.0)
        self.assertEqual(self.sent_to(NEW), before)
        self.assertGreater(self.refused, 0)

    def test_ordinary_release_is_served_long_after_a_rollout(self) -> None:
        self.is_bad = lambda route: True
        self.order()
        self.run_for(DURATION_S)
        self.drop_entries(OLD)
        self.now += 60.0
        self.run_for(1.0)
        self.assertEqual(self.refused, 0)


if __name__ == "__main__":
    unittest.main()
