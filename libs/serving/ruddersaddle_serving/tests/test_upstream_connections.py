"""Tests of connections that are reused between requests."""

import eventlet

eventlet.monkey_patch()

# The library's sockets have to be green, as in the program.
import itertools  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402
from unittest import mock  # noqa: E402

from ruddersaddle_base import clocks  # noqa: E402
from ruddersaddle_base.answer_framings import Framing  # noqa: E402
from ruddersaddle_base.failures import Failure, Ran  # noqa: E402
from ruddersaddle_base.ids import RequestId  # noqa: E402
from ruddersaddle_base.strict_answers import INTERIM_HEADS_MAX, TRAILERS_MAX  # noqa: E402

from ruddersaddle_serving import upstream_connections  # noqa: E402
from ruddersaddle_serving.ports import AnswerHead  # noqa: E402
from ruddersaddle_serving.run_statements import RunStatement  # noqa: E402
from ruddersaddle_serving.socket_liveness import LIVENESS_OPTIONS  # noqa: E402
from ruddersaddle_serving.upstream_connections import (  # noqa: E402
    Exchange,
    UpstreamConnections,
)

DRAIN_S = 0.05

_numbers = itertools.count(1)


def next_id() -> RequestId:
    """Return an id that no request has had."""
    return RequestId(f"r-{next(_numbers)}")


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
        exchange = self.pool.open_exchange(next_id())
        self.assertIsInstance(exchange, Exchange)
        eventlet.sleep(0.02)
        self.pool.release(exchange.connection, None)
        return exchange

    def test_released_connection_is_reused(self) -> None:
        released = self.release_one()
        self.assertIs(self.pool.open_exchange(next_id()).connection, released.connection)

    def test_id_sent_again_gets_a_connection_that_has_not_carried_it(self) -> None:
        """A late answer to the first sending passed for the answer to the second one."""
        again = next_id()
        first = self.pool.open_exchange(again)
        self.pool.release(first.connection, None)
        second = self.pool.open_exchange(again)
        self.assertIsNot(second.connection, first.connection)
        self.pool.release(second.connection, None)
        # Engines with an idle connection are preferred: one engine got all sendings of an id.
        self.assertFalse(self.pool.has_idle_for(again))
        self.assertTrue(self.pool.has_idle_for(next_id()))
        self.assertNotIn(
            self.pool.open_exchange(again).connection, (first.connection, second.connection)
        )
        # Connections that were passed over stay in order for other ids.
        taken = [self.pool.open_exchange(next_id()).connection for _ in range(2)]
        self.assertEqual(taken, [second.connection, first.connection])

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
        taken = self.pool.open_exchange(next_id())
        maintenance.wait()
        self.assertIs(taken.connection, released.connection)
        self.assertIsNot(self.pool.open_exchange(next_id()).connection, released.connection)

    def test_connection_with_unread_bytes_is_not_reused(self) -> None:
        released = self.release_one()
        self.accepted[0].sendall(b"late answer")
        eventlet.sleep(0.02)
        self.assertIsNot(self.pool.open_exchange(next_id()).connection, released.connection)

    def test_connection_closed_by_the_upstream_is_not_reused(self) -> None:
        released = self.release_one()
        self.accepted[0].close()
        eventlet.sleep(0.02)
        self.assertIsNot(self.pool.open_exchange(next_id()).connection, released.connection)


class RejectedConnectionsTest(unittest.TestCase):
    """An upstream that resets new connections, as it has too many open ones."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.is_full = True
        task = eventlet.spawn(self.accept)
        self.addCleanup(task.kill)
        self.pool = UpstreamConnections(f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.addCleanup(self.pool.close)
        self.kept: list[socket.socket] = []

    def accept(self) -> None:
        while True:
            accepted, _ = self.listener.accept()
            if self.is_full:
                accepted.close()
            else:
                self.kept.append(accepted)

    def test_nothing_is_sent_of_a_request_that_may_run_once(self) -> None:
        failure = self.pool.open_exchange(next_id(), is_repeatable=False)
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.ran, Ran.NOT_RUN)
        self.is_full = False
        self.assertIsInstance(self.pool.open_exchange(next_id(), is_repeatable=False), Exchange)

    def test_repeatable_requests_wait_only_after_a_connection_was_rejected(self) -> None:
        exchange = self.pool.open_exchange(next_id())
        self.assertIsInstance(exchange, Exchange)
        exchange.send("GET", "/", b"", {}, 1.0)
        self.assertIsInstance(exchange.read_head(mock.Mock()), Failure)
        exchange.finish()
        failure = self.pool.open_exchange(next_id())
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.ran, Ran.NOT_RUN)
        with mock.patch.object(upstream_connections, "REJECTIONS_REMEMBERED_S", 0.0):
            self.assertIsInstance(self.pool.open_exchange(next_id()), Exchange)


ANY_HEAD = AnswerHead(200, None, False, RunStatement.NONE, None, None, None, False, ())


class AnswersTest(unittest.TestCase):
    """Answers that an upstream sends in two parts before it closes its connection."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.parts: tuple[bytes, ...] = ()
        self.keeps_open = False
        self.connections: list[socket.socket] = []
        self.addCleanup(lambda: [each.close() for each in self.connections])
        task = eventlet.spawn(self.serve)
        self.addCleanup(task.kill)
        self.pool = UpstreamConnections(f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.addCleanup(self.pool.close)

    def serve(self) -> None:
        while True:
            connection, _ = self.listener.accept()
            connection.recv(65536)
            for part in self.parts:
                connection.sendall(part)
                eventlet.sleep(0.001)
            if not self.keeps_open:
                connection.close()
            self.connections.append(connection)

    def read(self, *parts: bytes) -> tuple[Framing, bytes | Failure]:
        """Return an answer's framing, and its body or the failure to read it."""
        self.parts = parts
        exchange = self.pool.open_exchange(next_id())
        self.assertIsInstance(exchange, Exchange)
        exchange.send("GET", "/", b"", {}, 1.0)
        head = exchange.read_head(mock.Mock(read_answer=lambda status, headers: ANY_HEAD))
        body = exchange.read_all(65536)
        exchange.finish()
        self.pool.close()
        return head.framing, body

    def test_answer_whose_head_is_cut_is_never_whole(self) -> None:
        """The library takes the end of the connection for the end of the head."""
        for status in (b"200 OK", b"204 No Content", b"404 Not Found"):
            head = b"HTTP/1.1 %s\r\nContent-Length: 0\r\nX-More: some\r\n\r\n" % status
            for size in range(len(head)):
                with self.subTest(head=head[:size]):
                    self.parts = (head[:size],)
                    exchange = self.pool.open_exchange(next_id())
                    exchange.send("GET", "/", b"", {}, 1.0)
                    wire = mock.Mock(read_answer=lambda status, headers: ANY_HEAD)
                    self.assertIsInstance(exchange.read_head(wire), Failure)
                    self.assertTrue(exchange.is_broken)
                    exchange.finish()

    def test_coding_that_the_library_does_not_read_as_chunks_is_invalid(self) -> None:
        for framing in (b"Transfer-Encoding: chunked ", b"Content-Length: " + b"9" * 5000):
            found, _ = self.read(b"HTTP/1.1 200 OK\r\n%s\r\n\r\na\r\n01234" % framing)
            self.assertIs(found, Framing.INVALID)

    def test_delimited_answer_that_is_cut_anywhere_is_never_whole(self) -> None:
        """A chunk of size 0a that was cut after its first digit looked like the last chunk."""
        chunks = b"a\r\n0123456789\r\n0a;x=0\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n"
        whole_at = len(chunks) - len(b"\r\n")
        for headers, body, complete_size in (
            (b"Content-Length: 30", b"0123456789" * 3, 30),
            (b"Transfer-Encoding: chunked", chunks, whole_at),
        ):
            for version in (b"1.1", b"1.0"):
                head = b"HTTP/%s 200 OK\r\n%s\r\n\r\n" % (version, headers)
                for read_bytes in (1, 7, 65536):
                    with mock.patch.object(upstream_connections, "READ_BYTES", read_bytes):
                        for size in range(complete_size):
                            with self.subTest(headers=headers, size=size, read=read_bytes):
                                framing, read = self.read(head, body[:size])
                                self.assertIs(framing, Framing.DELIMITED)
                                self.assertIsInstance(read, Failure)
                        self.assertNotIsInstance(self.read(head, body)[1], Failure)

    def test_answer_whose_length_is_unclear_is_not_taken_for_delimited(self) -> None:
        """The library ignored such a length, or read to a length that the codings overrule."""
        for headers in (
            b"Content-Length: abc",
            b"Content-Length: -4",
            b"Content-Length: +4",
            b"Content-Length:",
            b"Content-Length: 4, 4",
            b"Content-Length: 4\r\nContent-Length: 4",
            b"Content-Length: 4\r\nTransfer-Encoding: gzip, chunked",
            b"Content-Length: 4\r\nTransfer-Encoding: identity",
            b"Transfer-Encoding: gzip, chunked",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            b"Transfer-Encoding: chunked, chunked",
            b"Transfer-Encoding: gzip",
            b"Transfer-Encoding:",
        ):
            with self.subTest(headers=headers):
                framing, _ = self.read(b"HTTP/1.1 200 OK\r\n%s\r\n\r\n" % headers, b"data")
                self.assertIs(framing, Framing.INVALID)

    def test_lengths_that_contradict_each_other_are_an_invalid_head(self) -> None:
        self.parts = (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",)
        exchange = self.pool.open_exchange(next_id())
        exchange.send("GET", "/", b"", {}, 1.0)
        self.assertIsInstance(exchange.read_head(mock.Mock()), Failure)
        self.assertEqual((exchange.has_invalid_head, exchange.is_broken), (True, False))

    def test_chunks_decide_if_a_length_is_given_as_well(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: Chunked\r\n\r\n"
        self.assertEqual(self.read(head, b"4\r\ndata\r\n0\r\n\r\n"), (Framing.DELIMITED, b"data"))
        self.assertIsInstance(self.read(head, b"4\r\nda")[1], Failure)

    def test_body_ends_at_its_length(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        self.assertEqual(self.read(head + b"data and more"), (Framing.DELIMITED, b"data"))

    def test_connection_of_an_answer_that_was_broken_off_is_not_reused(self) -> None:
        """A stream whose chunks end inside an event; its rest may follow on the connection."""
        self.keeps_open = True
        head = AnswerHead(200, None, False, RunStatement.NONE, None, None, None, False, ())
        self.parts = (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata",)
        for is_broken_off in (False, True):
            with self.subTest(is_broken_off=is_broken_off):
                exchange = self.pool.open_exchange(next_id())
                exchange.send("GET", "/", b"", {}, 1.0)
                exchange.read_head(mock.Mock(read_answer=lambda status, headers: head))
                self.assertEqual(exchange.read_all(65536), b"data")
                if is_broken_off:
                    self.assertIsInstance(exchange.break_off("inside an event"), Failure)
                exchange.finish()
                self.assertEqual(self.pool.has_idle, not is_broken_off)
                self.pool.close()

    def read_status(self, answer: bytes) -> tuple[int | Failure, bytes | Failure | None, bool]:
        """Return an answer's status, its body, and whether its connection counts as lost."""
        self.parts = (answer,)
        exchange = self.pool.open_exchange(next_id())
        exchange.send("GET", "/", b"", {}, 1.0)
        head = exchange.read_head(mock.Mock(read_answer=lambda status, headers: ANY_HEAD))
        body = None if isinstance(head, Failure) else exchange.read_all(65536)
        exchange.finish()
        self.pool.close()
        status = head if isinstance(head, Failure) else exchange.raw.status
        return status, body, exchange.is_broken

    def test_interim_answer_is_taken_for_the_final_one(self) -> None:
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata"
        for status in (100, 102, 103, 199):
            interim = b"HTTP/1.1 %d Go on\r\nLink: </a>\r\n\r\n" % status
            for count in (1, 2, INTERIM_HEADS_MAX):
                with self.subTest(status=status, count=count):
                    found = self.read_status(interim * count + final)
                    self.assertEqual(found, (200, b"data", False))
            found, _, is_broken = self.read_status(interim * (INTERIM_HEADS_MAX + 1) + final)
            self.assertIsInstance(found, Failure)
            self.assertFalse(is_broken)
        found, _, is_broken = self.read_status(b"HTTP/1.1 101 Other\r\n\r\n" + final)
        self.assertIsInstance(found, Failure)
        self.assertFalse(is_broken)

    def test_trailers_without_end_are_read(self) -> None:
        """Those within the bounds are skipped, and may be cut, as the body is complete."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n"
        lines = b"X-A: b\r\n" * TRAILERS_MAX
        for trailers in (b"\r\n", lines + b"\r\n", lines[:-3], b""):
            with self.subTest(trailers=trailers):
                self.assertEqual(self.read_status(head + trailers), (200, b"data", False))
        long_line = b"X-A: " + b"b" * 65000 + b"\r\n"
        for trailers in (lines + b"X-A: b\r\n\r\n", long_line * 5 + b"\r\n"):
            status, body, is_broken = self.read_status(head + trailers)
            self.assertEqual((status, is_broken), (200, False))
            self.assertIsInstance(body, Failure)

    def test_head_of_any_length_is_read(self) -> None:
        line = b"X-A: " + b"b" * 65000 + b"\r\n"
        for count, is_read in ((3, True), (5, False)):
            found = self.read_status(b"HTTP/1.1 204 No Content\r\n" + line * count + b"\r\n")
            self.assertEqual((found[0] == 204, found[2]), (is_read, False))

    def test_part_without_end_counts_as_a_lost_connection(self) -> None:
        """Requests whose answers had too long a head were suspected of crashing upstreams."""
        ok = b"HTTP/1.1 200 OK\r\n"
        for answer in (
            b"HTTP/1.1 200 " + b"x" * 70000,
            ok + b"X-A: b\r\n" * 101,
            ok + b"X-A: " + b"b" * 70000,
            ok + b"Transfer-Encoding: chunked\r\n\r\n" + b"0" * 70000,
        ):
            with self.subTest(answer=answer[:40]):
                status, body, is_broken = self.read_status(answer)
                self.assertTrue(isinstance(status, Failure) or isinstance(body, Failure))
                self.assertFalse(is_broken)

    def test_body_that_is_drained_takes_longer_than_allowed(self) -> None:
        """Only what ends within the bounds leaves a connection that can be reused."""
        self.keeps_open = True
        head = AnswerHead(200, None, False, RunStatement.NONE, None, None, None, False, ())
        length = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
        cases = (
            ((length, b"x" * 50, b"x" * 50), 100, True),
            ((length, b"x" * 50, b"x" * 50), 99, False),
            ((length, b"x" * 50), 100, False),
            ((b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 50), 100, False),
        )
        for parts, bytes_max, is_kept in cases:
            with self.subTest(parts=parts, bytes_max=bytes_max):
                self.parts = parts
                exchange = self.pool.open_exchange(next_id())
                exchange.send("GET", "/", b"", {}, 1.0)
                exchange.read_head(mock.Mock(read_answer=lambda status, headers: head))
                began = clocks.now_s()
                failure = exchange.drain(bytes_max, DRAIN_S)
                self.assertLess(clocks.now_s() - began, 10 * DRAIN_S)
                self.assertEqual((failure is None, exchange.is_broken), (is_kept, False))
                exchange.finish()
                self.assertEqual(self.pool.has_idle, is_kept)
                self.pool.close()

    def test_connection_remembers_a_bounded_number_of_ids(self) -> None:
        self.keeps_open = True
        self.parts = (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",)
        head = AnswerHead(200, None, False, RunStatement.NONE, None, None, None, False, ())
        exchange = self.pool.open_exchange(next_id())
        for _ in range(upstream_connections.REQUESTS_MAX - 1):
            exchange.connection.record_carried(next_id())
        exchange.send("GET", "/", b"", {}, 1.0)
        exchange.read_head(mock.Mock(read_answer=lambda status, headers: head))
        self.assertEqual(exchange.read_all(65536), b"")
        exchange.finish()
        self.assertFalse(self.pool.has_idle)

    def test_answers_without_bodies_are_delimited(self) -> None:
        for status in (b"204 No Content", b"304 Not Modified"):
            framing, body = self.read(b"HTTP/1.1 %s\r\n\r\n" % status)
            self.assertEqual((framing, body), (Framing.DELIMITED, b""))


if __name__ == "__main__":
    unittest.main()
