"""Asks silent upstreams whether they are there, so that no caller's request has to.

The reader of the upstream's hall does it, and the reader of the next hall, in case that the first
one is cut off. What they find is told like the steps of requests.
"""

import logging
from collections.abc import Callable

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.ports import Engines, Presence
from ruddersaddle_serving.tasks import spawn_forever
from ruddersaddle_serving.trackers import Notice, Progress, Tracker, Trackers

logger = logging.getLogger(__name__)

LOOK_S = 0.2
"""Pause between looks for silent upstreams."""
PAUSE_S = 0.4
"""Pause between probes of one silent upstream, in seconds."""
PAUSE_MAX_S = 6.4
RELAPSE_S = 3.0
"""An upstream that answers a probe and is silent again within this time answers nothing else; the
pause doubles each time. Without that, one that hangs gets a tenth of the requests for ever."""


class ProbeState(msgspec.Struct):
    """How the probes of one upstream went; moments are of the steady clock."""

    pause_s: float = PAUSE_S
    next_at: float = 0.0
    reached_at: float | None = None
    """When it last answered, until it is silent again."""


class Probes:
    """Probes the silent upstreams that are this host's to probe."""

    def __init__(
        self, hosts: Hosts, trackers: Trackers, engines: Engines, tell: Callable[[Notice], None]
    ) -> None:
        self.hosts = hosts
        self.trackers = trackers
        self.engines = engines
        self.tell = tell
        self.count = 0
        self._state_by_id: dict[UpstreamId, ProbeState] = {}

    def start(self) -> None:
        """Start the task."""
        spawn_forever("probes", self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(LOOK_S)
            for tracker in self.due():
                eventlet.spawn(self.probe, tracker)

    def due(self) -> list[Tracker]:
        """Return the upstreams to probe now."""
        trackers = self.trackers.by_id.values()
        silent = [each for each in trackers if each.is_unresponsive and not each.is_replaced]
        known = self._state_by_id
        self._state_by_id = {each: known[each] for each in known if each in self.trackers.by_id}
        return [each for each in silent if self._is_mine(each) and self._begin(each.id)]

    def _is_mine(self, tracker: Tracker) -> bool:
        by_hall = self.hosts.reader_by_hall()
        halls = sorted(by_hall)
        hall = tracker.entry.hall
        first = halls.index(hall) if hall in by_hall else 0
        probers = {by_hall[halls[(first + step) % len(halls)]] for step in (0, 1)}
        return self.hosts.own.address in probers

    def _begin(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream's next probe is due, and date the one after it."""
        now = clocks.now_s()
        state = self._state_by_id.setdefault(upstream, ProbeState())
        if state.reached_at is not None:
            self._slow_down(state, now)
        if now < state.next_at:
            return False
        state.next_at = now + state.pause_s
        return True

    def _slow_down(self, state: ProbeState, now: float) -> None:
        """Take that an upstream is silent again although it answered a probe."""
        if now - state.reached_at < RELAPSE_S:
            state.pause_s = min(PAUSE_MAX_S, 2 * state.pause_s)
        else:
            state.pause_s = PAUSE_S
        state.next_at = now + state.pause_s
        state.reached_at = None

    def probe(self, tracker: Tracker) -> None:
        """Ask an upstream whether it is there, and tell the answer."""
        self.count += 1
        presence = self.engines.presence(tracker.entry.address, tracker.entry.instance)
        match presence:
            case Presence.PRESENT:
                self._note_reached(tracker)
            case Presence.REPLACED:
                self._tell(tracker, Progress.REPLACED)
            case _:
                logger.info("Upstream %s is silent: %s.", tracker.id, presence.value)

    def _note_reached(self, tracker: Tracker) -> None:
        self._state_by_id.setdefault(tracker.id, ProbeState()).reached_at = clocks.now_s()
        logger.info("Upstream %s answers again.", tracker.id)
        self._tell(tracker, Progress.PROBE_ANSWERED)

    def _tell(self, tracker: Tracker, progress: Progress) -> None:
        start = tracker.entry.instance
        self.tell(Notice(start.id, 0, progress, born_ms=start.born_ms))
