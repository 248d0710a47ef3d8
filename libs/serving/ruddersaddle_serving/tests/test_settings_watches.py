"""Settings are taken from a file that rests, after any change of it, and not from an empty one.

A file that was empty as a host looked at it set eight of its settings to their defaults, the time
for a planned stop among them; one that was half written at that moment was refused or taken by
chance. A change while the first settings were read was never seen.
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
        self.taken: list[float] = []

    def read(self) -> Settings | list[Problem]:
        return read_settings(str(self.path), {}, [])

    def poll(self, times: int = 1) -> list[float]:
        """Look at the file and return the values of all settings that were taken."""
        for _ in range(times):
            self.watch.poll(lambda settings: self.taken.append(settings.number(GRACE)))
        return self.taken

    def test_change_is_taken_once_the_file_rests(self) -> None:
        self.watch.load_initial()
        self.path.write_text((TEXT % 12)[:-2])
        self.assertEqual(self.poll(), [])
        self.path.write_text(TEXT % 12)
        self.assertEqual(self.poll(), [])
        self.assertEqual(self.poll(3), [12.0])

    def test_change_while_the_first_settings_are_read_is_taken(self) -> None:
        def read_and_change() -> Settings | list[Problem]:
            found = self.read()
            self.path.write_text(TEXT % 12)
            return found

        self.watch.read = read_and_change
        self.assertEqual(self.watch.load_initial().number(GRACE), 6.0)
        self.watch.read = self.read
        self.assertEqual(self.poll(3), [12.0])

    def test_signal_is_kept_while_the_file_is_away(self) -> None:
        self.watch.load_initial()
        self.watch.signalled = True
        away = self.path.rename(self.path.with_suffix(".away"))
        self.assertEqual(self.poll(3), [])
        away.rename(self.path)
        self.assertEqual(self.poll(3), [6.0])

    def test_empty_file_is_not_taken(self) -> None:
        self.watch.load_initial()
        self.path.write_text("")
        self.assertEqual(self.poll(3), [])
        self.path.write_text(TEXT % 12)
        self.assertEqual(self.poll(3), [12.0])

    def test_signal_is_served_though_the_file_never_rests(self) -> None:
        """A file written each 0.3 s was not read in 10 s after a signal."""
        self.watch.load_initial()
        self.watch.signalled = True
        for number in range(10, 10 + POLLS_MAX):
            self.assertEqual(self.taken, [])
            self.path.write_text(TEXT % number + "#" * number)
            self.poll()
        self.assertEqual(self.taken, [10.0 + POLLS_MAX - 1])


if __name__ == "__main__":
    unittest.main()
