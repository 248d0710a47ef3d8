"""The metrics page of a host, in the Prometheus text format, with units in the names."""

from collections.abc import Iterable, Mapping

from ruddersaddle_base.histograms import Histograms

Labels = dict[str, str]

PREFIX = "ruddersaddle"
TEXT_TYPE = "text/plain; version=0.0.4"


def format_counters(name: str, help_text: str, by_label: Mapping[str, float]) -> list[str]:
    """Return the lines of one counter that has a label `kind` for each kind of event."""
    rows = [({"kind": label}, value) for label, value in sorted(by_label.items())]
    return format_labelled(name, help_text, rows)


def format_labelled(name: str, help_text: str, rows: Iterable[tuple[Labels, float]]) -> list[str]:
    """Return the lines of one counter; each row is a set of labels and its value."""
    full_name = f"{PREFIX}_{name}_total"
    lines = [f"# HELP {full_name} {help_text}", f"# TYPE {full_name} counter"]
    for labels, value in rows:
        label_text = ",".join(f'{label}="{each}"' for label, each in labels.items())
        lines.append(f"{full_name}{{{label_text}}} {value:g}")
    return lines


def format_labelled_gauges(
    name: str, help_text: str, rows: Iterable[tuple[Labels, float]]
) -> list[str]:
    """Return the lines of one gauge; each row is a set of labels and its value."""
    full_name = f"{PREFIX}_{name}"
    lines = [f"# HELP {full_name} {help_text}", f"# TYPE {full_name} gauge"]
    for labels, value in rows:
        label_text = ",".join(f'{label}="{each}"' for label, each in labels.items())
        lines.append(f"{full_name}{{{label_text}}} {value:g}")
    return lines


def format_gauges(gauges: Iterable[tuple[str, str, float]]) -> list[str]:
    """Return the lines of gauges; each is a name, a help text and a value."""
    lines = []
    for name, help_text, value in gauges:
        full_name = f"{PREFIX}_{name}"
        lines += [
            f"# HELP {full_name} {help_text}",
            f"# TYPE {full_name} gauge",
            f"{full_name} {value:g}",
        ]
    return lines


def format_histograms(histograms: Histograms) -> list[str]:
    """Return the lines of summaries: quantiles for each measure, workspace and class."""
    lines = []
    seen = set()
    for row in histograms.rows():
        full_name = f"{PREFIX}_{row.measure}"
        if full_name not in seen:
            seen.add(full_name)
            lines += [f"# HELP {full_name} milliseconds", f"# TYPE {full_name} summary"]
        labels = f'workspace="{row.workspace}",class="{row.group}"'
        for percentile, value in row.by_percentile.items():
            lines.append(f'{full_name}{{{labels},quantile="{percentile / 100:g}"}} {value}')
        lines.append(f"{full_name}_count{{{labels}}} {row.count}")
    return lines
