"""Tests of how ends of requests are counted and told."""

import unittest

from ruddersaddle_serving.request_ends import (
    TOLD_MAX,
    CutRequest,
    count_end,
    count_none,
    cut_fields,
)


class RequestEndsTest(unittest.TestCase):
    def test_each_end_has_its_kind(self) -> None:
        counts = count_none()
        for outcome in ("answered", "stream broke: reset: by peer", "caller left", "caller left"):
            count_end(counts, outcome)
        expected = {**count_none(), "answered": 1, "stream_broke": 1, "caller_left": 2}
        self.assertEqual(counts, expected)

    def test_outcome_of_no_known_kind_is_counted(self) -> None:
        counts = count_none()
        count_end(counts, "something new")
        self.assertEqual(counts["other"], 1)

    def test_oldest_requests_that_are_cut_are_told(self) -> None:
        cut = [CutRequest(f"r-{age}", "a", "", float(age)) for age in range(TOLD_MAX + 5)]
        fields = cut_fields(cut)
        self.assertEqual(fields["cut"], TOLD_MAX + 5)
        self.assertEqual(len(fields["requests"]), TOLD_MAX)
        self.assertEqual(fields["requests"][0], "r-24 on a at None for 24.0 s")

    def test_request_without_a_head_is_told(self) -> None:
        fields = cut_fields([CutRequest(None, None, None, 0.5)])
        self.assertEqual(fields["requests"], ["None on None at None for 0.5 s"])


if __name__ == "__main__":
    unittest.main()
