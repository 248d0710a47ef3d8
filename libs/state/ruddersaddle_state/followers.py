"""A task for each stream that reads the log, folds its records, and wakes tasks waiting for one."""

import logging
import time
from typing import Protocol

import eventlet
from eventlet.event import Event as Signal
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import Position, RecordId, join_position, split_offset
from ruddersaddle_base.tasks import contain, spawn_forever

from ruddersaddle_state.log_clients import LogClient
from ruddersaddle_state.records import PositionedRecord, RecordResult, Stream

logger = logging.getLogger(__name__)

READ_WAIT_S = 1.0
"""Longest wait of one read for new records, in seconds."""
RETRY_S = 0.2
"""Pause after a failed read, in seconds."""


class Fold(Protocol):
    """What a follower requires of a fold."""

    position: Position

    def begin(self, first: Position, gap: bool) -> None:
        """Start reading at `first`; a gap means that earlier records are no longer in the log."""

    def apply(self, positioned: PositionedRecord) -> RecordResult:
        """Fold one record."""


class Follower:
    """Follows one stream; `reached_end` is set once it has caught up with the log."""

    def __init__(self, client: LogClient, stream: Stream, fold: Fold) -> None:
        self.client = client
        self.stream = stream
        self.fold = fold
        self.begun = False
        self.reached_end = False
        self.reachable = False
        self.read_at = 0.0
        self.next_offset = 0
        self._signal_by_id: dict[RecordId, Signal] = {}

    def start(self) -> None:
        """Start the task."""
        spawn_forever(f"{self.stream.value} follower", self._run)

    def _run(self) -> None:
        while True:
            wait_s = READ_WAIT_S if self.reached_end and self.reachable else 0.0
            if not self.read_once(wait_s):
                eventlet.sleep(RETRY_S)

    def read_once(self, wait_s: float) -> bool:
        """Read and fold one page; return whether the log answered."""
        start = max(self.next_offset, split_offset(self.fold.position) + 1)
        page = self.client.read(self.stream, start, wait_s)
        if isinstance(page, Failure):
            self._mark_unreachable(page)
            return False
        gap = page.first > start
        if gap or not self.begun:
            self.fold.begin(join_position(max(page.first, start), 0), gap)
            self.begun = True
        for positioned in page.records:
            self._fold(positioned)
        self.next_offset = max(self.next_offset, page.next)
        self.read_at = time.monotonic()
        self.reachable = True
        if not page.records:
            self.reached_end = True
        return True

    def read_to_end(self) -> bool:
        """Read until the log has nothing newer; return whether all reads succeeded."""
        before = -1
        while before != self.next_offset:
            before = self.next_offset
            if not self.read_once(0.0):
                return False
        return True

    def _mark_unreachable(self, failure: Failure) -> None:
        if self.reachable:
            logger.warning("Stream %s is unreachable. %s", self.stream.value, failure.detail)
        self.reachable = False

    def _fold(self, positioned: PositionedRecord) -> None:
        result = None
        # A record that raises does so on all hosts, for which it then counts for nothing.
        with contain(f"{self.stream.value} fold"):
            result = self.fold.apply(positioned)
        signal = self._signal_by_id.get(positioned.record.id)
        if signal is not None and not signal.ready():
            signal.send(result)

    def expect(self, record: RecordId) -> None:
        """Prepare to wait for a record; call this before appending it."""
        self._signal_by_id[record] = Signal()

    def wait(self, record: RecordId, timeout_s: float) -> RecordResult | None:
        """Wait for the result of an expected record; None if it was not read in time."""
        signal = self._signal_by_id.get(record)
        if signal is None:
            return None
        with eventlet.Timeout(timeout_s, False):
            return signal.wait()
        return None

    def cancel_wait(self, record: RecordId) -> None:
        """Wake tasks waiting for a record that cannot have been appended."""
        signal = self._signal_by_id.get(record)
        if signal is not None and not signal.ready():
            signal.send(None)

    def forget(self, record: RecordId) -> None:
        """Stop waiting for a record."""
        self._signal_by_id.pop(record, None)
