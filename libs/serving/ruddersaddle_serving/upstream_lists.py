"""Which upstreams there are, as their own entries in the platform's store say."""

import logging
import random
from collections.abc import Collection, Iterable

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId, RequestId, UpstreamId

from ruddersaddle_serving.cold_starts import ColdStarts
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamStart

logger = logging.getLogger(__name__)

LAPSE_GRACE_S = 1.6
"""An entry that is gone right after an outage of the store is kept this long: entries that lapsed
meanwhile are back within about two seconds, and a planned leave binds after `drain_ms` (2 s)."""
REVISION_BITS = 40
OUTAGE_MEMORY_S = 4.0
"""How long after the store's return a missing entry may be one that lapsed: two seconds until
upstreams write again, and two for this host to read it."""
RETURN_MEMORY_S = 10.0
"""How long after the store's return from a copy a whole list may still name starts that are gone:
what upstreams don't write again lapses after three reports of silence (3.6 s)."""
REMEMBERED_MAX = 1000
"""Starts that are remembered as gone, or as leaving; a release of 450 upstreams ends as many."""
TOLD_MAX = 50
"""Of these as many are told to another host, about 1 KB."""
CERTAIN_S = 3.0
"""Oldest list that counts as complete; hosts hear of others' reads within 1.9 s."""


class UpstreamList:
    """The entries by id. Times are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self.by_id: dict[UpstreamId, UpstreamEntry] = {}
        self.cold = ColdStarts()
        self.complete = False
        self.revision = random.getrandbits(REVISION_BITS)
        """Grows with each change of an entry; begins anywhere, so that two processes differ."""
        self.confirmed_at = float("-inf")
        """When the question was sent whose answer was last taken."""
        self._lapse_by_id: dict[UpstreamId, float] = {}
        self._outage_until = 0.0
        self._copy_until = float("-inf")
        self._leaving: dict[UpstreamStart, None] = {}
        """Starts that said in an answer that they leave, the latest last."""
        self._gone: dict[UpstreamStart, None] = {}
        """Starts whose entries were taken out, the latest last."""

    @property
    def age_s(self) -> float:
        """Seconds since the list was last known to be the newest."""
        return clocks.now_s() - self.confirmed_at

    @property
    def is_certain(self) -> bool:
        """Whether every upstream that lives is listed: the list is young, the store was there."""
        return self.age_s < CERTAIN_S and clocks.now_s() >= self._outage_until

    def note_outage(self) -> None:
        """Remember that the store does not answer; entries may lapse meanwhile."""
        self._outage_until = clocks.now_s() + OUTAGE_MEMORY_S

    def note_return(self) -> None:
        """Remember that the store has come back from a copy some seconds old.

        What upstreams wrote since is missing until they write it again; starts that have left
        since are named there once more, and take nothing any more.
        """
        self.note_outage()
        self._copy_until = clocks.now_s() + RETURN_MEMORY_S

    def replace(self, entries: Iterable[UpstreamEntry], asked_at: float) -> None:
        """Take a whole list of the store."""
        is_copy = clocks.now_s() < self._copy_until
        self._replace(
            [entry for entry in entries if not (is_copy and entry.start in self._gone)], asked_at
        )

    def replace_told(
        self,
        entries: Iterable[UpstreamEntry],
        lapsing: Collection[UpstreamId],
        asked_at: float,
    ) -> None:
        """Take a whole list of another host, and which of it that host keeps for their grace.

        These stay where they are known and come back nowhere: a host just out of an outage put back
        what this one had dropped, seen 0.2 s after a leave, for 0.36 s.
        """
        known = {entry.start for entry in self.by_id.values()}
        self._replace(
            [each for each in entries if each.id not in lapsing or each.start in known], asked_at
        )

    @property
    def lapsing(self) -> tuple[UpstreamId, ...]:
        """The entries that are gone from the store and kept for their grace."""
        return tuple(self._lapse_by_id)

    def _replace(self, entries: Iterable[UpstreamEntry], asked_at: float) -> None:
        found = {entry.id: entry for entry in entries}
        for gone in set(self.by_id) - set(found):
            self.remove(gone)
        for entry in found.values():
            self.put(entry)
        self.complete = True
        self.confirm(asked_at)

    def put(self, entry: UpstreamEntry) -> None:
        """Take one entry."""
        known = self.by_id.get(entry.id)
        if known is not None and known.is_later_than(entry):
            logger.info("Entry of %s is of an earlier start than the known one.", entry.start)
            return
        if entry.heartbeat is not None:
            # A change of the entry is told to all hosts; a heartbeat is none.
            self.cold.take(entry.start, entry.heartbeat)
            entry = msgspec.structs.replace(entry, heartbeat=None)
        self._lapse_by_id.pop(entry.id, None)
        self._gone.pop(entry.start, None)
        is_same = known is not None and not entry.is_later_than(known)
        if (is_same and known.leaving) or entry.start in self._leaving:
            # A leave is never taken back within one start of an upstream.
            entry = msgspec.structs.replace(entry, leaving=True)
        self.by_id[entry.id] = entry
        if known != entry:
            self.revision += 1
            logger.info(
                "Upstream %s of %s at %s: leaving %s, versions %s, born %s.",
                entry.id,
                entry.pool,
                entry.address,
                entry.leaving,
                entry.version_by_model,
                entry.born_ms,
            )

    def remove(self, upstream: UpstreamId) -> None:
        """Take that an entry is gone, at once or after the grace that follows an outage."""
        if upstream not in self.by_id:
            return
        now = clocks.now_s()
        if now < self._outage_until:
            if upstream not in self._lapse_by_id:
                logger.info("Entry of %s is gone after an outage of the store.", upstream)
            self._lapse_by_id.setdefault(upstream, now + LAPSE_GRACE_S)
            return
        self.drop(upstream)

    def confirm(self, asked_at: float) -> None:
        """Note that the list is as new as a question sent at `asked_at`; drop what lapsed."""
        self.confirmed_at = max(self.confirmed_at, asked_at)
        now = clocks.now_s()
        for upstream, until in list(self._lapse_by_id.items()):
            if now >= until:
                self.drop(upstream)

    def drop(self, upstream: UpstreamId) -> None:
        """Take an entry out at once."""
        self._lapse_by_id.pop(upstream, None)
        entry = self.by_id.pop(upstream, None)
        if entry is not None:
            self.revision += 1
            _remember(self._gone, entry.start)
            self.cold.keep_only(self.starts())
            logger.info("Upstream %s of %s at %s is gone.", upstream, entry.pool, entry.address)

    def note_leaving(self, start: UpstreamStart, request: RequestId | None, teller: str) -> None:
        """Take that a start said that it leaves, in the answer to a request of a host, `teller`.

        Its entry may say otherwise until the store takes its next write.
        """
        if start not in self._leaving:
            extra = {"request": request, "told_by": teller}
            logger.info("Upstream %s says that it leaves.", start, extra=extra)
            self.take_leaving([start])

    def take_leaving(self, starts: Iterable[UpstreamStart]) -> None:
        """Take which starts said that they leave."""
        for start in starts:
            if start in self._leaving:
                continue
            _remember(self._leaving, start)
            entry = self.by_id.get(start.id)
            if entry is not None and entry.start == start:
                self.put(entry)

    def is_leaving(self, start: UpstreamStart) -> bool:
        """Return whether a start said that it leaves, or its entry does."""
        entry = self.by_id.get(start.id)
        return start in self._leaving or (
            entry is not None and entry.start == start and entry.leaving
        )

    def leaving(self) -> tuple[UpstreamStart, ...]:
        """Return the starts that said lately that they leave, for other hosts."""
        return tuple(self._leaving)[-TOLD_MAX:]

    def recently_gone(self) -> tuple[UpstreamStart, ...]:
        """Return the starts that were taken out last, for hosts that have just started."""
        return tuple(self._gone)[-TOLD_MAX:]

    def note_gone(self, starts: Iterable[UpstreamStart]) -> None:
        """Take which starts have left, as another host knows."""
        for start in starts:
            _remember(self._gone, start)

    def drop_gone(self) -> None:
        """Take out starts that others know to have left: the store may name them from a copy."""
        for entry in list(self.by_id.values()):
            if entry.start in self._gone:
                self.drop(entry.id)

    def starts(self) -> list[UpstreamStart]:
        """Return all starts that are listed."""
        return [entry.start for entry in self.by_id.values()]

    def of_pool(self, pool: PoolId) -> list[UpstreamEntry]:
        """Return the entries of a pool that take new work."""
        return [each for each in self.by_id.values() if each.pool == pool and not each.leaving]


def _remember(starts: dict[UpstreamStart, None], start: UpstreamStart) -> None:
    """Put a start last, and forget the first one where there are too many."""
    starts.pop(start, None)
    starts[start] = None
    if len(starts) > REMEMBERED_MAX:
        del starts[next(iter(starts))]
