"""Tests of timeouts that are deferred until sockets have been polled."""

import socket
import unittest

import eventlet
from eventlet import patcher
from eventlet.hubs import trampoline
from ruddersaddle_base import clocks

from ruddersaddle_serving.deferred_timeouts import DeferredTimeout

TIMEOUT_S = 0.05
block_loop = patcher.original("time").sleep
"""The blocking `sleep`, even if another test module has monkey-patched the usual one."""
BLOCKED_S = 0.1
"""How long a step blocks the event loop; longer than the timeout."""


class DeferredTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)

    def send_and_block(self) -> None:
        """Send a byte, and block the event loop until the timeout is due."""
        self.far.send(b"x")
        block_loop(BLOCKED_S)

    def wait(self) -> bool:
        """Return whether a byte came before the timeout."""
        with DeferredTimeout(TIMEOUT_S, False):
            trampoline(self.near.fileno(), read=True)
            return True
        return False

    def test_byte_that_has_arrived_prevents_the_timeout(self) -> None:
        eventlet.spawn(self.send_and_block)
        self.assertTrue(self.wait())
        eventlet.sleep(TIMEOUT_S)

    def test_timeout_is_raised_if_nothing_arrives(self) -> None:
        began = clocks.now_s()
        self.assertFalse(self.wait())
        self.assertGreaterEqual(clocks.now_s() - began, TIMEOUT_S)

    def test_timeout_cancelled_while_deferred_is_not_raised(self) -> None:
        timeout = DeferredTimeout(TIMEOUT_S)
        eventlet.spawn_after(TIMEOUT_S + 0.001, timeout.cancel)
        eventlet.spawn(block_loop, BLOCKED_S)
        eventlet.sleep(BLOCKED_S * 2)
        self.assertFalse(timeout.pending)


if __name__ == "__main__":
    unittest.main()
