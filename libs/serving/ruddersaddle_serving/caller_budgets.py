"""One bound on all that a process keeps for callers, on all ports together.

Limits on single requests bound no sum: 60 bodies of 4 MB that stopped short of their end took
283 MB. A connection counts from when it is accepted, then the head and the body that are read from
it, and its answer until the caller has taken it. Buffered answers of upstreams count as well.

If there is no room, connections give way whose callers lose least: idle ones, then requests that
are not read completely. Nothing of these has run, so that they can be refused with a promise.
Large bodies wait for their turn, and leave room for all others.

Nothing here reads from a socket; `HeldConnection` is the connection as seen from here.
"""

import contextlib
import itertools
import logging
from collections import deque
from enum import Enum
from typing import Protocol

import eventlet
from eventlet.event import Event
from ruddersaddle_base import clocks
from ruddersaddle_base.settings import Settings

logger = logging.getLogger(__name__)

BYTES_PER_MB = 1 << 20
OWN_MB = 75
"""Memory that a process needs beside its callers: 42 MB without any, 5 MB for its state under load;
the rest is for messages of other hosts, and for what the allocator can't return."""
CALLERS_SHARE_MIN = 1 / 3
"""Least share of a small machine's memory that is for callers."""
LARGE_SHARE = 0.8
"""Share of the room that large bodies and answers may take, so that small requests find some."""
BODIES_SHARE = 0.6
"""Share of the room that large bodies may take, so that the answers to them find some."""
SMALL_BODY_BYTES = 64 * 1024
"""Largest body that doesn't wait for a turn."""
CONNECTION_BYTES = 24 * 1024
"""Memory of an open connection; measured: 22 KB."""
OPERATIONS_BYTES = 4 << 20
"""Room for the connections of operators and of the load balancer, which callers can't take."""
OPERATIONS_CONNECTIONS = 64
YOUNG_S = 0.3
"""A request gives way only if it has been read for longer: most are read within milliseconds."""
STALLED_S = 1.0
"""A caller that sends or takes less than `PROGRESS_BYTES` in this time has stalled."""
PROGRESS_BYTES = 16 * 1024
RECHECK_S = 0.25
"""Interval at which a body that waits for its turn looks for callers that have stalled."""
IDLE_CHECKED_MAX = 16
"""Most idle connections that are looked at to find one on which no request has arrived."""
LOG_INTERVAL_S = 1.0


class Phase(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    """Nothing of a request has been read."""
    READING = "reading"
    """A head or a body is being read."""
    WAITING = "waiting"
    """A large body waits for its turn."""
    RUNNING = "running"
    """A request is being served."""
    WRITING = "writing"
    """A complete answer is being written."""


class NoRoomError(Exception):
    """Raised into the task of a request that gives way before it was read completely."""


class HeldConnection(Protocol):
    """A caller's connection."""

    def close_if_idle(self) -> bool:
        """Close it unless a request has arrived; return whether it was closed."""

    def interrupt(self, holding: "Holding") -> None:
        """Raise `NoRoomError` into the task that reads a request, if it still does."""

    def abort(self) -> None:
        """Close it at once."""


class Holding:
    """What a process keeps for one connection."""

    def __init__(self, budget: "CallerBudget", connection: HeldConnection) -> None:
        self.budget = budget
        self.connection = connection
        self.phase = Phase.IDLE
        self.small_bytes = 0
        self.body_bytes = 0
        """Bytes of a large body."""
        self.began_at = self.progressed_at = clocks.now_s()
        """When the phase began, and when the caller last sent or took `PROGRESS_BYTES`."""
        self.is_open = True
        """False once the connection was closed, or has to give way."""
        self._progress = 0

    @property
    def bytes(self) -> int:
        """All bytes."""
        return self.small_bytes + self.body_bytes

    def enter(self, phase: Phase) -> None:
        """Record what the connection is doing now."""
        self.budget.move(self, phase)

    def resize(self, size: int) -> bool:
        """Record all bytes but those of a large body; return whether there is room for them."""
        return self.budget.resize(self, size)

    def await_turn(self, size: int, timeout_s: float) -> bool:
        """Wait until there is room for a large body; return whether there is."""
        return self.budget.bodies.await_turn(self, size, timeout_s)

    def shrink_body(self, size: int) -> None:
        """Record that a large body is smaller than was announced."""
        self.budget.bodies.resize(self, size)

    def begin_writing(self, size: int) -> None:
        """Record that a complete answer is being written; it is kept in any case."""
        self.budget.hold_answer(self, size)
        self.enter(Phase.WRITING)

    def record_progress(self, count: int) -> None:
        """Record bytes that the caller has sent or taken."""
        self._progress += count
        if self._progress >= PROGRESS_BYTES:
            self._progress = 0
            self.progressed_at = clocks.now_s()

    def end_request(self) -> None:
        """Record that nothing is kept of the last request."""
        self.shrink_body(0)
        self.resize(CONNECTION_BYTES)
        self.enter(Phase.IDLE)

    def close(self) -> None:
        """Record that the connection is closed."""
        self.budget.close(self)


class CallerBudget:
    """The room for callers, in bytes and in connections."""

    def __init__(self, bytes_max: int, connections_max: int) -> None:
        self.bytes_max = bytes_max
        self.connections_max = connections_max
        self.used = 0
        self.large_used = 0
        """Bytes of large bodies and answers."""
        self.bodies = LargeBodies(self)
        self.gave_way = {phase.value: 0 for phase in Phase if phase is not Phase.RUNNING}
        """Numbers of connections that gave way, by what they were doing."""
        self.refused = 0
        """Number of connections that found no room."""
        self._by_phase: dict[Phase, dict[Holding, None]] = {phase: {} for phase in Phase}
        """Connections by phase, in the order in which they entered it."""
        self._logged_at = float("-inf")
        self._gave_way_since_log = 0

    @classmethod
    def from_settings(cls, settings: Settings, connections_max: int) -> "CallerBudget":
        """Return the budget that the memory of the machine allows."""
        memory_mb = settings.number("host.memory_mb")
        room_mb = max(memory_mb - OWN_MB, memory_mb * CALLERS_SHARE_MIN)
        return cls(int(room_mb * BYTES_PER_MB), connections_max)

    @classmethod
    def for_operations(cls) -> "CallerBudget":
        """Return the budget for operators and the load balancer."""
        return cls(OPERATIONS_BYTES, OPERATIONS_CONNECTIONS)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return sum(map(len, self._by_phase.values()))

    @property
    def large_max(self) -> int:
        """Most bytes that large bodies and answers may take."""
        return int(self.bytes_max * LARGE_SHARE)

    def count(self, phase: Phase) -> int:
        """Return how many connections are in a phase."""
        return len(self._by_phase[phase])

    def open(self, connection: HeldConnection) -> Holding | None:
        """Return the holding of a new connection, or None if there is no room for it."""
        while self.connections >= self.connections_max:
            if not self._give_way(None):
                return self._refuse()
        holding = Holding(self, connection)
        if not self.resize(holding, CONNECTION_BYTES):
            return self._refuse()
        self._by_phase[Phase.IDLE][holding] = None
        return holding

    def _refuse(self) -> None:
        self.refused += 1

    def move(self, holding: Holding, phase: Phase) -> None:
        """Record what a connection is doing now."""
        if holding.is_open:
            del self._by_phase[holding.phase][holding]
            self._by_phase[phase][holding] = None
        holding.phase = phase
        holding.began_at = holding.progressed_at = clocks.now_s()

    def close(self, holding: Holding) -> None:
        """Record that a connection is closed, or has to give way."""
        if not holding.is_open:
            return
        holding.is_open = False
        del self._by_phase[holding.phase][holding]
        self.used -= holding.small_bytes
        holding.small_bytes = 0
        self.bodies.resize(holding, 0)
        self.bodies.grant_turns()

    def resize(self, holding: Holding, size: int) -> bool:
        """Record all bytes but those of a large body; return whether there is room for them."""
        grown = size - holding.small_bytes
        if not holding.is_open or (grown > 0 and not self._make_room(grown, holding)):
            return False
        holding.small_bytes = size
        self.used += grown
        if grown < 0:
            self.bodies.grant_turns()
        return True

    def hold_answer(self, holding: Holding, size: int) -> None:
        """Record a complete answer that is about to be written; it is kept in any case."""
        if holding.is_open:
            holding.small_bytes += size
            self.used += size

    def buffer(self, grown: int, grown_large: int) -> bool:
        """Record that buffered answers of upstreams have grown; return whether there is room."""
        if grown_large > 0 and self.large_used + grown_large > self.large_max:
            return False
        if grown > 0 and not self._make_room(grown, None):
            return False
        self.used += grown
        self.large_used += grown_large
        if grown < 0:
            self.bodies.grant_turns()
        return True

    # Giving way

    def _make_room(self, needed: int, newcomer: Holding | None) -> bool:
        while self.used + needed > self.bytes_max:
            if not self._give_way(newcomer):
                return False
        return True

    def _give_way(self, newcomer: Holding | None) -> bool:
        """Let one connection give way to another; return whether one could."""
        victim = self._close_idle(newcomer) or self._find_unread(newcomer)
        if victim is None:
            return False
        self.dismiss(victim)
        return True

    def _close_idle(self, newcomer: Holding | None) -> Holding | None:
        """Close the connection that has been idle for longest; return it."""
        oldest = list(itertools.islice(self._by_phase[Phase.IDLE], IDLE_CHECKED_MAX))
        for each in oldest:
            if each is not newcomer and each.connection.close_if_idle():
                return each
        return None

    def _find_unread(self, newcomer: Holding | None) -> Holding | None:
        """Return the request that has waited least, else the largest unread one or answer."""
        for each in reversed(self._by_phase[Phase.WAITING]):
            if each is not newcomer:
                return each
        now = clocks.now_s()
        reading = [
            each
            for each in self._by_phase[Phase.READING]
            if each is not newcomer and now - each.began_at >= YOUNG_S
        ]
        untaken = [
            each for each in self._by_phase[Phase.WRITING] if now - each.progressed_at >= STALLED_S
        ]
        return max(reading or untaken, key=lambda each: each.bytes, default=None)

    def dismiss(self, holding: Holding) -> None:
        """Let a connection give way."""
        phase = holding.phase
        self.close(holding)
        match phase:
            case Phase.READING | Phase.WAITING:
                holding.connection.interrupt(holding)
            case Phase.WRITING:
                holding.connection.abort()
        self.gave_way[phase.value] += 1
        self._log_given_way(phase)

    def dismiss_stalled_bodies(self) -> None:
        """Let large bodies give way whose callers have stalled."""
        now = clocks.now_s()
        for each in list(self._by_phase[Phase.READING]):
            if each.body_bytes and now - each.progressed_at >= STALLED_S:
                self.dismiss(each)

    def _log_given_way(self, phase: Phase) -> None:
        self._gave_way_since_log += 1
        now = clocks.now_s()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        fields = {
            "count": self._gave_way_since_log,
            "phase": phase.value,
            "used_bytes": self.used,
            "max_bytes": self.bytes_max,
            "connections": self.connections,
        }
        self._gave_way_since_log = 0
        logger.warning("Connections of callers gave way to others.", extra=fields)


class _Turn:
    """A large body that waits."""

    def __init__(self, holding: Holding, size: int) -> None:
        self.holding = holding
        self.size = size
        self.granted = Event()


class LargeBodies:
    """The room for large bodies, and those that wait for it in the order of their arrival.

    Each gets room for all of it at once: bodies that grow side by side would fill the room without
    any of them being complete.
    """

    def __init__(self, budget: CallerBudget) -> None:
        self.used = 0
        self._budget = budget
        self._queue: deque[_Turn] = deque()

    @property
    def bytes_max(self) -> int:
        """Most bytes that large bodies may take; a larger one is never read."""
        return int(self._budget.bytes_max * BODIES_SHARE)

    def await_turn(self, holding: Holding, size: int, timeout_s: float) -> bool:
        """Wait until there is room for a body; return whether there is."""
        if not self._queue and self._has_room(size):
            self.resize(holding, size)
            return True
        turn = _Turn(holding, size)
        self._queue.append(turn)
        holding.enter(Phase.WAITING)
        try:
            return self._await(turn, clocks.now_s() + timeout_s)
        finally:
            with contextlib.suppress(ValueError):
                self._queue.remove(turn)
            holding.enter(Phase.READING)

    def _await(self, turn: _Turn, until: float) -> bool:
        while not turn.granted.ready() and (left_s := until - clocks.now_s()) > 0:
            if self._queue and self._queue[0] is turn:
                self._budget.dismiss_stalled_bodies()
                self.grant_turns()
            with eventlet.Timeout(min(RECHECK_S, left_s), False):
                turn.granted.wait()
        return turn.granted.ready()

    def _has_room(self, size: int) -> bool:
        budget = self._budget
        return (
            self.used + size <= self.bytes_max
            and budget.large_used + size <= budget.large_max
            and budget.used + size <= budget.bytes_max
        )

    def resize(self, holding: Holding, size: int) -> None:
        """Record the size of a body."""
        grown = size - holding.body_bytes
        holding.body_bytes = size
        self.used += grown
        self._budget.large_used += grown
        self._budget.used += grown
        if grown < 0:
            self.grant_turns()

    def grant_turns(self) -> None:
        """Give room to the bodies that have waited for longest."""
        while self._queue:
            turn = self._queue[0]
            if turn.holding.is_open and not self._has_room(turn.size):
                return
            self._queue.popleft()
            if turn.holding.is_open:
                self.resize(turn.holding, turn.size)
                turn.granted.send(True)
