"""Tests of the estimated service time of engines."""

import unittest

from ruddersaddle_serving.paces import (
    FACTOR_MAX,
    FACTOR_MIN,
    OVERHEAD_MAX_S,
    OVERHEAD_MIN_S,
    Observation,
    ServiceTime,
    nominal_prefill_s,
)


def record(model: ServiceTime, prefill_s: float, observed_s: float) -> None:
    model.record(Observation(prefill_s, 0.0), observed_s)


def predict_s(model: ServiceTime, tokens: int) -> float:
    return model.overhead_s + nominal_prefill_s(tokens) * model.factor


class ServiceTimeTest(unittest.TestCase):
    def test_every_prefill_rate_and_overhead_is_found(self) -> None:
        for tokens_s in (20_000.0, 48_200.0, 112_000.0):
            for overhead_s, rounds in ((0.02, 200), (0.005, 600), (0.065, 600)):
                with self.subTest(tokens_s=tokens_s, overhead_s=overhead_s):
                    model = ServiceTime()
                    for number in range(rounds):
                        missing = 500 + 97 * (number % 40)
                        record(model, nominal_prefill_s(missing), overhead_s + missing / tokens_s)
                    expected_s = overhead_s + 2500 / tokens_s
                    self.assertAlmostEqual(predict_s(model, 2500), expected_s, delta=0.012)

    def test_overhead_is_separated_from_prefill(self) -> None:
        """Requests queued ahead of a small prompt add their prefill but not their overhead."""
        model = ServiceTime()
        for number in range(600):
            missing = (100, 600, 3000, 12_000)[number % 4]
            record(model, nominal_prefill_s(missing), 0.065 + missing / 112_000.0)
        self.assertAlmostEqual(model.overhead_s, 0.065, delta=0.01)
        self.assertAlmostEqual(
            nominal_prefill_s(20_000) * model.factor, 20_000 / 112_000.0, delta=0.02
        )

    def test_single_stalls_move_little(self) -> None:
        model = ServiceTime(overhead_s=OVERHEAD_MIN_S)
        for number in range(300):
            record(model, 0.1, 2.0 if number % 5 == 0 else 0.1 + 0.001 * (number % 7))
        self.assertAlmostEqual(model.overhead_s + 0.1 * model.factor, 0.103, delta=0.008)

    def test_fetch_time_is_separated(self) -> None:
        model = ServiceTime()
        for _ in range(300):
            model.record(Observation(0.1, 0.5), 0.5 + 0.06 + 0.1)
        self.assertAlmostEqual(model.overhead_s + 0.1 * model.factor, 0.16, delta=0.01)

    def test_estimates_are_bounded(self) -> None:
        slow, fast = ServiceTime(), ServiceTime()
        for number in range(3000):
            prefill_s = (0.001, 10.0)[number % 2]
            record(slow, prefill_s, 600.0)
            record(fast, prefill_s, 0.0)
        self.assertEqual((slow.factor, fast.factor), (FACTOR_MAX, FACTOR_MIN))
        self.assertEqual((slow.overhead_s, fast.overhead_s), (OVERHEAD_MAX_S, OVERHEAD_MIN_S))


if __name__ == "__main__":
    unittest.main()
