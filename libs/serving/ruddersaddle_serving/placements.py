"""Chooses the upstream for a request."""

import random
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Protocol

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, ModelId, PoolId, UpstreamId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.eligibility_rules import EligibilityRule
from ruddersaddle_serving.ports import Transfer
from ruddersaddle_serving.prompts import CallerRequest, Prompt
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.request_sizes import SizesByRoute
from ruddersaddle_serving.routes import Route
from ruddersaddle_serving.trackers import Assignment, Tracker, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_paths import PathBelief
from ruddersaddle_serving.upstream_quotas import UpstreamQuotas
from ruddersaddle_serving.weighings import CostEstimator, Estimate

CANDIDATES_MAX = 8
"""Engines that are compared for a prompt; each comparison takes 9 us. The candidates are selected
by the parts that prompts share, so that only a few engines cache the same part."""
CACHED_RANKINGS_MAX = 1000
"""Affinity keys whose engine rankings are cached."""
OVERFLOW_SAMPLE_SIZE = 2
"""Engines drawn at random if a request would wait too long at all candidates."""
TIE_SHARE = 0.2
"""Engines count as tied if their times to first event differ by less than the age of this host's
view and by less than this share of the target; one with an idle connection is drawn at random.
Always taking the earliest engine makes hosts with the same outdated view open more connections
(4,440 instead of 3,300 in 9 s, with 195 hosts and a view that is 0.1 s old) and miss more targets
under 1.6 times the usual load."""
VERSION_MARGIN_S = 2.5
"""Replaced weights are avoided this long before `version_bound_s` has passed: that time counts from
the operator's write, which this host receives up to a second later, and the request still has to be
delivered."""
RETRY_SOON_S = 0.25
"""Retry-after for a pool that currently has no usable upstream; an engine that refused is available
again, or another one is found, within some hundred milliseconds."""

RETRY_EVACUATED_S = 1.0
"""Retry-after for a pool whose halls are all evacuated: operators take seconds to revoke that, and
hosts receive the change within a second."""


class Choice(msgspec.Struct, frozen=True):
    """An upstream for one attempt of a request, and the figures that led to the choice."""

    tracker: Tracker
    version: int | None
    transfer: Transfer | None
    candidates: int
    assignment: Assignment | None = None
    first_s: float = 0.0
    """Time within which a response is expected: predicted for a prompt, else the route's target."""
    wait_s: float = 0.0
    """Predicted wait at the upstream before the prefill starts."""
    covered_tokens: int = 0
    """Tokens of the prompt that the engine is estimated to have cached."""
    missing_tokens: int = 0
    """Tokens that the engine has to prefill."""
    weighed: tuple[str, ...] = ()
    """Summary of each engine that was compared, for the log."""


class Candidates(msgspec.Struct, frozen=True):
    """Engines that may get a prompt, in the order of its affinity."""

    first: list[Tracker]
    """Engines that are always compared."""
    others: Iterator[Tracker]
    """Remaining engines, considered only if the prompt would wait too long at the first ones."""


class RegionChooser(Protocol):
    """Chooses among upstreams of several regions."""

    def choose(
        self,
        request: CallerRequest,
        pool: PoolId,
        trackers: list[Tracker],
        excluded: set[UpstreamId],
        may_refuse: bool,
    ) -> Choice | Failure:
        """Return one of the upstreams that may get a request, or why there is none."""

    def crossing_s(self, request: CallerRequest, tracker: Tracker) -> float:
        """Return how much later a first event arrives from an engine because of its region."""

    def record_sent(self, request: CallerRequest, tracker: Tracker) -> None:
        """Record that a request is sent to an upstream."""


class Placement:
    """Chooses upstreams by their entries, weights, cached parts and load.

    Replaced weights of a model may be used for `version_bound_s` after newer ones are published.
    """

    def __init__(
        self,
        hall: HallId,
        version_bound_s: float,
        publications: Publications,
        upstreams: UpstreamList,
        trackers: Trackers,
        cached_parts: CachedParts,
        quotas: UpstreamQuotas,
    ) -> None:
        self.hall = hall
        self.version_bound_s = version_bound_s
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.cached_parts = cached_parts
        self.quotas = quotas
        self.view_lag_s: Callable[[], float] = lambda: 0.0
        """Age of this host's view of others' requests, in seconds."""
        self.rules: list[EligibilityRule] = []
        """Rules of features that are switched on; applied in order, after evacuations."""
        self.may_choose_again: Callable[[CallerRequest], bool] = lambda request: False
        """Whether a rule selects other upstreams for a request that those it selected refused."""
        self.may_save_parts: Callable[[UpstreamEntry], bool] = lambda entry: True
        """Whether an engine may save parts to context stores."""
        self.region_chooser: RegionChooser | None = None
        """Chooses among upstreams of several regions; None if there is only one."""
        self.admitted_sizes = SizesByRoute()
        self._ranked_by_key: dict[tuple[PoolId, str], list[UpstreamId]] = {}
        self._ranked_revision = self.upstreams.revision

    def path_beliefs(self, pool: PoolId) -> list[PathBelief]:
        """Return which hosts reach each upstream of a pool that may get requests."""
        entries = self.upstreams.of_pool(pool)
        return [self.trackers.get_or_create(entry).path_belief for entry in entries]

    def pick_pool(self, route: Route) -> PoolId | None:
        """Return the pool of a request, drawn by the weights of the route's targets."""
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
        """Return the upstream for the next attempt, or why there is none.

        `may_refuse` is set for a new request, which may be refused because its first event would
        take too long.
        """
        choice = self._choose(request, pool, excluded, may_refuse)
        if isinstance(choice, Failure) and self.may_choose_again(request):
            return self._choose(request, pool, excluded, may_refuse)
        return choice

    def _choose(
        self, request: CallerRequest, pool: PoolId, excluded: set[UpstreamId], may_refuse: bool
    ) -> Choice | Failure:
        trackers = self._servable_trackers(request, pool, excluded)
        if isinstance(trackers, Failure):
            return trackers
        if self.region_chooser is not None:
            return self.region_chooser.choose(request, pool, trackers, excluded, may_refuse)
        return self.choose_among(request, pool, trackers, excluded, may_refuse)

    def make_estimator(self, request: CallerRequest, prompt: Prompt) -> CostEstimator:
        """Return an estimator of a prompt's cost on engines."""
        if self.region_chooser is None:
            return CostEstimator(request, prompt, self.cached_parts, may_fetch=self.may_fetch)
        crossing_s = self.region_chooser.crossing_s
        return CostEstimator(
            request,
            prompt,
            self.cached_parts,
            lambda each: crossing_s(request, each),
            self.may_fetch,
        )

    def choose_among(
        self,
        request: CallerRequest,
        pool: PoolId,
        trackers: list[Tracker],
        excluded: set[UpstreamId],
        may_refuse: bool,
    ) -> Choice | Failure:
        """Return the best of some upstreams of a pool, or why there is none."""
        untried = [tracker for tracker in trackers if tracker.id not in excluded]
        prompt = request.head.prompt
        if prompt is None:
            available = [tracker for tracker in untried if self.is_available(tracker)]
            available = self._without_failing(pool, available, untried)
            if not available:
                return self._refuse_unavailable(pool, trackers, untried)
            return self.choose_plain(request, available)
        candidates = self.find_candidates(prompt, pool, trackers, untried)
        if isinstance(candidates, Failure):
            return candidates
        return self._choose_engine(request, prompt, candidates, may_refuse)

    def _servable_trackers(
        self, request: CallerRequest, pool: PoolId, excluded: set[UpstreamId]
    ) -> list[Tracker] | Failure:
        """Return the upstreams of a pool that may get a request, or why there is none."""
        entries = self.upstreams.of_pool(pool)
        evacuations = self.publications.evacuations
        served = [entry for entry in entries if not evacuations.is_in_force(entry.hall)]
        if entries and not served:
            known_s = min(evacuations.age_s(entry.hall) for entry in entries)
            detail = (
                f"the halls of all {len(entries)} upstreams have been evacuated for {known_s:.1f} s"
            )
            return Failure(
                Code.EVACUATED, Step.ADMIT, pool, detail, retry_after_s=RETRY_EVACUATED_S
            )
        for rule in self.rules:
            selected = rule.select(request, served, excluded)
            if isinstance(selected, Failure):
                return selected
            served = selected
        return [self.trackers.get_or_create(entry) for entry in served]

    def is_available(self, tracker: Tracker) -> bool:
        """Return whether this host may send a request to an upstream at the moment."""
        return tracker.reported.backoff_s <= 0 and self.quotas.may_send(tracker)

    def _without_failing(
        self, pool: PoolId, available: list[Tracker], untried: list[Tracker]
    ) -> list[Tracker]:
        """Leave out upstreams of a brittle pool that fail while others only lack room.

        One that has fallen over looks idle, and would get every request that the others have no
        room for. Such a request may have run; one that waits, or is refused, has not. Single ones
        are sent to find out when it is back.
        """
        if self.trackers.brittle_pools.find(pool) is None:
            return available
        if not any(each.is_healthy and each.reported.backoff_s <= 0 for each in untried):
            return available
        return [each for each in available if each.is_healthy or each.may_be_tried]

    def _has_room_for(self, prompt: Prompt, tracker: Tracker) -> bool:
        """Return whether this host may send a prompt to an engine at the moment."""
        return self.is_available(tracker) and self.quotas.has_memory_room(tracker, prompt.tokens)

    def _refuse_unavailable(
        self, pool: PoolId, trackers: list[Tracker], untried: list[Tracker]
    ) -> Failure:
        """Refuse, because none of the `untried` upstreams is available."""
        ready = [tracker for tracker in untried if tracker.reported.backoff_s <= 0]
        roomy = [tracker for tracker in ready if self.quotas.has_room(tracker)]
        full = len(ready) - len(roomy)
        is_brittle = self.trackers.brittle_pools.find(pool) is not None
        failing = sum(is_brittle and not tracker.is_healthy for tracker in roomy)
        limited = sum(tracker.reported.rate_limit.bound_per_s() is not None for tracker in ready)
        counts = {
            "upstreams": len(trackers),
            "tried": len(trackers) - len(untried),
            "backing off": len(untried) - len(ready),
            "at their limit": limited,
            "brittle and full": full,
            "brittle and failing": failing,
            "cold": max(0, len(ready) - limited - full - failing),
        }
        detail = ", ".join(f"{count} {word}" for word, count in counts.items() if count)
        return Failure(
            Code.NO_UPSTREAM,
            Step.ADMIT,
            pool,
            detail,
            retry_after_s=_backoff_remaining_s(trackers) or RETRY_SOON_S,
        )

    def backoff_remaining_s(self, pool: PoolId) -> float:
        """Return the shortest remaining backoff in a pool, in seconds; 0 if one has none."""
        return _backoff_remaining_s(
            [self.trackers.get_or_create(each) for each in self.upstreams.of_pool(pool)]
        )

    def check_available(self, request: CallerRequest, tracker: Tracker) -> Failure | None:
        """Return why a request may no longer be sent to its chosen upstream, or None if it may."""
        hall = tracker.entry.hall
        forbidden = self._find_forbidding(request, tracker.entry)
        if self.upstreams.is_leaving(tracker.entry.instance):
            detail = "since it was chosen, it reported that it leaves"
        elif not self.upstreams.is_listed(tracker.entry.instance):
            detail = "since it was chosen, its entry has gone"
        elif self.publications.evacuations.is_in_force(hall):
            detail = f"since it was chosen, hall {hall} was evacuated"
        elif tracker.reported.backoff_s > 0:
            detail = "since it was chosen, it asked for a backoff"
        elif not self.quotas.may_send(tracker, is_counted=True):
            detail = (
                "it is cold, limited or brittle, and this host's quota was used up since it was "
                "chosen"
            )
        elif forbidden is not None:
            detail = forbidden
        else:
            return None
        return Failure(Code.NO_UPSTREAM, Step.SEND, tracker.id, detail, retry_after_s=RETRY_SOON_S)

    def _find_forbidding(self, request: CallerRequest, entry: UpstreamEntry) -> str | None:
        """Return why a rule forbids an upstream; None if all rules allow it."""
        reasons = (rule.check(request, entry) for rule in self.rules)
        return next((reason for reason in reasons if reason is not None), None)

    def choose_plain(self, request: CallerRequest, trackers: list[Tracker]) -> Choice:
        """Return the least loaded of some plain services."""
        usable = [tracker for tracker in trackers if tracker.is_healthy] or trackers
        chosen = min(usable, key=self._plain_sort_key)
        first_s = request.route.target_latency_s
        return Choice(chosen, None, None, len(usable), first_s=first_s)

    def _plain_sort_key(self, tracker: Tracker) -> tuple[float, bool, float]:
        share = tracker.in_flight / max(1, tracker.entry.slots)
        return share, tracker.entry.hall != self.hall, random.random()

    def find_candidates(
        self, prompt: Prompt, pool: PoolId, trackers: list[Tracker], untried: list[Tracker]
    ) -> Candidates | Failure:
        """Return the engines that may get a prompt, or why there is none.

        Engines are checked in the order of the prompt's affinity until there are enough.
        """
        ranked = self._rank(prompt.affinity_key, pool, untried)
        usable = (tracker for tracker in ranked if self._is_usable(prompt, tracker))
        first = list(islice(usable, CANDIDATES_MAX))
        if len(first) == CANDIDATES_MAX:
            return Candidates(first, usable)
        return self._find_fallback_candidates(prompt, pool, trackers, ranked)

    def _is_usable(self, prompt: Prompt, tracker: Tracker) -> bool:
        """Return whether an engine may get a prompt and is likely to serve it."""
        return (
            self._has_room_for(prompt, tracker)
            and self._has_allowed_weights(prompt.model, tracker)
            and _may_fit(prompt, tracker)
            and tracker.is_healthy
            and not tracker.is_avoided
        )

    def _find_fallback_candidates(
        self, prompt: Prompt, pool: PoolId, trackers: list[Tracker], ranked: list[Tracker]
    ) -> Candidates | Failure:
        """Return the engines that may get a prompt if too few are likely to serve it."""
        available = [tracker for tracker in ranked if self._has_room_for(prompt, tracker)]
        available = self._without_failing(pool, available, ranked)
        if not available:
            return self._refuse_unavailable(pool, trackers, ranked)
        allowed = [each for each in available if self._has_allowed_weights(prompt.model, each)]
        if not allowed:
            detail = f"no engine has the newest weights of {prompt.model}"
            return Failure(Code.OTHER_VERSION, Step.ADMIT, pool, detail, retry_after_s=RETRY_SOON_S)
        large_enough = [tracker for tracker in allowed if _may_fit(prompt, tracker)]
        if not large_enough:
            return _refuse_size(prompt, allowed)
        healthy = [tracker for tracker in large_enough if tracker.is_healthy] or large_enough
        usable = [tracker for tracker in healthy if not tracker.is_avoided] or healthy
        return Candidates(usable[:CANDIDATES_MAX], iter(usable[CANDIDATES_MAX:]))

    def _rank(self, affinity_key: str, pool: PoolId, trackers: list[Tracker]) -> list[Tracker]:
        """Return engines by a prompt's affinity; rankings are cached until entries change."""
        if (
            self._ranked_revision != self.upstreams.revision
            or len(self._ranked_by_key) >= CACHED_RANKINGS_MAX
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
        estimator = self.make_estimator(request, prompt)
        margin_s = min(self.view_lag_s(), TIE_SHARE * request.route.target_latency_s)
        best = estimator.pick_earliest(candidates.first, margin_s)
        if self._admission_excess_s(request, best) > 0:
            best = self._consider_others(request, estimator, best, list(candidates.others))
        if may_refuse and self._admission_excess_s(request, best) > 0:
            return self._refuse(request, best)
        if may_refuse:
            self.admitted_sizes.record(request.route.name, best.tokens)
        return self.make_choice(request, prompt, estimator, best, len(candidates.first))

    def make_choice(
        self,
        request: CallerRequest,
        prompt: Prompt,
        estimator: CostEstimator,
        best: Estimate,
        candidates: int,
    ) -> Choice:
        """Return the choice of an engine, with the transfers of its parts."""
        hall = best.tracker.entry.hall
        is_newest = not self.publications.replaced_at_least_s(prompt.model, best.version or 0)
        transfer = self.cached_parts.plan(
            best.salt,
            prompt,
            estimator.holders_for(best.tracker, best.salt),
            hall,
            best.covered_tokens,
            is_newest and self.may_save_parts(best.tracker.entry),
        )
        assignment = Assignment(
            best.salt,
            prompt.shared_parts,
            best.prefill_s,
            best.tokens,
            request.priority,
            best.fetch_s,
        )
        return Choice(
            best.tracker,
            best.version,
            transfer,
            candidates,
            assignment,
            best.first_s,
            best.wait_s,
            best.covered_tokens,
            best.missing_tokens,
            tuple(each.summary() for each in estimator.estimates),
        )

    def _consider_others(
        self,
        request: CallerRequest,
        estimator: CostEstimator,
        best: Estimate,
        others: list[Tracker],
    ) -> Estimate:
        """Return the best of all engines if a request would wait too long at the first candidates.

        Any engine may get it then, at the cost of a full prefill: first a few that are drawn at
        random, so that hosts don't all choose the same one, then all, before it is refused.
        """
        if not others:
            return best
        for group in (random.sample(others, min(OVERFLOW_SAMPLE_SIZE, len(others))), others):
            best = estimator.pick_earliest([best.tracker, *group])
            if self._admission_excess_s(request, best) <= 0:
                break
        return best

    def _admission_excess_s(self, request: CallerRequest, best: Estimate) -> float:
        """Return by how much the first event would be too late; at most 0 if it is admitted.

        A randomly drawn part of the requests is judged as if they had the median size of recently
        admitted ones. As load grows, that size shrinks, so large requests are not starved.
        """
        own_s = best.excess_s(request)
        if own_s <= 0 or not request.is_judged_as_median:
            return own_s
        share = self.admitted_sizes.median_share(request.route.name, best.tokens)
        return best.excess_s(request, share)

    def _refuse(self, request: CallerRequest, best: Estimate) -> Failure:
        """Refuse a request, with the predicted time until it would be admitted as retry-after.

        Jitter spreads out the retries.
        """
        target_s = request.route.target_latency_s
        own_s = best.first_s - best.wait_s
        detail = (
            f"first event predicted in {best.first_s:.2f} s, {own_s:.2f} s of it for prefill of "
            f"{best.missing_tokens} tokens, target {target_s} s; needs {best.tokens} memory tokens"
        )
        spread_s = RETRY_SOON_S * (0.5 + random.random())
        retry_after_s = self._admission_excess_s(request, best) + spread_s
        pool = best.tracker.entry.pool
        return Failure(Code.OVERLOADED, Step.ADMIT, pool, detail, retry_after_s=retry_after_s)

    def may_fetch(self, model: ModelId, tracker: Tracker) -> bool:
        """Return whether an engine may fetch parts of its weights.

        While the entry of an engine with replaced weights is missing, hosts take the parts of these
        weights for unused and free them. So it may fetch them only if this host knows that it has
        had its entry all the time since they were the newest.
        """
        version = tracker.version_by_model.get(model, 0)
        named = self.publications.version_by_model.get(model, 0)
        if self.upstreams.newest_weights(model) > max(version, named):
            # Newer weights are in use, and this host hasn't heard yet when they were named.
            return False
        newest_at = self.publications.known_newest_at(model, version)
        return newest_at is None or self.upstreams.entry_followed_since(tracker.id) <= newest_at

    def _has_allowed_weights(self, model: ModelId, tracker: Tracker) -> bool:
        """Return whether an engine's weights are current, or are outdated within the bound."""
        version = tracker.version_by_model.get(model, 0)
        bound_s = self.version_bound_s - VERSION_MARGIN_S
        return not self.publications.is_replaced_for(model, version, bound_s)


def _backoff_remaining_s(trackers: list[Tracker]) -> float:
    """Return the shortest remaining backoff of some upstreams, in seconds; 0 if one has none.

    Jitter spreads out the retries, so that the upstream isn't overloaded when it is back.
    """
    backoff_s = min((tracker.reported.backoff_s for tracker in trackers), default=0.0)
    return backoff_s + RETRY_SOON_S * random.random() if backoff_s > 0 else 0.0


def _may_fit(prompt: Prompt, tracker: Tracker) -> bool:
    """Return whether the prompt fits an engine's memory; true if its size is unknown."""
    capacity_tokens = tracker.memory.capacity_tokens
    return not capacity_tokens or prompt.tokens_in <= capacity_tokens


def _refuse_size(prompt: Prompt, trackers: list[Tracker]) -> Failure:
    """Refuse a prompt that fits no engine, without a retry-after, as a retry would fail as well."""
    largest = max(tracker.memory.capacity_tokens for tracker in trackers)
    detail = f"prompt of {prompt.tokens_in} tokens exceeds the largest engine memory of {largest}"
    return Failure(Code.FITS_NO_ENGINE, Step.ADMIT, trackers[0].entry.pool, detail)
