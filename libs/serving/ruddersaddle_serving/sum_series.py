"""Chooses which rows of a hall's loads go into the next message of a series.

Most rows are the same from one message to the next, and summing, encoding, decoding and applying
them was the largest part of what a host cost. A message therefore carries the rows that changed,
and each other row once in `REFRESH_S`. Messages are numbered, so that a receiver knows whether it
has missed one (see `sum_sources`).
"""

import secrets
from typing import Protocol

import msgspec
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.trackers import Tracker

REFRESH_S = 0.4
"""Each row is sent at least this often. Hosts of earlier versions don't know that an omitted row is
unchanged: for them it expires after `liveness.REPORT_TTL_S`, so that they may miss one message."""
SERIES_BITS = 48


class Row(Protocol):
    """The row of one upstream."""

    is_changing: bool
    """Whether it has values that change all the time, such as a failure rate."""


class SentRow(msgspec.Struct):
    """The row last summed up of an upstream, and what decides whether it still holds."""

    row: Row
    summed_at: float
    """When it was summed up, by the boot-time clock."""
    tracker: Tracker
    stable_until: float
    """When the row changes by the passing of time alone."""
    is_replaced: bool
    born_ms: int | None

    def holds(self, tracker: Tracker, now: float) -> bool:
        """Return whether the row is still that of a tracker, if nothing was reported since."""
        return (
            self.tracker is tracker
            and now < self.stable_until
            and not self.row.is_changing
            and self.is_replaced == tracker.is_replaced
            and self.born_ms == tracker.entry.born_ms
        )


class RowSelection(msgspec.Struct, frozen=True):
    """The upstreams of one message: those whose rows changed, and those that are refreshed."""

    changed: list[Tracker]
    refreshed: list[Tracker]
    is_complete: bool
    """Whether these are all upstreams."""


class SumSeries:
    """One series of messages with sums, to any number of receivers."""

    def __init__(self) -> None:
        self.touched: set[UpstreamId] = set()
        """Upstreams of which something was reported since the last message."""
        self.restart()

    def restart(self) -> None:
        """Begin a new series, whose first message is complete."""
        self.id = 1 + secrets.randbits(SERIES_BITS)
        self.number = 0
        """Number of messages so far."""
        self.needs_complete = True
        """Whether the next message has to carry all rows."""
        self._sent_by_id: dict[UpstreamId, SentRow] = {}
        self._changing: set[UpstreamId] = set()
        """Upstreams whose rows change all the time."""
        self._unstable: set[UpstreamId] = set()
        """Upstreams whose rows will change by the passing of time."""
        self._refresh_at = float("-inf")
        self._had_changes = False

    def select(self, trackers: dict[UpstreamId, Tracker], now: float) -> RowSelection | None:
        """Return what to send now; None if no message is needed.

        A message with changes is always followed by another one, so that its loss is noticed as
        soon as if messages were sent all the time.
        """
        if not self._sent_by_id.keys() <= trackers.keys():
            # Receivers keep the rows of a series; those of a new one don't include the missing.
            self.restart()
        refreshes = self.needs_complete or (bool(trackers) and now >= self._refresh_at)
        changed = self._find_changed(trackers, now, refreshes)
        if not changed and not refreshes and not self._had_changes:
            return None
        refreshed: list[Tracker] = []
        if refreshes:
            self._refresh_at = now + REFRESH_S
            found = {tracker.id for tracker in changed}
            refreshed = [each for upstream, each in trackers.items() if upstream not in found]
        selection = RowSelection(changed, refreshed, self.needs_complete)
        self._had_changes = bool(changed)
        self.needs_complete = False
        self.touched.clear()
        self.number += 1
        return selection

    def _find_changed(
        self, trackers: dict[UpstreamId, Tracker], now: float, checks_all: bool
    ) -> list[Tracker]:
        """Return the upstreams whose rows have changed; only a refresh looks at all of them."""
        if checks_all:
            suspected = trackers.keys()
        else:
            suspected = self.touched | self._changing | self._unstable
            suspected |= trackers.keys() - self._sent_by_id.keys()
        return [
            trackers[each]
            for each in suspected
            if each in trackers and self._has_changed(trackers[each], now)
        ]

    def _has_changed(self, tracker: Tracker, now: float) -> bool:
        sent = self._sent_by_id.get(tracker.id)
        return sent is None or tracker.id in self.touched or not sent.holds(tracker, now)

    def last_sent(self, tracker: Tracker) -> SentRow:
        """Return what was last sent of an upstream; only for upstreams that are refreshed."""
        return self._sent_by_id[tracker.id]

    def record_sent(self, tracker: Tracker, row: Row, now: float) -> None:
        """Record that an upstream was summed up and its row is sent."""
        stable_until = tracker.stable_until
        self._sent_by_id[tracker.id] = SentRow(
            row, now, tracker, stable_until, tracker.is_replaced, tracker.entry.born_ms
        )
        _set_member(self._changing, tracker.id, row.is_changing)
        _set_member(self._unstable, tracker.id, stable_until != float("inf"))


def _set_member(members: set[UpstreamId], upstream: UpstreamId, is_member: bool) -> None:
    if is_member:
        members.add(upstream)
    else:
        members.discard(upstream)
