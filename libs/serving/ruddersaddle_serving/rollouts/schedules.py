"""How much of each route's traffic goes to the target version, and when the routes move.

The bound of the exposure is kept by the total that the target gets until the order's duration is
over, not by the speed of detection. Times are in seconds since the order.
"""

from collections.abc import Collection, Iterable

import msgspec
from ruddersaddle_base.ids import UpstreamId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.rollouts.counts import OrderId
from ruddersaddle_serving.rollouts.exposures import (
    SAMPLING_SHARE,
    UNLIMITED,
    USED_SHARE,
    HostAllowance,
    allowed_requests,
    split_allowance,
)
from ruddersaddle_serving.rollouts.orders import RolloutPhase
from ruddersaddle_serving.rollouts.situations import RouteTraits, Situation
from ruddersaddle_serving.routes import RouteName

TOTALS_TRUST_S = 1.5
"""With older totals, nothing is sent to the target while the old version is usable."""
SAMPLES_PER_ROUTE = 20
MOVED_UPSTREAMS_FACTOR = 1.25
"""While only some routes have moved, so many times the upstreams that their load needs get it. On
all upstreams, the load of each would stay too low to show a version that is bad under load."""
EARLY_SAMPLES_PART = 0.2
"""Part of the usual rate of samples while those left can't load an upstream until the first move.
The others follow at the end of the sampling, where they load it, and show a version that has turned
bad in the meantime."""
LOADING_MIN_S = 2.0
"""Least time over which these are spread, so that totals keep up."""
LOADED_UPSTREAMS = 2
"""Upstreams that bear the load of old ones during the sampling, if the exposure allows it: a
version that is bad only under load has to show it before all traffic moves."""
ROUTE_SHARE_MAX = 0.5
"""Largest share of a route that is sampled, so that the old version remains comparable."""
ONCE_DELAY = 0.25
"""Part of the sampling time after which routes whose requests may run only once are sampled."""
SUSPICION_DELAY = 0.5
"""The same while there is weak evidence against the target."""
SAMPLING_TIME_SHARE = 0.5
"""Part of the duration that is sampling at least, however many requests the exposure allows."""
COMPLETION_RESERVE_S = 0.5
"""Time before the end of the duration at which `completed` is written at the latest."""
CONFIRM_S = 0.6
"""Time in which hosts learn of the last move and confirm that they send to no old upstream."""
RESERVE_PART = 0.3
CONFIRM_PART = 0.25
"""Parts of the exposure left for moving that these times may use. Of 12 s with 414 requests a
second, all traffic may go to the target for 0.8 s only, and what the first routes to move show has
to be known before `completed` is written."""
RESERVE_MIN_S = 0.3
"""Least reserve, if the exposure allows it: the decision and the status are two appends in turn."""
RESERVE_PART_MAX = 0.6
LEAD_PARTS = (1 / 3, 2 / 3)
"""The leads are given out in two rounds, so that streams that can be resumed get a lead before the
others get more than a third of their time-out, which most runs don't reach."""
SPAN_MIN_S = 0.5
"""Least time over which missing samples are spread."""
VIEW_AGE_S = 0.5
"""Usual age of the totals that a host acts on."""


class SharePlan(msgspec.Struct, frozen=True):
    """Which part of the traffic goes to the target version."""

    phase: RolloutPhase
    share_by_route: dict[RouteName, float]
    """Share of each route's requests, 0 to 1; a route that is missing has 0."""
    sample_upstreams: int
    """Number of the target's upstreams that get requests; see `choose_upstreams`."""
    shifted: frozenset[RouteName] = frozenset()
    """Routes that have moved."""

    def without_growth(self, earlier: "SharePlan | None") -> "SharePlan":
        """Return the plan for a host without a fresh grant: nothing exceeds the earlier plan."""
        if earlier is None:
            return SharePlan(RolloutPhase.SAMPLING, {}, 0)
        before = earlier.share_by_route
        return SharePlan(
            earlier.phase,
            {
                route: min(share, before.get(route, 0.0))
                for route, share in self.share_by_route.items()
            },
            min(self.sample_upstreams, earlier.sample_upstreams),
            self.shifted & earlier.shifted,
        )


class MovingTimes(msgspec.Struct, frozen=True):
    """When routes move, and how many samples are taken before."""

    start_by_route: dict[RouteName, float]
    complete_by_s: float
    samples: float

    @property
    def first_s(self) -> float:
        """When the first route moves, which ends the sampling."""
        return min(self.start_by_route.values(), default=self.complete_by_s)


def plan(situation: Situation) -> SharePlan:
    """Return the shares of the routes, as far as the exposure and the capacities allow them."""
    if situation.target.upstreams == 0:
        return SharePlan(RolloutPhase.SAMPLING, {}, 0)
    routes = [each.route for each in situation.traits]
    if situation.baseline.upstreams == 0:
        shares = dict.fromkeys(routes, 1.0)
        number = situation.target.upstreams
        return SharePlan(RolloutPhase.SHIFTING, shares, number, frozenset(routes))
    if situation.totals_age_s > TOTALS_TRUST_S:
        return SharePlan(RolloutPhase.SAMPLING, {}, 0)
    times = moving_times(situation)
    shifted = _shifted(situation, times)
    shares = _sample_shares(situation, times)
    if shifted:
        shares.update(dict.fromkeys(shifted, 1.0))
        number = _sample_upstreams(situation, shares, MOVED_UPSTREAMS_FACTOR)
        return SharePlan(RolloutPhase.SHIFTING, shares, number, shifted)
    return SharePlan(RolloutPhase.SAMPLING, shares, _sample_upstreams(situation, shares, 1.0))


def _shifted(situation: Situation, times: MovingTimes) -> frozenset[RouteName]:
    """Return the routes that have moved; all go back if the target can't bear the load."""
    if not situation.target.can_replace(situation.baseline):
        return frozenset()
    if not situation.decides_moves:
        return situation.shifted
    due = {
        route for route, start_s in times.start_by_route.items() if start_s <= situation.elapsed_s
    }
    return frozenset(due) | situation.shifted


def moving_times(situation: Situation) -> MovingTimes:
    """Return when the routes move, computed backwards from the end of the duration.

    What the exposure leaves after the samples is split between the time after `completed` is
    written, the time in which hosts confirm, and the leads of the routes whose runs last longest.
    """
    duration_s, rate = situation.duration_s, situation.rate
    requests = situation.totals.requests + rate * situation.left_s
    allowed = allowed_requests(situation.limits, requests)
    samples = _samples(situation, allowed)
    left = max(0.0, USED_SHARE * allowed - samples)
    full_s = left / rate if rate > 0 else duration_s
    reserve_s = min(COMPLETION_RESERVE_S, RESERVE_PART * full_s)
    reserve_s = max(reserve_s, min(RESERVE_MIN_S, RESERVE_PART_MAX * full_s))
    confirm_s = min(CONFIRM_S, CONFIRM_PART * full_s, full_s - reserve_s)
    left -= rate * (reserve_s + confirm_s)
    last_s = duration_s - reserve_s - confirm_s
    earliest_s = SAMPLING_TIME_SHARE * duration_s
    leads = _leads(situation, left)
    starts = {route: max(earliest_s, last_s - lead_s) for route, lead_s in leads.items()}
    return MovingTimes(starts, max(earliest_s, duration_s - reserve_s), samples)


def _leads(situation: Situation, left: float) -> dict[RouteName, float]:
    """Return how long before the last move each route moves, using at most `left` requests."""
    leads = {each.route: 0.0 for each in situation.traits}
    for part in LEAD_PARTS:
        for group in _moving_groups(situation):
            need = sum(_rate(situation, each) * each.lead_max_s * part for each in group)
            scale = min(1.0, left / need) if need > 0 else 1.0
            left = max(0.0, left - need * scale)
            for each in group:
                leads[each.route] += scale * part * each.lead_max_s
    return leads


def _moving_groups(situation: Situation) -> list[list[RouteTraits]]:
    """Return the routes in the order in which they move; those of one group share their lead.

    Calls leave no runs behind, so their routes move one by one, the busiest first: it gets a longer
    lead, and loads some of the target's upstreams fully before the others move.
    """
    by_rank: list[list[RouteTraits]] = [[], [], []]
    for each in situation.traits:
        by_rank[each.moving_rank].append(each)
    streams, resumable, calls = by_rank
    calls.sort(key=lambda each: (-_rate(situation, each), each.route))
    return [streams, resumable, *([each] for each in calls)]


def _rate(situation: Situation, traits: RouteTraits) -> float:
    return situation.rate_by_route.get(traits.route, 0.0)


def _samples(situation: Situation, allowed: float) -> float:
    """Return how many samples are taken before the first move."""
    load = _loaded_rate(situation) * situation.duration_s
    wanted = max(SAMPLES_PER_ROUTE * len(situation.traits), load)
    return min(SAMPLING_SHARE * allowed, wanted)


def _loaded_rate(situation: Situation) -> float:
    """Return how many samples a second load `LOADED_UPSTREAMS` like old ones."""
    rate_per_slot = situation.rate / max(1, situation.baseline.slots)
    loaded = LOADED_UPSTREAMS * rate_per_slot * _slots_per_upstream(situation)
    return min(loaded, ROUTE_SHARE_MAX * situation.rate)


def _slots_per_upstream(situation: Situation) -> float:
    return max(1.0, situation.target.slots / max(1, situation.target.upstreams))


def _sample_shares(situation: Situation, times: MovingTimes) -> dict[RouteName, float]:
    """Return each route's share of samples, so that all together keep within their number."""
    rate = situation.rate
    if rate <= 0:
        share = SAMPLING_SHARE * situation.limits.share
        return {
            each.route: share for each in situation.traits if _may_sample(situation, each, times)
        }
    left_s = max(times.first_s - situation.elapsed_s, SPAN_MIN_S)
    left = max(0.0, times.samples - situation.totals.target_sent)
    loading_s = max(LOADING_MIN_S, left / max(_loaded_rate(situation), 1e-9))
    part = 1.0 if left_s <= loading_s else EARLY_SAMPLES_PART
    base = left / (rate * left_s)
    shares = {
        each.route: min(ROUTE_SHARE_MAX, part * max(base, _missing_share(situation, each, left_s)))
        for each in situation.traits
        if _may_sample(situation, each, times)
    }
    used = left_s * sum(
        share * situation.rate_by_route.get(route, 0.0) for route, share in shares.items()
    )
    scale = min(1.0, left / used) if used > 0 else 1.0
    return {route: share * scale for route, share in shares.items()}


def _may_sample(situation: Situation, traits: RouteTraits, times: MovingTimes) -> bool:
    """Return whether a route may be sampled yet: repeatable routes come first."""
    if traits.is_repeatable or not any(each.is_repeatable for each in situation.traits):
        return True
    delay = SUSPICION_DELAY if situation.is_suspicious else ONCE_DELAY
    return situation.elapsed_s >= delay * times.first_s


def _missing_share(situation: Situation, traits: RouteTraits, left_s: float) -> float:
    """Return the share of a route that gives the samples that it still lacks."""
    counts = situation.totals.by_route.get(traits.route)
    sent = 0 if counts is None else counts.target.sent
    expected = _rate(situation, traits) * left_s
    missing = max(0, SAMPLES_PER_ROUTE - sent)
    return missing / expected if expected > 0 else ROUTE_SHARE_MAX


def _sample_upstreams(situation: Situation, shares: dict[RouteName, float], factor: float) -> int:
    """Return how many upstreams get requests: each bears the load of an old one over `factor`.

    At least two get samples, so that a fault of one can be told from a fault of the version.
    """
    rate = situation.rate
    sampled = sum(
        share * situation.rate_by_route.get(route, 0.0) for route, share in shares.items()
    )
    share = sampled / rate if rate > 0 else SAMPLING_SHARE * situation.limits.share
    number = int(factor * share * situation.baseline.slots / _slots_per_upstream(situation))
    return min(situation.target.upstreams, max(LOADED_UPSTREAMS, number))


def choose_upstreams(
    order: OrderId,
    upstreams: Iterable[UpstreamId],
    suspects: Collection[UpstreamId],
    number: int,
) -> frozenset[UpstreamId]:
    """Return the target's upstreams that get requests; the same on all hosts.

    If one becomes a suspect, the next in rank takes its place and the others remain.
    """
    ranked = rank_names(order, [each for each in upstreams if each not in suspects])
    return frozenset(ranked[:number])


def host_allowance(situation: Situation, shares: SharePlan, own_share: float) -> HostAllowance:
    """Return how many requests a host may send to the target until it has newer totals.

    `own_share` is the part of the service's requests that this host gets, 0 to 1. Before
    `completed`, the requests between it and the end of the duration are held back.
    """
    if situation.baseline.upstreams == 0:
        return UNLIMITED
    limits, totals = situation.limits, situation.totals
    allowed = allowed_requests(limits, totals.requests)
    remaining = USED_SHARE * allowed - totals.target_sent
    per_request = USED_SHARE * limits.share
    if shares.phase is RolloutPhase.SHIFTING:
        after_s = situation.duration_s - moving_times(situation).complete_by_s
        remaining -= situation.rate * after_s * (1.0 - per_request)
    else:
        requests = totals.requests + situation.rate * situation.left_s
        samples = SAMPLING_SHARE * allowed_requests(limits, requests)
        remaining = min(remaining, samples - totals.target_sent)
        per_request = SAMPLING_SHARE * limits.share
    expected = VIEW_AGE_S * sum(
        share * situation.rate_by_route.get(route, 0.0)
        for route, share in shares.share_by_route.items()
    )
    return split_allowance(remaining, per_request, own_share, expected, allowed)


def may_complete(situation: Situation) -> bool:
    """Return whether the exposure allows to complete now, with all traffic on the target.

    It does from `complete_by_s` on, and earlier where all requests until the end are within it.
    """
    rest = situation.rate * situation.left_s
    allowed = USED_SHARE * allowed_requests(situation.limits, situation.totals.requests + rest)
    if situation.totals.target_sent + rest <= allowed:
        return True
    return situation.elapsed_s >= complete_by_s(situation)


def complete_by_s(situation: Situation) -> float:
    """Return when `completed` must be written at the latest, in seconds since the order."""
    return moving_times(situation).complete_by_s
