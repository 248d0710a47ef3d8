"""Latency histograms by workspace and priority class, in bounded memory."""

from enum import Enum

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
WORKSPACES_MAX = 32
"""Workspaces with histograms of their own; all others share one, which bounds memory."""
OTHER_WORKSPACES = "other"
PERCENTILES = (50.0, 95.0, 99.0)


class Measure(Enum):
    """What a histogram measures, in milliseconds."""

    FIRST_TOKEN = "first_token_ms"
    BETWEEN_TOKENS = "between_tokens_ms"
    TOTAL = "whole_ms"


class Histograms:
    """The histograms of one host by measure, workspace and priority class."""

    def __init__(self) -> None:
        self.by_label: dict[tuple[Measure, str, str], HdrHistogram] = {}
        self.workspaces: set[str] = set()

    def record(self, measure: Measure, workspace: str, group: str, value_ms: float) -> None:
        """Record one value of `measure` for a workspace and a priority class."""
        label = (measure, self._workspace_label(workspace), group)
        histogram = self.by_label.get(label)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
            self.by_label[label] = histogram
        clamped_ms = min(HIGHEST_MS, max(LOWEST_MS, round(value_ms)))
        histogram.record_value(clamped_ms)

    def _workspace_label(self, workspace: str) -> str:
        if workspace in self.workspaces:
            return workspace
        if len(self.workspaces) < WORKSPACES_MAX:
            self.workspaces.add(workspace)
            return workspace
        return OTHER_WORKSPACES

    def rows(self) -> list["HistogramRow"]:
        """Return a row for each histogram, sorted by label."""
        ordered = sorted(self.by_label.items(), key=lambda item: _sort_key(item[0]))
        return [HistogramRow.from_histogram(label, histogram) for label, histogram in ordered]


class HistogramRow:
    """Percentiles of one histogram, in milliseconds."""

    def __init__(self, measure: str, workspace: str, group: str, count: int) -> None:
        self.measure = measure
        self.workspace = workspace
        self.group = group
        self.count = count
        self.by_percentile: dict[float, int] = {}

    @classmethod
    def from_histogram(
        cls, label: tuple[Measure, str, str], histogram: HdrHistogram
    ) -> "HistogramRow":
        """Return the row of a histogram."""
        measure, workspace, group = label
        row = cls(measure.value, workspace, group, histogram.get_total_count())
        for percentile in PERCENTILES:
            row.by_percentile[percentile] = histogram.get_value_at_percentile(percentile)
        return row


def _sort_key(label: tuple[Measure, str, str]) -> tuple[str, str, str]:
    measure, workspace, group = label
    return measure.value, workspace, group
