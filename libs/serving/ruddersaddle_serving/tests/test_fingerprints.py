"""Tests of which requests share a fingerprint."""

import unittest

from ruddersaddle_serving.fingerprints import make_fingerprint

FIELDS = ("POST", "/p/x", "w-1", b"body")


class FingerprintsTest(unittest.TestCase):
    def test_equal_requests_share_a_fingerprint(self) -> None:
        self.assertEqual(make_fingerprint(*FIELDS), make_fingerprint(*FIELDS))

    def test_each_field_changes_the_fingerprint(self) -> None:
        changed = [
            make_fingerprint(*FIELDS[:place], other, *FIELDS[place + 1 :])
            for place, other in enumerate(("PUT", "/p/y", "w-2", b"bodies"))
        ]
        self.assertEqual(len({make_fingerprint(*FIELDS), *changed}), 5)

    def test_moving_bytes_between_fields_changes_the_fingerprint(self) -> None:
        names = {
            make_fingerprint("POST", "/p/x", "w", b"1body"),
            make_fingerprint("POST", "/p/x", "w1", b"body"),
            make_fingerprint("POST", "/p/xw", "1", b"body"),
        }
        self.assertEqual(len(names), 3)


if __name__ == "__main__":
    unittest.main()
