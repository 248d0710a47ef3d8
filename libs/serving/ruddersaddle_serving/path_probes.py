"""Looks for paths to upstreams that are back, so that no caller's request has to.

A probe opens a connection, which is kept for requests. One is opened at a time. An upstream that no
host is known to reach is left to requests, unless no upstream of its pool can be reached from here:
then requests are refused without trying.
"""

import logging

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_paths import ReachedBy

logger = logging.getLogger(__name__)

PROBE_PAUSE_S = 0.25
PROBE_PAUSE_MAX_S = 1.0
"""The pause doubles up to this with each probe that finds no path, as many hosts may probe a pool
that is down."""
RETURN_PAUSE_S = 0.05
"""Pause after a probe that found a path: others are probably back as well."""


class PathProbes:
    """Probes the upstreams to which this host has lost its path."""

    def __init__(self, trackers: Trackers) -> None:
        self.trackers = trackers
        self.paths = trackers.paths
        self.count = 0
        self._is_running = False
        self._probed_at_by_id: dict[UpstreamId, float] = {}
        self.paths.listeners.append(self._start)

    def _start(self) -> None:
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_after(PROBE_PAUSE_S, self._run)

    def _run(self) -> None:
        try:
            self._probe_lost()
        except Exception:
            logger.exception("Paths to upstreams could not be probed.")
        finally:
            self._is_running = False
            self._probed_at_by_id.clear()

    def _probe_lost(self) -> None:
        pause_s = PROBE_PAUSE_S
        # An upstream may become one to probe without another failure: once others report on it.
        while self.paths.has_lost:
            tracker = self.next_due()
            if tracker is not None and self.probe(tracker):
                pause_s = PROBE_PAUSE_S
                eventlet.sleep(RETURN_PAUSE_S)
                continue
            eventlet.sleep(pause_s)
            pause_s = min(PROBE_PAUSE_MAX_S, 2 * pause_s)

    def next_due(self) -> Tracker | None:
        """Return the upstream whose last probe is longest ago; None if there is none to probe."""
        reached_by_id = {
            each.id: each.path_belief.reached_by for each in self.trackers.by_id.values()
        }
        reached_pools = {
            each.entry.pool
            for each in self.trackers.by_id.values()
            if reached_by_id[each.id] is ReachedBy.THIS_HOST
        }
        due = [
            each
            for each in self.trackers.by_id.values()
            if not each.is_replaced
            and each.path.lost_at is not None
            and (
                reached_by_id[each.id] is ReachedBy.OTHER_HOSTS
                or each.entry.pool not in reached_pools
            )
        ]
        return min(due, key=lambda each: self._probed_at_by_id.get(each.id, 0.0), default=None)

    def probe(self, tracker: Tracker) -> bool:
        """Open a connection to an upstream; return whether that succeeded."""
        self.count += 1
        self._probed_at_by_id[tracker.id] = clocks.now_s()
        if isinstance(tracker.connections.open_idle(), Failure):
            tracker.path.record_refused(is_known_down=tracker.is_unresponsive)
            return False
        tracker.record_reached()
        return True
