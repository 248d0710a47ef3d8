"""Tests of learning how fast engines are."""

import unittest

from ruddersaddle_serving.paces import (
    FASTEST,
    SLOWEST,
    START_LEAST_S,
    START_MOST_S,
    Observation,
    Pace,
    nominal_work_s,
)


def note(pace: Pace, reading_s: float, observed_s: float) -> None:
    pace.note(Observation(reading_s, 0.0), observed_s)


def predict_s(pace: Pace, tokens: int) -> float:
    return pace.start_s + nominal_work_s(tokens) * pace.factor


class PaceTest(unittest.TestCase):
    def test_every_reading_rate_and_start_is_found(self) -> None:
        for tokens_s in (20_000.0, 48_200.0, 112_000.0):
            for start_s, rounds in ((0.02, 200), (0.005, 600), (0.065, 600)):
                with self.subTest(tokens_s=tokens_s, start_s=start_s):
                    pace = Pace()
                    for number in range(rounds):
                        missing = 500 + 97 * (number % 40)
                        note(pace, nominal_work_s(missing), start_s + missing / tokens_s)
                    expected_s = start_s + 2500 / tokens_s
                    self.assertAlmostEqual(predict_s(pace, 2500), expected_s, delta=0.012)

    def test_start_is_told_from_reading(self) -> None:
        """What waits before a small prompt adds its reading, and no start of its own."""
        pace = Pace()
        for number in range(600):
            missing = (100, 600, 3000, 12_000)[number % 4]
            note(pace, nominal_work_s(missing), 0.065 + missing / 112_000.0)
        self.assertAlmostEqual(pace.start_s, 0.065, delta=0.01)
        self.assertAlmostEqual(nominal_work_s(20_000) * pace.factor, 20_000 / 112_000.0, delta=0.02)

    def test_single_stalls_move_little(self) -> None:
        pace = Pace(start_s=START_LEAST_S)
        for number in range(300):
            note(pace, 0.1, 2.0 if number % 5 == 0 else 0.1 + 0.001 * (number % 7))
        self.assertAlmostEqual(pace.start_s + 0.1 * pace.factor, 0.103, delta=0.008)

    def test_fetching_is_told_apart(self) -> None:
        pace = Pace()
        for _ in range(300):
            pace.note(Observation(0.1, 0.5), 0.5 + 0.06 + 0.1)
        self.assertAlmostEqual(pace.start_s + 0.1 * pace.factor, 0.16, delta=0.01)

    def test_what_is_learned_is_bounded(self) -> None:
        slow, fast = Pace(), Pace()
        for number in range(3000):
            reading_s = (0.001, 10.0)[number % 2]
            note(slow, reading_s, 600.0)
            note(fast, reading_s, 0.0)
        self.assertEqual((slow.factor, fast.factor), (SLOWEST, FASTEST))
        self.assertEqual((slow.start_s, fast.start_s), (START_MOST_S, START_LEAST_S))


if __name__ == "__main__":
    unittest.main()
