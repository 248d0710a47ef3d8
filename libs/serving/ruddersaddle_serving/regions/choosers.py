"""Chooses among upstreams of several regions by the rules of `choices`."""

from collections.abc import Callable

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import PoolId, RegionId, UpstreamId

from ruddersaddle_serving.placements import (
    RETRY_EVACUATED_S,
    TIE_SHARE,
    Choice,
    Placement,
)
from ruddersaddle_serving.prompts import CallerRequest, Prompt
from ruddersaddle_serving.regions.choices import (
    crossing_s,
    has_free_slot,
    is_reachable,
    is_usable,
    may_overflow,
    pick_crossing,
    select_with_room,
    split_by_region,
)
from ruddersaddle_serving.regions.links import Link, RegionLinks
from ruddersaddle_serving.trackers import Tracker


class LocalFirstChooser:
    """Chooses upstreams of the own region first; the placement decides within a region."""

    def __init__(
        self,
        placement: Placement,
        links: RegionLinks,
        record_request: Callable[[RegionId | None, int], None] = lambda region, body_bytes: None,
    ) -> None:
        self.placement = placement
        self.links = links
        self.record_request = record_request
        """Called with the region and the size of the body of each request sent elsewhere."""
        self.crossings = 0
        """Requests that were sent to an upstream of another region."""

    @classmethod
    def attach(
        cls,
        placement: Placement,
        links: RegionLinks,
        record_request: Callable[[RegionId | None, int], None] = lambda region, body_bytes: None,
    ) -> "LocalFirstChooser | None":
        """Have a placement choose by region; None, and no effect, if there is only one."""
        if not links.regions.is_divided:
            return None
        placement.region_chooser = chooser = cls(placement, links, record_request)
        return chooser

    def choose(
        self,
        request: CallerRequest,
        pool: PoolId,
        trackers: list[Tracker],
        excluded: set[UpstreamId],
        may_refuse: bool,
    ) -> Choice | Failure:
        """Return an upstream of the own region or, if none there serves in time, of another one.

        If the own region has none that may get the request, or all of them were tried, those of
        others are chosen by the same rules as their own hosts do.
        """
        split = split_by_region(trackers, self.links.regions)
        choose_among = self.placement.choose_among
        is_own_tried = all(each.id in excluded for each in split.own)
        if not split.own or (is_own_tried and split.others):
            return self._choose_elsewhere(request, pool, split.others, excluded, may_refuse)
        choice = choose_among(request, pool, split.own, excluded, True)
        if self._is_served_in_time(request, choice, split.own, excluded):
            return choice
        others = [each for each in split.others if may_overflow(self._link_to(each))]
        crossing = self._choose_crossing(request, pool, others, excluded)
        if crossing is not None:
            return crossing
        if may_refuse or isinstance(choice, Choice):
            return choice
        return choose_among(request, pool, split.own, excluded, False)

    def _choose_elsewhere(
        self,
        request: CallerRequest,
        pool: PoolId,
        others: list[Tracker],
        excluded: set[UpstreamId],
        may_refuse: bool,
    ) -> Choice | Failure:
        """Choose for a request that only other regions may serve."""
        reachable = [each for each in others if is_reachable(self._link_to(each))]
        if others and not reachable:
            detail = f"the regions of all {len(others)} upstreams don't answer"
            return Failure(
                Code.NO_UPSTREAM, Step.ADMIT, pool, detail, retry_after_s=RETRY_EVACUATED_S
            )
        return self.placement.choose_among(request, pool, reachable, excluded, may_refuse)

    def _is_served_in_time(
        self,
        request: CallerRequest,
        choice: Choice | Failure,
        own: list[Tracker],
        excluded: set[UpstreamId],
    ) -> bool:
        """Return whether the own region serves a request as it should.

        An upstream that isn't usable is chosen only if none is.
        """
        if isinstance(choice, Failure) or not is_usable(choice.tracker):
            return False
        return request.head.prompt is not None or bool(self._free_services(own, excluded))

    def _free_services(self, trackers: list[Tracker], excluded: set[UpstreamId]) -> list[Tracker]:
        is_available = self.placement.is_available
        return [
            each
            for each in trackers
            if each.id not in excluded and has_free_slot(each) and is_available(each)
        ]

    def _choose_crossing(
        self,
        request: CallerRequest,
        pool: PoolId,
        others: list[Tracker],
        excluded: set[UpstreamId],
    ) -> Choice | None:
        """Return an upstream of another region that has room, or None if there is none."""
        prompt = request.head.prompt
        if prompt is not None:
            return self._choose_crossing_engine(request, prompt, pool, others, excluded)
        free = self._free_services(others, excluded)
        return self.placement.choose_plain(request, free) if free else None

    def _choose_crossing_engine(
        self,
        request: CallerRequest,
        prompt: Prompt,
        pool: PoolId,
        others: list[Tracker],
        excluded: set[UpstreamId],
    ) -> Choice | None:
        placement = self.placement
        with_room = select_with_room(others, self.links.regions, prompt.tokens)
        untried = [tracker for tracker in with_room if tracker.id not in excluded]
        candidates = placement.find_candidates(prompt, pool, others, untried)
        if isinstance(candidates, Failure):
            return None
        estimator = placement.make_estimator(request, prompt)
        target_s = request.route.target_latency_s
        for group in (candidates.first, list(candidates.others)):
            best = pick_crossing(estimator.estimate_all(group), target_s, TIE_SHARE * target_s)
            if best is not None:
                compared = len(estimator.estimates)
                return placement.make_choice(request, prompt, estimator, best, compared)
        return None

    def _link_to(self, tracker: Tracker) -> Link:
        return self.links.to_hall(tracker.entry.hall)

    def crossing_s(self, request: CallerRequest, tracker: Tracker) -> float:
        """Return how much later a first event arrives from an engine because of its region."""
        if self.links.regions.is_own(tracker.entry.hall):
            return 0.0
        has_connection = tracker.connections.has_idle_for(request.id)
        return crossing_s(self._link_to(tracker), len(request.body), has_connection)

    def record_sent(self, request: CallerRequest, tracker: Tracker) -> None:
        """Record that a request is sent to an upstream, if that is in another region."""
        regions = self.links.regions
        if not regions.is_own(tracker.entry.hall):
            self.crossings += 1
            self.record_request(regions.region_of(tracker.entry.hall), len(request.body))
