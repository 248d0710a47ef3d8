"""Tests that heads which can be read in two ways are refused at the own interface, too."""

import unittest
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.green import socket
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.tests.malformed_heads import BOTH, CHUNKS, CODINGS, FIELDS, LENGTHS, LINES
from ruddersaddle_serving.caller_budgets import CallerBudget
from ruddersaddle_serving.limited_applications import LimitedApplication
from ruddersaddle_serving.routes import CallerLimits

from ruddersaddle.bodies import read_body
from ruddersaddle.caller_connections import serve

AFTER_LINE = "Host: api.example\r\nConnection: close\r\n"
HEAD = f"POST /c/x HTTP/1.1\r\n{AFTER_LINE}"
KEPT = "GET /c/kept HTTP/1.1\r\nHost: api.example\r\n\r\n"
REFUSALS = ([b"400"], [b"413"], [b"505"])


class MalformedHeadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ran: list[tuple[str, str, bytes]] = []
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.address = listener.getsockname()
        application = LimitedApplication(self.answer, CallerLimits(idle_timeout_s=2.0))
        self.faults = application.head_faults
        server = eventlet.spawn(serve, listener, application, CallerBudget(1 << 20, 10))
        self.addCleanup(server.kill)

    def answer(self, environ: dict[str, Any], start: Callable) -> list[bytes]:
        body = read_body(environ, 10_000, 2.0)
        if isinstance(body, Failure):
            start("400 Bad Request", [("Content-Length", "0"), ("Connection", "close")])
            return [b""]
        self.ran.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], body))
        start("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def send(self, request: str) -> bytes:
        """Send a request and return what is received until the close."""
        with socket.create_connection(self.address) as connection:
            connection.sendall(request.encode("latin-1"))
            connection.shutdown(socket.SHUT_WR)
            received = b""
            while data := connection.recv(65536):
                received += data
            return received

    def assert_refused(self, request: str, section: str, kept: str = "") -> None:
        with self.subTest(request=request[:120], section=section, kept=bool(kept)):
            self.ran.clear()
            answer = self.send(kept + request)
            statuses = [each.split(b" ")[:1] for each in answer.split(b"HTTP/1.1 ")[1:]]
            self.assertIn(statuses.pop(), REFUSALS, answer)
            self.assertEqual(statuses, [[b"200"]] if kept else [], answer)
            self.assertEqual(self.ran, [("GET", "/c/kept", b"")] if kept else [])

    def test_head_that_can_be_read_in_two_ways_smuggles_a_request(self) -> None:
        requests = [
            (HEAD + rest, section)
            for rest, section in (*CODINGS, *LENGTHS, *BOTH, *FIELDS, *CHUNKS)
        ]
        requests += [(f"{line}\r\n{AFTER_LINE}\r\n", section) for line, section in LINES]
        self.assertGreaterEqual(len(requests), 150)
        for request, section in requests:
            self.assert_refused(request, section)
            self.assert_refused(request, section, KEPT)
        self.assertLessEqual({"framing", "field", "host", "request_line"}, set(self.faults))

    def test_body_with_either_framing_is_read(self) -> None:
        chunks = "Transfer-Encoding:\t chunked \t\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
        for body in ("Content-Length: 5\r\n\r\nhello", chunks):
            with self.subTest(body=body):
                self.assertIn(b"200 OK", self.send(HEAD + body))
                self.assertEqual(self.ran.pop(), ("POST", "/c/x", b"hello"))


if __name__ == "__main__":
    unittest.main()
