"""Messages by which hosts relay changes at context stores, so that few hosts poll each store."""

import logging

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import StoreId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.context_stores import StoreView
from ruddersaddle_serving.ports import StoreChange

logger = logging.getLogger(__name__)

ROWS_MAX = 3000
"""Most changes in one answer, about 120 KB, unless a single store has more."""


class KnownRevision(msgspec.Struct, frozen=True, array_like=True):
    """The revision up to which the sender knows a store, as numbered by the host that it asks."""

    store: StoreId
    revision: int


class PartsRequest(msgspec.Struct, frozen=True, tag="ask_parts"):
    """Requests the changes at context stores."""

    positions: tuple[KnownRevision, ...]


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes at one store.

    `next` is the number of the store's next event, `clock_ms` the engines' clock when this was sent
    and `age_s` the time since the listing was last confirmed.
    """

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
    """Answer to a `PartsRequest`: changes at the stores whose listing the peer trusts.

    Stores that are left out because of `ROWS_MAX` are in a later answer.
    """

    stores: tuple[StoreUpdate, ...]


class StoreLost(msgspec.Struct, frozen=True, tag="store_lost"):
    """Says that a context store accepts no connection; it is not answered."""

    store: StoreId


def reply_parts(cached_parts: CachedParts, request: PartsRequest) -> PartsUpdate:
    """Return the changes that the requesting host doesn't know yet."""
    updates: list[StoreUpdate] = []
    rows = 0
    for position in request.positions:
        store = cached_parts.by_id.get(position.store)
        if store is None or not store.is_trusted:
            continue
        update = _make_store_update(store, position.revision)
        if updates and rows + len(update.changes) > ROWS_MAX:
            continue
        rows += len(update.changes)
        updates.append(update)
    return PartsUpdate(tuple(updates))


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


def apply_store_update(store: StoreView, update: StoreUpdate, asked_at: float) -> bool:
    """Apply a peer's update to the view of its store; return False if the view is newer.

    Its age is counted from when the request was sent, so the listing never seems too recent.
    """
    confirmed_at = asked_at - update.age_s
    if _is_older(store, update, confirmed_at):
        logger.info("Changes at store %s ignored: this host's listing is newer.", store.spec.id)
        return False
    if update.is_complete or update.epoch != store.epoch:
        store.reset(update.epoch, update.next, bool(update.changes))
    for change in update.changes:
        store.apply(change)
    store.next_event = update.next
    store.used_tokens = update.used_tokens
    store.record_clock(int(update.clock_ms))
    store.confirmed_at = max(store.confirmed_at, confirmed_at)
    return True


def _is_older(store: StoreView, update: StoreUpdate, confirmed_at: float) -> bool:
    """Return whether an update lacks events of the view; epochs are compared by their dates."""
    if update.epoch == store.epoch:
        return store.covers(update.epoch, update.next)
    return store.epoch is not None and confirmed_at <= store.confirmed_at
