"""Tests of connections that are reused between requests."""

import eventlet

eventlet.monkey_patch()

# The library's sockets have to be green, as in the program.
import socket  # noqa: E402
import unittest  # noqa: E402

from ruddersaddle_serving.socket_liveness import LIVENESS_OPTIONS  # noqa: E402
from ruddersaddle_serving.upstream_connections import (  # noqa: E402
    Exchange,
    UpstreamConnections,
)


class IdleConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(5)
        self.addCleanup(self.listener.close)
        self.accepted: list[socket.socket] = []
        task = eventlet.spawn(self.accept)
        self.addCleanup(task.kill)
        self.pool = UpstreamConnections(f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.addCleanup(self.pool.close)

    def accept(self) -> None:
        while True:
            self.accepted.append(self.listener.accept()[0])

    def release_one(self) -> Exchange:
        """Open a connection and release it, as after a complete answer."""
        exchange = self.pool.open_exchange()
        self.assertIsInstance(exchange, Exchange)
        eventlet.sleep(0.02)
        self.pool.release(exchange.connection, None)
        return exchange

    def test_released_connection_is_reused(self) -> None:
        released = self.release_one()
        self.assertIs(self.pool.open_exchange().connection, released.connection)

    def test_unresponsive_connection_is_aborted_by_the_kernel(self) -> None:
        """Keep-alive probes and the TCP user timeout detect it without sending anything."""
        sock = self.release_one().connection.sock.fd
        found = [sock.getsockopt(level, name) for level, name, _ in LIVENESS_OPTIONS]
        self.assertEqual(found, [3000, 1, 1, 1, 2])

    def test_maintenance_does_not_take_a_connection_in_use(self) -> None:
        """When the idle check yielded, maintenance and a request held one connection at once."""
        released = self.release_one()
        maintenance = eventlet.spawn(self.pool.close_expired)
        eventlet.sleep(0)
        taken = self.pool.open_exchange()
        maintenance.wait()
        self.assertIs(taken.connection, released.connection)
        self.assertIsNot(self.pool.open_exchange().connection, released.connection)

    def test_connection_with_unread_bytes_is_not_reused(self) -> None:
        released = self.release_one()
        self.accepted[0].sendall(b"late answer")
        eventlet.sleep(0.02)
        self.assertIsNot(self.pool.open_exchange().connection, released.connection)

    def test_connection_closed_by_the_upstream_is_not_reused(self) -> None:
        released = self.release_one()
        self.accepted[0].close()
        eventlet.sleep(0.02)
        self.assertIsNot(self.pool.open_exchange().connection, released.connection)


if __name__ == "__main__":
    unittest.main()
