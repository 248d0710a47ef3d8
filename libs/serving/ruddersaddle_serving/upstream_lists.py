"""Which upstreams there are, as their own entries in the platform's store say."""

import logging
import random
from collections.abc import Collection, Iterable

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId, RequestId, UpstreamId

from ruddersaddle_serving.cold_starts import ColdStarts
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance

logger = logging.getLogger(__name__)

LAPSE_GRACE_S = 2.0
"""An entry that lapsed in an outage of the store is kept until so long after the return: if its
upstream lives, it is back by then."""
REVISION_BITS = 40
OUTAGE_MEMORY_S = 4.0
"""How long after an outage the list may lack upstreams that live: two seconds until they write
again, and two for this host to read it."""
RESTORE_MEMORY_S = 10.0
"""How long after the store's return from a copy a whole list may still name starts that are gone:
what upstreams don't write again lapses after three reports of silence (3.6 s)."""
REMEMBERED_MAX = 1000
"""Starts that are remembered as gone, or as leaving; a release of 450 upstreams ends as many."""
REPORTED_MAX = 50
"""Of these as many are told to another host, about 1 KB."""
UP_TO_DATE_S = 3.0
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
        self._lapse_at_by_id: dict[UpstreamId, float] = {}
        """Entries that may have lapsed in an outage; endless while the store is away."""
        self._unanswered_at: float | None = None
        """When this host last got no answer of the store; None since it, or a host that told its
        list, got one."""
        self._grace_until = float("-inf")
        self._written_since_outage: set[UpstreamId] = set()
        """Upstreams that have written since the last outage: when they go, they leave."""
        self._outage_until = 0.0
        self._gone_ignored_until = float("-inf")
        self._leaving: dict[UpstreamInstance, None] = {}
        """Starts that said in an answer that they leave, the latest last."""
        self._gone: dict[UpstreamInstance, None] = {}
        """Starts whose entries were taken out, the latest last."""

    @property
    def age_s(self) -> float:
        """Seconds since the list was last known to be the newest."""
        return clocks.now_s() - self.confirmed_at

    @property
    def is_up_to_date(self) -> bool:
        """Whether every upstream that lives is listed: the list is young, the store was there."""
        return self.age_s < UP_TO_DATE_S and clocks.now_s() >= self._outage_until

    def record_outage(self) -> None:
        """Remember that the store does not answer; entries may lapse meanwhile."""
        self._unanswered_at = clocks.now_s()
        self._written_since_outage.clear()
        self._outage_until = self._unanswered_at + OUTAGE_MEMORY_S

    def _end_outage(self, at: float) -> None:
        """Remember that the store answers again, since a moment."""
        self._unanswered_at = None
        self._grace_until = at + LAPSE_GRACE_S
        for upstream, until in self._lapse_at_by_id.items():
            self._lapse_at_by_id[upstream] = min(until, self._grace_until)

    def record_restore(self) -> None:
        """Remember that the store has come back from a copy some seconds old.

        What upstreams wrote since is missing until they write it again; starts that have left
        since are named there once more, and take nothing any more.
        """
        self.record_outage()
        self._end_outage(clocks.now_s())
        self.ignore_gone_instances()

    def ignore_gone_instances(self) -> None:
        """Remember that lists may be of the store's copy for a while, also those of other hosts."""
        self._gone_ignored_until = clocks.now_s() + RESTORE_MEMORY_S

    def _is_known_gone(self, instance: UpstreamInstance) -> bool:
        """Return whether a start that a copy names has left before."""
        return clocks.now_s() < self._gone_ignored_until and instance in self._gone

    def replace(self, entries: Iterable[UpstreamEntry], asked_at: float) -> None:
        """Take a whole list of the store."""
        self._replace(
            [entry for entry in entries if not self._is_known_gone(entry.instance)], asked_at
        )

    def replace_reported(
        self,
        entries: Iterable[UpstreamEntry],
        lapsing: Collection[UpstreamId],
        asked_at: float,
        gone: Collection[UpstreamInstance] = (),
    ) -> None:
        """Take a whole list of another host, which of it that host keeps for their grace, and what
        it has taken out for good.

        What it keeps stays where it is known, for the same grace, and comes back nowhere: told as
        if it lived, two hosts kept it for one another for good.
        """
        known = {entry.instance for entry in self.by_id.values()}
        kept = {each.instance for each in entries if each.id in lapsing}
        fresh = [
            each
            for each in entries
            if each.id not in lapsing and not self._is_known_gone(each.instance)
        ]
        for left in set(gone) - {each.instance for each in fresh}:
            if left in known:
                self.drop(left.id)
            else:
                _remember(self._gone, left)
        until = clocks.now_s() + LAPSE_GRACE_S
        for instance in known & kept - set(gone):
            self._lapse_at_by_id.setdefault(instance.id, until)
        self._replace(fresh, asked_at, {instance.id for instance in kept})

    @property
    def lapsing(self) -> tuple[UpstreamId, ...]:
        """The entries that are gone from the store and kept for their grace."""
        return tuple(self._lapse_at_by_id)

    def _replace(
        self,
        entries: Iterable[UpstreamEntry],
        asked_at: float,
        kept: Collection[UpstreamId] = (),
    ) -> None:
        found = {entry.id: entry for entry in entries}
        for gone in set(self.by_id) - set(found) - set(kept):
            self.remove(gone)
        for entry in found.values():
            self.put(entry)
        self.complete = True
        self.confirm(asked_at)

    def put_written(self, entry: UpstreamEntry) -> None:
        """Take an entry that its upstream has just written."""
        if self._unanswered_at is None and clocks.now_s() < self._outage_until:
            self._written_since_outage.add(entry.id)
        self.put(entry)

    def put(self, entry: UpstreamEntry) -> None:
        """Take one entry."""
        known = self.by_id.get(entry.id)
        if known is not None and known.is_later_than(entry):
            logger.info("Entry of %s is of an earlier start than the known one.", entry.instance)
            return
        if entry.heartbeat is not None:
            # A change of the entry is told to all hosts; a heartbeat is none.
            self.cold.apply(entry.instance, entry.heartbeat)
            entry = msgspec.structs.replace(entry, heartbeat=None)
        self._lapse_at_by_id.pop(entry.id, None)
        self._gone.pop(entry.instance, None)
        is_same = known is not None and not entry.is_later_than(known)
        if (is_same and known.leaving) or entry.instance in self._leaving:
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
        """Take that an entry is gone: its upstream left, or the entry lapsed in an outage."""
        if upstream not in self.by_id:
            return
        is_away = self._unanswered_at is not None
        until = float("inf") if is_away else self._grace_until
        if upstream in self._written_since_outage or clocks.now_s() >= until:
            self.drop(upstream)
        elif upstream not in self._lapse_at_by_id:
            logger.info("Entry of %s is gone after an outage of the store.", upstream)
            self._lapse_at_by_id[upstream] = until

    def confirm(self, asked_at: float) -> None:
        """Note that the list is as new as a question sent at `asked_at`; drop what lapsed."""
        self.confirmed_at = max(self.confirmed_at, asked_at)
        if self._unanswered_at is not None and asked_at > self._unanswered_at:
            self._end_outage(asked_at)
        self._drop_lapsed()

    def _drop_lapsed(self) -> None:
        """Take out what lapsed in an outage and should have been back by now."""
        now = clocks.now_s()
        for upstream, until in list(self._lapse_at_by_id.items()):
            if now >= until:
                self.drop(upstream)

    def drop(self, upstream: UpstreamId) -> None:
        """Take an entry out at once."""
        self._lapse_at_by_id.pop(upstream, None)
        self._written_since_outage.discard(upstream)
        entry = self.by_id.pop(upstream, None)
        if entry is not None:
            self.revision += 1
            _remember(self._gone, entry.instance)
            self.cold.keep_only(self.instances())
            logger.info("Upstream %s of %s at %s is gone.", upstream, entry.pool, entry.address)

    def record_leaving(
        self, instance: UpstreamInstance, request: RequestId | None, reporter: str
    ) -> None:
        """Take that a start said that it leaves, in the answer to a request of a host, `reporter`.

        Its entry may say otherwise until the store takes its next write.
        """
        if instance not in self._leaving:
            extra = {"request": request, "told_by": reporter}
            logger.info("Upstream %s says that it leaves.", instance, extra=extra)
            self.apply_leaving([instance])

    def apply_leaving(self, instances: Iterable[UpstreamInstance]) -> None:
        """Take which starts said that they leave."""
        for instance in instances:
            if instance in self._leaving:
                continue
            _remember(self._leaving, instance)
            entry = self.by_id.get(instance.id)
            if entry is not None and entry.instance == instance:
                self.put(entry)

    def is_leaving(self, instance: UpstreamInstance) -> bool:
        """Return whether a start said that it leaves, or its entry does."""
        entry = self.by_id.get(instance.id)
        return instance in self._leaving or (
            entry is not None and entry.instance == instance and entry.leaving
        )

    def leaving(self) -> tuple[UpstreamInstance, ...]:
        """Return the starts that said lately that they leave, for other hosts."""
        return tuple(self._leaving)[-REPORTED_MAX:]

    def recently_gone(self) -> tuple[UpstreamInstance, ...]:
        """Return the starts that were taken out last, for hosts that have just started."""
        return tuple(self._gone)[-REPORTED_MAX:]

    def record_gone(self, instances: Iterable[UpstreamInstance]) -> None:
        """Take which starts have left, as another host knows."""
        for instance in instances:
            _remember(self._gone, instance)

    def drop_gone(self) -> None:
        """Take out starts that others know to have left: the store may name them from a copy."""
        for entry in list(self.by_id.values()):
            if entry.instance in self._gone:
                self.drop(entry.id)

    def instances(self) -> list[UpstreamInstance]:
        """Return all starts that are listed."""
        return [entry.instance for entry in self.by_id.values()]

    def of_pool(self, pool: PoolId) -> list[UpstreamEntry]:
        """Return the entries of a pool that take new work."""
        self._drop_lapsed()
        return [each for each in self.by_id.values() if each.pool == pool and not each.leaving]


def _remember(instances: dict[UpstreamInstance, None], instance: UpstreamInstance) -> None:
    """Put a start last, and forget the first one where there are too many."""
    instances.pop(instance, None)
    instances[instance] = None
    if len(instances) > REMEMBERED_MAX:
        del instances[next(iter(instances))]
