"""The test runner reports failed subtests under the name of their test."""

import io
import unittest

from ruddersaddle_standins.suites import name_test


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


if __name__ == "__main__":
    unittest.main()
