"""Tests of background tasks that run for the life of the process."""

import unittest
from collections.abc import Callable
from unittest import mock

import eventlet
import eventlet.green.socket
from eventlet.event import Event
from eventlet.hubs import get_hub

from ruddersaddle_base import tasks


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

    def test_time_out_that_escapes_does_not_end_the_task(self) -> None:
        """Time-outs of the event loop are no subclass of `Exception`."""
        done = Event()
        calls = []

        def work() -> None:
            calls.append(len(calls))
            if len(calls) == 1:
                raise eventlet.Timeout(60.0)
            done.send(True)

        with mock.patch.object(tasks, "RESTART_DELAY_S", 0.0), self.assertLogs(tasks.logger):
            tasks.spawn_forever("late work", work)
            with eventlet.Timeout(5):
                done.wait()
        self.assertEqual(calls, [0, 1])

    def test_task_that_keeps_failing_is_counted_and_logged_ever_less_often(self) -> None:
        done = Event()
        remaining = [None] * 20

        def work() -> None:
            if remaining:
                remaining.pop()
                raise ValueError("again")
            done.send(True)

        with (
            mock.patch.object(tasks, "RESTART_DELAY_S", 0.0),
            self.assertLogs(tasks.logger) as logs,
        ):
            tasks.spawn_forever("failing work", work)
            with eventlet.Timeout(5):
                done.wait()
        health = tasks.HEALTHS.by_name["failing work"]
        self.assertEqual((health.failures, health.consecutive), (20, 20))
        self.assertTrue(health.is_failing)
        failures = [each.failures for each in logs.records if each.levelname == "ERROR"]
        self.assertEqual(failures, [1, 2, 4, 8, 16])

    def test_recovered_task_counts_anew(self) -> None:
        health = tasks.TaskHealth()
        with mock.patch.object(tasks.clocks, "now_s") as now_s:
            now_s.return_value = 100.0
            health.record_failure()
            now_s.return_value = 103.0
            health.record_failure()
            self.assertEqual((health.consecutive, health.failing_s), (2, 3.0))
            now_s.return_value = 110.0
            self.assertEqual(health.failing_s, 0.0)
            health.record_failure()
        self.assertEqual((health.failures, health.consecutive), (3, 1))


class UnhandledExceptionsTest(unittest.TestCase):
    def setUp(self) -> None:
        hub = get_hub()
        for name in ("squelch_timer_exception", "squelch_exception"):
            self.addCleanup(hub.__dict__.pop, name, None)
        tasks.log_unhandled_exceptions()

    def fail(self, wait: Callable[[], object]) -> None:
        wait()
        raise KeyError("unhandled")

    def test_task_that_ends_after_a_pause_is_logged(self) -> None:
        before = tasks.HEALTHS.unhandled
        with self.assertLogs(tasks.logger) as logs:
            eventlet.spawn(self.fail, lambda: eventlet.sleep(0))
            eventlet.sleep(0.01)
        self.assertIn("KeyError: 'unhandled'", logs.output[0])
        self.assertEqual(tasks.HEALTHS.unhandled, before + 1)

    def test_task_that_ends_as_its_socket_is_read_is_logged_and_the_loop_goes_on(self) -> None:
        ours, theirs = eventlet.green.socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        with self.assertLogs(tasks.logger) as logs:
            eventlet.spawn(self.fail, lambda: ours.recv(1))
            eventlet.sleep(0)
            theirs.send(b"x")
            eventlet.sleep(0.01)
        self.assertIn("KeyError: 'unhandled'", logs.output[0])
        with eventlet.Timeout(5):
            theirs.send(b"y")
            self.assertEqual(ours.recv(1), b"y")


class PauseTest(unittest.TestCase):
    def test_pauses_never_exceed_what_was_asked_for(self) -> None:
        """Else views that are confirmed by asking again would grow older."""
        for step in range(40):
            now = 1000.0 + step * 0.013
            with (
                mock.patch.object(tasks.clocks, "now_s", lambda now=now: now),
                mock.patch.object(tasks.eventlet, "sleep"),
            ):
                for seconds in (0.05, 0.2, 1.0):
                    self.assertLessEqual(tasks.pause(seconds), seconds + 1e-6)
                    self.assertGreater(tasks.pause(seconds), seconds - tasks.TICK_S - 1e-6)
                self.assertGreaterEqual(tasks.until_tick_s(3.0), 3.0 - 1e-6)


if __name__ == "__main__":
    unittest.main()
