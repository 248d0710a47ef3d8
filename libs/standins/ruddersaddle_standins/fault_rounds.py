"""Rounds of drawn faults against keyed calls and tickets, checked against the services' records.

Each round draws one or two faults and a handful of callers from a seed. A caller sends its key to
one or more hosts, tries again, and either gives up at `not_run` (then the key must never run) or
goes on with the retry token (then it runs at most once).
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
TRIES = 4
SETTLE_S = 1.0
FAULT_S = 1.5
HOST_FAULTS = ("kill_host", "freeze_host")
LOG_FAULTS = ("log_refuse", "log_hang", "log_lose", "log_late", "log_freeze")
SERVICE_FAULTS = ("service_kill", "service_drop", "service_slow", "service_freeze")
ANSWERED = "answered"
NOT_RUN = "not_run"


class Story(msgspec.Struct):
    """What one caller did and was told."""

    body: str
    key: str
    stops_at_not_run: bool
    ticketed: bool
    words: list[str] = []
    answers: list[bytes] = []

    @property
    def ended_not_run(self) -> bool:
        """Whether the caller was told `not_run` and stopped there."""
        return self.stops_at_not_run and bool(self.words) and self.words[-1] == NOT_RUN


class RoundReport(msgspec.Struct):
    """What a round showed."""

    seed: int
    faults: list[str]
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    broken: int = 0
    runs: int = 0
    doubled: list[str] = []
    false_not_run: list[str] = []
    wrong_answers: list[str] = []

    @property
    def is_good(self) -> bool:
        """Whether nothing that must hold was broken."""
        return not (self.doubled or self.false_not_run or self.wrong_answers)


class FaultRounds:
    """Runs rounds on one fleet; each leaves it whole again."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def run(self, seed: int) -> RoundReport:
        """Run one round."""
        rng = random.Random(seed)
        kinds = list(HOST_FAULTS + LOG_FAULTS + SERVICE_FAULTS)
        faults = rng.sample(kinds, rng.choice((1, 2, 2)))
        stories = [self._draw_story(rng, seed, number) for number in range(CALLERS)]
        starts = [rng.uniform(0, FAULT_S) for _ in stories]
        orders = [rng.sample(self.fleet.host_names(), 3) for _ in stories]
        plans = [(kind, rng.uniform(0, 0.6), rng.choice(self._targets(kind))) for kind in faults]
        with ThreadPoolExecutor(len(stories) + len(plans)) as pool:
            done = [pool.submit(self._bring_about, *plan) for plan in plans]
            told = [
                pool.submit(self._tell, story, start, order)
                for story, start, order in zip(stories, starts, orders, strict=True)
            ]
            for each in done + told:
                each.result()
        self._make_whole()
        time.sleep(SETTLE_S)
        return self._report(seed, faults, stories)

    def _draw_story(self, rng: random.Random, seed: int, number: int) -> Story:
        ticketed = rng.random() < 0.25
        stops = rng.random() < 0.5
        return Story(f"seed {seed} caller {number} {rng.random()}", new_key(), stops, ticketed)

    def _targets(self, kind: str) -> list[str]:
        if kind in HOST_FAULTS:
            return self.fleet.host_names()
        if kind in LOG_FAULTS:
            return ["log"]
        return [name for name in self.fleet.by_name if name.startswith("service-")]

    def _bring_about(self, kind: str, after_s: float, target: str) -> None:
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

    def _tell(self, story: Story, start_s: float, order: list[str]) -> None:
        time.sleep(start_s)
        client = Client(self.fleet.topology.workspaces[0], keep_alive=False)
        if story.ticketed:
            story.key = client.ticket(self.fleet.address_by_name[order[0]])
            if not story.key:
                return
        token = ""
        for attempt in range(TRIES):
            result = self._try(client, story, order, attempt, token)
            story.words.append(result.outcome if result.status else "broken")
            if result.status == 200:
                story.answers.append(result.body)
            if story.words[-1] == ANSWERED or (
                result.outcome == NOT_RUN and story.stops_at_not_run
            ):
                return
            token = result.retry_token or token
            time.sleep(0.1)

    def _try(
        self, client: Client, story: Story, order: list[str], attempt: int, token: str
    ) -> CallResult:
        headers = {"deadline_ms": "6000"}
        if token:
            headers["retry_token"] = token
        address = self.fleet.address_by_name[order[attempt % len(order)]]
        if attempt == 0 and not story.ticketed:
            return self._send_to_two(client, story, order, headers)
        return client.call(address, PATH, story.body, story.key, **headers)

    def _send_to_two(
        self, client: Client, story: Story, order: list[str], headers: dict[str, str]
    ) -> CallResult:
        """Send the same call to two hosts at once, as a balancer that retries does."""
        addresses = [self.fleet.address_by_name[name] for name in order[:2]]
        with ThreadPoolExecutor(2) as pool:
            sent = [
                pool.submit(client.call, address, PATH, story.body, story.key, **headers)
                for address in addresses
            ]
            results = [each.result() for each in sent]
        for result in results:
            if result.status == 200:
                story.answers.append(result.body)
        words = {result.outcome for result in results if result.status}
        return next((r for r in results if r.outcome == NOT_RUN and words == {NOT_RUN}), results[0])

    def _make_whole(self) -> None:
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

    def _report(self, seed: int, faults: list[str], stories: list[Story]) -> RoundReport:
        report = RoundReport(seed, faults)
        runs = self.runs_by_body()
        for story in stories:
            count = runs.get(story.body, 0)
            last = story.words[-1] if story.words else "broken"
            report.answered += last == ANSWERED
            report.not_run += last == NOT_RUN
            report.unknown += last == "unknown"
            report.broken += last == "broken"
            report.runs += count
            if count > 1:
                report.doubled.append(story.body)
            if story.ended_not_run and count:
                report.false_not_run.append(story.body)
            if len(set(story.answers)) > 1 or (story.answers and not count):
                report.wrong_answers.append(story.body)
        return report

    def runs_by_body(self) -> dict[str, int]:
        """Return how often each call ran, from the services' own records."""
        return Counter(run.body for run in self.fleet.runs())


def describe_round(report: RoundReport) -> str:
    """Return a round as one line; broken promises stand at its end."""
    counts = (
        f"answered {report.answered}, not_run {report.not_run}, unknown {report.unknown}, "
        f"broken {report.broken}, runs {report.runs}"
    )
    wrong = report.doubled + report.false_not_run + report.wrong_answers
    verdict = "good" if report.is_good else f"WRONG: {wrong}"
    return f"seed {report.seed} {'+'.join(report.faults)}: {counts}: {verdict}"
