"""Tests of background tasks that run for the life of the process."""

import unittest
from unittest import mock

import eventlet
from eventlet.event import Event

from ruddersaddle_serving import tasks


class SpawnForeverTest(unittest.TestCase):
    def test_exception_is_logged_and_the_task_restarted(self) -> None:
        done = Event()
        calls = []

        def work(argument: str) -> None:
            calls.append(argument)
            if len(calls) == 1:
                raise KeyError("first")
            done.send(True)

        with (
            mock.patch.object(tasks, "RESTART_DELAY_S", 0.0),
            self.assertLogs(tasks.logger) as logs,
        ):
            tasks.spawn_forever("work", work, "x")
            with eventlet.Timeout(5):
                done.wait()
        self.assertEqual(calls, ["x", "x"])
        self.assertIn("Task work failed for a fault of this program.", logs.output[0])


if __name__ == "__main__":
    unittest.main()
