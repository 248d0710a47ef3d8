"""Tests of learning how fast engines read."""

import unittest

from ruddersaddle_serving.paces import FASTEST, SLOWEST, Pace, nominal_work_s


class PaceTest(unittest.TestCase):
    def test_every_reading_rate_is_found(self) -> None:
        for tokens_s in (20_000.0, 48_200.0, 112_000.0):
            pace = Pace()
            for number in range(200):
                missing = 500 + 97 * (number % 40)
                pace.note(nominal_work_s(missing), 0.02 + missing / tokens_s)
            predicted_s = nominal_work_s(2500) * pace.factor
            self.assertAlmostEqual(predicted_s, 0.02 + 2500 / tokens_s, delta=0.012)

    def test_single_stalls_move_little(self) -> None:
        pace = Pace()
        for number in range(300):
            pace.note(0.1, 2.0 if number % 5 == 0 else 0.1 + 0.001 * (number % 7))
        self.assertAlmostEqual(pace.factor, 1.03, delta=0.08)

    def test_factor_is_bounded(self) -> None:
        slow, fast = Pace(), Pace()
        for _ in range(500):
            slow.note(0.1, 60.0)
            fast.note(0.1, 0.0)
        self.assertEqual((slow.factor, fast.factor), (SLOWEST, FASTEST))


if __name__ == "__main__":
    unittest.main()
