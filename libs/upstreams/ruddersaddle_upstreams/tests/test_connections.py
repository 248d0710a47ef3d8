"""Tests of answers that were cut, or whose framing is malformed."""

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from ruddersaddle_base.failures import Failure, Ran

from ruddersaddle_upstreams import connections
from ruddersaddle_upstreams.connections import Connections, Reply

CHUNKED = b"Transfer-Encoding: chunked"


class ConnectionsTest(unittest.TestCase):
    """An upstream that sends `answer` and closes its connection."""

    def setUp(self) -> None:
        self.answer = b""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.addCleanup(self.listener.shutdown, socket.SHUT_RDWR)
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                with connection:
                    connection.recv(65536)
                    connection.sendall(self.answer)

    def call(self, body: bytes, headers: bytes = CHUNKED) -> Reply | Failure:
        return self.call_for(b"HTTP/1.1 200 OK\r\n%s\r\n\r\n%s" % (headers, body))

    def call_for(self, answer: bytes) -> Reply | Failure:
        """Return what a call makes of an answer."""
        self.answer = answer
        connections = Connections(f"127.0.0.1:{self.listener.getsockname()[1]}", 1.0, 2.0)
        try:
            return connections.call("GET", "/")
        finally:
            connections.close()

    def test_chunked_answer_that_is_cut_anywhere_is_never_whole(self) -> None:
        """A chunk of size 0a that was cut after its first digit looked like the last chunk."""
        body = b"a\r\n0123456789\r\n0a;x=0\r\n0123456789\r\n0\r\n\r\n"
        for size in range(len(body) - len(b"\r\n")):
            with self.subTest(size=size):
                self.assertIsInstance(self.call(body[:size]), Failure)
        self.assertEqual(self.call(body).body, b"0123456789" * 2)

    def test_answer_that_is_shorter_than_its_length_is_never_whole(self) -> None:
        for size in range(4):
            with self.subTest(size=size):
                self.assertIsInstance(self.call(b"data"[:size], b"Content-Length: 4"), Failure)
        self.assertEqual(self.call(b"data", b"Content-Length: 4").body, b"data")

    def test_answer_whose_end_is_not_stated_clearly_is_never_whole(self) -> None:
        """The library takes gzip, chunked for chunks, and reads until the connection ends."""
        for headers in (
            b"Connection: close",
            b"Transfer-Encoding: gzip, chunked",
            b"Transfer-Encoding: gzip, chunked\r\nContent-Length: 4",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            b"Transfer-Encoding: gzip",
            b"Content-Length: 4, 4",
            b"Content-Length: 4\r\nContent-Length: 4",
            b"Content-Length: -4",
            b"Content-Length: x",
        ):
            with self.subTest(headers=headers):
                self.assertIsInstance(self.call(b"data", headers), Failure)

    def test_malformed_sizes_of_chunks_are_failures(self) -> None:
        """The library read them as Python does integers: 0x0 and -0 passed for the last chunk."""
        for size in (b"-1", b"+1", b"0x1", b"1_0", b"", b"-0", b"0x0"):
            with self.subTest(size=size):
                self.assertIsInstance(self.call(size + b"\r\nx\r\n0\r\n\r\n"), Failure)

    def test_answer_whose_head_is_cut_is_never_whole(self) -> None:
        for status in (b"200 OK", b"204 No Content", b"404 Not Found"):
            head = b"HTTP/1.1 %s\r\nContent-Length: 0\r\nX-More: some\r\n\r\n" % status
            for size in range(len(head)):
                with self.subTest(head=head[:size]):
                    self.assertIsInstance(self.call_for(head[:size]), Failure)

    def test_answer_whose_framing_is_stated_wrongly_is_never_whole(self) -> None:
        for framing in (
            b"Transfer-Encoding: chunked ",
            b"Transfer-Encoding: gzip, chunked",
            b"Transfer-Encoding: gzip, chunked\r\nContent-Length: 100",
            b"Content-Length: " + b"9" * 5000,
        ):
            with self.subTest(framing=framing[:60]):
                answer = b"HTTP/1.1 200 OK\r\n%s\r\n\r\na\r\n01234" % framing
                self.assertIsInstance(self.call_for(answer), Failure)


HEAD = b"HTTP/1.1 200 OK\r\n"
SLOW_S = 0.05
WHOLE_S = 0.6
BYTES_MAX = 100_000
ENDLESS_S = 3.0
"""After this an answer ends after all, so that the test does if it was waited for."""


class EndlessAnswersTest(unittest.TestCase):
    """An upstream that sends `begin`, then `more` again and again, with or without pauses."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.addCleanup(self.listener.shutdown, socket.SHUT_RDWR)
        self.is_over = threading.Event()
        self.addCleanup(self.is_over.set)
        self.was_closed = threading.Event()

    def serve(self, begin: bytes, more: bytes, pause_s: float) -> None:
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(65536)
            try:
                connection.sendall(begin)
                until = time.monotonic() + ENDLESS_S
                while time.monotonic() < until and not self.is_over.wait(pause_s):
                    connection.sendall(more)
            except OSError:
                self.was_closed.set()

    def test_answers_without_end_are_failures_within_a_time_and_a_size(self) -> None:
        """The time-out was that of each read, and all that came was kept."""
        for begin, more in (
            (b"", b"x"),
            (HEAD, b"X-More: some\r\n"),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (HEAD + b"Content-Length: 999999999\r\n\r\n", b"x" * 4000),
            (HEAD + CHUNKED + b"\r\n\r\n", b"fa0\r\n" + b"x" * 4000 + b"\r\n"),
            (HEAD + CHUNKED + b"\r\n\r\n", b"0"),
            (HEAD + CHUNKED + b"\r\n\r\n1\r\nx\r\n", b";"),
            (HEAD + CHUNKED + b"\r\n\r\n0\r\n", b"X-More: some\r\n"),
            (HEAD + b"\r\n", b"x"),
        ):
            for pause_s in (0.0, SLOW_S):
                with self.subTest(begin=begin, more=more[:20], pause_s=pause_s):
                    self.check(begin, more, pause_s)

    def check(self, begin: bytes, more: bytes, pause_s: float) -> None:
        self.was_closed.clear()
        server = threading.Thread(target=self.serve, args=(begin, more, pause_s), daemon=True)
        server.start()
        address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        client = Connections(address, 1.0, 1.0, whole_s=WHOLE_S)
        began_at = time.monotonic()
        reply = client.call("POST", "/", bytes_max=BYTES_MAX)
        elapsed_s = time.monotonic() - began_at
        self.assertIsInstance(reply, Failure)
        self.assertIs(reply.ran, Ran.UNKNOWN)
        self.assertLess(elapsed_s, WHOLE_S + 0.4)
        self.assertTrue(self.was_closed.wait(3.0))
        server.join()

    def test_answer_is_read_up_to_its_limit(self) -> None:
        for size, is_read in ((BYTES_MAX, True), (BYTES_MAX + 1, False)):
            begin = HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
            server = threading.Thread(target=self.serve, args=(begin, b"", 0.01), daemon=True)
            server.start()
            address = f"127.0.0.1:{self.listener.getsockname()[1]}"
            reply = Connections(address, 1.0, 1.0).call("GET", "/", bytes_max=BYTES_MAX)
            self.assertEqual(isinstance(reply, Reply), is_read)

    def test_other_tasks_run_while_an_answer_comes_as_fast_as_it_is_read(self) -> None:
        """A green socket yields only if nothing has arrived: the whole program stood still."""
        pauses: list[float] = []
        with mock.patch.object(connections.time, "sleep", pauses.append):
            begin = HEAD + b"Content-Length: 999999999\r\n\r\n"
            with mock.patch.object(connections, "READ_BYTES", 1000):
                self.check(begin, b"x" * 60_000, 0.0)
        self.assertIn(0, pauses)


if __name__ == "__main__":
    unittest.main()
