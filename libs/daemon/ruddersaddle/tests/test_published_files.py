"""Tests of configuration files: a complete sample, and problems with their lines."""

import unittest
from pathlib import Path

from ruddersaddle.published_files import Problem, format_published, read_published

FOLDER = Path(__file__).parent


class PublishedFileTest(unittest.TestCase):
    maxDiff = None

    def test_the_sample_is_read_and_written_back_completely(self):
        entries = read_published(str(FOLDER / "input" / "clinics.ini"))
        self.assertFalse([each for each in entries if isinstance(each, Problem)])
        values = [each.value for each in entries if each.value is not None]
        expected = (FOLDER / "output" / "clinics.ini").read_text()
        self.assertEqual(format_published(values), expected)

    def test_written_values_read_the_same_again(self):
        path = str(FOLDER / "output" / "clinics.ini")
        values = [each.value for each in read_published(path)]
        self.assertEqual(format_published(values), Path(path).read_text())

    def test_every_problem_has_its_line_and_the_nearest_known_key(self):
        path = FOLDER / "input" / "wrong.ini"
        problems = [str(each).replace(f"{path}:", "") for each in read_published(str(path))]
        expected = (FOLDER / "output" / "wrong.txt").read_text().splitlines()
        self.assertEqual(problems, expected)


if __name__ == "__main__":
    unittest.main()
