"""Tests that no decision depends on a figure of one installation."""

import re
import unittest
from pathlib import Path

import ruddersaddle_serving

WORDS = re.compile(
    r"\b(sheets?|customers?|greenhouse|nordur|amtcf|hvce|fleetbench)\b", re.IGNORECASE
)
"""Words that show that a figure belongs to one installation, or to the benchmark."""


class ConstantsTest(unittest.TestCase):
    def test_no_module_names_an_installation_or_its_data_sheet(self) -> None:
        folder = Path(ruddersaddle_serving.__file__).parent
        found = [
            f"{path.name}:{number}"
            for path in sorted(folder.glob("*.py"))
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if WORDS.search(line)
        ]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
