"""Tests of detecting callers that have closed their connections."""

import socket
import unittest

import eventlet

from ruddersaddle_serving.caller_watches import CallerLeftError, CallerWatch


class CallerWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)

    def watch(self) -> CallerWatch:
        watch = CallerWatch(self.near)
        self.addCleanup(watch.stop)
        return watch

    def test_caller_that_left_before_the_watch_is_detected_at_once(self) -> None:
        self.far.sendall(b"next")
        self.assertFalse(self.watch().has_left())
        self.near.recv(100)
        self.far.close()
        self.assertTrue(self.watch().has_left())

    def test_waiting_caller_has_not_left(self) -> None:
        self.assertFalse(self.watch().has_left())

    def test_close_is_raised_into_the_request(self) -> None:
        self.watch()
        eventlet.sleep(0)
        self.far.close()
        with self.assertRaises(CallerLeftError):
            eventlet.sleep(2.0)


if __name__ == "__main__":
    unittest.main()
