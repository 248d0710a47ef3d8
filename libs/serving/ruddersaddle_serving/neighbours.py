"""Exchange of state between hosts: published items and entries with their age, engine loads."""

import logging
import math

import eventlet
import msgspec
from eventlet.queue import Empty, LightQueue
from ruddersaddle_base import clocks
from ruddersaddle_base.clocks import MS_PER_S
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, StoreId
from ruddersaddle_base.tasks import TICK_S, pause, spawn_forever
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.crash_shares import (
    CRASH_RECORDS_MAX,
    PART_RECORDS_MAX,
    CrashShares,
    CrashUpdate,
)
from ruddersaddle_serving.host_lists import HostList
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.load_shares import LoadExchange, LoadSums, LoadSumsRequest, Notices
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
from ruddersaddle_serving.ports import TOPIC_START, MetadataStore, ModelVersion, StorePosition
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.regions.link_probes import LinkProbes
from ruddersaddle_serving.regions.links import LinkReports, RegionLinks
from ruddersaddle_serving.regions.loads import RegionLoads
from ruddersaddle_serving.regions.state_sources import ASK_PAUSE_S as ASK_PAUSE_S
from ruddersaddle_serving.regions.state_sources import ASK_TIMEOUT_S as ASK_TIMEOUT_S
from ruddersaddle_serving.regions.state_sources import STALE_S, StateSources
from ruddersaddle_serving.regions.traffic import RegionTraffic
from ruddersaddle_serving.role_changes import RoleChanges
from ruddersaddle_serving.rollouts.messages import CloseOld, CountReport, RolloutNotice
from ruddersaddle_serving.rollouts.participants import RolloutParticipant
from ruddersaddle_serving.store_eras import ERA_UNKNOWN
from ruddersaddle_serving.stream_exchanges import StreamExchange
from ruddersaddle_serving.stream_records import HeldRequest, StreamQuestion, StreamsTold
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.weight_notices import WeightNotices

logger = logging.getLogger(__name__)

AGE_CHECK_S = 0.2
"""Interval between checks of the age of the view; well below `ASK_PAUSE_S`."""
CHECK_PAUSE_S = 1.0
"""Interval between probes of connections to peers, one connection at a time: each of nine hosts
finds a dead one within 8 s. Probing all of them each second would be 72 messages a second."""
PATIENCE_SHARE = 0.25
"""Share of a request's time-out after which the next reader is asked as well: connections to
several readers may be dead at the same time, and a leave must be known within 2 s."""
START_WAIT_S = 0.6
"""Longest wait of a starting host for other hosts: the list of hosts arrives in milliseconds, and
the hosts on it are asked concurrently. With a longer wait, callers were refused for a second."""
START_POLL_S = 0.02
IMMEDIATE_TYPES = (
    StateRequest,
    PartsRequest,
    Ping,
    Notices,
    LoadSums,
    LoadSumsRequest,
    RegionLoads,
    LinkReports,
    StreamsTold,
    StreamQuestion,
)
"""Messages that are handled without waiting for anything."""


class Neighbours:
    """The other hosts: keeps this host's view in step with theirs, and answers their requests."""

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
        self.peers = Peers(self.address, self._handle, NeighbourMessage, IMMEDIATE_TYPES)
        self.host_list = HostList(hosts, store)
        self.host_list.listeners.append(lambda: self.peers.keep_only(set(hosts.addresses())))
        hosts.listeners.append(self._set_known_hosts)
        self._gate = self.peers.gate
        self._set_known_hosts()
        self.role_changes = RoleChanges(hosts)
        self.loads = LoadExchange(hosts, self.peers, trackers, upstreams)
        self.crashes = CrashShares(hosts, self.peers, store, crashes)
        self.rollouts: RolloutParticipant | None = None
        """This host's part in rollouts; None on deployments without them."""
        self.streams: StreamExchange | None = None
        """Knows where streams began; None before the host is complete."""
        self.sources = StateSources(hosts)
        self.weight_notices = WeightNotices(hosts, self._ask_load_message)
        self.traffic = RegionTraffic(hosts, self.peers)
        self.host_list.listeners.append(self.traffic.update)
        self.links = RegionLinks(hosts.regions)
        self.link_probes = LinkProbes(hosts, self.peers, self.links)
        self._crashes_revision_by_address: dict[str, int] = {}
        self._asked_at = float("-inf")
        self._last_broadcast = (TOPIC_START, 0, TOPIC_START)
        self.load_message_at = 0.0
        """When the last message about an engine's load of weights was handled."""

    def _set_known_hosts(self) -> None:
        """Tell the gate of connections which hosts there are, also those that are leaving."""
        records = (*self.hosts.by_id.values(), *self.hosts.leaving_by_id.values())
        self._gate.set_hosts(each.address for each in records)

    def start(self) -> None:
        """Listen, register this host, and start the tasks that keep its view up to date."""
        self.publications.settling_until = clocks.now_s() + START_WAIT_S
        self.peers.start()
        self.host_list.start()
        spawn_forever("beliefs", self._refresh)
        spawn_forever("checks", self._check_connections)
        self.loads.start()
        self.crashes.start()
        self.link_probes.start()

    @property
    def live_hosts(self) -> list[str]:
        """Addresses of the hosts that are not known to be unresponsive, this one included."""
        return [record.address for record in self.hosts.live()]

    def _sync_at_start(self) -> None:
        """Ask some hosts for their state before the store's state counts as the newest.

        The store may have been restored from a copy that still has a revoked key or an upstream
        that left.
        """
        until = self.publications.settling_until
        while not self.hosts.is_known and clocks.now_s() < until:
            eventlet.sleep(START_POLL_S)
        asked = self.sources.to_ask_at_start()
        answers: LightQueue[bool] = LightQueue()
        for address in asked:
            eventlet.spawn(self._request_state_into, address, answers)
        # The first response is enough: all hosts know of a change within a second.
        any(answers.get() for _ in asked)
        self.upstreams.drop_gone()
        self.publications.settling_until = float("-inf")

    def _request_state_into(self, address: str, answers: LightQueue[bool]) -> None:
        """Ask one peer, and put whether it answered into a queue, also if an error is raised."""
        answered = False
        try:
            answered = self._request_state(address)
        finally:
            answers.put(answered)

    def _refresh(self) -> None:
        self._sync_at_start()
        while True:
            self._await_refresh()
            self.refresh()

    def _await_refresh(self) -> None:
        """Wait for the next refresh: hosts that pass changes on look for them all the time.

        With several regions, these include the readers of halls that don't read the store.
        """
        if self.hosts.is_reader() or self.hosts.serves_hall():
            pause(AGE_CHECK_S)
        else:
            self.role_changes.wait(self._ask_pause_s)

    def refresh(self) -> None:
        """Notify others of changes, and ask for their state if it is time to."""
        self._broadcast_changes()
        age_s = self._view_age_s
        since_s = clocks.now_s() - self._asked_at
        is_due = since_s > self._request_pause_s(age_s)
        if is_due and (age_s > STALE_S or not self.hosts.is_reader()):
            self._request_state_from_reader(age_s)

    @property
    def _ask_pause_s(self) -> float:
        """Time until this host asks a reader again at the next tick.

        The pause is shorter from when the view becomes older than `STALE_S`.
        """
        age_s = self._view_age_s
        since_s = clocks.now_s() - self._asked_at
        until_s = self._request_pause_s(age_s) - since_s
        urgent_s = self._request_pause_s(math.inf) - since_s
        return max(0.0, min(until_s, max(STALE_S - age_s, urgent_s)))

    def _request_pause_s(self, age_s: float) -> float:
        """Return the pause between requests for state if the view is `age_s` old.

        Waits end at ticks, so that a request may be up to one tick early. With several regions it
        is late instead, as more requests would load the link between them.
        """
        pause_s = self.sources.pause_s(age_s)
        return pause_s if self.hosts.regions.is_divided else pause_s - TICK_S

    def _broadcast_changes(self) -> None:
        """Notify this hall and the other readers of a change that this reader has learnt of.

        A reader that the store rejects thus receives a change from another within milliseconds.
        """
        current = (self.publications.end, self.upstreams.revision, self.hosts.position)
        if current == self._last_broadcast:
            return
        is_published = current[0] != self._last_broadcast[0]
        self._last_broadcast = current
        self.peers.broadcast(self.sources.to_notify(is_published), Changed(self.address))

    def _request_state_from_reader(self, age_s: float) -> None:
        """Ask the readers until one answers with a recent state; a slow one delays no other."""
        self._asked_at = clocks.now_s()
        answers: LightQueue[bool] = LightQueue()
        for address in self.sources.readers_to_ask(age_s):
            eventlet.spawn(self._request_state_into, address, answers)
            patience_s = self.sources.timeout_s(address) * PATIENCE_SHARE
            if _has_answer(answers, patience_s) and self._view_age_s < STALE_S:
                return

    @property
    def _view_age_s(self) -> float:
        """Age of the older one of the views of configuration and upstreams."""
        return max(self.publications.age_s, self.upstreams.age_s)

    def _check_connections(self) -> None:
        """Probe the peers in turn; the probe's time-out closes a dead connection."""
        index = 0
        while True:
            pause(CHECK_PAUSE_S)
            connected = self.peers.connected()
            if not connected:
                continue
            index += 1
            address = connected[index % len(connected)]
            timeout_s = self.sources.timeout_s(address)
            if isinstance(self.peers.ask(address, Ping(), timeout_s), Failure):
                self.hosts.record_unresponsive(address)
            else:
                self.hosts.record_response(address)

    def _request_state(self, address: str) -> bool:
        """Ask one peer; return whether it answered."""
        asked_at = clocks.now_s()
        hosts = self.hosts
        request = StateRequest(
            hosts.own_id,
            hosts.own,
            self.publications.version,
            self._entries_digest(),
            hosts.digest,
            self._crashes_revision_by_address.get(address, -1),
            self.store.eras.newest,
            hosts.position,
        )
        answer = self.peers.ask(address, request, self.sources.timeout_s(address))
        if not isinstance(answer, StateUpdate):
            hosts.record_unresponsive(address)
            return False
        hosts.record_response(address)
        self._apply_state(address, answer, asked_at)
        self._crashes_revision_by_address[address] = answer.crashes_revision
        return True

    def _apply_state(self, address: str, update: StateUpdate, asked_at: float) -> None:
        """Apply a peer's state, with ages relative to the time of the request."""
        self._learn_era(update.known_era)
        if clocks.now_s() < self.publications.settling_until:
            self.upstreams.record_gone(update.gone)
        for named in update.named:
            self.publications.apply(named)
        self.publications.apply_naming_ages(update.namings, asked_at)
        if update.published is not None:
            self.publications.apply(update.published)
        end = StorePosition(update.era, update.end)
        if end >= self.publications.end:
            self._apply_evacuations(update.evacuated, end)
            self.publications.confirm(asked_at - update.age_s, end)
        if update.hosts is not None:
            self.host_list.apply(update.hosts, update.hosts_position)
        self._apply_crashes(update, asked_at)
        if self.rollouts is not None and update.rollouts is not msgspec.UNSET:
            self.rollouts.book.apply_shared(update.rollouts)
        # Cold instances are applied before the entries, so that none of these counts as warm.
        self.upstreams.cold.apply_all(update.cold)
        self.upstreams.apply_leaving(update.leaving)
        self._apply_entries(address, update, asked_at - update.entries_age_s)

    def _apply_entries(self, address: str, update: StateUpdate, entries_at: float) -> None:
        """Apply a peer's list of upstreams if it has all that this host's list has.

        `entries_at` is the time before which it has every change that the store had accepted.
        """
        upstreams = self.upstreams
        is_ordered = update.entries_end != TOPIC_START
        if is_ordered and upstreams.covers(update.entries_end):
            upstreams.confirm_covered(update.entries_end, entries_at)
            return
        if not is_ordered and entries_at <= upstreams.confirmed_at:
            if update.entries is not None:
                self._log_ignored_list(address, entries_at)
            return
        if update.entries is not None:
            upstreams.replace_reported(
                update.entries, update.lapsing, entries_at, update.gone, update.entries_end
            )
        elif update.entries_digest == self._entries_digest():
            upstreams.advance(update.entries_end)
            upstreams.confirm(entries_at)

    def _entries_digest(self) -> int:
        return self.upstreams.digest if self.upstreams.complete else -1

    def _log_ignored_list(self, address: str, entries_at: float) -> None:
        self.upstreams.lists_ignored += 1
        ahead_s = self.upstreams.confirmed_at - entries_at
        logger.info(
            "List of upstreams of %s ignored: it is %.3f s older than the one in use.",
            address,
            ahead_s,
            extra={"entries_age_ms": round(self.upstreams.age_s * MS_PER_S)},
        )

    def _apply_evacuations(self, halls: tuple[HallId, ...] | None, end: StorePosition) -> None:
        if halls is not None:
            is_copy = self.publications.is_of_later_era(end)
            self.publications.evacuations.replace(halls, is_copy)

    def _learn_era(self, era: int) -> None:
        if era != ERA_UNKNOWN:
            self.store.eras.learn(era)

    def _apply_crashes(self, update: StateUpdate, asked_at: float) -> None:
        crashes = self.crashes
        crashes.apply_cleared(update.cleared)
        if crashes.lags(update.crashes_end):
            # It may have records that were deleted since; new ones come as messages of their own.
            return
        crashes.apply_told(update.crashes or (), update.part_records, update.crashes_end)
        crashes.confirm(asked_at - update.crashes_age_s)

    def _handle(self, message: NeighbourMessage) -> NeighbourMessage:
        match message:
            case StateRequest():
                return self._handle_request(message)
            case Loading():
                self.handle_loading(message)
                self.weight_notices.relay(message)
                return Ack(len(message.engines))
            case Loaded():
                self.handle_loaded(message)
                self.weight_notices.relay(message)
                return Ack(len(message.engines))
            case Changed():
                self._handle_changed(message)
            case Notices() | LoadSums() | LoadSumsRequest() | RegionLoads():
                self.loads.handle(message)
            case LinkReports():
                self.links.apply(message.reports)
            case CrashUpdate():
                self.crashes.apply_update(message)
            case PartsRequest():
                return reply_parts(self.cached_parts, message)
            case StoreLost():
                self._handle_store_lost(message)
            case _:
                return self._handle_stream(message) or self._handle_rollout(message)
        return Ack()

    def _handle_stream(self, message: NeighbourMessage) -> NeighbourMessage | None:
        """Handle a message on where streams began; return None for any other message."""
        is_known = isinstance(message, StreamsTold | StreamQuestion | HeldRequest)
        return self.streams.handle(message) if is_known and self.streams is not None else None

    def _handle_rollout(self, message: NeighbourMessage) -> NeighbourMessage:
        """Handle a message on rollouts; a host without them doesn't know any order."""
        is_rollout = isinstance(message, CountReport | CloseOld | RolloutNotice)
        if self.rollouts is None or not is_rollout:
            return Ack()
        return self.rollouts.handle(message) or Ack()

    def _handle_request(self, request: StateRequest) -> StateUpdate:
        self._learn_era(request.era)
        self.hosts.record_response(request.record.address)
        self.hosts.add(request.host, request.record)
        hosts = self.hosts
        self.host_list.record_peer_position(request.hosts_position)
        publications = self.publications
        upstreams = self.upstreams
        table = publications.table
        is_newer = table is not None and publications.version > request.version
        entries_digest = self._entries_digest()
        omits_entries = request.entries_digest == entries_digest or not upstreams.complete
        versions = publications.version_by_model
        records = self.crashes.records
        crashes_revision = records.revision + records.parts.revision
        knows_crashes = request.crashes_revision == crashes_revision
        return StateUpdate(
            age_s=publications.age_s,
            end=publications.end.offset,
            era=publications.end.era,
            known_era=self.store.eras.newest,
            named=tuple(ModelVersion(model, each) for model, each in versions.items()),
            published=table.published if is_newer else None,
            entries=None if omits_entries else tuple(upstreams.by_id.values()),
            gone=() if omits_entries else upstreams.recently_gone(),
            lapsing=() if omits_entries else upstreams.lapsing,
            entries_digest=entries_digest,
            entries_age_s=upstreams.age_s,
            entries_end=upstreams.end,
            hosts={**hosts.leaving_by_id, **hosts.by_id, hosts.own_id: hosts.own}
            if self._has_newer_list_for(request)
            else None,
            hosts_position=hosts.position,
            namings=publications.naming_ages(),
            crashes=None if knows_crashes else records.shared()[:CRASH_RECORDS_MAX],
            cleared=() if knows_crashes else records.recently_cleared()[-CRASH_RECORDS_MAX:],
            part_records=() if knows_crashes else records.parts.shared()[:PART_RECORDS_MAX],
            crashes_revision=crashes_revision,
            crashes_age_s=self.crashes.told_age_s,
            crashes_end=self.crashes.end,
            evacuated=publications.evacuations.in_force(),
            cold=upstreams.cold.current(),
            leaving=upstreams.leaving(),
            rollouts=msgspec.UNSET if self.rollouts is None else self.rollouts.book.share(),
        )

    def _has_newer_list_for(self, request: StateRequest) -> bool:
        """Return whether this host's list of hosts is newer than the requesting host's.

        At the same position a reader's list is preferred: it has the hosts that asked it since.
        """
        hosts = self.hosts
        if request.hosts_position != hosts.position:
            return request.hosts_position < hosts.position
        return request.hosts_digest != hosts.digest and hosts.is_reader()

    def _handle_changed(self, message: Changed) -> None:
        if message.address in self.hosts.addresses():
            self._request_state(message.address)

    # Context stores

    def broadcast_store_lost(self, store: StoreId) -> None:
        """Notify this hall that a store accepts no connection, if this host is a reader."""
        if self.hosts.serves_hall():
            self.peers.broadcast(self.hosts.hall_addresses(), StoreLost(store))

    def _handle_store_lost(self, message: StoreLost) -> None:
        store = self.cached_parts.by_id.get(message.store)
        if store is not None:
            store.record_lost()

    # Engines that load weights

    def handle_loading(self, message: Loading) -> None:
        """Send no new work to some engines for a while."""
        self.load_message_at = clocks.now_s()
        for upstream in message.engines:
            tracker = self.trackers.by_id.get(upstream)
            if tracker is not None:
                tracker.avoided_until = clocks.now_s() + message.seconds

    def handle_loaded(self, message: Loaded) -> None:
        """Apply that engines have loaded weights and accept work again."""
        self.load_message_at = clocks.now_s()
        for engine in message.engines:
            tracker = self.trackers.by_id.get(engine.upstream)
            if tracker is not None:
                tracker.record_version(message.model, engine.version)
                tracker.avoided_until = 0.0

    def broadcast(self, message: Loading | Loaded) -> None:
        """Send a message to all hosts; one that misses it learns the same from engines' entries."""
        self._handle(message)
        self.weight_notices.send_to_all(message)

    def _ask_load_message(self, address: str, message: Loading | Loaded) -> Ack | Failure:
        """Send a message; return the answer, and record a host that gave none."""
        answer = self.peers.ask(address, message, self.sources.timeout_s(address))
        if isinstance(answer, Failure):
            self.hosts.record_unresponsive(address)
        return answer


def _has_answer(answers: LightQueue[bool], wait_s: float) -> bool:
    """Return whether a peer answered within a time."""
    try:
        return answers.get(timeout=wait_s)
    except Empty:
        return False


def rank_for_duty(duty: str, neighbours: Neighbours) -> int:
    """Return this host's rank among the responsive hosts for a duty; 0 is the first."""
    return rank_names(duty, neighbours.live_hosts).index(neighbours.address)
