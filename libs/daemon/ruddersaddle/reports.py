"""A host's reports to operators: status, latency percentiles, and metrics as text."""

import msgspec
from ruddersaddle_base.histograms import HistogramRow


class PoolStatus(msgspec.Struct):
    """This host's view of one upstream."""

    pool: str
    upstream: str
    address: str
    leaving: bool
    circuit: str
    limit: float
    in_flight: int
    version: str
    cached_blocks: int


class LinkStatus(msgspec.Struct):
    """The link to one store host, in bytes, bytes per second and seconds."""

    address: str
    up: bool
    rate_bytes_s: float
    moved_bytes: int
    useful_bytes: int
    busy_s: float
    blocks_tried: int
    blocks_mismatched: int


class Status(msgspec.Struct):
    """One host's status."""

    host: str
    incarnation: str
    hall: str
    state: str
    active: int
    configuration_position: int
    configuration_complete: bool
    configuration_digest: str
    claims_position: int
    claims_keys: int
    leases_held: list[str]
    log_reachable: bool
    log_takes_appends: bool
    appends: int
    records: int
    peer_sent_bytes: int
    peer_received_bytes: int
    counts: dict[str, int]
    upstreams: list[PoolStatus]
    links: list[LinkStatus]


class StatsRow(msgspec.Struct):
    """Percentiles of one measure for a workspace and priority class, in milliseconds."""

    measure: str
    workspace: str
    group: str
    count: int
    p50: int
    p95: int
    p99: int


class Stats(msgspec.Struct):
    """One host's latency percentiles."""

    rows: list[StatsRow]


class Accepted(msgspec.Struct):
    """The answer to a health check or an operators' command: the resulting state."""

    state: str


def stats_from_rows(rows: list[HistogramRow]) -> Stats:
    """Return histogram rows as a `Stats` message."""
    found = []
    for row in rows:
        p50, p95, p99 = row.by_percentile.values()
        group = row.group
        found.append(StatsRow(row.measure, row.workspace, group, row.count, p50, p95, p99))
    return Stats(found)


def format_metrics(status: Status, stats: Stats) -> str:
    """Return metrics in the Prometheus text format."""
    lines = [f"ruddersaddle_active_requests {status.active}"]
    lines += [f"ruddersaddle_{name}_total {value}" for name, value in status.counts.items()]
    lines.append(f"ruddersaddle_configuration_position {status.configuration_position}")
    lines.append(f"ruddersaddle_log_reachable {int(status.log_reachable)}")
    for link in status.links:
        label = f'{{store="{link.address}"}}'
        lines.append(f"ruddersaddle_link_moved_bytes_total{label} {link.moved_bytes}")
        lines.append(f"ruddersaddle_link_busy_seconds_total{label} {link.busy_s:.3f}")
    for row in stats.rows:
        lines += _quantiles(row)
    return "\n".join(lines) + "\n"


def _quantiles(row: StatsRow) -> list[str]:
    name = f"ruddersaddle_{row.measure}"
    labels = f'workspace="{row.workspace}",class="{row.group}"'
    pairs = (("0.5", row.p50), ("0.95", row.p95), ("0.99", row.p99))
    lines = [f'{name}{{{labels},quantile="{quantile}"}} {value}' for quantile, value in pairs]
    return [*lines, f"{name}_count{{{labels}}} {row.count}"]
