"""A steady clock that stands still until a test moves it."""

import unittest
from unittest import mock

from ruddersaddle_base import clocks


class FixedClockTest(unittest.TestCase):
    """A test whose `clocks.now_s` returns `self.now`."""

    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(clocks, "now_s", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
