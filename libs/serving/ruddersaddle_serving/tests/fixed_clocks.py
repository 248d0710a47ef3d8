"""A steady clock that stands still until a test moves it."""

import time
import unittest
from unittest import mock


class FixedClockTest(unittest.TestCase):
    """A test whose `time.monotonic` returns `self.now`."""

    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(time, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
