"""This host's own paths to upstreams, as opposed to whether other hosts reach them.

A host may be partitioned from some upstreams or from all of them while other hosts reach them, so
that its own failures don't show that an upstream is down. A path is lost once a connection can't be
opened, or bytes sent on an open one are not acknowledged; it is back with the next answer or new
connection. All times are of the boot-time clock, in seconds.
"""

import logging
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import UpstreamId

logger = logging.getLogger(__name__)

ISOLATED_MIN = 2
"""Paths that were lost since anything was last received from any upstream, from which on this host
counts as partitioned from all upstreams. One lost path may be that upstream's own failure."""
ELSEWHERE_MARGIN_S = 0.2
"""Other hosts count as reaching an upstream if it answered them this long after the path to it was
lost. Reports of earlier answers arrive up to this late."""
UNACKNOWLEDGED_S = 0.3
"""Bytes that an upstream's host has not acknowledged for this long show that the path is lost."""
CHECK_INTERVAL_S = 0.15


class ReachedBy(Enum):
    """Which hosts reach an upstream, as far as this host knows."""

    THIS_HOST = "this host"
    OTHER_HOSTS = "other hosts"
    NOBODY = "nobody"


class PathBelief(msgspec.Struct, frozen=True):
    """Which hosts reach an upstream, and for how long this host has had no path to it."""

    reached_by: ReachedBy
    age_s: float = 0.0
    is_tested: bool = False
    """Whether the path itself was tried and lost, and not only those to other upstreams."""


class Acknowledgement(Enum):
    """Whether an upstream's host has acknowledged the bytes of a request."""

    COMPLETE = "complete"
    PENDING = "pending"
    """Not yet, which says nothing about the path: a long body is acknowledged as it is read."""
    OVERDUE = "overdue"


class WaitingRequest(Protocol):
    """A request that was sent to an upstream and waits for the head of its answer."""

    def check_acknowledgement(self) -> Acknowledgement:
        """Return whether its bytes are acknowledged, some time after they were sent."""

    def record_path_lost(self) -> None:
        """Apply that its bytes were not acknowledged in time; it goes on waiting."""


class UpstreamPath:
    """The path to one instance of an upstream."""

    def __init__(self, paths: "UpstreamPaths", upstream: UpstreamId) -> None:
        self.paths = paths
        self.upstream = upstream
        self.created_at = clocks.now_s()
        self._lost_at: float | None = None
        self._is_stalled = False

    @property
    def lost_at(self) -> float | None:
        """When the path was lost; None if there is one, as far as is known.

        With all paths lost, those that were not tried since are lost as well.
        """
        isolated_at = self.paths.isolated_at
        if self._lost_at is None and isolated_at is not None and self.created_at < isolated_at:
            return isolated_at
        return self._lost_at

    @property
    def is_stalled(self) -> bool:
        """Whether open connections are lost as well as new ones."""
        return self._is_stalled or self.paths.isolated_at is not None

    def record_reached(self) -> None:
        """Record an answer of the upstream, or a new connection to it."""
        self._lost_at = None
        self._is_stalled = False
        self.paths.record_reached(self.upstream)

    def record_refused(self, is_known_down: bool) -> None:
        """Record that no connection could be opened.

        `is_known_down` says that no other host reaches the upstream either, so that the failure
        says nothing about this host's paths.
        """
        self._record_lost(is_known_down)

    def record_stalled(self) -> None:
        """Record that bytes sent on an open connection are not acknowledged."""
        self._is_stalled = True
        self._record_lost(is_known_down=False)

    def _record_lost(self, is_known_down: bool) -> None:
        if self._lost_at is None:
            self._lost_at = clocks.now_s()
        self.paths.record_lost(self.upstream, is_known_down)

    def belief(self, answered_at: float, has_idle: bool) -> PathBelief:
        """Return which hosts reach the upstream.

        `answered_at` is when it last answered any host, `has_idle` whether there is an open
        connection that is free.
        """
        lost_at = self.lost_at
        if lost_at is None:
            return PathBelief(ReachedBy.THIS_HOST)
        if has_idle and not self.is_stalled:
            return PathBelief(ReachedBy.THIS_HOST)
        is_elsewhere = answered_at > lost_at + ELSEWHERE_MARGIN_S
        reached_by = ReachedBy.OTHER_HOSTS if is_elsewhere else ReachedBy.NOBODY
        is_tested = self._lost_at is not None
        return PathBelief(reached_by, clocks.now_s() - lost_at, is_tested)


class UpstreamPaths:
    """The paths to all upstreams, and whether this host has any."""

    def __init__(self) -> None:
        self.isolated_at: float | None = None
        """Since when this host has no path to any upstream; None if it may have one."""
        self.isolations = 0
        """Number of times that this host lost all paths."""
        self.listeners: list[Callable[[], None]] = []
        """Called when a path was lost."""
        self._lost_since_reached: set[UpstreamId] = set()
        self._lost: set[UpstreamId] = set()
        self._sent_at_by_request: dict[WaitingRequest, float] = {}
        """Requests whose bytes may not be acknowledged yet, in the order of sending."""
        self._is_checking = False

    @property
    def is_isolated(self) -> bool:
        """Whether this host has no path to any upstream."""
        return self.isolated_at is not None

    @property
    def has_lost(self) -> bool:
        """Whether any path is lost."""
        return bool(self._lost)

    @property
    def lost_count(self) -> int:
        """Number of upstreams to which the path is lost."""
        return len(self._lost)

    def record_reached(self, upstream: UpstreamId) -> None:
        """Record that an upstream was reached."""
        self._lost.discard(upstream)
        self._lost_since_reached.clear()
        if self.isolated_at is not None:
            since_s = self._end_isolation()
            logger.info(
                "This host reaches upstreams again after %.1f s.",
                since_s,
                extra={"upstream": upstream, "lost": len(self._lost)},
            )

    def record_lost(self, upstream: UpstreamId, is_known_down: bool = False) -> None:
        """Record that the path to an upstream was lost, which may be known to be down."""
        self._lost.add(upstream)
        if not is_known_down:
            self._lost_since_reached.add(upstream)
        if self.isolated_at is None and len(self._lost_since_reached) >= ISOLATED_MIN:
            self.isolated_at = clocks.now_s()
            self.isolations += 1
            logger.warning(
                "This host has no path to any upstream: all %d that it tried since the last answer "
                "are lost.",
                len(self._lost_since_reached),
                extra={"upstreams": sorted(self._lost_since_reached)},
            )
        for listener in self.listeners:
            listener()

    def _end_isolation(self) -> float:
        """Apply that there may be a path, and return for how long there was none, in seconds."""
        since_s = clocks.now_s() - self.isolated_at
        self.isolated_at = None
        return since_s

    def keep_only(self, upstreams: set[UpstreamId]) -> None:
        """Forget upstreams that are gone.

        Only lost paths are probed. Without any, nothing would end an isolation.
        """
        self._lost &= upstreams
        self._lost_since_reached &= upstreams
        if self.isolated_at is not None and not self._lost:
            since_s = self._end_isolation()
            logger.info("All upstreams to which paths were lost %.1f s ago are gone.", since_s)

    # Unacknowledged bytes

    def watch(self, request: WaitingRequest, sent_at: float) -> None:
        """Check whether the bytes of a request are acknowledged in time."""
        self._sent_at_by_request[request] = sent_at
        if not self._is_checking:
            self._is_checking = True
            eventlet.spawn_after(CHECK_INTERVAL_S, self._check_waiting)

    def unwatch(self, request: WaitingRequest) -> None:
        """End the check of a request."""
        self._sent_at_by_request.pop(request, None)

    def _check_waiting(self) -> None:
        self._is_checking = False
        try:
            self.check_waiting()
        except Exception:
            logger.exception("Requests that wait for upstreams could not be checked.")
        if self._sent_at_by_request and not self._is_checking:
            self._is_checking = True
            eventlet.spawn_after(CHECK_INTERVAL_S, self._check_waiting)

    def check_waiting(self) -> None:
        """Record the paths of requests whose bytes were not acknowledged in time as lost."""
        due_before = clocks.now_s() - UNACKNOWLEDGED_S
        for request, sent_at in list(self._sent_at_by_request.items()):
            if sent_at > due_before:
                return
            acknowledgement = request.check_acknowledgement()
            if acknowledgement is Acknowledgement.PENDING:
                continue
            del self._sent_at_by_request[request]
            if acknowledgement is Acknowledgement.OVERDUE:
                request.record_path_lost()
