"""Tests of how an upstream that fell silent is found."""

import unittest

from ruddersaddle_serving.silences import REPORT_TTL_S, SILENCE_TIMEOUT_S, Liveness

ONE, TWO = ("a", 1), ("b", 2)


class SilenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.liveness = Liveness()
        self.liveness.record_response(10.0)

    def test_request_that_is_overdue_shows_silence_since_it_was_sent(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.assertIsNone(self.liveness.unresponsive_since(11.1 + SILENCE_TIMEOUT_S))
        self.assertEqual(self.liveness.unresponsive_since(11.3 + SILENCE_TIMEOUT_S), 11.0)

    def test_any_later_sign_of_life_excuses_it(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_response(11.1)
        self.assertIsNone(self.liveness.unresponsive_since(15.0))

    def test_sign_of_life_from_before_it_was_sent_excuses_nothing(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_response(10.9)
        self.assertEqual(self.liveness.unresponsive_since(15.0), 11.0)

    def test_connection_that_does_not_come_about_shows_it_at_once(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_connect_failure(ONE)
        self.assertEqual(self.liveness.unresponsive_since(11.1), 11.0)
        self.liveness.record_response(11.2)
        self.assertIsNone(self.liveness.unresponsive_since(11.3))

    def test_one_host_that_reaches_nothing_does_not_show_it_to_others(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_response(11.1)
        self.liveness.record_connect_failure(ONE)
        self.assertIsNone(self.liveness.unresponsive_since(11.3))

    def test_silence_stays_after_the_callers_have_left(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_abandoned(ONE, 13.0)
        self.assertEqual(self.liveness.unresponsive_since(20.0), 11.0)

    def test_caller_that_leaves_early_shows_nothing(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_abandoned(ONE, 11.1)
        self.assertIsNone(self.liveness.unresponsive_since(20.0))

    def test_told_silence_counts_until_something_is_heard_or_it_is_old(self) -> None:
        self.liveness.apply_report("reader", 11.0, 12.0)
        self.assertEqual(self.liveness.unresponsive_since(12.1), 11.0)
        self.assertIsNone(self.liveness.observed_unresponsive_since(12.1))
        self.assertIsNone(self.liveness.unresponsive_since(12.0 + REPORT_TTL_S))
        self.liveness.apply_report("reader", 11.0, 14.0)
        self.liveness.record_response(14.1)
        self.assertIsNone(self.liveness.unresponsive_since(14.2))


if __name__ == "__main__":
    unittest.main()
