"""A boot-time clock that advances only when a test moves it."""

import unittest
from unittest import mock

from ruddersaddle_base import clocks


class FixedClockTest(unittest.TestCase):
    """A test case in which `clocks.now_s` returns `self.now`."""

    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(clocks, "now_s", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
