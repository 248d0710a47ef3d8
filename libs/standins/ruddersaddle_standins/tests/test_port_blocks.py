"""Ports of concurrent test processes and of outgoing connections don't conflict."""

import socket
import subprocess
import sys
import unittest

from ruddersaddle_standins.port_blocks import BLOCK_SIZE, END_PORT, LOOPBACK, free_ports

PROGRAM = (
    "from ruddersaddle_standins.port_blocks import free_ports\n"
    "print(*free_ports(3), flush=True)\ninput()"
)


class PortBlocksTest(unittest.TestCase):
    def test_processes_get_different_ports(self) -> None:
        children = [
            subprocess.Popen(
                [sys.executable, "-c", PROGRAM],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(3)
        ]
        given = [port for child in children for port in child.stdout.readline().split()]
        for child in children:
            child.communicate("\n")
        self.assertEqual(len(set(given)), 9, given)

    def test_ports_are_unique_and_below_the_ephemeral_range(self) -> None:
        ports = free_ports(2 * BLOCK_SIZE)
        self.assertEqual(len(set(ports)), 2 * BLOCK_SIZE)
        self.assertLess(max(ports), END_PORT)

    def test_port_in_use_is_skipped(self) -> None:
        before = free_ports(1)[0]
        with socket.create_server((LOOPBACK, before + 1)):
            self.assertNotIn(before + 1, free_ports(3))


if __name__ == "__main__":
    unittest.main()
