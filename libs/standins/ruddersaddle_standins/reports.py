"""Report of the benchmark: an HTML page with a table, and plots in separate files."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
import msgspec
import numpy as np

SIZE_INCHES = (9, 5)
BINS = 40


def write_report(folder: Path, name: str, results: list) -> Path:
    """Write the plots and the table of one deployment; return the path of the page."""
    _plot_first_tokens(folder / f"{name}-first-token.png", results)
    _plot_workspaces(folder / f"{name}-workspaces.png", results[-1][0])
    rows = [msgspec.structs.asdict(figures) for _, figures in results]
    heads = [key for key in rows[0] if key != "counts"]
    table = "".join(
        "<tr>" + "".join(f"<td>{_cell(row[key])}</td>" for key in heads) + "</tr>" for row in rows
    )
    head = "".join(f"<th>{key}</th>" for key in heads)
    page = folder / f"{name}.html"
    page.write_text(
        f"<!doctype html><title>{name}</title><h1>{name}</h1>"
        f"<table border=1><tr>{head}</tr>{table}</table>"
        f'<img src="{name}-first-token.png"><img src="{name}-workspaces.png">'
    )
    return page


def _cell(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def _plot_first_tokens(path: Path, results: list) -> None:
    figure, axes = plt.subplots(figsize=SIZE_INCHES)
    for replay_result, figures in results:
        times = np.sort(replay_result.first_ms())
        axes.plot(times, np.linspace(0, 1, len(times)), label=figures.name)
    axes.set_xscale("log")
    axes.set_xlabel("first token, ms")
    axes.set_ylabel("share of prompts")
    axes.legend(fontsize="small")
    figure.savefig(path, dpi=90)
    plt.close(figure)


def _plot_workspaces(path: Path, replay_result: object) -> None:
    groups: dict[tuple[str, str], list[float]] = {}
    for row in replay_result.prompts:
        label = (row.arrival.workspace, row.arrival.group)
        groups.setdefault(label, []).append(row.result.first_ms)
    figure, axes = plt.subplots(figsize=SIZE_INCHES)
    labels = sorted(groups)
    axes.hist([groups[label] for label in labels], bins=BINS, stacked=True)
    axes.legend([" ".join(label) for label in labels], fontsize="xx-small")
    axes.set_xlabel("first token, ms")
    axes.set_ylabel("prompts")
    figure.savefig(path, dpi=90)
    plt.close(figure)
