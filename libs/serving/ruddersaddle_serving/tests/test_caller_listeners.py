"""Tests of listeners: errors of accept, and connections above the limit."""

import errno
import socket
import unittest
from typing import Any
from unittest import mock

import eventlet
from eventlet.greenio import GreenSocket

from ruddersaddle_serving.caller_listeners import LISTENER_GONE, ResilientListener

TRANSIENT_ERRORS = (
    errno.ECONNABORTED,
    errno.ECONNRESET,
    errno.EPROTO,
    errno.EPIPE,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
)
WAIT_S = 5


class ResilientListenerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.plain = eventlet.listen(("127.0.0.1", 0))
        self.pool = eventlet.GreenPool(2)
        self.accepted: list[GreenSocket] = []
        self.listener = ResilientListener(self.plain, self.pool)
        self.addCleanup(self.listener.close)

    def call(self) -> GreenSocket:
        caller = eventlet.connect(self.listener.getsockname())
        self.addCleanup(caller.close)
        return caller

    def accept(self) -> Any:
        with eventlet.Timeout(WAIT_S):
            accepted, _ = self.listener.accept()
        self.addCleanup(accepted.close)
        # A green socket closes its descriptor when it is collected, so it is referenced.
        self.accepted.append(accepted)
        return accepted

    def fail_first(self, numbers: tuple[int, ...]) -> Any:
        """Let the first calls of accept raise these errors."""
        errors = [OSError(number, "injected") for number in numbers]
        accept = self.plain.accept

        def raise_or_accept() -> Any:
            if errors:
                raise errors.pop(0)
            return accept()

        return mock.patch.object(self.plain, "accept", raise_or_accept)

    def test_listener_survives_connection_errors_and_shortages(self) -> None:
        for number in TRANSIENT_ERRORS:
            with self.subTest(errno.errorcode[number]), self.fail_first((number,)):
                # Without free descriptors, one waiting connection is refused.
                short = number in (errno.EMFILE, errno.ENFILE)
                refused = self.call() if short else None
                if refused is not None:
                    self.assertEqual(self.answer_refused(refused), b"")
                    continue
                caller = self.call()
                self.assertEqual(self.accept().getpeername(), caller.getsockname())

    def answer_refused(self, caller: GreenSocket) -> bytes:
        """Accept while the first connection is refused; return what its caller reads."""
        task = eventlet.spawn(self.accept)
        data = caller.recv(1)
        second = self.call()
        self.assertEqual(task.wait().getpeername(), second.getsockname())
        return data

    def test_listener_survives_unexpected_exceptions(self) -> None:
        accept = self.plain.accept
        faults = [MemoryError("out of memory"), ValueError("unexpected")]

        def raise_or_accept() -> Any:
            if faults:
                raise faults.pop(0)
            return accept()

        with mock.patch.object(self.plain, "accept", raise_or_accept):
            caller = self.call()
            self.assertEqual(self.accept().getpeername(), caller.getsockname())

    def test_error_of_the_listener_itself_is_raised(self) -> None:
        for number in LISTENER_GONE:
            with self.subTest(errno.errorcode[number]), self.fail_first((number,)):
                self.assertRaises(OSError, self.accept)

    def test_closed_listener_raises(self) -> None:
        self.listener.close()
        self.assertRaises(OSError, self.accept)

    def test_connection_above_the_limit_is_closed_at_once(self) -> None:
        places = [self.pool.spawn(eventlet.sleep, WAIT_S) for _ in range(2)]
        caller = self.call()
        task = eventlet.spawn(self.accept)
        with self.assertLogs("ruddersaddle_serving.caller_listeners", "WARNING"):
            self.assertEqual(caller.recv(1), b"")
        places[0].kill()
        second = self.call()
        self.assertEqual(task.wait().getpeername(), second.getsockname())
        places[1].kill()

    def test_log_lines_are_rate_limited(self) -> None:
        with (
            self.fail_first((errno.ENOBUFS,) * 5),
            self.assertLogs("ruddersaddle_serving.caller_listeners", "WARNING") as found,
        ):
            self.call()
            self.accept()
        self.assertEqual(len(found.output), 1)

    def test_accepted_sockets_are_plain_green_sockets(self) -> None:
        caller = self.call()
        accepted = self.accept()
        self.assertIs(type(accepted), GreenSocket)
        accepted.sendall(b"x")
        self.assertEqual(caller.recv(1), b"x")
        self.assertEqual(accepted.family, socket.AF_INET)


if __name__ == "__main__":
    unittest.main()
