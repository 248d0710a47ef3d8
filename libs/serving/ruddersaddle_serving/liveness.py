"""Detects unresponsive upstreams: requests were sent, and no host has received anything since.

Load pattern: a third of the engines becomes unreachable while a hundred or more hosts send to all
of them. If each host had to detect that by itself, it would cost one caller its latency target for
each pair of host and engine (3,000 pairs with 195 hosts and 16 unreachable engines), and again each
time that the host tries the engine again. Hosts therefore share what they receive from each
upstream, and two of them probe an unresponsive one. Nothing here reads a clock: times are passed
in, in seconds of the boot-time clock.
"""

from collections.abc import Collection

import msgspec
from ruddersaddle_base.ids import HostId

SILENCE_TIMEOUT_S = 0.4
"""An upstream counts as unresponsive if no host received anything from it until this long after a
response was due. Busy engines respond ten times a second, so the margin is for rarely used ones: a
long prompt alone on an engine that prefills at half the usual rate is 0.3 s late."""
RESTART_MIN_S = 1.0
"""An upstream that was unresponsive for at least this long may have restarted and be cold."""
REPORT_TTL_S = 1.0
"""Reports of other hosts on an upstream are valid for this long. Hall readers report twelve times a
second, and a run takes about this long."""
UNANSWERED_MAX = 64
"""Limit on the requests watched per upstream; one overdue request suffices to detect it."""

RequestKey = tuple[str | HostId, int]
"""Identifies a request: its host, and the number that the host gave it."""


class Unanswered(msgspec.Struct, frozen=True):
    """A request without a response so far; it is overdue after `due_at`."""

    sent_at: float
    due_at: float


class Liveness:
    """Responses of one upstream, and the requests that still wait for one."""

    def __init__(self) -> None:
        self.last_response_at = float("-inf")
        """When any host that reports to this one last received anything from it."""
        self.region_response_at = float("-inf")
        """The same without what other regions reported. Each report seems younger by the time that
        it was on its way, so regions that repeated one another's would keep an upstream alive."""
        self.recovered_at = float("-inf")
        """When it last responded again after being unresponsive long enough to have restarted."""
        self._unanswered_by_request: dict[RequestKey, Unanswered] = {}
        """Requests sent since `last_response_at`."""
        self._evidence_at = float("-inf")
        """When the latest request was sent that was overdue or got no connection."""
        self._reported_by_source: dict[str, tuple[float, float]] = {}

    def record_sent(self, request_key: RequestKey, now: float, expected_s: float) -> None:
        """Record a request whose response is expected within `expected_s`."""
        if len(self._unanswered_by_request) < UNANSWERED_MAX:
            due_at = now + expected_s + SILENCE_TIMEOUT_S
            self._unanswered_by_request[request_key] = Unanswered(now, due_at)

    def record_response(self, at: float, is_elsewhere: bool = False) -> None:
        """Record that something was received from the upstream at a time.

        `is_elsewhere` says that another region reports it.
        """
        if not is_elsewhere:
            self.region_response_at = max(self.region_response_at, at)
        if at <= self.last_response_at:
            return
        had_responded = self.last_response_at != float("-inf")
        if (
            had_responded
            and at - self.last_response_at >= RESTART_MIN_S
            and self.unresponsive_since(at) is not None
        ):
            self.recovered_at = at
        self.last_response_at = at
        if not self._unanswered_by_request:
            return
        self._unanswered_by_request = {
            request_key: sent
            for request_key, sent in self._unanswered_by_request.items()
            if sent.sent_at > at
        }

    def record_connect_failure(self, request_key: RequestKey) -> None:
        """Record that no connection could be opened for a request."""
        sent = self._unanswered_by_request.pop(request_key, None)
        if sent is not None:
            self._evidence_at = max(self._evidence_at, sent.sent_at)

    def record_abandoned(self, request_key: RequestKey, now: float) -> None:
        """Record that a request was cancelled or timed out before any response."""
        sent = self._unanswered_by_request.pop(request_key, None)
        if sent is not None and now > sent.due_at:
            self._evidence_at = max(self._evidence_at, sent.sent_at)

    def apply_report(self, source: str, unresponsive_since: float | None, now: float) -> None:
        """Apply another host's report: since when the upstream is unresponsive, or None."""
        if unresponsive_since is None:
            self._reported_by_source.pop(source, None)
        else:
            self._reported_by_source[source] = (unresponsive_since, now)

    @property
    def next_due_at(self) -> float:
        """When the next request is overdue if nothing is received; infinity if none waits."""
        if not self._unanswered_by_request:
            return float("inf")
        return min(sent.due_at for sent in self._unanswered_by_request.values())

    def observed_unresponsive_since(self, now: float) -> float | None:
        """Return since when it is unresponsive by the requests that this host knows of, or None."""
        since = self._evidence_at
        for sent in self._unanswered_by_request.values():
            if now > sent.due_at and sent.sent_at > since:
                since = sent.sent_at
        return since if since > self.last_response_at else None

    def unresponsive_since(
        self, now: float, excluded_sources: Collection[str] = ()
    ) -> float | None:
        """Return since when it is unresponsive, reports of other hosts included, or None.

        Reports of `excluded_sources` are left out.
        """
        own = self.observed_unresponsive_since(now)
        if not self._reported_by_source:
            return own
        reported = [
            since
            for source, (since, reported_at) in self._reported_by_source.items()
            if now - reported_at < REPORT_TTL_S
            and since > self.last_response_at
            and source not in excluded_sources
        ]
        return max(reported, default=None) if own is None else max([own, *reported])
