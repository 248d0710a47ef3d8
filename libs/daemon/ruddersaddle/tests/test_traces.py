"""Tests of traces: recording, reading back, and errors with their line."""

import tempfile
import unittest
from pathlib import Path

from ruddersaddle.commands import summarize_trace
from ruddersaddle.traces import (
    WORKSPACE_KEY,
    Arrival,
    ExpectedOutcome,
    Fault,
    Recorder,
    read_trace,
    write_trace,
)


class TraceTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(Path(folder.name) / "trace.jsonl")

    def test_requests_are_recorded_without_their_text_or_key(self):
        recorder = Recorder(self.path)

        def application(environ, _start):
            if environ["PATH_INFO"] != "/healthz":
                environ[WORKSPACE_KEY] = "clinic"
            return [b"answer"]

        wrapped = recorder.wrap(application)
        wrapped({"PATH_INFO": "/healthz"}, None)
        environ = {
            "PATH_INFO": "/v1/completions",
            "CONTENT_LENGTH": "400",
            "HTTP_PRIORITY_CLASS": "urgent",
            "HTTP_AUTHORIZATION": "Bearer secret",
        }
        self.assertEqual(wrapped(environ, None), [b"answer"])
        recorder.close()
        (line,) = read_trace(self.path)
        found = (line.workspace, line.path, line.group, line.prompt_tokens)
        self.assertEqual(found, ("clinic", "/v1/completions", "urgent", 100))
        self.assertNotIn("secret", Path(self.path).read_text())

    def test_what_is_written_is_read_back(self):
        lines = [
            Arrival(1.0, "w", "/booking/slot", key="k"),
            Fault(2.0, "kill", "engine-1"),
            ExpectedOutcome("cut_streams", 0, 0),
        ]
        write_trace(self.path, lines)
        self.assertEqual(read_trace(self.path), lines)
        summary = summarize_trace(lines)
        self.assertEqual((summary.arrivals, summary.faults, summary.seconds), (1, 1, 2.0))

    def test_a_wrong_line_is_named(self):
        Path(self.path).write_text('{"type":"stated","name":"x","lowest":0,"highest":1}\n{}\n')
        self.assertTrue(read_trace(self.path).peer.endswith(":2"))


if __name__ == "__main__":
    unittest.main()
