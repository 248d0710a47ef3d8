"""Commands of the tools: the demo, and what later modules measure."""

import sys
import time

import defopt

from ruddersaddle_standins.benches import run_bench
from ruddersaddle_standins.capacities import run_capacity
from ruddersaddle_standins.demos import run_demo
from ruddersaddle_standins.fault_rounds import FaultRounds, describe_round
from ruddersaddle_standins.fleets import Fleet, Topology
from ruddersaddle_standins.mutations import run_all
from ruddersaddle_standins.relays import run_relays
from ruddersaddle_standins.topologies import NAMES


def demo(*, topology: str = "akureyri") -> None:
    """Show a returning prompt served end to end by separate processes.

    :param topology: akureyri or casablanca
    """
    sys.exit(0 if run_demo(topology) else 1)


def faults(*, seed: int = 1, rounds: int = 20, seconds: float = 600.0) -> None:
    """Run rounds of drawn faults against calls that may not be repeated.

    :param seed: seed of the first round; each round adds one
    :param rounds: how many rounds
    :param seconds: no round starts after so many seconds
    """
    latest = time.monotonic() + seconds
    bad = 0
    with Fleet(Topology(hosts=3, services=2, engines=1, stores=0)) as fleet:
        tool = FaultRounds(fleet)
        for number in range(seed, seed + rounds):
            if time.monotonic() > latest:
                print(f"out of time before seed {number}")
                break
            report = tool.run(number)
            bad += not report.is_good
            print(describe_round(report), flush=True)
    sys.exit(1 if bad else 0)


def mutations(*names: str) -> None:
    """Show that each proof fails on a copy of the tree without its mechanism.

    :param names: mutations to run; all if none is named
    """
    sys.exit(0 if run_all(list(names)) else 1)


def bench(*, seed: int = 1, topology: str = "", quick: bool = False) -> None:
    """Run the traces of the deployments through the product and plain baselines.

    :param seed: seed of the traces
    :param topology: akureyri or casablanca; both if none is named
    :param quick: only the strongest baselines
    """
    names = (topology,) if topology else NAMES
    sys.exit(0 if run_bench(seed, names, quick) else 1)


def relay() -> None:
    """Measure the cost of one relayed token with and without gathering."""
    run_relays()


def capacity() -> None:
    """Measure the slopes of docs/CAPACITY.md and rewrite its table."""
    run_capacity()


COMMANDS = {
    "demo": demo,
    "faults": faults,
    "mutations": mutations,
    "bench": bench,
    "relay": relay,
    "capacity": capacity,
}


def run_tool() -> None:
    """Run one command."""
    defopt.run(COMMANDS)
