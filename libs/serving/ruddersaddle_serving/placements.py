"""Chooses the upstream of a request."""

import random
import time

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, ModelId, PoolId, UpstreamId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.kept_parts import KeptParts, make_salt
from ruddersaddle_serving.ports import Transfer
from ruddersaddle_serving.prompts import CallerRequest, Prompt
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Route
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList

CROWD_FACTOR = 1.5
"""An engine with more than this times the mean of this host's requests is passed over (consistent
hashing with bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2016, use 1.25 to 2)."""
CROWD_SLACK = 4
"""Requests beyond that which are no crowd yet, since one host sees only few."""
VERSION_MARGIN_S = 2.5
"""Old weights are left this long before the bound on them: it counts from the operator's write,
of which this host hears up to a second later, and the request has to get there."""
RETRY_SOON_S = 0.25
"""When a caller should come back to a pool that has no usable upstream just now; a refused engine
is back, or another one found, within some hundred milliseconds."""


class Choice(msgspec.Struct, frozen=True):
    """An upstream for one try of a request, and what decided it."""

    tracker: Tracker
    version: int | None
    transfer: Transfer | None
    candidates: int
    rank: int
    """Place of the chosen upstream in the order of the request's affinity; 0 is its own."""


class Placement:
    """Chooses upstreams from entries, versions of weights, kept parts and this host's requests."""

    def __init__(
        self,
        hall: HallId,
        version_bound_s: float,
        publications: Publications,
        upstreams: UpstreamList,
        trackers: Trackers,
        kept: KeptParts,
    ) -> None:
        self.hall = hall
        self.version_bound_s = version_bound_s
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.kept = kept

    def pick_pool(self, route: Route) -> PoolId | None:
        """Return the pool of a request, drawn by the route's shares."""
        if not route.targets:
            return None
        weights = [max(0.0, target.weight) for target in route.targets]
        if len(weights) == 1 or not any(weights):
            return route.targets[0].pool
        return random.choices(route.targets, weights)[0].pool

    def choose(
        self, request: CallerRequest, pool: PoolId, excluded: set[UpstreamId]
    ) -> Choice | Failure:
        """Return the upstream for the next try, or why there is none."""
        trackers = [self.trackers.at(entry) for entry in self.upstreams.of_pool(pool)]
        left = [tracker for tracker in trackers if tracker.id not in excluded]
        if not left:
            detail = f"{len(trackers)} upstreams, {len(excluded)} tried"
            return Failure(Code.NO_UPSTREAM, Step.ADMIT, pool, detail, retry_after_s=RETRY_SOON_S)
        prompt = request.head.prompt
        if prompt is None:
            return self._choose_plain(left)
        return self._choose_engine(request, prompt, left)

    def _choose_plain(self, trackers: list[Tracker]) -> Choice:
        usable = [tracker for tracker in trackers if tracker.is_sound] or trackers
        chosen = min(usable, key=self._plain_order)
        return Choice(chosen, None, None, len(usable), 0)

    def _plain_order(self, tracker: Tracker) -> tuple[float, bool, float]:
        share = tracker.in_flight / max(1, tracker.entry.slots)
        return share, tracker.entry.hall != self.hall, random.random()

    def _choose_engine(
        self, request: CallerRequest, prompt: Prompt, trackers: list[Tracker]
    ) -> Choice | Failure:
        allowed = self._of_allowed_weights(prompt.model, trackers)
        if not allowed:
            detail = f"no engine has the newest weights of {prompt.model}"
            peer = trackers[0].entry.pool
            return Failure(Code.OTHER_VERSION, Step.ADMIT, peer, detail, retry_after_s=RETRY_SOON_S)
        sound = [tracker for tracker in allowed if tracker.is_sound] or allowed
        usable = [tracker for tracker in sound if not tracker.is_avoided] or sound
        by_id = {tracker.id: tracker for tracker in usable}
        ranked = [by_id[UpstreamId(name)] for name in rank_names(prompt.affinity_key, by_id)]
        mean = sum(tracker.in_flight for tracker in ranked) / len(ranked)
        bound = mean * CROWD_FACTOR + CROWD_SLACK
        rank = next((i for i, each in enumerate(ranked) if each.in_flight <= bound), 0)
        chosen = ranked[rank]
        version = chosen.version_by_model.get(prompt.model) or None
        transfer = self.kept.plan(self._salt(request, prompt.model, version), prompt)
        return Choice(chosen, version, transfer, len(usable), rank)

    def _of_allowed_weights(self, model: ModelId, trackers: list[Tracker]) -> list[Tracker]:
        newest = self.publications.version_by_model.get(model)
        if newest is None:
            return trackers
        known_s = time.monotonic() - self.publications.named_at_by_model[model]
        if known_s < self.version_bound_s - VERSION_MARGIN_S:
            return trackers
        return [each for each in trackers if each.version_by_model.get(model, 0) >= newest]

    def _salt(self, request: CallerRequest, model: ModelId, version: int | None) -> str:
        """Return the name under which parts are kept: one for each weights and each wall."""
        workspace = request.workspace
        wall = workspace.id if workspace is not None and workspace.dedicated else None
        return make_salt(model, version or 0, wall)
