"""What context stores hold, and which parts of a prompt are fetched from and saved to them.

A store drops nothing by itself and doesn't know who reads, so two things must never happen: a part
is fetched while it is not whole, and a part is freed while it is fetched. The first is kept by
fetching only what the store itself said is whole, in a listing confirmed within `TRUST_S`, and by
saving nothing for `QUIET_S` after a store's restart, until no host can believe the earlier listing
any more. The second is kept by freeing only what no engine's weights can ask for any more
(`weight_rollouts`).
"""

import logging
import math
import time
from hashlib import blake2b

import eventlet
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import ModelId, StoreId, WorkspaceId

from ruddersaddle_serving.ports import Engines, StoreChange, Transfer
from ruddersaddle_serving.prompts import Part, PartId, Prompt
from ruddersaddle_serving.routes import ContextStore

logger = logging.getLogger(__name__)

TRUST_S = 1.6
"""A listing counts this long after the question was sent that last confirmed it; a question waits
up to 1 s for changes."""
FETCH_S = 1.4
"""A fetch that takes longer is thrown away by the engine. Reading the longest prompt of the sheets
anew takes about 0.3 s."""
QUIET_S = 4.0
"""Nothing is saved this long after a new epoch of a store was first seen: the earlier listing is
trusted for `TRUST_S` at most, and a fetch begun at its end may take `FETCH_S`."""
SAVING_S = 5.0
"""A part that was sent to be saved is not sent again this long."""
FULL_SHARE = 0.97
"""Above this share of its capacity nothing more is saved to a store."""
RETRY_S = 0.4
BLOCK_TOKENS = 16
"""Memory goes by blocks of this many tokens."""


class KeptStore:
    """One context store as this host knows it."""

    def __init__(self, spec: ContextStore) -> None:
        self.spec = spec
        self.epoch: int | None = None
        self.next = 0
        self.confirmed_at = float("-inf")
        self.epoch_seen_at = float("-inf")
        self.used_tokens = 0
        self.tokens_by_part: dict[tuple[str, PartId], int] = {}
        self.clock_offset_ms = 0.0
        self.knows_clock = False

    @property
    def is_trusted(self) -> bool:
        """Whether the listing is young enough to fetch by it."""
        return time.monotonic() - self.confirmed_at < TRUST_S and self.knows_clock

    @property
    def takes_saves(self) -> bool:
        """Whether parts may be saved here now."""
        settled = time.monotonic() - self.epoch_seen_at > QUIET_S
        return self.is_trusted and settled

    def has_room(self, tokens: int) -> bool:
        """Whether so many tokens fit."""
        return self.used_tokens + tokens + BLOCK_TOKENS <= self.spec.capacity_tokens * FULL_SHARE

    def put(self, change: StoreChange) -> None:
        """Take that a part is whole, or gone."""
        key = (change.salt, change.part)
        self.used_tokens -= _round_up(self.tokens_by_part.pop(key, 0))
        if change.tokens > 0:
            self.tokens_by_part[key] = change.tokens
            self.used_tokens += _round_up(change.tokens)

    def reset(self, epoch: int, next_number: int) -> None:
        """Begin a listing anew."""
        if epoch != self.epoch:
            self.epoch_seen_at = time.monotonic()
            logger.info("Store %s is at epoch %s, before %s.", self.spec.id, epoch, self.epoch)
        self.epoch = epoch
        self.next = next_number
        self.tokens_by_part.clear()
        self.used_tokens = 0

    def note_clock(self, clock_ms: int | None) -> None:
        """Learn the engines' clock; it is never estimated ahead of itself."""
        if clock_ms is None:
            return
        self.clock_offset_ms = clock_ms - time.monotonic() * 1000.0
        self.knows_clock = True

    def parts_before(self, model: ModelId, version: int) -> tuple[StoreChange, ...]:
        """Return the parts that were made by older weights of a model, as gone."""
        return tuple(
            StoreChange(salt, part, 0)
            for salt, part in self.tokens_by_part
            if is_older_salt(salt, model, version)
        )

    @property
    def fetch_until_ms(self) -> int:
        """Until when a fetch that begins now may last, on the engines' clock."""
        return int(time.monotonic() * 1000.0 + self.clock_offset_ms + FETCH_S * 1000.0)


class KeptParts:
    """All context stores, by id, with a task that follows each."""

    def __init__(self, engines: Engines) -> None:
        self.engines = engines
        self.by_id: dict[StoreId, KeptStore] = {}
        self._saving_until: dict[tuple[str, PartId], float] = {}
        self.counts = {"fetches": 0, "saves": 0, "listings": 0}

    def update(self, specs: tuple[ContextStore, ...]) -> None:
        """Take the stores of a configuration."""
        wanted = {spec.id: spec for spec in specs}
        for gone in set(self.by_id) - set(wanted):
            del self.by_id[gone]
        for spec in wanted.values():
            known = self.by_id.get(spec.id)
            if known is None or known.spec.address != spec.address:
                kept = self.by_id[spec.id] = KeptStore(spec)
                eventlet.spawn(self._follow, kept)

    def _follow(self, kept: KeptStore) -> None:
        while self.by_id.get(kept.spec.id) is kept:
            asked_at = time.monotonic()
            failure = self._read(kept)
            if failure is None:
                kept.confirmed_at = asked_at
            else:
                logger.info("Store %s did not answer. %s", kept.spec.id, failure.detail)
                eventlet.sleep(RETRY_S)

    def _read(self, kept: KeptStore) -> Failure | None:
        if kept.epoch is None:
            return self._list(kept)
        page = self.engines.store_changes(kept.spec, kept.next)
        if isinstance(page, Failure):
            return page
        if page.epoch != kept.epoch or page.gap:
            return self._list(kept)
        for change in page.changes:
            kept.put(change)
        kept.next = page.next
        kept.note_clock(page.clock_ms)
        return None

    def _list(self, kept: KeptStore) -> Failure | None:
        self.counts["listings"] += 1
        listing = self.engines.store_listing(kept.spec)
        if isinstance(listing, Failure):
            kept.tokens_by_part.clear()
            return listing
        kept.reset(listing.epoch, listing.next)
        for part in listing.whole:
            kept.put(part)
        kept.used_tokens += sum(_round_up(part.tokens) for part in listing.broken)
        return None

    def plan(self, salt: str, prompt: Prompt) -> Transfer:
        """Return where the shared parts of a prompt come from, and where they are saved."""
        now = time.monotonic()
        trusted = [kept for kept in self.by_id.values() if kept.is_trusted]
        fetch: list[str | None] = []
        save: list[str | None] = []
        until_ms = 0
        chain_is_kept = True
        for part in prompt.shared_parts:
            holder = _find_holder(trusted, salt, part)
            chain_is_kept = chain_is_kept and holder is not None
            fetch.append(holder.spec.address if holder is not None and chain_is_kept else None)
            if holder is not None:
                limit = holder.fetch_until_ms
                until_ms = limit if not until_ms else min(until_ms, limit)
            save.append(None if holder is not None else self._place(salt, part, now))
        fetch.append(None)
        save.append(None)
        self.counts["fetches"] += any(fetch)
        self.counts["saves"] += any(save)
        return Transfer(salt, tuple(fetch), tuple(save), until_ms)

    def _place(self, salt: str, part: Part, now: float) -> str | None:
        """Return the store that a part is saved to, or None."""
        key = (salt, part.id)
        if self._saving_until.get(key, 0.0) > now:
            return None
        open_stores = [kept for kept in self.by_id.values() if kept.takes_saves]
        fitting = [kept for kept in open_stores if kept.has_room(part.tokens)]
        if not fitting:
            return None
        chosen = max(fitting, key=lambda kept: _weight(part.id, kept))
        self._saving_until[key] = now + SAVING_S
        if len(self._saving_until) > 10_000:
            live = {each: until for each, until in self._saving_until.items() if until > now}
            self._saving_until = live
        return chosen.spec.address


def make_salt(model: ModelId, version: int, workspace: WorkspaceId | None) -> str:
    """Return the name under which engines keep parts: one for each weights and each wall."""
    salt = f"{model}/{version}"
    return salt if workspace is None else f"{salt}/{workspace}"


def is_older_salt(salt: str, model: ModelId, version: int) -> bool:
    """Return whether a salt names weights of a model from before `version`."""
    prefix = f"{model}/"
    if not salt.startswith(prefix):
        return False
    number = salt[len(prefix) :].partition("/")[0]
    return number.isdigit() and int(number) < version


def _find_holder(stores: list[KeptStore], salt: str, part: Part) -> KeptStore | None:
    for kept in stores:
        if kept.tokens_by_part.get((salt, part.id), 0) >= part.tokens:
            return kept
    return None


def _weight(part: PartId, kept: KeptStore) -> float:
    """Rank a store for a part: weighted rendezvous hashing by capacity, alike on all hosts."""
    digest = blake2b(f"{part}\x00{kept.spec.id}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest) + 1) / (2**64 + 2)
    return max(1, kept.spec.capacity_tokens) / -math.log(uniform)


def _round_up(tokens: int) -> int:
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS
