"""Tests of the fold of the configuration: racing operators, duplicates, gaps, snapshots."""

import random
import unittest

from ruddersaddle_base.ids import START, Position, RecordId, WorkspaceId, join_position

from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Workspace, entry_key
from ruddersaddle_state.records import Change, Edit, Outcome, PositionedRecord


def change(name: str, base: Position, weight: int, workspace: str = "w") -> Change:
    value = Workspace(WorkspaceId(workspace), weight=weight)
    return Change(RecordId(name), "op", (Edit(entry_key(value), base, value),))


def place(offset: int, record: object) -> PositionedRecord:
    return PositionedRecord(join_position(offset, 0), 1000.0 + offset, record)


def started(first: int = 0, gap: bool = False) -> Configuration:
    configuration = Configuration()
    configuration.begin(join_position(first, 0), gap)
    return configuration


class ConfigurationTest(unittest.TestCase):
    def test_of_two_changes_on_one_base_the_first_wins(self):
        configuration = started()
        first = configuration.apply(place(0, change("a", START, 2)))
        second = configuration.apply(place(1, change("b", START, 3)))
        self.assertEqual(first.outcome, Outcome.ACCEPTED)
        self.assertEqual(second.outcome, Outcome.REJECTED)
        self.assertIn("change a", second.reason)
        self.assertEqual(configuration.get(Workspace, "w").weight, 2)

    def test_a_change_that_was_appended_twice_counts_once(self):
        configuration = started()
        record = change("a", START, 2)
        configuration.apply(place(0, record))
        again = configuration.apply(place(1, record))
        self.assertEqual(again.outcome, Outcome.ACCEPTED)
        self.assertEqual(configuration.version(entry_key(Workspace(WorkspaceId("w")))), 0)

    def test_edits_of_one_change_take_effect_together_or_not_at_all(self):
        configuration = started()
        configuration.apply(place(0, change("a", START, 2)))
        good = change("x", START, 5, "other").edits
        stale = change("y", START, 9).edits
        result = configuration.apply(place(1, Change(RecordId("b"), "op", good + stale)))
        self.assertEqual(result.outcome, Outcome.REJECTED)
        self.assertIsNone(configuration.get(Workspace, "other"))

    def test_a_changed_or_deleted_workspace_loses_its_callers_keys(self):
        configuration = started()
        old, new = "a" * 64, "b" * 64
        key = entry_key(Workspace(WorkspaceId("w")))
        for offset, digests in enumerate(((old,), (new,))):
            value = Workspace(WorkspaceId("w"), digests)
            edit = Edit(key, configuration.version(key), value)
            configuration.apply(place(offset, Change(RecordId(f"c{offset}"), "op", (edit,))))
        self.assertEqual(set(configuration.workspace_by_digest), {new})
        gone = Edit(key, configuration.version(key), None)
        configuration.apply(place(2, Change(RecordId("c2"), "op", (gone,))))
        self.assertEqual(
            (configuration.workspace_by_digest, configuration.values(Workspace)), ({}, [])
        )

    def test_a_callers_key_belongs_to_one_workspace(self):
        configuration = started()
        for offset, name in enumerate("ab"):
            value = Workspace(WorkspaceId(name), ("c" * 64,))
            edit = Edit(entry_key(value), START, value)
            result = configuration.apply(place(offset, Change(RecordId(name), "op", (edit,))))
        self.assertEqual(result.outcome, Outcome.REJECTED)
        self.assertIn("no other workspace", result.reason)

    def test_a_wrong_value_is_rejected_in_the_fold_too(self):
        result = started().apply(place(0, change("a", START, 0)))
        self.assertEqual(result.outcome, Outcome.REJECTED)
        self.assertIn("weight", result.reason)

    def test_a_host_that_starts_after_retention_waits_for_a_snapshot_and_converges(self):
        records, reference = [], started()
        for number in range(6):
            base = reference.version(entry_key(Workspace(WorkspaceId("w"))))
            records.append(place(number, change(f"c{number}", base, number + 1)))
            reference.apply(records[-1])
            if number == 3:
                snapshot = reference.snapshot()
        late = started(3, gap=True)
        for record in records[3:]:
            self.assertEqual(late.apply(record).outcome, Outcome.HELD)
        self.assertFalse(late.complete)
        marker = place(6, snapshot)
        late.apply(marker)
        reference.apply(marker)
        self.assertTrue(late.complete)
        self.assertEqual(late.snapshot().entries, reference.snapshot().entries)
        self.assertEqual(late.position, reference.position)

    def test_a_snapshot_that_does_not_cover_the_gap_is_not_adopted(self):
        old = started()
        old.apply(place(0, change("a", START, 2)))
        late = started(5, gap=True)
        late.apply(place(5, old.snapshot()))
        self.assertFalse(late.complete)

    def test_a_peers_state_adopted_in_a_gap_is_followed_by_held_back_records(self):
        reference, records, states = started(), [], []
        for number in range(8):
            base = reference.version(entry_key(Workspace(WorkspaceId("w"))))
            records.append(place(number, change(f"c{number}", base, number + 1)))
            reference.apply(records[-1])
            states.append(reference.snapshot())
        late = started(4, gap=True)
        for record in records[4:]:
            late.apply(record)
        self.assertFalse(late.adopt(states[2]), "a state from before the gap leaves it open")
        self.assertTrue(late.adopt(states[5]))
        self.assertEqual(late.snapshot().entries, reference.snapshot().entries)
        self.assertEqual(late.position, reference.position)

    def test_state_never_moves_back_to_an_older_snapshot(self):
        old = started()
        old.apply(place(0, change("a", START, 2)))
        snapshot = old.snapshot()
        old.apply(place(1, change("b", Position(0), 7)))
        self.assertFalse(old.adopt(snapshot))
        self.assertEqual(old.get(Workspace, "w").weight, 7)

    def test_any_start_with_a_snapshot_converges_to_the_same_state(self):
        rng = random.Random(20261202)
        for _ in range(50):
            reference, records = started(), []
            for offset in range(30):
                key = entry_key(Workspace(WorkspaceId(f"w{rng.randrange(4)}")))
                base = reference.version(key) if rng.random() < 0.7 else Position(rng.randrange(30))
                record = change(f"r{offset}", base, rng.randrange(1, 9), key.partition("/")[2])
                record = reference.snapshot() if rng.random() < 0.2 else record
                records.append(place(offset, record))
                reference.apply(records[-1])
            late = started(rng.randrange(1, 10), gap=True)
            first = late._held_back_from
            for positioned in records:
                if positioned.position >= first:
                    late.apply(positioned)
            if late.complete:
                self.assertEqual(late.snapshot().entries, reference.snapshot().entries)


if __name__ == "__main__":
    unittest.main()
