"""The task by which a host is told of context stores by the reader of its hall."""

import logging

import eventlet
from ruddersaddle_base import clocks

from ruddersaddle_serving.kept_parts import SPARE_WATCHERS, KeptParts
from ruddersaddle_serving.neighbours import ASK_TIMEOUT_S, Neighbours
from ruddersaddle_serving.part_news import AskParts, PartsNews, Position, take_store
from ruddersaddle_serving.routes import ContextStore
from ruddersaddle_serving.tasks import spawn_forever

logger = logging.getLogger(__name__)

ASK_PAUSE_S = 0.5
"""Pause between questions. A listing is trusted for 2 s; with the reader's own question (0.5 s) its
confirmation is about a second old when the next answer comes."""
START_PAUSE_S = 0.2
"""The same until each store has been told of once; a reader that has started at the same time knows
them within 0.1 s."""


class PartRelay:
    """Keeps the listings of stores young from the hall's reader."""

    def __init__(self, kept: KeptParts, neighbours: Neighbours) -> None:
        self.kept = kept
        self.neighbours = neighbours
        self._revision_by_source: dict[tuple[str, str], int] = {}

    def start(self) -> None:
        """Start the task."""
        self.kept.watches = self.watches
        self.kept.tell_lost = self.neighbours.broadcast_store_lost
        # Waiting for the next look instead, hosts that had all been lost fetched nothing for their
        # first second, and read 140,000 of 300,000 tokens of a day again in it.
        self.neighbours.host_list.listeners.append(self.kept.start_followers)
        spawn_forever("parts", self._run)

    def watches(self, spec: ContextStore) -> bool:
        """Return whether this host asks a store itself: all do while they are few enough."""
        hosts = self.neighbours.hosts
        if not hosts.is_known:
            return False
        if hosts.count <= spec.watchers_max - SPARE_WATCHERS:
            return True
        return hosts.is_reader()

    def _run(self) -> None:
        while True:
            eventlet.sleep(self._pause_s)
            told = [spec for spec in self._specs() if not self.watches(spec)]
            if told:
                self._ask(told)
            else:
                # This host asks the stores itself now; a reader's numbers don't fit any more.
                self._revision_by_source.clear()

    @property
    def _pause_s(self) -> float:
        is_listed = all(kept.epoch is not None for kept in self.kept.by_id.values())
        return ASK_PAUSE_S if is_listed else START_PAUSE_S

    def _specs(self) -> list[ContextStore]:
        return [kept.spec for kept in self.kept.by_id.values()]

    def _ask(self, specs: list[ContextStore]) -> None:
        reader = self.neighbours.hosts.hall_reader()
        positions = tuple(
            Position(spec.id, self._revision_by_source.get((reader, spec.id), -1)) for spec in specs
        )
        asked_at = clocks.now_s()
        answer = self.neighbours.peers.ask(reader, AskParts(positions), ASK_TIMEOUT_S)
        if not isinstance(answer, PartsNews):
            logger.info("Reader %s tells nothing of context stores.", reader)
            self.neighbours.hosts.record_unresponsive(reader)
            return
        self._revision_by_source = {
            key: revision for key, revision in self._revision_by_source.items() if key[0] == reader
        }
        for news in answer.stores:
            store = self.kept.by_id.get(news.store)
            if store is not None:
                take_store(store, news, asked_at)
                self._revision_by_source[reader, news.store] = news.revision
