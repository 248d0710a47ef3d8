"""Tests of the fold of claims; `claim_models` searches every interleaving of a small case."""

import unittest

from ruddersaddle_base.ids import START, CallKey, Incarnation, Position, RecordId

from ruddersaddle_state.claims import Claims
from ruddersaddle_state.records import Claim, Outcome, PositionedRecord, Void

KEY = CallKey("clinic/1")


def claim(name: str, base: int = START, dated: float = 1000.0) -> Claim:
    return Claim(RecordId(name), KEY, Incarnation(f"host-{name}.1"), Position(base), dated)


def void(attempt: str, dated: float = 1000.0) -> Void:
    return Void(RecordId(f"void-{attempt}"), KEY, RecordId(attempt), dated)


class ClaimsTest(unittest.TestCase):
    def setUp(self):
        self.claims = Claims(memory_s=60, skew_s=1)
        self.claims.begin(Position(0), False)
        self.next = 0

    def apply(self, record, time=1000.0):
        result = self.claims.apply(PositionedRecord(Position(self.next), time, record))
        self.next += 1
        return result.outcome

    def test_the_first_claim_wins_and_a_duplicate_of_it_changes_nothing(self):
        self.assertEqual(self.apply(claim("a")), Outcome.ACCEPTED)
        self.assertEqual(self.apply(claim("b")), Outcome.HELD)
        self.assertEqual(self.apply(claim("a")), Outcome.ACCEPTED)
        self.assertEqual(self.claims.owner_of(KEY), "host-a.1")

    def test_a_void_blocks_a_claim_that_is_appended_after_it(self):
        self.assertEqual(self.apply(void("a")), Outcome.ACCEPTED)
        self.assertEqual(self.apply(claim("a")), Outcome.STALE)
        self.assertIsNone(self.claims.owner_of(KEY))

    def test_a_retry_with_the_void_position_can_claim(self):
        self.apply(claim("a"))
        self.apply(void("a"))
        self.assertEqual(self.apply(claim("b")), Outcome.STALE)
        self.assertEqual(self.apply(claim("c", base=1)), Outcome.ACCEPTED)

    def test_a_void_does_not_end_another_attempt(self):
        self.apply(claim("a"))
        self.assertEqual(self.apply(void("b")), Outcome.HELD)

    def test_an_expired_key_never_runs_again(self):
        self.apply(claim("a"))
        self.assertEqual(self.apply(claim("b", dated=1000.0), time=1061.0), Outcome.EXPIRED)
        self.assertEqual(self.apply(void("b", dated=1000.0), time=1061.0), Outcome.EXPIRED)

    def test_expired_keys_are_dropped(self):
        for number in range(50):
            key = CallKey(f"clinic/{number}")
            record = Claim(RecordId(str(number)), key, Incarnation("h.1"), START, 1000.0 + number)
            self.apply(record, time=1000.0 + number)
        self.assertEqual(len(self.claims.by_key), 50)
        self.apply(claim("last", dated=1070.0), time=1070.0)
        self.assertEqual(len(self.claims.by_key), 41)

    def test_after_a_gap_earlier_keys_are_not_decided(self):
        self.claims.begin(Position(5), True)
        self.next = 5
        self.apply(claim("z", dated=2000.0), time=2000.0)
        self.assertFalse(self.claims.has_full_history(2000.5))
        self.assertTrue(self.claims.has_full_history(2001.5))


if __name__ == "__main__":
    unittest.main()
