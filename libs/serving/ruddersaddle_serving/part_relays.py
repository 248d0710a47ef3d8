"""The task by which a host gets changes at context stores from the reader of its hall."""

import logging

from ruddersaddle_base import clocks
from ruddersaddle_base.tasks import pause, spawn_forever

from ruddersaddle_serving.cached_parts import RESERVED_WATCHERS, CachedParts
from ruddersaddle_serving.neighbours import ASK_TIMEOUT_S, Neighbours
from ruddersaddle_serving.part_updates import (
    KnownRevision,
    PartsRequest,
    PartsUpdate,
    apply_store_update,
)
from ruddersaddle_serving.routes import ContextStore

logger = logging.getLogger(__name__)

ASK_PAUSE_S = 0.5
"""Pause between requests. A listing is trusted for 2 s; with the reader's own poll (0.5 s), its
confirmation is about a second old when the next answer arrives."""
START_PAUSE_S = 0.2
"""Pause between requests until each store has been listed once. A reader that started at the same
time has listed them within 0.1 s."""


class PartRelay:
    """Refreshes the listings of stores from the hall's reader."""

    def __init__(self, cached_parts: CachedParts, neighbours: Neighbours) -> None:
        self.cached_parts = cached_parts
        self.neighbours = neighbours
        self._revision_by_source: dict[tuple[str, str], int] = {}

    def start(self) -> None:
        """Start the task."""
        self.cached_parts.polls_directly = self.polls_directly
        self.cached_parts.broadcast_lost = self.neighbours.broadcast_store_lost
        # Without this listener, hosts would fetch nothing until the next check, a second after a
        # restart of all hosts. That second caused 140,000 of a day's 300,000 recomputed tokens.
        self.neighbours.host_list.listeners.append(self.cached_parts.start_followers)
        spawn_forever("parts", self._run)

    def polls_directly(self, spec: ContextStore) -> bool:
        """Return whether this host polls a store itself: all hosts do if they are few enough."""
        hosts = self.neighbours.hosts
        if not hosts.is_known:
            return False
        if hosts.region_count <= spec.watchers_max - RESERVED_WATCHERS:
            return True
        return hosts.serves_hall()

    def _run(self) -> None:
        while True:
            pause(self._pause_s)
            relayed = [spec for spec in self._specs() if not self.polls_directly(spec)]
            if relayed:
                self._ask(relayed)
            else:
                # This host polls the stores itself now, so a reader's revisions no longer apply.
                self._revision_by_source.clear()

    @property
    def _pause_s(self) -> float:
        is_listed = all(store.epoch is not None for store in self.cached_parts.by_id.values())
        return ASK_PAUSE_S if is_listed else START_PAUSE_S

    def _specs(self) -> list[ContextStore]:
        return [store.spec for store in self.cached_parts.by_id.values()]

    def _ask(self, specs: list[ContextStore]) -> None:
        reader = self.neighbours.hosts.hall_reader()
        positions = tuple(
            KnownRevision(spec.id, self._revision_by_source.get((reader, spec.id), -1))
            for spec in specs
        )
        asked_at = clocks.now_s()
        answer = self.neighbours.peers.ask(reader, PartsRequest(positions), ASK_TIMEOUT_S)
        if not isinstance(answer, PartsUpdate):
            logger.info("Reader %s sent no changes at context stores.", reader)
            self.neighbours.hosts.record_unresponsive(reader)
            return
        self._revision_by_source = {
            key: revision for key, revision in self._revision_by_source.items() if key[0] == reader
        }
        for update in answer.stores:
            store = self.cached_parts.by_id.get(update.store)
            if store is not None and apply_store_update(store, update, asked_at):
                self._revision_by_source[reader, update.store] = update.revision
