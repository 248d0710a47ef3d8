"""Tests of home assignment: evenly spread and the same on every host."""

import unittest
from collections import Counter

from ruddersaddle_routing.homes import assign_homes

ENGINES = [f"10.0.0.{number}:1" for number in range(5)]
TEMPLATES = {f"clinic-{number}": 1 for number in range(10)}


class HomeTest(unittest.TestCase):
    def test_no_engine_holds_more_than_its_share(self):
        homes = assign_homes(TEMPLATES, ENGINES)
        counts = Counter(address for chosen in homes.values() for address in chosen)
        self.assertEqual(set(counts.values()), {2})

    def test_the_order_of_engines_and_templates_does_not_matter(self):
        reordered = dict(reversed(TEMPLATES.items()))
        self.assertEqual(assign_homes(TEMPLATES, ENGINES), assign_homes(reordered, ENGINES[::-1]))

    def test_copies_are_on_different_engines_and_no_more_than_there_are(self):
        homes = assign_homes({"a": 3, "b": 9}, ENGINES)
        self.assertEqual((len(set(homes["a"])), len(set(homes["b"]))), (3, 5))

    def test_without_engines_there_are_no_homes(self):
        self.assertEqual(assign_homes(TEMPLATES, []), {})


if __name__ == "__main__":
    unittest.main()
