"""One entry host: its components, its listeners, its planned stop."""

import logging
import math
import os
import signal
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import eventlet
import eventlet.wsgi
from eventlet.greenthread import GreenThread
from ruddersaddle_base import clocks
from ruddersaddle_base.allocators import return_large_blocks
from ruddersaddle_base.histograms import Histograms
from ruddersaddle_base.ids import HallId, HostId, Incarnation, UpstreamId, new_incarnation
from ruddersaddle_base.settings import Settings
from ruddersaddle_base.tasks import log_unhandled_exceptions, pause, spawn_forever
from ruddersaddle_routing.retry_budgets import RetryBound, RetryBudgets

from ruddersaddle_serving.buffer_shares import BUFFERS
from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.caller_budgets import CallerBudget
from ruddersaddle_serving.caller_listeners import ResilientListener, connection_limit
from ruddersaddle_serving.caller_pools import CallerPool
from ruddersaddle_serving.caller_protocols import HEAD_BYTES_MAX, CallerProtocol, RelayProtocol
from ruddersaddle_serving.connection_gates import ConnectionGate
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.crash_watches import CrashWatch
from ruddersaddle_serving.deferred_timeouts import DeferredTimeout
from ruddersaddle_serving.fence_leases import FenceLease
from ruddersaddle_serving.forwarders import Forwarder
from ruddersaddle_serving.fronts import Front
from ruddersaddle_serving.garbage_collections import start_collecting
from ruddersaddle_serving.host_pages import format_host_page
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.limited_applications import LimitedApplication
from ruddersaddle_serving.metric_pages import (
    TEXT_TYPE,
)
from ruddersaddle_serving.neighbours import Neighbours
from ruddersaddle_serving.part_relays import PartRelay
from ruddersaddle_serving.path_probes import PathProbes
from ruddersaddle_serving.peers import limit_threads
from ruddersaddle_serving.placements import Placement
from ruddersaddle_serving.pool_versions import PoolVersions
from ruddersaddle_serving.ports import TOPIC_START, Engines, MetadataStore, Wire
from ruddersaddle_serving.probes import Probes
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.regions.choosers import LocalFirstChooser
from ruddersaddle_serving.regions.maps import RegionMap
from ruddersaddle_serving.regions.residency import Residency
from ruddersaddle_serving.regions.restricted_parts import RestrictedParts
from ruddersaddle_serving.relays import RelayPeers
from ruddersaddle_serving.replaced_parts import ReplacedParts
from ruddersaddle_serving.request_ends import interrupted_fields
from ruddersaddle_serving.rollouts.orders import ExposureLimits
from ruddersaddle_serving.rollouts.wirings import connect_rollouts
from ruddersaddle_serving.self_reports import SelfReport
from ruddersaddle_serving.socket_liveness import set_listener_options
from ruddersaddle_serving.standstills import StallMonitor
from ruddersaddle_serving.stop_signals import StopSignals
from ruddersaddle_serving.store_followers import (
    CRASH_WAIT_S,
    OPERATOR_WAIT_S,
    UPSTREAM_PAUSE_S,
    CrashFollower,
    OperatorFollower,
    StoreLink,
    TopicFollower,
    UpstreamFollower,
)
from ruddersaddle_serving.stream_exchanges import StreamExchange
from ruddersaddle_serving.stream_origins import StreamOrigins, StreamTimes
from ruddersaddle_serving.stream_records import StreamRecords
from ruddersaddle_serving.trackers import Notice, Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_quotas import UpstreamQuotas
from ruddersaddle_serving.version_pins import VersionPinRule
from ruddersaddle_serving.weight_rollouts import WeightRollouts

logger = logging.getLogger(__name__)

MS_PER_S = 1000.0
BACKLOG = 1024
KEY_AGE_MARGIN_S = 0.3
"""A request with a key is sent at least this long before the bound on revoked keys is reached, to
allow for the time between the check and the last byte sent."""
MAINTENANCE_INTERVAL_S = 1.0
ACCEPT_AFTER_STOP_S = 2.6
"""New connections are accepted for this long after the signal to stop: the load balancer checks
readiness each second and takes a host out after two failures."""
GRACE_MARGIN_S = 0.7
"""A host exits this long before the platform would kill it, which is `requests.grace_s` after the
signal."""
DRAIN_POLL_S = 0.05
REMOVAL_TIMEOUT_S = 0.3
"""Longest wait for the store at the end of a planned stop, within `GRACE_MARGIN_S`."""
REJOIN_S = 20.0
"""Time after the end of a planned stop until all hosts know the host again, if it has started anew:
that of a start, and of the longest pause between two reads of the list."""
STOP_CHECK_S = 0.25
"""Interval of checks for a planned stop; readiness ends at once, with the signal itself."""


@dataclass(frozen=True)
class ServedPort:
    """A listener, its server's task, and the pool of its connections' tasks."""

    listener: ResilientListener
    server: GreenThread
    pool: CallerPool


class EntryHost:
    """One entry host: wires its components together, serves callers, and stops as planned."""

    def __init__(
        self,
        settings: Settings,
        store: MetadataStore,
        wire: Wire,
        engines: Engines,
        incarnation: Incarnation,
    ) -> None:
        self.settings = settings
        self.store = store
        self.engines = engines
        self.incarnation = incarnation
        self.stopping = False
        self.signals = StopSignals()
        self.stall_monitor = StallMonitor()
        self.gate = ConnectionGate()
        self.caller_budget = CallerBudget.from_settings(settings, connection_limit())
        self.operations_budget = CallerBudget.for_operations()
        BUFFERS.budget = self.caller_budget
        self.histograms = Histograms()
        self.store_link = StoreLink()
        self.publications = Publications()
        self.upstreams = UpstreamList()
        store.eras.restore_listeners.append(self.upstreams.ignore_gone_instances)
        self.upstream_follower = UpstreamFollower(store, self.store_link, self.upstreams)
        self.followers: tuple[TopicFollower, ...] = ()
        """The followers of the store's topics, once they run."""
        self.trackers = Trackers()
        self.hosts = self._make_hosts(settings)
        self.quotas = UpstreamQuotas(self.hosts, self.publications, self.upstreams)
        self.cached_parts = CachedParts(engines, self.hosts.regions)
        self.retry_budgets = RetryBudgets(RetryBound.from_settings(settings))
        self.residency = Residency(RegionMap.from_settings(settings), self.publications)
        self.cached_parts.rule = self.residency
        self.stream_times = StreamTimes()
        self.pool_versions = PoolVersions(self.upstreams, self.stream_times.version_memory_s)
        self.publications.listeners += [
            self.stream_times.apply_table,
            self.pool_versions.route_pools.apply_table,
            self.residency.apply_table,
            self.trackers.apply_table,
            self.cached_parts.apply_table,
            lambda table: self.retry_budgets.keep_only(table.pool_by_id),
        ]
        self.crash_records = CrashRecords()
        self.crash_watch = CrashWatch(
            engines,
            self.upstreams,
            self.crash_records,
            lambda crash: self.neighbours.crashes.broadcast_crash(crash),
            lambda fingerprint: self.neighbours.crashes.broadcast_cleared(fingerprint),
            lambda clearances: self.neighbours.crashes.broadcast_cleared_parts(clearances),
        )
        self.crash_records.parts.rank = self.hosts.rank
        self.crash_records.parts.admit(settings.text("crashes.admitted_parts"))
        self._build_request_path(wire)
        self._build_tasks()
        self.service_rollouts = connect_rollouts(
            ExposureLimits.from_settings(settings),
            incarnation,
            self.neighbours,
            self.quotas,
            self.forwarder,
            self.stall_monitor,
        )
        """This host's part in rollouts of software versions; None if they are switched off."""
        engines.report_listeners.append(self._apply_report)

    @classmethod
    def from_settings(
        cls, settings: Settings, store: MetadataStore, wire: Wire, engines: Engines
    ) -> "EntryHost":
        """Return a host that has not started yet, with a new incarnation."""
        incarnation = new_incarnation(HostId(settings.text("host.id")))
        return cls(settings, store, wire, engines, incarnation)

    def apply(self, settings: Settings) -> None:
        """Apply new settings; addresses and ids stay the same until the next start."""
        self.settings = settings
        self.forwarder.key_age_max_s = self.key_age_max_s
        self.forwarder.placement.version_bound_s = self.weights_s
        self.rollouts.weights_s = self.weights_s
        self.rollouts.lease.lease_s = settings.number("bounds.lease_ms") / MS_PER_S
        self.retry_budgets.bound = RetryBound.from_settings(settings)
        self.crash_records.parts.admit(settings.text("crashes.admitted_parts"))
        if self.service_rollouts is not None:
            self.service_rollouts.plans.limits = ExposureLimits.from_settings(settings)

    @property
    def key_age_max_s(self) -> float:
        """Highest age of the configuration's confirmation at which a caller's key is accepted.

        If the bound is not strict, keys stay valid while the metadata store is unavailable: with a
        strict bound, every caller was refused for 4 s of an outage of 8 s.
        """
        if not self.settings.flag("bounds.key_end_strict"):
            return math.inf
        return self.settings.number("bounds.key_end_ms") / MS_PER_S - KEY_AGE_MARGIN_S

    @property
    def weights_s(self) -> float:
        """Bound on the use of replaced weights, in seconds."""
        return self.settings.number("bounds.weights_ms") / MS_PER_S

    def _make_hosts(self, settings: Settings) -> Hosts:
        record = HostRecord(
            settings.text("listen.peers"),
            HallId(settings.text("host.hall")),
            settings.number("host.link_mbps"),
            settings.text("listen.relays"),
        )
        seeds = settings.text("listen.seeds").split(",")
        host = HostId(settings.text("host.id"))
        memory_s = settings.number("requests.grace_s") + REJOIN_S
        return Hosts(host, record, seeds, RegionMap.from_settings(settings), memory_s)

    def _build_request_path(self, wire: Wire) -> None:
        settings = self.settings
        placement = Placement(
            HallId(settings.text("host.hall")),
            self.weights_s,
            self.publications,
            self.upstreams,
            self.trackers,
            self.cached_parts,
            self.quotas,
        )
        placement.rules += [self.residency, VersionPinRule(self.pool_versions)]
        self.forwarder = Forwarder(
            placement,
            wire,
            self.publications,
            self.retry_budgets,
            self.key_age_max_s,
            self._broadcast_notice,
            self.crash_watch,
        )
        self.forwarder.relay_peers = RelayPeers(self.hosts, wire, self.residency.allows_hall)
        self.path_probes = PathProbes(self.trackers)
        self.front = Front(wire, self.publications, self.forwarder, self.histograms)

    def _build_tasks(self) -> None:
        settings = self.settings
        self.neighbours = Neighbours(
            self.hosts,
            self.store,
            self.publications,
            self.upstreams,
            self.trackers,
            self.cached_parts,
            self.crash_records,
        )
        self.neighbours.host_list.listeners.append(self._divide_retries)
        self.crash_watch.are_records_known = lambda: self.neighbours.crashes.are_known
        self.streams = self._make_stream_exchange()
        self.forwarder.origins = StreamOrigins(self.pool_versions, self.streams)
        self.chooser = LocalFirstChooser.attach(
            self.forwarder.placement,
            self.neighbours.links,
            self.neighbours.traffic.record_request,
        )
        self.forwarder.placement.view_lag_s = lambda: self.neighbours.loads.lag_s
        self.probes = Probes(
            self.neighbours.hosts, self.trackers, self.engines, self._broadcast_notice
        )
        self.part_relay = PartRelay(self.cached_parts, self.neighbours)
        lease_s = settings.number("bounds.lease_ms") / MS_PER_S
        lease = FenceLease(self.store, self.incarnation, lease_s)
        self.rollouts = WeightRollouts(
            lease,
            self.weights_s,
            self.publications,
            self.upstreams,
            self.trackers,
            self.neighbours,
            self.engines,
        )
        self.replaced_parts = ReplacedParts(
            self.publications, self.upstreams, self.trackers, self.neighbours, self.cached_parts
        )
        self.restricted_parts = RestrictedParts(self.residency, self.hosts, self.cached_parts)

    def _make_stream_exchange(self) -> StreamExchange:
        own, held = (StreamRecords(self.stream_times.record_memory_s) for _ in range(2))
        exchange = StreamExchange(self.hosts, self.neighbours.peers, self.pool_versions, own, held)
        self.neighbours.streams = exchange
        return exchange

    def _apply_report(self, upstream: UpstreamId, report: SelfReport) -> None:
        """Apply what an upstream reports of itself in its answer to this host's own call."""
        tracker = self.trackers.by_id.get(upstream)
        notice = (
            None if tracker is None else tracker.apply_self_report(report, None, is_ordinary=False)
        )
        if notice is not None:
            self._broadcast_notice(notice)

    def _broadcast_notice(self, notice: Notice) -> None:
        self.neighbours.loads.broadcast(notice)

    # Serving

    def serve(self) -> None:
        """Run until a planned stop has ended; an exception that ends the host is logged before."""
        try:
            self._serve()
        except Exception:
            fields = interrupted_fields(self.front.active_requests())
            logger.critical(
                "Host %s ends by a fault.", self.incarnation, exc_info=True, extra=fields
            )
            raise

    def _serve(self) -> None:
        log_unhandled_exceptions()
        limit_threads()
        start_collecting()
        return_large_blocks()
        signal.signal(signal.SIGTERM, self._handle_signal)
        signal.signal(signal.SIGINT, self._handle_signal)
        callers = CallerPool(self.caller_budget)
        served = [self._listen("listen.callers", self.front, CallerProtocol, callers, self.gate)]
        if self.settings.text("listen.relays"):
            relays = CallerPool(self.caller_budget)
            served.append(self._listen("listen.relays", self.front, RelayProtocol, relays))
        for name, application in (
            ("listen.ready", self._serve_ready),
            ("listen.metrics", self._serve_metrics),
        ):
            operations = CallerPool(self.operations_budget)
            self._listen(name, LimitedApplication(application), CallerProtocol, operations)
        self._start_tasks()
        logger.info("Host %s has started.", self.incarnation, extra={"pid": os.getpid()})
        while not self.stopping:
            eventlet.sleep(STOP_CHECK_S)
        self._drain(served)

    def _listen(
        self,
        name: str,
        app: Any,
        protocol: type,
        pool: CallerPool,
        gate: ConnectionGate | None = None,
    ) -> ServedPort:
        host, _, port = self.settings.text(name).rpartition(":")
        listener = eventlet.listen((host, int(port)), backlog=BACKLOG, reuse_port=False)
        set_listener_options(listener)
        listener = ResilientListener(listener, pool, gate)
        server = eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            app,
            protocol=protocol,
            log_output=False,
            minimum_chunk_size=0,
            custom_pool=pool,
            url_length_limit=HEAD_BYTES_MAX,
            debug=False,
        )
        return ServedPort(listener, server, pool)

    def _start_tasks(self) -> None:
        rollouts = self.service_rollouts
        orders = None if rollouts is None else rollouts.book
        operator = OperatorFollower(self.store, self.store_link, self.publications, orders)
        duty = (self.neighbours.hosts.is_reader, self.neighbours.role_changes.wait)
        spawn_forever("operator", operator.run, OPERATOR_WAIT_S, 0.0, *duty)
        spawn_forever("entries", self.upstream_follower.run, 0.0, UPSTREAM_PAUSE_S, *duty)
        crashes = CrashFollower(self.store, self.neighbours.crashes)
        self.followers = (operator, self.upstream_follower, crashes)
        for follower in self.followers:
            follower.is_divided = self.hosts.regions.is_divided
        spawn_forever("crashes", crashes.run, CRASH_WAIT_S, 0.0, *duty)
        self.neighbours.start()
        self.streams.start()
        self.probes.start()
        self.part_relay.start()
        self.cached_parts.start()
        self.rollouts.start()
        self.replaced_parts.start()
        if rollouts is not None:
            rollouts.start()
        self.restricted_parts.start()
        spawn_forever("housekeeping", self._run_maintenance)

    def _run_maintenance(self) -> None:
        while True:
            self.trackers.keep_only(set(self.upstreams.by_id))
            self.trackers.close_expired()
            self.forwarder.relay_peers.close_expired()
            self._divide_retries()
            slept_at = clocks.now_s()
            self.stall_monitor.check(slept_at, pause(MAINTENANCE_INTERVAL_S))

    def _divide_retries(self) -> None:
        self.retry_budgets.hosts = self._count_slack_hosts()

    def _count_slack_hosts(self) -> int | None:
        """Return by how many hosts the slack of retries is divided; None if it isn't known.

        A list that no host has read from the store may lack all that this one can't reach.
        """
        may_split = self.quotas.may_split or self.neighbours.host_list.is_rejoining
        is_known = may_split and self.hosts.position != TOPIC_START
        return self.hosts.sending_count if is_known else None

    # Readiness, metrics

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        if self.stopping or self.publications.table is None or not self.upstreams.complete:
            return False
        return self.publications.age_s < self.key_age_max_s

    def _serve_ready(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        start("200 OK" if self.is_ready() else "503 Service Unavailable", [])
        return [b""]

    def _serve_metrics(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        start("200 OK", [("Content-Type", TEXT_TYPE)])
        return [format_host_page(self).encode()]

    # The planned stop

    def _handle_signal(self, number: int, _frame: Any) -> None:
        """Begin the planned stop.

        A signal handler runs in the event loop at any point, so that it only sets flags. The log
        line is written by the task that carries out the stop. Further signals are counted and have
        no other effect; the platform's grace period counts from the first one.
        """
        self.signals.record(number)
        self.stopping = True
        self.front.draining = True
        self.rollouts.stopping = True
        self.replaced_parts.stopping = True
        if self.service_rollouts is not None:
            self.service_rollouts.stopping = True
        self.restricted_parts.stopping = True

    def _drain(self, served: list[ServedPort]) -> None:
        """Accept connections until the load balancer has noticed, then finish open requests."""
        fields = {"active": self.front.active, **self.signals.fields()}
        logger.info("Planned stop begins.", extra=fields)
        leaving = eventlet.spawn(self.neighbours.host_list.announce_leave)
        self._sleep_until(self.signals.first_at + ACCEPT_AFTER_STOP_S)
        # One round of the event loop accepts what arrived while the process got no CPU time.
        eventlet.sleep(0)
        for port in served:
            port.pool.close_idle()
            # The server goes on with the other connections when it is killed.
            port.server.kill()
            port.listener.close()
        latest = self.signals.first_at + self.settings.number("requests.grace_s") - GRACE_MARGIN_S
        # The server ends after its last connection. Requests that are not read yet, and the last
        # bytes of a stream, do not count as active.
        while self._is_serving(served) and clocks.now_s() < latest:
            eventlet.sleep(DRAIN_POLL_S)
        with DeferredTimeout(REMOVAL_TIMEOUT_S, False):
            leaving.wait()
            self.neighbours.host_list.remove_own()
        fields = interrupted_fields(self.front.active_requests())
        level = logging.WARNING if fields["cut"] else logging.INFO
        fields["signals"] = self.signals.count
        logger.log(level, "Host %s has stopped.", self.incarnation, extra=fields)

    def _is_serving(self, served: list[ServedPort]) -> bool:
        return bool(self.front.active) or not all(port.server.dead for port in served)

    def _sleep_until(self, moment: float) -> None:
        eventlet.sleep(max(0.0, moment - clocks.now_s()))
