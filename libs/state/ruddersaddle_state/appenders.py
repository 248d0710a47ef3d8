"""A task for each stream that appends what waits as one batch, one append in flight at a time."""

import logging
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event as Signal
from ruddersaddle_base.failures import Failure, Ran
from ruddersaddle_base.ids import RecordId

from ruddersaddle_state.log_clients import LogClient
from ruddersaddle_state.records import BATCH_MAX, Batch, Record, Stream

logger = logging.getLogger(__name__)

DOWN_AFTER_S = 1.0
"""Once appends have failed for this long, callers are told so at once, in seconds."""


PROBE_S = 0.5
"""While appends fail, an empty one is tried this often, in seconds, so that the end is noticed."""

GiveUp = Callable[[RecordId], None]


class Waiting(NamedTuple):
    """A record that waits for its append, and whom to tell if it can't have landed."""

    record: Record
    give_up: GiveUp | None


class Appender:
    """Group commit on one stream: the rate of appends is bounded by one over the latency."""

    def __init__(self, client: LogClient, stream: Stream, gathers: bool = True) -> None:
        self.client = client
        self.stream = stream
        self.batch_max = BATCH_MAX if gathers else 1
        self.appends = 0
        self.records = 0
        self.failing_since: float | None = None
        self._waiting: deque[Waiting] = deque()
        self._wake: Signal = Signal()

    def start(self) -> None:
        """Start the task."""
        eventlet.spawn(self._run)

    @property
    def down(self) -> bool:
        """Whether appends have been failing for a while."""
        if self.failing_since is None:
            return False
        return time.monotonic() - self.failing_since >= DOWN_AFTER_S

    def post(self, record: Record, give_up: GiveUp | None = None) -> None:
        """Append a record with whatever else waits; its result is learned by reading it back.

        `give_up` is called if the append can't have taken effect, and only then.
        """
        self._waiting.append(Waiting(record, give_up))
        self._wake_up()

    def withdraw(self, record: Record) -> None:
        """Drop a record that still waits; one that is on its way may land."""
        kept = [each for each in self._waiting if each.record is not record]
        self._waiting = deque(kept)

    def _wake_up(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def _run(self) -> None:
        while True:
            if not self._await_work():
                self._append_batch()
            while self._waiting:
                self._append_batch()

    def _await_work(self) -> bool:
        """Wait for records; return False when it is time to probe a log that fails."""
        pause_s = None if self.failing_since is None else PROBE_S
        with eventlet.Timeout(pause_s, False):
            self._wake.wait()
        if not self._wake.ready():
            return False
        self._wake = Signal()
        return True

    def _append_batch(self) -> None:
        count = min(self.batch_max, len(self._waiting))
        taken = [self._waiting.popleft() for _ in range(count)]
        batch = Batch(tuple(each.record for each in taken))
        reply = self.client.append(self.stream, batch)
        self.appends += 1
        self.records += count
        self._note(reply)
        if isinstance(reply, Failure) and reply.ran is Ran.NOT_RUN:
            _give_up(taken)

    def _note(self, reply: int | Failure) -> None:
        if not isinstance(reply, Failure):
            self.failing_since = None
        elif self.failing_since is None:
            logger.warning("Append to %s failed. %s", self.stream.value, reply.detail)
            self.failing_since = time.monotonic()


def _give_up(taken: list[Waiting]) -> None:
    for each in taken:
        if each.give_up is not None:
            each.give_up(each.record.id)
