"""Estimates an engine's queued prefill, memory use and cached parts from what all hosts send to it.

Hosts notify one another of each request that they send, of its first event and of its end. Requests
that were sent and have no first event yet are the prefill that is still queued.
"""

from collections import OrderedDict
from collections.abc import Collection
from itertools import zip_longest

import msgspec
from ruddersaddle_base import clocks

from ruddersaddle_serving.admissions import Backlog
from ruddersaddle_serving.liveness import REPORT_TTL_S
from ruddersaddle_serving.prompts import Part, PartId
from ruddersaddle_serving.service_times import Observation, ServiceTime

REQUEST_TTL_S = 8.0
"""A request without further notices is dropped after this long, because its host may be gone. Runs
of 160 tokens take a few seconds on a full engine."""

INITIAL_RUN_S = 1.0
"""Assumed length of a run before the first observation; known kinds of requests take 0.1 to 5 s."""
RUN_WEIGHT = 0.05
"""Weight of the latest run in the moving average, which covers about the last twenty runs: one to
two seconds on a busy engine."""
RUN_WEIGHT_MAX = 0.3
"""Limit on the weight of one run with many tokens in the average weighted by tokens."""

PRIORITY_LEVELS = 10
"""Priority levels of engines; 0 is the highest."""


class SentRequest(msgspec.Struct):
    """A request sent to the engine.

    `prefill_s` is its nominal prefill time; `sent_at` and `first_at`, the time of its first event,
    are on the boot-time clock.
    """

    priority: int
    prefill_s: float
    tokens: int
    """Memory that it doesn't share with other requests."""
    salt: str
    parts: tuple[Part, ...]
    """Parts that it shares with other requests."""
    sent_at: float
    observation: Observation | None
    """Work ahead of its first event; None if it has to wait for memory first."""
    first_at: float | None = None


class PartUse(msgspec.Struct):
    """A shared part in use by running requests, counted at the priority of the first of them."""

    tokens: int
    priority: int
    count: int = 1


class LoadSum(msgspec.Struct, frozen=True, array_like=True):
    """Load of an engine summed by priority: prefill in milliseconds, memory in tokens."""

    prefill_ms: tuple[int, ...] = ()
    tokens: tuple[int, ...] = ()
    requests: tuple[int, ...] = ()


EMPTY_SUM = LoadSum()


class Confirmation:
    """When a host last confirmed the sums that it reported; shared by all of these."""

    __slots__ = ("at",)

    def __init__(self, at: float = float("-inf")) -> None:
        self.at = at


class EngineLoad:
    """The requests at one engine, by key: their host and the number that the host gave them.

    An engine admits higher priorities first, so a request waits for those of the same or a higher
    priority. Requests that this host gets no notices of are known as sums, by reporting host.
    """

    def __init__(self) -> None:
        self.by_request_key: OrderedDict[tuple[str, int], SentRequest] = OrderedDict()
        self.run_s = INITIAL_RUN_S
        """Mean length of a run from its first event, in seconds; sets how fast slots become
        free."""
        self.memory_run_s = INITIAL_RUN_S
        """Mean weighted by the tokens of runs; sets how fast memory becomes free. A few long runs
        hold most of the memory: the plain mean predicted 0.3 s for waits of 1.5 s."""
        self._mean_tokens = 0.0
        self.service_time = ServiceTime()
        self._prefill_by_priority = [0.0] * PRIORITY_LEVELS
        self._queued_by_priority = [0] * PRIORITY_LEVELS
        """Number of requests in each sum of `_prefill_by_priority`."""
        self._tokens_by_priority = [0] * PRIORITY_LEVELS
        self._requests_by_priority = [0] * PRIORITY_LEVELS
        self._use_by_part: dict[tuple[str, PartId], PartUse] = {}
        self._own_sum: LoadSum | None = None
        """Sum of `by_request_key`; None after a change."""
        self._remote_by_source: dict[str, tuple[LoadSum, Confirmation]] = {}

    @property
    def tokens(self) -> int:
        """Tokens of the requests at the engine."""
        return sum(self._tokens_by_priority) + self._remote_tokens()

    @property
    def request_count(self) -> int:
        """Number of requests at the engine."""
        remote = sum(sum(reported.requests) for reported in self._remote_sums())
        return sum(self._requests_by_priority) + remote

    @property
    def next_expiry_at(self) -> float:
        """When the oldest request is dropped if it doesn't end; infinity if there is none."""
        if not self.by_request_key:
            return float("inf")
        return next(iter(self.by_request_key.values())).sent_at + REQUEST_TTL_S

    def own_sum(self) -> LoadSum:
        """Return the sum of the requests that this host gets notices of."""
        self._expire_old()
        if not self.by_request_key:
            return EMPTY_SUM
        if self._own_sum is None:
            prefill_ms = [round(each * 1000) for each in self._prefill_by_priority]
            self._own_sum = LoadSum(
                _strip_trailing_zeros(prefill_ms),
                _strip_trailing_zeros(self._tokens_by_priority),
                _strip_trailing_zeros(self._requests_by_priority),
            )
        return self._own_sum

    def total_sum(self, excluded_sources: Collection[str] = ()) -> LoadSum:
        """Return the sum of all known requests at the engine, without those of some sources."""
        sums = (self.own_sum(), *self._remote_sums(excluded_sources))
        found = [each for each in sums if each != EMPTY_SUM]
        if len(found) <= 1:
            return found[0] if found else EMPTY_SUM
        return LoadSum(
            _add_rows([each.prefill_ms for each in found]),
            _add_rows([each.tokens for each in found]),
            _add_rows([each.requests for each in found]),
        )

    def apply_sum(
        self,
        source: str,
        reported: LoadSum,
        includes_own: bool,
        confirmation: Confirmation | None = None,
    ) -> None:
        """Apply a reported sum of requests from other hosts.

        It counts for `REPORT_TTL_S` from its last confirmation, by default from now.
        """
        if includes_own and self.by_request_key:
            reported = _subtract(reported, self.own_sum())
        if confirmation is None:
            confirmation = Confirmation(clocks.now_s())
        self._remote_by_source[source] = (reported, confirmation)

    def reported_sum(self, source: str) -> LoadSum | None:
        """Return the sum that a source reported last, expired or not; None if there is none."""
        reported = self._remote_by_source.get(source)
        return None if reported is None else reported[0]

    def _remote_sums(self, excluded_sources: Collection[str] = ()) -> list[LoadSum]:
        oldest_at = clocks.now_s() - REPORT_TTL_S
        return [
            reported
            for source, (reported, confirmation) in self._remote_by_source.items()
            if confirmation.at > oldest_at and source not in excluded_sources
        ]

    def _remote_tokens(self) -> int:
        """Return the tokens of all requests that are known as sums."""
        return sum(sum(reported.tokens) for reported in self._remote_sums())

    def add(
        self,
        request_key: tuple[str, int],
        priority: int,
        prefill_s: float,
        tokens: int,
        fetch_s: float = 0.0,
        capacity_tokens: int = 0,
        salt: str = "",
        parts: tuple[Part, ...] = (),
    ) -> None:
        """Record that a request was sent; `fetch_s` is the time to fetch its parts.

        `tokens` is all memory that it needs, including its shared `parts`.
        """
        self._expire_old()
        priority = min(PRIORITY_LEVELS - 1, max(0, priority))
        fits_memory = capacity_tokens <= 0 or self.tokens + tokens <= capacity_tokens
        queued_s = self._queued_prefill_s(priority + 1, self._remote_sums())
        observation = Observation(queued_s + prefill_s, fetch_s) if fits_memory else None
        own = max(0, tokens - sum(part.tokens for part in parts))
        now = clocks.now_s()
        self._own_sum = None
        self.by_request_key[request_key] = SentRequest(
            priority, prefill_s, own, salt, parts, now, observation
        )
        self._prefill_by_priority[priority] += prefill_s
        self._queued_by_priority[priority] += 1
        self._tokens_by_priority[priority] += own
        self._requests_by_priority[priority] += 1
        for part in parts:
            self._use_part((salt, part.id), part.tokens, priority)

    def _use_part(self, key: tuple[str, PartId], tokens: int, priority: int) -> None:
        """Count a shared part once, for the first request that uses it.

        Counting it for each request gave 230,000 tokens instead of 175,000 when prompts share much.
        """
        use = self._use_by_part.get(key)
        if use is None:
            self._use_by_part[key] = PartUse(tokens, priority)
            self._tokens_by_priority[priority] += tokens
        else:
            use.count += 1

    def _release_part(self, key: tuple[str, PartId]) -> None:
        use = self._use_by_part[key]
        use.count -= 1
        if not use.count:
            del self._use_by_part[key]
            self._tokens_by_priority[use.priority] -= use.tokens

    def record_first_event(self, request_key: tuple[str, int]) -> None:
        """Record the first event of a request, which ends its prefill."""
        sent = self.by_request_key.get(request_key)
        if sent is not None and sent.first_at is None:
            sent.first_at = clocks.now_s()
            if sent.observation is not None:
                self.service_time.record(sent.observation, sent.first_at - sent.sent_at)
            self._drop_prefill(sent)

    def _drop_prefill(self, sent: SentRequest) -> None:
        self._own_sum = None
        self._queued_by_priority[sent.priority] -= 1
        left_s = self._prefill_by_priority[sent.priority] - sent.prefill_s
        # A rounding error that is left over would count as a wait for good, and a request that has
        # to wait may be refused.
        is_last = not self._queued_by_priority[sent.priority]
        self._prefill_by_priority[sent.priority] = 0.0 if is_last else max(0.0, left_s)

    def _record_run(self, run_s: float, tokens: int) -> None:
        self.run_s += RUN_WEIGHT * (run_s - self.run_s)
        if not self._mean_tokens:
            self._mean_tokens = float(tokens)
        self._mean_tokens += RUN_WEIGHT * (tokens - self._mean_tokens)
        weight = min(RUN_WEIGHT_MAX, RUN_WEIGHT * tokens / max(1.0, self._mean_tokens))
        self.memory_run_s += weight * (run_s - self.memory_run_s)

    def end(self, request_key: tuple[str, int]) -> None:
        """Record that a request ended."""
        sent = self.by_request_key.get(request_key)
        if sent is None:
            return
        if sent.first_at is None:
            self._drop_prefill(sent)
        else:
            tokens = sent.tokens + sum(part.tokens for part in sent.parts)
            self._record_run(clocks.now_s() - sent.first_at, tokens)
        self._own_sum = None
        del self.by_request_key[request_key]
        for part in sent.parts:
            self._release_part((sent.salt, part.id))
        self._tokens_by_priority[sent.priority] -= sent.tokens
        self._requests_by_priority[sent.priority] -= 1

    def backlog(self, priority: int) -> Backlog:
        """Return what is queued and running ahead of a request of this priority."""
        levels = priority + 1
        remote = self._remote_sums()
        requests = sum(self._requests_by_priority)
        lower_priority = sum(self._requests_by_priority[levels:])
        tokens = sum(self._tokens_by_priority[:levels])
        for reported in remote:
            requests += sum(reported.requests)
            lower_priority += sum(reported.requests[levels:])
            tokens += sum(reported.tokens[:levels])
        queued_prefill_s = self._queued_prefill_s(levels, remote)
        return Backlog(
            queued_prefill_s=queued_prefill_s * self.service_time.prefill_factor,
            tokens=tokens,
            requests=requests,
            lower_priority=lower_priority,
            run_s=self.run_s,
            memory_run_s=self.memory_run_s,
        )

    def _queued_prefill_s(self, levels: int, remote: list[LoadSum]) -> float:
        """Return the nominal time to prefill everything of the highest priority levels."""
        rows = [reported.prefill_ms[:levels] for reported in remote]
        row = rows[0] if len(rows) == 1 else _sum_rows(rows)
        return sum(self._prefill_by_priority[:levels]) + sum([each / 1000 for each in row])

    def _expire_old(self) -> None:
        oldest_at = clocks.now_s() - REQUEST_TTL_S
        while self.by_request_key:
            request_key, sent = next(iter(self.by_request_key.items()))
            if sent.sent_at > oldest_at:
                return
            self.end(request_key)


def _sum_rows(rows: list[tuple[int, ...]]) -> list[int]:
    """Add rows by priority; rows may omit trailing zeros."""
    total = [0] * PRIORITY_LEVELS
    for row in rows:
        if row:
            for level, value in enumerate(row[:PRIORITY_LEVELS]):
                total[level] += value
    return total


def _add_rows(rows: list[tuple[int, ...]]) -> tuple[int, ...]:
    """Add rows by priority that have no trailing zeros; neither has the result."""
    return tuple(map(sum, zip_longest(*rows, fillvalue=0)))


def _strip_trailing_zeros(row: list[int]) -> tuple[int, ...]:
    end = len(row)
    for value in reversed(row):
        if value:
            return tuple(row[:end])
        end -= 1
    return ()


def _subtract(reported: LoadSum, own: LoadSum) -> LoadSum:
    """Return a reported sum without this host's own requests, which it includes."""
    return LoadSum(
        _subtract_row(reported.prefill_ms, own.prefill_ms),
        _subtract_row(reported.tokens, own.tokens),
        _subtract_row(reported.requests, own.requests),
    )


def _subtract_row(row: tuple[int, ...], subtracted: tuple[int, ...]) -> tuple[int, ...]:
    padded = (*subtracted, *(0,) * (len(row) - len(subtracted)))
    return tuple(max(0, each - decrease) for each, decrease in zip(row, padded, strict=False))


class EngineMemory:
    """The parts an engine probably has cached: the most recently used that fit its memory."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens_by_part: OrderedDict[tuple[str, PartId], int] = OrderedDict()
        self._used = 0

    def record_use(self, salt: str, parts: tuple[Part, ...]) -> None:
        """Record that a request with these parts was sent to the engine."""
        for part in parts:
            key = (salt, part.id)
            if key not in self._tokens_by_part:
                self._used += part.tokens
            self._tokens_by_part[key] = part.tokens
            self._tokens_by_part.move_to_end(key)
        while self._used > self.capacity_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._used -= tokens

    def cached_prefix_tokens(self, salt: str, parts: tuple[Part, ...]) -> int:
        """Return the tokens of the leading parts that the engine probably has cached."""
        tokens = 0
        for part in parts:
            if (salt, part.id) not in self._tokens_by_part:
                return tokens
            tokens += part.tokens
        return tokens

    def clear(self) -> None:
        """Clear all parts: loading new weights invalidates the cache."""
        self._tokens_by_part.clear()
        self._used = 0
