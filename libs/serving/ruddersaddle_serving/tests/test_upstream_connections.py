"""Tests of connections that are kept between requests."""

import eventlet

eventlet.monkey_patch()

# The library's sockets have to be green, as they are in the program.
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

    def keep_one(self) -> Exchange:
        """Open a connection and keep it, as after a whole answer."""
        exchange = self.pool.begin()
        self.assertIsInstance(exchange, Exchange)
        eventlet.sleep(0.02)
        self.pool.keep(exchange.connection, None)
        return exchange

    def test_kept_connection_is_used_again(self) -> None:
        kept = self.keep_one()
        self.assertIs(self.pool.begin().connection, kept.connection)

    def test_connection_that_falls_silent_is_given_up_by_the_system(self) -> None:
        """Probes and the bound on unacknowledged bytes find it; nothing here has to be sent."""
        sock = self.keep_one().connection.sock.fd
        found = [sock.getsockopt(level, name) for level, name, _ in LIVENESS_OPTIONS]
        self.assertEqual(found, [3000, 1, 1, 1, 2])

    def test_connection_in_use_is_not_taken_by_housekeeping(self) -> None:
        """Found on a grown site: the check yielded, so both held one connection at once."""
        kept = self.keep_one()
        tidying = eventlet.spawn(self.pool.close_expired)
        eventlet.sleep(0)
        taken = self.pool.begin()
        tidying.wait()
        self.assertIs(taken.connection, kept.connection)
        self.assertIsNot(self.pool.begin().connection, kept.connection)

    def test_connection_on_which_something_arrived_is_closed(self) -> None:
        kept = self.keep_one()
        self.accepted[0].sendall(b"late answer")
        eventlet.sleep(0.02)
        self.assertIsNot(self.pool.begin().connection, kept.connection)

    def test_connection_that_the_upstream_closed_is_not_used(self) -> None:
        kept = self.keep_one()
        self.accepted[0].close()
        eventlet.sleep(0.02)
        self.assertIsNot(self.pool.begin().connection, kept.connection)


if __name__ == "__main__":
    unittest.main()
