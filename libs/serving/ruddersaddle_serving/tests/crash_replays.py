"""Simulates engines of which many crash at once and restart cold.

A cold engine that receives many more requests in a second than it can serve crashes again and
restarts cold. Hosts learn of a new instance only after some time; requests that they send to the
previous one are refused by the instance that has its address now.
"""

from collections import deque

import msgspec
from ruddersaddle_base import clocks

from ruddersaddle_serving.placements import RETRY_SOON_S, Choice
from ruddersaddle_serving.routes import Pool, PublishedConfiguration
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
from ruddersaddle_serving.upstream_quotas import JOIN_GRACE_S

REFUSED_S = 0.002
"""Time until a connection is refused, or another instance answers that it is not the target."""


class Crashes(msgspec.Struct, frozen=True):
    """Crashes of a share of the engines, and how engines behave after one. Times are in seconds."""

    moments: tuple[float, ...]
    share: float = 0.3
    down_s: float = 1.0
    cold_s: float = 3.0
    cold_per_s: float = 18.0
    """Requests a second that a cold engine can serve."""
    cold_crash_above: int = 32
    """A cold engine that receives more requests than this in any second crashes again."""
    lag_s: float = 0.9
    """Mean time until a host knows of a new instance."""
    partitioned: float = 0.0
    """Share of the hosts that learn of new instances only after `partitioned_lag_s`."""
    partitioned_lag_s: float = 8.0


class CrashEngine(ReplayEngine):
    """An engine that crashes, and crashes again if it is overloaded while cold."""

    def __init__(self, replay: "CrashReplay", entry: UpstreamEntry) -> None:
        entry = msgspec.structs.replace(entry, born_ms=0)
        super().__init__(replay, entry)
        self.callers: dict[CrashCaller, None] = {}
        """In the order of their arrival, so that each run of a seed is the same."""
        self.cold_until = 0.0
        self.arrivals: deque[float] = deque()

    def handle(self, caller: "CrashCaller") -> None:
        if self.is_down or caller.born_ms != self.entry.born_ms:
            self.replay.after(REFUSED_S, caller.handle_refusal)
            return
        self.callers[caller] = None
        super().handle(caller)
        self._count_arrival()

    def _count_arrival(self) -> None:
        now = clocks.now_s()
        self.arrivals.append(now)
        while self.arrivals[0] <= now - 1.0:
            self.arrivals.popleft()
        if now >= self.cold_until:
            return
        self.replay.cold_rate_max = max(self.replay.cold_rate_max, len(self.arrivals))
        if len(self.arrivals) > self.replay.crashes.cold_crash_above:
            self.replay.cold_crashes += 1
            self.crash()

    def crash(self) -> None:
        """End this instance and all its runs; the next instance starts empty and cold."""
        if self.is_down:
            return
        self.go_down()
        self.cached.clear()
        self.arrivals.clear()
        broken, self.callers = self.callers, {}
        for caller in broken:
            caller.runs += 1
            self.replay.after(REFUSED_S, caller.handle_crash)
        self.replay.after(self.replay.crashes.down_s, self._start)

    def _start(self) -> None:
        crashes = self.replay.crashes
        born_ms = round(1000 * clocks.now_s())
        self.cold_until = clocks.now_s() + crashes.cold_s
        self.entry = msgspec.structs.replace(self.entry, born_ms=born_ms)
        self.come_up()
        for number, host in enumerate(self.replay.hosts):
            is_partitioned = number < crashes.partitioned * len(self.replay.hosts)
            mean_s = crashes.partitioned_lag_s if is_partitioned else crashes.lag_s
            lag_s = mean_s * (0.5 + self.replay.rng.random())
            self.replay.after(lag_s, lambda host=host: self._announce(host))

    def _announce(self, host: ReplayHost) -> None:
        """Make this instance known to a host, as its entry does."""
        left_s = max(0.0, self.cold_until - clocks.now_s())
        entry = msgspec.structs.replace(self.entry, heartbeat=Heartbeat(1, left_s))
        placement = host.placement
        placement.upstreams.put(entry)
        tracker = placement.trackers.get_or_create(placement.upstreams.by_id[entry.id])
        tracker.memory.capacity_tokens = self.replay.load.memory_tokens
        tracker.connections = ReplayConnections(host, entry.id)


class CrashCaller(ReplayCaller):
    """A request that a crash may cut; the host then retries it on another engine."""

    def _send(self, choice: Choice) -> None:
        self.born_ms = choice.tracker.entry.born_ms
        super()._send(choice)

    def handle_refusal(self) -> None:
        """Handle that the engine did not run the request; the host tries another engine."""
        if self.ended:
            return
        self._broadcast(Progress.REPLACED)
        self._retry_elsewhere()

    def handle_crash(self) -> None:
        """Handle that the engine crashed; before its first event the request may run again."""
        self._broadcast(Progress.ENDED, reachability=Reachability.NO_RESPONSE, failed=True)
        if self.ended:
            self.tally.interrupted += 1
            if self.started_at in self.tally.in_time_at:
                self.tally.in_time_at.remove(self.started_at)
        else:
            self._retry_elsewhere()

    def record_end(self) -> None:
        super().record_end()
        self.replay.engine_by_id[self.upstream].callers.pop(self, None)

    def _broadcast(self, progress: Progress, **fields: object) -> None:
        super()._broadcast(progress, born_ms=self.born_ms, **fields)

    def _retry_elsewhere(self) -> None:
        self.number = 0
        self.excluded.add(self.upstream)
        self.may_refuse = False
        if len(self.excluded) > 3:
            self._refuse(RETRY_SOON_S)
        else:
            self._choose()


class CrashReplay(Replay):
    """A simulated load during which engines crash."""

    engine_class = CrashEngine
    caller_class = CrashCaller

    def __init__(self, load: Load, crashes: Crashes) -> None:
        super().__init__(load)
        self.crashes = crashes
        self.cold_crashes = 0
        """Count of crashes of engines that were overloaded while cold."""
        self.cold_rate_max = 0
        """Most requests that a cold engine received in any second."""

    def _build(self) -> None:
        super()._build()
        crashes = self.crashes
        published = PublishedConfiguration(
            1, pools=(Pool(POOL, None, crashes.cold_s, crashes.cold_per_s),)
        )
        for host in self.hosts:
            host.placement.publications.apply(published)
            host.exchange.hosts.known_at = self.now - JOIN_GRACE_S
        engines = list(self.engine_by_id.values())
        for moment in crashes.moments:
            for engine in self.rng.sample(engines, round(crashes.share * len(engines))):
                self.after(moment, engine.crash)
