"""Tests of evacuated halls, as reported by the store, also after it was restored from a copy."""

import unittest
from unittest import mock

from ruddersaddle_base.ids import HallId

from ruddersaddle_serving.evacuations import RESTORE_GRACE_S, Evacuation, Evacuations
from ruddersaddle_serving.ports import Page, Record, StorePosition
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.store_followers import OperatorFollower, StoreLink
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

HALL, OTHER = HallId("h"), HallId("g")


class EvacuationsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.evacuations = Evacuations()

    def test_evacuation_holds_until_it_is_ended(self) -> None:
        self.evacuations.apply(Evacuation(HALL, in_force=True))
        self.now += 5.0
        self.assertEqual(self.evacuations.in_force(), (HALL,))
        self.assertEqual(self.evacuations.age_s(HALL), 5.0)
        self.evacuations.apply(Evacuation(HALL, in_force=False))
        self.assertFalse(self.evacuations.is_in_force(HALL))
        self.assertEqual(self.evacuations.ended_at(HALL), self.now)

    def test_complete_list_ends_evacuations_that_it_lacks(self) -> None:
        self.evacuations.replace([HALL, OTHER], is_restored=False)
        self.evacuations.replace([OTHER], is_restored=False)
        self.assertEqual(self.evacuations.in_force(), (OTHER,))

    def test_evacuation_that_a_restored_store_lacks_holds_for_a_grace_period(self) -> None:
        self.evacuations.replace([HALL], is_restored=False)
        self.evacuations.replace([], is_restored=True)
        self.evacuations.replace([], is_restored=False)
        self.now += RESTORE_GRACE_S / 2
        self.assertTrue(self.evacuations.is_in_force(HALL))
        self.now += RESTORE_GRACE_S
        self.assertFalse(self.evacuations.is_in_force(HALL))

    def test_evacuation_that_is_written_again_after_a_restore_stays_in_force(self) -> None:
        self.evacuations.replace([HALL], is_restored=False)
        self.evacuations.replace([], is_restored=True)
        self.evacuations.apply(Evacuation(HALL, in_force=True))
        self.now += 3 * RESTORE_GRACE_S
        self.assertTrue(self.evacuations.is_in_force(HALL))

    def test_end_that_is_written_after_a_restore_takes_effect_at_once(self) -> None:
        self.evacuations.replace([HALL], is_restored=False)
        self.evacuations.replace([], is_restored=True)
        self.evacuations.apply(Evacuation(HALL, in_force=False))
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

    def apply(self, end: StorePosition, is_complete: bool = False, **halls: bool) -> None:
        records = tuple(
            Record(hall, b"{}" if in_force else None, 0) for hall, in_force in halls.items()
        )
        self.follower.apply(Page(records, end), is_complete, self.now)

    def in_force(self) -> tuple[HallId, ...]:
        return self.publications.evacuations.in_force()

    def test_outdated_page_changes_nothing(self) -> None:
        self.apply(StorePosition(1, 5), h=True)
        self.apply(StorePosition(1, 4), h=False)
        self.apply(StorePosition(1, 4), is_complete=True)
        self.assertEqual(self.in_force(), (HALL,))
        self.apply(StorePosition(1, 6), h=False)
        self.assertEqual(self.in_force(), ())

    def test_complete_page_after_a_compaction_ends_missing_evacuations(self) -> None:
        self.apply(StorePosition(1, 5), h=True)
        self.apply(StorePosition(1, 9), is_complete=True)
        self.assertEqual(self.in_force(), ())

    def test_complete_page_of_a_later_era_ends_nothing_at_once(self) -> None:
        self.apply(StorePosition(1, 5), h=True)
        self.apply(StorePosition(2, 3), is_complete=True, g=True)
        self.assertEqual(set(self.in_force()), {HALL, OTHER})
        self.now += RESTORE_GRACE_S
        self.assertEqual(self.in_force(), (OTHER,))


if __name__ == "__main__":
    unittest.main()
