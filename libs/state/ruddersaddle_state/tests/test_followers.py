"""Tests of the tasks that read the log's streams."""

import unittest
from unittest import mock

from ruddersaddle_base.ids import Position, RecordId

from ruddersaddle_state.followers import Follower
from ruddersaddle_state.log_clients import Page
from ruddersaddle_state.records import Outcome, PositionedRecord, RecordResult, Stream


class FollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folded: list[RecordId] = []
        records = [
            PositionedRecord(Position(number), 0.0, mock.Mock(id=RecordId(name)))
            for number, name in enumerate(("a", "odd", "b"))
        ]
        client = mock.Mock()
        client.read.return_value = Page(0, 3, records)
        fold = mock.Mock(position=Position(0), apply=self.apply)
        self.follower = Follower(client, Stream.CLAIMS, fold)

    def apply(self, positioned: PositionedRecord) -> RecordResult:
        if positioned.record.id == "odd":
            raise KeyError("odd")
        self.folded.append(positioned.record.id)
        return RecordResult(Outcome.ACCEPTED, positioned.position)

    def test_record_that_raises_is_read_past_and_has_no_result(self) -> None:
        """It was read for ever, and nothing after it."""
        for name in ("odd", "b"):
            self.follower.expect(RecordId(name))
        with self.assertLogs("ruddersaddle_base.tasks", "ERROR"):
            self.assertTrue(self.follower.read_once(0.0))
        self.assertEqual(self.folded, ["a", "b"])
        self.assertEqual(self.follower.next_offset, 3)
        self.assertIsNone(self.follower.wait(RecordId("odd"), 1.0))
        self.assertIs(self.follower.wait(RecordId("b"), 1.0).outcome, Outcome.ACCEPTED)


if __name__ == "__main__":
    unittest.main()
