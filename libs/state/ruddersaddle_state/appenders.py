"""A task for each stream that appends pending records in batches, one append at a time."""

import logging
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event as Signal
from ruddersaddle_base.failures import Failure, Ran
from ruddersaddle_base.ids import RecordId
from ruddersaddle_base.tasks import spawn_forever

from ruddersaddle_state.log_clients import LogClient
from ruddersaddle_state.records import BATCH_MAX, Batch, Record, Stream

logger = logging.getLogger(__name__)

DOWN_AFTER_S = 1.0
"""Once appends have failed for this long, in seconds, callers get an error at once."""


PROBE_S = 0.5
"""While appends fail, an empty append is tried at this interval, in seconds, to detect recovery."""

NotAppendedCallback = Callable[[RecordId], None]


class PendingAppend(NamedTuple):
    """A record to be appended, and the callback for the case that it cannot have been appended."""

    record: Record
    on_not_appended: NotAppendedCallback | None


class Appender:
    """Group commit on one stream: at most one append per round trip to the log."""

    def __init__(self, client: LogClient, stream: Stream, batching: bool = True) -> None:
        self.client = client
        self.stream = stream
        self.batch_max = BATCH_MAX if batching else 1
        self.appends = 0
        self.records = 0
        self.failing_since: float | None = None
        self._pending: deque[PendingAppend] = deque()
        self._wake: Signal = Signal()

    def start(self) -> None:
        """Start the task."""
        spawn_forever(f"{self.stream.value} appender", self._run)

    @property
    def down(self) -> bool:
        """Whether appends have been failing for `DOWN_AFTER_S`."""
        if self.failing_since is None:
            return False
        return time.monotonic() - self.failing_since >= DOWN_AFTER_S

    def post(self, record: Record, on_not_appended: NotAppendedCallback | None = None) -> None:
        """Append a record together with others that are pending; its result is read from the log.

        `on_not_appended` is called only if the append cannot have taken effect.
        """
        self._pending.append(PendingAppend(record, on_not_appended))
        self._signal_work()

    def withdraw(self, record: Record) -> None:
        """Drop a record that is still pending; one in flight may be appended."""
        remaining = [each for each in self._pending if each.record is not record]
        self._pending = deque(remaining)

    def _signal_work(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def _run(self) -> None:
        while True:
            if not self._await_work():
                self._append_batch()
            while self._pending:
                self._append_batch()

    def _await_work(self) -> bool:
        """Wait for records; return False when it is time to probe a failing log."""
        pause_s = None if self.failing_since is None else PROBE_S
        with eventlet.Timeout(pause_s, False):
            self._wake.wait()
        if not self._wake.ready():
            return False
        self._wake = Signal()
        return True

    def _append_batch(self) -> None:
        count = min(self.batch_max, len(self._pending))
        pending = [self._pending.popleft() for _ in range(count)]
        batch = Batch(tuple(each.record for each in pending))
        reply = self.client.append(self.stream, batch)
        self.appends += 1
        self.records += count
        self._track_failure(reply)
        if isinstance(reply, Failure) and reply.ran is Ran.NOT_RUN:
            _notify_not_appended(pending)

    def _track_failure(self, reply: int | Failure) -> None:
        if not isinstance(reply, Failure):
            self.failing_since = None
        elif self.failing_since is None:
            logger.warning("Append to %s failed. %s", self.stream.value, reply.detail)
            self.failing_since = time.monotonic()


def _notify_not_appended(pending: list[PendingAppend]) -> None:
    for each in pending:
        if each.on_not_appended is not None:
            each.on_not_appended(each.record.id)
