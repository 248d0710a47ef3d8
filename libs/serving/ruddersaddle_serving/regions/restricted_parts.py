"""Frees cached parts of restricted prompts where no request may use them any more.

This is the case if a configuration has changed the list that their namespace names, or if their
store is in none of its regions. Listings are searched again and again, so that parts are found
whatever restarted meanwhile, and also if an engine saved them after the change. Incomplete parts
are only in full listings, so each store is listed once after a change.
"""

import logging

import eventlet
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import StoreId
from ruddersaddle_base.tasks import spawn_forever
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.context_stores import StoreView
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.ports import StoreChange
from ruddersaddle_serving.regions.residency import FREE_AFTER_S, FREE_CALL_S, Residency
from ruddersaddle_serving.replaced_parts import FREE_BATCH

logger = logging.getLogger(__name__)

CHECK_PAUSE_S = 1.0
"""Pause between checks; parts must be freed within 10 s of a change."""
BACKUP_DELAY_S = 1.5
"""The host that ranks second frees parts this much later, if the first one doesn't reach the store;
its listing shows within a second what the first one has freed."""
BACKUPS = 1
BATCHES_MAX = 50
"""Most calls of one check of a store."""


class RestrictedParts:
    """The task that frees parts; for each store one host of its region does it.

    `stopping` is set when this host shuts down; it then frees nothing more.
    """

    def __init__(self, residency: Residency, hosts: Hosts, cached_parts: CachedParts) -> None:
        self.residency = residency
        self.hosts = hosts
        self.cached_parts = cached_parts
        self.stopping = False
        self._searched: dict[StoreId, tuple[int | None, int]] = {}
        """Epoch and configuration for which a store was last searched for incomplete parts."""

    def start(self) -> None:
        """Start the task."""
        spawn_forever("restricted parts", self._run)

    def _run(self) -> None:
        while True:
            self.free_unused()
            eventlet.sleep(CHECK_PAUSE_S)

    def free_unused(self) -> None:
        """Free the parts that no request may use at the stores that this host ranks first for."""
        if self.stopping or not self.residency.may_have_leftovers:
            return
        for store in list(self.cached_parts.by_id.values()):
            if store.is_trusted:
                self._free_at(store)

    def _free_at(self, store: StoreView) -> None:
        rank = self._rank(store)
        if rank > BACKUPS:
            return
        for _ in range(BATCHES_MAX):
            parts = self._find_unused(store, rank * BACKUP_DELAY_S)
            if not parts or not self._free(store, parts):
                break
        if rank == 0:
            self._free_incomplete(store)

    def _free_incomplete(self, store: StoreView) -> None:
        """Free parts whose saving was interrupted, once for each configuration and epoch."""
        current = (store.epoch, self.residency.current.version)
        is_due = self.residency.current.restricts and self.residency.in_force_s >= FREE_AFTER_S
        if not is_due or self._searched.get(store.spec.id) == current:
            return
        listing = self.cached_parts.engines.store_listing(store.spec)
        if isinstance(listing, Failure):
            logger.warning("Listing of %s failed. %s", store.spec.id, listing.detail)
            return
        parts = [
            StoreChange(each.salt, each.part, 0)
            for each in listing.incomplete
            if self.residency.must_free(each.salt, store.spec.id)
        ]
        if listing.epoch == store.epoch and (not parts or self._free(store, tuple(parts))):
            self._searched[store.spec.id] = current

    def _rank(self, store: StoreView) -> int:
        """Return this host's rank for a store among the hosts of its region, or among all hosts.

        All hosts are ranked if the region has none that responds. Hosts of other regions come after
        those of the store's region.
        """
        regions = self.residency.regions
        region = regions.region_of(store.spec.hall)
        live = self.hosts.live()
        near = [each.address for each in live if regions.region_of(each.hall) == region]
        ranked = rank_names(f"residency/{store.spec.id}", near or [each.address for each in live])
        own = self.hosts.own.address
        return ranked.index(own) if own in ranked else len(live)

    def _find_unused(self, store: StoreView, delay_s: float) -> tuple[StoreChange, ...]:
        """Return a change that removes it for each of the first parts that are to be freed."""
        salts = {salt for salt, _ in store.tokens_by_part}
        unused = {salt for salt in salts if self.residency.must_free(salt, store.spec.id, delay_s)}
        if not unused:
            return ()
        parts = [
            StoreChange(salt, part, 0) for salt, part in store.tokens_by_part if salt in unused
        ]
        return tuple(parts[:FREE_BATCH])

    def _free(self, store: StoreView, parts: tuple[StoreChange, ...]) -> bool:
        """Free some parts; return whether it succeeded."""
        until_ms = store.deadline_ms(FREE_CALL_S)
        failure = self.cached_parts.engines.free(store.spec, store.epoch, parts, until_ms)
        if failure is not None:
            logger.warning("Freeing parts at %s failed. %s", store.spec.id, failure.detail)
            return False
        self.cached_parts.counts["freed"] += len(parts)
        self.residency.counts["parts_freed"] += len(parts)
        logger.info(
            "Freed %d parts at %s that no request may use there any more.",
            len(parts),
            store.spec.id,
        )
        for part in parts:
            store.apply(part)
        return True
