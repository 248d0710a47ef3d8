"""Tests of which callers' connections a planned stop closes."""

import socket
import unittest
from unittest import mock

from eventlet.greenio import GreenSocket
from eventlet.wsgi import STATE_IDLE

from ruddersaddle_serving import caller_pools
from ruddersaddle_serving.caller_budgets import CallerBudget
from ruddersaddle_serving.caller_pools import STATE_INDEX, CallerPool, Connection


class ClosedConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = CallerPool(CallerBudget(1 << 20, 10))
        self.callers = [self.connect(number) for number in range(3)]

    def connect(self, number: int) -> socket.socket:
        """Return the caller's end of an idle connection."""
        caller, own = socket.socketpair()
        for end in (caller, own):
            self.addCleanup(end.close)
        connection: Connection = [str(number), GreenSocket(own), STATE_IDLE]
        self.pool._by_address[str(number)] = connection
        return caller

    def is_closed(self, number: int) -> bool:
        return self.pool._by_address[str(number)][STATE_INDEX] == caller_pools.STATE_CLOSE

    def test_connection_with_an_unread_request_stays_open(self) -> None:
        self.callers[1].sendall(b"GET")
        self.pool.close_idle()
        self.assertEqual([self.is_closed(number) for number in range(3)], [True, False, True])

    def test_no_request_arrives_on_a_connection_that_is_closed_unread_later(self) -> None:
        """All were looked at before the first one was closed."""
        look = caller_pools._has_bytes
        looked_at = []

        def send_to_earlier(own: GreenSocket) -> bool:
            for number in looked_at:
                with self.assertRaises(BrokenPipeError):
                    self.callers[number].sendall(b"GET")
            looked_at.append(len(looked_at))
            return look(own)

        with mock.patch.object(caller_pools, "_has_bytes", send_to_earlier):
            self.pool.close_idle()
        self.assertEqual(len(looked_at), 3)


if __name__ == "__main__":
    unittest.main()
