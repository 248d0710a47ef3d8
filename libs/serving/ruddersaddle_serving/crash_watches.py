"""Finds out whether upstreams have ended under runs that broke off, and refuses what ends them.

To a run, the crash of its upstream and the reset of one connection look alike. The upstream's
address tells them apart: after a crash it refuses connections until the next start answers.
"""

import logging
from collections.abc import Callable

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import PoolId

from ruddersaddle_serving.crash_records import CRASHES_MAX, Crash, CrashRecords
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.ports import Engines, Presence
from ruddersaddle_serving.trackers import Tracker
from ruddersaddle_serving.upstream_entries import UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

LOOK_PAUSES_S = (0.0, 0.1, 0.3, 0.6, 1.0, 2.0)
"""Pauses before the looks at an address, 4 s in all: a start that has ended keeps its entry for
three heartbeats (3.6 s)."""
DOWN_MIN = 2
"""Looks that have to find nobody there. An upstream that has as many connections as it takes resets
any further one; some 0.1 s later there is room."""
FINGERPRINTS_MAX = 256
"""Broken runs that are remembered for one start; an upstream runs 128 at once."""
SETTLE_S = 0.5
"""Longest wait for the outcome of a look; two looks that find nobody take 0.1 s."""
SETTLE_STEP_S = 0.01
MS_PER_S = 1000


class CrashWatch:
    """Watches the upstreams under which this host's runs broke off, and refuses their causes."""

    def __init__(
        self,
        engines: Engines,
        upstreams: UpstreamList,
        records: CrashRecords,
        tell_crash: Callable[[Crash], None],
        tell_cleared: Callable[[Fingerprint], None],
    ) -> None:
        self.engines = engines
        self.upstreams = upstreams
        self.records = records
        self.tell_crash = tell_crash
        self.tell_cleared = tell_cleared
        self.counts = {"crash": 0, "reset": 0, "refused": 0}
        """Upstreams that ended under runs of this host, upstreams that lived on after a run had
        broken off, and requests that were refused for the crashes they caused."""
        self._broken_by_start: dict[UpstreamInstance, dict[Fingerprint, None]] = {}

    # What is decided

    def check(self, fingerprint: Fingerprint, pool: PoolId) -> Failure | None:
        """Refuse a request under which too many upstreams have ended.

        Each further send costs one more upstream with all its runs: 16 ended under one request.
        """
        now_ms = clocks.unix_ms()
        record = self.records.find_verdict(fingerprint, now_ms)
        if record is None:
            return None
        self.counts["refused"] += 1
        names = ", ".join(map(str, record.starts[:CRASHES_MAX]))
        ago_s = (now_ms - record.last_ms) / MS_PER_S
        detail = (
            f"{len(record.starts)} upstreams ended under it, the last {ago_s:.1f} s ago: {names}"
        )
        left_s = (record.until_ms - now_ms) / MS_PER_S
        return Failure(Code.CRASHES_UPSTREAMS, Step.ADMIT, pool, detail, retry_after_s=left_s)

    def settle(self, fingerprint: Fingerprint) -> None:
        """Wait until it is known whether a broken run was the crash that refuses its request.

        Upstreams are looked at for some 0.1 s; a second try in that time ended a fourth upstream.
        """
        until = clocks.now_s() + SETTLE_S
        while self._may_decide(fingerprint) and clocks.now_s() < until:
            eventlet.sleep(SETTLE_STEP_S)

    def _may_decide(self, fingerprint: Fingerprint) -> bool:
        return self.records.count(fingerprint) >= CRASHES_MAX - 1 and self.is_open(fingerprint)

    # What is seen

    def note_whole(self, fingerprint: Fingerprint) -> None:
        """Take that a run ended whole, which clears its request."""
        if self.records.note_whole(fingerprint, clocks.unix_ms()):
            self.tell_cleared(fingerprint)

    def note_broken(self, tracker: Tracker, fingerprint: Fingerprint) -> None:
        """Take that a run broke off, and look what became of its upstream."""
        entry = tracker.entry
        listed = self.upstreams.by_id.get(entry.id)
        if listed is None or listed.leaving:
            # Its end was planned: it said so, or took its entry back and served on a while.
            return
        is_watched = entry.instance in self._broken_by_start
        broken = self._broken_by_start.setdefault(entry.instance, {})
        if len(broken) < FINGERPRINTS_MAX:
            broken[fingerprint] = None
        if not is_watched:
            eventlet.spawn(self._look, tracker, entry.instance)

    def is_open(self, fingerprint: Fingerprint) -> bool:
        """Return whether it isn't known yet if a run of this request ended its upstream."""
        return any(fingerprint in broken for broken in self._broken_by_start.values())

    def _look(self, tracker: Tracker, start: UpstreamInstance) -> None:
        try:
            has_ended = self._has_ended(tracker, start)
        finally:
            broken = tuple(self._broken_by_start.pop(start))
        if not has_ended:
            self.counts["reset"] += 1
            logger.info("Upstream %s lives; %d runs there broke off.", start, len(broken))
            return
        self.counts["crash"] += 1
        fields = {"fingerprints": broken}
        logger.warning("Upstream %s ended under %d runs.", start, len(broken), extra=fields)
        self.tell_crash(Crash(start, broken))

    def _has_ended(self, tracker: Tracker, start: UpstreamInstance) -> bool:
        down = 0
        for pause_s in LOOK_PAUSES_S:
            eventlet.sleep(pause_s)
            if tracker.is_replaced or tracker.entry.instance != start:
                return True
            match self.engines.presence(tracker.entry.address, start):
                case Presence.PRESENT:
                    return False
                case Presence.REPLACED:
                    return True
                case Presence.DOWN:
                    down += 1
            if down >= DOWN_MIN:
                return True
        return False
