"""Applies series of messages with sums of load, of which each omits unchanged rows.

A message that follows the last one confirms all rows of its series. After a lost message, rows
count as confirmed again only once they have been sent again, and the sender is asked for a complete
message. A row that nobody confirms expires after `liveness.REPORT_TTL_S`.
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.engine_loads import Confirmation
from ruddersaddle_serving.trackers import Tracker

NO_SERIES = 0
"""Series of messages from hosts of earlier versions, which carry all rows."""


class Row(Protocol):
    """The row of one upstream instance."""

    upstream: UpstreamId
    born_ms: int | None


class Series(Protocol):
    """The sender of a message and its place in the sender's series.

    The first `changed` of its rows are new, the others are sent again.
    """

    address: str
    series: int
    number: int
    changed: int | None
    is_complete: bool


class ReceivedRow(msgspec.Struct, frozen=True):
    """A row, and when it was received, by the boot-time clock."""

    row: Row
    at: float


class SumSource:
    """What was received of one series of sums."""

    def __init__(self) -> None:
        self.confirmation = Confirmation()
        """When the rows that hold were last confirmed; shared by all of them."""
        self.address = ""
        """The sender of the latest message."""
        self.needs_complete = False
        """Whether a message was missed, and no complete one has arrived since."""
        self._series = NO_SERIES
        self._number = 0
        self._row_by_id: dict[UpstreamId, ReceivedRow] = {}
        """The latest row of each upstream that was received since the last missed message."""
        self._unapplied_by_id: dict[UpstreamId, ReceivedRow] = {}
        """Those that were not applied yet; upstreams or instances may not be known here."""
        self._tracker_by_id: dict[UpstreamId, Tracker] = {}
        """The tracker that the row of an upstream was applied to."""

    def accept(self, message: Series, rows: Sequence[Row], now: float) -> bool:
        """Record a message; return False if a later one of its series has arrived before."""
        is_same = message.series == self._series != NO_SERIES
        if is_same and message.number <= self._number:
            return False
        if not is_same or message.number != self._number + 1:
            self._forget_rows()
        if message.is_complete:
            self.needs_complete = False
        self.address = message.address
        self._series, self._number = message.series, message.number
        self.confirmation.at = now
        changed = len(rows) if message.changed is None else message.changed
        for position, row in enumerate(rows):
            if position < changed or row.upstream not in self._row_by_id:
                self._row_by_id[row.upstream] = self._unapplied_by_id[row.upstream] = ReceivedRow(
                    row, now
                )
        return True

    def _forget_rows(self) -> None:
        """Let the rows that are known expire, unless they are sent again."""
        self.confirmation = Confirmation()
        self.needs_complete = True
        self._row_by_id.clear()
        self._unapplied_by_id.clear()
        self._tracker_by_id.clear()

    def take_unapplied(
        self, trackers: dict[UpstreamId, Tracker]
    ) -> list[tuple[Tracker, ReceivedRow]]:
        """Return the rows to apply now, with the trackers of their upstreams."""
        found = []
        for upstream, received in self._unapplied_by_id.items():
            tracker = trackers.get(upstream)
            if tracker is not None and tracker.entry.born_ms == received.row.born_ms:
                found.append((tracker, received))
        for tracker, _ in found:
            del self._unapplied_by_id[tracker.id]
            self._tracker_by_id[tracker.id] = tracker
        return found

    def record_created(self, tracker: Tracker) -> None:
        """Record that an upstream has a new tracker, to which its row was not applied."""
        received = self._row_by_id.get(tracker.id)
        if received is not None:
            self._unapplied_by_id[tracker.id] = received

    def applied_row(self, tracker: Tracker) -> Row | None:
        """Return the row that was applied to a tracker; None if there is none."""
        if self._tracker_by_id.get(tracker.id) is not tracker:
            return None
        return self._row_by_id[tracker.id].row
