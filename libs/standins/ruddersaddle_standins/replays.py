"""Replays a trace against a fleet of real hosts and stand-ins, and measures what came of it."""

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
LEAD_S = 1.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
TAIL_TOKENS = 20


class PromptRow(msgspec.Struct):
    """One prompt's arrival and result."""

    arrival: Arrival
    result: PromptResult
    right: bool


class CallRow(msgspec.Struct):
    """One call's arrival and result."""

    arrival: Arrival
    result: CallResult


class HostUse(msgspec.Struct):
    """What one host's process took: seconds of processor time, and resident bytes."""

    cpu_s: float
    resident_bytes: int


class Replayed(msgspec.Struct):
    """All that a replay gave."""

    prompts: list[PromptRow]
    calls: list[CallRow]
    uses: list[HostUse]
    link_bytes: int
    computed_tokens: int
    new_tokens: int
    prompt_tokens: int
    doubled_calls: int
    appends: int
    seconds: float

    def first_ms(self, workspaces: set[str] | None = None, after_s: float = 0.0) -> np.ndarray:
        """Return first-token times of answered prompts, in milliseconds."""
        rows = [row for row in self.prompts if row.result.whole and row.arrival.at >= after_s]
        chosen = [r for r in rows if workspaces is None or r.arrival.workspace in workspaces]
        return np.array([row.result.first_ms for row in chosen] or [np.nan])

    def gaps_ms(self) -> np.ndarray:
        """Return each answered prompt's longest pause between reads, in milliseconds."""
        rows = [row.result.longest_gap_ms for row in self.prompts if row.result.whole]
        return np.array(rows or [np.nan])

    @property
    def recomputed_share(self) -> float:
        """The share of tokens that had been computed before and were computed again."""
        seen_before = self.prompt_tokens - self.new_tokens
        return max(0, self.computed_tokens - self.new_tokens) / max(1, seen_before)

    @property
    def refused(self) -> int:
        """Prompts that were refused."""
        return sum(row.result.status != 200 for row in self.prompts)

    @property
    def cut(self) -> int:
        """Streams that began and did not end whole."""
        return sum(row.result.status == 200 and not row.result.whole for row in self.prompts)

    def outcome(self, name: str) -> float:
        """Return the count that a stated outcome names."""
        match name:
            case "wrong_answers":
                return sum(row.result.whole and not row.right for row in self.prompts)
            case "cut_streams":
                return self.cut
            case "doubled_calls":
                return self.doubled_calls
            case "answered_prompts":
                return sum(row.result.whole for row in self.prompts)
            case "answered_calls":
                return sum(row.result.status == 200 for row in self.calls)
        raise ValueError(f"no outcome {name}")

    def broken(self, lines: list[TraceLine]) -> list[str]:
        """Return a sentence for each stated outcome that does not hold."""
        found = []
        for line in lines:
            if isinstance(line, ExpectedOutcome):
                value = self.outcome(line.name)
                if not line.lowest <= value <= line.highest:
                    found.append(f"{line.name}: {value:g}, stated {line.lowest} to {line.highest}")
        return found


def template_values(
    workspaces: tuple[str, ...], tokens: int, event_at: float | None, copies: int = 1
) -> list[Value]:
    """Return a template for each workspace, and its marked event if there is one."""
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

    def run(self, marks_events: bool) -> Replayed:
        """Publish the templates, replay every line at its time, and measure."""
        workspaces = self.fleet.topology.workspaces
        event_at = time.time() + LEAD_S + EVENT_AT_S if marks_events else None
        values = template_values(workspaces, self.template_tokens, event_at)
        self.fleet.publish(*values)
        hosts = self.fleet.host_names()
        before = [self._use(name) for name in hosts]
        began = time.monotonic() + LEAD_S
        with ThreadPoolExecutor(THREADS) as pool:
            for number, line in enumerate(self.lines):
                if isinstance(line, ExpectedOutcome):
                    continue
                time.sleep(max(0.0, began + line.at - time.monotonic()))
                pool.submit(self._play, number, line, hosts[number % len(hosts)])
        after = [self._use(name) for name in hosts]
        return self._measure(before, after, time.monotonic() - began)

    def _play(self, number: int, line: Arrival | Fault, host: str) -> None:
        if isinstance(line, Fault):
            self._bring_about(line)
        elif line.path == COMPLETIONS:
            self._send_prompt(number, line, host)
        else:
            self._send_call(number, line, host)

    def _bring_about(self, fault: Fault) -> None:
        if fault.kind == "kill":
            self.fleet.by_name[fault.target].kill()
        else:
            self.fleet.fault(fault.target, fault.kind, fault.value or 1.0, fault.seconds)

    def _send_prompt(self, number: int, line: Arrival, host: str) -> None:
        tail = f"question {number} " + fill_text(f"tail {number}", TAIL_TOKENS)
        more: dict[str, object] = {"priority_class": line.group}
        if line.context.startswith(TEMPLATE_PREFIX):
            template = line.context.removeprefix(TEMPLATE_PREFIX)
            more |= {"template": template, "parameters": {"caller": f"caller {number}"}}
            prefix = fill_text(f"template of {template}", self.template_tokens)
            text = f"{prefix}for caller {number}: {tail}"
            sent = tail
        else:
            text = sent = fill_text(line.context, line.prompt_tokens) + tail
        address = self.fleet.address_by_name[host]
        client = self.clients[line.workspace]
        result = client.prompt(address, sent, line.answer_tokens, **more)
        right = result.text == answer_text(text, VERSION, line.answer_tokens)
        with self._lock:
            self.prompts.append(PromptRow(line, result, right))

    def _send_call(self, number: int, line: Arrival, host: str) -> None:
        address = self.fleet.address_by_name[host]
        key = new_key() if line.key else ""
        client = self.clients[line.workspace]
        result = client.call(address, line.path, f"call {number}", key)
        with self._lock:
            self.calls.append(CallRow(line, result))

    def _count_new(self) -> int:
        """Return the tokens that no prompt of the trace had before: contexts once, and tails."""
        arrivals = [row.arrival for row in self.prompts]
        tokens = {a.context: a.prompt_tokens or self.template_tokens for a in arrivals}
        return sum(tokens.values()) + TAIL_TOKENS * len(arrivals)

    def _use(self, name: str) -> HostUse:
        return read_use(self.fleet.by_name[name].child.pid)

    def _measure(self, before: list[HostUse], after: list[HostUse], seconds: float) -> Replayed:
        uses = [
            HostUse(late.cpu_s - early.cpu_s, late.resident_bytes)
            for early, late in zip(before, after, strict=True)
        ]
        engines = [
            self.fleet.ask(name, "/record", EngineRecord)
            for name, process in self.fleet.by_name.items()
            if name.startswith("engine-") and process.is_running
        ]
        stores = [
            self.fleet.ask(name, "/record", StoreRecord)
            for name in self.fleet.by_name
            if name.startswith("store-")
        ]
        computed = sum(each.prompt_tokens - each.cached_tokens for each in engines)
        bodies = [run.body for run in self.fleet.runs() if run.key]
        return Replayed(
            prompts=self.prompts,
            calls=self.calls,
            uses=uses,
            link_bytes=sum(each.moved_bytes for each in stores),
            computed_tokens=computed,
            new_tokens=self._count_new(),
            prompt_tokens=sum(each.prompt_tokens for each in engines),
            doubled_calls=len(bodies) - len(set(bodies)),
            appends=self.fleet.ask("log", "/appends", int),
            seconds=seconds,
        )


def read_use(pid: int) -> HostUse:
    """Return what a process has taken so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return HostUse(ticks / CLOCK_TICKS, pages * os.sysconf("SC_PAGE_SIZE"))


def counts_of(fleet: Fleet) -> dict[str, int]:
    """Return the hosts' counts, added up."""
    total: dict[str, int] = {}
    for name in fleet.host_names():
        status = fleet.status(name)
        if isinstance(status, Failure):
            continue
        for key, value in status.counts.items():
            total[key] = total.get(key, 0) + value
    return total
