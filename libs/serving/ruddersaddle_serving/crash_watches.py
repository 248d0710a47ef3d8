"""Tells crashes of upstreams from broken connections, and refuses requests that crash upstreams.

To a run, the crash of its upstream and the reset of one connection look alike. Probing the
upstream's address tells them apart: after a crash, connections are refused until the next instance
answers. On a host that is partitioned from upstreams they may be refused as well; there, only the
next instance shows a crash.
"""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import PoolId, RequestId

from ruddersaddle_serving.crash_records import CRASHES_MAX, Crash, CrashRecords
from ruddersaddle_serving.fingerprints import Fingerprint, PartKey
from ruddersaddle_serving.part_crashes import (
    CrashedPart,
    PartClearance,
    RequestTag,
    make_tag,
    merge_tags,
)
from ruddersaddle_serving.part_records import TRIAL_MS
from ruddersaddle_serving.ports import Engines, Presence
from ruddersaddle_serving.trackers import Tracker
from ruddersaddle_serving.upstream_entries import UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_paths import ELSEWHERE_MARGIN_S

logger = logging.getLogger(__name__)

PROBE_PAUSES_S = (0.0, 0.1, 0.3, 0.6, 1.0, 2.0)
"""Pauses before the probes of an address, 4 s in all: the entry of a crashed instance lasts for
three heartbeats (3.6 s)."""
DOWN_MIN = 2
"""Probes that must find the address down. An upstream at its connection limit also resets a probe,
but has room again some 0.1 s later."""
SEVERAL_DOWN_MIN = 3
"""The same if runs broke off on several upstreams at once: by the third probe, other hosts have
reported whether these upstreams answer them."""
FINGERPRINTS_MAX = 256
"""Broken runs that are remembered for one instance; an upstream runs 128 requests at once."""
OUTCOME_WAIT_S = 0.5
"""Longest wait for the outcome of probing; two probes that find the address down take 0.1 s."""
OUTCOME_POLL_S = 0.01
RECORDS_WAIT_S = 2.0
"""Longest time from the start for which requests wait until the records have been read once."""
LOGGED_PARTS_MAX = 16
"""Parts that the line of a crash names."""
REPORTED_PARTS_MAX = 256
"""Parts that the report of a crash names; the runs of one upstream rarely hold more."""
MS_PER_S = 1000


class BrokenRun(msgspec.Struct, frozen=True):
    """A run whose connection ended before its answer was complete."""

    fingerprint: Fingerprint
    parts: tuple[PartKey, ...] = ()
    """Shared parts of its prompt."""
    has_begun: bool = False
    """Whether the upstream had sent the head of its answer."""
    began_at: float | None = None
    """When the first event of a stream was read, by the boot-time clock."""


class CrashWatch:
    """Probes the upstreams on which runs of this host broke off, and refuses requests that crash
    upstreams."""

    def __init__(
        self,
        engines: Engines,
        upstreams: UpstreamList,
        records: CrashRecords,
        notify_crash: Callable[[Crash], None],
        notify_cleared: Callable[[Fingerprint], None],
        notify_cleared_parts: Callable[[list[PartClearance]], None] = lambda clearances: None,
    ) -> None:
        self.engines = engines
        self.upstreams = upstreams
        self.records = records
        self.notify_crash = notify_crash
        self.notify_cleared = notify_cleared
        self.notify_cleared_parts = notify_cleared_parts
        self.are_records_known: Callable[[], bool] = lambda: True
        """Whether this host knows what was recorded before it started."""
        self._started_at = clocks.now_s()
        self.counts = {"crash": 0, "reset": 0, "unreachable": 0, "refused": 0, "refused_part": 0}
        """Upstreams that crashed while running requests of this host, upstreams that were still
        alive after a run broke off, those that this host alone could not reach then, requests
        that were refused because they crash upstreams, and those refused for a part that does."""
        self._broken_by_instance: dict[UpstreamInstance, dict[Fingerprint, BrokenRun]] = {}

    # Decisions

    def check(self, fingerprint: Fingerprint, pool: PoolId) -> Failure | None:
        """Refuse a request that has crashed too many upstreams.

        Each further attempt costs one more upstream with all its runs: without this check, one
        request crashed 16 upstreams.
        """
        now_ms = clocks.unix_ms()
        record = self.records.find_refusal(fingerprint, now_ms)
        if record is None:
            return None
        self.counts["refused"] += 1
        names = ", ".join(map(str, record.instances[:CRASHES_MAX]))
        ago_s = (now_ms - record.last_ms) / MS_PER_S
        detail = (
            f"it crashed {len(record.instances)} upstreams, the last {ago_s:.1f} s ago: {names}"
        )
        left_s = (record.until_ms - now_ms) / MS_PER_S
        return Failure(Code.CRASHES_UPSTREAMS, Step.ADMIT, pool, detail, retry_after_s=left_s)

    def check_parts(
        self, parts: tuple[PartKey, ...], request: RequestId, pool: PoolId
    ) -> Failure | None:
        """Refuse a prompt with a part that has crashed too many upstreams."""
        if not parts:
            return None
        now_ms = clocks.unix_ms()
        record = self.records.parts.find_refusal(parts, request, now_ms)
        if record is None:
            return None
        self.counts["refused_part"] += 1
        ago_s = (now_ms - record.last_ms) / MS_PER_S
        detail = (
            f"part {record.part} of its prompt crashed {len(record.crashes)} upstreams, "
            f"the last {ago_s:.1f} s ago"
        )
        left_s = max(TRIAL_MS, record.until_ms - now_ms) / MS_PER_S
        return Failure(Code.PART_CRASHES_UPSTREAMS, Step.ADMIT, pool, detail, retry_after_s=left_s)

    def wait_for_outcome(self, fingerprint: Fingerprint, parts: tuple[PartKey, ...] = ()) -> None:
        """Wait for the outcome of probing, if one more crash would get the request refused.

        Probing takes some 0.1 s; without the wait, an attempt in that time crashed a fourth
        upstream.
        """
        self._wait_for_records()
        until = clocks.now_s() + OUTCOME_WAIT_S
        while self._may_refuse(fingerprint, parts) and clocks.now_s() < until:
            eventlet.sleep(OUTCOME_POLL_S)

    def _wait_for_records(self) -> None:
        """Wait until it is known which requests have crashed upstreams before this host's start.

        The store answers within milliseconds; while it is down, requests go on after a time.
        """
        until = self._started_at + RECORDS_WAIT_S
        while not self.are_records_known() and clocks.now_s() < until:
            eventlet.sleep(OUTCOME_POLL_S)

    def _may_refuse(self, fingerprint: Fingerprint, parts: tuple[PartKey, ...]) -> bool:
        if not self._broken_by_instance:
            return False
        if self.records.count(fingerprint) >= CRASHES_MAX - 1 and self.is_pending(fingerprint):
            return True
        now_ms = clocks.unix_ms()
        is_suspect = self.records.parts.is_suspect
        return any(is_suspect(part, now_ms) and self._is_part_pending(part) for part in parts)

    def _is_part_pending(self, part: PartKey) -> bool:
        """Return whether an upstream is being probed on which a run with this part broke off."""
        return any(
            part in run.parts
            for broken in self._broken_by_instance.values()
            for run in broken.values()
        )

    # Observations

    def record_request(self, parts: tuple[PartKey, ...]) -> None:
        """Record that a prompt with these parts has arrived."""
        if parts:
            self.records.parts.history.record_request(parts, clocks.unix_ms())

    def record_complete(self, fingerprint: Fingerprint) -> None:
        """Record that a run completed, which clears its request."""
        if self.records.record_complete(fingerprint, clocks.unix_ms()):
            self.notify_cleared(fingerprint)

    def record_answer(self, parts: tuple[PartKey, ...], began_at: float) -> None:
        """Record that a run was answered, or has been for some time, which clears its parts.

        `began_at` is when the upstream began to answer, by the boot-time clock.
        """
        if not parts:
            return
        now_ms = clocks.unix_ms()
        began_ms = now_ms - round(MS_PER_S * (clocks.now_s() - began_at))
        clearances = self.records.parts.record_answer(parts, began_ms, now_ms)
        if clearances:
            self.notify_cleared_parts(clearances)

    def record_closed(self, tracker: Tracker, run: BrokenRun) -> None:
        """Record a run whose answer ended with its connection, maybe by a crash of its upstream.

        The upstream is probed for suspects only. Probing it after each answer would double the
        calls to upstreams whose answers all end so.
        """
        now_ms = clocks.unix_ms()
        is_suspect = self.records.parts.is_suspect
        if self.records.count(run.fingerprint) or any(
            is_suspect(part, now_ms) for part in run.parts
        ):
            eventlet.spawn(self._check_closed, tracker, run)

    def _check_closed(self, tracker: Tracker, run: BrokenRun) -> None:
        match self.engines.presence(tracker.entry.address, tracker.entry.instance):
            case Presence.PRESENT:
                self.record_complete(run.fingerprint)
                if run.began_at is not None:
                    self.record_answer(run.parts, run.began_at)
            case Presence.DOWN | Presence.REPLACED:
                self.record_broken(tracker, run)

    def record_broken(self, tracker: Tracker, run: BrokenRun) -> None:
        """Record that a run broke off, and start to probe its upstream."""
        entry = tracker.entry
        listed = self.upstreams.by_id.get(entry.id)
        if listed is None or listed.leaving:
            # A planned stop: the upstream announced it, or withdrew its entry before it stopped.
            return
        is_probed = entry.instance in self._broken_by_instance
        broken = self._broken_by_instance.setdefault(entry.instance, {})
        if len(broken) < FINGERPRINTS_MAX:
            broken[run.fingerprint] = run
        if not is_probed:
            eventlet.spawn(self._check_instance, tracker, entry.instance)

    def is_pending(self, fingerprint: Fingerprint) -> bool:
        """Return whether an upstream is being probed on which a run of this request broke off."""
        return any(fingerprint in broken for broken in self._broken_by_instance.values())

    def _check_instance(self, tracker: Tracker, instance: UpstreamInstance) -> None:
        broken_at = clocks.now_s()
        try:
            has_crashed = self._has_crashed(tracker, instance, broken_at)
        finally:
            runs = self._broken_by_instance.pop(instance)
        if not has_crashed and self._lacks_path(tracker, broken_at):
            self.counts["unreachable"] += 1
            logger.info(
                "Upstream %s is beyond this host's path; %d runs broke off.", instance, len(runs)
            )
            return
        if not has_crashed:
            self.counts["reset"] += 1
            logger.info("Upstream %s is alive; %d runs on it broke off.", instance, len(runs))
            return
        self.counts["crash"] += 1
        fields = _crash_fields(runs, clocks.now_s() - broken_at)
        logger.warning("Upstream %s crashed with %d runs.", instance, len(runs), extra=fields)
        self.notify_crash(self._report(instance, runs, broken_at))

    def _report(
        self, instance: UpstreamInstance, runs: dict[Fingerprint, BrokenRun], broken_at: float
    ) -> Crash:
        """Return the report of a crash, with the parts of its runs and the requests of each."""
        now_ms = clocks.unix_ms()
        is_proven = self.records.parts.history.is_proven
        tags_by_part: dict[PartKey, list[RequestTag]] = {}
        for run in runs.values():
            for part in run.parts:
                tags_by_part.setdefault(part, []).append(make_tag(run.fingerprint))
        parts = tuple(
            CrashedPart(part, merge_tags(tuple(tags), ()), is_proven(part, now_ms))
            for part, tags in list(tags_by_part.items())[:REPORTED_PARTS_MAX]
        )
        age_ms = round(MS_PER_S * (clocks.now_s() - broken_at))
        return Crash(instance, tuple(runs), parts, age_ms)

    def _lacks_path(self, tracker: Tracker, broken_at: float) -> bool:
        """Return whether refused connections may be due to this host's own path."""
        if tracker.path.paths.is_isolated:
            return True
        return tracker.liveness.last_response_at > broken_at + ELSEWHERE_MARGIN_S

    def _has_crashed(self, tracker: Tracker, instance: UpstreamInstance, broken_at: float) -> bool:
        down_count = 0
        for pause_s in PROBE_PAUSES_S:
            eventlet.sleep(pause_s)
            if tracker.is_replaced or tracker.entry.instance != instance:
                return True
            match self.engines.presence(tracker.entry.address, instance):
                case Presence.PRESENT:
                    return False
                case Presence.REPLACED:
                    return True
                case Presence.DOWN if not self._lacks_path(tracker, broken_at):
                    down_count += 1
            is_alone = len(self._broken_by_instance) == 1
            if down_count >= (DOWN_MIN if is_alone else SEVERAL_DOWN_MIN):
                return True
        return False


def _crash_fields(runs: dict[Fingerprint, BrokenRun], age_s: float) -> dict[str, Any]:
    """Return the fields of a crash's log line; the parts are those of most runs first."""
    counts = Counter(part for run in runs.values() for part in run.parts)
    return {
        "fingerprints": tuple(runs),
        "begun": sum(run.has_begun for run in runs.values()),
        "parts": [f"{part} {count}" for part, count in counts.most_common(LOGGED_PARTS_MAX)],
        "age_ms": round(MS_PER_S * age_s),
    }
