"""Tests that settings are reloaded from a stable file, after any change, and not from an empty one.

Guards against a file that is empty when it is polled, which reset eight settings to their defaults
(the time for a planned stop among them); against a partially written file, which was rejected or
applied by chance; and against missing a change during the first read.
"""

import tempfile
import unittest
from pathlib import Path

from ruddersaddle_base.settings import Problem, Settings, read_settings

from ruddersaddle_serving.settings_watches import POLLS_MAX, SettingsWatch

TEXT = "[host]\nid = host-7\n[requests]\ngrace_s = %d\n"
GRACE = "requests.grace_s"


class SettingsWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.ini"
        self.path.write_text(TEXT % 6)
        self.watch = SettingsWatch(str(self.path), self.read)
        self.applied: list[float] = []

    def read(self) -> Settings | list[Problem]:
        return read_settings(str(self.path), {}, [])

    def poll(self, times: int = 1) -> list[float]:
        """Poll the file and return the values of all settings that were applied."""
        for _ in range(times):
            self.watch.poll(lambda settings: self.applied.append(settings.number(GRACE)))
        return self.applied

    def test_change_is_applied_once_the_file_is_stable(self) -> None:
        self.watch.load_initial()
        self.path.write_text((TEXT % 12)[:-2])
        self.assertEqual(self.poll(), [])
        self.path.write_text(TEXT % 12)
        self.assertEqual(self.poll(), [])
        self.assertEqual(self.poll(3), [12.0])

    def test_change_during_the_first_read_is_applied(self) -> None:
        def read_and_change() -> Settings | list[Problem]:
            found = self.read()
            self.path.write_text(TEXT % 12)
            return found

        self.watch.read = read_and_change
        self.assertEqual(self.watch.load_initial().number(GRACE), 6.0)
        self.watch.read = self.read
        self.assertEqual(self.poll(3), [12.0])

    def test_signal_is_kept_while_the_file_is_missing(self) -> None:
        self.watch.load_initial()
        self.watch.signalled = True
        moved = self.path.rename(self.path.with_suffix(".moved"))
        self.assertEqual(self.poll(3), [])
        moved.rename(self.path)
        self.assertEqual(self.poll(3), [6.0])

    def test_empty_file_is_not_applied(self) -> None:
        self.watch.load_initial()
        self.path.write_text("")
        self.assertEqual(self.poll(3), [])
        self.path.write_text(TEXT % 12)
        self.assertEqual(self.poll(3), [12.0])

    def test_signal_is_handled_although_the_file_keeps_changing(self) -> None:
        """Guards against a file written every 0.3 s not being read within 10 s after a signal."""
        self.watch.load_initial()
        self.watch.signalled = True
        for number in range(10, 10 + POLLS_MAX):
            self.assertEqual(self.applied, [])
            self.path.write_text(TEXT % number + "#" * number)
            self.poll()
        self.assertEqual(self.applied, [10.0 + POLLS_MAX - 1])


if __name__ == "__main__":
    unittest.main()
