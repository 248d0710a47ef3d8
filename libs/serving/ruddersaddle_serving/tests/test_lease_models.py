"""The lease holds in every interleaving within bounds, and does not without its mechanisms."""

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
        broken = search.run()
        print(f"{self.id().rpartition('.')[2]}: {search.states} states, {broken or 'nothing'}")
        return broken

    def test_no_promise_is_broken(self) -> None:
        self.assertEqual(self.search(), "")

    def test_fences_that_are_offsets_alone_are_given_twice(self) -> None:
        with mock.patch.object(fence_leases, "FENCES_PER_ERA", 0):
            self.assertIn("fence not above", self.search())

    def test_without_the_wait_of_a_new_era_two_hosts_take_turns_within_the_lease(self) -> None:
        with mock.patch.object(FenceLease, "_is_recent_era", lambda self: False):
            self.assertIn("turns within the lease", self.search())


if __name__ == "__main__":
    unittest.main()
