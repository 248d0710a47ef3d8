"""Simulates hosts whose engines crash when they begin to answer prompts with a certain part."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

import msgspec
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.crash_records import Crash, CrashRecords
from ruddersaddle_serving.fingerprints import Fingerprint, PartKey
from ruddersaddle_serving.part_crashes import CrashedPart, PartRecord, make_tag
from ruddersaddle_serving.part_verdicts import SETTLING_MS
from ruddersaddle_serving.upstream_entries import UpstreamInstance

START_MS = 1_800_000_000_000
CONTACT_MS = 3000
CRASHES_ALLOWED = 5
WARM_UP_MS = 6000
MESSAGE_MS = 12
DOWN_MS = 2500
STORE_MS = 400
PROGRESS_MS = 500
RETRIES = 1
DEADLY = "m/deadly"


class Scenario(msgspec.Struct, frozen=True):
    """What a replay plays; rates are requests or crashes a second of all hosts together."""

    hosts: int = 3
    engines: int = 8
    sound_per_s: float = 16.0
    deadly_per_s: float = 3.0
    deadly: tuple[tuple[str, ...], ...] = (("m/shared", DEADLY),)
    """Shared parts of deadly prompts, by kind."""
    deadly_parts: frozenset[str] = frozenset({DEADLY})
    own_parts: bool = False
    """Whether each prompt has a further shared part of its own, as in a conversation."""
    sound_before: bool = False
    """Whether sound prompts hold the deadly parts until these crash engines."""
    crashes_per_s: float = 0.0
    """Rate of crashes that no request causes."""
    group_crashes_ms: tuple[int, ...] = ()
    """Times at which all engines crash, as by a loss of power."""
    forget_ms: tuple[int, ...] = ()
    """Times at which all hosts lose their memory."""
    isolated: bool = False
    """Whether hosts exchange no messages, but records through the store."""
    duration_ms: int = 20_000
    warm_up_ms: int = WARM_UP_MS


class Request(msgspec.Struct):
    """One request at a host."""

    number: int
    host: int
    parts: tuple[PartKey, ...]
    is_deadly: bool
    attempts: int = 0
    began_ms: int | None = None
    is_proven: bool = False
    """Whether its present run has gone on for some time."""

    @property
    def fingerprint(self) -> Fingerprint:
        """Fingerprint of the request."""
        return Fingerprint(f"{self.number:08x}")


class Engine:
    """One engine, with its instance and its runs."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.instance = UpstreamInstance(UpstreamId(f"e-{number}"), 1)
        self.is_up = True
        self.runs: dict[int, Request] = {}


class Outcome(msgspec.Struct):
    """What a replay showed."""

    late_sends: Counter[str] = msgspec.field(default_factory=Counter)
    """Sends to engines later than `CONTACT_MS` after the fifth crash, by deadly part."""
    crashed_at: dict[str, list[int]] = {}
    """Times of crashes by deadly part."""
    sound: int = 0
    sound_refused: int = 0
    refused_parts: set[str] = set()


class PartCrashReplay:
    """Hosts with the records that they keep, before simulated engines, in virtual time."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(f"{seed} parts")
        self.now_ms = 0
        self.records = [CrashRecords() for _ in range(scenario.hosts)]
        self.engines = [Engine(number) for number in range(scenario.engines)]
        self.outcome = Outcome()
        self.stored: dict[PartKey, PartRecord] = {}
        """Records in the store, which hosts read again after they have lost their memory."""
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def run(self) -> Outcome:
        """Play the scenario to its end."""
        scenario = self.scenario
        self._repeat(scenario.sound_per_s, lambda: self._arrive(False), 0)
        self._repeat(scenario.deadly_per_s, lambda: self._arrive(True), scenario.warm_up_ms)
        self._repeat(scenario.crashes_per_s, self._crash_any, scenario.warm_up_ms)
        for at_ms in scenario.group_crashes_ms:
            self._at(at_ms, lambda: [self._crash(each) for each in self.engines])
        for at_ms in range(0, scenario.duration_ms, STORE_MS):
            self._at(at_ms, self._exchange_through_store)
        for at_ms in scenario.forget_ms:
            self._at(at_ms, self._forget)
        while self._events and self._events[0][0] < scenario.duration_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    @property
    def unix_ms(self) -> int:
        return START_MS + self.now_ms

    def _at(self, at_ms: float, action: Callable[[], object]) -> None:
        heapq.heappush(self._events, (round(at_ms), next(self._numbers), action))

    def _repeat(self, per_s: float, action: Callable[[], object], from_ms: int) -> None:
        if not per_s:
            return
        at_ms = float(from_ms)
        while at_ms < self.scenario.duration_ms:
            at_ms += self.rng.expovariate(per_s) * 1000
            self._at(at_ms, action)

    def _forget(self) -> None:
        self.records = [CrashRecords() for _ in self.records]

    def _exchange_through_store(self) -> None:
        for records in self.records:
            for record in records.parts.shared():
                stored = self.stored.get(record.part, PartRecord(record.part))
                self.stored[record.part] = stored.merge(record.crashes, record.cleared)
        for records in self.records:
            for record in self.stored.values():
                records.parts.merge(record, self.unix_ms)

    # Requests

    def _arrive(self, is_deadly: bool) -> None:
        scenario, rng = self.scenario, self.rng
        number = next(self._numbers)
        if is_deadly:
            parts = rng.choice(scenario.deadly)
        else:
            parts = ("m/shared", f"m/s-{rng.randrange(4)}")
            if scenario.sound_before and self.now_ms < scenario.warm_up_ms and number % 3 == 0:
                parts = rng.choice(scenario.deadly)
        if scenario.own_parts:
            parts = (*parts, f"m/own-{number}")
        keys = tuple(PartKey(each) for each in parts)
        request = Request(number, rng.randrange(scenario.hosts), keys, is_deadly)
        self.records[request.host].parts.history.record_request(keys, self.unix_ms)
        self._send(request)

    def _send(self, request: Request) -> None:
        parts = self.records[request.host].parts
        record = parts.find_refusal(request.parts, str(request.number), self.unix_ms)
        is_judged = not request.is_deadly and self._is_after_contact(2, self._first_deadly())
        if request.attempts == 0:
            self.outcome.sound += is_judged
        if record is not None:
            self.outcome.refused_parts.add(record.part)
            self.outcome.sound_refused += is_judged and request.attempts == 0
            return
        up = [each for each in self.engines if each.is_up]
        if not up:
            return
        engine = self.rng.choice(up)
        request.attempts += 1
        request.began_ms, request.is_proven = None, False
        for part in self.scenario.deadly_parts.intersection(request.parts):
            crashes = len(self.outcome.crashed_at.get(part, ()))
            if crashes >= CRASHES_ALLOWED and self._is_after_contact(1, part):
                self.outcome.late_sends[part] += 1
        engine.runs[request.number] = request
        instance = engine.instance
        delay_ms = self.rng.uniform(20, 120)
        self._at(self.now_ms + delay_ms, lambda: self._begin(engine, instance, request))

    def _first_deadly(self) -> str:
        return min(self.scenario.deadly_parts, default="")

    def _is_after_contact(self, times: int, part: str) -> bool:
        """Return whether some times the contact time has passed since a part's fifth crash."""
        crashed_at = self.outcome.crashed_at.get(part)
        last_ms = crashed_at[:CRASHES_ALLOWED][-1] if crashed_at else self.scenario.warm_up_ms
        return self.now_ms > last_ms + times * CONTACT_MS

    def _begin(self, engine: Engine, instance: UpstreamInstance, request: Request) -> None:
        if engine.instance != instance or not engine.is_up:
            return
        crashing = self.scenario.deadly_parts.intersection(request.parts)
        if crashing and self.now_ms >= self.scenario.warm_up_ms:
            for part in crashing:
                self.outcome.crashed_at.setdefault(part, []).append(self.now_ms)
            self._crash(engine)
            return
        request.began_ms = self.unix_ms
        duration_ms = self.rng.uniform(50, 1500)
        if duration_ms > PROGRESS_MS:
            self._at(
                self.now_ms + PROGRESS_MS, lambda: self._clear_parts(engine, instance, request)
            )
        self._at(self.now_ms + duration_ms, lambda: self._end(engine, instance, request))

    def _end(self, engine: Engine, instance: UpstreamInstance, request: Request) -> None:
        self._clear_parts(engine, instance, request)
        if engine.instance == instance and engine.is_up:
            engine.runs.pop(request.number, None)

    def _clear_parts(self, engine: Engine, instance: UpstreamInstance, request: Request) -> None:
        if engine.instance != instance or not engine.is_up or request.number not in engine.runs:
            return
        request.is_proven = True
        records = self.records[request.host]
        clearances = records.parts.record_answer(request.parts, request.began_ms, self.unix_ms)
        for clearance in clearances:
            self._broadcast(
                request.host, lambda other, each=clearance: other.parts.clear(each, self.unix_ms)
            )

    # Crashes

    def _crash_any(self) -> None:
        self._crash(self.rng.choice(self.engines))

    def _crash(self, engine: Engine) -> None:
        if not engine.is_up:
            return
        engine.is_up = False
        runs, engine.runs = list(engine.runs.values()), {}
        self._at(self.now_ms + DOWN_MS, lambda: self._restart(engine))
        for host in {run.host for run in runs}:
            own = [run for run in runs if run.host == host]
            report = partial(self._report, host, engine.instance, own, self.now_ms)
            self._at(self.now_ms + self.rng.uniform(100, 400), report)
            for run in own:
                if run.attempts <= RETRIES:
                    self._at(self.now_ms + 5, partial(self._send, run))

    def _restart(self, engine: Engine) -> None:
        born_ms = (engine.instance.born_ms or 0) + 1
        engine.instance = UpstreamInstance(engine.instance.id, born_ms)
        engine.is_up = True

    def _report(
        self, host: int, instance: UpstreamInstance, runs: list[Request], crashed_ms: int
    ) -> None:
        """Let a host find that an engine has crashed, and send this to the others."""
        history = self.records[host].parts.history
        parts: dict[PartKey, CrashedPart] = {}
        for run in runs:
            for part in () if run.is_proven else run.parts:
                found = CrashedPart(
                    part, (make_tag(run.fingerprint),), history.is_proven(part, self.unix_ms)
                )
                known = parts.get(part)
                parts[part] = found if known is None else known.merge(found)
        crash = Crash(
            instance,
            tuple(run.fingerprint for run in runs),
            tuple(parts.values()),
            self.now_ms - crashed_ms,
        )

        def record(records: CrashRecords) -> None:
            at_ms = self.unix_ms - crash.age_ms
            records.parts.record_crash(instance, crash.parts, at_ms, self.unix_ms)
            records.record_crash(crash, self.unix_ms)

            self._at(self.now_ms + SETTLING_MS, lambda: records.parts.judge(self.unix_ms))

        record(self.records[host])
        self._broadcast(host, record)

    def _broadcast(self, sender: int, apply: Callable[[CrashRecords], object]) -> None:
        if self.scenario.isolated:
            return

        def deliver() -> None:
            for number, records in enumerate(self.records):
                if number != sender:
                    apply(records)

        self._at(self.now_ms + MESSAGE_MS, deliver)
