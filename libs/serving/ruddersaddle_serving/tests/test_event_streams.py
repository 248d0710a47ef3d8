"""Tests of splitting a stream into complete events."""

import unittest

from hypothesis import given, strategies
from ruddersaddle_base.tests.property_tests import DETERMINISTIC

from ruddersaddle_serving.event_streams import EVENT_STREAM, EventSplitter, content_type

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

    @DETERMINISTIC
    @given(
        strategies.lists(strategies.sampled_from([b"\n", b"\r", b"\r\n"]), min_size=6, max_size=6),
        strategies.lists(strategies.integers(0, 40), max_size=6),
    )
    def test_mixed_line_ends_and_chunk_boundaries_lose_nothing(
        self, line_ends: list[bytes], cuts: list[int]
    ) -> None:
        lines = (b"id: 1", b"data: a", b"", b"id: 2", b"data: b", b"")
        for place in (2, 5):
            if line_ends[place - 1 : place + 1] == [b"\r", b"\n"]:
                # CR and LF in a row are one line end.
                line_ends[place] = b"\r"
        stream = b"".join(line + end for line, end in zip(lines, line_ends, strict=True))
        splitter = EventSplitter()
        places = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
        out = b"".join(
            splitter.feed(stream[start:end]) for start, end in zip(places, places[1:], strict=False)
        )
        self.assertFalse(splitter.is_inside_event)
        self.assertEqual((out + splitter.flush(), splitter.last_id), (stream, "2"))

    def test_stream_ends_inside_an_event_unless_only_comments_follow_the_last_one(self) -> None:
        for rest, is_inside in (
            (b"", False),
            (b"\n", False),
            (b": ping\n", False),
            (b": ping\r\n\r\n", False),
            (b": ping", True),
            (b"data: b\n", True),
            (b"id: 2", True),
            (b": ping\nid: 2\n", True),
        ):
            with self.subTest(rest=rest):
                splitter = EventSplitter()
                splitter.feed(b"id: 1\n\n" + rest)
                self.assertEqual(splitter.is_inside_event, is_inside)

    def test_comments_are_no_events(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b": ping\n\n\n\n")
        self.assertFalse(splitter.has_event)
        splitter.feed(b"data: x\n\n")
        self.assertTrue(splitter.has_event)
        splitter.begin_answer()
        self.assertFalse(splitter.has_event)

    def test_media_type_is_read_without_parameters(self) -> None:
        headers = (("content-type", "Text/Event-Stream ; charset=utf-8"),)
        self.assertEqual(content_type(headers), EVENT_STREAM)
        self.assertIsNone(content_type(()))

    def test_byte_order_mark_is_kept_at_the_start_only(self) -> None:
        splitter = EventSplitter()
        self.assertFalse(splitter.is_inside_event)
        event = b"\xef\xbb\xbfid: 1\n\n"
        self.assertEqual(splitter.feed(event), event)
        self.assertEqual(splitter.last_id, "1")
        splitter.feed(b"id: 2\nda")
        splitter.begin_answer()
        self.assertEqual(splitter.feed(b"\xef\xbb\xbfid: 2\n\n"), b"id: 2\n\n")
        self.assertEqual(splitter.last_id, "2")


if __name__ == "__main__":
    unittest.main()
