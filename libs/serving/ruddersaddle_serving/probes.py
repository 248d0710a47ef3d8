"""Probes unresponsive upstreams, so that no caller's request has to test whether they are back.

The readers of the upstream's hall and of the next hall probe it, in case that one of them is
partitioned; with several regions, both are in the upstream's region. Results are sent to other
hosts in the same notices as the progress of requests.
"""

import logging
from collections.abc import Callable

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import HallId, UpstreamId
from ruddersaddle_base.tasks import pause, spawn_forever

from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.ports import Engines, Presence
from ruddersaddle_serving.role_changes import RoleChanges
from ruddersaddle_serving.trackers import Notice, Progress, Tracker, Trackers

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.2
"""Interval at which unresponsive upstreams are looked for."""
PROBE_INTERVAL_S = 0.4
"""Interval between probes of one unresponsive upstream."""
PROBE_INTERVAL_MAX_S = 6.4
RELAPSE_S = 3.0
"""An upstream that becomes unresponsive this soon after it answered a probe answers nothing but
probes, and its probe interval doubles each time. Otherwise an upstream that hangs would get a tenth
of the requests for ever."""


class ProbeState(msgspec.Struct):
    """The probe schedule of one upstream; times are of the boot-time clock."""

    interval_s: float = PROBE_INTERVAL_S
    next_at: float = 0.0
    reached_at: float | None = None
    """When it last answered a probe; None once it is unresponsive again."""


class Probes:
    """Probes the unresponsive upstreams that this host is responsible for."""

    def __init__(
        self, hosts: Hosts, trackers: Trackers, engines: Engines, notify: Callable[[Notice], None]
    ) -> None:
        self.hosts = hosts
        self.trackers = trackers
        self.engines = engines
        self.notify = notify
        self.count = 0
        self.role_changes = RoleChanges(hosts)
        self._state_by_id: dict[UpstreamId, ProbeState] = {}

    def start(self) -> None:
        """Start the task."""
        spawn_forever("probes", self._run)

    def _run(self) -> None:
        while True:
            if not self._is_prober():
                # Only the readers of halls probe, so that the others wait until they become one.
                self.role_changes.wait()
                continue
            pause(CHECK_INTERVAL_S)
            for tracker in self.due():
                eventlet.spawn(self.probe, tracker)

    def due(self) -> list[Tracker]:
        """Return the upstreams to probe now, and schedule their next probes."""
        trackers = self.trackers.by_id.values()
        unresponsive = [each for each in trackers if each.is_unresponsive and not each.is_replaced]
        known = self._state_by_id
        self._state_by_id = {each: known[each] for each in known if each in self.trackers.by_id}
        return [
            each for each in unresponsive if self._is_responsible(each) and self._schedule(each.id)
        ]

    def _is_prober(self) -> bool:
        """Whether this host probes the upstreams of any hall."""
        return self.hosts.own.address in self.hosts.reader_by_hall().values()

    def _is_responsible(self, tracker: Tracker) -> bool:
        hall = tracker.entry.hall
        by_hall = self._readers_near(hall)
        halls = sorted(by_hall)
        first = halls.index(hall) if hall in by_hall else 0
        probers = {by_hall[halls[(first + step) % len(halls)]] for step in (0, 1)}
        return self.hosts.own.address in probers

    def _readers_near(self, hall: HallId) -> dict[HallId, str]:
        """Return the readers of halls in the region of a hall; of all halls if it has none."""
        by_hall = self.hosts.reader_by_hall()
        region_of = self.hosts.regions.region_of
        near = {each: by_hall[each] for each in by_hall if region_of(each) == region_of(hall)}
        return near or by_hall

    def _schedule(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream's next probe is due; if so, schedule the one after it."""
        now = clocks.now_s()
        state = self._state_by_id.setdefault(upstream, ProbeState())
        if state.reached_at is not None:
            self._adjust_interval(state, now)
        if now < state.next_at:
            return False
        state.next_at = now + state.interval_s
        return True

    def _adjust_interval(self, state: ProbeState, now: float) -> None:
        """Adjust the interval of an upstream that became unresponsive after it answered a probe."""
        if now - state.reached_at < RELAPSE_S:
            state.interval_s = min(PROBE_INTERVAL_MAX_S, 2 * state.interval_s)
        else:
            state.interval_s = PROBE_INTERVAL_S
        state.next_at = now + state.interval_s
        state.reached_at = None

    def probe(self, tracker: Tracker) -> None:
        """Probe an upstream, and send the result to the other hosts."""
        self.count += 1
        presence = self.engines.presence(tracker.entry.address, tracker.entry.instance)
        match presence:
            case Presence.PRESENT:
                self._record_reached(tracker)
            case Presence.REPLACED:
                self._notify(tracker, Progress.REPLACED)
            case _:
                logger.info("Upstream %s is unresponsive: %s.", tracker.id, presence.value)

    def _record_reached(self, tracker: Tracker) -> None:
        self._state_by_id.setdefault(tracker.id, ProbeState()).reached_at = clocks.now_s()
        logger.info("Upstream %s answers again.", tracker.id)
        self._notify(tracker, Progress.PROBE_ANSWERED)

    def _notify(self, tracker: Tracker, progress: Progress) -> None:
        instance = tracker.entry.instance
        self.notify(Notice(instance.id, 0, progress, born_ms=instance.born_ms))
