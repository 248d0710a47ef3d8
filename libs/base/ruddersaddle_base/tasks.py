"""Background tasks, their pauses, and what becomes of exceptions that they don't handle."""

import logging
import math
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Any

import eventlet
import msgspec
from eventlet.hubs import get_hub

from ruddersaddle_base import clocks

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0
"""Pause before a failed task is restarted."""
RECOVERED_S = 5.0
"""A task that has run for this long since its last restart has recovered."""
TICK_S = 0.1
"""Interval of the ticks at which pauses end. Waking a process costs more than most tasks do then,
so that tasks that wake together cost less."""
_phase_s = random.random() * TICK_S
"""Offset of this process' ticks: hosts that start together don't ask others at the same moment."""

ExceptionInfo = tuple[type[BaseException], BaseException, TracebackType | None]
"""What `sys.exc_info` returns."""


class TaskHealth(msgspec.Struct):
    """Failures of a restarted task, or of a contained step of one, by the boot-time clock."""

    failures: int = 0
    """Number of failures since the process started."""
    consecutive: int = 0
    """Number of the last failures without a recovery in between."""
    failing_since: float = math.inf
    """When the first of these failed."""
    failed_at: float = -math.inf

    @property
    def is_failing(self) -> bool:
        """Whether the task has not recovered from its last failure."""
        return clocks.now_s() - self.failed_at <= RESTART_DELAY_S + RECOVERED_S

    @property
    def failing_s(self) -> float:
        """For how long the task has been failing, in seconds; 0 if it isn't."""
        return clocks.now_s() - self.failing_since if self.is_failing else 0.0

    def record_failure(self) -> None:
        """Count a failure."""
        now = clocks.now_s()
        if not self.is_failing:
            self.consecutive = 0
            self.failing_since = now
        self.failures += 1
        self.consecutive += 1
        self.failed_at = now


class TaskHealths:
    """The failures of all tasks and contained steps of this process, by their names."""

    def __init__(self) -> None:
        self.by_name: dict[str, TaskHealth] = {}
        self.unhandled = 0
        """Number of exceptions that ended a task that isn't restarted."""

    def record_failure(self, name: str) -> TaskHealth:
        """Count the failure of a restarted task or of a contained step."""
        health = self.by_name.setdefault(name, TaskHealth())
        health.record_failure()
        return health


HEALTHS = TaskHealths()
"""Tasks and contained steps share one space of names, which the metrics page shows."""


def until_tick_s(seconds: float) -> float:
    """Return the time until the first tick that is at least `seconds` away."""
    now = clocks.now_s()
    return math.ceil((now + seconds - _phase_s) / TICK_S) * TICK_S + _phase_s - now


def pause(seconds: float) -> float:
    """Sleep until the last tick within `seconds`, which is at most one tick earlier.

    Return the length of the pause as intended, in seconds.
    """
    pause_s = until_tick_s(seconds - TICK_S) if seconds > TICK_S else seconds
    eventlet.sleep(pause_s)
    return pause_s


def spawn_forever(name: str, function: Callable[..., Any], *args: Any) -> None:
    """Run a function that does not return; if it raises, log the exception and restart it."""
    eventlet.spawn(_run, name, function, args)


def _run(name: str, function: Callable[..., Any], args: tuple[Any, ...]) -> None:
    while True:
        try:
            function(*args)
        except (Exception, eventlet.Timeout):
            _log_failure(name, HEALTHS.record_failure(name))
        else:
            logger.info("Task %s has ended.", name)
            return
        eventlet.sleep(RESTART_DELAY_S)


@contextmanager
def contain(name: str) -> Iterator[None]:
    """Log and count an exception of one step of a task, so that its other steps go on."""
    try:
        yield
    except Exception:
        _log_failure(name, HEALTHS.record_failure(name))


def _log_failure(name: str, health: TaskHealth) -> None:
    """Log the exception being handled, and less often the longer the task has been failing."""
    if health.consecutive & (health.consecutive - 1):
        return
    fields = {"failures": health.consecutive, "failing_s": round(health.failing_s, 1)}
    logger.exception("Task %s failed for a fault of this program.", name, extra=fields)


def log_unhandled_exceptions() -> None:
    """Log and count each exception that ends a task of the event loop.

    The event loop prints them as plain text, without a time or a level.
    """
    hub = get_hub()

    def log_and_remove(descriptor: int, info: ExceptionInfo) -> None:
        _log_unhandled(info)
        # The same as the replaced method: its task no longer reads from the descriptor.
        hub.remove_descriptor(descriptor)

    hub.squelch_timer_exception = lambda _, info: _log_unhandled(info)
    hub.squelch_exception = log_and_remove


def _log_unhandled(info: ExceptionInfo) -> None:
    HEALTHS.unhandled += 1
    logger.error("A task ended for a fault of this program.", exc_info=info)
