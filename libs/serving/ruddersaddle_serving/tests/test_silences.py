"""Tests of how unresponsive upstreams are detected."""

import unittest

from ruddersaddle_serving.silences import REPORT_TTL_S, SILENCE_TIMEOUT_S, Liveness

ONE, TWO = ("a", 1), ("b", 2)


class LivenessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.liveness = Liveness()
        self.liveness.record_response(10.0)

    def test_upstream_with_an_overdue_request_is_unresponsive_since_it_was_sent(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.assertIsNone(self.liveness.unresponsive_since(11.1 + SILENCE_TIMEOUT_S))
        self.assertEqual(self.liveness.unresponsive_since(11.3 + SILENCE_TIMEOUT_S), 11.0)

    def test_any_later_response_clears_it(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_response(11.1)
        self.assertIsNone(self.liveness.unresponsive_since(15.0))

    def test_response_from_before_the_request_was_sent_does_not_clear_it(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_response(10.9)
        self.assertEqual(self.liveness.unresponsive_since(15.0), 11.0)

    def test_connect_failure_shows_it_at_once(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_connect_failure(ONE)
        self.assertEqual(self.liveness.unresponsive_since(11.1), 11.0)
        self.liveness.record_response(11.2)
        self.assertIsNone(self.liveness.unresponsive_since(11.3))

    def test_connect_failure_of_one_host_does_not_outweigh_responses_to_others(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_response(11.1)
        self.liveness.record_connect_failure(ONE)
        self.assertIsNone(self.liveness.unresponsive_since(11.3))

    def test_upstream_stays_unresponsive_after_the_callers_have_left(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_abandoned(ONE, 13.0)
        self.assertEqual(self.liveness.unresponsive_since(20.0), 11.0)

    def test_request_abandoned_before_it_is_due_shows_nothing(self) -> None:
        self.liveness.record_sent(ONE, 11.0, 0.2)
        self.liveness.record_abandoned(ONE, 11.1)
        self.assertIsNone(self.liveness.unresponsive_since(20.0))

    def test_report_counts_until_a_response_or_until_it_expires(self) -> None:
        self.liveness.apply_report("reader", 11.0, 12.0)
        self.assertEqual(self.liveness.unresponsive_since(12.1), 11.0)
        self.assertIsNone(self.liveness.observed_unresponsive_since(12.1))
        self.assertIsNone(self.liveness.unresponsive_since(12.0 + REPORT_TTL_S))
        self.liveness.apply_report("reader", 11.0, 14.0)
        self.liveness.record_response(14.1)
        self.assertIsNone(self.liveness.unresponsive_since(14.2))


if __name__ == "__main__":
    unittest.main()
