"""Mutations quote source text that stands once; otherwise a run over all of them ends early."""

import unittest
from pathlib import Path

from msgspec.structs import replace

from ruddersaddle_standins.mutations import read_mutations, run_mutation, strip_bars

LIBRARIES = Path(__file__).parents[3]


class MutationsTest(unittest.TestCase):
    def test_text_that_a_mutation_replaces_stands_once(self) -> None:
        for mutation in read_mutations():
            with self.subTest(mutation=mutation.name):
                text = (LIBRARIES / mutation.file).read_text()
                self.assertEqual(text.count(strip_bars(mutation.old)), 1)

    def test_test_that_cannot_be_loaded_detects_a_mutation(self) -> None:
        first = read_mutations()[0]
        missing = replace(first, test="ruddersaddle_standins.tests.test_that_is_missing")
        self.assertFalse(run_mutation(LIBRARIES.parent, missing).is_detected)


if __name__ == "__main__":
    unittest.main()
