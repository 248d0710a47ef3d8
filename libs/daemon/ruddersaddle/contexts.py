"""Context cache on store hosts: lookup, fetch into engines, and saving after a stream has ended.

The store host of a context is selected by rendezvous hashing over the published store hosts. Every
host finds it without a directory, so 2.2 million stored prompts take no memory on a host.
"""

import logging
from collections.abc import Sequence

import eventlet
import msgspec
from eventlet.event import Event as Signal
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import BlockKey, RequestId, StoreId
from ruddersaddle_base.settings import Settings
from ruddersaddle_routing.choices import StoredChain
from ruddersaddle_routing.rendezvous import rank_names
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Store
from ruddersaddle_upstreams.engines import EngineClient
from ruddersaddle_upstreams.links import Link
from ruddersaddle_upstreams.stores import StoreClient

logger = logging.getLogger(__name__)

PENDING_SAVES_MAX = 64
"""Further saves are dropped: a saved context only speeds up later requests."""


class ContextCounts(msgspec.Struct):
    """Counts of lookups, fetches and saves of stored context."""

    found: int = 0
    fetched_blocks: int = 0
    fetch_failures: int = 0
    kept_blocks: int = 0
    keep_dropped: int = 0
    keep_failures: int = 0


class ContextLookup(msgspec.Struct, frozen=True):
    """The stored part of a block chain, its store host, and the size of a block."""

    chain: StoredChain
    store: StoreClient | None = None
    bytes_per_block: int = 0


class ContextCache:
    """This host's client of the contexts on store hosts."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.enabled = settings.flag("contexts.keep")
        self.min_blocks = settings.integer("contexts.min_blocks")
        self.store_by_id: dict[StoreId, StoreClient] = {}
        self.counts = ContextCounts()
        self._fetch_by_target: dict[tuple[str, BlockKey], Signal] = {}
        self._pending_saves = 0

    def update(self, configuration: Configuration) -> None:
        """Apply the published list of store hosts."""
        wanted = {store.id: store for store in configuration.values(Store)}
        for removed in set(self.store_by_id) - set(wanted):
            del self.store_by_id[removed]
        for store in wanted.values():
            known = self.store_by_id.get(store.id)
            if known is None or not _is_unchanged(known, store):
                self.store_by_id[store.id] = self._make_client(store)

    def _make_client(self, store: Store) -> StoreClient:
        connect_s = self.settings.number("routing.connect_s")
        timeout_s = self.settings.number("contexts.timeout_s")
        return StoreClient(store.address, Link(store.link_bytes_s), connect_s, timeout_s)

    def _select_store(self, keys: Sequence[BlockKey]) -> StoreClient | None:
        """Return the store host for a chain: the first by rendezvous hash whose link is up."""
        for name in rank_names(keys[0], self.store_by_id):
            store = self.store_by_id[name]
            if store.link.is_up:
                return store
        return None

    def find(self, keys: list[BlockKey]) -> ContextLookup:
        """Return how much of a chain is stored; an unreachable store counts as nothing stored."""
        if not self.enabled or len(keys) < self.min_blocks:
            return ContextLookup(StoredChain())
        store = self._select_store(keys)
        if store is None:
            return ContextLookup(StoredChain())
        count = store.find(keys)
        if isinstance(count, Failure):
            store.link.record_failure()
            return ContextLookup(StoredChain())
        if count.count == 0:
            return ContextLookup(StoredChain(), store)
        self.counts.found += 1
        per_block = count.bytes // count.count
        per_block_s = per_block / max(1.0, store.link.rate_bytes_s)
        chain = StoredChain(count.count, per_block_s, store.link.estimate_s(0))
        return ContextLookup(chain, store, per_block)

    def fetch(
        self, found: ContextLookup, engine: EngineClient, chain: list[BlockKey], cached: int
    ) -> int:
        """Transfer verified blocks of a chain from a store host to an engine; return their count.

        The first `cached` blocks are already in the engine, which is asked to retain them.

        Only one fetch of the same blocks to the same engine runs at a time; others wait for it.
        """
        target = (engine.address, chain[-1])
        running = self._fetch_by_target.get(target)
        if running is not None:
            return running.wait()
        signal: Signal = Signal()
        self._fetch_by_target[target] = signal
        count = 0
        try:
            count = self._fetch(found, engine, chain, cached)
        finally:
            del self._fetch_by_target[target]
            signal.send(count)
        return count

    def _fetch(
        self, found: ContextLookup, engine: EngineClient, chain: list[BlockKey], cached: int
    ) -> int:
        store = found.store
        keys = chain[cached:]
        size = len(keys) * found.bytes_per_block
        store.link.queued_bytes += size
        frames = store.read(keys)
        store.link.queued_bytes -= size
        if isinstance(frames, Failure) or not frames:
            self.counts.fetch_failures += 1
            return 0
        data = b"".join(frame.sealed for frame in frames)
        imported = engine.import_blocks(data, chain[:cached])
        if isinstance(imported, Failure):
            self.counts.fetch_failures += 1
            return 0
        store.link.useful_bytes += len(data)
        self.counts.fetched_blocks += len(frames)
        return len(frames)

    def save_in_background(self, engine: EngineClient, request: RequestId) -> None:
        """Save a finished request's context in the background."""
        if not self.enabled or not self.store_by_id or self._pending_saves >= PENDING_SAVES_MAX:
            self.counts.keep_dropped += 1
            return
        self._pending_saves += 1
        eventlet.spawn(self._save_counted, engine, request)

    def _save_counted(self, engine: EngineClient, request: RequestId) -> None:
        try:
            self.save(engine, request)
        finally:
            self._pending_saves -= 1

    def save(self, engine: EngineClient, request: RequestId) -> int:
        """Save the blocks of a request's context that the store host lacks; return their count."""
        keys = engine.list_request_blocks(request)
        if isinstance(keys, Failure) or len(keys) < self.min_blocks:
            return 0
        store = self._select_store(keys)
        count = store.find(keys) if store is not None else None
        if count is None or isinstance(count, Failure):
            self.counts.keep_failures += 1
            return 0
        missing = keys[count.count :]
        return self._export(engine, store, missing) if missing else 0

    def _export(self, engine: EngineClient, store: StoreClient, keys: list[BlockKey]) -> int:
        frames = engine.export_blocks(keys)
        if isinstance(frames, Failure):
            self.counts.keep_failures += 1
            return 0
        if not store.link.try_reserve_background(len(frames)):
            self.counts.keep_dropped += 1
            return 0
        written = store.write(frames)
        if isinstance(written, Failure):
            logger.info("Context was not saved on %s. %s", store.address, written.detail)
            self.counts.keep_failures += 1
            return 0
        self.counts.kept_blocks += len(keys)
        return len(keys)


def _is_unchanged(client: StoreClient, store: Store) -> bool:
    same_rate = client.link.capacity_bytes_s == store.link_bytes_s
    return same_rate and client.address == store.address
