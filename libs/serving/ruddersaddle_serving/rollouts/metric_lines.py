"""Lines of the metrics page on rollouts."""

from collections.abc import Iterable

from ruddersaddle_serving.metric_pages import Labels, format_labelled_gauges
from ruddersaddle_serving.rollouts.counts import Tally
from ruddersaddle_serving.rollouts.exposures import allowed_requests
from ruddersaddle_serving.rollouts.order_books import Rollout
from ruddersaddle_serving.rollouts.orders import RolloutState
from ruddersaddle_serving.rollouts.participants import RolloutParticipant


def format_rollouts(participant: RolloutParticipant | None) -> list[str]:
    """Return the lines of a host's page; none on deployments without rollouts."""
    if participant is None:
        return []
    requests = "requests since the order: all, sent to the target, and allowed to it"
    gauges = (
        ("rollout_state", "1 for the current state of the newest order", _state_rows),
        ("rollout_requests", requests, _exposure_rows),
        ("rollout_share", "share of a route that goes to the target", _share_rows),
        ("rollout_answers", "answers since the order by side and kind", _answer_rows),
    )
    return [
        line
        for name, help_text, rows in gauges
        for line in format_labelled_gauges(name, help_text, rows(participant))
    ]


def _state_rows(participant: RolloutParticipant) -> list[tuple[Labels, float]]:
    """Return 1 for the state of each service's newest order and 0 for the others."""
    return [
        ({"service": rollout.id.pool, "target": rollout.id.target, "state": state.value}, value)
        for rollout in participant.book.by_pool.values()
        for state in RolloutState
        for value in [float(rollout.state is state)]
    ]


def _exposure_rows(participant: RolloutParticipant) -> list[tuple[Labels, float]]:
    """Return requests to each service, those sent to the target, and how many may be."""
    rows = []
    for rollout in participant.book.by_pool.values():
        totals = participant.exchange.counts_of(rollout).totals
        allowed = allowed_requests(participant.plans.limits, totals.requests)
        values = {"reached": totals.requests, "target": totals.target_sent, "allowed": allowed}
        rows += [({"service": rollout.id.pool, "kind": kind}, n) for kind, n in values.items()]
    return rows


def _share_rows(participant: RolloutParticipant) -> list[tuple[Labels, float]]:
    """Return the share of each route that goes to the target of an order in force."""
    return [
        ({"service": rollout.id.pool, "route": route}, share)
        for rollout in participant.book.in_force()
        for shares in [participant.plans.plan_of(rollout).shares]
        if shares is not None
        for route, share in sorted(shares.share_by_route.items())
    ]


def _answer_rows(participant: RolloutParticipant) -> list[tuple[Labels, float]]:
    """Return good, failed and slow answers by service and side, over all hosts."""
    rows = []
    for rollout in participant.book.by_pool.values():
        counts = participant.exchange.counts_of(rollout).totals.by_route.values()
        rows += _tally_rows(rollout, "old", [each.baseline for each in counts])
        rows += _tally_rows(rollout, "new", [each.target for each in counts])
    return rows


def _tally_rows(
    rollout: Rollout, side: str, tallies: Iterable[Tally]
) -> list[tuple[Labels, float]]:
    tallies = list(tallies)
    values = {
        "good": sum(each.good for each in tallies),
        "failed": sum(each.failed for each in tallies),
        "slow": sum(each.slow for each in tallies),
    }
    return [
        ({"service": rollout.id.pool, "side": side, "kind": kind}, float(value))
        for kind, value in values.items()
    ]
