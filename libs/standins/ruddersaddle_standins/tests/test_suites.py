"""The test runner reports failed subtests under the name of their test."""

import io
import tempfile
import unittest
from pathlib import Path

from ruddersaddle_standins.suites import (
    KNOWN_RED_FILE,
    KNOWN_RED_MAX,
    UNCOUNTED,
    name_test,
    read_known_red,
)


class Failing(unittest.TestCase):
    """Not collected, as the name of its method does not begin with `test`."""

    def check(self) -> None:
        for number in range(3):
            with self.subTest(number=number):
                self.assertEqual(number, 1)


class NamesTest(unittest.TestCase):
    def test_failed_subtests_are_named_by_their_test(self) -> None:
        case = Failing("check")
        result = unittest.TextTestRunner(stream=io.StringIO()).run(case)
        names = {name_test(test) for test, _ in result.failures}
        self.assertEqual((len(result.failures), names), (2, {case.id()}))


class KnownRedTest(unittest.TestCase):
    def read(self, counted: int, uncounted: int) -> int:
        """Write a list of known red tests; return how many are read."""
        lines = [f"a.test_{number}: a cause" for number in range(counted)]
        lines += [f"b.test_{number}: a cause; {UNCOUNTED}" for number in range(uncounted)]
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / KNOWN_RED_FILE).write_text("\n".join(lines) + "\n")
            return len(read_known_red(Path(folder)))

    def test_list_grows_beyond_its_limit(self) -> None:
        self.assertEqual(self.read(KNOWN_RED_MAX, 20), KNOWN_RED_MAX + 20)
        with self.assertRaises(SystemExit):
            self.read(KNOWN_RED_MAX + 1, 0)


if __name__ == "__main__":
    unittest.main()
