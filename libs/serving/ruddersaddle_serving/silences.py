"""Whether an upstream has fallen silent: it was sent something, and nobody has heard of it since.

Load pattern: a third of the engines goes dark while some hundred hosts send to all of them. Each
host alone finds a dark engine with a request of a caller, which costs that caller its latency
target, and tries again after a pause: with 195 hosts and 16 dark engines 3,000 pairs of host and
engine. Hosts therefore share what they hear of each upstream, and two of them probe a silent one.
Nothing here reads a clock: moments are handed in, in seconds of the steady clock.
"""

import msgspec
from ruddersaddle_base.ids import HostId

SILENCE_TIMEOUT_S = 0.4
"""An upstream that nobody has heard of is silent this long after a request should have been
answered. Engines in use are heard of ten times a second, so that this waits for rare ones: a long
prompt alone on an engine that reads at half the usual pace is 0.3 s late."""
RESTART_MIN_S = 1.0
"""In a silence of this length an upstream may have started anew."""
REPORT_TTL_S = 1.0
"""What another host told of an upstream counts this long; readers tell twelve times a second, and a
run takes about as long."""
UNANSWERED_MAX = 64
"""Most requests that are watched at one upstream; one that is overdue is enough."""

RequestKey = tuple[str | HostId, int]
"""A request: its host, and the host's own number of it."""


class Unanswered(msgspec.Struct, frozen=True):
    """A request that was sent; it shows silence once `due_at` is over."""

    sent_at: float
    due_at: float


class Liveness:
    """Signs of life of one upstream, and the requests that still wait for one."""

    def __init__(self) -> None:
        self.last_response_at = float("-inf")
        """When anything was last heard of it, by any host that tells this one."""
        self.recovered_at = float("-inf")
        """When it was last heard of again after a silence in which it may have started anew."""
        self._unanswered_by_number: dict[RequestKey, Unanswered] = {}
        """Requests that were sent since `last_response_at`."""
        self._evidence_at = float("-inf")
        """When the newest request left that was overdue or got no connection."""
        self._reported_by_source: dict[str, tuple[float, float]] = {}

    def record_sent(self, number: RequestKey, now: float, expected_s: float) -> None:
        """Take that a request was sent that should be answered in `expected_s`."""
        if len(self._unanswered_by_number) < UNANSWERED_MAX:
            due_at = now + expected_s + SILENCE_TIMEOUT_S
            self._unanswered_by_number[number] = Unanswered(now, due_at)

    def record_response(self, at: float) -> None:
        """Take that something came from the upstream at a moment."""
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
        self._unanswered_by_number = {
            number: sent for number, sent in self._unanswered_by_number.items() if sent.sent_at > at
        }

    def record_connect_failure(self, number: RequestKey) -> None:
        """Take that no connection for a request came about."""
        sent = self._unanswered_by_number.pop(number, None)
        if sent is not None:
            self._evidence_at = max(self._evidence_at, sent.sent_at)

    def record_abandoned(self, number: RequestKey, now: float) -> None:
        """Take that a request ended and that nothing was heard: its caller or its time ended it."""
        sent = self._unanswered_by_number.pop(number, None)
        if sent is not None and now > sent.due_at:
            self._evidence_at = max(self._evidence_at, sent.sent_at)

    def apply_report(self, source: str, unresponsive_since: float | None, now: float) -> None:
        """Take what another host knows: since when the upstream is silent, or None."""
        if unresponsive_since is None:
            self._reported_by_source.pop(source, None)
        else:
            self._reported_by_source[source] = (unresponsive_since, now)

    def observed_unresponsive_since(self, now: float) -> float | None:
        """Return since when the upstream is silent by the requests this host hears of, or None."""
        unanswered = self._unanswered_by_number.values()
        overdue = [sent.sent_at for sent in unanswered if now > sent.due_at]
        since = max([self._evidence_at, *overdue])
        return since if since > self.last_response_at else None

    def unresponsive_since(self, now: float) -> float | None:
        """Return since when the upstream is silent by all that is known, or None."""
        own = self.observed_unresponsive_since(now)
        reported = [
            since
            for since, reported_at in self._reported_by_source.values()
            if now - reported_at < REPORT_TTL_S and since > self.last_response_at
        ]
        return max(reported, default=None) if own is None else max([own, *reported])
