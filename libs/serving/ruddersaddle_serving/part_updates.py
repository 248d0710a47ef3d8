"""What hosts tell one another of context stores, so that few of them ask each store."""

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import StoreId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.context_stores import StoreView
from ruddersaddle_serving.ports import StoreChange

ROWS_MAX = 3000
"""Parts in one answer, unless a single store has more: about 120 KB."""


class KnownRevision(msgspec.Struct, frozen=True, array_like=True):
    """How far the asker knows a store, by the revision of the host that it asks."""

    store: StoreId
    revision: int


class PartsRequest(msgspec.Struct, frozen=True, tag="ask_parts"):
    """Asks what has changed at context stores."""

    positions: tuple[KnownRevision, ...]


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What changed at one store. `next` continues the store's own events, `clock_ms` is the
    engines' clock when this was told, `age_s` the age of the listing's last confirmation."""

    store: StoreId
    epoch: int
    next: int
    revision: int
    age_s: float
    clock_ms: float
    used_tokens: int
    is_complete: bool
    changes: tuple[StoreChange, ...]


class PartsUpdate(msgspec.Struct, frozen=True, tag="parts_news"):
    """Answers with the stores that the peer itself knows well; some may be left for the next."""

    stores: tuple[StoreUpdate, ...]


class StoreLost(msgspec.Struct, frozen=True, tag="store_lost"):
    """Tells that a context store takes no connection; it is not answered."""

    store: StoreId


def make_parts_update(kept: CachedParts, question: PartsRequest) -> PartsUpdate:
    """Return what the asker does not know yet."""
    told: list[StoreUpdate] = []
    rows = 0
    for position in question.positions:
        store = kept.by_id.get(position.store)
        if store is None or not store.is_trusted:
            continue
        news = _make_store_update(store, position.revision)
        if told and rows + len(news.changes) > ROWS_MAX:
            continue
        rows += len(news.changes)
        told.append(news)
    return PartsUpdate(tuple(told))


def _make_store_update(store: StoreView, revision: int) -> StoreUpdate:
    changes = store.changes_since(revision)
    return StoreUpdate(
        store=store.spec.id,
        epoch=store.epoch,
        next=store.next_event,
        revision=store.revision,
        age_s=clocks.now_s() - store.confirmed_at,
        clock_ms=store.clock_ms,
        used_tokens=store.used_tokens,
        is_complete=changes is None,
        changes=store.listing() if changes is None else changes,
    )


def apply_store_update(store: StoreView, news: StoreUpdate, asked_at: float) -> None:
    """Take what a peer told, dated from when the question left."""
    if news.is_complete or news.epoch != store.epoch:
        store.reset(news.epoch, news.next, bool(news.changes))
    for change in news.changes:
        store.apply(change)
    store.next_event = news.next
    store.used_tokens = news.used_tokens
    store.record_clock(int(news.clock_ms))
    store.confirmed_at = max(store.confirmed_at, asked_at - news.age_s)
