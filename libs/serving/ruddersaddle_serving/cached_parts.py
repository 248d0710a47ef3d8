"""What context stores hold, and which prompt parts are fetched from and saved to them.

A store evicts nothing by itself and doesn't know its readers, so this module, `replaced_parts` and
`regions.restricted_parts` uphold two invariants. No part is fetched before it is complete: hosts
fetch only what the store listed as complete, in a listing confirmed within `LISTING_TRUST_S`, and
save nothing for `RESTART_SAVE_PAUSE_S` after a store's restart, until no host can still trust the
earlier listing. No part is freed while it is being fetched: only parts that no engine can fetch any
more are freed.
"""

import logging
from collections.abc import Callable
from typing import Protocol

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import HallId, ModelId, StoreId, WorkspaceId
from ruddersaddle_base.tasks import pause, spawn_forever
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.context_stores import DEFAULT_TOKEN_BYTES, NAMESPACE_MARK, StoreView
from ruddersaddle_serving.ports import Engines, Transfer
from ruddersaddle_serving.prompts import CallerRequest, Part, PartId, Prompt
from ruddersaddle_serving.regions.maps import RegionMap
from ruddersaddle_serving.routes import ContextStore, RouteTable

logger = logging.getLogger(__name__)

SAVE_DEDUP_S = 5.0
"""A part is not saved again for this long after a save of it was requested."""
SAVE_DEDUP_MAX = 10_000
"""Once more saves than this are recorded, those older than `SAVE_DEDUP_S` are removed."""
RETRY_S = 0.4
LONG_POLL_S = 0.5
"""Longest wait of a poll for changes. Stores allow twice as much, but the listing has to be
confirmed within `context_stores.LISTING_TRUST_S`, also at hosts that get it from another host."""
CHANGES_PAUSE_S = 0.2
"""Pause after an answer with changes, so that further changes share the next answer. Answers within
200 ms are charged as probes."""
RESERVED_WATCHERS = 4
"""Concurrent polls of a store that are reserved for hosts that start or whose reader is being
replaced."""
FOLLOW_CHECK_S = 1.0
"""Pause between checks whether this host should poll a store that it doesn't poll yet."""


class PartRule(Protocol):
    """Restricts which requests share cached parts, and which stores hold them."""

    def namespace_of(self, request: CallerRequest) -> str:
        """Return the namespace of a request's parts; empty if it shares them with all others."""

    def may_fetch(self, salt: str, store: StoreId) -> bool:
        """Return whether engines may fetch parts of a salt from a store."""

    def may_save(self, salt: str, store: StoreId) -> bool:
        """Return whether engines may save parts of a salt to a store."""


class CachedParts:
    """The context stores by id, with a task that follows each."""

    def __init__(self, engines: Engines, regions: RegionMap | None = None) -> None:
        self.engines = engines
        self.regions = RegionMap(HallId(""), {}) if regions is None else regions
        """With several regions, only the stores of the own one are used: parts don't cross links,
        and what engines of other regions fetch and save is planned by the hosts there."""
        self.by_id: dict[StoreId, StoreView] = {}
        self._saving_until: dict[tuple[str, PartId], float] = {}
        self.counts = {"fetches": 0, "saves": 0, "listings": 0, "freed": 0}
        self.rule: PartRule | None = None
        """Rule of residency; None if all requests may use all stores."""
        self.polls_directly: Callable[[ContextStore], bool] = lambda spec: True
        """Whether this host polls a store itself or gets its changes from another host."""
        self.broadcast_lost: Callable[[StoreId], None] = lambda store: None
        """Notifies the hosts that rely on this host's polls that a store refuses connections."""

    def apply_table(self, table: RouteTable) -> None:
        """Apply the stores of a configuration."""
        is_own = self.regions.is_own
        wanted = {spec.id: spec for spec in table.published.stores if is_own(spec.hall)}
        engines = [pool.engine for pool in table.published.pools if pool.engine is not None]
        token_bytes = max((each.token_bytes for each in engines), default=0) or DEFAULT_TOKEN_BYTES
        for gone in set(self.by_id) - set(wanted):
            del self.by_id[gone]
        for spec in wanted.values():
            known = self.by_id.get(spec.id)
            if known is None or known.spec.address != spec.address:
                self.by_id[spec.id] = StoreView(spec)
            self.by_id[spec.id].token_bytes = token_bytes
        self.start_followers()

    def start(self) -> None:
        """Start the task that follows stores once this host becomes a reader."""
        spawn_forever("stores", self._supervise)

    def _supervise(self) -> None:
        while True:
            self.start_followers()
            pause(FOLLOW_CHECK_S)

    def start_followers(self) -> None:
        """Start to follow the stores that this host should poll and doesn't follow yet."""
        for store in self.by_id.values():
            if not store.is_followed and self.polls_directly(store.spec):
                store.is_followed = True
                spawn_forever(f"store {store.spec.id}", self._follow, store)

    def _follow(self, store: StoreView) -> None:
        """Follow a store while it is configured and this host should poll it."""
        while self.by_id.get(store.spec.id) is store and self.polls_directly(store.spec):
            eventlet.sleep(self.follow_once(store))
        store.is_followed = False

    def follow_once(self, store: StoreView) -> float:
        """Poll a store for changes; return the pause until the next poll."""
        revision = store.revision
        failure = self._read(store, clocks.now_s())
        if failure is not None and failure.step is Step.SEND:
            # A reused connection broke; a running store accepts a new one.
            failure = self._read(store, clocks.now_s())
        store.record_answer(failure)
        if failure is not None:
            self._handle_failure(store, failure)
            return RETRY_S
        return CHANGES_PAUSE_S if store.revision != revision else 0.0

    def _handle_failure(self, store: StoreView, failure: Failure) -> None:
        """Stop fetching from a store that accepts no connection, here and at dependent hosts."""
        if failure.step is not Step.CONNECT:
            return
        store.record_lost()
        self.broadcast_lost(store.spec.id)

    def _read(self, store: StoreView, asked_at: float) -> Failure | None:
        """Apply and confirm a store's changes, unless another host's update had them first."""
        if store.epoch is None:
            return self._list(store, asked_at)
        # The first answer brings the engines' clock, which is needed to fetch: don't wait for it.
        wait_s = LONG_POLL_S if store.knows_clock else 0.0
        epoch, since = store.epoch, store.next_event
        page = self.engines.store_changes(store.spec, since, wait_s)
        if isinstance(page, Failure):
            return page
        if page.epoch == epoch and page.next < since:
            return _backwards(store, since, page.next)
        if store.covers(page.epoch, page.next):
            return None
        if page.epoch != store.epoch or page.gap:
            return self._list(store, asked_at)
        for change in page.changes:
            store.apply(change)
        store.next_event = page.next
        store.record_clock(page.clock_ms)
        store.confirmed_at = asked_at
        return None

    def _list(self, store: StoreView, asked_at: float) -> Failure | None:
        self.counts["listings"] += 1
        epoch, since = store.epoch, store.next_event
        listing = self.engines.store_listing(store.spec)
        if isinstance(listing, Failure):
            store.forget()
            return listing
        if listing.epoch == epoch and listing.next < since:
            return _backwards(store, since, listing.next)
        if store.covers(listing.epoch, listing.next):
            return None
        store.reset(listing.epoch, listing.next, bool(listing.complete))
        for part in listing.complete:
            store.apply(part)
        store.record_incomplete(listing.incomplete)
        store.confirmed_at = asked_at
        return None

    def find_holders(self, salt: str, prompt: Prompt) -> list[StoreView | None]:
        """Return for each shared part a store that holds it complete, or None.

        The age of the published configuration doesn't matter here. Otherwise an outage of the
        metadata store would have all prompts recomputed meanwhile: 3 s without it caused a fifth of
        a day's recomputation.
        """
        trusted = [
            store
            for store in self.by_id.values()
            if store.is_trusted and (self.rule is None or self.rule.may_fetch(salt, store.spec.id))
        ]
        return [_find_holder(trusted, salt, part) for part in prompt.shared_parts]

    def holders_for(self, hall: HallId, holders: list[StoreView | None]) -> list[StoreView | None]:
        """Return the holders that an engine in `hall` may fetch from: none in another region."""
        return holders if self.regions.is_own(hall) else [None] * len(holders)

    def plan(
        self,
        salt: str,
        prompt: Prompt,
        holders: list[StoreView | None],
        hall: HallId,
        covered_tokens: int = 0,
        may_save: bool = True,
    ) -> Transfer:
        """Return where an engine in `hall` fetches the shared parts from and where it saves them.

        `holders` has a store that holds it, or None, for each shared part. The engine is assumed to
        cache the first `covered_tokens` of the prompt itself. A part is fetched only if all parts
        before it are cached or fetched.
        """
        holders = self.holders_for(hall, holders)
        may_save = may_save and self.regions.is_own(hall)
        fetch: list[str | None] = []
        save: list[str | None] = []
        until_ms: list[int] = []
        is_contiguous = True
        passed_tokens = 0
        for part, holder in zip(prompt.shared_parts, holders, strict=True):
            passed_tokens += part.tokens
            is_covered = passed_tokens <= covered_tokens
            is_contiguous = is_contiguous and (holder is not None or is_covered)
            if holder is None:
                fetch.append(None)
                save.append(self._choose_store(salt, part, hall) if may_save else None)
                continue
            fetch.append(holder.spec.address if is_contiguous else None)
            save.append(None)
            until_ms.append(holder.fetch_until_ms)
        self.counts["fetches"] += any(fetch)
        self.counts["saves"] += any(save)
        # The last part belongs to this request alone; it is neither fetched nor saved.
        return Transfer(salt, (*fetch, None), (*save, None), min(until_ms, default=0))

    def _choose_store(self, salt: str, part: Part, hall: HallId) -> str | None:
        """Return the address of the store that an engine in `hall` saves a part to, or None."""
        now = clocks.now_s()
        key = (salt, part.id)
        if self._saving_until.get(key, 0.0) > now:
            return None
        writable = [
            store
            for store in self.by_id.values()
            if store.accepts_saves
            and (self.rule is None or self.rule.may_save(salt, store.spec.id))
        ]
        fitting = [store for store in writable if store.has_room(part.tokens)]
        if not fitting:
            return None
        slowest = max(writable, key=lambda store: store.spec.first_s)
        # A slow store adds a delay to each transfer. It hardly matters for a part whose transfer
        # takes longer, so that the capacity of fast stores is left to parts for which it matters.
        is_large = slowest.link_s(part.tokens) > slowest.spec.first_s
        delay_sign = -1.0 if is_large else 1.0
        chosen = self._choose_among_best(fitting, part, delay_sign, hall)
        self._record_saving(key, now)
        return chosen.spec.address

    def _choose_among_best(
        self, fitting: list[StoreView], part: Part, delay_sign: float, hall: HallId
    ) -> StoreView:
        """Return the store for a part among those whose fixed delay suits it best.

        The shortest delay is best if `delay_sign` is 1, the longest if it is -1. Equally good
        stores divide the parts by rendezvous hashing, which spreads the load on links and memory
        evenly and has all hosts choose the same store for a part.
        """
        best = min(delay_sign * store.spec.first_s for store in fitting)
        equal = [store for store in fitting if delay_sign * store.spec.first_s == best]
        quickest_s = min(store.transfer_s(part.tokens, hall) for store in equal)
        equal = [store for store in equal if store.transfer_s(part.tokens, hall) <= quickest_s]
        by_id = {store.spec.id: store for store in equal}
        return by_id[rank_names(part.id, by_id)[0]]

    def _record_saving(self, key: tuple[str, PartId], now: float) -> None:
        self._saving_until[key] = now + SAVE_DEDUP_S
        if len(self._saving_until) > SAVE_DEDUP_MAX:
            live = {each: until for each, until in self._saving_until.items() if until > now}
            self._saving_until = live


def make_salt(
    model: ModelId, version: int, workspace: WorkspaceId | None, namespace: str = ""
) -> str:
    """Return the cache salt of a weight version, and of a workspace if it shares no parts.

    `namespace` separates the parts of restricted requests from all others.
    """
    salt = f"{model}/{version}"
    if namespace:
        salt = f"{salt}{NAMESPACE_MARK}{namespace}"
    return salt if workspace is None else f"{salt}/{workspace}"


def _backwards(store: StoreView, since: int, next_event: int) -> Failure:
    """Return the failure of an answer whose events lie before those of an earlier answer."""
    detail = f"the next event is {next_event}, it was {since} in the same epoch"
    return Failure(Code.CORRUPT, Step.READ, store.spec.address, detail, Ran.UNKNOWN)


def _find_holder(stores: list[StoreView], salt: str, part: Part) -> StoreView | None:
    for store in stores:
        if store.tokens_by_part.get((salt, part.id), 0) >= part.tokens:
            return store
    return None
