"""Tasks that run in virtual time, one step after the other."""

import heapq
import itertools
from collections.abc import Callable

import greenlet
from eventlet.hubs import get_hub

from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest


class VirtualSchedule:
    """Runs tasks by the clock of a test, which it moves on."""

    def __init__(self, test: FixedClockTest) -> None:
        self.test = test
        self.violations: list[str] = []
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()
        self._hub = greenlet.getcurrent()
        # Created here, so that it isn't created by a task of this class.
        get_hub()

    def spawn(self, run: Callable[..., object], *arguments: object) -> None:
        """Run a task."""
        self.spawn_after(0.0, run, *arguments)

    def spawn_after(self, delay_s: float, run: Callable[..., object], *arguments: object) -> None:
        """Run a task after a delay."""
        task = greenlet.greenlet(lambda: run(*arguments), self._hub)
        self._push(delay_s, task.switch)

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass for the running task."""
        self._push(seconds, greenlet.getcurrent().switch)
        self._hub.switch()

    def _push(self, delay_s: float, switch: Callable[[], object]) -> None:
        heapq.heappush(self._queue, (self.test.now + delay_s, next(self._numbers), switch))

    def run(self, seconds: float) -> None:
        """Run all tasks for some seconds, and check after each step."""
        until = self.test.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.test.now, _, switch = heapq.heappop(self._queue)
            switch()
            self.check()

    def check(self) -> None:
        """Check what must hold after each step."""
        raise NotImplementedError
