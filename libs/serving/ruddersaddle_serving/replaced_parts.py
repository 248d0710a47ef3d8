"""Frees what replaced weights made in context stores, once no engine can fetch it any more.

A request names the weights that it expects, and an engine with others refuses it. So nothing that
replaced weights made is fetched any more once every engine has newer ones, whatever single hosts
still believe, and fetches that had begun by then end within `FETCH_S`.
"""

import logging

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import ModelId

from ruddersaddle_serving.context_stores import FETCH_S, TRUST_S, KeptStore
from ruddersaddle_serving.kept_parts import KeptParts
from ruddersaddle_serving.neighbours import Neighbours, rank_for_duty
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.tasks import spawn_forever
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

LOOK_S = 0.5
"""Pause between looks; freeing is not urgent."""
FREE_AFTER_S = TRUST_S + FETCH_S + 0.6
"""Parts are freed this long after the last engine was seen to have newer weights. `FETCH_S` would
do for the engines that are listed; `TRUST_S` more covers one whose entry had lapsed and that some
host still knew; the rest is for requests on their way."""
FREE_BATCH = 400
"""Parts that one call frees."""


class ReplacedParts:
    """The task that frees parts; the first host in line does it."""

    def __init__(
        self,
        publications: Publications,
        upstreams: UpstreamList,
        trackers: Trackers,
        neighbours: Neighbours,
        kept: KeptParts,
    ) -> None:
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.neighbours = neighbours
        self.kept = kept
        self.stopping = False
        self._oldest_by_model: dict[ModelId, tuple[int, float]] = {}
        """Oldest weights that an engine has, and since when no engine has older ones."""

    def start(self) -> None:
        """Start the task."""
        spawn_forever("replaced parts", self._run)

    def _run(self) -> None:
        while True:
            for model in list(self.publications.version_by_model):
                self.look(model)
            eventlet.sleep(LOOK_S)

    def look(self, model: ModelId) -> None:
        """Free what no engine can fetch any more, if this host is the one to do it."""
        version = self._unused_before(model)
        if version <= 0 or self.stopping:
            return
        if rank_for_duty(f"free/{model}", self.neighbours) > 0:
            return
        for kept in self.kept.by_id.values():
            if kept.is_trusted:
                self._free_at(kept, model, version)

    def _unused_before(self, model: ModelId) -> int:
        """Return the oldest weights whose parts may still be fetched, or 0 if that is unknown."""
        oldest = self._oldest_in_use(model)
        now = clocks.now_s()
        known, since = self._oldest_by_model.get(model, (0, now))
        if oldest != known:
            since = now
        self._oldest_by_model[model] = (oldest, since)
        return oldest if now - since >= FREE_AFTER_S else 0

    def _oldest_in_use(self, model: ModelId) -> int:
        """Return the oldest weights that any engine may have; 0 while entries may be missing."""
        if not self.upstreams.is_up_to_date:
            return 0
        trackers = [self.trackers.get_or_create(entry) for entry in self.upstreams.by_id.values()]
        versions = [
            each.version_by_model[model] for each in trackers if model in each.version_by_model
        ]
        return min(versions, default=0)

    def _free_at(self, kept: KeptStore, model: ModelId, version: int) -> None:
        parts = kept.parts_before(model, version)[:FREE_BATCH]
        if not parts:
            return
        failure = self.kept.engines.free(kept.spec, kept.epoch, parts)
        if failure is not None:
            logger.info("Parts at %s were not freed. %s", kept.spec.id, failure.detail)
            return
        self.kept.counts["freed"] += len(parts)
        logger.info("Freed %d parts of weights before %d at %s.", len(parts), version, kept.spec.id)
        for part in parts:
            kept.put(part)
