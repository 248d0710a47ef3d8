"""Turns of tasks that read from callers who send as fast as they are read.

A green socket lets other tasks run only while nothing has arrived. A task that reads what is there
already takes a turn from time to time: however many such callers there are, the event loop does a
piece of work for one of them, then goes once through all other tasks.
"""

import eventlet
from eventlet.semaphore import Semaphore


class ReadTurns:
    """Lets one reading task at a time go on."""

    def __init__(self) -> None:
        self._turn = Semaphore(1)

    def take(self) -> None:
        """Wait until it is this task's turn, and all other tasks have had theirs."""
        with self._turn:
            eventlet.sleep(0)


TURNS = ReadTurns()
"""The turns of this process."""
