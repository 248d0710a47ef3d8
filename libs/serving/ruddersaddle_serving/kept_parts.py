"""What context stores hold, and which parts of a prompt are fetched from and saved to them.

A store drops nothing by itself and doesn't know who reads, so two things must never happen: a part
is fetched while it is not whole, and a part is freed while it is fetched. The first is kept by
fetching only what the store itself said is whole, in a listing confirmed within `TRUST_S`, and by
saving nothing for `QUIET_S` after a store's restart, until no host can believe the earlier listing
any more. The second is kept by a rule about replaced weights: a host fetches only while what it
knows of published items is younger than `FRESH_S`, and parts of replaced weights only for
`REPLACED_FETCH_S` after newer ones may have been named. A host may free them `REPLACED_FREE_S`
after it heard of the newer ones: every fetch of any host has ended by then.
"""

import logging
import time

import eventlet
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, ModelId, StoreId, WorkspaceId

from ruddersaddle_serving.ports import Engines, StoreChange, Transfer
from ruddersaddle_serving.prompts import Part, PartId, Prompt
from ruddersaddle_serving.routes import ContextStore
from ruddersaddle_serving.tasks import spawn_forever

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
FRESH_S = 2.0
"""What a host knows of published items has to be younger than this for it to fetch parts; readers
confirm it about each second."""
REPLACED_FETCH_S = 7.0
"""Parts of replaced weights are fetched this long, while engines are brought to the newer ones
(in about 9 s); their room is needed for the parts that the newer ones make."""
REPLACED_FREE_S = REPLACED_FETCH_S + FRESH_S + FETCH_S + 0.6
"""Parts of replaced weights are freed after this: the host that heard last heard `FRESH_S` after
the operator's write, fetched for `REPLACED_FETCH_S`, its last fetch took `FETCH_S`; the rest is for
requests on their way."""
SAVING_S = 5.0
"""A part that was sent to be saved is not sent again this long."""
SAVING_MAX = 10_000
"""Parts that were sent to be saved are looked through for old ones beyond this many."""
FULL_SHARE = 0.97
"""Above this share of its capacity nothing more is saved to a store."""
RETRY_S = 0.4
TOKEN_BYTES = 35_136
"""Memory of one token, from the sheets; it only weighs moving against reading again."""
OTHER_HALL_FACTOR = 2.0
"""A move between halls takes twice as long (the platform's page)."""
MOVE_WAIT_FACTOR = 1.5
"""Moves go one after another on both links, so that each waits for some others."""
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
        self.is_lost = False

    @property
    def is_trusted(self) -> bool:
        """Whether the listing is young enough to fetch by it."""
        return time.monotonic() - self.confirmed_at < TRUST_S and self.knows_clock

    def note_answer(self, failure: Failure | None) -> None:
        """Tell once that the store is lost or regained."""
        if (failure is not None) == self.is_lost:
            return
        self.is_lost = failure is not None
        if failure is None:
            logger.info("Store %s answers.", self.spec.id)
        else:
            logger.warning("Store %s is lost. %s", self.spec.id, failure.detail)

    @property
    def takes_saves(self) -> bool:
        """Whether parts may be saved here now."""
        settled = time.monotonic() - self.epoch_seen_at > QUIET_S
        return self.is_trusted and settled

    def has_room(self, tokens: int) -> bool:
        """Whether so many tokens fit."""
        return self.used_tokens + tokens + BLOCK_TOKENS <= self.spec.capacity_tokens * FULL_SHARE

    def move_s(self, tokens: int, hall: HallId) -> float:
        """Return about how long moving so many tokens to or from an engine in a hall takes."""
        ways = 1.0 if hall == self.spec.hall else OTHER_HALL_FACTOR
        return self.spec.first_s + MOVE_WAIT_FACTOR * ways * self.link_s(tokens)

    def link_s(self, tokens: int) -> float:
        """Return how long the store's link is taken by so many tokens, in seconds."""
        return tokens * TOKEN_BYTES * 8 / (self.spec.link_mbps * 1e6)

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
                spawn_forever(f"store {spec.id}", self._follow, kept)

    def _follow(self, kept: KeptStore) -> None:
        while self.by_id.get(kept.spec.id) is kept:
            asked_at = time.monotonic()
            failure = self._read(kept)
            kept.note_answer(failure)
            if failure is None:
                kept.confirmed_at = asked_at
            else:
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

    def find_holders(self, salt: str, prompt: Prompt, may_fetch: bool) -> list[KeptStore | None]:
        """Return for each shared part a store that has it whole, or None."""
        if not may_fetch:
            return [None] * len(prompt.shared_parts)
        trusted = [kept for kept in self.by_id.values() if kept.is_trusted]
        return [_find_holder(trusted, salt, part) for part in prompt.shared_parts]

    def plan(
        self,
        salt: str,
        prompt: Prompt,
        holders: list[KeptStore | None],
        hall: HallId,
        covered_tokens: int = 0,
        may_save: bool = True,
    ) -> Transfer:
        """Return where an engine in a hall gets the shared parts from, and where it saves them.

        It is believed to keep the first `covered_tokens` of the prompt itself.
        """
        fetch: list[str | None] = []
        save: list[str | None] = []
        until_ms: list[int] = []
        chain_is_kept = True
        passed_tokens = 0
        for part, holder in zip(prompt.shared_parts, holders, strict=True):
            passed_tokens += part.tokens
            is_covered = passed_tokens <= covered_tokens
            chain_is_kept = chain_is_kept and (holder is not None or is_covered)
            if holder is None:
                fetch.append(None)
                save.append(self._place(salt, part, hall) if may_save else None)
                continue
            fetch.append(holder.spec.address if chain_is_kept else None)
            save.append(None)
            until_ms.append(holder.fetch_until_ms)
        self.counts["fetches"] += any(fetch)
        self.counts["saves"] += any(save)
        # The last part is the request's own; it is neither fetched nor saved.
        return Transfer(salt, (*fetch, None), (*save, None), min(until_ms, default=0))

    def _place(self, salt: str, part: Part, hall: HallId) -> str | None:
        """Return the store that an engine in a hall saves a part to, or None."""
        now = time.monotonic()
        key = (salt, part.id)
        if self._saving_until.get(key, 0.0) > now:
            return None
        open_stores = [kept for kept in self.by_id.values() if kept.takes_saves]
        fitting = [kept for kept in open_stores if kept.has_room(part.tokens)]
        if not fitting:
            return None
        slowest = max(open_stores, key=lambda kept: kept.spec.first_s)
        # A slow store costs a wait for each move. It hardly counts for a part whose transfer takes
        # longer than that, and the room of fast stores is left to parts for which it does.
        is_large = slowest.link_s(part.tokens) > slowest.spec.first_s
        tier = -1.0 if is_large else 1.0
        chosen = min(
            fitting,
            key=lambda kept: (
                tier * kept.spec.first_s,
                kept.move_s(part.tokens, hall),
                kept.spec.id,
            ),
        )
        self._saving_until[key] = now + SAVING_S
        if len(self._saving_until) > SAVING_MAX:
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


def _round_up(tokens: int) -> int:
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS
