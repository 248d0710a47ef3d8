"""Tests of timeouts that let what has arrived go first."""

import socket
import unittest

import eventlet
from eventlet import patcher
from eventlet.hubs import trampoline
from ruddersaddle_base import clocks

from ruddersaddle_serving.deferred_timeouts import DeferredTimeout

TIME_S = 0.05
hold_up = patcher.original("time").sleep
"""Another module's test may have replaced the usual one by one that lets other tasks run."""
HELD_S = 0.1
"""For how long a step holds the event loop up, past the time."""


class DeferredTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)

    def send_and_hold(self) -> None:
        """Send a byte, and hold the event loop up until the time is over."""
        self.far.send(b"x")
        hold_up(HELD_S)

    def wait(self) -> bool:
        """Return whether a byte came before the timeout."""
        with DeferredTimeout(TIME_S, False):
            trampoline(self.near.fileno(), read=True)
            return True
        return False

    def test_byte_that_has_arrived_goes_first(self) -> None:
        eventlet.spawn(self.send_and_hold)
        self.assertTrue(self.wait())
        eventlet.sleep(TIME_S)

    def test_time_ends_where_nothing_arrives(self) -> None:
        began = clocks.now_s()
        self.assertFalse(self.wait())
        self.assertGreaterEqual(clocks.now_s() - began, TIME_S)

    def test_cancelled_between_its_two_steps_it_is_not_raised(self) -> None:
        timeout = DeferredTimeout(TIME_S)
        eventlet.spawn_after(TIME_S + 0.001, timeout.cancel)
        eventlet.spawn(hold_up, HELD_S)
        eventlet.sleep(HELD_S * 2)
        self.assertFalse(timeout.pending)


if __name__ == "__main__":
    unittest.main()
