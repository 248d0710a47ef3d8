"""Replays a trace against a fleet of real hosts and stand-ins, and measures the results."""

import os
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import numpy as np
from ruddersaddle.keys import new_key
from ruddersaddle.replays import COMPLETIONS, TEMPLATE_PREFIX
from ruddersaddle.traces import Arrival, ExpectedOutcome, Fault, TraceLine, fill_text
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import WorkspaceId
from ruddersaddle_state.entries import Event, Template, Value

from ruddersaddle_standins.clients import CallResult, Client, PromptResult
from ruddersaddle_standins.engine_servers import EngineRecord, answer_text
from ruddersaddle_standins.fleets import MODEL, VERSION, Fleet
from ruddersaddle_standins.store_servers import StoreRecord
from ruddersaddle_standins.trace_generators import EVENT_AT_S

THREADS = 256
START_DELAY_S = 1.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
TAIL_TOKENS = 20


class PromptRow(msgspec.Struct):
    """One prompt's arrival and result."""

    arrival: Arrival
    result: PromptResult
    correct: bool


class CallRow(msgspec.Struct):
    """One call's arrival and result."""

    arrival: Arrival
    result: CallResult


class HostUsage(msgspec.Struct):
    """Resource usage of one host process: processor time in seconds, and resident bytes."""

    cpu_s: float
    resident_bytes: int


class ReplayResult(msgspec.Struct):
    """Results of a replay."""

    prompts: list[PromptRow]
    calls: list[CallRow]
    usages: list[HostUsage]
    link_bytes: int
    computed_tokens: int
    new_tokens: int
    prompt_tokens: int
    doubled_calls: int
    appends: int
    seconds: float

    def first_ms(self, workspaces: set[str] | None = None, after_s: float = 0.0) -> np.ndarray:
        """Return the times to first token of answered prompts, in milliseconds."""
        rows = [row for row in self.prompts if row.result.complete and row.arrival.at >= after_s]
        chosen = [r for r in rows if workspaces is None or r.arrival.workspace in workspaces]
        return np.array([row.result.first_ms for row in chosen] or [np.nan])

    def gaps_ms(self) -> np.ndarray:
        """Return each answered prompt's longest pause between reads, in milliseconds."""
        rows = [row.result.longest_gap_ms for row in self.prompts if row.result.complete]
        return np.array(rows or [np.nan])

    @property
    def recomputed_share(self) -> float:
        """Share of the previously computed tokens that were computed again."""
        seen_before = self.prompt_tokens - self.new_tokens
        return max(0, self.computed_tokens - self.new_tokens) / max(1, seen_before)

    @property
    def refused(self) -> int:
        """Number of prompts that were refused."""
        return sum(row.result.status != 200 for row in self.prompts)

    @property
    def cut(self) -> int:
        """Number of streams that began and ended incomplete."""
        return sum(row.result.status == 200 and not row.result.complete for row in self.prompts)

    def outcome(self, name: str) -> float:
        """Return the count that an expected outcome refers to."""
        match name:
            case "wrong_answers":
                return sum(row.result.complete and not row.correct for row in self.prompts)
            case "cut_streams":
                return self.cut
            case "doubled_calls":
                return self.doubled_calls
            case "answered_prompts":
                return sum(row.result.complete for row in self.prompts)
            case "answered_calls":
                return sum(row.result.status == 200 for row in self.calls)
        raise ValueError(f"unknown outcome {name}")

    def failed_outcomes(self, lines: list[TraceLine]) -> list[str]:
        """Return a message for each expected outcome that is not met."""
        found = []
        for line in lines:
            if isinstance(line, ExpectedOutcome):
                value = self.outcome(line.name)
                if not line.lowest <= value <= line.highest:
                    found.append(
                        f"{line.name}: {value:g}, expected {line.lowest} to {line.highest}"
                    )
        return found


def template_values(
    workspaces: tuple[str, ...], tokens: int, event_at: float | None, copies: int = 1
) -> list[Value]:
    """Return a template for each workspace, and an event for it if `event_at` is given."""
    values: list[Value] = []
    for workspace in workspaces:
        text = fill_text(f"template of {workspace}", tokens) + "for $caller: "
        values.append(Template(workspace, WorkspaceId(workspace), text, ("caller",)))
        if event_at is not None:
            values.append(Event(workspace, workspace, MODEL, event_at, copies))
    return values


class Replay:
    """One replay of a trace on one fleet."""

    def __init__(self, fleet: Fleet, lines: list[TraceLine], template_tokens: int) -> None:
        self.fleet = fleet
        self.lines = lines
        self.template_tokens = template_tokens
        self.prompts: list[PromptRow] = []
        self.calls: list[CallRow] = []
        self.clients = {name: Client(name) for name in fleet.topology.workspaces}
        self._lock = threading.Lock()

    def run(self, marks_events: bool) -> ReplayResult:
        """Publish the templates, replay every line at its time, and return the results."""
        workspaces = self.fleet.topology.workspaces
        event_at = time.time() + START_DELAY_S + EVENT_AT_S if marks_events else None
        values = template_values(workspaces, self.template_tokens, event_at)
        self.fleet.publish(*values)
        hosts = self.fleet.host_names()
        before = [self._usage(name) for name in hosts]
        began = time.monotonic() + START_DELAY_S
        with ThreadPoolExecutor(THREADS) as pool:
            for number, line in enumerate(self.lines):
                if isinstance(line, ExpectedOutcome):
                    continue
                time.sleep(max(0.0, began + line.at - time.monotonic()))
                pool.submit(self._replay_line, number, line, hosts[number % len(hosts)])
        after = [self._usage(name) for name in hosts]
        return self._measure(before, after, time.monotonic() - began)

    def _replay_line(self, number: int, line: Arrival | Fault, host: str) -> None:
        if isinstance(line, Fault):
            self._inject_fault(line)
        elif line.path == COMPLETIONS:
            self._send_prompt(number, line, host)
        else:
            self._send_call(number, line, host)

    def _inject_fault(self, fault: Fault) -> None:
        if fault.kind == "kill":
            self.fleet.by_name[fault.target].kill()
        else:
            self.fleet.inject_fault(fault.target, fault.kind, fault.value or 1.0, fault.seconds)

    def _send_prompt(self, number: int, line: Arrival, host: str) -> None:
        tail = f"question {number} " + fill_text(f"tail {number}", TAIL_TOKENS)
        options: dict[str, object] = {"priority_class": line.group}
        if line.context.startswith(TEMPLATE_PREFIX):
            template = line.context.removeprefix(TEMPLATE_PREFIX)
            options |= {"template": template, "parameters": {"caller": f"caller {number}"}}
            prefix = fill_text(f"template of {template}", self.template_tokens)
            text = f"{prefix}for caller {number}: {tail}"
            sent = tail
        else:
            text = sent = fill_text(line.context, line.prompt_tokens) + tail
        address = self.fleet.address_by_name[host]
        client = self.clients[line.workspace]
        result = client.prompt(address, sent, line.answer_tokens, **options)
        correct = result.text == answer_text(text, VERSION, line.answer_tokens)
        with self._lock:
            self.prompts.append(PromptRow(line, result, correct))

    def _send_call(self, number: int, line: Arrival, host: str) -> None:
        address = self.fleet.address_by_name[host]
        key = new_key() if line.key else ""
        client = self.clients[line.workspace]
        result = client.call(address, line.path, f"call {number}", key)
        with self._lock:
            self.calls.append(CallRow(line, result))

    def _count_new(self) -> int:
        """Return the number of distinct tokens in the trace: each context once, and all tails."""
        arrivals = [row.arrival for row in self.prompts]
        tokens = {a.context: a.prompt_tokens or self.template_tokens for a in arrivals}
        return sum(tokens.values()) + TAIL_TOKENS * len(arrivals)

    def _usage(self, name: str) -> HostUsage:
        return read_usage(self.fleet.by_name[name].child.pid)

    def _measure(
        self, before: list[HostUsage], after: list[HostUsage], seconds: float
    ) -> ReplayResult:
        usages = [
            HostUsage(late.cpu_s - early.cpu_s, late.resident_bytes)
            for early, late in zip(before, after, strict=True)
        ]
        engines = [
            self.fleet.fetch(name, "/record", EngineRecord)
            for name, process in self.fleet.by_name.items()
            if name.startswith("engine-") and process.is_running
        ]
        stores = [
            self.fleet.fetch(name, "/record", StoreRecord)
            for name in self.fleet.by_name
            if name.startswith("store-")
        ]
        computed = sum(each.prompt_tokens - each.cached_tokens for each in engines)
        bodies = [run.body for run in self.fleet.runs() if run.key]
        return ReplayResult(
            prompts=self.prompts,
            calls=self.calls,
            usages=usages,
            link_bytes=sum(each.moved_bytes for each in stores),
            computed_tokens=computed,
            new_tokens=self._count_new(),
            prompt_tokens=sum(each.prompt_tokens for each in engines),
            doubled_calls=len(bodies) - len(set(bodies)),
            appends=self.fleet.fetch("log", "/appends", int),
            seconds=seconds,
        )


def read_usage(pid: int) -> HostUsage:
    """Return the resource usage of a process so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return HostUsage(ticks / CLOCK_TICKS, pages * os.sysconf("SC_PAGE_SIZE"))


def sum_counts(fleet: Fleet) -> dict[str, int]:
    """Return the sums of all hosts' counts."""
    total: dict[str, int] = {}
    for name in fleet.host_names():
        status = fleet.status(name)
        if isinstance(status, Failure):
            continue
        for key, value in status.counts.items():
            total[key] = total.get(key, 0) + value
    return total
