"""What an engine has to read and what it keeps, from what all hosts send to it.

Hosts tell one another of each request that they send, when its first event came, and when it ended.
What was sent and has no first event yet is what the engine still has to read.
"""

import time
from collections import OrderedDict

import msgspec

from ruddersaddle_serving.prompts import Part, PartId

FORGET_S = 8.0
"""A request of which nothing more was heard is forgotten after this long: its host may be gone. The
longest runs of the sheets take a few seconds."""


RUN_START_S = 1.0
"""Length of a run before any was seen."""
RUN_WEIGHT = 0.05
"""Weight of the newest run in the mean: about the last twenty count, a second or two of them."""


PRIORITIES = 10
"""Steps of urgency that engines know; 0 goes first."""


class Sent(msgspec.Struct):
    """A request that was sent to the engine. `work_s` is the time that reading it takes."""

    priority: int
    work_s: float
    tokens: int
    at: float
    first_at: float | None = None


class EngineLoad:
    """The requests at one engine, by the number that their host gave them.

    An engine lets the more urgent in first, so what a request waits for is what is as urgent as it.
    """

    def __init__(self) -> None:
        self.by_number: OrderedDict[tuple[str, int], Sent] = OrderedDict()
        self.run_s = RUN_START_S
        """Mean length of a run from its first event, in seconds."""
        self._work_by_priority = [0.0] * PRIORITIES
        self._tokens_by_priority = [0] * PRIORITIES

    @property
    def tokens(self) -> int:
        """Tokens of the requests at the engine."""
        return sum(self._tokens_by_priority)

    def add(self, number: tuple[str, int], priority: int, work_s: float, tokens: int) -> None:
        """Take that a request was sent."""
        self._forget_old()
        priority = min(PRIORITIES - 1, max(0, priority))
        self.by_number[number] = Sent(priority, work_s, tokens, time.monotonic())
        self._work_by_priority[priority] += work_s
        self._tokens_by_priority[priority] += tokens

    def note_first(self, number: tuple[str, int]) -> None:
        """Take that the first event of a request came, so that its prompt was read."""
        sent = self.by_number.get(number)
        if sent is not None and sent.first_at is None:
            sent.first_at = time.monotonic()
            left_s = self._work_by_priority[sent.priority] - sent.work_s
            self._work_by_priority[sent.priority] = max(0.0, left_s)

    def end(self, number: tuple[str, int]) -> None:
        """Take that a request ended."""
        sent = self.by_number.get(number)
        if sent is None:
            return
        if sent.first_at is not None:
            run_s = time.monotonic() - sent.first_at
            self.run_s += RUN_WEIGHT * (run_s - self.run_s)
        self.note_first(number)
        del self.by_number[number]
        self._tokens_by_priority[sent.priority] -= sent.tokens

    def wait_s(self, priority: int, tokens: int, capacity_tokens: int) -> float:
        """Return how long a request waits for what is as urgent: for reading, or for memory.

        `tokens` is what it needs itself, `capacity_tokens` the engine's memory.
        """
        reading_s = sum(self._work_by_priority[: priority + 1])
        taken = sum(self._tokens_by_priority[: priority + 1])
        over = taken + tokens - capacity_tokens
        if over <= 0 or capacity_tokens <= 0:
            return reading_s
        return max(reading_s, self.run_s * over / capacity_tokens)

    def _forget_old(self) -> None:
        oldest_at = time.monotonic() - FORGET_S
        while self.by_number:
            number, sent = next(iter(self.by_number.items()))
            if sent.at > oldest_at:
                return
            self.end(number)


class EngineMemory:
    """The parts that an engine probably keeps: those used last, as far as its memory goes."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens_by_part: OrderedDict[tuple[str, PartId], int] = OrderedDict()
        self._used = 0

    def use(self, salt: str, parts: tuple[Part, ...]) -> None:
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

    def leading_tokens(self, salt: str, parts: tuple[Part, ...]) -> int:
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
