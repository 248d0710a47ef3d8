"""Tests of the memory that all buffered answers share."""

import unittest
from random import Random

from ruddersaddle_serving.buffer_shares import UNSHARED_BYTES, BufferShare, SharedBuffers

MAX = 10 * UNSHARED_BYTES
SEED = 1


class BufferSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.buffers = SharedBuffers(MAX)

    def test_many_large_answers_take_more_than_all_may(self) -> None:
        rng = Random(SEED)
        sizes = [0] * 20
        shares = [BufferShare(self.buffers) for _ in sizes]
        for _ in range(2000):
            number, size = rng.randrange(20), rng.randrange(4 * UNSHARED_BYTES)
            if shares[number].resize(size):
                sizes[number] = size
            counted = sum(max(0, size - UNSHARED_BYTES) for size in sizes)
            self.assertEqual(self.buffers.used, counted)
            self.assertLessEqual(counted, MAX)
        for share in shares:
            share.release()
        self.assertEqual(self.buffers.used, 0)

    def test_small_answer_finds_no_room_beside_large_ones(self) -> None:
        self.assertTrue(BufferShare(self.buffers).resize(MAX + UNSHARED_BYTES))
        self.assertFalse(BufferShare(self.buffers).resize(UNSHARED_BYTES + 1))
        self.assertTrue(BufferShare(self.buffers).resize(UNSHARED_BYTES))

    def test_released_share_leaves_its_room_to_others(self) -> None:
        first, second = BufferShare(self.buffers), BufferShare(self.buffers)
        self.assertTrue(first.resize(MAX))
        self.assertFalse(second.resize(MAX))
        first.release()
        first.release()
        self.assertTrue(second.resize(MAX))


if __name__ == "__main__":
    unittest.main()
