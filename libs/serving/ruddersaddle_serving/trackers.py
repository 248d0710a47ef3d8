"""What this host knows of each upstream from its own requests."""

import logging
from collections import deque
from enum import Enum
from statistics import median_low

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import PoolId, RequestId, UpstreamId

from ruddersaddle_serving.engine_loads import EngineLoad, EngineMemory
from ruddersaddle_serving.paces import Pace
from ruddersaddle_serving.prompts import Part
from ruddersaddle_serving.routes import RouteTable
from ruddersaddle_serving.self_reports import (
    Leave,
    LimitChange,
    LimitNews,
    Reported,
    SelfReport,
)
from ruddersaddle_serving.silences import TOLD_TRUST_S, Silence
from ruddersaddle_serving.upstream_connections import UpstreamConnections
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance

logger = logging.getLogger(__name__)

OUTCOME_WEIGHT = 0.2
"""Weight of the newest outcome in the mean share of failures: about the last ten count."""
FAILING_SHARE = 0.35
"""An upstream that fails more than this share is left out while others are there. Sound
upstreams answer up to a seventh of a kind of request with an error of their own."""
FORGET_S = 3.0
"""A share of failures halves in this time without requests, so that an upstream is tried again."""
OFF_AFTER_CONNECT_S = 0.5
"""An upstream that took no connection is left out this long, then twice as long each time."""
OFF_MAX_S = 4.0
SENDS_MAX = 1024
"""Moments of sends that are kept for each upstream; what a host may send to a cold one in a second
is less."""
REPORTED_MAX = 1000
"""Starts without an entry of which it is kept what they said of themselves."""
SAME_LIST_S = 0.5
"""Two upstreams at one address that became known within this time may stand in the first list that
a host reads, which doesn't tell the older one."""


class Progress(Enum):
    """How far a request is at its upstream."""

    SENT = 0
    FIRST = 1
    """Its first event came, so its prompt was read."""
    ENDED = 2
    REACHED = 3
    """No request: the upstream answered a probe."""
    REPLACED = 4
    """No request: another upstream answers at its address."""
    REPORTED = 5
    """No step of the request: its answer said something of the upstream itself."""


class Reach(Enum):
    """What was heard of an upstream until a request ended."""

    ANSWERED = 0
    NO_CONNECTION = 1
    NOTHING = 2
    """It took the request, and nothing came, or its answer broke off."""


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """What a prompt means to the engine that it is sent to."""

    salt: str
    parts: tuple[Part, ...]
    work_s: float
    """Nominal time that reading what the engine lacks takes, in seconds."""
    tokens: int
    priority: int
    fetch_s: float = 0.0
    """Time until its parts are fetched."""


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """One step of one request at an engine, as hosts tell one another."""

    upstream: UpstreamId
    number: int
    """The host's own number of the request."""
    progress: Progress
    assignment: Assignment | None = None
    failed: bool | None = None
    """How it ended; None where that says nothing about the upstream."""
    reach: Reach = Reach.NOTHING
    """What was heard of the upstream until it ended."""
    expected_s: float = 0.0
    """Where it was sent: the time within which something should be heard."""
    born_ms: int | None = None
    """Which start of the upstream it concerns; None where that is not told."""
    limit: LimitNews | None = None
    """What an answer said of the upstream's limit."""
    leave: Leave | None = None
    """That the upstream said that it leaves."""


class RecentSends:
    """When this host sent its latest requests to an upstream, on the steady clock."""

    def __init__(self) -> None:
        self._moments: deque[float] = deque(maxlen=SENDS_MAX)

    def note(self, at: float) -> None:
        """Take that a request leaves."""
        self._moments.append(at)

    def count_since(self, moment: float) -> int:
        """Return how many requests left after a moment, up to `SENDS_MAX`."""
        return sum(at > moment for at in self._moments)


class Tracker:
    """One upstream as this host's own requests show it."""

    def __init__(
        self,
        entry: UpstreamEntry,
        memory_tokens: int = 0,
        reported: Reported | None = None,
    ) -> None:
        self.entry = entry
        self.connections = UpstreamConnections(entry.address)
        self.in_flight = 0
        self.load = EngineLoad()
        self.memory = EngineMemory(memory_tokens)
        self.version_by_model = dict(entry.version_by_model)
        self.avoided_until = 0.0
        """The holder of the lease has it load weights until then, on the steady clock."""
        self.silence = Silence()
        self.sends = RecentSends()
        self.reported = reported or Reported()
        self._failing = 0.0
        self._noted_at = clocks.now_s()
        self._told_failing = 0.0
        self._told_at = float("-inf")
        self._refusals = 0
        self._off_until = 0.0
        self.is_replaced = False
        """Whether another upstream answers at its address: this start of it has ended for good."""
        self.created_at = clocks.now_s()

    @property
    def id(self) -> UpstreamId:
        """The upstream's id."""
        return self.entry.id

    @property
    def failing_share(self) -> float:
        """About the share of recent requests that failed, here or as others told."""
        told_s = clocks.now_s() - self._told_at
        told = self._told_failing if told_s < TOLD_TRUST_S else 0.0
        return max(self.observed_failing, told)

    @property
    def observed_failing(self) -> float:
        """About the share of recent requests that failed, of those that this host hears of."""
        idle_s = clocks.now_s() - self._noted_at
        return self._failing * 0.5 ** (idle_s / FORGET_S)

    @property
    def is_sound(self) -> bool:
        """Whether requests to it are likely to be answered."""
        if self.is_replaced or clocks.now_s() < self._off_until:
            return False
        return not self.is_silent and self.failing_share < FAILING_SHARE

    @property
    def is_silent(self) -> bool:
        """Whether it was sent requests, and no host has heard of it since."""
        return self.silence.since(clocks.now_s()) is not None

    @property
    def is_avoided(self) -> bool:
        """Whether it is about to load weights, or loads them."""
        return clocks.now_s() < self.avoided_until

    def note_outcome(self, failed: bool) -> None:
        """Count how a request ended."""
        share = self.observed_failing
        self._failing = share + OUTCOME_WEIGHT * (float(failed) - share)
        self._noted_at = clocks.now_s()
        if not failed:
            self._refusals = 0

    def note_told_failing(self, share: float) -> None:
        """Take about the share of failures that another host observed."""
        self._told_failing = share
        self._told_at = clocks.now_s()

    def note_replaced(self) -> None:
        """Take that another upstream answers at this one's address.

        The entry stays for some seconds. What is sent is refused at once, so that it looks idle,
        which would draw all work to it. While each host found that alone, three restarts of a third
        of 50 engines had 850 prompts of 5,000 refused in 9 s.
        """
        if not self.is_replaced:
            logger.info("Upstream %s is gone; another one is at its address.", self.id)
        self.is_replaced = True

    def note_no_connection(self) -> None:
        """Count a connection that did not come about."""
        off_s = min(OFF_MAX_S, OFF_AFTER_CONNECT_S * 2**self._refusals)
        self._refusals += 1
        self._off_until = clocks.now_s() + off_s

    def take_notice(self, host: str, notice: Notice) -> None:
        """Take how far a request of this host or another one is."""
        if (
            None not in (notice.born_ms, self.entry.born_ms)
            and notice.born_ms != self.entry.born_ms
        ):
            # Said of the end of an earlier start, it would take this one out for good.
            return
        number = (host, notice.number)
        now = clocks.now_s()
        match notice.progress:
            case Progress.SENT:
                self.silence.note_sent(number, now, notice.expected_s)
                if notice.assignment is not None:
                    self._add_load(number, notice.assignment)
            case Progress.FIRST:
                self.silence.note_heard(now)
                self.load.note_first(number)
            case Progress.ENDED:
                self._note_reach(number, notice.reach, now)
                self.load.end(number)
                if notice.failed is not None:
                    self.note_outcome(notice.failed)
            case Progress.REACHED:
                self.silence.note_heard(now)
            case Progress.REPLACED:
                self.note_replaced()
            case Progress.REPORTED:
                self.take_limit(notice.limit, host, is_first_hand=True)

    def _add_load(self, number: tuple[str, int], assignment: Assignment) -> None:
        self.memory.use(assignment.salt, assignment.parts)
        self.load.add(
            number,
            assignment.priority,
            assignment.work_s,
            assignment.tokens,
            assignment.fetch_s,
            self.memory.capacity_tokens,
            assignment.salt,
            assignment.parts,
        )

    def hear(
        self, report: SelfReport, request: RequestId | None, is_ordinary: bool
    ) -> Notice | None:
        """Take what an answer to this host says of the upstream; return what all hosts should know.

        `request` is None where the answer is to a call of this host's own.
        """
        self._take_rest(report.rest_s, request)
        if isinstance(report.limit_per_s, Failure):
            self._warn_unreadable(report.limit_per_s, request)
        limit = self.reported.rate_limit.after(report, request, is_ordinary)
        if limit is None and not report.leaving:
            return None
        start = self.entry.instance
        leave = Leave(request) if report.leaving else None
        return Notice(
            start.id, 0, Progress.REPORTED, born_ms=start.born_ms, limit=limit, leave=leave
        )

    def _take_rest(self, rest_s: float | Failure, request: RequestId | None) -> None:
        if isinstance(rest_s, Failure):
            self._warn_unreadable(rest_s, request)
        elif self.reported.rest(rest_s):
            logger.info(
                "Upstream %s wants nothing for %.1f s.",
                self.entry.instance,
                rest_s,
                extra={"request": request},
            )

    def _warn_unreadable(self, failure: Failure, request: RequestId | None) -> None:
        logger.warning(
            "Answer of upstream %s can't be read: %s.",
            self.entry.instance,
            failure.detail,
            extra={"request": request},
        )

    def take_limit(self, news: LimitNews | None, teller: str, is_first_hand: bool) -> None:
        """Take what the upstream said of its limit, as a host tells, first hand or not."""
        if news is None:
            return
        change = self.reported.rate_limit.take(news, is_first_hand)
        if change is not LimitChange.NONE:
            logger.info(
                "Limit of upstream %s has %s: %.2f requests a second.",
                self.entry.instance,
                change.value,
                news.per_s,
                extra={
                    "request": news.request,
                    "told_by": teller,
                    "told_age_ms": round(news.age_s * 1000),
                },
            )

    def _note_reach(self, number: tuple[str, int], reach: Reach, now: float) -> None:
        match reach:
            case Reach.ANSWERED:
                self.silence.note_heard(now)
            case Reach.NO_CONNECTION:
                self.silence.note_unreached(number)
            case Reach.NOTHING:
                self.silence.note_left(number, now)

    def take_entry(self, entry: UpstreamEntry) -> None:
        """Take a newer entry; versions of weights never go back within one start."""
        self.entry = entry
        for model, version in entry.version_by_model.items():
            self.take_version(model, version)

    def take_version(self, model: str, version: int) -> None:
        """Take that the upstream has these weights of a model now."""
        known = self.version_by_model.get(model, 0)
        if version > known:
            self.version_by_model[model] = version
            self.memory.clear()


class Trackers:
    """Trackers of all upstreams that have an entry, by id."""

    def __init__(self) -> None:
        self.by_id: dict[UpstreamId, Tracker] = {}
        self._reported_by_start: dict[UpstreamInstance, Reported] = {}
        """What starts said whose entries were taken out, the latest last; entries come back."""
        self._memory_by_pool: dict[PoolId, int] = {}

    def take_table(self, table: RouteTable) -> None:
        """Take the size of engines' memory from a configuration."""
        self._memory_by_pool = {
            pool.id: pool.engine.cache_tokens
            for pool in table.published.pools
            if pool.engine is not None
        }
        for tracker in self.by_id.values():
            tracker.memory.capacity_tokens = self._memory_tokens(tracker.entry)

    def _memory_tokens(self, entry: UpstreamEntry) -> int:
        return self._memory_by_pool.get(entry.pool, 0)

    def at(self, entry: UpstreamEntry) -> Tracker:
        """Return the tracker of an entry."""
        tracker = self.by_id.get(entry.id)
        if tracker is None or entry.is_later_than(tracker.entry):
            # Nothing that is known of an earlier start holds for this one. Runs that are still
            # under way there keep the tracker that they began with.
            if tracker is not None:
                tracker.connections.close()
            reported = self._reported_by_start.pop(entry.instance, None)
            tracker = Tracker(entry, self._memory_tokens(entry), reported)
            tracker.load.pace = self._usual_pace(entry.pool)
            self._note_predecessors(tracker)
            self.by_id[entry.id] = tracker
        elif tracker.entry is not entry:
            tracker.take_entry(entry)
        return tracker

    def _note_predecessors(self, tracker: Tracker) -> None:
        """Take that what was at the address of a new upstream has ended."""
        for each in self.by_id.values():
            is_older = tracker.created_at - each.created_at > SAME_LIST_S
            if is_older and each.entry.address == tracker.entry.address:
                each.note_replaced()

    def _usual_pace(self, pool: PoolId) -> Pace:
        """Return the middle pace of a pool's engines, with which a new one begins."""
        paces = [each.load.pace for each in self.by_id.values() if each.entry.pool == pool]
        if not paces:
            return Pace()
        factor = median_low([pace.factor for pace in paces])
        return Pace(factor, median_low([pace.start_s for pace in paces]))

    def keep_only(self, upstreams: set[UpstreamId]) -> None:
        """Forget upstreams that are gone and have no request under way."""
        for gone in set(self.by_id) - upstreams:
            if not self.by_id[gone].in_flight:
                self._forget(self.by_id.pop(gone))

    def _forget(self, tracker: Tracker) -> None:
        tracker.connections.close()
        if tracker.reported.is_bounding:
            self._reported_by_start[tracker.entry.instance] = tracker.reported
        if len(self._reported_by_start) > REPORTED_MAX:
            del self._reported_by_start[next(iter(self._reported_by_start))]

    def close_expired(self) -> None:
        """Close idle connections that are too old."""
        for tracker in self.by_id.values():
            tracker.connections.close_expired()
