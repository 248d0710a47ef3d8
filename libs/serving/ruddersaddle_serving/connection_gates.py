"""Closes new connections unread while this process has more work than it can do in time.

A load balancer may hand most new connections to one host. If that host reads all of them, each
request waits for all others, and hardly any is answered in time. A caller whose connection is
closed unread can go to another host at once.

The measure is how late a task runs that is due after a few milliseconds. It is sampled as
connections are accepted, so that an idle host does no work for it. Once tasks have been late for
some time, a share of the connections is closed that grows with the delay, as in random early
detection: the host goes on working at its limit, and each connection has the same chance.
"""

import logging
import random

import eventlet
import msgspec
from ruddersaddle_base import clocks

logger = logging.getLogger(__name__)

PROBE_S = 0.005
"""Time after which a probe is due; how late it runs is the delay of all tasks."""
OVERLOAD_S = 0.08
"""Delay that shows overload. On hosts with a small share of a core, shorter ones are common."""
SAMPLES = 4
"""Samples in a row that must show it: one stall of the process makes one sample late."""
SUSTAINED_S = 0.8
"""Time for which they must show it; a burst that can be served passes sooner."""
GAP_MAX_S = 1.0
"""Samples further apart do not count as in a row."""
DELAY_LOW_S = 0.01
DELAY_HIGH_S = 0.04
"""Delays between which the closed share rises from none to all. A request waits for some five tasks
on its way, so that it is served within some 0.2 s."""
ADMITTED_EVERY_S = 0.25
"""One connection is read at least this often: a host that reads none counts as down."""
RELIEF_S = 1.0
"""Nothing must have been closed for this long until all connections are read again."""
LOG_INTERVAL_S = 1.0


class Open(msgspec.Struct, frozen=True):
    """All connections are read."""


class Slow(msgspec.Struct, frozen=True):
    """Tasks have been late since a moment, maybe for a short burst."""

    since: float
    latest: float
    samples: int


class Overloaded(msgspec.Struct, frozen=True):
    """A share of the connections is closed; `closed_at` is when one was last closed."""

    closed_at: float


State = Open | Slow | Overloaded


class ConnectionGate:
    """Decides which new connections are closed unread."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = random.Random() if rng is None else rng
        self.state: State = Open()
        self.counts = {"accepted": 0, "closed": 0}
        """New connections by what became of them."""
        self.delay_s = 0.0
        """Delay of the last sample."""
        self._admitted_at = float("-inf")
        self._due_at: float | None = None
        """When the running sample's probe is due."""
        self._logged_at = float("-inf")
        self._closed_since_log = 0

    def admits(self) -> bool:
        """Return whether a connection that was just accepted is to be read."""
        now = clocks.now_s()
        if self.begin_sample(now):
            eventlet.spawn_after(PROBE_S, lambda: self.end_sample(clocks.now_s()))
        return self.decide(now)

    def decide(self, now: float) -> bool:
        """Return whether a connection that was accepted at a moment is to be read."""
        match self.state:
            case Overloaded() if self._is_drawn(now):
                self.state = Overloaded(now)
                self._record_closed(now)
                return False
        self._admitted_at = now
        self.counts["accepted"] += 1
        return True

    def _is_drawn(self, now: float) -> bool:
        """Return whether a connection is drawn to be closed."""
        if now - self._admitted_at >= ADMITTED_EVERY_S:
            return False
        return self.rng.random() < self._closed_share(now)

    def _closed_share(self, now: float) -> float:
        overdue_s = 0.0 if self._due_at is None else now - self._due_at
        delay_s = max(self.delay_s, overdue_s)
        return (delay_s - DELAY_LOW_S) / (DELAY_HIGH_S - DELAY_LOW_S)

    def begin_sample(self, now: float) -> bool:
        """Begin a sample if none is running; return whether its probe is to be scheduled."""
        if self._due_at is not None:
            return False
        self._due_at = now + PROBE_S
        return True

    def end_sample(self, now: float) -> None:
        """End a sample, as its probe runs now."""
        delay_s = now - self._due_at
        self._due_at = None
        self.record_delay(delay_s, now)

    def record_delay(self, delay_s: float, now: float) -> None:
        """Record how late a task ran."""
        self.delay_s = delay_s
        is_late = delay_s > OVERLOAD_S
        match self.state:
            case Open() if is_late:
                self.state = Slow(now, now, 1)
            case Slow(_, latest, _) if is_late and now - latest > GAP_MAX_S:
                self.state = Slow(now, now, 1)
            case Slow(since, _, samples) if is_late:
                is_sustained = samples + 1 >= SAMPLES and now - since >= SUSTAINED_S
                self.state = Overloaded(now) if is_sustained else Slow(since, now, samples + 1)
            case Slow():
                self.state = Open()
            case Overloaded(closed_at) if now - closed_at >= RELIEF_S:
                self.state = Open()

    def _record_closed(self, now: float) -> None:
        self.counts["closed"] += 1
        self._closed_since_log += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        fields = {
            "count": self._closed_since_log,
            "delay_ms": round(1000 * self.delay_s),
            "closed_share": round(min(1.0, self._closed_share(now)), 2),
        }
        self._closed_since_log = 0
        logger.warning("New connections are closed unread: tasks run too late.", extra=fields)
