"""Measures how resource usage grows, and rewrites the table of slopes in docs/CAPACITY.md."""

import os
import platform
import subprocess
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import numpy as np
from ruddersaddle.keys import new_key
from ruddersaddle_base.codecs import encode_json
from ruddersaddle_base.histograms import Histograms, Measure
from ruddersaddle_base.ids import (
    START,
    BlockKey,
    CallKey,
    HallId,
    Incarnation,
    Position,
    RecordId,
    UpstreamId,
    WorkspaceId,
    join_position,
)
from ruddersaddle_routing.choices import Chooser, Prompt, StoredChain
from ruddersaddle_routing.limits import AdaptiveLimit
from ruddersaddle_routing.loads import Load
from ruddersaddle_routing.rendezvous import rank_names
from ruddersaddle_routing.retries import Circuit
from ruddersaddle_state.claims import Claims
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Workspace, entry_key
from ruddersaddle_state.records import Change, Claim, Edit, PositionedRecord
from ruddersaddle_upstreams.chains import block_keys
from ruddersaddle_upstreams.connections import OK

from ruddersaddle_standins.clients import CallResult, Client
from ruddersaddle_standins.counting_proxies import CountingProxy
from ruddersaddle_standins.fleets import Fleet, Topology
from ruddersaddle_standins.processes import wait_until
from ruddersaddle_standins.relays import run_relays
from ruddersaddle_standins.replays import read_usage

PAGE = Path("docs/CAPACITY.md")
BEGIN = "<!-- slopes: written by make capacity -->"
END = "<!-- end of slopes -->"
IDLE_S = 4.0
HOST_COUNTS = (3, 6, 12, 24, 48)
ENGINE_COUNTS = (1, 2, 4, 8)
KEY_COUNTS = (5_000, 20_000, 50_000)
WORKSPACE_COUNTS = (500, 2000, 4000)
BLOCK_COUNTS = (10_000, 50_000, 100_000)
UPSTREAM_COUNTS = (5, 50, 500)
HISTOGRAM_COUNTS = (8, 16, 32)
CALLS = 200
CALLERS = 20
OUTAGE_DETECTION_S = 1.5
"""Hosts consider the log to be down after appends have failed for this long, in seconds."""
KILOBYTE = 1e3
MEGABYTE = 1e6


class Slope(msgspec.Struct):
    """One measured quantity, what it grows with, and the measured points."""

    name: str
    grows_with: str
    unit: str
    points: list[tuple[float, float]]

    @property
    def fit(self) -> tuple[float, float]:
        """Return slope and intercept of the least-squares line."""
        xs, ys = zip(*self.points, strict=True)
        slope, intercept = np.polyfit(xs, ys, 1)
        return float(slope), float(intercept)

    def row(self) -> str:
        """Return the slope as a row of the table."""
        slope, intercept = self.fit
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (
            f"| {self.name} | {self.grows_with} | {slope:.4g} | {intercept:.4g} "
            f"| {self.unit} | {points} |"
        )


def measure_memory(name: str, grows_with: str, counts: tuple[int, ...], make: Callable) -> Slope:
    """Return the bytes that the result of `make(count)` occupies, for growing counts."""
    points = []
    for count in counts:
        tracemalloc.start()
        result = make(count)
        points.append((count, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del result
    return Slope(name, grows_with, "bytes", points)


def measure_time(name: str, grows_with: str, counts: tuple[int, ...], make: Callable) -> Slope:
    """Return the processor time of `make(count)` in microseconds, for growing counts."""
    points = []
    for count in counts:
        began = time.process_time()
        make(count)
        points.append((count, (time.process_time() - began) * 1e6))
    return Slope(name, grows_with, "microseconds", points)


def fold_claims(count: int) -> Claims:
    """Return the state of claims with this many keys."""
    claims = Claims(1e9, 30.0)
    for number in range(count):
        key = CallKey(f"clinic-{number % 100}/{new_key()}")
        record = RecordId(f"{number:032x}")
        owner = Incarnation(f"host-{number % 6}.abcdef012345")
        claim = Claim(record, key, owner, START, time.time())
        claims.apply(PositionedRecord(join_position(number, 0), 1.0, claim))
    return claims


def fold_workspaces(count: int) -> Configuration:
    """Return a configuration of this many workspaces, each added by a separate change."""
    configuration = Configuration()
    configuration.begin(Position(0), False)
    for number in range(count):
        value = Workspace(WorkspaceId(f"workspace-{number}"), (f"{number:064x}",))
        edit = Edit(entry_key(value), START, value)
        change = Change(RecordId(f"{number:032x}"), "operator", (edit,))
        configuration.apply(PositionedRecord(join_position(number, 0), 1.0, change))
    return configuration


def snapshot_bytes(counts: tuple[int, ...]) -> Slope:
    """Return the size of a snapshot for growing numbers of workspaces."""
    points = []
    for count in counts:
        size = len(encode_json(fold_workspaces(count).snapshot()))
        points.append((float(count), float(size)))
    return Slope("snapshot record", "workspaces", "bytes", points)


def cache_blocks(count: int) -> Load:
    """Return the load of an engine with this many cached blocks."""
    load = new_load("engine")
    for number in range(count):
        load.apply_event(True, BlockKey(f"{number:032x}"))
    return load


def new_load(name: str) -> Load:
    """Return a load with the limits that hosts use."""
    limit, circuit = AdaptiveLimit(8, 64), Circuit(3, 2.0)
    return Load(UpstreamId(name), name, HallId("glerar"), limit, circuit)


def make_histograms(count: int) -> Histograms:
    """Return histograms with this many labels of one measure."""
    histograms = Histograms()
    for number in range(count):
        histograms.record(Measure.TOTAL, f"workspace-{number}", "normal", 10.0)
    return histograms


def choose(count: int) -> None:
    """Make 100 choices among this many engines."""
    loads = [new_load(f"10.0.{number // 250}.{number % 250}:80") for number in range(count)]
    keys = block_keys("salt", "text " * 2000)
    prompt = Prompt(2500, (), lambda _version: keys)
    chooser = Chooser.from_name("predicted", 8000.0)
    for _ in range(100):
        chooser.choose(loads, prompt, StoredChain(20, 0.001, 0.0))


def rank(count: int) -> None:
    """Rank this many names 100 times."""
    names = [f"store-{number}" for number in range(count)]
    for number in range(100):
        rank_names(str(number), names)


def measure_idle() -> list[Slope]:
    """Return processor and memory usage of an idle host, by the number of hosts."""
    shares, memories = [], []
    for count in HOST_COUNTS:
        with Fleet(Topology(hosts=count, engines=2, stores=1)) as fleet:
            time.sleep(1.0)
            pids = [fleet.by_name[name].child.pid for name in fleet.host_names()]
            before = [read_usage(pid) for pid in pids]
            time.sleep(IDLE_S)
            after = [read_usage(pid) for pid in pids]
        spent = [late.cpu_s - early.cpu_s for early, late in zip(before, after, strict=True)]
        shares.append((count, 100.0 * float(np.mean(spent)) / IDLE_S))
        memories.append((count, max(use.resident_bytes for use in after) / MEGABYTE))
    return [
        Slope("idle processor share of a host", "hosts", "% of a core", shares),
        Slope("resident memory of an idle host", "hosts", "MB", memories),
    ]


def measure_control_bytes() -> Slope:
    """Return the control traffic of an idle host, by the number of engines that it follows."""
    points = []
    for count in ENGINE_COUNTS:
        with Fleet(Topology(hosts=1, engines=count, stores=0)) as fleet:
            proxies = [
                CountingProxy(fleet.address_by_name[f"engine-{n + 1}"]) for n in range(count)
            ]
            platform_proxies = [CountingProxy(fleet.address_by_name[n]) for n in ("log", "list")]
            for number, proxy in enumerate(proxies, 1):
                fleet.address_by_name[f"engine-{number}"] = proxy.address
                row = fleet.row_by_name[f"engine-{number}"]
                changed = msgspec.structs.replace(row, address=proxy.address)
                fleet.row_by_name[f"engine-{number}"] = changed
            fleet.publish(*fleet.base_values())
            log, listing = (proxy.address for proxy in platform_proxies)
            fleet.by_name["host-1"].kill()
            fleet.add_host(
                "host-1", platform__log=log, platform__host_list=listing, platform__poll_s="1.0"
            )
            fleet.publish_list()
            fleet.wait_host("host-1")
            time.sleep(1.0)
            ends = proxies + platform_proxies
            before = sum(end.bytes for end in ends)
            time.sleep(IDLE_S)
            rate = (sum(end.bytes for end in ends) - before) / IDLE_S
            for end in ends:
                end.close()
        points.append((float(count), rate / KILOBYTE))
    return Slope("control traffic of an idle host", "engines followed", "KB/s", points)


class CallMethod(msgspec.Struct, frozen=True):
    """One method of making calls: by path, key or ticket, and the number of callers."""

    name: str
    kind: str
    callers: int
    gathers: bool = True


CALL_METHODS = (
    CallMethod("may be repeated (nothing agreed)", "repeatable", CALLERS),
    CallMethod("ticket", "ticket", CALLERS),
    CallMethod("key, one caller", "key", 1),
    CallMethod("key, 20 callers", "key", CALLERS),
    CallMethod("key, 20 callers, an append for each", "key", CALLERS, gathers=False),
)


class CallCost(msgspec.Struct):
    """Cost of one method: appends per call, milliseconds, and the share served in an outage."""

    method: str
    appends_per_call: float
    p50_ms: float
    p99_ms: float
    calls_s: float
    outage_share: float

    def row(self) -> str:
        """Return the cost as a row of the table."""
        return (
            f"| {self.method} | {self.appends_per_call:.2f} | {self.p50_ms:.1f} "
            f"| {self.p99_ms:.1f} | {self.calls_s:.0f} | {self.outage_share:.2f} |"
        )


class CallMeasure:
    """Makes calls by one method on one fleet."""

    def __init__(self, method: CallMethod, fleet: Fleet) -> None:
        self.method = method
        self.fleet = fleet
        self.addresses = [fleet.address_by_name[name] for name in fleet.host_names()]
        self.clients = [Client("clinic-1") for _ in range(method.callers)]

    def call(self, number: int) -> CallResult:
        """Make one call."""
        client = self.clients[number % len(self.clients)]
        address = self.addresses[number % len(self.addresses)]
        body = f"{self.method.name} {number}"
        match self.method.kind:
            case "repeatable":
                return client.call(address, "/booking/read", body)
            case "ticket":
                return client.call(address, "/booking/slot", body, client.ticket(address))
        return client.call(address, "/booking/slot", body, new_key())

    def run(self) -> CallCost:
        """Make the calls, and then more in an outage of the log."""
        before = self.fleet.fetch("log", "/appends", int)
        began = time.monotonic()
        with ThreadPoolExecutor(self.method.callers) as pool:
            times = np.array([result.total_ms for result in pool.map(self.call, range(CALLS))])
            seconds = time.monotonic() - began
            appends = self.fleet.fetch("log", "/appends", int) - before
            self.fleet.inject_fault("log", "refuse")
            list(pool.map(self.call, range(CALLS, CALLS + self.method.callers)))
            time.sleep(OUTAGE_DETECTION_S)
            outage = list(pool.map(self.call, range(CALLS * 2, CALLS * 3)))
        served = sum(result.status == OK for result in outage) / CALLS
        p50, p99 = np.percentile(times, (50, 99))
        return CallCost(self.method.name, appends / CALLS, p50, p99, CALLS / seconds, served)


def measure_calls() -> list[CallCost]:
    """Return the cost of each method of making calls."""
    costs = []
    for method in CALL_METHODS:
        topology = Topology(
            hosts=3,
            engines=1,
            stores=0,
            services=2,
            speeds={"service_s": "0.001"},
            settings={"claims.gather": "yes" if method.gathers else "no"},
        )
        with Fleet(topology) as fleet:
            costs.append(CallMeasure(method, fleet).run())
    return costs


def measure_propagation() -> tuple[float, int]:
    """Return the longest time until a change is in force on all hosts, and the number of hosts."""
    with Fleet(Topology(hosts=12, engines=1, stores=0)) as fleet:
        seconds = []
        for number in range(5):
            value = Workspace(WorkspaceId("changing"), weight=number + 1)
            began = time.monotonic()
            published = fleet.publish(value)
            for name in fleet.host_names():
                wait_until(lambda n=name, p=published: _has_applied(fleet, n, p.offset), "in force")
            seconds.append(time.monotonic() - began)
        return max(seconds), len(fleet.host_names())


def _has_applied(fleet: Fleet, name: str, offset: int) -> bool:
    return fleet.status(name).configuration_position >= offset


def measure_slopes() -> list[Slope]:
    """Return all slopes."""
    return [
        measure_memory("remembered keys", "keys", KEY_COUNTS, fold_claims),
        measure_time("folding claims", "claims", KEY_COUNTS, fold_claims),
        measure_memory("configuration", "workspaces", WORKSPACE_COUNTS, fold_workspaces),
        measure_time("folding changes", "changes", WORKSPACE_COUNTS, fold_workspaces),
        snapshot_bytes(WORKSPACE_COUNTS),
        measure_memory("cached blocks known of one engine", "blocks", BLOCK_COUNTS, cache_blocks),
        measure_memory("histograms of one measure", "labels", HISTOGRAM_COUNTS, make_histograms),
        measure_time("100 choices of an engine", "engines", UPSTREAM_COUNTS, choose),
        measure_time("100 rankings by rendezvous", "names", UPSTREAM_COUNTS, rank),
        *measure_idle(),
        measure_control_bytes(),
    ]


def run_capacity() -> None:
    """Measure everything and rewrite the table on the page."""
    slopes = measure_slopes()
    lines = ["| what | grows with | slope | at zero | unit | points |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    lines += [slope.row() for slope in slopes]
    header = "| way of a call | appends a call | p50 ms | p99 ms | calls/s | served in an outage |"
    lines += ["", header, "| --- | --- | --- | --- | --- | --- |"]
    lines += [cost.row() for cost in measure_calls()]
    lines += ["", "| gathering | microseconds a token | tokens/s | longest gap p95 ms |"]
    lines.append("| --- | --- | --- | --- |")
    for relay in run_relays():
        lines.append(
            f"| {relay.gather_ms} ms | {relay.microseconds_per_token:.0f} "
            f"| {relay.tokens_per_s:.0f} | {relay.longest_gap_p95_ms:.0f} |"
        )
    seconds, hosts = measure_propagation()
    lines += [
        "",
        f"A change was in force on {hosts} of {hosts} hosts after {seconds:.2f} s at most",
    ]
    lines[-1] += " (five changes)."
    lines += ["", f"Taken on {describe_machine()}, code version {describe_version()}."]
    write_page("\n".join(lines))


def write_page(table: str) -> None:
    """Print the table and write it into the page."""
    print(table)
    text = PAGE.read_text() if PAGE.exists() else f"{BEGIN}\n{END}\n"
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    PAGE.write_text(f"{before}{BEGIN}\n\n{table}\n\n{END}{after}")


def describe_machine() -> str:
    """Describe this machine."""
    return f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}"


def describe_version() -> str:
    """Return the version of the code."""
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"
