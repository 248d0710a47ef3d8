"""Replays engines that crash in numbers and come back cold.

A cold engine that gets many more requests in a second than it bears falls over and starts cold
anew. Hosts learn of a new start some time after it; what they send to the one before is refused by
whoever has its address.
"""

from collections import deque

import msgspec
from ruddersaddle_base import clocks

from ruddersaddle_serving.placements import RETRY_SOON_S, Choice
from ruddersaddle_serving.routes import Pool, Published
from ruddersaddle_serving.tests.load_replays import (
    POOL,
    Replay,
    ReplayCaller,
    ReplayConnections,
    ReplayEngine,
    ReplayHost,
)
from ruddersaddle_serving.tests.replay_loads import Load
from ruddersaddle_serving.trackers import Progress, Reachability
from ruddersaddle_serving.upstream_entries import Heartbeat, UpstreamEntry
from ruddersaddle_serving.upstream_shares import JOIN_S

REFUSED_S = 0.002
"""Time until a connection is refused, or another start answers that it is not the one."""


class Crashes(msgspec.Struct, frozen=True):
    """Crashes of a share of the engines, and how engines are after one. Times are in seconds."""

    moments: tuple[float, ...]
    share: float = 0.3
    down_s: float = 1.0
    cold_s: float = 3.0
    cold_per_s: float = 18.0
    """Requests a second that a cold engine bears."""
    falls_above: int = 32
    """A cold engine that gets more in any second falls over."""
    lag_s: float = 0.9
    """Mean time until a host knows of a new start."""
    cut_off: float = 0.0
    """Share of the hosts that learn of new starts after `cut_off_lag_s` only."""
    cut_off_lag_s: float = 8.0


class CrashEngine(ReplayEngine):
    """An engine that crashes, and falls over while it is cold."""

    def __init__(self, replay: "CrashReplay", entry: UpstreamEntry) -> None:
        entry = msgspec.structs.replace(entry, born_ms=0)
        super().__init__(replay, entry)
        self.visits: set[CrashVisit] = set()
        self.cold_until = 0.0
        self.arrivals: deque[float] = deque()

    def handle(self, visit: "CrashVisit") -> None:
        if self.is_down or visit.born_ms != self.entry.born_ms:
            self.replay.after(REFUSED_S, visit.take_refusal)
            return
        self.visits.add(visit)
        super().handle(visit)
        self._count_arrival()

    def _count_arrival(self) -> None:
        now = clocks.now_s()
        self.arrivals.append(now)
        while self.arrivals[0] <= now - 1.0:
            self.arrivals.popleft()
        if now >= self.cold_until:
            return
        self.replay.most_at_cold = max(self.replay.most_at_cold, len(self.arrivals))
        if len(self.arrivals) > self.replay.crashes.falls_above:
            self.replay.fallen += 1
            self.crash()

    def crash(self) -> None:
        """End this start, and with it all that runs; the next one begins empty and cold."""
        if self.is_down:
            return
        self.go_down()
        self.cached.clear()
        self.arrivals.clear()
        broken, self.visits = self.visits, set()
        for visit in broken:
            visit.runs += 1
            self.replay.after(REFUSED_S, visit.take_crash)
        self.replay.after(self.replay.crashes.down_s, self._start)

    def _start(self) -> None:
        crashes = self.replay.crashes
        born_ms = round(1000 * clocks.now_s())
        self.cold_until = clocks.now_s() + crashes.cold_s
        self.entry = msgspec.structs.replace(self.entry, born_ms=born_ms)
        self.come_up()
        for number, host in enumerate(self.replay.hosts):
            is_cut_off = number < crashes.cut_off * len(self.replay.hosts)
            mean_s = crashes.cut_off_lag_s if is_cut_off else crashes.lag_s
            lag_s = mean_s * (0.5 + self.replay.rng.random())
            self.replay.after(lag_s, lambda host=host: self._tell(host))

    def _tell(self, host: ReplayHost) -> None:
        """Tell a host of this start, as its entry does."""
        left_s = max(0.0, self.cold_until - clocks.now_s())
        entry = msgspec.structs.replace(self.entry, heartbeat=Heartbeat(1, left_s))
        placement = host.placement
        placement.upstreams.put(entry)
        tracker = placement.trackers.get_or_create(placement.upstreams.by_id[entry.id])
        tracker.memory.capacity_tokens = self.replay.load.memory_tokens
        tracker.connections = ReplayConnections(host, entry.id)


class CrashVisit(ReplayCaller):
    """A caller whose request may be cut by a crash; the host then tries another engine once."""

    def _send(self, choice: Choice) -> None:
        self.born_ms = choice.tracker.entry.born_ms
        super()._send(choice)

    def take_refusal(self) -> None:
        """Take that nothing ran at the engine; the host tries another one."""
        if self.ended:
            return
        self._broadcast(Progress.REPLACED)
        self._try_another()

    def take_crash(self) -> None:
        """Take that the engine has ended; before its first event the request may run again."""
        self._broadcast(Progress.ENDED, reachability=Reachability.NO_RESPONSE, failed=True)
        if self.ended:
            self.tally.interrupted += 1
            if self.started_at in self.tally.in_time_at:
                self.tally.in_time_at.remove(self.started_at)
        else:
            self._try_another()

    def record_end(self) -> None:
        super().record_end()
        self.replay.engine_by_id[self.upstream].visits.discard(self)

    def _broadcast(self, progress: Progress, **fields: object) -> None:
        super()._broadcast(progress, born_ms=self.born_ms, **fields)

    def _try_another(self) -> None:
        self.number = 0
        self.excluded.add(self.upstream)
        self.may_refuse = False
        if len(self.excluded) > 3:
            self._refuse(RETRY_SOON_S)
        else:
            self._choose()


class CrashReplay(Replay):
    """A load in which engines crash."""

    engine_class = CrashEngine
    caller_class = CrashVisit

    def __init__(self, load: Load, crashes: Crashes) -> None:
        super().__init__(load)
        self.crashes = crashes
        self.fallen = 0
        """Engines that fell over because they got too much while they were cold."""
        self.most_at_cold = 0
        """Most requests that a cold engine got in any second."""

    def _build(self) -> None:
        super()._build()
        crashes = self.crashes
        published = Published(1, pools=(Pool(POOL, None, crashes.cold_s, crashes.cold_per_s),))
        for host in self.hosts:
            host.placement.publications.apply(published)
            host.exchange.hosts.known_at = self.now - JOIN_S
        engines = list(self.engine_by_id.values())
        for moment in crashes.moments:
            for engine in self.rng.sample(engines, round(crashes.share * len(engines))):
                self.after(moment, engine.crash)
