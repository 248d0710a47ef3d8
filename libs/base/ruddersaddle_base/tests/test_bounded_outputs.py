"""Tests of the rate-limited, non-blocking log handler and text stream."""

import logging
import os
import time
import unittest
from unittest import mock

from ruddersaddle_base.bounded_outputs import (
    BURST_LINES,
    LINES_PER_S,
    WARNING_RESERVE,
    BoundedHandler,
    BoundedStream,
)


def make_record(text: str) -> logging.LogRecord:
    return logging.makeLogRecord({"msg": text})


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.now = 100.0
        patch = mock.patch.object(time, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.handler = BoundedHandler(writer)

    def test_flood_is_bounded_and_reported(self) -> None:
        for number in range(2000):
            self.handler.emit(make_record(f"line {number}"))
        self.assertEqual(self.handler.dropped, 2000 - BURST_LINES)
        self.now += 10.0
        self.handler.emit(make_record("after"))
        lines = os.read(self.reader, 1 << 20).decode().splitlines()
        dropped = int(2000 - BURST_LINES)
        self.assertEqual(lines[-2:], ["after", f"log: {dropped} lines were dropped."])

    def test_warnings_have_a_reserve_in_a_flood(self) -> None:
        for _ in range(2000):
            self.handler.emit(make_record("x"))
        warning = logging.makeLogRecord({"msg": "why", "levelno": logging.WARNING})
        for _ in range(2 * WARNING_RESERVE):
            self.handler.emit(warning)
        lines = os.read(self.reader, 1 << 20).decode().splitlines()
        self.assertEqual(lines.count("why"), WARNING_RESERVE)
        self.assertEqual(self.handler.dropped_total, 2000 - BURST_LINES + WARNING_RESERVE)

    def test_total_of_dropped_lines_never_falls(self) -> None:
        for _ in range(2000):
            self.handler.emit(make_record("x"))
        self.now += 10.0
        self.handler.emit(make_record("after"))
        self.assertEqual(self.handler.dropped, 0)
        self.assertEqual(self.handler.dropped_total, 2000 - BURST_LINES)

    def test_allowance_refills_over_time(self) -> None:
        for _ in range(2000):
            self.handler.emit(make_record("x"))
        self.handler.dropped = 0
        self.now += 1.0
        for _ in range(1000):
            self.handler.emit(make_record("x"))
        self.assertEqual(self.handler.dropped, 1000 - LINES_PER_S)

    def test_stopped_reader_does_not_block(self) -> None:
        self.now += 1.0
        for _ in range(20):
            self.handler.emit(make_record("x" * 10_000))
        self.assertGreater(self.handler.dropped, 0)

    def test_partly_written_line_is_finished_before_the_next(self) -> None:
        """A pipe accepts what fits; the next line must not be appended to half of the last one."""
        for _ in range(20):
            self.handler.emit(make_record("x" * 10_000))
        pending = os.read(self.reader, 1 << 20)
        self.handler.emit(make_record("after"))
        lines = (pending + os.read(self.reader, 1 << 20)).decode().splitlines()
        self.assertEqual({len(line) for line in lines[:-1]}, {10_000})
        self.assertEqual(lines[-1], "after")
        self.assertEqual(len(lines) - 1 + self.handler.dropped, 20)


class BoundedStreamTest(unittest.TestCase):
    def test_text_that_nobody_reads_is_dropped(self) -> None:
        reader, writer = os.pipe()
        stream = BoundedStream(writer)
        for _ in range(100):
            print("x" * 10_000, file=stream)
        self.assertGreater(stream.dropped_total, 0)
        os.close(reader)
        print("nobody", file=stream)
        os.close(writer)
        print("closed", file=stream)

    def test_text_that_is_read_arrives_complete(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        print("a trace", file=BoundedStream(writer))
        self.assertEqual(os.read(reader, 100), b"a trace\n")


if __name__ == "__main__":
    unittest.main()
