"""The metrics page of an entry host: its gauges and counters, from all of its components."""

from typing import TYPE_CHECKING

from ruddersaddle_base import clocks
from ruddersaddle_base.loggers import count_dropped
from ruddersaddle_base.tasks import HEALTHS

from ruddersaddle_serving.caller_budgets import Phase
from ruddersaddle_serving.metric_pages import (
    format_counters,
    format_gauges,
    format_histograms,
    format_labelled,
    format_labelled_gauges,
)
from ruddersaddle_serving.polled_sockets import EXPIRIES
from ruddersaddle_serving.regions.metrics import region_lines
from ruddersaddle_serving.rollouts.metric_lines import format_rollouts

if TYPE_CHECKING:
    from ruddersaddle_serving.entry_hosts import EntryHost


def format_host_page(host: "EntryHost") -> str:
    """Return the metrics page of a host."""
    lines = format_gauges(_gauges(host))
    lines += format_counters("answers", "answers by status", host.front.counts)
    lines += format_counters("heads_refused", "refused heads by reason", host.front.head_faults)
    lines += format_counters(
        "requests_ended", "requests by how they ended", host.front.outcome_counts
    )
    lines += format_counters(
        "answer_ends", "upstreams' answers by how they ended", host.forwarder.ends.counts()
    )
    lines += format_labelled(
        "upstream_refusals",
        "refusals by upstreams, by what they rest on",
        host.forwarder.refusals.rows(),
    )
    by_size = host.front.sizes.rows()
    lines += format_labelled("requests_by_size", "prompts by size and end", by_size)
    lines += format_counters("dropped_writes", "dropped log lines and texts", count_dropped())
    lines += format_labelled("retries", "retries by pool and outcome", _retries(host))
    lines += format_labelled(
        "first_attempts",
        "requests that earned credit for retries, by pool",
        [({"pool": pool}, count) for pool, count in host.retry_budgets.requests_by_pool.items()],
    )
    relays = host.forwarder.relay_peers.counts
    lines += format_counters("relays", "offers to other hosts by outcome", relays)
    take_ups = host.forwarder.origins.counts()
    lines += format_counters("stream_returns", "streams taken up again by finding", take_ups)
    lines += format_counters(
        "stream_records", "records of streams by event", host.streams.counts_by_event()
    )
    lines += format_counters("crashes", "broken runs by outcome", host.crash_watch.counts)
    lines += format_counters("connections", "new connections of callers", host.gate.counts)
    lines += format_counters(
        "callers_gave_way",
        "connections of callers that gave way to others, by what they were doing",
        host.caller_budget.gave_way,
    )
    lines += format_labelled_gauges(
        "caller_connections",
        "open connections of callers and of hosts that relay, by what they are doing",
        [({"phase": each.value}, host.caller_budget.count(each)) for each in Phase],
    )
    lines += format_counters(
        "crash_parts", "parts of prompts by event", host.crash_records.parts.counts
    )
    lines += format_counters(
        "unusable_records", "records that this host can't use, by topic", _unusable_records(host)
    )
    lines += format_labelled("task_failures", "failures of tasks that are restarted", _failures())
    lines += format_labelled_gauges(
        "task_failing_seconds",
        "seconds for which a task has been failing again and again; 0 once it has recovered",
        [({"task": name}, each.failing_s) for name, each in HEALTHS.by_name.items()],
    )
    lines += format_counters("store_calls", "calls to the store", host.store.calls_by_kind)
    lines += format_counters("contexts", "cached context by action", host.cached_parts.counts)
    lines += format_counters("orders", "orders to engines", host.rollouts.counts)
    lines += format_labelled_gauges(
        "lease_holder",
        "1 for the holder of the lease as this host last read it",
        [({"holder": host.rollouts.lease.holder_name or "none"}, 1)],
    )
    lines += format_counters(
        "socket_timeouts", "expired time-outs by what the socket showed", EXPIRIES.by_kind
    )
    lines += format_rollouts(host.service_rollouts)
    if host.residency.is_in_use:
        lines += format_counters("residency", "effects of allowed regions", host.residency.counts)
    if host.chooser is not None:
        lines += region_lines(host.chooser, host.neighbours.traffic)
    lines += format_histograms(host.histograms)
    return "\n".join(lines) + "\n"


def _retries(host: "EntryHost") -> list[tuple[dict[str, str], float]]:
    """Return how often a retry at each pool was allowed and denied."""
    budgets = host.retry_budgets
    by_kind = {"spent": budgets.spent_by_pool, "denied": budgets.denied_by_pool}
    return [
        ({"pool": pool, "kind": kind}, by_pool[pool])
        for kind, by_pool in by_kind.items()
        for pool in sorted(budgets.requests_by_pool | by_pool)
    ]


def _unusable_records(host: "EntryHost") -> dict[str, int]:
    return {each.topic.value: each.faults.count for each in host.followers}


def _failures() -> list[tuple[dict[str, str], float]]:
    return [({"task": name}, each.failures) for name, each in HEALTHS.by_name.items()]


def _gauges(host: "EntryHost") -> tuple[tuple[str, str, float], ...]:
    """Return name, description and value of each gauge."""
    records = host.crash_records
    suspects = len(records.by_fingerprint)
    opened = sum(each.connections.opened for each in host.trackers.by_id.values())
    return (
        ("requests_active", "requests being served", host.front.active),
        ("configuration_version", "configuration version in force", host.publications.version),
        (
            "configuration_age_seconds",
            "seconds since its confirmation",
            host.publications.age_s,
        ),
        ("store_era", "era of the store, raised by each restore", host.store.eras.newest),
        ("store_returns", "restores of the store from a copy", host.store.eras.restores),
        ("configuration_awaited", "versions lost by the store", _count_awaited(host)),
        ("upstreams", "entries of upstreams", len(host.upstreams.by_id)),
        ("upstreams_age_seconds", "seconds since the list's confirmation", host.upstreams.age_s),
        (
            "upstream_lists_ignored",
            "lists of upstreams from peers that were older than the own one",
            host.upstreams.lists_ignored,
        ),
        (
            "upstreams_cold",
            "upstreams that are still cold",
            host.quotas.count_cold(),
        ),
        ("upstreams_limited", "upstreams with a rate limit", _count_limited(host)),
        ("pools_brittle", "pools with brittle upstreams", host.trackers.brittle_pools.count),
        ("upstreams_leaving", "upstreams that accept no new work", _count_leaving(host)),
        ("upstreams_resting", "upstreams that are backing off", _count_backing_off(host)),
        (
            "upstream_cold_sends",
            "requests sent to cold upstreams",
            host.quotas.cold_sent,
        ),
        (
            "upstream_limited_sends",
            "requests sent to upstreams with a rate limit",
            host.quotas.limited_sent,
        ),
        ("halls_evacuated", "evacuated halls", _count_evacuated(host)),
        (
            "upstream_entries_unusable",
            "upstream entries that were invalid",
            host.upstream_follower.faults.count,
        ),
        ("upstream_connections_opened", "connections opened", opened),
        ("ready", "1 if the load balancer should send callers", host.is_ready()),
        ("hosts_known", "hosts, this one included", host.neighbours.hosts.count),
        (
            "retry_slack_hosts",
            "hosts by which the slack of retry budgets is divided; 0 while unknown",
            host.retry_budgets.hosts or 0,
        ),
        ("peer_sent_bytes", "bytes sent to peers", host.neighbours.peers.sent_bytes),
        ("upstreams_silent", "unresponsive upstreams", _count_unresponsive(host)),
        ("upstream_probes", "probes of unresponsive upstreams", host.probes.count),
        (
            "upstreams_without_path",
            "upstreams that this host has lost its path to",
            host.trackers.paths.lost_count,
        ),
        ("isolated", "1 if this host has no path to any upstream", host.trackers.paths.is_isolated),
        ("isolations", "times that it lost all paths", host.trackers.paths.isolations),
        ("path_probes", "probes of lost paths", host.path_probes.count),
        ("streams_recorded", "own streams on record", len(host.streams.own)),
        (
            "pools_of_versions",
            "pools in which not one software version alone has served for long",
            host.pool_versions.count_divided(),
        ),
        ("streams_held", "streams of other hosts on record", len(host.streams.held)),
        ("lease_held_seconds", "seconds since this host took the lease", _lease_held_s(host)),
        (
            "lease_yields",
            "holders in a row that left the lease without an order",
            host.rollouts.lease.yields,
        ),
        ("crash_suspects", "requests that may have crashed an upstream", suspects),
        ("crash_records_shared", "suspects known to all hosts", len(records.shared())),
        ("crash_suspects_cleared", "suspects that completed", records.cleared),
        (
            "crash_parts_suspect",
            "parts of prompts that may have crashed an upstream",
            sum(bool(each.crashes) for each in records.parts.by_part.values()),
        ),
        (
            "crash_parts_refused",
            "parts of prompts that are refused",
            len(records.parts.refused()),
        ),
        ("caller_bytes", "bytes that are kept for callers", host.caller_budget.used),
        ("caller_bytes_max", "most bytes that are kept for callers", host.caller_budget.bytes_max),
        (
            "callers_refused",
            "connections of callers that were closed unread for want of room",
            host.caller_budget.refused,
        ),
        (
            "peer_connections_closed",
            "connections of other hosts, or of strangers, that gave way to newer ones",
            host.neighbours.peers.gate.closed,
        ),
        ("task_delay_seconds", "how late the last sampled task ran", host.gate.delay_s),
        ("unhandled_exceptions", "exceptions that ended a task", HEALTHS.unhandled),
        ("stood_still_seconds", "seconds stalled since the start", host.stall_monitor.total_s),
    )


def _lease_held_s(host: "EntryHost") -> float:
    """Return for how long this host has held the lease; 0 if it can give no orders."""
    lease = host.rollouts.lease
    is_held = lease.held_since is not None and lease.may_order
    return clocks.now_s() - lease.held_since if is_held else 0.0


def _count_evacuated(host: "EntryHost") -> int:
    return len(host.publications.evacuations.in_force())


def _count_awaited(host: "EntryHost") -> int:
    """Return how many versions the store's configuration is behind the one in force.

    Only hosts that read the store know it; the others receive new versions from these.
    """
    publications = host.publications
    if not publications.stored_version or not host.neighbours.hosts.is_reader():
        return 0
    return max(0, publications.version - publications.stored_version)


def _count_backing_off(host: "EntryHost") -> int:
    return sum(each.reported.backoff_s > 0 for each in host.trackers.by_id.values())


def _count_leaving(host: "EntryHost") -> int:
    return sum(each.leaving for each in host.upstreams.by_id.values())


def _count_limited(host: "EntryHost") -> int:
    return sum(each.reported.rate_limit.is_advertised for each in host.trackers.by_id.values())


def _count_unresponsive(host: "EntryHost") -> int:
    return sum(each.is_unresponsive for each in host.trackers.by_id.values())
