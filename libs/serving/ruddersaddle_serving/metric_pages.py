"""The metrics page of a host, in the usual text format, with units in the names."""

from collections.abc import Iterable, Mapping

from ruddersaddle_base.histograms import Histograms

Labels = dict[str, str]

PREFIX = "ruddersaddle"
TEXT_TYPE = "text/plain; version=0.0.4"


def format_counters(name: str, about: str, by_label: Mapping[str, float]) -> list[str]:
    """Return the lines of one counter with a label for each kind of event."""
    rows = [({"kind": label}, value) for label, value in sorted(by_label.items())]
    return format_labelled(name, about, rows)


def format_labelled(name: str, about: str, rows: Iterable[tuple[Labels, float]]) -> list[str]:
    """Return the lines of one counter, each row its labels and its value."""
    full = f"{PREFIX}_{name}_total"
    lines = [f"# HELP {full} {about}", f"# TYPE {full} counter"]
    for labels, value in rows:
        told = ",".join(f'{label}="{each}"' for label, each in labels.items())
        lines.append(f"{full}{{{told}}} {value:g}")
    return lines


def format_gauges(gauges: Iterable[tuple[str, str, float]]) -> list[str]:
    """Return the lines of gauges, each a name, what it means, and its value."""
    lines = []
    for name, about, value in gauges:
        full = f"{PREFIX}_{name}"
        lines += [f"# HELP {full} {about}", f"# TYPE {full} gauge", f"{full} {value:g}"]
    return lines


def format_histograms(histograms: Histograms) -> list[str]:
    """Return percentiles for each measure, workspace and class."""
    lines = []
    seen = set()
    for row in histograms.rows():
        full = f"{PREFIX}_{row.measure}"
        if full not in seen:
            seen.add(full)
            lines += [f"# HELP {full} milliseconds", f"# TYPE {full} summary"]
        labels = f'workspace="{row.workspace}",class="{row.group}"'
        for percentile, value in row.by_percentile.items():
            lines.append(f'{full}{{{labels},quantile="{percentile / 100:g}"}} {value}')
        lines.append(f"{full}_count{{{labels}}} {row.count}")
    return lines
