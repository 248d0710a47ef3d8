"""Mutations quote source text that stands once; otherwise a run over all of them ends early."""

import unittest
from pathlib import Path

from ruddersaddle_standins.mutations import read_mutations, strip_bars

LIBRARIES = Path(__file__).parents[3]


class MutationsTest(unittest.TestCase):
    def test_text_that_a_mutation_replaces_stands_once(self) -> None:
        for mutation in read_mutations():
            with self.subTest(mutation=mutation.name):
                text = (LIBRARIES / mutation.file).read_text()
                self.assertEqual(text.count(strip_bars(mutation.old)), 1)


if __name__ == "__main__":
    unittest.main()
