"""Tests of splitting a stream into complete events."""

import unittest

from hypothesis import given, strategies
from ruddersaddle_base.tests.property_tests import DETERMINISTIC

from ruddersaddle_serving.event_streams import EventSplitter

STREAM = b"".join(b"id: %d\ndata: word %d\n\n" % (number, number) for number in range(1, 6))


class EventSplitterTest(unittest.TestCase):
    @DETERMINISTIC
    @given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=8))
    def test_chunk_boundaries_do_not_change_the_events(self, cuts: list[int]) -> None:
        splitter = EventSplitter()
        places = [0, *sorted(cuts), len(STREAM)]
        out = b"".join(
            splitter.feed(STREAM[start:end]) for start, end in zip(places, places[1:], strict=False)
        )
        self.assertEqual((out, splitter.last_id, splitter.events), (STREAM, "5", 5))

    def test_partial_event_is_buffered_and_discarded(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\n\nid: 2\nda"), b"id: 1\n\n")
        self.assertTrue(splitter.is_inside_event)
        splitter.begin_answer()
        self.assertEqual(splitter.feed(b"id: 2\n\n"), b"id: 2\n\n")
        self.assertEqual(splitter.last_id, "2")

    def test_crlf_line_ends_are_accepted(self) -> None:
        self.assertEqual(EventSplitter().feed(b"id: 7\r\n\r\nx"), b"id: 7\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
