"""The daemon of one entry host: its components, startup, and planned stop."""

import logging
import random
import signal
import time
from enum import Enum

import eventlet
from ruddersaddle_base.allocators import return_large_blocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.histograms import Histograms
from ruddersaddle_base.ids import START, HostId, Incarnation, new_incarnation
from ruddersaddle_base.settings import Settings
from ruddersaddle_base.tasks import HEALTHS, log_unhandled_exceptions, spawn_forever
from ruddersaddle_serving.caller_budgets import CallerBudget
from ruddersaddle_serving.caller_listeners import connection_limit
from ruddersaddle_serving.garbage_collections import start_collecting
from ruddersaddle_serving.limited_applications import LimitedApplication
from ruddersaddle_serving.peers import Peers, limit_threads
from ruddersaddle_state.appenders import Appender
from ruddersaddle_state.claims import Claims
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.followers import Follower
from ruddersaddle_state.leases import Leases
from ruddersaddle_state.log_clients import LogClient
from ruddersaddle_state.records import Stream
from ruddersaddle_upstreams.host_lists import HostList

from ruddersaddle.answers import AnswerCache
from ruddersaddle.caller_connections import limits_from, serve
from ruddersaddle.contexts import ContextCache
from ruddersaddle.gateways import Gateway, HostControl
from ruddersaddle.generations import Generator
from ruddersaddle.keyed_calls import KeyedCalls
from ruddersaddle.messages import ConfigurationReply, ConfigurationRequest, Message
from ruddersaddle.orders import OrderTask
from ruddersaddle.pools import Pools
from ruddersaddle.prefetches import Prefetcher
from ruddersaddle.reports import LinkStatus, PoolStatus, Stats, Status, stats_from_rows
from ruddersaddle.service_calls import ServiceCaller
from ruddersaddle.service_routes import ServiceRoutes
from ruddersaddle.snapshots import SnapshotTask
from ruddersaddle.tickets import TicketIssuer
from ruddersaddle.traces import Recorder

logger = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 0.25
"""Interval between checks for a new configuration or host list."""
STOP_POLL_S = 0.05
PEER_TIMEOUT_S = 1.0
PEERS_ASKED_MAX = 3
LISTEN_BACKLOG = 1024
TICKET_MEMORY_FACTOR = 4


class HostPhase(Enum):
    """Lifecycle phase of a host."""

    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"


class Daemon:
    """One entry host."""

    def __init__(self, settings: Settings, incarnation: Incarnation) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.stopping = False
        self.updated = False
        self._applied_versions = (START, -1)
        self.histograms = Histograms()
        self.configuration = Configuration()
        self._build_log()
        self._build_upstreams()
        self._build_services()
        self._build_tasks()
        self.gateway = self._build_gateway()
        self.recorder = Recorder(settings.text("traces.file"))

    @classmethod
    def from_settings(cls, settings: Settings) -> "Daemon":
        """Return a daemon, not started, as a new incarnation of its host."""
        return cls(settings, new_incarnation(HostId(settings.text("host.id"))))

    def _build_log(self) -> None:
        settings = self.settings
        client = LogClient(settings.text("platform.log"), settings.number("platform.timeout_s"))
        memory_s = settings.number("claims.memory_s")
        claims = Claims(memory_s, settings.number("claims.skew_s"))
        leases = Leases(settings.number("leases.margin_s"))
        self.configuration_follower = Follower(client, Stream.CONFIGURATION, self.configuration)
        self.claims_follower = Follower(client, Stream.CLAIMS, claims)
        self.leases_follower = Follower(client, Stream.LEASES, leases)
        batching = settings.flag("claims.gather")
        self.appender_by_stream = {
            stream: Appender(client, stream, batching or stream is not Stream.CLAIMS)
            for stream in Stream
        }

    def _build_upstreams(self) -> None:
        settings = self.settings
        poll_s = settings.number("platform.poll_s")
        timeout_s = settings.number("platform.timeout_s")
        self.hosts = HostList(settings.text("platform.host_list"), poll_s, timeout_s)
        self.pools = Pools(settings, self.hosts)
        self.contexts = ContextCache(settings)
        self.generator = Generator(self.contexts, self.configuration, self.histograms)

    def _build_services(self) -> None:
        settings = self.settings
        memory_s = settings.number("claims.memory_s")
        ticket_s = settings.number("claims.ticket_s")
        bytes_max = settings.integer("claims.answers_max")
        keyed = KeyedCalls(
            self.incarnation,
            self.claims_follower,
            self.appender_by_stream[Stream.CLAIMS],
            AnswerCache(bytes_max, memory_s),
            settings.number("claims.wait_s"),
        )
        ticket_answers = AnswerCache(bytes_max, ticket_s * TICKET_MEMORY_FACTOR)
        tickets = TicketIssuer(self.incarnation, ticket_s, ticket_answers)
        caller = ServiceCaller(settings, self.pools)
        self.services = ServiceRoutes(settings, self.pools, caller, keyed, tickets, self.hosts)
        host = settings.text("host.address")
        self.peers = Peers(
            f"{host}:{settings.integer('host.peer_port')}", self._handle_peer_message, Message
        )
        self.services.peers = self.peers

    def _build_tasks(self) -> None:
        configuration = self.configuration
        appenders = self.appender_by_stream
        self.orders = OrderTask(
            self.settings,
            self.incarnation,
            self.pools,
            configuration,
            self.leases_follower,
            appenders[Stream.LEASES],
        )
        self.snapshots = SnapshotTask(self.settings, configuration, appenders[Stream.CONFIGURATION])
        self.prefetcher = Prefetcher(
            self.settings, configuration, self.hosts, self.pools, self.contexts
        )

    def _build_gateway(self) -> Gateway:
        view = HostControl(self.is_ready, self.is_stopping, self.stop, self.status, self.stats)
        return Gateway(
            self.settings, self.configuration, self.pools, self.generator, self.services, view
        )

    def serve(self) -> None:
        """Run until a planned stop has finished; connections are refused only after that."""
        log_unhandled_exceptions()
        limit_threads()
        start_collecting()
        return_large_blocks()
        self.peers.start()
        self.hosts.refresh()
        self._start_tasks()
        signal.signal(signal.SIGTERM, lambda *_: self.stop())
        signal.signal(signal.SIGINT, lambda *_: self.stop())
        address = (self.settings.text("host.address"), self.settings.integer("host.port"))
        listener = eventlet.listen(address, backlog=LISTEN_BACKLOG, reuse_port=False)
        logger.info("Host %s listens on %s:%d.", self.incarnation, *address)
        application = LimitedApplication(
            self.recorder.wrap(self.gateway), limits_from(self.settings)
        )
        connections_max = min(
            self.settings.integer("requests.concurrent_max") * 2, connection_limit()
        )
        budget = CallerBudget.from_settings(self.settings, connections_max)
        server = eventlet.spawn(serve, listener, application, budget)
        while not self.stopping:
            eventlet.sleep(STOP_POLL_S)
        self._finish_requests()
        server.kill()
        listener.close()
        self.recorder.close()
        logger.info("Host %s has stopped.", self.incarnation)

    def _start_tasks(self) -> None:
        for appender in self.appender_by_stream.values():
            appender.start()
        for follower in (self.configuration_follower, self.claims_follower, self.leases_follower):
            follower.start()
        self.hosts.start()
        self.orders.start()
        self.snapshots.start()
        self.prefetcher.start()
        spawn_forever("updates", self._run_updates)

    def _run_updates(self) -> None:
        while True:
            if not self.configuration.complete:
                self._request_configuration()
            versions = (self.configuration.position, self.hosts.version)
            if versions != self._applied_versions:
                self._applied_versions = versions
                self._update()
            # Ready only after an update: a complete configuration alone has no pools yet.
            self.updated = self.configuration.complete
            eventlet.sleep(UPDATE_INTERVAL_S)

    def _update(self) -> None:
        """Apply a new configuration or host list."""
        self.pools.update(self.configuration)
        self.contexts.update(self.configuration)
        listed = {row.peer_address for row in self.hosts.entries() if row.peer_address}
        self.peers.keep_only(listed)
        self.peers.gate.set_hosts(listed)

    def _request_configuration(self) -> None:
        """Adopt the configuration of peers while the log does not provide a complete one."""
        own_id = self.settings.text("host.id")
        others = [row for row in self.hosts.entries() if row.id != own_id and row.peer_address]
        random.shuffle(others)
        for row in others[:PEERS_ASKED_MAX]:
            answer = self.peers.ask(row.peer_address, ConfigurationRequest(), PEER_TIMEOUT_S)
            if isinstance(answer, ConfigurationReply) and answer.snapshot is not None:
                adopted = self.configuration.adopt(answer.snapshot)
                logger.info(
                    "Configuration of %s at position %d, adopted: %s.",
                    row.id,
                    answer.snapshot.upto,
                    adopted,
                )

    def _handle_peer_message(self, message: Message) -> Message:
        if isinstance(message, ConfigurationRequest):
            complete = self.configuration.complete
            return ConfigurationReply(self.configuration.snapshot() if complete else None)
        return self.services.serve_peer(message)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self.updated and not self.stopping

    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.stopping

    def stop(self) -> None:
        """Begin the planned stop; only sets a flag, since signal handlers run in the event loop."""
        self.stopping = True

    def _finish_requests(self) -> None:
        """Keep serving for the load balancer's lag, then until no request is active."""
        began = time.monotonic()
        logger.info("Planned stop begins. %d requests are active.", self.gateway.active)
        eventlet.sleep(self.settings.number("requests.stop_lag_s"))
        latest = began + self.settings.number("requests.stop_max_s")
        while self.gateway.active and time.monotonic() < latest:
            eventlet.sleep(STOP_POLL_S)

    @property
    def phase(self) -> HostPhase:
        """Lifecycle phase of this host."""
        if self.stopping:
            return HostPhase.STOPPING
        return HostPhase.READY if self.is_ready() else HostPhase.STARTING

    def stats(self) -> Stats:
        """Return this host's latency percentiles."""
        return stats_from_rows(self.histograms.rows())

    def status(self) -> Status:
        """Return this host's status."""
        claims = self.claims_follower.fold
        appenders = self.appender_by_stream.values()
        return Status(
            host=self.settings.text("host.id"),
            incarnation=self.incarnation,
            hall=self.settings.text("host.hall"),
            state=self.phase.value,
            active=self.gateway.active,
            configuration_position=self.configuration.position,
            configuration_complete=self.configuration.complete,
            configuration_digest=self.configuration.digest(),
            claims_position=claims.position,
            claims_keys=len(claims.by_key),
            leases_held=self.orders.held_pools(),
            log_reachable=self.configuration_follower.reachable,
            log_takes_appends=not any(each.failing_since for each in appenders),
            appends=sum(each.appends for each in appenders),
            records=sum(each.records for each in appenders),
            peer_sent_bytes=self.peers.sent_bytes,
            peer_received_bytes=self.peers.received_bytes,
            counts=self._counts(),
            upstreams=self._upstreams(),
            links=self._links(),
        )

    def _counts(self) -> dict[str, int]:
        counts = {}
        parts = (
            ("generations", self.generator.counts),
            ("contexts", self.contexts.counts),
            ("keyed", self.services.counts),
        )
        for prefix, part in parts:
            for name in part.__struct_fields__:
                counts[f"{prefix}_{name}"] = getattr(part, name)
        counts["task_failures"] = HEALTHS.unhandled + sum(
            each.failures for each in HEALTHS.by_name.values()
        )
        counts["orders_given"] = self.orders.counts.given
        counts["orders_refused"] = self.orders.counts.refused
        counts["orders_withheld"] = self.orders.counts.withheld
        counts["events_prepared"] = self.prefetcher.prepared
        counts["snapshots_written"] = self.snapshots.written
        return counts

    def _upstreams(self) -> list[PoolStatus]:
        rows = []
        for view in self.pools.by_id.values():
            for load in view.loads():
                row = PoolStatus(
                    pool=view.pool.id,
                    upstream=load.upstream,
                    address=load.address,
                    leaving=load.leaving,
                    circuit=load.circuit.state.value,
                    limit=load.limit.limit,
                    in_flight=load.limit.in_flight,
                    version=load.version,
                    cached_blocks=len(load.cached),
                )
                rows.append(row)
        return rows

    def _links(self) -> list[LinkStatus]:
        rows = []
        for store in self.contexts.store_by_id.values():
            link = store.link
            row = LinkStatus(
                address=store.address,
                up=link.is_up,
                rate_bytes_s=link.rate_bytes_s,
                moved_bytes=link.moved_bytes,
                useful_bytes=link.useful_bytes,
                busy_s=link.busy_s,
                blocks_tried=store.counts.tried,
                blocks_mismatched=store.counts.mismatched,
            )
            rows.append(row)
        return rows


def describe_failure(failure: Failure) -> str:
    """Return a failure as one sentence for operators."""
    return f"{failure.step.value} at {failure.peer}: {failure.code.value}. {failure.detail}"
