"""Tests that a list of upstreams never counts as newer than what it contains."""

import unittest

from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.tests.state_orders import StateOrders

SPAN_S = 20.0


SEEDS_BY_HOSTS = {3: range(1, 61), 7: range(1, 31), 40: range(1, 2)}


class StateOrdersTest(FixedClockTest):
    def test_list_without_a_leave_counts_as_new(self) -> None:
        for hosts, seeds in SEEDS_BY_HOSTS.items():
            for seed in seeds:
                with self.subTest(hosts=hosts, seed=seed):
                    orders = StateOrders(self, seed, hosts)
                    orders.spawn(lambda orders=orders: orders.change_upstreams(0))
                    orders.start()
                    orders.run(SPAN_S)
                    self.assertEqual(orders.violations[:3], [])


if __name__ == "__main__":
    unittest.main()
