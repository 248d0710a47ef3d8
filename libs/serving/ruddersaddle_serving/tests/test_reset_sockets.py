"""Tests of sockets whose reads let other tasks run."""

import socket
import unittest

import eventlet

from ruddersaddle_serving.reset_sockets import LINE_BUFFER_BYTES, READS_MAX, ResetAwareSocket

READ_BYTES = 100
READS = 50


class ReadsTest(unittest.TestCase):
    def setUp(self) -> None:
        near, self.far = socket.socketpair()
        self.near = ResetAwareSocket(near)
        self.addCleanup(near.close)
        self.addCleanup(self.far.close)
        self.turns = 0
        task = eventlet.spawn(self.count_turns)
        self.addCleanup(task.kill)

    def count_turns(self) -> None:
        while True:
            self.turns += 1
            eventlet.sleep(0)

    def read(self) -> int:
        return self.near.recv_into(bytearray(READ_BYTES))

    def test_reads_that_need_no_wait_stop_all_other_tasks(self) -> None:
        self.far.sendall(b"x" * READ_BYTES * READS)
        for number in range(READS):
            self.assertEqual(self.read(), READ_BYTES)
            self.assertGreaterEqual(self.turns, number // READS_MAX)

    def test_lines_that_were_read_ahead_stop_all_other_tasks(self) -> None:
        self.far.sendall(b"x\n" * READ_BYTES * READS)
        file = self.near.makefile("rb")
        self.addCleanup(file.close)
        for number in range(READ_BYTES * READS):
            self.assertEqual(file.readline(), b"x\n")
            self.assertGreaterEqual(self.turns, 2 * number // LINE_BUFFER_BYTES // READS_MAX)

    def test_timeout_fires_between_reads_that_need_no_wait(self) -> None:
        self.far.sendall(b"x" * READ_BYTES * READS)
        reads = 0
        with eventlet.Timeout(0, False):
            for _ in range(READS):
                reads += self.read() // READ_BYTES
        self.assertLessEqual(reads, 2 * READS_MAX)

    def test_read_after_a_wait_needs_no_turn(self) -> None:
        for _ in range(READS):
            eventlet.spawn_after(0.001, self.far.sendall, b"x" * READ_BYTES)
            self.assertEqual(self.read(), READ_BYTES)
            turns = self.turns
            self.far.sendall(b"x")
            self.assertEqual(self.read(), 1)
            self.assertEqual(self.turns, turns)


if __name__ == "__main__":
    unittest.main()
