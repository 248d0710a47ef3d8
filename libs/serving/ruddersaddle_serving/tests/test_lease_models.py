"""The invariants of the lease hold in every interleaving, and fail without its mechanisms."""

import logging
import unittest
from unittest import mock

from ruddersaddle_serving import fence_leases
from ruddersaddle_serving.fence_leases import FenceLease
from ruddersaddle_serving.tests.lease_models import Bounds, LeaseSearch


class LeaseModelTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def search(self, bounds: Bounds = Bounds()) -> str:  # noqa: B008
        search = LeaseSearch(bounds)
        violation = search.run()
        print(f"{self.id().rpartition('.')[2]}: {search.states} states, {violation or 'nothing'}")
        return violation

    def test_no_invariant_is_violated(self) -> None:
        self.assertEqual(self.search(), "")

    def test_fences_made_of_offsets_alone_repeat(self) -> None:
        with mock.patch.object(fence_leases, "FENCES_PER_ERA", 0):
            self.assertIn("fence not above", self.search())

    def test_without_the_wait_in_a_new_era_two_hosts_give_orders_within_the_lease(self) -> None:
        with mock.patch.object(FenceLease, "_is_recent_era", lambda self: False):
            self.assertIn("orders within the lease", self.search())


if __name__ == "__main__":
    unittest.main()
