"""Chooses the upstream of a request."""

import random
from collections.abc import Callable, Iterator
from itertools import islice

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, ModelId, PoolId, UpstreamId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.kept_parts import KeptParts
from ruddersaddle_serving.ports import Transfer
from ruddersaddle_serving.prompts import CallerRequest, Prompt
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.request_sizes import SizesByRoute
from ruddersaddle_serving.routes import Route
from ruddersaddle_serving.trackers import Assignment, Tracker, Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_shares import UpstreamShares
from ruddersaddle_serving.weighings import Estimate, Weighing

CANDIDATES_MAX = 8
"""Engines that are weighed for a prompt; choosing costs 9 us an engine. Which ones follows from
what prompts share, so that few engines keep it."""
RANKS_MAX = 1000
"""Affinities whose ranks of engines are kept."""
OVERFLOW_SAMPLE = 2
"""Engines that are drawn where all candidates make a request wait too long."""
ALIKE_SHARE = 0.2
"""Engines whose first events differ by less than the age of beliefs, and than this share of the
target, are alike; one with an open connection is drawn. With 195 hosts and beliefs of 0.1 s the
earliest engine each time had 4,440 connections opened in 9 s, this 3,300; of the worth asked for
0.73 -> 0.78 was in time with 1.6 times the usual callers (replay)."""
VERSION_MARGIN_S = 2.5
"""Old weights are left this long before the bound on them: it counts from the operator's write,
of which this host hears up to a second later, and the request has to get there."""
RETRY_SOON_S = 0.25
"""When a caller should come back to a pool that has no usable upstream just now; a refused engine
is back, or another one found, within some hundred milliseconds."""

RETRY_EVACUATED_S = 1.0
"""When a caller should come back to a pool whose halls are all evacuated: operators take seconds to
take that back, and hosts hear of it within a second."""


class Choice(msgspec.Struct, frozen=True):
    """An upstream for one try of a request, and what decided it."""

    tracker: Tracker
    version: int | None
    transfer: Transfer | None
    candidates: int
    assignment: Assignment | None = None
    first_s: float = 0.0
    """Time within which the upstream should be heard of: predicted for a prompt, else the
    target."""
    wait_s: float = 0.0
    """Predicted wait at the upstream before it begins to read."""
    covered_tokens: int = 0
    """Tokens of the prompt that the engine is believed to keep."""
    missing_tokens: int = 0
    """Tokens that it has to read."""
    weighed: tuple[str, ...] = ()
    """Each engine that was weighed, for the log."""


class Candidates(msgspec.Struct, frozen=True):
    """Engines that may take a prompt, in the order of its affinity."""

    first: list[Tracker]
    """Those that are weighed."""
    others: Iterator[Tracker]
    """The rest, looked at only where the first ones make the prompt wait too long."""


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
        shares: UpstreamShares,
    ) -> None:
        self.hall = hall
        self.version_bound_s = version_bound_s
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.kept = kept
        self.shares = shares
        self.belief_lag_s: Callable[[], float] = lambda: 0.0
        """How old what this host knows of others' requests is, in seconds."""
        self.admitted_sizes = SizesByRoute()
        self._ranked_by_key: dict[tuple[PoolId, str], list[UpstreamId]] = {}
        self._ranked_revision = self.upstreams.revision

    def pick_pool(self, route: Route) -> PoolId | None:
        """Return the pool of a request, drawn by the route's shares."""
        if not route.targets:
            return None
        weights = [max(0.0, target.weight) for target in route.targets]
        if len(weights) == 1 or not any(weights):
            return route.targets[0].pool
        return random.choices(route.targets, weights)[0].pool

    def choose(
        self,
        request: CallerRequest,
        pool: PoolId,
        excluded: set[UpstreamId],
        may_refuse: bool = False,
    ) -> Choice | Failure:
        """Return the upstream for the next try, or why there is none.

        `may_refuse` says that the request has just come, so that it may be refused for the time
        that its first event would take.
        """
        trackers = self._served_trackers(pool)
        if isinstance(trackers, Failure):
            return trackers
        left = [tracker for tracker in trackers if tracker.id not in excluded]
        prompt = request.head.prompt
        if prompt is None:
            open_trackers = [tracker for tracker in left if self._is_open(tracker)]
            if not open_trackers:
                return self._refuse_closed(pool, trackers, left)
            return self._choose_plain(request, open_trackers)
        candidates = self.find_candidates(prompt, pool, trackers, left)
        if isinstance(candidates, Failure):
            return candidates
        return self._choose_engine(request, prompt, candidates, may_refuse)

    def _served_trackers(self, pool: PoolId) -> list[Tracker] | Failure:
        """Return the upstreams of a pool in halls that aren't evacuated, or why there is none."""
        entries = self.upstreams.of_pool(pool)
        evacuations = self.publications.evacuations
        served = [entry for entry in entries if not evacuations.is_in_force(entry.hall)]
        if entries and not served:
            known_s = min(evacuations.age_s(entry.hall) for entry in entries)
            detail = (
                f"the halls of all {len(entries)} upstreams are evacuated, since {known_s:.1f} s"
            )
            return Failure(
                Code.EVACUATED, Step.ADMIT, pool, detail, retry_after_s=RETRY_EVACUATED_S
            )
        return [self.trackers.at(entry) for entry in served]

    def _is_open(self, tracker: Tracker) -> bool:
        """Return whether this host may send a request to an upstream now."""
        return tracker.reported.rest_s <= 0 and self.shares.may_send(tracker)

    def _refuse_closed(self, pool: PoolId, trackers: list[Tracker], left: list[Tracker]) -> Failure:
        """Refuse, since nothing may be sent to any of the upstreams that are `left`."""
        awake = [tracker for tracker in left if tracker.reported.rest_s <= 0]
        limited = sum(tracker.reported.rate_limit.bound_per_s() is not None for tracker in awake)
        counts = {
            "upstreams": len(trackers),
            "tried": len(trackers) - len(left),
            "resting": len(left) - len(awake),
            "at their limit": limited,
            "cold": len(awake) - limited,
        }
        detail = ", ".join(f"{count} {word}" for word, count in counts.items() if count)
        return Failure(
            Code.NO_UPSTREAM,
            Step.ADMIT,
            pool,
            detail,
            retry_after_s=_rested_in_s(trackers) or RETRY_SOON_S,
        )

    def rested_in_s(self, pool: PoolId) -> float:
        """Return in how many seconds the first upstream of a pool has rested; 0 if one is awake."""
        return _rested_in_s([self.trackers.at(each) for each in self.upstreams.of_pool(pool)])

    def check_open(self, tracker: Tracker) -> Failure | None:
        """Return why a request may no longer be sent to an upstream that was chosen before."""
        hall = tracker.entry.hall
        if self.upstreams.is_leaving(tracker.entry.instance):
            detail = "it said meanwhile that it leaves"
        elif self.publications.evacuations.is_in_force(hall):
            detail = f"hall {hall} was evacuated meanwhile"
        elif tracker.reported.rest_s > 0:
            detail = "it asked for rest meanwhile"
        elif not self.shares.may_send(tracker):
            detail = "it is cold or limited, and this host's share was sent meanwhile"
        else:
            return None
        return Failure(Code.NO_UPSTREAM, Step.SEND, tracker.id, detail, retry_after_s=RETRY_SOON_S)

    def _choose_plain(self, request: CallerRequest, trackers: list[Tracker]) -> Choice:
        usable = [tracker for tracker in trackers if tracker.is_sound] or trackers
        chosen = min(usable, key=self._plain_order)
        first_s = request.route.target_latency_s
        return Choice(chosen, None, None, len(usable), first_s=first_s)

    def _plain_order(self, tracker: Tracker) -> tuple[float, bool, float]:
        share = tracker.in_flight / max(1, tracker.entry.slots)
        return share, tracker.entry.hall != self.hall, random.random()

    def find_candidates(
        self, prompt: Prompt, pool: PoolId, trackers: list[Tracker], left: list[Tracker]
    ) -> Candidates | Failure:
        """Return the engines that may take a prompt, or why there is none.

        Engines are looked at in the order of the prompt's affinity, until there are enough.
        """
        ranked = self._rank(prompt.affinity_key, pool, left)
        usable = (tracker for tracker in ranked if self._is_usable(prompt, tracker))
        first = list(islice(usable, CANDIDATES_MAX))
        if len(first) == CANDIDATES_MAX:
            return Candidates(first, usable)
        return self._find_among_all(prompt, pool, trackers, ranked)

    def _is_usable(self, prompt: Prompt, tracker: Tracker) -> bool:
        """Return whether an engine may take a prompt and is likely to serve it."""
        return (
            self._is_open(tracker)
            and self._has_allowed_weights(prompt.model, tracker)
            and _may_fit(prompt, tracker)
            and tracker.is_sound
            and not tracker.is_avoided
        )

    def _find_among_all(
        self, prompt: Prompt, pool: PoolId, trackers: list[Tracker], ranked: list[Tracker]
    ) -> Candidates | Failure:
        """Return the engines that may take a prompt where few are likely to serve it."""
        open_trackers = [tracker for tracker in ranked if self._is_open(tracker)]
        if not open_trackers:
            return self._refuse_closed(pool, trackers, ranked)
        allowed = [each for each in open_trackers if self._has_allowed_weights(prompt.model, each)]
        if not allowed:
            detail = f"no engine has the newest weights of {prompt.model}"
            return Failure(Code.OTHER_VERSION, Step.ADMIT, pool, detail, retry_after_s=RETRY_SOON_S)
        roomy = [tracker for tracker in allowed if _may_fit(prompt, tracker)]
        if not roomy:
            return _refuse_size(prompt, allowed)
        sound = [tracker for tracker in roomy if tracker.is_sound] or roomy
        usable = [tracker for tracker in sound if not tracker.is_avoided] or sound
        return Candidates(usable[:CANDIDATES_MAX], iter(usable[CANDIDATES_MAX:]))

    def _rank(self, affinity_key: str, pool: PoolId, trackers: list[Tracker]) -> list[Tracker]:
        """Return engines of a pool by a prompt's affinity; ranks are kept until entries change."""
        if (
            self._ranked_revision != self.upstreams.revision
            or len(self._ranked_by_key) >= RANKS_MAX
        ):
            self._ranked_revision = self.upstreams.revision
            self._ranked_by_key.clear()
        ranked = self._ranked_by_key.get((pool, affinity_key))
        if ranked is None:
            names = [entry.id for entry in self.upstreams.of_pool(pool)]
            ranked = self._ranked_by_key[pool, affinity_key] = rank_names(affinity_key, names)
        by_id = {tracker.id: tracker for tracker in trackers}
        return [by_id[name] for name in ranked if name in by_id]

    def _choose_engine(
        self, request: CallerRequest, prompt: Prompt, candidates: Candidates, may_refuse: bool
    ) -> Choice | Failure:
        weighing = Weighing(request, prompt, self.kept)
        margin_s = min(self.belief_lag_s(), ALIKE_SHARE * request.route.target_latency_s)
        best = weighing.weigh(candidates.first, margin_s)
        if self._excess_s(request, best) > 0:
            best = self._weigh_others(request, weighing, best, list(candidates.others))
        if may_refuse and self._excess_s(request, best) > 0:
            return self._refuse(request, best)
        if may_refuse:
            self.admitted_sizes.take(request.route.name, best.tokens)
        hall = best.tracker.entry.hall
        is_newest = not self.publications.replaced_at_least_s(prompt.model, best.version or 0)
        transfer = self.kept.plan(
            best.salt,
            prompt,
            weighing.holders_by_salt[best.salt],
            hall,
            best.covered_tokens,
            is_newest,
        )
        assignment = Assignment(
            best.salt,
            prompt.shared_parts,
            best.work_s,
            best.tokens,
            request.priority,
            best.fetch_s,
        )
        return Choice(
            best.tracker,
            best.version,
            transfer,
            len(candidates.first),
            assignment,
            best.first_s,
            best.wait_s,
            best.covered_tokens,
            best.missing_tokens,
            tuple(each.note() for each in weighing.estimates),
        )

    def _weigh_others(
        self, request: CallerRequest, weighing: Weighing, best: Estimate, others: list[Tracker]
    ) -> Estimate:
        """Return the best of all engines, where the first candidates make a request wait too long.

        Any engine may take it then, at the price of reading it: first a few that are drawn, so that
        hosts don't all find the same one, then all, before a request is refused.
        """
        if not others:
            return best
        for group in (random.sample(others, min(OVERFLOW_SAMPLE, len(others))), others):
            best = weighing.weigh([best.tracker, *group])
            if self._excess_s(request, best) <= 0:
                break
        return best

    def _excess_s(self, request: CallerRequest, best: Estimate) -> float:
        """Return how much too late the first event would come; at most 0 if it is let in.

        A request that is drawn is judged as if it needed what those let in lately need: as load
        grows these become smaller, and the large ones don't lose their turn to them.
        """
        own_s = best.excess_s(request)
        if own_s <= 0 or not request.is_judged_as_common:
            return own_s
        share = self.admitted_sizes.common_share(request.route.name, best.tokens)
        return best.excess_s(request, share)

    def _refuse(self, request: CallerRequest, best: Estimate) -> Failure:
        """Refuse, with the time after which it would be admitted; callers come back spread out."""
        target_s = request.route.target_latency_s
        own_s = best.first_s - best.wait_s
        detail = (
            f"the first event would take {best.first_s:.2f} s, {own_s:.2f} s of it to read "
            f"{best.missing_tokens} tokens, the target {target_s} s; {best.tokens} tokens of memory"
        )
        spread_s = RETRY_SOON_S * (0.5 + random.random())
        retry_after_s = self._excess_s(request, best) + spread_s
        pool = best.tracker.entry.pool
        return Failure(Code.OVERLOADED, Step.ADMIT, pool, detail, retry_after_s=retry_after_s)

    def _has_allowed_weights(self, model: ModelId, tracker: Tracker) -> bool:
        """Return whether an engine's weights were replaced less than the bound ago, or not."""
        version = tracker.version_by_model.get(model, 0)
        bound_s = self.version_bound_s - VERSION_MARGIN_S
        return not self.publications.is_replaced_for(model, version, bound_s)


def _rested_in_s(trackers: list[Tracker]) -> float:
    """Return in how many seconds the first of some upstreams has rested; 0 if one is awake.

    Callers come back spread out, so that it isn't run over at once.
    """
    rest_s = min((tracker.reported.rest_s for tracker in trackers), default=0.0)
    return rest_s + RETRY_SOON_S * random.random() if rest_s > 0 else 0.0


def _may_fit(prompt: Prompt, tracker: Tracker) -> bool:
    """Return whether an engine's memory, where it is known, holds the prompt."""
    capacity_tokens = tracker.memory.capacity_tokens
    return not capacity_tokens or prompt.tokens_in <= capacity_tokens


def _refuse_size(prompt: Prompt, trackers: list[Tracker]) -> Failure:
    """Refuse a prompt that no engine holds; coming back soon would change nothing."""
    largest = max(tracker.memory.capacity_tokens for tracker in trackers)
    detail = f"the prompt has {prompt.tokens_in} tokens, the largest engine's memory {largest}"
    return Failure(Code.FITS_NO_ENGINE, Step.ADMIT, trackers[0].entry.pool, detail)
