"""Tests of which halls are evacuated, as the store, peers and returns of the store tell it."""

import unittest
from unittest import mock

from ruddersaddle_base.ids import HallId

from ruddersaddle_serving.evacuations import RETURN_GRACE_S, Evacuation, Evacuations
from ruddersaddle_serving.ports import Page, Record, StorePosition
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.store_followers import OperatorFollower, StoreLink
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

HALL, OTHER = HallId("h"), HallId("g")


class EvacuationsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.evacuations = Evacuations()

    def test_evacuation_holds_until_it_is_taken_back(self) -> None:
        self.evacuations.take(Evacuation(HALL, in_force=True))
        self.now += 5.0
        self.assertEqual(self.evacuations.in_force(), (HALL,))
        self.assertEqual(self.evacuations.age_s(HALL), 5.0)
        self.evacuations.take(Evacuation(HALL, in_force=False))
        self.assertFalse(self.evacuations.is_in_force(HALL))
        self.assertEqual(self.evacuations.ended_at(HALL), self.now)

    def test_whole_list_ends_what_it_does_not_name(self) -> None:
        self.evacuations.replace([HALL, OTHER], is_copy=False)
        self.evacuations.replace([OTHER], is_copy=False)
        self.assertEqual(self.evacuations.in_force(), (OTHER,))

    def test_evacuation_that_a_copy_lacks_holds_until_operators_could_write_it_again(self) -> None:
        self.evacuations.replace([HALL], is_copy=False)
        self.evacuations.replace([], is_copy=True)
        self.evacuations.replace([], is_copy=False)
        self.now += RETURN_GRACE_S / 2
        self.assertTrue(self.evacuations.is_in_force(HALL))
        self.now += RETURN_GRACE_S
        self.assertFalse(self.evacuations.is_in_force(HALL))

    def test_evacuation_that_is_written_again_after_a_return_holds_on(self) -> None:
        self.evacuations.replace([HALL], is_copy=False)
        self.evacuations.replace([], is_copy=True)
        self.evacuations.take(Evacuation(HALL, in_force=True))
        self.now += 3 * RETURN_GRACE_S
        self.assertTrue(self.evacuations.is_in_force(HALL))

    def test_end_that_is_written_again_after_a_return_counts_at_once(self) -> None:
        self.evacuations.replace([HALL], is_copy=False)
        self.evacuations.replace([], is_copy=True)
        self.evacuations.take(Evacuation(HALL, in_force=False))
        self.assertFalse(self.evacuations.is_in_force(HALL))


class FollowingTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.publications = Publications()
        store = mock.Mock()
        store.decode_operator = lambda record: Evacuation(
            HallId(record.key), in_force=record.value is not None
        )
        self.follower = OperatorFollower(store, StoreLink(), self.publications)

    def take(self, end: StorePosition, whole: bool = False, **halls: bool) -> None:
        records = tuple(
            Record(hall, b"{}" if in_force else None, 0) for hall, in_force in halls.items()
        )
        self.follower.apply(Page(records, end), whole, self.now)

    def in_force(self) -> tuple[HallId, ...]:
        return self.publications.evacuations.in_force()

    def test_page_that_lags_changes_nothing(self) -> None:
        self.take(StorePosition(1, 5), h=True)
        self.take(StorePosition(1, 4), h=False)
        self.take(StorePosition(1, 4), whole=True)
        self.assertEqual(self.in_force(), (HALL,))
        self.take(StorePosition(1, 6), h=False)
        self.assertEqual(self.in_force(), ())

    def test_whole_page_after_a_compaction_ends_what_was_taken_back_meanwhile(self) -> None:
        self.take(StorePosition(1, 5), h=True)
        self.take(StorePosition(1, 9), whole=True)
        self.assertEqual(self.in_force(), ())

    def test_whole_page_of_a_later_era_ends_nothing_at_once(self) -> None:
        self.take(StorePosition(1, 5), h=True)
        self.take(StorePosition(2, 3), whole=True, g=True)
        self.assertEqual(set(self.in_force()), {HALL, OTHER})
        self.now += RETURN_GRACE_S
        self.assertEqual(self.in_force(), (OTHER,))


if __name__ == "__main__":
    unittest.main()
