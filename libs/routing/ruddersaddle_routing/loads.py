"""This host's view of one upstream: reported load, requests sent since, cache, limit, circuit."""

import time
from collections import deque

from ruddersaddle_base.ids import BlockKey, HallId, UpstreamId
from ruddersaddle_upstreams.engines import LoadReport

from ruddersaddle_routing.limits import AdaptiveLimit
from ruddersaddle_routing.retries import Circuit

SENT_RETENTION_S = 10.0
"""Requests sent longer ago than this are included in every report."""
RATE_WINDOW_S = 3.0
"""Window over which this host's send rate is averaged."""
PENDING_TIMEOUT_S = 10.0
"""Blocks of a sent prompt count as cached for this long unless cache events say otherwise."""
REPORT_AGE_MAX_S = 5.0
"""Older reports are ignored."""


class SentRequest:
    """A request sent to an upstream, with the tokens that it needs prefilled."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.at = time.monotonic()
        self.is_done = False

    def finish(self) -> None:
        """Record that the prefill is done or the request was abandoned."""
        self.is_done = True


class Load:
    """One upstream's load as this host estimates it."""

    def __init__(
        self,
        upstream: UpstreamId,
        address: str,
        hall: HallId,
        limit: AdaptiveLimit,
        circuit: Circuit,
    ) -> None:
        self.upstream = upstream
        self.address = address
        self.hall = hall
        self.limit = limit
        self.circuit = circuit
        self.version = ""
        self.leaving = False
        self.cached: set[BlockKey] = set()
        self.report: LoadReport | None = None
        self.running = 0
        self._reported_at = 0.0
        self.measured_at = 0.0
        self._version_at = 0.0
        self._sent: deque[SentRequest] = deque()
        self._pending: dict[BlockKey, float] = {}

    @property
    def may_accept_work(self) -> bool:
        """Whether new work may be sent, now or as soon as a call ends."""
        return not self.leaving and self.circuit.may_pass()

    @property
    def is_open(self) -> bool:
        """Whether new work may be sent now."""
        return self.may_accept_work and self.limit.has_room

    def apply_report(self, report: LoadReport) -> None:
        """Apply a report that was measured `report.age_s` seconds ago."""
        self.report = report
        self._reported_at = time.monotonic()
        self.measured_at = self._reported_at - report.age_s
        if self.measured_at >= self._version_at:
            self.version = report.version
        oldest = self._reported_at - SENT_RETENTION_S
        while self._sent and self._sent[0].at < oldest:
            self._sent.popleft()

    def record_version(self, version: str) -> None:
        """Record the version of weights that the engine itself stated.

        Reports that were measured earlier don't override it.
        """
        self.version = version
        self._version_at = time.monotonic()

    def record_sent(self, tokens: int, keys: list[BlockKey]) -> SentRequest:
        """Record a sent request and the blocks that it will add to the engine's cache."""
        sent = SentRequest(tokens)
        self._sent.append(sent)
        for key in keys:
            self._pending[key] = sent.at
        return sent

    def waiting_tokens(self, hosts: int) -> float:
        """Return the estimated number of tokens that wait for prefill.

        That is the reported number, plus what was sent since the report was measured, minus what
        the engine has computed since. The other hosts are assumed to send at this host's average
        rate, as the balancer spreads callers evenly; what this host sent since the report is too
        small a sample for that.
        """
        now = time.monotonic()
        own = float(sum(sent.tokens for sent in self._sent if not sent.is_done))
        if self.report is None or now - self._reported_at > REPORT_AGE_MAX_S:
            return own
        elapsed_s = now - self.measured_at
        since = sum(sent.tokens for sent in self._sent if sent.at >= self.measured_at)
        recent = sum(sent.tokens for sent in self._sent if sent.at >= now - RATE_WINDOW_S)
        others = (hosts - 1) * recent / RATE_WINDOW_S * elapsed_s
        computed = self.report.prefill_tokens_s * elapsed_s
        return max(own, self.report.waiting_tokens + since + others - computed)

    def prefill_tokens_s(self, default: float) -> float:
        """Return the reported prefill speed, or `default` without a report."""
        return self.report.prefill_tokens_s if self.report else default

    def count_cached(self, keys: list[BlockKey]) -> int:
        """Return how many leading blocks of a chain are cached or soon will be."""
        count = 0
        for key in keys:
            if key not in self.cached and not self._is_pending(key):
                break
            count += 1
        return count

    def count_confirmed(self, keys: list[BlockKey]) -> int:
        """Return how many leading blocks of a chain the engine has reported as cached."""
        count = 0
        for key in keys:
            if key not in self.cached:
                break
            count += 1
        return count

    def _is_pending(self, key: BlockKey) -> bool:
        sent_at = self._pending.get(key)
        if sent_at is None:
            return False
        if time.monotonic() - sent_at <= PENDING_TIMEOUT_S:
            return True
        del self._pending[key]
        return False

    def clear_cache(self) -> None:
        """Clear the view of the cache, after a gap in events or a restart of the engine."""
        self.cached.clear()
        self._pending.clear()

    def apply_event(self, stored: bool, key: BlockKey) -> None:
        """Apply one cache event."""
        self._pending.pop(key, None)
        if stored:
            self.cached.add(key)
        else:
            self.cached.discard(key)
