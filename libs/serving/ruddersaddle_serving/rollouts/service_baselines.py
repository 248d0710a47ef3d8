"""Service times of a pool's old upstreams, by which answers of new ones are judged.

Each engine's estimates adapt to what it shows, so that a slow version would soon be expected to be
slow. Both sides are therefore compared with the median of the old engines.
"""

from statistics import median_low

import msgspec
from ruddersaddle_base import clocks

from ruddersaddle_serving.placements import Choice
from ruddersaddle_serving.rollouts.order_books import Rollout
from ruddersaddle_serving.rollouts.orders import VersionSide
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList

REFRESH_S = 0.5
"""Age at which medians are computed again; the estimates move by 3 % with each observation."""


class OldTimes(msgspec.Struct, frozen=True):
    """Median estimates of old engines at a time of the boot-time clock."""

    at: float
    prefill_factor: float
    overhead_s: float


class ServiceBaselines:
    """Median service times of old engines by order; they remain when the last one has left."""

    def __init__(self, upstreams: UpstreamList, trackers: Trackers) -> None:
        self.upstreams = upstreams
        self.trackers = trackers
        self._times_by_rollout: dict[Rollout, OldTimes] = {}

    def predict_s(self, rollout: Rollout, choice: Choice) -> float | None:
        """Return the time to the first event that an old engine would take instead of the chosen.

        The wait is scaled to the old engines' speed, as what is queued would be processed sooner.
        None if no old engine is known.
        """
        old = self._find(rollout)
        if old is None:
            return None
        own_factor = choice.tracker.load.service_time.prefill_factor
        wait_s = choice.wait_s * min(1.0, old.prefill_factor / own_factor)
        assigned = choice.assignment
        prefill_s = assigned.prefill_s * old.prefill_factor
        return wait_s + old.overhead_s + assigned.fetch_s + prefill_s

    def _find(self, rollout: Rollout) -> OldTimes | None:
        known = self._times_by_rollout.get(rollout)
        now = clocks.now_s()
        if known is not None and now - known.at < REFRESH_S:
            return known
        times = [
            self.trackers.get_or_create(entry).load.service_time
            for entry in self.upstreams.of_pool(rollout.id.pool)
            if rollout.side_of(entry) is VersionSide.BASELINE
        ]
        if times:
            factor = median_low(each.prefill_factor for each in times)
            overhead_s = median_low(each.overhead_s for each in times)
            known = OldTimes(now, factor, overhead_s)
            serving = {each: old for each, old in self._times_by_rollout.items() if each.is_serving}
            self._times_by_rollout = {**serving, rollout: known}
        return known
