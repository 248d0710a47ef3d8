"""Randomised fault injection for keyed calls and tickets, checked against the services' records.

Each round draws one or two faults and several callers from a seed. A caller sends its key to one
or more hosts and retries. It either gives up at `not_run`, and then the key must never run, or
continues with the retry token, and then the call runs at most once.
"""

import random
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import msgspec
from ruddersaddle.keys import new_key

from ruddersaddle_standins.clients import CallResult, Client
from ruddersaddle_standins.fleets import Fleet

PATH = "/booking/slot"
CALLERS = 8
ATTEMPTS_MAX = 4
SETTLE_S = 1.0
FAULT_S = 1.5
HOST_FAULTS = ("kill_host", "freeze_host")
LOG_FAULTS = ("log_refuse", "log_hang", "log_lose", "log_late", "log_freeze")
SERVICE_FAULTS = ("service_kill", "service_drop", "service_slow", "service_freeze")
ANSWERED = "answered"
NOT_RUN = "not_run"


class CallerHistory(msgspec.Struct):
    """What one caller sent and which responses it received."""

    body: str
    key: str
    stops_at_not_run: bool
    uses_ticket: bool
    outcomes: list[str] = []
    answers: list[bytes] = []

    @property
    def ended_not_run(self) -> bool:
        """Whether the caller gave up after it received `not_run`."""
        return self.stops_at_not_run and bool(self.outcomes) and self.outcomes[-1] == NOT_RUN


class RoundReport(msgspec.Struct):
    """Counts and violations of one round."""

    seed: int
    faults: list[str]
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    broken: int = 0
    runs: int = 0
    duplicated: list[str] = []
    false_not_run: list[str] = []
    wrong_answers: list[str] = []

    @property
    def is_good(self) -> bool:
        """Whether the round violated nothing."""
        return not (self.duplicated or self.false_not_run or self.wrong_answers)


class FaultRounds:
    """Runs rounds on one fleet, and removes the faults after each."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def run(self, seed: int) -> RoundReport:
        """Run one round."""
        rng = random.Random(seed)
        kinds = list(HOST_FAULTS + LOG_FAULTS + SERVICE_FAULTS)
        faults = rng.sample(kinds, rng.choice((1, 2, 2)))
        histories = [self._draw_caller(rng, seed, number) for number in range(CALLERS)]
        starts = [rng.uniform(0, FAULT_S) for _ in histories]
        orders = [rng.sample(self.fleet.host_names(), 3) for _ in histories]
        plans = [(kind, rng.uniform(0, 0.6), rng.choice(self._targets(kind))) for kind in faults]
        with ThreadPoolExecutor(len(histories) + len(plans)) as pool:
            injections = [pool.submit(self._inject, *plan) for plan in plans]
            calls = [
                pool.submit(self._run_caller, history, start, order)
                for history, start, order in zip(histories, starts, orders, strict=True)
            ]
            for each in injections + calls:
                each.result()
        self._restore_fleet()
        time.sleep(SETTLE_S)
        return self._report(seed, faults, histories)

    def _draw_caller(self, rng: random.Random, seed: int, number: int) -> CallerHistory:
        uses_ticket = rng.random() < 0.25
        stops = rng.random() < 0.5
        return CallerHistory(
            f"seed {seed} caller {number} {rng.random()}", new_key(), stops, uses_ticket
        )

    def _targets(self, kind: str) -> list[str]:
        if kind in HOST_FAULTS:
            return self.fleet.host_names()
        if kind in LOG_FAULTS:
            return ["log"]
        return [name for name in self.fleet.by_name if name.startswith("service-")]

    def _inject(self, kind: str, after_s: float, target: str) -> None:
        time.sleep(after_s)
        process = self.fleet.by_name[target]
        match kind:
            case "kill_host" | "service_kill":
                process.kill()
                time.sleep(FAULT_S)
            case "freeze_host" | "log_freeze" | "service_freeze":
                process.freeze()
                time.sleep(FAULT_S * 2)
                process.thaw()
            case "log_lose" | "service_drop":
                self.fleet.inject_fault(target, kind.rpartition("_")[2], 3.0)
            case "log_late" | "service_slow":
                self.fleet.inject_fault(target, kind.rpartition("_")[2], 1.0, FAULT_S)
            case _:
                self.fleet.inject_fault(target, kind.rpartition("_")[2], 1.0, FAULT_S)

    def _run_caller(self, history: CallerHistory, start_s: float, order: list[str]) -> None:
        time.sleep(start_s)
        client = Client(self.fleet.topology.workspaces[0], keep_alive=False)
        if history.uses_ticket:
            history.key = client.ticket(self.fleet.address_by_name[order[0]])
            if not history.key:
                return
        token = ""
        for attempt in range(ATTEMPTS_MAX):
            result = self._send_attempt(client, history, order, attempt, token)
            history.outcomes.append(result.outcome if result.status else "broken")
            if result.status == 200:
                history.answers.append(result.body)
            if history.outcomes[-1] == ANSWERED or (
                result.outcome == NOT_RUN and history.stops_at_not_run
            ):
                return
            token = result.retry_token or token
            time.sleep(0.1)

    def _send_attempt(
        self, client: Client, history: CallerHistory, order: list[str], attempt: int, token: str
    ) -> CallResult:
        headers = {"deadline_ms": "6000"}
        if token:
            headers["retry_token"] = token
        address = self.fleet.address_by_name[order[attempt % len(order)]]
        if attempt == 0 and not history.uses_ticket:
            return self._send_to_two(client, history, order, headers)
        return client.call(address, PATH, history.body, history.key, **headers)

    def _send_to_two(
        self, client: Client, history: CallerHistory, order: list[str], headers: dict[str, str]
    ) -> CallResult:
        """Send the same call to two hosts at once, as a balancer that retries does."""
        addresses = [self.fleet.address_by_name[name] for name in order[:2]]
        with ThreadPoolExecutor(2) as pool:
            sent = [
                pool.submit(client.call, address, PATH, history.body, history.key, **headers)
                for address in addresses
            ]
            results = [each.result() for each in sent]
        for result in results:
            if result.status == 200:
                history.answers.append(result.body)
        outcomes = {result.outcome for result in results if result.status}
        return next(
            (r for r in results if r.outcome == NOT_RUN and outcomes == {NOT_RUN}), results[0]
        )

    def _restore_fleet(self) -> None:
        for kind in ("refuse", "hang", "lose", "late"):
            self.fleet.clear_fault("log", kind)
        for name, process in self.fleet.by_name.items():
            if name.startswith("service-"):
                if not process.is_running:
                    process.start()
                self.fleet.wait_healthy(name)
                for kind in ("drop", "slow"):
                    self.fleet.clear_fault(name, kind)
            if name.startswith("host-") and not process.is_running:
                self.fleet.replace_host(name)
        self.fleet.wait_recovered()

    def _report(self, seed: int, faults: list[str], histories: list[CallerHistory]) -> RoundReport:
        report = RoundReport(seed, faults)
        runs = self.runs_by_body()
        for history in histories:
            count = runs.get(history.body, 0)
            last = history.outcomes[-1] if history.outcomes else "broken"
            report.answered += last == ANSWERED
            report.not_run += last == NOT_RUN
            report.unknown += last == "unknown"
            report.broken += last == "broken"
            report.runs += count
            if count > 1:
                report.duplicated.append(history.body)
            if history.ended_not_run and count:
                report.false_not_run.append(history.body)
            if len(set(history.answers)) > 1 or (history.answers and not count):
                report.wrong_answers.append(history.body)
        return report

    def runs_by_body(self) -> dict[str, int]:
        """Return how often each call ran, from the services' own records."""
        return Counter(run.body for run in self.fleet.runs())


def describe_round(report: RoundReport) -> str:
    """Return a round as one line that ends with its violations."""
    counts = (
        f"answered {report.answered}, not_run {report.not_run}, unknown {report.unknown}, "
        f"broken {report.broken}, runs {report.runs}"
    )
    wrong = report.duplicated + report.false_not_run + report.wrong_answers
    verdict = "good" if report.is_good else f"WRONG: {wrong}"
    return f"seed {report.seed} {'+'.join(report.faults)}: {counts}: {verdict}"
