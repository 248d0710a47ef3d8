"""What context stores hold, and which parts of a prompt are fetched from and saved to them.

A store drops nothing by itself and doesn't know who reads, so two things must never happen: a part
is fetched while it is not whole, and a part is freed while it is fetched. The first is kept by
fetching only what the store itself said is whole, in a listing confirmed within `TRUST_S`, and by
saving nothing for `QUIET_S` after a store's restart, until no host can believe the earlier listing
any more. The second is kept by freeing only what no engine can fetch any more (`replaced_parts`).
"""

import logging
from collections.abc import Callable

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_base.ids import HallId, ModelId, StoreId, WorkspaceId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.context_stores import TOKEN_BYTES, KeptStore
from ruddersaddle_serving.ports import Engines, Transfer
from ruddersaddle_serving.prompts import Part, PartId, Prompt
from ruddersaddle_serving.routes import ContextStore, RouteTable
from ruddersaddle_serving.tasks import spawn_forever

logger = logging.getLogger(__name__)

SAVING_S = 5.0
"""A part that was sent to be saved is not sent again this long."""
SAVING_MAX = 10_000
"""Parts that were sent to be saved are looked through for old ones beyond this many."""
RETRY_S = 0.4
FOLLOW_WAIT_S = 0.5
"""How long a store may hold the question for changes; it allows twice as much, but what it holds
has to be known again within 2 s, by way of another host (`context_stores.TRUST_S`)."""
EVENTS_PAUSE_S = 0.2
"""Pause after an answer that told changes, so that some of them share the next one: answers in less
than 200 ms are priced as probes."""
SPARE_WATCHERS = 4
"""Waiting questions of the most that a store holds which are left for hosts that start or whose
reader is being replaced."""
LOOK_S = 1.0
"""Pause of a host that is told of stores until it looks again whether it should ask."""


class KeptParts:
    """All context stores, by id, with a task that follows each."""

    def __init__(self, engines: Engines) -> None:
        self.engines = engines
        self.by_id: dict[StoreId, KeptStore] = {}
        self._saving_until: dict[tuple[str, PartId], float] = {}
        self.counts = {"fetches": 0, "saves": 0, "listings": 0, "freed": 0}
        self.watches: Callable[[ContextStore], bool] = lambda spec: True
        """Whether this host asks a store itself, or is told by another host."""
        self.tell_lost: Callable[[StoreId], None] = lambda store: None
        """Tells the hosts that rely on this one's questions that a store refuses them."""

    def take_table(self, table: RouteTable) -> None:
        """Take the stores of a configuration."""
        wanted = {spec.id: spec for spec in table.published.stores}
        engines = [pool.engine for pool in table.published.pools if pool.engine is not None]
        token_bytes = max((each.token_bytes for each in engines), default=0) or TOKEN_BYTES
        for gone in set(self.by_id) - set(wanted):
            del self.by_id[gone]
        for spec in wanted.values():
            known = self.by_id.get(spec.id)
            if known is None or known.spec.address != spec.address:
                self.by_id[spec.id] = KeptStore(spec)
            self.by_id[spec.id].token_bytes = token_bytes
        self.start_followers()

    def start(self) -> None:
        """Start the task that begins to follow stores when this host becomes a reader."""
        spawn_forever("stores", self._supervise)

    def _supervise(self) -> None:
        while True:
            self.start_followers()
            eventlet.sleep(LOOK_S)

    def start_followers(self) -> None:
        """Begin to follow the stores that this host asks itself and doesn't follow yet."""
        for kept in self.by_id.values():
            if not kept.is_followed and self.watches(kept.spec):
                kept.is_followed = True
                spawn_forever(f"store {kept.spec.id}", self._follow, kept)

    def _follow(self, kept: KeptStore) -> None:
        """Follow a store as long as it is configured and this host is one that asks it."""
        while self.by_id.get(kept.spec.id) is kept and self.watches(kept.spec):
            eventlet.sleep(self.follow_once(kept))
        kept.is_followed = False

    def follow_once(self, kept: KeptStore) -> float:
        """Ask a store for what has changed; return the pause until the next question."""
        asked_at = clocks.now_s()
        revision = kept.revision
        failure = self._read(kept)
        if failure is not None and failure.step is Step.SEND:
            # The kept connection broke; a store that lives takes a new one.
            asked_at = clocks.now_s()
            failure = self._read(kept)
        kept.note_answer(failure)
        if failure is not None:
            self._note_failure(kept, failure)
            return RETRY_S
        kept.confirmed_at = asked_at
        return EVENTS_PAUSE_S if kept.revision != revision else 0.0

    def _note_failure(self, kept: KeptStore, failure: Failure) -> None:
        """Stop fetching from a store that takes no connection, here and where this host tells."""
        if failure.step is not Step.CONNECT:
            return
        kept.note_lost()
        self.tell_lost(kept.spec.id)

    def _read(self, kept: KeptStore) -> Failure | None:
        if kept.epoch is None:
            return self._list(kept)
        # The first answer brings the engines' clock, without which nothing is fetched.
        wait_s = FOLLOW_WAIT_S if kept.knows_clock else 0.0
        page = self.engines.store_changes(kept.spec, kept.next, wait_s)
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
            kept.forget()
            return listing
        kept.reset(listing.epoch, listing.next, bool(listing.complete))
        for part in listing.complete:
            kept.put(part)
        kept.note_broken(listing.incomplete)
        return None

    def find_holders(self, salt: str, prompt: Prompt) -> list[KeptStore | None]:
        """Return for each shared part a store that has it whole, or None.

        What is fetched doesn't depend on what operators published: while the metadata store was
        away for 3 s, a fifth of all that was read again on a day was read then (a count of the
        parts of all prompts by what their lines said).
        """
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
        now = clocks.now_s()
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
        chosen = self._spread(fitting, part, tier, hall)
        self._note_saving(key, now)
        return chosen.spec.address

    def _spread(self, fitting: list[KeptStore], part: Part, tier: float, hall: HallId) -> KeptStore:
        """Return the store for a part among those of the best tier.

        Stores that are alike share the parts by rendezvous hash, so that each of their links and
        memories carries its share and all hosts choose the same store for a part.
        """
        best = min(tier * kept.spec.first_s for kept in fitting)
        alike = [kept for kept in fitting if tier * kept.spec.first_s == best]
        quickest_s = min(kept.move_s(part.tokens, hall) for kept in alike)
        alike = [kept for kept in alike if kept.move_s(part.tokens, hall) <= quickest_s]
        by_id = {kept.spec.id: kept for kept in alike}
        return by_id[rank_names(part.id, by_id)[0]]

    def _note_saving(self, key: tuple[str, PartId], now: float) -> None:
        self._saving_until[key] = now + SAVING_S
        if len(self._saving_until) > SAVING_MAX:
            live = {each: until for each, until in self._saving_until.items() if until > now}
            self._saving_until = live


def make_salt(model: ModelId, version: int, workspace: WorkspaceId | None) -> str:
    """Return the name under which engines keep parts: one for each weights and each wall."""
    salt = f"{model}/{version}"
    return salt if workspace is None else f"{salt}/{workspace}"


def _find_holder(stores: list[KeptStore], salt: str, part: Part) -> KeptStore | None:
    for kept in stores:
        if kept.tokens_by_part.get((salt, part.id), 0) >= part.tokens:
            return kept
    return None
