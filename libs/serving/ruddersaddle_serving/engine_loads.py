"""What an engine has to read and what it keeps, from what all hosts send to it.

Hosts tell one another of each request that they send, when its first event came, and when it ended.
What was sent and has no first event yet is what the engine still has to read.
"""

from collections import OrderedDict

import msgspec
from ruddersaddle_base import clocks

from ruddersaddle_serving.admissions import Backlog
from ruddersaddle_serving.paces import Observation, ServiceTime
from ruddersaddle_serving.prompts import Part, PartId
from ruddersaddle_serving.silences import REPORT_TTL_S

REQUEST_TTL_S = 8.0
"""A request of which nothing more was heard is forgotten after this long: its host may be gone.
Runs of 160 tokens take a few seconds where an engine is full."""

INITIAL_RUN_S = 1.0
"""Length of a run before any was seen; the known kinds take 0.1 to 5 s."""
RUN_WEIGHT = 0.05
"""Weight of the newest run in the mean: about the last twenty count, a second or two of them."""
RUN_WEIGHT_MAX = 0.3
"""Most that one run of many tokens weighs in the mean length by memory."""

PRIORITY_LEVELS = 10
"""Steps of urgency that engines know; 0 goes first."""


class Sent(msgspec.Struct):
    """A request sent to the engine; `prefill_s` is its nominal prefill time."""

    priority: int
    prefill_s: float
    tokens: int
    """Memory that it needs by itself."""
    salt: str
    parts: tuple[Part, ...]
    """Parts that it shares with other requests."""
    at: float
    observation: Observation | None
    """What stands before its first event; None where it waits for memory first."""
    first_at: float | None = None


class PartUse(msgspec.Struct):
    """A shared part that running requests use, counted at the urgency of the first of them."""

    tokens: int
    priority: int
    count: int = 1


class LoadSum(msgspec.Struct, frozen=True, array_like=True):
    """What stands at an engine, summed by urgency: reading in milliseconds, memory in tokens."""

    prefill_ms: tuple[int, ...] = ()
    tokens: tuple[int, ...] = ()
    requests: tuple[int, ...] = ()


class EngineLoad:
    """The requests at one engine, by the number that their host gave them.

    An engine lets the more urgent in first, so what a request waits for is what is as urgent as it.
    Requests that this host does not hear of one by one come as sums, by whom they were reported.
    """

    def __init__(self) -> None:
        self.by_number: OrderedDict[tuple[str, int], Sent] = OrderedDict()
        self.run_s = INITIAL_RUN_S
        """Mean length of a run from its first event, in seconds; slots come free by it."""
        self.memory_run_s = INITIAL_RUN_S
        """The same weighed by the tokens of runs; memory comes free by it. Few long runs hold most
        of it: by the plain mean, waits of 1.5 s were predicted as 0.3 s."""
        self._mean_tokens = 0.0
        self.service_time = ServiceTime()
        self._prefill_by_priority = [0.0] * PRIORITY_LEVELS
        self._tokens_by_priority = [0] * PRIORITY_LEVELS
        self._requests_by_priority = [0] * PRIORITY_LEVELS
        self._uses_by_part: dict[tuple[str, PartId], PartUse] = {}
        self._remote_by_source: dict[str, tuple[LoadSum, float]] = {}

    @property
    def tokens(self) -> int:
        """Tokens of the requests at the engine."""
        return sum(self._tokens_by_priority) + sum(self._remote_tokens())

    def own_sum(self) -> LoadSum:
        """Return the sum of the requests that this host hears of one by one."""
        self._expire_old()
        prefill_ms = _strip_trailing_zeros(
            [round(each * 1000) for each in self._prefill_by_priority]
        )
        tokens = _strip_trailing_zeros(self._tokens_by_priority)
        return LoadSum(prefill_ms, tokens, _strip_trailing_zeros(self._requests_by_priority))

    def total_sum(self) -> LoadSum:
        """Return the sum of all requests that are known to be at the engine."""
        sums = [self.own_sum(), *self._remote_sums()]
        return LoadSum(
            _strip_trailing_zeros(_sum_rows([each.prefill_ms for each in sums])),
            _strip_trailing_zeros(_sum_rows([each.tokens for each in sums])),
            _strip_trailing_zeros(_sum_rows([each.requests for each in sums])),
        )

    def apply_sum(self, source: str, reported: LoadSum, includes_own: bool) -> None:
        """Take a sum of requests that were sent elsewhere; it counts for `REPORT_TTL_S`."""
        if includes_own and self.by_number:
            reported = _subtract(reported, self.own_sum())
        self._remote_by_source[source] = (reported, clocks.now_s())

    def _remote_sums(self) -> list[LoadSum]:
        oldest_at = clocks.now_s() - REPORT_TTL_S
        return [reported for reported, at in self._remote_by_source.values() if at > oldest_at]

    def _remote_tokens(self) -> list[int]:
        return _sum_rows([reported.tokens for reported in self._remote_sums()])

    def _remote_requests(self) -> list[int]:
        return _sum_rows([reported.requests for reported in self._remote_sums()])

    def _remote_prefill(self) -> list[float]:
        return [
            prefill_ms / 1000
            for prefill_ms in _sum_rows([reported.prefill_ms for reported in self._remote_sums()])
        ]

    def add(
        self,
        number: tuple[str, int],
        priority: int,
        prefill_s: float,
        tokens: int,
        fetch_s: float = 0.0,
        capacity_tokens: int = 0,
        salt: str = "",
        parts: tuple[Part, ...] = (),
    ) -> None:
        """Take that a request was sent; `fetch_s` is the time until its parts are fetched.

        `tokens` is all memory that it needs, that of its shared `parts` included.
        """
        self._expire_old()
        priority = min(PRIORITY_LEVELS - 1, max(0, priority))
        fits_memory = capacity_tokens <= 0 or self.tokens + tokens <= capacity_tokens
        queued_prefill_s = self._queued_prefill_s(priority) + prefill_s
        observation = Observation(queued_prefill_s, fetch_s) if fits_memory else None
        own = max(0, tokens - sum(part.tokens for part in parts))
        now = clocks.now_s()
        self.by_number[number] = Sent(priority, prefill_s, own, salt, parts, now, observation)
        self._prefill_by_priority[priority] += prefill_s
        self._tokens_by_priority[priority] += own
        self._requests_by_priority[priority] += 1
        for part in parts:
            self._use_part((salt, part.id), part.tokens, priority)

    def _use_part(self, key: tuple[str, PartId], tokens: int, priority: int) -> None:
        """Count a shared part once, for the first request that uses it.

        Counted for each request, 230,000 tokens stood for 175,000 where many prompts share much.
        """
        use = self._uses_by_part.get(key)
        if use is None:
            self._uses_by_part[key] = PartUse(tokens, priority)
            self._tokens_by_priority[priority] += tokens
        else:
            use.count += 1

    def _release_part(self, key: tuple[str, PartId]) -> None:
        use = self._uses_by_part[key]
        use.count -= 1
        if not use.count:
            del self._uses_by_part[key]
            self._tokens_by_priority[use.priority] -= use.tokens

    def record_first_event(self, number: tuple[str, int]) -> None:
        """Take that the first event of a request came, so that its prompt was read."""
        sent = self.by_number.get(number)
        if sent is not None and sent.first_at is None:
            sent.first_at = clocks.now_s()
            if sent.observation is not None:
                self.service_time.record(sent.observation, sent.first_at - sent.at)
            self._drop_prefill(sent)

    def _drop_prefill(self, sent: Sent) -> None:
        left_s = self._prefill_by_priority[sent.priority] - sent.prefill_s
        self._prefill_by_priority[sent.priority] = max(0.0, left_s)

    def _record_run(self, run_s: float, tokens: int) -> None:
        self.run_s += RUN_WEIGHT * (run_s - self.run_s)
        if not self._mean_tokens:
            self._mean_tokens = float(tokens)
        self._mean_tokens += RUN_WEIGHT * (tokens - self._mean_tokens)
        weight = min(RUN_WEIGHT_MAX, RUN_WEIGHT * tokens / max(1.0, self._mean_tokens))
        self.memory_run_s += weight * (run_s - self.memory_run_s)

    def end(self, number: tuple[str, int]) -> None:
        """Take that a request ended."""
        sent = self.by_number.get(number)
        if sent is None:
            return
        if sent.first_at is None:
            self._drop_prefill(sent)
        else:
            tokens = sent.tokens + sum(part.tokens for part in sent.parts)
            self._record_run(clocks.now_s() - sent.first_at, tokens)
        del self.by_number[number]
        for part in sent.parts:
            self._release_part((sent.salt, part.id))
        self._tokens_by_priority[sent.priority] -= sent.tokens
        self._requests_by_priority[sent.priority] -= 1

    def backlog(self, priority: int) -> Backlog:
        """Return what stands at the engine for a request of this urgency."""
        steps = priority + 1
        requests = _sum_rows([tuple(self._requests_by_priority), tuple(self._remote_requests())])
        return Backlog(
            queued_prefill_s=self._queued_prefill_s(priority) * self.service_time.factor,
            tokens=sum(self._tokens_by_priority[:steps]) + sum(self._remote_tokens()[:steps]),
            requests=sum(requests),
            lower_priority=sum(requests[steps:]),
            run_s=self.run_s,
            memory_run_s=self.memory_run_s,
        )

    def _queued_prefill_s(self, priority: int) -> float:
        """Return the nominal time until all that is as urgent is read."""
        steps = priority + 1
        return sum(self._prefill_by_priority[:steps]) + sum(self._remote_prefill()[:steps])

    def _expire_old(self) -> None:
        oldest_at = clocks.now_s() - REQUEST_TTL_S
        while self.by_number:
            number, sent = next(iter(self.by_number.items()))
            if sent.at > oldest_at:
                return
            self.end(number)


def _sum_rows(rows: list[tuple[int, ...]]) -> list[int]:
    """Add rows by urgency, each of which may lack zeros at its end."""
    total = [0] * PRIORITY_LEVELS
    for row in rows:
        for step, value in enumerate(row[:PRIORITY_LEVELS]):
            total[step] += value
    return total


def _strip_trailing_zeros(row: list[int]) -> tuple[int, ...]:
    end = len(row)
    while end and not row[end - 1]:
        end -= 1
    return tuple(row[:end])


def _subtract(reported: LoadSum, own: LoadSum) -> LoadSum:
    """Return the rest of a sum that counted the own requests as well."""
    return LoadSum(
        _subtract_row(reported.prefill_ms, own.prefill_ms),
        _subtract_row(reported.tokens, own.tokens),
        _subtract_row(reported.requests, own.requests),
    )


def _subtract_row(row: tuple[int, ...], taken: tuple[int, ...]) -> tuple[int, ...]:
    padded = (*taken, *(0,) * (len(row) - len(taken)))
    return tuple(max(0, each - less) for each, less in zip(row, padded, strict=False))


class EngineMemory:
    """The parts that an engine probably keeps: those used last, as far as its memory goes."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens_by_part: OrderedDict[tuple[str, PartId], int] = OrderedDict()
        self._used = 0

    def record_use(self, salt: str, parts: tuple[Part, ...]) -> None:
        """Take that a request with these parts was sent to the engine."""
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
        """Return the tokens of the leading parts that the engine probably keeps."""
        tokens = 0
        for part in parts:
            if (salt, part.id) not in self._tokens_by_part:
                return tokens
            tokens += part.tokens
        return tokens

    def clear(self) -> None:
        """Forget everything: new weights drop all that was kept."""
        self._tokens_by_part.clear()
        self._used = 0
