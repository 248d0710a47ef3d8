"""What one context store holds, as this host knows it."""

import logging
import random
from collections import deque
from collections.abc import Iterable

from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import is_whole
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, ModelId

from ruddersaddle_serving.ports import StoreChange
from ruddersaddle_serving.prompts import PartId
from ruddersaddle_serving.routes import ContextStore

logger = logging.getLogger(__name__)

LISTING_TRUST_S = 2.0
"""A listing counts this long after the question was sent that last confirmed it. A question waits
up to `LONG_POLL_S` for changes; hosts that are told by another one ask it each half second."""
FETCH_TIMEOUT_S = 1.4
"""A fetch that takes longer is thrown away by the engine. Reading a prompt of 30,000 tokens
anew takes 0.3 to 0.6 s."""
RESTART_SAVE_PAUSE_S = 4.2
"""Nothing is saved this long after a new epoch of a store was first seen: the earlier listing is
trusted for `LISTING_TRUST_S` at most, and a fetch begun at its end may take `FETCH_TIMEOUT_S`."""
FULL_FRACTION = 0.97
"""Above this share of its capacity nothing more is saved to a store."""
DEFAULT_TOKEN_BYTES = 32_768
"""Memory of one token where the configuration doesn't say; it only weighs moving against reading
again. Engines of the known kinds take 18,000 to 35,000 bytes."""
CROSS_HALL_FACTOR = 2.0
"""A move between halls takes twice as long (the platform's page)."""
TRANSFER_QUEUE_FACTOR = 1.5
"""Moves go one after another on both links, so that each waits for some others."""
BLOCK_TOKENS = 16
"""Memory goes by blocks of this many tokens."""
REVISION_BITS = 40
RECENT_CHANGES_MAX = 2000
"""Changes that are remembered to be told to other hosts; at 30 prompts a second some hundred
parts a second are saved to all stores together."""


class StoreView:
    """One context store as this host knows it."""

    def __init__(self, spec: ContextStore) -> None:
        self.spec = spec
        self.token_bytes = DEFAULT_TOKEN_BYTES
        self.epoch: int | None = None
        self.next_event = 0
        self.confirmed_at = float("-inf")
        self.epoch_seen_at = float("-inf")
        self.lost_at = float("-inf")
        """When the store last refused a question, here or at the reader of this hall."""
        self.used_tokens = 0
        self.tokens_by_part: dict[tuple[str, PartId], int] = {}
        self.clock_offset_ms = 0.0
        self.knows_clock = False
        self.is_lost = False
        self.is_followed = False
        """Whether a task of this host asks the store for changes."""
        self.revision = random.getrandbits(REVISION_BITS)
        """Grows with each change; begins anywhere, so that two hosts' numbers differ."""
        self._recent: deque[tuple[int, StoreChange]] = deque(maxlen=RECENT_CHANGES_MAX)

    @property
    def is_trusted(self) -> bool:
        """Whether the listing is young enough to fetch by it, and the store answered since."""
        oldest_at = max(self.lost_at, clocks.now_s() - LISTING_TRUST_S)
        return self.confirmed_at > oldest_at and self.knows_clock

    def record_lost(self) -> None:
        """Fetch nothing until the store has answered a question that was asked after this.

        An engine that fetches from a store that is gone notices after about 0.3 s. While the young
        listing was still believed, one lost store of nineteen delayed every prompt that begins
        with a part kept there, for the whole 2 s of `LISTING_TRUST_S`.
        """
        self.lost_at = clocks.now_s()

    def record_answer(self, failure: Failure | None) -> None:
        """Tell once that the store is lost or regained."""
        if (failure is not None) == self.is_lost:
            return
        self.is_lost = failure is not None
        if failure is None:
            logger.info("Store %s answers.", self.spec.id)
        else:
            logger.warning("Store %s is lost. %s", self.spec.id, failure.detail)

    @property
    def accepts_saves(self) -> bool:
        """Whether parts may be saved here now."""
        settled = clocks.now_s() - self.epoch_seen_at > RESTART_SAVE_PAUSE_S
        return self.is_trusted and settled

    def has_room(self, tokens: int) -> bool:
        """Whether so many tokens fit."""
        return self.used_tokens + tokens + BLOCK_TOKENS <= self.spec.capacity_tokens * FULL_FRACTION

    def transfer_s(self, tokens: int, hall: HallId) -> float:
        """Return about how long moving so many tokens to or from an engine in a hall takes."""
        ways = 1.0 if hall == self.spec.hall else CROSS_HALL_FACTOR
        return self.spec.first_s + TRANSFER_QUEUE_FACTOR * ways * self.link_s(tokens)

    def link_s(self, tokens: int) -> float:
        """Return how long the store's link is taken by so many tokens, in seconds."""
        return tokens * self.token_bytes * 8 / (self.spec.link_mbps * 1e6)

    def apply(self, change: StoreChange) -> None:
        """Take that a part is whole, or gone."""
        key = (change.salt, change.part)
        self.used_tokens -= _round_up(self.tokens_by_part.pop(key, 0))
        if change.tokens > 0:
            self.tokens_by_part[key] = change.tokens
            self.used_tokens += _round_up(change.tokens)
        self.revision += 1
        self._recent.append((self.revision, change))

    def record_broken(self, parts: Iterable[StoreChange]) -> None:
        """Take the parts whose saving broke off: they keep their room and can't be fetched."""
        self.used_tokens += sum(_round_up(part.tokens) for part in parts)

    def changes_since(self, revision: int) -> tuple[StoreChange, ...] | None:
        """Return what has changed since a revision, or None if that is not remembered."""
        if revision == self.revision:
            return ()
        oldest = self._recent[0][0] if self._recent else self.revision + 1
        if not oldest - 1 <= revision < self.revision:
            return None
        return tuple(change for number, change in self._recent if number > revision)

    def listing(self) -> tuple[StoreChange, ...]:
        """Return all parts that are whole."""
        return tuple(
            StoreChange(salt, part, tokens) for (salt, part), tokens in self.tokens_by_part.items()
        )

    def reset(self, epoch: int, next_number: int, has_parts: bool = False) -> None:
        """Begin a listing anew; `has_parts` tells that the store has whole parts.

        A host that has just started takes a store with parts as settled: whoever saved them had
        waited. Otherwise a common restart of all hosts kept everything from being saved for 4.2 s.
        """
        if epoch != self.epoch:
            is_settled = self.epoch is None and has_parts
            self.epoch_seen_at = float("-inf") if is_settled else clocks.now_s()
            logger.info("Store %s is at epoch %s, before %s.", self.spec.id, epoch, self.epoch)
        self.epoch = epoch
        self.next_event = next_number
        self.forget()

    def forget(self) -> None:
        """Drop what was listed."""
        self.tokens_by_part.clear()
        self.used_tokens = 0
        self._recent.clear()
        self.revision += 1

    def record_clock(self, clock_ms: int | None) -> None:
        """Learn the engines' clock; it is never estimated ahead of itself."""
        if clock_ms is None:
            return
        self.clock_offset_ms = clock_ms - clocks.now_s() * 1000.0
        self.knows_clock = True

    def parts_before(self, model: ModelId, version: int) -> tuple[StoreChange, ...]:
        """Return the parts that were made by older weights of a model, as gone."""
        return tuple(
            StoreChange(salt, part, 0)
            for salt, part in self.tokens_by_part
            if is_older_salt(salt, model, version)
        )

    @property
    def clock_ms(self) -> float:
        """The engines' clock now, by what was last heard of it."""
        return clocks.now_s() * 1000.0 + self.clock_offset_ms

    @property
    def fetch_until_ms(self) -> int:
        """Until when a fetch that begins now may last, on the engines' clock."""
        return int(self.clock_ms + FETCH_TIMEOUT_S * 1000.0)


def _round_up(tokens: int) -> int:
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def is_older_salt(salt: str, model: ModelId, version: int) -> bool:
    """Return whether a salt names weights of a model from before `version`."""
    prefix = f"{model}/"
    if not salt.startswith(prefix):
        return False
    number = salt[len(prefix) :].partition("/")[0]
    return is_whole(number) and int(number) < version
