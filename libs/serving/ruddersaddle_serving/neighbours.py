"""What hosts tell one another: published items and entries with their age, orders under way."""

import logging
import random

import eventlet
from eventlet.queue import LightQueue
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, StoreId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.crash_shares import CRASH_RECORDS_MAX, CrashShares, CrashUpdate
from ruddersaddle_serving.host_lists import HostList
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.load_shares import LoadExchange, LoadSums, Notices
from ruddersaddle_serving.neighbour_messages import (
    Ack,
    Changed,
    Loaded,
    Loading,
    NeighbourMessage,
    Ping,
    StateRequest,
    StateUpdate,
)
from ruddersaddle_serving.part_updates import PartsRequest, StoreLost, reply_parts
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.ports import (
    MetadataStore,
    ModelVersion,
    StorePosition,
)
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.store_eras import ERA_UNKNOWN
from ruddersaddle_serving.tasks import spawn_forever
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

ASK_TIMEOUT_S = 0.4
"""Longest wait for a peer's answer; one way between halls takes about a millisecond."""
STALE_S = 2.3
"""Beliefs older than this are asked of readers also by a reader: its own reads confirm them as of
1 to 2 s ago, unless the store does not answer it. What is new does not wait for this: readers tell
one another at once (`Changed`)."""
ASK_PAUSE_S = 0.6
"""Pause between a host's questions to a reader. With the reader's own reads (a second) the answer
confirms beliefs well within the shortest bound on them (2 s)."""
AGE_CHECK_S = 0.2
"""Pause between looks at the age of beliefs; well below `ASK_PAUSE_S`."""
CHECK_PAUSE_S = 1.0
"""Pause between looks at the connections to peers, one at a look: each of nine hosts finds a silent
one within 8 s. Asking all of them each second would be 72 messages a second on every host."""
START_WAIT_S = 0.6
"""Longest wait of a starting host for others: the list of hosts comes in milliseconds, and what is
on it is asked at the same time. Beside other work a longer one had callers refused for a second."""
START_POLL_S = 0.02
START_ASKS = 3
"""Hosts that a starting host asks beside the readers: after a compaction the store's answers may
lag, and a peer may know a newer configuration."""


class Neighbours:
    """The other hosts."""

    def __init__(
        self,
        hosts: Hosts,
        store: MetadataStore,
        publications: Publications,
        upstreams: UpstreamList,
        trackers: Trackers,
        cached_parts: CachedParts,
        crashes: CrashRecords,
    ) -> None:
        self.hosts = hosts
        self.address = hosts.own.address
        self.store = store
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.cached_parts = cached_parts
        self.peers = Peers(self.address, self._handle, NeighbourMessage)
        self.host_list = HostList(hosts, store)
        self.host_list.listeners.append(lambda: self.peers.keep_only(set(hosts.addresses())))
        self.loads = LoadExchange(hosts, self.peers, trackers, upstreams)
        self.crashes = CrashShares(hosts, self.peers, store, crashes)
        self._revision_by_address: dict[str, int] = {}
        self._crashes_revision_by_address: dict[str, int] = {}
        self._asked_at = float("-inf")
        self._seen = (0, 0)
        self.load_message_at = 0.0
        """When the last word of an engine being loaded came."""

    def start(self) -> None:
        """Listen, make this host known, and keep beliefs young."""
        self.publications.settling_until = clocks.now_s() + START_WAIT_S
        self.peers.start()
        self.host_list.start()
        spawn_forever("beliefs", self._refresh)
        spawn_forever("checks", self._check_connections)
        self.loads.start()
        self.crashes.start()

    @property
    def live_hosts(self) -> list[str]:
        """Addresses of the hosts that are not known to be silent, this one among them."""
        return [record.address for record in self.hosts.live()]

    # Beliefs

    def _request_state_at_start(self) -> None:
        """Ask some hosts what they know before what the store says counts as the newest.

        It may have come back from a copy, with a key that was taken away or an upstream that left.
        """
        until = self.publications.settling_until
        while not self.hosts.is_known and clocks.now_s() < until:
            eventlet.sleep(START_POLL_S)
        others = self.hosts.addresses()
        asked = random.sample(others, min(START_ASKS, len(others)))
        answers: LightQueue[bool] = LightQueue()
        for address in asked:
            eventlet.spawn(self._request_state_into, address, answers)
        # The first answer is enough: hosts know of a change within a second of one another.
        any(answers.get() for _ in asked)
        self.upstreams.drop_gone()
        self.publications.settling_until = float("-inf")

    def _request_state_into(self, address: str, answers: LightQueue[bool]) -> None:
        """Ask one peer, and put whether it answered, also where asking fails by a fault."""
        answered = False
        try:
            answered = self._request_state(address)
        finally:
            answers.put(answered)

    def _refresh(self) -> None:
        self._request_state_at_start()
        while True:
            eventlet.sleep(AGE_CHECK_S)
            self._broadcast_changes()
            age_s = max(self.publications.age_s, self.upstreams.age_s)
            since_s = clocks.now_s() - self._asked_at
            if since_s > ASK_PAUSE_S and (age_s > STALE_S or not self.hosts.is_reader()):
                self._request_state_of_reader()

    def _broadcast_changes(self) -> None:
        """Let this hall, and the other readers, ask at once for what this reader has learnt.

        A reader that the store turns away hears of a change from another one, within milliseconds.
        """
        seen = (self.publications.end, self.upstreams.revision)
        if seen == self._seen:
            return
        self._seen = seen
        if self.hosts.is_reader():
            told = {*self.hosts.hall_addresses(), *self.hosts.readers()} - {self.address}
            self.peers.broadcast(sorted(told), Changed(self.address))

    def _request_state_of_reader(self) -> None:
        """Ask the readers in turn until one has something young to tell."""
        self._asked_at = clocks.now_s()
        others = [each for each in self.hosts.readers() if each != self.address]
        known = self.hosts.addresses()
        if not others and known:
            others = [random.choice(known)]
        for address in others:
            if self._request_state(address) and self.publications.age_s < STALE_S:
                return

    def _check_connections(self) -> None:
        """Greet the peers in turn; a silent connection is closed by the greeting's time-out."""
        turn = 0
        while True:
            eventlet.sleep(CHECK_PAUSE_S)
            connected = self.peers.connected()
            if not connected:
                continue
            turn += 1
            address = connected[turn % len(connected)]
            if isinstance(self.peers.ask(address, Ping(), ASK_TIMEOUT_S), Failure):
                self.hosts.record_unresponsive(address)
            else:
                self.hosts.record_response(address)

    def _request_state(self, address: str) -> bool:
        """Ask one peer; return whether it answered."""
        asked_at = clocks.now_s()
        revision = self._revision_by_address.get(address, -1)
        hosts = self.hosts
        question = StateRequest(
            hosts.own_id,
            hosts.own,
            self.publications.version,
            revision,
            hosts.digest,
            self._crashes_revision_by_address.get(address, -1),
            self.store.eras.newest,
            hosts.position,
        )
        answer = self.peers.ask(address, question, ASK_TIMEOUT_S)
        if not isinstance(answer, StateUpdate):
            hosts.record_unresponsive(address)
            return False
        hosts.record_response(address)
        self._apply_state(answer, asked_at)
        self._revision_by_address[address] = answer.entries_revision
        self._crashes_revision_by_address[address] = answer.crashes_revision
        return True

    def _apply_state(self, news: StateUpdate, asked_at: float) -> None:
        """Take a peer's beliefs, dated from when the question left."""
        self._learn_era(news.known_era)
        if clocks.now_s() < self.publications.settling_until:
            self.upstreams.record_gone(news.gone)
        for named in news.named:
            self.publications.apply(named)
        self.publications.apply_naming_ages(news.namings, asked_at)
        if news.published is not None:
            self.publications.apply(news.published)
        end = StorePosition(news.era, news.end)
        if end >= self.publications.end:
            self._apply_evacuations(news.evacuated, end)
            self.publications.confirm(asked_at - news.age_s, end)
        if news.hosts is not None:
            self.host_list.apply(news.hosts, news.hosts_position)
        self._apply_crashes(news, asked_at)
        # What is cold is taken before the entries, so that none of them is ever thought warm.
        self.upstreams.cold.apply_all(news.cold)
        self.upstreams.apply_leaving(news.leaving)
        entries_at = asked_at - news.entries_age_s
        if entries_at <= self.upstreams.confirmed_at:
            return
        if news.entries is None:
            self.upstreams.confirm(entries_at)
        else:
            self.upstreams.replace_reported(news.entries, news.lapsing, entries_at, news.gone)

    def _apply_evacuations(self, halls: tuple[HallId, ...] | None, end: StorePosition) -> None:
        if halls is not None:
            is_copy = self.publications.is_of_later_era(end)
            self.publications.evacuations.replace(halls, is_copy)

    def _learn_era(self, era: int) -> None:
        if era != ERA_UNKNOWN:
            self.store.eras.learn(era)

    def _apply_crashes(self, news: StateUpdate, asked_at: float) -> None:
        self.crashes.apply_cleared(news.cleared)
        self.crashes.apply_records(news.crashes or ())
        self.crashes.confirm(asked_at - news.crashes_age_s)

    def _handle(self, message: NeighbourMessage) -> NeighbourMessage:
        match message:
            case StateRequest():
                return self._reply_state(message)
            case Loading():
                self.handle_loading(message)
            case Loaded():
                self.handle_loaded(message)
            case Changed():
                self._handle_changed(message)
            case Notices():
                self.loads.apply_notices(message)
            case LoadSums():
                self.loads.apply_sums(message)
            case CrashUpdate():
                self.crashes.apply_update(message)
            case PartsRequest():
                return reply_parts(self.cached_parts, message)
            case StoreLost():
                self._handle_store_lost(message)
        return Ack()

    def _reply_state(self, question: StateRequest) -> StateUpdate:
        self._learn_era(question.era)
        self.hosts.record_response(question.record.address)
        self.hosts.add(question.host, question.record)
        hosts = self.hosts
        self.host_list.record_peer_position(question.hosts_position)
        publications = self.publications
        upstreams = self.upstreams
        table = publications.table
        is_newer = table is not None and publications.version > question.version
        has_entries = question.entries_revision == upstreams.revision or not upstreams.complete
        versions = publications.version_by_model
        records = self.crashes.records
        knows_crashes = question.crashes_revision == records.revision
        return StateUpdate(
            age_s=publications.age_s,
            end=publications.end.offset,
            era=publications.end.era,
            known_era=self.store.eras.newest,
            named=tuple(ModelVersion(model, each) for model, each in versions.items()),
            published=table.published if is_newer else None,
            entries=None if has_entries else tuple(upstreams.by_id.values()),
            gone=() if has_entries else upstreams.recently_gone(),
            lapsing=() if has_entries else upstreams.lapsing,
            entries_revision=upstreams.revision if upstreams.complete else -1,
            entries_age_s=upstreams.age_s,
            hosts={**hosts.by_id, hosts.own_id: hosts.own}
            if self._has_list_for(question)
            else None,
            hosts_position=hosts.position,
            namings=publications.naming_ages(),
            crashes=None if knows_crashes else records.shared()[:CRASH_RECORDS_MAX],
            cleared=() if knows_crashes else records.recently_cleared()[:CRASH_RECORDS_MAX],
            crashes_revision=records.revision,
            crashes_age_s=self.crashes.age_s,
            evacuated=publications.evacuations.in_force(),
            cold=upstreams.cold.current(),
            leaving=upstreams.leaving(),
        )

    def _has_list_for(self, question: StateRequest) -> bool:
        """Return whether this host's list of hosts is better than the asker's.

        Whoever has a newer one tells it; of the same list a reader knows who asked it since.
        """
        hosts = self.hosts
        if question.hosts_position != hosts.position:
            return question.hosts_position < hosts.position
        return question.hosts_digest != hosts.digest and hosts.is_reader()

    def _handle_changed(self, message: Changed) -> None:
        if message.address in self.hosts.addresses():
            self._request_state(message.address)

    # Context stores

    def broadcast_store_lost(self, store: StoreId) -> None:
        """Tell this hall that a store takes no connection, where this host asks it for others."""
        if self.hosts.is_reader():
            self.peers.broadcast(self.hosts.hall_addresses(), StoreLost(store))

    def _handle_store_lost(self, message: StoreLost) -> None:
        store = self.cached_parts.by_id.get(message.store)
        if store is not None:
            store.record_lost()

    # Engines that are to load weights

    def handle_loading(self, message: Loading) -> None:
        """Send no new work to an engine for a while."""
        self.load_message_at = clocks.now_s()
        tracker = self.trackers.by_id.get(message.upstream)
        if tracker is not None:
            tracker.avoided_until = clocks.now_s() + message.seconds

    def handle_loaded(self, message: Loaded) -> None:
        """Take that an engine has new weights and takes work again."""
        self.load_message_at = clocks.now_s()
        tracker = self.trackers.by_id.get(message.upstream)
        if tracker is not None:
            tracker.record_version(message.model, message.version)
            tracker.avoided_until = 0.0

    def broadcast(self, message: Loading | Loaded) -> None:
        """Tell this host and all others; whoever misses it learns it from entries later."""
        self._handle(message)
        for address in self.hosts.addresses():
            eventlet.spawn(self._send_load_message, address, message)

    def _send_load_message(self, address: str, message: Loading | Loaded) -> None:
        if isinstance(self.peers.ask(address, message, ASK_TIMEOUT_S), Failure):
            self.hosts.record_unresponsive(address)


def rank_for_duty(duty: str, neighbours: Neighbours) -> int:
    """Return this host's place among the live ones for a duty; 0 comes first."""
    return rank_names(duty, neighbours.live_hosts).index(neighbours.address)
