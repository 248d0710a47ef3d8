"""Commands of the tools: demo, fault rounds, mutations and measurements."""

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
    """Show how a repeated prompt is served end to end by separate processes.

    :param topology: akureyri or casablanca
    """
    sys.exit(0 if run_demo(topology) else 1)


def faults(*, seed: int = 1, rounds: int = 20, seconds: float = 600.0) -> None:
    """Run rounds of random faults against calls that must run at most once.

    :param seed: seed of the first round, increased by one for each further round
    :param rounds: number of rounds
    :param seconds: time after which no further round starts
    """
    deadline = time.monotonic() + seconds
    failed_count = 0
    with Fleet(Topology(hosts=3, services=2, engines=1, stores=0)) as fleet:
        fault_rounds = FaultRounds(fleet)
        for number in range(seed, seed + rounds):
            if time.monotonic() > deadline:
                print(f"out of time before seed {number}")
                break
            report = fault_rounds.run(number)
            failed_count += not report.is_good
            print(describe_round(report), flush=True)
    sys.exit(1 if failed_count else 0)


def mutations(*names: str) -> None:
    """Check that tests fail on a copy of the source tree without the mechanism that they guard.

    :param names: mutations to run, all by default
    """
    sys.exit(0 if run_all(list(names)) else 1)


def bench(*, seed: int = 1, topology: str = "", quick: bool = False) -> None:
    """Replay the traces of the deployments with the product and with simple baselines.

    :param seed: seed of the traces
    :param topology: akureyri or casablanca, both by default
    :param quick: compare with the strongest baselines only
    """
    names = (topology,) if topology else NAMES
    sys.exit(0 if run_bench(seed, names, quick) else 1)


def relay() -> None:
    """Measure the cost of relaying one token with and without gathering."""
    run_relays()


def capacity() -> None:
    """Measure how resource usage grows and rewrite the table in docs/CAPACITY.md."""
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
