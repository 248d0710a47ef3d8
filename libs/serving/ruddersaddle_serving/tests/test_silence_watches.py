"""Tests of leaving an upstream that falls silent, and of taking requests back from it."""

import time
import unittest
from unittest import mock

import eventlet
from ruddersaddle_base.ids import HallId, PoolId, UpstreamId

from ruddersaddle_serving.silence_watches import SilenceWatch, UpstreamSilentError
from ruddersaddle_serving.trackers import Assignment, Notice, Progress, Tracker
from ruddersaddle_serving.upstream_lists import UpstreamEntry

ENTRY = UpstreamEntry(UpstreamId("e"), PoolId("p"), "10.0.0.1:80", HallId("h"), 8, False, {})
WORK_S = 0.1
LEFT_AFTER_S = 0.4 + 3 * WORK_S


class SilenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(time, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.tracker = Tracker(ENTRY)

    def tell(self, number: int, progress: Progress, failed: bool | None = None) -> None:
        assignment = Assignment("m/1", (), WORK_S, 10, 1) if progress is Progress.SENT else None
        self.tracker.take_notice("host", Notice(ENTRY.id, number, progress, assignment, failed))

    def is_left_after(self, seconds: float) -> bool:
        self.now += seconds
        self.tracker.check_silence()
        return self.tracker.is_off

    def test_engine_that_gives_no_first_event_is_left(self) -> None:
        self.tell(1, Progress.SENT)
        self.assertFalse(self.is_left_after(LEFT_AFTER_S - 0.1))
        self.assertTrue(self.is_left_after(0.2))
        self.assertFalse(self.tracker.is_sound)

    def test_engine_that_answers_others_is_not_silent(self) -> None:
        self.tell(1, Progress.SENT)
        for number in range(2, 12):
            self.now += 0.2
            self.tell(number, Progress.SENT)
            self.tell(number, Progress.FIRST)
        self.assertFalse(self.is_left_after(0.1))

    def test_engine_without_requests_is_not_silent(self) -> None:
        self.assertFalse(self.is_left_after(60.0))

    def test_silent_engine_is_tried_again_and_left_longer_each_time(self) -> None:
        left_s = []
        for number in range(3):
            self.tell(number, Progress.SENT)
            self.assertTrue(self.is_left_after(1.0))
            self.tell(number, Progress.ENDED)
            began = self.now
            while self.tracker.is_off:
                self.now += 0.25
            left_s.append(self.now - began)
        self.assertEqual(left_s, [0.5, 1.0, 2.0])

    def test_request_is_taken_back_from_an_engine_that_is_left(self) -> None:
        watch = SilenceWatch(self.tracker)
        self.tracker.note_no_connection()
        with self.assertRaises(UpstreamSilentError):
            eventlet.sleep(2.0)
        watch.stop()

    def test_watch_that_was_stopped_raises_nothing(self) -> None:
        SilenceWatch(self.tracker).stop()
        self.tracker.note_no_connection()
        eventlet.sleep(0.25)


if __name__ == "__main__":
    unittest.main()
