"""Replays a load in virtual time against the decisions that a host makes.

The decisions are the product's own: placement, shared loads, silence, probes. What stands around
them is as small as it can be: engines with slots, memory, a reading pace and dark spells; callers
who come once, or a second time after a refusal. Hosts hear of one another as they do in service,
over messages that arrive at once; connections take no time, or time out at a dark engine.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable
from unittest import mock

from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, HostId, ModelId, PoolId, RequestId, UpstreamId

from ruddersaddle_serving.forwarders import CONNECT_ATTEMPTS_MAX
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.kept_parts import KeptParts
from ruddersaddle_serving.load_shares import (
    READER_NOTICES_S,
    SUMS_S,
    TOTALS_EVERY,
    LoadShares,
)
from ruddersaddle_serving.placements import Choice, Placement
from ruddersaddle_serving.ports import Presence
from ruddersaddle_serving.probes import LOOK_S, Probes
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, Part, PartId, Prompt
from ruddersaddle_serving.publications import Publications
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
from ruddersaddle_serving.trackers import Notice, Progress, Reach, Trackers
from ruddersaddle_serving.upstream_connections import CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_shares import UpstreamShares

POOL = PoolId("p")
MODEL = ModelId("m")
PATIENCE_S = 2.4
"""A caller leaves an engine that has sent nothing after this long."""


class ReplayEngine:
    """An engine that reads prompts one after another and runs up to `slots`.

    The urgent go first; where memory runs out the newest of the least urgent runs is preempted and
    read anew.
    """

    def __init__(self, replay: "Replay", entry: UpstreamEntry) -> None:
        self.replay = replay
        self.entry = entry
        self.dark = False
        self.active: list[Visit] = []
        self.reading: Visit | None = None
        self.unread: list[Visit] = []
        self.waiting: list[Visit] = []
        self.kept: OrderedDict[str, int] = OrderedDict()

    def take(self, visit: "Visit") -> None:
        if not self.dark:
            self.waiting.append(visit)
            self._admit()

    def _admit(self) -> None:
        load = self.replay.load
        while self.waiting and not self.dark:
            visit = min(self.waiting, key=lambda each: each.kind.priority)
            if len(self.active) >= load.slots or not self._makes_room(visit):
                break
            self.waiting.remove(visit)
            self.active.append(visit)
            self.unread.append(visit)
        self._read_next()

    def _makes_room(self, visit: "Visit") -> bool:
        taken = sum(each.kind.tokens for each in self.active)
        capacity = self.replay.load.memory_tokens
        others = [each for each in self.active if each.kind.priority > visit.kind.priority]
        while taken + visit.kind.tokens > capacity and others:
            least = max(others, key=lambda each: (each.kind.priority, each.number))
            others.remove(least)
            taken -= least.kind.tokens
            self._preempt(least)
        return taken + visit.kind.tokens <= capacity

    def _preempt(self, visit: "Visit") -> None:
        self.active.remove(visit)
        visit.runs += 1
        if visit in self.unread:
            self.unread.remove(visit)
        if self.reading is visit:
            self.reading = None
        visit.break_off()
        self.waiting.append(visit)

    def _read_next(self) -> None:
        if self.dark or self.reading is not None or not self.unread:
            return
        visit = min(self.unread, key=lambda each: each.kind.priority)
        self.unread.remove(visit)
        self.reading = visit
        missing = visit.kind.own_tokens + self._read_shared(visit)
        run = visit.runs
        reading_s = missing / self.replay.load.tokens_s
        self.replay.after(reading_s, lambda: self._end_reading(visit, run))

    def _read_shared(self, visit: "Visit") -> int:
        is_kept = visit.subject in self.kept
        self.kept[visit.subject] = visit.kind.shared_tokens
        self.kept.move_to_end(visit.subject)
        while sum(self.kept.values()) > self.replay.load.memory_tokens:
            self.kept.popitem(last=False)
        read = 0 if is_kept else visit.kind.shared_tokens
        visit.tally.read_tokens += read
        return read

    def _end_reading(self, visit: "Visit", run: int) -> None:
        if self.dark or visit.runs != run:
            return
        self.reading = None
        load = self.replay.load
        self.replay.after(load.first_s, lambda: visit.take_first(run))
        whole_s = load.first_s + visit.kind.tokens_out * load.step_s
        self.replay.after(whole_s, lambda: self._end_run(visit, run))
        self._read_next()

    def _end_run(self, visit: "Visit", run: int) -> None:
        if self.dark or visit.runs != run:
            return
        self.active.remove(visit)
        visit.take_end()
        self._admit()

    def turn_dark(self) -> None:
        self.dark = True
        self.waiting.clear()
        self.unread.clear()
        self.active.clear()
        self.reading = None

    def turn_light(self) -> None:
        self.dark = False


class ReplayConnections:
    """Tells placement whether a host has a connection to an engine."""

    def __init__(self, host: "ReplayHost", upstream: UpstreamId) -> None:
        self.host = host
        self.upstream = upstream

    @property
    def has_idle(self) -> bool:
        return self.host.connected_until.get(self.upstream, 0.0) > clocks.now_s()

    def close(self) -> None:
        self.host.connected_until.pop(self.upstream, None)


class ReplayHost:
    """The decisions of one host, and to which engines it has connections."""

    def __init__(self, replay: "Replay", shares: LoadShares) -> None:
        self.shares = shares
        trackers = shares.trackers
        upstreams = UpstreamList()
        for engine in replay.engine_by_id.values():
            upstreams.put(engine.entry)
            tracker = trackers.at(engine.entry)
            tracker.memory.capacity_tokens = replay.load.memory_tokens
            tracker.connections = ReplayConnections(self, engine.entry.id)
        publications = Publications()
        kept = KeptParts(mock.Mock())
        hall = shares.hosts.own.hall
        cold = UpstreamShares(shares.hosts, publications, upstreams)
        self.placement = Placement(hall, 12.0, publications, upstreams, trackers, kept, cold)
        self.placement.belief_lag_s = lambda: shares.lag_s
        engines = mock.Mock()
        engines.presence.side_effect = lambda _, start: replay.presence(start.id)
        self.probes = Probes(shares.hosts, trackers, engines, shares.tell)
        self.connected_until: dict[UpstreamId, float] = {}

    def connects(self, upstream: UpstreamId) -> bool:
        """Return whether a request needs a new connection; it is kept for the next one."""
        now = clocks.now_s()
        is_new = self.connected_until.get(upstream, 0.0) < now
        self.connected_until[upstream] = now + IDLE_TIMEOUT_S
        return is_new


class Visit:
    """One caller, from the first try on."""

    def __init__(self, replay: "Replay", kind: Kind) -> None:
        self.replay = replay
        self.kind = draw_size(kind, replay.draw)
        self.subject = f"{kind.name}-{replay.draw.randrange(kind.subjects)}"
        self.kind = draw_shared_size(self.kind, self.subject)
        self.began = clocks.now_s()
        self.tries = 0
        self.runs = 0
        self.number = 0
        self.ended = False
        self.tally = replay.outcome.tally_by_kind[kind.name]
        self.tally.asked += 1
        self.tally.asked_at.append(self.began)
        self.tally.sizes.append(self.kind.tokens)
        self._try()

    def _try(self) -> None:
        self.tries += 1
        self.excluded: set[UpstreamId] = set()
        self.may_refuse = True
        self.host = self.replay.draw.choice(self.replay.hosts)
        parts = (
            Part(PartId(self.subject), self.kind.shared_tokens),
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
        if self.tries > 1:
            self._give_up("refused")
        else:
            self.replay.after(retry_after_s, self._try)

    def _send(self, choice: Choice) -> None:
        self.upstream = choice.tracker.id
        self.number = next(self.replay.numbers)
        expected_s = choice.first_s
        self._tell(Progress.SENT, assignment=choice.assignment, expected_s=expected_s)
        engine = self.replay.engine_by_id[self.upstream]
        is_new = self.host.connects(self.upstream)
        self.tally.connections += is_new
        if engine.dark and is_new:
            self.replay.after(CONNECT_TIMEOUT_S, self._fail_to_connect)
            return
        self.host.placement.shares.note_sent(choice.tracker)
        engine.take(self)
        number = self.number
        self.replay.after(PATIENCE_S, lambda: self._leave(number))

    def _fail_to_connect(self) -> None:
        self.host.connected_until.pop(self.upstream, None)
        self.host.placement.trackers.by_id[self.upstream].note_no_connection()
        self._tell(Progress.ENDED, reach=Reach.NO_CONNECTION)
        self.excluded.add(self.upstream)
        if len(self.excluded) < CONNECT_ATTEMPTS_MAX:
            self._choose()
        else:
            self._give_up("unserved")

    def _leave(self, number: int) -> None:
        if not self.ended and self.number == number:
            self.ended = True
            self.host.connected_until.pop(self.upstream, None)
            self._give_up("unserved")
            self._tell(Progress.ENDED, reach=Reach.NOTHING)

    def _give_up(self, outcome: str) -> None:
        setattr(self.tally, outcome, getattr(self.tally, outcome) + 1)
        self.tally.unserved_s += clocks.now_s() - self.began

    def take_first(self, run: int) -> None:
        if self.ended or self.runs != run:
            return
        self.ended = True
        self._tell(Progress.FIRST)
        first_s = clocks.now_s() - self.began
        self.tally.firsts.append(first_s)
        self.tally.served_sizes.append(self.kind.tokens)
        if first_s <= self.kind.target_s:
            self.tally.in_time += 1
            self.tally.in_time_at.append(self.began)
        else:
            self.tally.late += 1
            self.tally.late_again += self.tries > 1

    def break_off(self) -> None:
        """Take that the engine preempted the run; a stream that had begun has a long pause now."""
        if (
            self.ended
            and clocks.now_s() - self.began > 0
            and self.tally.in_time > self.tally.broken
        ):
            self.tally.broken += 1

    def take_end(self) -> None:
        self._tell(Progress.ENDED, reach=Reach.ANSWERED, failed=False)

    def _tell(self, progress: Progress, **fields: object) -> None:
        self.host.shares.tell(Notice(self.upstream, self.number, progress, **fields))


class Replay:
    """One load, replayed."""

    engine_class: type[ReplayEngine] = ReplayEngine
    visit_class: type[Visit] = Visit

    def __init__(self, load: Load) -> None:
        self.load = load
        self.now = 1000.0
        self.draw = random.Random(load.seed)
        self.numbers = itertools.count(1)
        self.outcome = Outcome({kind.name: Tally(kind) for kind in load.kinds})
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def run(self) -> Outcome:
        """Play the load and return what became of its callers."""
        eventlet_path = "ruddersaddle_serving.load_shares.eventlet.spawn_after"
        with (
            mock.patch.object(clocks, "now_s", lambda: self.now),
            mock.patch(eventlet_path),
        ):
            random.seed(self.load.seed)
            self._build()
            end = self.now + self.load.length_s + PATIENCE_S + 1.0
            while self._events and self._events[0][0] < end:
                self.now, _, function = heapq.heappop(self._events)
                function()
        return self.outcome

    def presence(self, upstream: UpstreamId) -> Presence:
        """Return what a probe of an engine brings."""
        return Presence.UNKNOWN if self.engine_by_id[upstream].dark else Presence.PRESENT

    def after(self, seconds: float, function: Callable[[], None]) -> None:
        """Call a function later."""
        heapq.heappush(self._events, (self.now + seconds, next(self.numbers), function))

    def _every(self, seconds: float, function: Callable[[], None]) -> None:
        def call() -> None:
            function()
            self.after(seconds, call)

        self.after(self.draw.random() * seconds, call)

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
            hosts = Hosts(host, record, [])
            hosts.replace(records)
            peers.by_address[record.address] = LoadShares(hosts, peers, Trackers(), mock.Mock())
        self.hosts = [ReplayHost(self, shares) for shares in peers.by_address.values()]
        for host in self.hosts:
            self._every(READER_NOTICES_S, host.shares.tell_notices)
            if host.shares.is_summing:
                self._every(SUMS_S, lambda shares=host.shares: shares.tell_sums(False))
                totals_s = SUMS_S * TOTALS_EVERY
                self._every(totals_s, lambda shares=host.shares: shares.tell_sums(True))
                self._every(LOOK_S, lambda probes=host.probes: self._probe(probes))
        self._plan_callers()
        self._plan_darkness()

    def _probe(self, probes: Probes) -> None:
        for tracker in probes.due():
            probes.probe(tracker)

    def _plan_callers(self) -> None:
        begin, end, factor = self.load.crowd
        for kind in self.load.kinds:
            at = 0.0
            while at < self.load.length_s:
                rate = kind.per_s * (factor if begin <= at < end else 1.0)
                at += self.draw.expovariate(rate)
                self.after(at, lambda kind=kind: self.visit_class(self, kind))

    def _plan_darkness(self) -> None:
        begin, end, share = self.load.dark
        engines = list(self.engine_by_id.values())
        for engine in self.draw.sample(engines, round(share * len(engines))):
            self.after(begin, engine.turn_dark)
            self.after(end, engine.turn_light)
