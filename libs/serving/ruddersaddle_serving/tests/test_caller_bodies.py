"""Tests of reading bodies: callers that send as fast as they are read, and chunks."""

import io
import unittest
import unittest.mock
from random import Random

import eventlet
from eventlet.hubs import get_hub
from eventlet.wsgi import Input
from ruddersaddle_base.failures import Code, Failure

from ruddersaddle_serving.caller_bodies import (
    CHUNK_WORK_BYTES,
    FRAMING_BYTES_MIN,
    SKIPPED_BYTES_MAX,
    SLICE_BYTES,
    TURN_BYTES,
    CallerInput,
)
from ruddersaddle_serving.caller_budgets import (
    CONNECTION_BYTES,
    SMALL_BODY_BYTES,
    CallerBudget,
    Holding,
    NoRoomError,
    Phase,
)

BODY_BYTES_MAX = 1 << 20
WAIT_S = 5.0
SEED = 93


class FakeConnection:
    """A connection that stays open."""

    def close_if_idle(self) -> bool:
        """Stay open."""
        return False

    def interrupt(self, holding: Holding) -> None:
        """Stay open."""

    def abort(self) -> None:
        """Stay open."""


class FastRaw(io.RawIOBase):
    """Bytes that have all arrived; at most `at_once` of them are read at once."""

    def __init__(self, data: bytes, at_once: int) -> None:
        super().__init__()
        self._file = io.BytesIO(data)
        self._at_once = at_once

    def readable(self) -> bool:
        """Return that it can be read."""
        return True

    def readinto(self, buffer: memoryview) -> int:
        """Read some bytes."""
        return self._file.readinto(memoryview(buffer)[: self._at_once])


def in_chunks(body: bytes, sizes: list[int]) -> bytes:
    """Return a body in chunks of some sizes, again and again."""
    parts, at, number = [], 0, 0
    while at < len(body):
        piece = body[at : at + sizes[number % len(sizes)]]
        parts.append(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
        at += len(piece)
        number += 1
    return b"".join(parts) + b"0\r\n\r\n"


class CallerBodiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = CallerBudget(16 * BODY_BYTES_MAX, 100)
        self.left = 0

    def source(
        self, data: bytes, length: int | None = None, at_once: int = SLICE_BYTES
    ) -> CallerInput:
        """Return the input of a request; its body is in chunks unless it has a length."""
        file = io.BufferedReader(FastRaw(data, at_once))
        source = Input(file, length, None, chunked_input=length is None)
        holding = self.budget.open(FakeConnection())
        return CallerInput(source, holding, WAIT_S, self.leave_rest)

    def leave_rest(self) -> None:
        """Record that the rest of a request is left unread."""
        self.left += 1

    def read(self, source: CallerInput) -> bytes | Failure:
        """Read a body."""
        return source.read_whole(BODY_BYTES_MAX, WAIT_S)

    def count_rounds(self, sources: list[CallerInput]) -> int:
        """Read bodies side by side; return how often another task had its turn meanwhile."""
        rounds = 0
        readers = [eventlet.spawn(self.read, each) for each in sources]

        def run() -> None:
            nonlocal rounds
            while True:
                rounds += 1
                eventlet.sleep(0)

        other = eventlet.spawn(run)
        for reader in readers:
            self.assertIsInstance(reader.wait(), bytes)
        other.kill()
        for each in sources:
            each.holding.close()
        return rounds

    def test_callers_that_send_as_fast_as_they_are_read_keep_others_waiting(self) -> None:
        body = b"x" * (BODY_BYTES_MAX // 2)
        work = {1: len(body) * CHUNK_WORK_BYTES, SLICE_BYTES: len(body)}
        for size, work_bytes in work.items():
            for count in (1, 5):
                with self.subTest(chunk=size, callers=count):
                    data = in_chunks(body, [size])
                    rounds = self.count_rounds([self.source(data) for _ in range(count)])
                    # However many callers there are, there is a turn for each piece of their work.
                    self.assertGreaterEqual(rounds, count * work_bytes // (2 * TURN_BYTES))

    def test_body_with_a_length_keeps_others_waiting(self) -> None:
        body = b"x" * BODY_BYTES_MAX
        rounds = self.count_rounds([self.source(body, len(body)) for _ in range(3)])
        self.assertGreaterEqual(rounds, 3 * BODY_BYTES_MAX // (2 * TURN_BYTES))

    def test_chunks_that_arrive_in_any_pieces_are_read_wrongly(self) -> None:
        rng = Random(SEED)
        for _ in range(200):
            body = rng.randbytes(rng.choice((0, 1, 100, 9000, 70_000)))
            sizes = [rng.choice((1, 2, 7, 8190, 8192, 30_000)) for _ in range(4)]
            following = b"GET / HTTP/1.1\r\n"
            data = in_chunks(body, sizes) + following
            source = self.source(data, at_once=rng.choice((1, 3, 100, 8192, SLICE_BYTES)))
            with self.subTest(body=len(body), sizes=sizes):
                self.assertEqual(self.read(source), body)
                self.assertEqual(source.rfile.read(), following)
                self.assertEqual(source.holding.phase, Phase.RUNNING)
            source.holding.close()

    def test_framing_without_end_is_read(self) -> None:
        line = b"1;" + b"e" * 4000 + b"\r\nx\r\n"
        count = (FRAMING_BYTES_MIN + 16 * BODY_BYTES_MAX) // len(line) + 2
        refusal = self.read(self.source(line * count))
        self.assertIsInstance(refusal, Failure)
        self.assertIs(refusal.code, Code.BAD_REQUEST)

    def test_body_over_the_limit_is_read_on(self) -> None:
        source = self.source(in_chunks(b"x" * (2 * BODY_BYTES_MAX), [SLICE_BYTES]))
        refusal = self.read(source)
        self.assertIs(refusal.code, Code.TOO_LARGE)
        self.assertLess(source.rfile.raw._file.tell(), BODY_BYTES_MAX + 2 * SLICE_BYTES)

    def test_room_is_kept_for_more_than_the_body(self) -> None:
        for size in (10, SMALL_BODY_BYTES + 1):
            source = self.source(in_chunks(b"x" * size, [1000]))
            self.assertIsInstance(self.read(source), bytes)
            holding = source.holding
            self.assertLessEqual(holding.bytes, CONNECTION_BYTES + SMALL_BODY_BYTES + size)
            holding.end_request()
            self.assertEqual(holding.bytes, CONNECTION_BYTES)

    def test_request_that_gives_way_is_refused_without_a_promise(self) -> None:
        source = self.source(b"1\r\n")
        reader = eventlet.spawn(self.read, source)
        with unittest.mock.patch.object(FastRaw, "readinto", lambda *_: eventlet.sleep(WAIT_S)):
            eventlet.sleep(0)
            source.holding.close()
            get_hub().schedule_call_global(0, reader.throw, NoRoomError())
            refusal = reader.wait()
        self.assertIs(refusal.code, Code.OVERLOADED)
        self.assertGreater(refusal.retry_after_s, 0.0)

    def test_unread_rest_of_a_body_is_taken_for_the_next_request(self) -> None:
        following = b"GET / HTTP/1.1\r\n"
        short = in_chunks(b"x" * 100, [10])
        rows = (
            (self.source(short + following), 0),
            (self.source(b"x" * 100 + following, 100), 0),
            (self.source(b"0" * SKIPPED_BYTES_MAX), 1),
            (self.source(in_chunks(b"x" * (2 * SKIPPED_BYTES_MAX), [1000])), 1),
            (self.source(b"x", 2 * SKIPPED_BYTES_MAX), 1),
        )
        for source, left in rows:
            with self.subTest(length=source.content_length, left=left):
                self.left = 0
                source.discard()
                self.assertEqual(self.left, left)
                if not left:
                    self.assertEqual(source.rfile.read(), following)


if __name__ == "__main__":
    unittest.main()
