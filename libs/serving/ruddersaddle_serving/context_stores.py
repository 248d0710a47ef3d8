"""This host's view of one context store."""

import logging
import random
from collections import deque
from collections.abc import Iterable

from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import is_decimal_integer
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, ModelId

from ruddersaddle_serving.ports import StoreChange
from ruddersaddle_serving.prompts import PartId
from ruddersaddle_serving.routes import ContextStore

logger = logging.getLogger(__name__)

LISTING_TRUST_S = 2.0
"""How long a listing is trusted, counted from when the poll that last confirmed it was sent. A poll
waits up to `cached_parts.LONG_POLL_S` for changes; hosts that don't poll a store ask another host
each half second."""
FETCH_TIMEOUT_S = 1.4
"""The engine discards a fetch that takes longer. Recomputing a prompt of 30,000 tokens takes 0.3 to
0.6 s."""
RESTART_SAVE_PAUSE_S = 4.2
"""Nothing is saved to a store for this long after a new epoch of it was first seen: its earlier
listing is trusted for up to `LISTING_TRUST_S`, and a fetch that starts then may take
`FETCH_TIMEOUT_S`."""
FULL_FRACTION = 0.97
"""A store counts as full beyond this fraction of its capacity; nothing is saved to it then."""
DEFAULT_TOKEN_BYTES = 32_768
"""Memory of one token if the configuration doesn't state it; used only to compare a transfer with
recomputation. Known kinds of engines use 18,000 to 35,000 bytes."""
CROSS_HALL_FACTOR = 2.0
"""A transfer between halls takes twice as long."""
TRANSFER_QUEUE_FACTOR = 1.5
"""Transfers are serialized on the links of both ends, so each waits for some others."""
BLOCK_TOKENS = 16
"""Stores allocate memory in blocks of this many tokens."""
NAMESPACE_MARK = "~"
"""Precedes the namespace of restricted requests in a salt (`regions.namespaces`)."""
REVISION_BITS = 40
RECENT_CHANGES_MAX = 2000
"""Changes that are retained for other hosts; at 30 prompts per second some hundred parts per second
are saved to all stores together."""


class StoreView:
    """What this host knows about one context store."""

    def __init__(self, spec: ContextStore) -> None:
        self.spec = spec
        self.token_bytes = DEFAULT_TOKEN_BYTES
        self.epoch: int | None = None
        self.next_event = 0
        self.confirmed_at = float("-inf")
        self.epoch_seen_at = float("-inf")
        self.lost_at = float("-inf")
        """When the store last refused a connection, here or at the reader of this hall."""
        self.used_tokens = 0
        self.tokens_by_part: dict[tuple[str, PartId], int] = {}
        self.clock_offset_ms = 0.0
        self.knows_clock = False
        self.is_failing = False
        self.is_followed = False
        """Whether a task of this host polls the store for changes."""
        self.revision = random.getrandbits(REVISION_BITS)
        """Grows with each change; starts at random so that the numbers of two hosts differ."""
        self._recent: deque[tuple[int, StoreChange]] = deque(maxlen=RECENT_CHANGES_MAX)

    @property
    def is_trusted(self) -> bool:
        """Whether the listing is recent enough to fetch by and newer than the last refusal."""
        oldest_at = max(self.lost_at, clocks.now_s() - LISTING_TRUST_S)
        return self.confirmed_at > oldest_at and self.knows_clock

    def record_lost(self) -> None:
        """Stop fetching from the store until it answers a request that is sent after this.

        An engine takes about 0.3 s to notice that a store is gone. If the listing stayed trusted,
        one lost store of nineteen would delay every prompt that fetches from it by that time, for
        up to `LISTING_TRUST_S`.
        """
        self.lost_at = clocks.now_s()

    def record_answer(self, failure: Failure | None) -> None:
        """Log when polls of the store start to fail or succeed again."""
        if (failure is not None) == self.is_failing:
            return
        self.is_failing = failure is not None
        if failure is None:
            logger.info("Store %s answers polls again.", self.spec.id)
        else:
            logger.warning("Store %s fails to answer polls. %s", self.spec.id, failure.detail)

    @property
    def accepts_saves(self) -> bool:
        """Whether parts may be saved to the store now."""
        is_settled = clocks.now_s() - self.epoch_seen_at > RESTART_SAVE_PAUSE_S
        return self.is_trusted and is_settled

    def has_room(self, tokens: int) -> bool:
        """Return whether a part of `tokens` fits."""
        return self.used_tokens + tokens + BLOCK_TOKENS <= self.spec.capacity_tokens * FULL_FRACTION

    def transfer_s(self, tokens: int, hall: HallId) -> float:
        """Return the estimated time of a transfer to or from an engine in `hall`."""
        factor = 1.0 if hall == self.spec.hall else CROSS_HALL_FACTOR
        return self.spec.first_s + TRANSFER_QUEUE_FACTOR * factor * self.link_s(tokens)

    def link_s(self, tokens: int) -> float:
        """Return how long a transfer of `tokens` occupies the store's link."""
        return tokens * self.token_bytes * 8 / (self.spec.link_mbps * 1e6)

    def apply(self, change: StoreChange) -> None:
        """Apply that a part is complete, or was removed if its `tokens` are 0."""
        key = (change.salt, change.part)
        self.used_tokens -= _round_up_to_block(self.tokens_by_part.pop(key, 0))
        if change.tokens > 0:
            self.tokens_by_part[key] = change.tokens
            self.used_tokens += _round_up_to_block(change.tokens)
        self.revision += 1
        self._recent.append((self.revision, change))

    def record_incomplete(self, parts: Iterable[StoreChange]) -> None:
        """Account for incompletely saved parts: they occupy memory and can't be fetched."""
        self.used_tokens += sum(_round_up_to_block(part.tokens) for part in parts)

    def covers(self, epoch: int, next_event: int) -> bool:
        """Return whether this view has all events before one of an epoch, and later ones."""
        return epoch == self.epoch and next_event < self.next_event

    def changes_since(self, revision: int) -> tuple[StoreChange, ...] | None:
        """Return the changes since a revision, or None if they are no longer retained."""
        if revision == self.revision:
            return ()
        oldest = self._recent[0][0] if self._recent else self.revision + 1
        if not oldest - 1 <= revision < self.revision:
            return None
        return tuple(change for number, change in self._recent if number > revision)

    def listing(self) -> tuple[StoreChange, ...]:
        """Return all complete parts."""
        return tuple(
            StoreChange(salt, part, tokens) for (salt, part), tokens in self.tokens_by_part.items()
        )

    def reset(self, epoch: int, next_event: int, has_parts: bool = False) -> None:
        """Start a new listing; `has_parts` says that the store holds complete parts.

        A host that has just started saves to a store with parts at once, since the host that saved
        them had waited already. Otherwise nothing would be saved for 4.2 s after a restart of all
        hosts.
        """
        if epoch != self.epoch:
            is_settled = self.epoch is None and has_parts
            self.epoch_seen_at = float("-inf") if is_settled else clocks.now_s()
            logger.info("Store %s changed to epoch %s from %s.", self.spec.id, epoch, self.epoch)
        self.epoch = epoch
        self.next_event = next_event
        self.forget()

    def forget(self) -> None:
        """Clear the listing."""
        self.tokens_by_part.clear()
        self.used_tokens = 0
        self._recent.clear()
        self.revision += 1

    def record_clock(self, clock_ms: int | None) -> None:
        """Synchronize with the engines' clock.

        Latency is ignored, so that the estimate is never ahead of the clock.
        """
        if clock_ms is None:
            return
        self.clock_offset_ms = clock_ms - clocks.now_s() * 1000.0
        self.knows_clock = True

    def parts_before(self, model: ModelId, version: int) -> tuple[StoreChange, ...]:
        """Return a change that removes it for each part computed with older weights of a model."""
        return tuple(
            StoreChange(salt, part, 0)
            for salt, part in self.tokens_by_part
            if is_older_salt(salt, model, version)
        )

    @property
    def clock_ms(self) -> float:
        """Time on the engines' clock now, in ms, extrapolated from its last known value."""
        return clocks.now_s() * 1000.0 + self.clock_offset_ms

    @property
    def fetch_until_ms(self) -> int:
        """Deadline of a fetch that starts now, in ms on the engines' clock."""
        return self.deadline_ms(FETCH_TIMEOUT_S)

    def deadline_ms(self, seconds: float) -> int:
        """Return the time some seconds from now, in ms on the engines' clock; never too late."""
        return int(self.clock_ms + seconds * 1000.0)


def _round_up_to_block(tokens: int) -> int:
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def is_older_salt(salt: str, model: ModelId, version: int) -> bool:
    """Return whether a salt belongs to weights of a model older than `version`."""
    prefix = f"{model}/"
    if not salt.startswith(prefix):
        return False
    number = salt[len(prefix) :].partition("/")[0].partition(NAMESPACE_MARK)[0]
    return is_decimal_integer(number) and int(number) < version
