"""Simulates a load in virtual time against the decisions that a host makes.

The decisions run the production code: placement, load exchange, liveness, probes. The environment
is minimal: engines with slots, memory, a prefill rate and outages; callers who try once, or a
second time after a refusal. Hosts exchange the production messages, which arrive immediately;
connections take no time, or time out at an engine that is down.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Mapping
from unittest import mock

from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, HostId, ModelId, PoolId, RegionId, RequestId, UpstreamId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.forwarders import CONNECT_ATTEMPTS_MAX
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.load_shares import (
    READER_NOTICE_INTERVAL_S,
    SUM_INTERVAL_S,
    SUMS_PER_TOTAL,
    LoadExchange,
)
from ruddersaddle_serving.placements import Choice, Placement
from ruddersaddle_serving.ports import Presence
from ruddersaddle_serving.probes import CHECK_INTERVAL_S, Probes
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, Part, PartId, Prompt
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.regions.choosers import LocalFirstChooser
from ruddersaddle_serving.regions.links import RegionLinks
from ruddersaddle_serving.regions.maps import RegionMap
from ruddersaddle_serving.routes import Route, RouteKind, RouteName, Target
from ruddersaddle_serving.tests.replay_loads import (
    Kind,
    Load,
    Outcome,
    Tally,
    draw_shared_size,
    draw_size,
)
from ruddersaddle_serving.tests.test_load_shares import FakePeers
from ruddersaddle_serving.trackers import Notice, Progress, Reachability, Trackers
from ruddersaddle_serving.upstream_connections import CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_quotas import UpstreamQuotas

POOL = PoolId("p")
MODEL = ModelId("m")
CALLER_TIMEOUT_S = 2.4
"""A caller gives up on an engine that has sent nothing for this long."""


class ReplayEngine:
    """An engine that prefills prompts one after another and runs up to `slots`.

    Higher priorities go first. When memory runs out, the latest run of the lowest priority is
    preempted and its prefill is repeated.
    """

    def __init__(self, replay: "Replay", entry: UpstreamEntry) -> None:
        self.replay = replay
        self.entry = entry
        self.is_down = False
        self.active: list[ReplayCaller] = []
        self.prefilling: ReplayCaller | None = None
        self.awaiting_prefill: list[ReplayCaller] = []
        self.waiting: list[ReplayCaller] = []
        self.cached: OrderedDict[str, int] = OrderedDict()

    def handle(self, caller: "ReplayCaller") -> None:
        if not self.is_down:
            self.waiting.append(caller)
            self._admit()

    def _admit(self) -> None:
        load = self.replay.load
        while self.waiting and not self.is_down:
            caller = min(self.waiting, key=lambda each: each.kind.priority)
            if len(self.active) >= load.slots or not self._make_room(caller):
                break
            self.waiting.remove(caller)
            self.active.append(caller)
            self.awaiting_prefill.append(caller)
        self._prefill_next()

    def _make_room(self, caller: "ReplayCaller") -> bool:
        used = sum(each.kind.tokens for each in self.active)
        capacity = self.replay.load.memory_tokens
        others = [each for each in self.active if each.kind.priority > caller.kind.priority]
        while used + caller.kind.tokens > capacity and others:
            least = max(others, key=lambda each: (each.kind.priority, each.number))
            others.remove(least)
            used -= least.kind.tokens
            self._preempt(least)
        return used + caller.kind.tokens <= capacity

    def _preempt(self, caller: "ReplayCaller") -> None:
        self.active.remove(caller)
        caller.runs += 1
        if caller in self.awaiting_prefill:
            self.awaiting_prefill.remove(caller)
        if self.prefilling is caller:
            self.prefilling = None
        caller.record_preemption()
        self.waiting.append(caller)

    def _prefill_next(self) -> None:
        if self.is_down or self.prefilling is not None or not self.awaiting_prefill:
            return
        caller = min(self.awaiting_prefill, key=lambda each: each.kind.priority)
        self.awaiting_prefill.remove(caller)
        self.prefilling = caller
        missing = caller.kind.own_tokens + self._prefill_shared(caller)
        run = caller.runs
        prefill_s = missing / self.replay.load.tokens_s
        self.replay.after(prefill_s, lambda: self._end_prefill(caller, run))

    def _prefill_shared(self, caller: "ReplayCaller") -> int:
        is_cached = caller.shared_part in self.cached
        self.cached[caller.shared_part] = caller.kind.shared_tokens
        self.cached.move_to_end(caller.shared_part)
        while sum(self.cached.values()) > self.replay.load.memory_tokens:
            self.cached.popitem(last=False)
        prefilled = 0 if is_cached else caller.kind.shared_tokens
        caller.tally.prefilled_tokens += prefilled
        return prefilled

    def _end_prefill(self, caller: "ReplayCaller", run: int) -> None:
        if self.is_down or caller.runs != run:
            return
        self.prefilling = None
        load = self.replay.load
        self.replay.after(load.first_s, lambda: caller.record_first_event(run))
        run_s = load.first_s + caller.kind.tokens_out * load.step_s
        self.replay.after(run_s, lambda: self._end_run(caller, run))
        self._prefill_next()

    def _end_run(self, caller: "ReplayCaller", run: int) -> None:
        if self.is_down or caller.runs != run:
            return
        self.active.remove(caller)
        caller.record_end()
        self._admit()

    def go_down(self) -> None:
        self.is_down = True
        self.waiting.clear()
        self.awaiting_prefill.clear()
        self.active.clear()
        self.prefilling = None

    def come_up(self) -> None:
        self.is_down = False


class ReplayConnections:
    """Shows the placement whether a host has an idle connection to an engine."""

    def __init__(self, host: "ReplayHost", upstream: UpstreamId) -> None:
        self.host = host
        self.upstream = upstream

    @property
    def has_idle(self) -> bool:
        return self.host.connected_until.get(self.upstream, 0.0) > clocks.now_s()

    def has_idle_for(self, request: RequestId) -> bool:
        """Each request of a replay has an id of its own."""
        return self.has_idle

    def close(self) -> None:
        self.host.connected_until.pop(self.upstream, None)


class ReplayHost:
    """The decisions of one host, and its connections to engines."""

    def __init__(self, replay: "Replay", exchange: LoadExchange) -> None:
        self.exchange = exchange
        trackers = exchange.trackers
        upstreams = UpstreamList()
        for engine in replay.engine_by_id.values():
            upstreams.put(engine.entry)
            tracker = trackers.get_or_create(engine.entry)
            tracker.memory.capacity_tokens = replay.load.memory_tokens
            tracker.connections = ReplayConnections(self, engine.entry.id)
        publications = Publications()
        cached_parts = CachedParts(mock.Mock())
        hall = exchange.hosts.own.hall
        quotas = UpstreamQuotas(exchange.hosts, publications, upstreams)
        self.placement = Placement(
            hall, 12.0, publications, upstreams, trackers, cached_parts, quotas
        )
        self.placement.view_lag_s = lambda: exchange.lag_s
        self.links = RegionLinks(exchange.hosts.regions)
        LocalFirstChooser.attach(self.placement, self.links)
        engines = mock.Mock()
        engines.presence.side_effect = lambda _, start: replay.presence(start.id)
        self.probes = Probes(exchange.hosts, trackers, engines, exchange.broadcast)
        self.connected_until: dict[UpstreamId, float] = {}

    def needs_connection(self, upstream: UpstreamId) -> bool:
        """Return whether a request needs a new connection, which later requests reuse."""
        now = clocks.now_s()
        is_new = self.connected_until.get(upstream, 0.0) < now
        self.connected_until[upstream] = now + IDLE_TIMEOUT_S
        return is_new


class ReplayCaller:
    """One caller, from the first attempt on."""

    def __init__(self, replay: "Replay", kind: Kind) -> None:
        self.replay = replay
        self.kind = draw_size(kind, replay.rng)
        self.shared_part = f"{kind.name}-{replay.rng.randrange(kind.shared_parts)}"
        self.kind = draw_shared_size(self.kind, self.shared_part)
        self.started_at = clocks.now_s()
        self.attempts = 0
        self.runs = 0
        self.number = 0
        self.ended = False
        self.tally = replay.outcome.tally_by_kind[kind.name]
        self.tally.asked += 1
        self.tally.asked_at.append(self.started_at)
        self.tally.sizes.append(self.kind.tokens)
        self._start_attempt()

    def _start_attempt(self) -> None:
        self.attempts += 1
        self.excluded: set[UpstreamId] = set()
        self.may_refuse = True
        self.host = self.replay.rng.choice(self.replay.hosts)
        parts = (
            Part(PartId(self.shared_part), self.kind.shared_tokens),
            Part(PartId(f"own-{next(self.replay.numbers)}"), self.kind.own_tokens),
        )
        tokens = self.kind.shared_tokens + self.kind.own_tokens
        prompt = Prompt(MODEL, parts, tokens, self.kind.tokens_out)
        head = CallerHead(RequestId("q"), None, None, prompt, None, ())
        route = Route(
            RouteName(self.kind.name),
            "h",
            "/",
            RouteKind.STREAM,
            9.0,
            self.kind.target_s,
            (Target(POOL),),
            priority=self.kind.priority,
        )
        self.request = CallerRequest(head, "POST", "/", b"", route, None, clocks.now_s())
        self._choose()

    def _choose(self) -> None:
        choice = self.host.placement.choose(self.request, POOL, self.excluded, self.may_refuse)
        match choice:
            case Choice():
                self._send(choice)
            case Failure():
                self._refuse(choice.retry_after_s)

    def _refuse(self, retry_after_s: float) -> None:
        if self.attempts > 1:
            self._give_up("refused")
        else:
            self.replay.after(retry_after_s, self._start_attempt)

    def _send(self, choice: Choice) -> None:
        self.upstream = choice.tracker.id
        self.number = next(self.replay.numbers)
        expected_s = choice.first_s
        self._broadcast(Progress.SENT, assignment=choice.assignment, expected_s=expected_s)
        engine = self.replay.engine_by_id[self.upstream]
        is_new = self.host.needs_connection(self.upstream)
        self.tally.connections += is_new
        if engine.is_down and is_new:
            self.replay.after(CONNECT_TIMEOUT_S, self._fail_to_connect)
            return
        if is_new:
            choice.tracker.record_reached()
        self.host.placement.quotas.record_sent(choice.tracker)
        engine.handle(self)
        number = self.number
        self.replay.after(CALLER_TIMEOUT_S, lambda: self._abandon(number))

    def _fail_to_connect(self) -> None:
        self.host.connected_until.pop(self.upstream, None)
        self.host.placement.trackers.by_id[self.upstream].record_connect_failure()
        self._broadcast(Progress.ENDED, reachability=Reachability.NO_CONNECTION)
        self.excluded.add(self.upstream)
        if len(self.excluded) < CONNECT_ATTEMPTS_MAX:
            self._choose()
        else:
            self._give_up("unserved")

    def _abandon(self, number: int) -> None:
        if not self.ended and self.number == number:
            self.ended = True
            self.host.connected_until.pop(self.upstream, None)
            self._give_up("unserved")
            self._broadcast(Progress.ENDED, reachability=Reachability.NO_RESPONSE)

    def _give_up(self, outcome: str) -> None:
        setattr(self.tally, outcome, getattr(self.tally, outcome) + 1)
        self.tally.unserved_s += clocks.now_s() - self.started_at

    def record_first_event(self, run: int) -> None:
        if self.ended or self.runs != run:
            return
        self.ended = True
        self.host.placement.trackers.by_id[self.upstream].record_reached()
        self._broadcast(Progress.FIRST_EVENT)
        first_s = clocks.now_s() - self.started_at
        self.tally.first_event_times_s.append(first_s)
        self.tally.served_sizes.append(self.kind.tokens)
        if first_s <= self.kind.target_s:
            self.tally.in_time += 1
            self.tally.in_time_at.append(self.started_at)
        else:
            self.tally.late += 1
            self.tally.late_after_refusal += self.attempts > 1

    def record_preemption(self) -> None:
        """Record that the engine preempted the run; a stream that had begun pauses for long."""
        if (
            self.ended
            and clocks.now_s() - self.started_at > 0
            and self.tally.in_time > self.tally.interrupted
        ):
            self.tally.interrupted += 1

    def record_end(self) -> None:
        self._broadcast(Progress.ENDED, reachability=Reachability.RESPONDED, failed=False)

    def _broadcast(self, progress: Progress, **fields: object) -> None:
        self.host.exchange.broadcast(Notice(self.upstream, self.number, progress, **fields))


class Replay:
    """The simulation of one load."""

    engine_class: type[ReplayEngine] = ReplayEngine
    caller_class: type[ReplayCaller] = ReplayCaller
    region_by_hall: Mapping[HallId, RegionId] = {}

    def __init__(self, load: Load) -> None:
        self.load = load
        self.now = 1000.0
        self.rng = random.Random(load.seed)
        self.numbers = itertools.count(1)
        self.outcome = Outcome({kind.name: Tally(kind) for kind in load.kinds})
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def run(self) -> Outcome:
        """Run the simulation and return the outcome for the callers."""
        eventlet_path = "ruddersaddle_serving.load_shares.eventlet.spawn_after"
        with (
            mock.patch.object(clocks, "now_s", lambda: self.now),
            mock.patch(eventlet_path),
        ):
            random.seed(self.load.seed)
            self._build()
            end = self.now + self.load.length_s + CALLER_TIMEOUT_S + 1.0
            while self._events and self._events[0][0] < end:
                self.now, _, function = heapq.heappop(self._events)
                function()
        return self.outcome

    def presence(self, upstream: UpstreamId) -> Presence:
        """Return the result of probing an engine."""
        return Presence.UNKNOWN if self.engine_by_id[upstream].is_down else Presence.PRESENT

    def after(self, seconds: float, function: Callable[[], None]) -> None:
        """Call a function after a delay."""
        heapq.heappush(self._events, (self.now + seconds, next(self.numbers), function))

    def _every(self, seconds: float, function: Callable[[], None]) -> None:
        def call() -> None:
            function()
            self.after(seconds, call)

        self.after(self.rng.random() * seconds, call)

    def _build(self) -> None:
        load = self.load
        halls = [HallId(f"hall-{number}") for number in range(load.halls)]
        self.engine_by_id: dict[UpstreamId, ReplayEngine] = {}
        for number in range(load.engines):
            hall = halls[number % load.halls]
            address = f"10.1.0.{number}:80"
            engine_id = UpstreamId(f"e-{number}")
            entry = UpstreamEntry(engine_id, POOL, address, hall, load.slots, False, {MODEL: 1})
            self.engine_by_id[entry.id] = self.engine_class(self, entry)
        records = {
            HostId(f"h-{number}"): HostRecord(f"10.0.0.{number}:1", halls[number % load.halls])
            for number in range(load.hosts)
        }
        peers = FakePeers()
        for host, record in records.items():
            hosts = Hosts(host, record, [], RegionMap(record.hall, self.region_by_hall))
            hosts.replace(records)
            peers.by_address[record.address] = LoadExchange(hosts, peers, Trackers(), mock.Mock())
        self.hosts = [ReplayHost(self, exchange) for exchange in peers.by_address.values()]
        for host in self.hosts:
            self._every(READER_NOTICE_INTERVAL_S, host.exchange.send_notices)
            if host.exchange.is_aggregating:
                self._every(
                    SUM_INTERVAL_S, lambda exchange=host.exchange: exchange.send_sums(False)
                )
                totals_s = SUM_INTERVAL_S * SUMS_PER_TOTAL
                self._every(totals_s, lambda exchange=host.exchange: exchange.send_sums(True))
                self._every(CHECK_INTERVAL_S, lambda probes=host.probes: self._probe(probes))
        self._schedule_callers()
        self._schedule_outage()

    def _probe(self, probes: Probes) -> None:
        for tracker in probes.due():
            probes.probe(tracker)

    def _schedule_callers(self) -> None:
        begin, end, factor = self.load.surge
        for kind in self.load.kinds:
            at = 0.0
            while at < self.load.length_s:
                rate = kind.per_s * (factor if begin <= at < end else 1.0)
                at += self.rng.expovariate(rate)
                self.after(at, lambda kind=kind: self.caller_class(self, kind))

    def _schedule_outage(self) -> None:
        begin, end, share = self.load.outage
        engines = list(self.engine_by_id.values())
        for engine in self.rng.sample(engines, round(share * len(engines))):
            self.after(begin, engine.go_down)
            self.after(end, engine.come_up)
