"""Tasks that run as long as the process does."""

import logging
from collections.abc import Callable
from typing import Any

import eventlet

logger = logging.getLogger(__name__)

AGAIN_S = 1.0
"""Pause before a task that failed is begun again."""


def spawn_forever(name: str, function: Callable[..., Any], *args: Any) -> None:
    """Run a function that has no end; a fault in it is logged, and it is begun again."""
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
        eventlet.sleep(AGAIN_S)
