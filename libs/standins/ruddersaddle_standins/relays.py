"""Cost of relaying one token on one host, with and without gathering, compared within one run."""

import time
from concurrent.futures import ThreadPoolExecutor

import msgspec

from ruddersaddle_standins.clients import Client
from ruddersaddle_standins.fleets import Fleet, Topology
from ruddersaddle_standins.replays import read_usage

STREAMS = 60
TOKENS = 150
GATHER_OPTIONS_MS = ("0", "25", "40", "50")


class RelayCost(msgspec.Struct):
    """Cost of relaying on one host with one setting of `requests.gather_ms`."""

    gather_ms: str
    microseconds_per_token: float
    tokens_per_s: float
    core_share: float
    longest_gap_p95_ms: float
    first_p50_ms: float


def measure_relay(gather_ms: str) -> RelayCost:
    """Run streams through one host and return the cost per token."""
    settings = {"requests.gather_ms": gather_ms, "routing.limit_start": "64"}
    speeds = {"prefill_tokens_s": "1e6"}
    topology = Topology(hosts=1, engines=3, stores=0, settings=settings, speeds=speeds)
    with Fleet(topology) as fleet:
        address = fleet.address_by_name["host-1"]
        pid = fleet.by_name["host-1"].child.pid
        client = Client("clinic-1")
        client.prompt(address, "warm", 2)
        before, began = read_usage(pid), time.monotonic()
        with ThreadPoolExecutor(STREAMS) as pool:
            results = list(pool.map(lambda n: send(address, n), range(STREAMS)))
        seconds = time.monotonic() - began
        spent = read_usage(pid).cpu_s - before.cpu_s
    tokens = sum(result.tokens for result in results)
    gaps = sorted(result.longest_gap_ms for result in results)
    firsts = sorted(result.first_ms for result in results)
    return RelayCost(
        gather_ms=gather_ms,
        microseconds_per_token=spent / tokens * 1e6,
        tokens_per_s=tokens / seconds,
        core_share=spent / seconds,
        longest_gap_p95_ms=gaps[int(len(gaps) * 0.95)],
        first_p50_ms=firsts[len(firsts) // 2],
    )


def send(address: str, number: int) -> object:
    """Send one stream."""
    return Client("clinic-1").prompt(address, f"stream {number}", TOKENS)


def run_relays() -> list[RelayCost]:
    """Measure every setting in turn and print the ratios to the first one."""
    costs = [measure_relay(gather) for gather in GATHER_OPTIONS_MS]
    for cost in costs:
        ratio = cost.microseconds_per_token / costs[0].microseconds_per_token
        print(
            f"gather {cost.gather_ms} ms: {cost.microseconds_per_token:.0f} us a token "
            f"(ratio {ratio:.2f}), {cost.tokens_per_s:.0f} tokens/s, "
            f"{cost.core_share:.2f} of a core, longest gap p95 {cost.longest_gap_p95_ms:.0f} ms"
        )
    return costs
