"""Frees the cached parts of replaced weights once no engine can fetch them any more.

A request states the weights that it expects, and an engine with others refuses it. So once every
engine has newer weights, no part of the replaced ones is fetched any more, even if some hosts still
have an outdated view, and fetches that are under way end within `FETCH_TIMEOUT_S`. An engine that
comes back with replaced weights fetches nothing (`Placement.may_fetch`): it may be back at other
hosts before the one that frees parts knows. Hosts whose list may have missed its absence don't let
it fetch, either.
"""

import logging

from ruddersaddle_base import clocks
from ruddersaddle_base.ids import ModelId
from ruddersaddle_base.tasks import pause, spawn_forever

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.context_stores import FETCH_TIMEOUT_S, StoreView
from ruddersaddle_serving.neighbours import Neighbours, rank_for_duty
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_lists import (
    FOLLOWED_AGE_MAX_S,
    UP_TO_DATE_S,
    UpstreamList,
)

logger = logging.getLogger(__name__)

CHECK_PAUSE_S = 0.5
"""Pause between checks; freeing is not urgent."""
FREE_AFTER_S = max(
    FOLLOWED_AGE_MAX_S + FETCH_TIMEOUT_S + 0.6,
    FOLLOWED_AGE_MAX_S + UP_TO_DATE_S,
)
"""How long all engines must have had newer weights before older parts are freed.

`FETCH_TIMEOUT_S` would do for listed engines. `FOLLOWED_AGE_MAX_S` covers an engine whose entry has
expired while some host still lists it, and 0.6 s covers requests in flight. The second sum has the
entry missing for `UP_TO_DATE_S`, as this host's list may be `FOLLOWED_AGE_MAX_S` old: every host
that has followed the list then knows that it was missing.
"""
FREE_CALL_S = 0.5
"""How long a call may take to arrive; later the store refuses it."""
FREE_BATCH = 400
"""Number of parts that one call frees."""


class ReplacedParts:
    """The task that frees parts; only the host that ranks first for a model does it.

    With several regions, one host of each region frees the parts in its stores.

    `stopping` is set when this host shuts down; it then frees nothing more.
    """

    def __init__(
        self,
        publications: Publications,
        upstreams: UpstreamList,
        trackers: Trackers,
        neighbours: Neighbours,
        cached_parts: CachedParts,
    ) -> None:
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.neighbours = neighbours
        self.cached_parts = cached_parts
        self.stopping = False
        self._oldest_by_model: dict[ModelId, tuple[int, float]] = {}
        """Oldest weights that an engine has, and since when they have been the oldest."""

    def start(self) -> None:
        """Start the task."""
        spawn_forever("replaced parts", self._run)

    def _run(self) -> None:
        while True:
            for model in list(self.publications.version_by_model):
                self.free_unused(model)
            pause(CHECK_PAUSE_S)

    def free_unused(self, model: ModelId) -> None:
        """Free parts that no engine can fetch any more, if this host ranks first for the model."""
        for store in list(self.cached_parts.by_id.values()):
            # A call may block for seconds, in which an engine may return with replaced weights.
            version = self._oldest_fetchable(model)
            if version <= 0 or self.stopping or self._rank(f"free/{model}") > 0:
                return
            if store.is_trusted:
                self._free_at(store, model, version)

    def _rank(self, duty: str) -> int:
        """Return this host's rank for a duty; with several regions, among hosts of its region."""
        if self.cached_parts.regions.is_divided:
            return self.neighbours.hosts.rank_in_region(duty)
        return rank_for_duty(duty, self.neighbours)

    def _oldest_fetchable(self, model: ModelId) -> int:
        """Return the oldest weights whose parts may still be fetched, or 0 if unknown."""
        oldest = self._oldest_in_use(model)
        now = clocks.now_s()
        known, since = self._oldest_by_model.get(model, (0, now))
        if oldest != known:
            since = now
        self._oldest_by_model[model] = (oldest, since)
        return oldest if now - since >= FREE_AFTER_S else 0

    def _oldest_in_use(self, model: ModelId) -> int:
        """Return the oldest weights that any engine may have; 0 while entries may be missing.

        With several regions, only engines of the own one fetch from the stores that this host
        follows.
        """
        is_recent = self.upstreams.age_s <= FOLLOWED_AGE_MAX_S
        if not is_recent or not self.upstreams.is_up_to_date:
            return 0
        is_own = self.cached_parts.regions.is_own
        entries = [each for each in self.upstreams.by_id.values() if is_own(each.hall)]
        trackers = [self.trackers.get_or_create(entry) for entry in entries]
        versions = [
            each.version_by_model[model] for each in trackers if model in each.version_by_model
        ]
        return min(versions, default=0)

    def _free_at(self, store: StoreView, model: ModelId, version: int) -> None:
        parts = store.parts_before(model, version)[:FREE_BATCH]
        if not parts:
            return
        until_ms = store.deadline_ms(FREE_CALL_S)
        failure = self.cached_parts.engines.free(store.spec, store.epoch, parts, until_ms)
        if failure is not None:
            logger.info("Freeing parts at %s failed. %s", store.spec.id, failure.detail)
            return
        self.cached_parts.counts["freed"] += len(parts)
        logger.info(
            "Freed %d parts of weights older than %d at %s.", len(parts), version, store.spec.id
        )
        for part in parts:
            store.apply(part)
