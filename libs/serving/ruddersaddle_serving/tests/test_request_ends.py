"""Tests of counting outcomes of requests and of logging interrupted ones."""

import unittest

from ruddersaddle_serving.request_ends import (
    LISTED_MAX,
    InterruptedRequest,
    count_outcome,
    interrupted_fields,
    zero_counts,
)


class RequestEndsTest(unittest.TestCase):
    def test_outcomes_are_counted_by_kind(self) -> None:
        counts = zero_counts()
        for outcome in ("answered", "stream broke: reset: by peer", "caller left", "caller left"):
            count_outcome(counts, outcome)
        expected = {**zero_counts(), "answered": 1, "stream_broke": 1, "caller_left": 2}
        self.assertEqual(counts, expected)

    def test_unknown_outcome_is_counted_as_other(self) -> None:
        counts = zero_counts()
        count_outcome(counts, "something new")
        self.assertEqual(counts["other"], 1)

    def test_oldest_interrupted_requests_are_listed(self) -> None:
        cut = [InterruptedRequest(f"r-{age}", "a", "", float(age)) for age in range(LISTED_MAX + 5)]
        fields = interrupted_fields(cut)
        self.assertEqual(fields["cut"], LISTED_MAX + 5)
        self.assertEqual(len(fields["requests"]), LISTED_MAX)
        self.assertEqual(fields["requests"][0], "r-24 on a at None for 24.0 s")

    def test_request_without_a_head_is_listed(self) -> None:
        fields = interrupted_fields([InterruptedRequest(None, None, None, 0.5)])
        self.assertEqual(fields["requests"], ["None on None at None for 0.5 s"])


if __name__ == "__main__":
    unittest.main()
