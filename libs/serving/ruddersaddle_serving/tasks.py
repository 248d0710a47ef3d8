"""Background tasks that run for the life of the process."""

import logging
from collections.abc import Callable
from typing import Any

import eventlet

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0
"""Pause before a failed task is restarted."""


def spawn_forever(name: str, function: Callable[..., Any], *args: Any) -> None:
    """Run a function that does not return; if it raises, log the exception and restart it."""
    eventlet.spawn(_run, name, function, args)


def _run(name: str, function: Callable[..., Any], args: tuple[Any, ...]) -> None:
    while True:
        try:
            function(*args)
        except Exception:
            logger.exception("Task %s failed for a fault of this program.", name)
        else:
            logger.info("Task %s has ended.", name)
            return
        eventlet.sleep(RESTART_DELAY_S)
