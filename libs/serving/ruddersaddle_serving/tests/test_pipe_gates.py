"""Tests of which connections to the port for other hosts give way."""

import unittest

from ruddersaddle_serving.pipe_gates import PIPES_PER_HOST, UNKNOWN_PIPES, PipeGate

HOSTS = 300


class FakePipe:
    """A connection."""

    def __init__(self, ip: str, port: int) -> None:
        self.remote_address = f"{ip}:{port}"
        self.is_closed = False

    def close(self) -> None:
        """Close it."""
        self.is_closed = True


class PipeGatesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = PipeGate()

    def connect(self, ip: str, count: int) -> list[FakePipe]:
        """Return admitted connections of an address."""
        pipes = [FakePipe(ip, port) for port in range(count)]
        for pipe in pipes:
            self.gate.admit(pipe)
        return pipes

    def test_hosts_that_are_not_on_the_list_yet_lose_their_connections(self) -> None:
        pipes = [each for n in range(HOSTS) for each in self.connect(f"10.0.{n // 200}.{n}", 1)]
        self.assertFalse(any(each.is_closed for each in pipes))

    def test_many_hosts_at_one_address_lose_their_connections(self) -> None:
        self.gate.set_hosts(f"127.0.0.1:{port}" for port in range(HOSTS))
        pipes = self.connect("127.0.0.1", PIPES_PER_HOST * HOSTS)
        self.assertFalse(any(each.is_closed for each in pipes))

    def test_stranger_keeps_any_number_of_connections(self) -> None:
        pipes = self.connect("10.0.0.1", 3 * UNKNOWN_PIPES)
        is_open = [not each.is_closed for each in pipes]
        self.assertEqual(is_open, [False] * 2 * UNKNOWN_PIPES + [True] * UNKNOWN_PIPES)
        self.assertEqual(self.gate.closed, 2 * UNKNOWN_PIPES)

    def test_closed_connections_take_the_place_of_others(self) -> None:
        for _ in range(3):
            for pipe in self.connect("10.0.0.1", UNKNOWN_PIPES):
                self.assertFalse(pipe.is_closed)
                self.gate.remove(pipe)
        self.assertEqual(self.gate.closed, 0)


if __name__ == "__main__":
    unittest.main()
