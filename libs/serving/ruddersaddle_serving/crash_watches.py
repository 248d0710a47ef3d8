"""Finds out whether an upstream has ended under runs that broke off.

To a run, the crash of its upstream and the reset of one connection look alike. The upstream's
address tells them apart: after a crash it refuses connections until the next start answers.
"""

import logging
from collections.abc import Callable

import eventlet
import msgspec

from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.ports import Engines, Presence
from ruddersaddle_serving.trackers import Tracker
from ruddersaddle_serving.upstream_lists import UpstreamStart

logger = logging.getLogger(__name__)

LOOK_PAUSES_S = (0.0, 0.1, 0.3, 0.6, 1.0, 2.0)
"""Pauses before the looks at an address, 4 s in all: a start that has ended keeps its entry for
three heartbeats (3.6 s)."""
DOWN_MIN = 2
"""Looks that have to find nobody there. An upstream that has as many connections as it takes resets
any further one; some 0.1 s later there is room."""
FINGERPRINTS_MAX = 256
"""Broken runs that are remembered for one start; an upstream runs 128 at once."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """One start of an upstream that ended without notice, and what it ran or had queued."""

    start: UpstreamStart
    fingerprints: tuple[Fingerprint, ...]


class CrashWatch:
    """Watches the upstreams under which this host's runs broke off."""

    def __init__(self, engines: Engines, note_crash: Callable[[Crash], None]) -> None:
        self.engines = engines
        self.note_crash = note_crash
        self.crashes = 0
        """Starts of upstreams that ended under runs of this host."""
        self.resets = 0
        """Upstreams that lived on after a run had broken off."""
        self._broken_by_start: dict[UpstreamStart, dict[Fingerprint, None]] = {}

    def note_broken(self, tracker: Tracker, fingerprint: Fingerprint) -> None:
        """Take that a run broke off, and look what became of its upstream."""
        entry = tracker.entry
        if entry.leaving:
            # It said that it would end.
            return
        is_watched = entry.start in self._broken_by_start
        broken = self._broken_by_start.setdefault(entry.start, {})
        if len(broken) < FINGERPRINTS_MAX:
            broken[fingerprint] = None
        if not is_watched:
            eventlet.spawn(self._look, tracker, entry.start)

    def is_open(self, fingerprint: Fingerprint) -> bool:
        """Return whether it isn't known yet if a run of this request ended its upstream."""
        return any(fingerprint in broken for broken in self._broken_by_start.values())

    def _look(self, tracker: Tracker, start: UpstreamStart) -> None:
        try:
            has_ended = self._has_ended(tracker, start)
        finally:
            broken = tuple(self._broken_by_start.pop(start))
        if not has_ended:
            self.resets += 1
            logger.info("Upstream %s lives; %d runs there broke off.", start, len(broken))
            return
        self.crashes += 1
        fields = {"fingerprints": broken}
        logger.warning("Upstream %s ended under %d runs.", start, len(broken), extra=fields)
        self.note_crash(Crash(start, broken))

    def _has_ended(self, tracker: Tracker, start: UpstreamStart) -> bool:
        down = 0
        for pause_s in LOOK_PAUSES_S:
            eventlet.sleep(pause_s)
            if tracker.is_replaced or tracker.entry.start != start:
                return True
            match self.engines.presence(tracker.entry.address, start):
                case Presence.HERE:
                    return False
                case Presence.REPLACED:
                    return True
                case Presence.DOWN:
                    down += 1
            if down >= DOWN_MIN:
                return True
        return False
