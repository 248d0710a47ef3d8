"""Test program: peers come and go while finalizers of cyclic garbage write log lines."""

import gc
import logging
import sys
from collections.abc import Iterator

from ruddersaddle_serving.tests.peer_churns import SWITCH_S, churn

# The import above patches the standard library for eventlet; the imports below rely on it.

# isort: split
import eventlet
from eventlet import patcher
from ruddersaddle_base.loggers import start_logging

from ruddersaddle_serving.garbage_collections import start_collecting
from ruddersaddle_serving.peers import limit_threads

logger = logging.getLogger(__name__)
get_thread = patcher.original("_thread").get_ident
"""Returns the id of the OS thread; the patched function returns that of the green thread."""


class CyclicGarbage:
    """Garbage that only the cyclic collector finds, since it refers to itself."""

    def __init__(self) -> None:
        self.reference = self
        self.task = self._run()
        next(self.task)

    def _run(self) -> Iterator[None]:
        try:
            yield
        finally:
            logger.info("Ended by the collector.")


def create_garbage() -> None:
    """Create garbage and write log lines continuously."""
    while True:
        CyclicGarbage()
        logger.info("A line.")
        eventlet.sleep(0)


def main(ports: list[str]) -> None:
    """Let peers come and go; print how many collections ran on other threads than this one."""
    own = get_thread()
    foreign: list[str] = []
    gc.callbacks.append(lambda phase, _: get_thread() == own or foreign.append(phase))
    start_logging("INFO", "host-1")
    limit_threads()
    start_collecting()
    sys.setswitchinterval(SWITCH_S)
    eventlet.spawn(create_garbage)
    churn(ports)
    print(f"done, {len(foreign)} elsewhere", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
