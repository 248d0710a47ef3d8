"""A view of a topic goes back behind what its host had acknowledged, or makes no progress.

Cases in which it did: the first page of several was refused and read again without a pause, by
hosts that had followed others and lost them; after an outage, records were applied anew that lay
before what other hosts had told, so that an upstream that had left was listed again.
"""

import unittest

from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.tests.view_orders import QUIET_S, ViewOrders

SPAN_S = 20.0
SEEDS_BY_HOSTS = {2: range(100), 4: range(100, 400), 6: range(400, 500)}


class ViewOrdersTest(FixedClockTest):
    def test_drawn_orders_of_reads_tellings_and_losses(self) -> None:
        for hosts, seeds in SEEDS_BY_HOSTS.items():
            for seed in seeds:
                with self.subTest(hosts=hosts, seed=seed):
                    orders = ViewOrders(self, seed, hosts)
                    orders.disturb(SPAN_S)
                    orders.run(QUIET_S)
                    if not orders.violations:
                        orders.check_current()
                    self.assertEqual(orders.violations[:3], [])


if __name__ == "__main__":
    unittest.main()
