"""Asks unresponsive upstreams whether they are there, so that no caller's request has to.

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

CHECK_INTERVAL_S = 0.2
"""Pause between looks for unresponsive upstreams."""
PROBE_INTERVAL_S = 0.4
"""Pause between probes of one unresponsive upstream, in seconds."""
PROBE_INTERVAL_MAX_S = 6.4
RELAPSE_S = 3.0
"""An upstream that is unresponsive again this soon after it answered a probe answers nothing but
probes: the interval doubles each time. Otherwise an upstream that hangs would get a tenth of the
requests for ever."""


class ProbeState(msgspec.Struct):
    """How the probes of one upstream went; moments are of the steady clock."""

    interval_s: float = PROBE_INTERVAL_S
    next_at: float = 0.0
    reached_at: float | None = None
    """When it last answered, until it is unresponsive again."""


class Probes:
    """Probes the unresponsive upstreams that are this host's to probe."""

    def __init__(
        self, hosts: Hosts, trackers: Trackers, engines: Engines, notify: Callable[[Notice], None]
    ) -> None:
        self.hosts = hosts
        self.trackers = trackers
        self.engines = engines
        self.notify = notify
        self.count = 0
        self._state_by_id: dict[UpstreamId, ProbeState] = {}

    def start(self) -> None:
        """Start the task."""
        spawn_forever("probes", self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            for tracker in self.due():
                eventlet.spawn(self.probe, tracker)

    def due(self) -> list[Tracker]:
        """Return the upstreams to probe now."""
        trackers = self.trackers.by_id.values()
        unresponsive = [each for each in trackers if each.is_silent and not each.is_replaced]
        known = self._state_by_id
        self._state_by_id = {each: known[each] for each in known if each in self.trackers.by_id}
        return [each for each in unresponsive if self._is_mine(each) and self._schedule(each.id)]

    def _is_mine(self, tracker: Tracker) -> bool:
        by_hall = self.hosts.reader_by_hall()
        halls = sorted(by_hall)
        hall = tracker.entry.hall
        first = halls.index(hall) if hall in by_hall else 0
        probers = {by_hall[halls[(first + step) % len(halls)]] for step in (0, 1)}
        return self.hosts.own.address in probers

    def _schedule(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream's next probe is due, and date the one after it."""
        now = clocks.now_s()
        state = self._state_by_id.setdefault(upstream, ProbeState())
        if state.reached_at is not None:
            self._slow_down(state, now)
        if now < state.next_at:
            return False
        state.next_at = now + state.interval_s
        return True

    def _slow_down(self, state: ProbeState, now: float) -> None:
        """Take that an upstream is unresponsive again although it answered a probe."""
        if now - state.reached_at < RELAPSE_S:
            state.interval_s = min(PROBE_INTERVAL_MAX_S, 2 * state.interval_s)
        else:
            state.interval_s = PROBE_INTERVAL_S
        state.next_at = now + state.interval_s
        state.reached_at = None

    def probe(self, tracker: Tracker) -> None:
        """Ask an upstream whether it is there, and notify the answer."""
        self.count += 1
        presence = self.engines.presence(tracker.entry.address, tracker.entry.start)
        match presence:
            case Presence.HERE:
                self._record_reached(tracker)
            case Presence.REPLACED:
                self._notify(tracker, Progress.REPLACED)
            case _:
                logger.info("Upstream %s is unresponsive: %s.", tracker.id, presence.value)

    def _record_reached(self, tracker: Tracker) -> None:
        self._state_by_id.setdefault(tracker.id, ProbeState()).reached_at = clocks.now_s()
        logger.info("Upstream %s answers again.", tracker.id)
        self._notify(tracker, Progress.REACHED)

    def _notify(self, tracker: Tracker, progress: Progress) -> None:
        start = tracker.entry.start
        self.notify(Notice(start.id, 0, progress, born_ms=start.born_ms))
