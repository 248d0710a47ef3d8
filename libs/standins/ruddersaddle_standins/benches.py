"""Benchmark: replays one trace with the product and with simple baselines, one after another.

The figures are compared as ratios within one run; nothing is asserted on absolute times.
"""

import sys
from pathlib import Path

import msgspec
import numpy as np
from ruddersaddle.traces import TraceLine, write_trace

from ruddersaddle_standins.fleets import Fleet, Topology
from ruddersaddle_standins.replays import Replay, ReplayResult, sum_counts
from ruddersaddle_standins.reports import write_report
from ruddersaddle_standins.topologies import NAMES, load_topology
from ruddersaddle_standins.trace_generators import (
    EVENT_AT_S,
    generate_akureyri,
    generate_casablanca,
    state_outcomes,
    with_faults,
)

FOLDER = Path("bench-report")
TEMPLATE_TOKENS = {"akureyri": 2000, "casablanca": 4000}
MEGABYTE = 1e6


class Variant(msgspec.Struct, frozen=True):
    """One configuration: a routing policy, with or without cached contexts and announced events."""

    name: str
    policy: str
    keep: bool
    marks_events: bool = False
    settings: dict[str, str] = {}


BASELINE_SETTINGS = {"routing.backlog_s": "0"}
"""Baselines forward requests at once; hosts don't queue them for fair scheduling."""
BASELINES = (
    Variant("round robin", "round_robin", False, settings=BASELINE_SETTINGS),
    Variant("least load", "least_load", False, settings=BASELINE_SETTINGS),
    Variant("prefix hash", "hash", False, settings=BASELINE_SETTINGS),
    Variant("round robin, kept", "round_robin", True, settings=BASELINE_SETTINGS),
    Variant("least load, kept", "least_load", True, settings=BASELINE_SETTINGS),
    Variant("prefix hash, kept", "hash", True, settings=BASELINE_SETTINGS),
)
PRODUCT = Variant("ruddersaddle", "predicted", True, True)


class Figures(msgspec.Struct):
    """Figures of one variant: milliseconds, shares, megabytes, counts."""

    name: str
    p50_ms: float
    p95_ms: float
    p99_ms: float
    peak_p95_ms: float
    quiet_p95_ms: float
    gap_p95_ms: float
    recomputed: float
    link_mb: float
    refused: int
    cut: int
    wrong: int
    doubled: int
    cpu_s: float
    resident_mb: float
    appends_s: float
    counts: dict[str, int]


def generate(name: str, seed: int, workspaces: tuple[str, ...]) -> list[TraceLine]:
    """Return the trace of a deployment with its expected outcomes."""
    make = generate_akureyri if name == "akureyri" else generate_casablanca
    lines = make(seed, workspaces)
    return lines + state_outcomes(lines)


def run_variant(
    topology: Topology, lines: list[TraceLine], template_tokens: int, variant: Variant
) -> tuple[ReplayResult, Figures]:
    """Replay a trace with one variant on a new fleet."""
    settings = {
        **topology.settings,
        "routing.policy": variant.policy,
        "contexts.keep": "yes" if variant.keep else "no",
        "contexts.prefetch_s": "5",
        **variant.settings,
    }
    changed = msgspec.structs.replace(topology, settings=settings)
    with Fleet(changed) as fleet:
        replay_result = Replay(fleet, lines, template_tokens).run(variant.marks_events)
        return replay_result, measure(variant.name, replay_result, topology, sum_counts(fleet))


def measure(
    name: str, replay_result: ReplayResult, topology: Topology, counts: dict[str, int]
) -> Figures:
    """Return the figures of a replay."""
    first = replay_result.first_ms()
    quiet = set(topology.workspaces[2:])
    peak = replay_result.first_ms(after_s=EVENT_AT_S)
    p50, p95, p99 = np.percentile(first, (50, 95, 99))
    return Figures(
        name=name,
        p50_ms=p50,
        p95_ms=p95,
        p99_ms=p99,
        peak_p95_ms=float(np.percentile(peak, 95)),
        quiet_p95_ms=float(np.percentile(replay_result.first_ms(quiet, EVENT_AT_S), 95)),
        gap_p95_ms=float(np.percentile(replay_result.gaps_ms(), 95)),
        recomputed=replay_result.recomputed_share,
        link_mb=replay_result.link_bytes / MEGABYTE,
        refused=replay_result.refused,
        cut=replay_result.cut,
        wrong=int(replay_result.outcome("wrong_answers")),
        doubled=replay_result.doubled_calls,
        cpu_s=sum(use.cpu_s for use in replay_result.usages) / len(replay_result.usages),
        resident_mb=max(use.resident_bytes for use in replay_result.usages) / MEGABYTE,
        appends_s=replay_result.appends / replay_result.seconds,
        counts=counts,
    )


def run_bench(seed: int, names: tuple[str, ...] = NAMES, quick: bool = False) -> bool:
    """Run all variants on the deployments' traces; return whether expected outcomes are met."""
    FOLDER.mkdir(exist_ok=True)
    passed = True
    for name in names:
        topology = load_topology(name)
        lines = generate(name, seed, topology.workspaces)
        write_trace(str(FOLDER / f"{name}-{seed}.jsonl"), lines)
        variants = (BASELINES[2], BASELINES[5], PRODUCT) if quick else (*BASELINES, PRODUCT)
        results = []
        print(f"{name}, seed {seed}, {len(lines)} lines")
        for variant in variants:
            replay_result, figures = run_variant(topology, lines, TEMPLATE_TOKENS[name], variant)
            results.append((replay_result, figures))
            print(format_row(figures), flush=True)
        failed = results[-1][0].failed_outcomes(lines)
        passed = passed and not failed
        print_ratios(results)
        print(f"expected outcomes: {failed or 'all met'}")
        passed = run_faults(name, topology, lines) and passed
        write_report(FOLDER, name, results)
    return passed


def run_faults(name: str, topology: Topology, lines: list[TraceLine]) -> bool:
    """Replay the trace with faults at the peak; return whether no call ran twice and all answers
    were correct."""
    tokens = TEMPLATE_TOKENS[name]
    lines_with_faults = with_faults(lines)
    variant = msgspec.structs.replace(PRODUCT, name="ruddersaddle, faults")
    replay_result, figures = run_variant(topology, lines_with_faults, tokens, variant)
    answered = replay_result.outcome("answered_prompts") / len(replay_result.prompts)
    served = replay_result.outcome("answered_calls") / len(replay_result.calls)
    print(format_row(figures))
    print(f"  served under faults: prompts {answered:.3f}, calls {served:.3f}")
    return figures.wrong == 0 and figures.doubled == 0


def format_row(f: Figures) -> str:
    """Return the figures of a variant as one line."""
    return (
        f"  {f.name:20s} first ms p50 {f.p50_ms:6.0f} p95 {f.p95_ms:6.0f} p99 {f.p99_ms:6.0f}"
        f" peak p95 {f.peak_p95_ms:6.0f} quiet p95 {f.quiet_p95_ms:6.0f} gap {f.gap_p95_ms:4.0f}"
        f" recomputed {f.recomputed:.3f} link {f.link_mb:6.1f} MB refused {f.refused} cut {f.cut}"
        f" wrong {f.wrong} doubled {f.doubled} cpu {f.cpu_s:.2f} s rss {f.resident_mb:.0f} MB"
        f" appends/s {f.appends_s:.1f}"
    )


def print_ratios(results: list[tuple[ReplayResult, Figures]]) -> None:
    """Print the product's figures as ratios to each baseline's, and the best baselines."""
    product = results[-1][1]
    baselines = [figures for _, figures in results[:-1]]
    for each in baselines:
        print(
            f"  ratio to {each.name:20s} peak p95 {product.peak_p95_ms / each.peak_p95_ms:.2f}"
            f" quiet p95 {product.quiet_p95_ms / each.quiet_p95_ms:.2f}"
            f" recomputed {product.recomputed / max(each.recomputed, 1e-9):.2f}"
        )
    best_first = min(baselines, key=lambda f: f.peak_p95_ms)
    best_share = min(baselines, key=lambda f: f.recomputed)
    print(
        f"  best baselines: peak p95 {best_first.name} {best_first.peak_p95_ms:.0f} ms,"
        f" recomputed {best_share.name} {best_share.recomputed:.3f}"
    )


if __name__ == "__main__":
    sys.exit(0 if run_bench(int(sys.argv[1]) if len(sys.argv) > 1 else 1) else 1)
