"""Tests of time-outs of sockets that expire while the event loop is blocked."""

import socket
import unittest
from collections.abc import Callable

import eventlet
from eventlet import patcher
from eventlet.green import socket as green_socket
from eventlet.greenio import base
from eventlet.hubs import get_hub
from ruddersaddle_base import clocks
from ruddersaddle_standins.port_blocks import free_ports

from ruddersaddle_serving import polled_sockets

TIMEOUT_S = 0.05
BLOCKED_S = 0.1
"""How long a step blocks the event loop; longer than the time-out."""
block_loop = patcher.original("time").sleep


class PolledSocketsTest(unittest.TestCase):
    def setUp(self) -> None:
        before = base.GreenSocket._trampoline
        self.addCleanup(setattr, base.GreenSocket, "_trampoline", before)
        polled_sockets.poll_before_timeouts()
        near, self.far = socket.socketpair()
        self.near = green_socket.socket(fileno=near.detach())
        self.near.settimeout(TIMEOUT_S)
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)

    def call_and_block(self, call: Callable[[], object], then: Callable[[], None]) -> object:
        """Return what a call returns if the event loop is then blocked until the time-out is due.

        A callback of the poll makes the call and blocks, so that timers fire before the next poll.
        """
        hub = get_hub()
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)

        def wait_and_call() -> object:
            hub.switch()
            return call()

        calling = eventlet.spawn(wait_and_call)
        eventlet.sleep(0)

        def call_then_block(_descriptor: int) -> None:
            hub.remove(listener)
            calling.switch()
            then()
            block_loop(BLOCKED_S)

        listener = hub.add(hub.READ, near.fileno(), call_then_block, calling.throw, lambda: None)
        far.send(b"x")
        return calling.wait()

    def connect_while_blocked(self, address: tuple[str, int]) -> None:
        """Connect as over a network: the first call doesn't establish the connection."""
        connect = base.socket_connect
        calls = []

        def connect_in_two_calls(descriptor: socket.socket, to: tuple[str, int]) -> object:
            calls.append(to)
            if len(calls) > 1:
                return connect(descriptor, to)
            descriptor.connect_ex(to)
            return None

        self.addCleanup(setattr, base, "socket_connect", connect)
        base.socket_connect = connect_in_two_calls
        with green_socket.socket() as client:
            client.settimeout(TIMEOUT_S)
            self.call_and_block(lambda: client.connect(address), lambda: None)

    def test_connection_established_while_the_loop_was_blocked_does_not_time_out(self) -> None:
        """The holder of the lease took all engines for unreachable at the same moment."""
        listener = patcher.original("socket").create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.connect_while_blocked(listener.getsockname())

    def test_refusal_that_came_while_the_loop_was_blocked_is_no_timeout(self) -> None:
        (port,) = free_ports(1)
        with self.assertRaises(ConnectionRefusedError):
            self.connect_while_blocked(("127.0.0.1", port))

    def test_bytes_that_came_while_the_loop_was_blocked_are_received(self) -> None:
        received = self.call_and_block(lambda: self.near.recv(1), lambda: self.far.send(b"x"))
        self.assertEqual(received, b"x")

    def test_receiving_times_out_if_nothing_has_come(self) -> None:
        for blocked_s in (0.0, BLOCKED_S):
            with self.subTest(blocked_s=blocked_s):
                eventlet.spawn(block_loop, blocked_s)
                began = clocks.now_s()
                with self.assertRaises(TimeoutError):
                    self.near.recv(1)
                self.assertGreaterEqual(clocks.now_s() - began, TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
