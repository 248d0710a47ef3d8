"""Replays a trace's arrivals against running hosts and checks the outcomes visible to callers.

Recorded traces contain no text, so each context gets generated text of the recorded size. Faults in
a trace are injected by benches; they are counted but not injected here.
"""

import configparser
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import urllib3
from ruddersaddle_base.codecs import encode_json
from ruddersaddle_base.settings import Problem
from ruddersaddle_upstreams.engines import DONE

from ruddersaddle.keys import new_key
from ruddersaddle.traces import Arrival, ExpectedOutcome, TraceLine, fill_text

THREADS = 128
TIMEOUT_S = 120.0
COMPLETIONS = "/v1/completions"
TEMPLATE_PREFIX = "template:"
OK = 200
MS_PER_S = 1000.0
KEYS_SECTION = "keys"


class ArrivalResult(msgspec.Struct):
    """One arrival and its response: status (0 without a response) and whether it was complete."""

    arrival: Arrival
    status: int
    complete: bool
    first_ms: float


class ReplayReport(msgspec.Struct):
    """Results of a replay; expected outcomes that callers can't see are listed in `not_judged`."""

    arrivals: int
    answered_prompts: int
    cut_streams: int
    answered_calls: int
    first_p50_ms: float
    first_p95_ms: float
    broken: list[str]
    not_judged: list[str]


def read_caller_keys(path: str) -> dict[str, str] | Problem:
    """Return the callers' keys by workspace from the `[keys]` section of an INI file."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return Problem(path, 0, "file", " ".join(str(error).split()))
    if KEYS_SECTION not in parser:
        return Problem(path, 0, KEYS_SECTION, "a section [keys] with workspace = key")
    return dict(parser[KEYS_SECTION])


class TraceReplay:
    """One replay against hosts, which are used in round-robin order."""

    def __init__(self, addresses: list[str], key_by_workspace: dict[str, str], model: str) -> None:
        self.addresses = addresses
        self.key_by_workspace = key_by_workspace
        self.model = model
        self.http = urllib3.PoolManager(maxsize=THREADS, retries=False, timeout=TIMEOUT_S)

    def run(self, lines: list[TraceLine]) -> ReplayReport:
        """Send every arrival at its time and return the report."""
        arrivals = [line for line in lines if isinstance(line, Arrival)]
        began = time.monotonic()
        with ThreadPoolExecutor(THREADS) as pool:
            futures = []
            for number, arrival in enumerate(arrivals):
                time.sleep(max(0.0, began + arrival.at - time.monotonic()))
                address = self.addresses[number % len(self.addresses)]
                futures.append(pool.submit(self._send, number, arrival, address))
            sent = [each.result() for each in futures]
        return report_replay(sent, lines)

    def _send(self, number: int, arrival: Arrival, address: str) -> ArrivalResult:
        key = self.key_by_workspace.get(arrival.workspace, "")
        headers = {"Authorization": f"Bearer {key}", "Priority-Class": arrival.group}
        if arrival.path == COMPLETIONS:
            body = encode_json(self._prompt_body(number, arrival))
        else:
            headers["Idempotency-Key"] = new_key()
            body = f"call {number}".encode()
        began = time.monotonic()
        try:
            reply = self.http.request(
                "POST",
                f"http://{address}{arrival.path}",
                body=body,
                headers=headers,
                preload_content=False,
            )
            first = reply.read1()
            first_ms = (time.monotonic() - began) * MS_PER_S
            complete = (first + reply.read()).endswith(DONE)
        except urllib3.exceptions.HTTPError:
            return ArrivalResult(arrival, 0, False, 0.0)
        return ArrivalResult(arrival, reply.status, complete, first_ms)

    def _prompt_body(self, number: int, arrival: Arrival) -> dict[str, object]:
        body = {"model": self.model, "stream": True, "max_tokens": max(1, arrival.answer_tokens)}
        if arrival.context.startswith(TEMPLATE_PREFIX):
            body["template"] = arrival.context.removeprefix(TEMPLATE_PREFIX)
            return {**body, "parameters": {"caller": str(number)}, "prompt": f"question {number}"}
        text = fill_text(arrival.context or f"arrival {number}", arrival.prompt_tokens)
        return {**body, "prompt": f"{text} question {number}"}


def report_replay(sent: list[ArrivalResult], lines: list[TraceLine]) -> ReplayReport:
    """Return the counts of a replay and the expected outcomes that were missed."""
    prompts = [each for each in sent if each.arrival.path == COMPLETIONS]
    answered = [each for each in prompts if each.complete]
    counts = {
        "answered_prompts": len(answered),
        "cut_streams": sum(each.status == OK and not each.complete for each in prompts),
        "answered_calls": sum(
            each.status == OK for each in sent if each.arrival.path != COMPLETIONS
        ),
    }
    broken, not_judged = [], []
    for line in lines:
        if not isinstance(line, ExpectedOutcome):
            continue
        if line.name not in counts:
            not_judged.append(line.name)
        elif not line.lowest <= counts[line.name] <= line.highest:
            broken.append(f"{line.name}: {counts[line.name]}, {line.lowest:g} to {line.highest:g}")
    times = sorted(each.first_ms for each in answered) or [0.0]
    p50, p95 = (times[int((len(times) - 1) * share)] for share in (0.5, 0.95))
    return ReplayReport(
        len(sent),
        **counts,
        first_p50_ms=p50,
        first_p95_ms=p95,
        broken=broken,
        not_judged=not_judged,
    )
