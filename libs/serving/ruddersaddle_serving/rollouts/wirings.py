"""Connects a host's part in rollouts with the components that choose, send, and exchange state."""

from ruddersaddle_base.ids import Incarnation

from ruddersaddle_serving.forwarders import Forwarder
from ruddersaddle_serving.neighbours import Neighbours
from ruddersaddle_serving.rollouts.attempt_outcomes import AttemptOutcomes
from ruddersaddle_serving.rollouts.orders import ExposureLimits
from ruddersaddle_serving.rollouts.participants import RolloutParticipant
from ruddersaddle_serving.rollouts.service_baselines import ServiceBaselines
from ruddersaddle_serving.standstills import StallMonitor
from ruddersaddle_serving.upstream_quotas import UpstreamQuotas


def connect_rollouts(
    limits: ExposureLimits,
    process: Incarnation,
    neighbours: Neighbours,
    quotas: UpstreamQuotas,
    forwarder: Forwarder,
    stalls: StallMonitor,
) -> RolloutParticipant | None:
    """Return a host's part in rollouts; None, and nothing is changed, if they are switched off."""
    if not limits.is_enabled:
        return None
    placement = forwarder.placement
    upstreams, trackers = placement.upstreams, placement.trackers
    rollouts = RolloutParticipant(
        limits,
        process,
        neighbours.hosts,
        neighbours.peers,
        neighbours.store,
        placement.publications,
        upstreams,
        lambda entry: not trackers.get_or_create(entry).is_unresponsive,
        lambda entry: placement.is_available(trackers.get_or_create(entry)),
    )
    placement.rules.append(rollouts.selection)
    placement.may_choose_again = rollouts.selection.returns_to_old
    placement.may_save_parts = rollouts.may_save_parts
    outcomes = AttemptOutcomes(
        rollouts.book,
        rollouts.exchange,
        ServiceBaselines(upstreams, trackers),
        quotas,
        neighbours.crashes.records,
        stalls,
    )
    rollouts.count_old_runs = outcomes.count_old_runs
    forwarder.outcomes = outcomes
    neighbours.rollouts = rollouts
    return rollouts
