"""Tests of complete replies that are assembled from events."""

import unittest

from ruddersaddle_base.failures import Failure, Ran

from ruddersaddle.replies import join_events


class RepliesTest(unittest.TestCase):
    def test_generation_whose_events_are_malformed_is_said_not_to_have_run(self) -> None:
        for data in (b"data: {}\n\n", b"text\n\n", b'data: {"id": "q", "token": "x"}\n\n'):
            with self.subTest(data=data):
                failure = join_events(data, "q", "m", chat=False)
                self.assertIsInstance(failure, Failure)
                self.assertIs(failure.ran, Ran.RAN)


if __name__ == "__main__":
    unittest.main()
