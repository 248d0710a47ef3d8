"""Tests of retry budgets, by which the retries of all hosts add up to less than a bound."""

import unittest
from unittest import mock

from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId

from ruddersaddle_routing.retry_budgets import (
    MERGED_S,
    Credit,
    ExpiringCredit,
    HeldCredit,
    RetryBound,
    RetryBudgets,
    rule_for,
)

BOUND = RetryBound(share=0.2, slack=52.0, window_s=10.0)
POOL, OTHER = PoolId("p"), PoolId("q")


class BudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(clocks, "now_s", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.budgets = RetryBudgets(BOUND)

    def spend_all(self, pool: PoolId = POOL) -> int:
        """Return how many retries the budget allows now."""
        count = 0
        while self.budgets.try_spend(pool):
            count += 1
        return count

    def send(self, requests: int, pool: PoolId = POOL) -> None:
        for _ in range(requests):
            self.budgets.record_request(pool)

    def test_start_allows_no_retry(self) -> None:
        self.assertEqual(self.spend_all(), 0)
        self.budgets.hosts = 1
        self.assertEqual(self.spend_all(), 0)

    def test_credit_of_one_pool_is_not_spent_at_another(self) -> None:
        self.budgets.hosts = 6
        self.send(100, OTHER)
        self.assertEqual(self.spend_all(), 0)
        self.assertGreater(self.spend_all(OTHER), 0)

    def test_parts_of_all_hosts_add_up_to_less_than_the_slack(self) -> None:
        for hosts in (1, 2, 6, 26):
            rule = rule_for(BOUND, hosts)
            self.assertIsInstance(rule, HeldCredit)
            total = hosts * (rule.balance_max + rule.per_s * BOUND.window_s)
            self.assertLess(total, BOUND.slack)

    def test_hosts_beyond_the_slack_keep_no_part_of_it(self) -> None:
        for hosts in (None, 27, 400):
            self.assertIsInstance(rule_for(BOUND, hosts), ExpiringCredit)

    def test_held_credit_is_bounded_however_long_a_host_was_idle(self) -> None:
        self.budgets.hosts = 6
        self.send(1)
        self.now += 3600.0
        self.assertEqual(self.spend_all(), int(rule_for(BOUND, 6).balance_max))

    def test_credit_is_earned_by_time_alone(self) -> None:
        """A service that gets no requests from callers would never be retried."""
        self.budgets.hosts = 1
        self.budgets.has_retry(POOL)
        self.now += 1.0
        self.assertEqual(self.spend_all(), 2)

    def test_credit_of_a_host_that_knows_no_others_expires(self) -> None:
        self.send(10)
        self.now += BOUND.window_s / 2 + 0.1
        self.assertEqual(self.spend_all(), 0)
        self.send(100)
        self.assertEqual(self.spend_all(), 1)

    def test_bound_that_allows_a_retry_for_each_request_holds_from_the_start(self) -> None:
        self.budgets.bound = RetryBound(share=10.0, slack=0.0, window_s=10.0)
        self.send(1)
        self.assertEqual(self.spend_all(), 5)

    def test_pool_that_comes_back_begins_without_credit(self) -> None:
        self.budgets.hosts = 1
        self.send(50)
        self.budgets.keep_only([OTHER])
        self.assertEqual(self.spend_all(), 0)

    def test_denied_retries_take_no_memory(self) -> None:
        """Each retry that was asked for in vain kept an amount of its own."""
        credit = Credit()
        rule = rule_for(BOUND, 26)
        for _ in range(10_000):
            self.now += 0.0005
            credit.settle(rule)
        self.assertLessEqual(len(credit._amounts), 10_000 * 0.0005 / MERGED_S + 1)


if __name__ == "__main__":
    unittest.main()
