"""Tests of logs and standard error under eventlet's monkey patching, in a child process.

Signal handlers and timers run inside the event loop, so nothing there may block. A child process
is needed because the patches can't be undone. Tracebacks that the loop itself writes must not end
it: with a pipe without a reader as standard error, the write fails inside the loop.
"""

import os
import subprocess
import sys
import unittest

CHILD_S = 15.0
HEAD = """
import os, signal, sys
import ruddersaddle_base
import eventlet
eventlet.monkey_patch()
import logging
from ruddersaddle_base.bounded_outputs import BoundedHandler
from ruddersaddle_base.loggers import start_logging
"""
FAILING_TASKS = """
start_logging("INFO", "host-1", BoundedHandler(1))
def fail():
    raise ValueError("x" * 1000)
for _ in range(200):
    eventlet.spawn(fail)
    eventlet.sleep(0)
eventlet.sleep(0.05)
os._exit(7)
"""
"""Writes more tracebacks than a pipe holds (64 KB)."""
LINES_IN_THE_LOOP = """
from eventlet.hubs import get_hub
start_logging("INFO", "host-1", BoundedHandler(1))
logger = logging.getLogger("child")
others = []
def other():
    while True:
        others.append(1)
        eventlet.sleep(0)
def write(*_):
    before = len(others)
    for number in range(100):
        logger.info("Line %d.", number)
    if len(others) == before:
        done.append(1)
done = []
eventlet.spawn(other)
signal.signal(signal.SIGTERM, write)
get_hub().schedule_call_global(0, write)
get_hub().schedule_call_global(0.05, os.kill, os.getpid(), signal.SIGTERM)
get_hub().schedule_call_global(0.1, write)
eventlet.sleep(0.3)
os._exit(len(done))
"""
"""Timers and a signal handler write lines while another task is always ready to run."""


class GreenLogsTest(unittest.TestCase):
    def run_child(self, code: str, output: int, errors: int) -> int:
        """Return the exit status of a child process."""
        command = [sys.executable, "-c", HEAD + code]
        child = subprocess.Popen(command, stdout=output, stderr=errors)
        try:
            return child.wait(CHILD_S)
        finally:
            child.kill()
            child.wait()

    def make_pipe(self, *, closed: bool) -> int:
        """Return the write end of a pipe that nobody reads."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        if closed:
            os.close(reader)
        else:
            self.addCleanup(os.close, reader)
        return writer

    def test_failing_tasks_do_not_end_the_loop_when_nobody_reads_their_tracebacks(self) -> None:
        for closed in (True, False):
            with self.subTest(closed=closed):
                errors = self.make_pipe(closed=closed)
                self.assertEqual(self.run_child(FAILING_TASKS, subprocess.DEVNULL, errors), 7)

    def test_failing_tasks_with_both_outputs_on_one_pipe(self) -> None:
        both = self.make_pipe(closed=False)
        self.assertEqual(self.run_child(FAILING_TASKS, both, both), 7)

    def test_log_line_from_inside_the_loop_does_not_yield_to_other_tasks(self) -> None:
        for closed in (True, False):
            with self.subTest(closed=closed):
                output = self.make_pipe(closed=closed)
                self.assertEqual(self.run_child(LINES_IN_THE_LOOP, output, subprocess.DEVNULL), 3)


if __name__ == "__main__":
    unittest.main()
