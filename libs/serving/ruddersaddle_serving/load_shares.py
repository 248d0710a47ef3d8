"""Exchanges the load of engines between hosts.

If there are few hosts, each notifies all others of each step of its requests. If there are many,
they notify only the reader of their hall, the one host that collects data for it. The reader
aggregates the notices, exchanges sums with the readers of other halls, and sends the totals to its
hall. The number of messages then grows with the hosts, not with hosts times requests.

With several regions, all of this happens within each region, and few or many is decided by the
hosts of the region. The first readers of the regions send one another the sum of their region
(`regions.loads`) and pass on what they receive to their own region.
"""

import itertools

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import UpstreamId
from ruddersaddle_base.tasks import spawn_forever

from ruddersaddle_serving.engine_sums import (
    EngineSum,
    apply_liveness,
    apply_service_time,
    summarize,
)
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.liveness import REPORT_TTL_S
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.regions.loads import (
    LEAVE_CHECK_S,
    REGION_INTERVAL_S,
    IncomingLoads,
    OutgoingLoads,
    RegionLoads,
)
from ruddersaddle_serving.role_changes import RoleChanges
from ruddersaddle_serving.sum_series import SumSeries
from ruddersaddle_serving.sum_sources import NO_SERIES, ReceivedRow, SumSource
from ruddersaddle_serving.trackers import Notice, Progress, Tracker, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_quotas import DIRECT_HOSTS_MAX

NOTICE_INTERVAL_S = 0.01
"""Interval of messages with notices. The prefill of a prompt takes 5 to 200 ms, so requests sent by
others have to be known within about ten milliseconds."""
READER_NOTICE_INTERVAL_S = 0.02
"""Interval of notices to the reader of a hall, whose totals are older in any case. A message costs
sender and receiver about 0.2 ms of CPU time each, including system calls."""
SUM_INTERVAL_S = 0.04
"""Interval of the sums that readers send one another: one message for each pair of halls."""
SUMS_PER_TOTAL = 2
"""Totals are sent to a hall once per this many sums, every 0.08 s. With a view that is 0.25 s old,
hosts send 120 prompts at the same moment to an engine that looks idle. More frequent totals cost
CPU time: a message of 105 engines has 5.4 KB, and decoding and applying it takes 0.17 ms on each
host of a hall, without system calls."""
TOTALS = "hall"
"""Name of the totals among the sources of sums; the others are named by their readers' address."""


class Notices(msgspec.Struct, frozen=True, tag="notices"):
    """Message with steps of the sender's requests at engines; it is not answered."""

    address: str
    notices: tuple[Notice, ...]


class LoadSums(msgspec.Struct, frozen=True, tag="load_sums"):
    """Message with the load of engines: by the sender's hall, or by all halls if it is a total."""

    address: str
    is_total: bool
    sums: tuple[EngineSum, ...]
    series: int = NO_SERIES
    """Series that the message belongs to; 0 from hosts that always send all rows."""
    number: int = 0
    """Its position in the series, from 1 on."""
    changed: int | None = None
    """Number of rows, the first ones, that differ from those sent before; None for all. The others
    are sent again for hosts that have missed them."""
    is_complete: bool = True
    """Whether there is a row for each engine; engines without one are unchanged otherwise."""


class LoadSumsRequest(msgspec.Struct, frozen=True, tag="ask_load_sums"):
    """Requests a complete message after one was missed; hosts that send no series don't get it."""

    is_total: bool


class LoadExchange:
    """Sends this host's load reports and applies those of other hosts."""

    def __init__(
        self, hosts: Hosts, peers: Peers, trackers: Trackers, upstreams: UpstreamList
    ) -> None:
        self.hosts = hosts
        self.peers = peers
        self.trackers = trackers
        self.upstreams = upstreams
        self._unsent: list[Notice] = []
        self._is_scheduled = False
        self._series_by_kind = {is_total: SumSeries() for is_total in (False, True)}
        self._source_by_name: dict[str, SumSource] = {}
        self._own_changed: set[UpstreamId] = set()
        """Engines with a step of an own request since the last totals."""
        self._live_sources: set[str] = set()
        self.role_changes = RoleChanges(hosts)
        trackers.listeners.append(self._apply_known_rows)
        self._outgoing = OutgoingLoads(hosts.regions)
        self._incoming = IncomingLoads(hosts.regions, trackers, upstreams)

    def start(self) -> None:
        """Start the tasks that send sums and totals; notices are sent as they come up."""
        spawn_forever("totals", self._send_totals)
        if self.hosts.regions.is_divided:
            spawn_forever("region loads", self._send_region_loads)

    @property
    def is_direct(self) -> bool:
        """Whether the region has few enough hosts to notify one another of each request."""
        return self.hosts.region_count <= DIRECT_HOSTS_MAX

    @property
    def lag_s(self) -> float:
        """How much older than direct notices the view of others' requests is, in seconds."""
        return (
            0.0
            if self.is_direct
            else READER_NOTICE_INTERVAL_S + (1 + SUMS_PER_TOTAL) * SUM_INTERVAL_S
        )

    def broadcast(self, notice: Notice) -> None:
        """Apply a step of an own request, and send it with the next message."""
        self._apply_notice(self.hosts.own.address, notice)
        self._own_changed.add(notice.upstream)
        self._unsent.append(notice)
        if not self._is_scheduled:
            self._is_scheduled = True
            pause_s = NOTICE_INTERVAL_S if self.is_direct else READER_NOTICE_INTERVAL_S
            eventlet.spawn_after(pause_s, self.send_notices)

    def send_notices(self) -> None:
        """Send the notices that are pending."""
        self._is_scheduled = False
        if not self._unsent:
            return
        message = Notices(self.hosts.own.address, tuple(self._unsent))
        self._unsent = []
        targets = self.hosts.region_addresses() if self.is_direct else [self.hosts.hall_reader()]
        self.peers.broadcast([each for each in targets if not self._is_own(each)], message)

    def handle(self, message: Notices | LoadSums | LoadSumsRequest | RegionLoads) -> None:
        """Handle a message of another host; none of them is answered."""
        match message:
            case Notices():
                self.apply_notices(message)
            case LoadSums():
                self.apply_sums(message)
            case LoadSumsRequest():
                self.apply_sums_request(message)
            case RegionLoads():
                self.apply_region_loads(message)

    def apply_notices(self, message: Notices) -> None:
        """Apply the steps of another host's requests."""
        for notice in message.notices:
            self._apply_notice(message.address, notice)
            self._count_remote(message.address, notice)

    def _count_remote(self, host: str, notice: Notice) -> None:
        tracker = self.trackers.by_id.get(notice.upstream)
        if tracker is None:
            return
        match notice.progress:
            case Progress.SENT:
                tracker.remote_requests.record_sent((host, notice.number))
            case Progress.ENDED:
                tracker.remote_requests.record_ended((host, notice.number))

    def _apply_notice(self, host: str, notice: Notice) -> None:
        tracker = self.trackers.by_id.get(notice.upstream)
        if tracker is not None:
            tracker.apply_notice(host, notice)
            for series in self._series_by_kind.values():
                series.touched.add(notice.upstream)
        if notice.leave is not None:
            instance = UpstreamInstance(notice.upstream, notice.born_ms)
            self.upstreams.record_leaving(instance, notice.leave.request, host)

    @property
    def is_aggregating(self) -> bool:
        """Whether this host aggregates the requests of its hall."""
        return not self.is_direct and self._is_own(self.hosts.hall_reader())

    def _send_totals(self) -> None:
        for turn in itertools.count():
            if not self.is_aggregating:
                for series in self._series_by_kind.values():
                    series.restart()
                self.role_changes.wait()
                continue
            self.send_sums(False)
            if turn % SUMS_PER_TOTAL == 0:
                self.send_sums(True)
            eventlet.sleep(SUM_INTERVAL_S)

    def _is_own(self, address: str) -> bool:
        return address == self.hosts.own.address

    def send_sums(self, is_total: bool) -> None:
        """Send the sums of this hall to the other readers, or the totals to this hall."""
        message = self.make_sums(is_total)
        if message is not None:
            targets = self.hosts.hall_addresses() if is_total else self._other_readers()
            self.peers.broadcast(targets, message)

    def make_sums(self, is_total: bool) -> LoadSums | None:
        """Return the next message with sums or totals; None if nothing needs to be sent."""
        now = clocks.now_s()
        series = self._series_by_kind[is_total]
        if is_total:
            self._check_sources(now)
        selection = series.select(self.trackers.by_id, now)
        if selection is None:
            return None
        rows = []
        for tracker in selection.changed:
            row = summarize(tracker, is_total, now)
            series.record_sent(tracker, row, now)
            rows.append(row)
        for tracker in selection.refreshed:
            sent = series.last_sent(tracker)
            rows.append(sent.row.aged(now - sent.summed_at))
        return LoadSums(
            self.hosts.own.address,
            is_total,
            tuple(rows),
            series.id,
            series.number,
            len(selection.changed),
            selection.is_complete,
        )

    def _check_sources(self, now: float) -> None:
        """Sum all totals again if sums of another reader or region may have expired.

        That is the case if it has fallen silent, or after a message of it was missed.
        """
        live = {
            name
            for name, source in self._source_by_name.items()
            if now - source.confirmation.at < REPORT_TTL_S
        } | self._incoming.live_sources(now)
        is_incomplete = any(
            source.needs_complete and now - source.confirmation.at < 2 * REPORT_TTL_S
            for source in self._source_by_name.values()
        )
        if is_incomplete or not self._live_sources <= live:
            self._series_by_kind[True].touched.update(self.trackers.by_id)
        self._live_sources = live

    def _other_readers(self) -> list[str]:
        own_hall = self.hosts.own.hall
        by_hall = self.hosts.region_reader_by_hall()
        return [address for hall, address in by_hall.items() if hall != own_hall]

    def apply_sums(self, message: LoadSums) -> None:
        """Apply the sums of another reader, or the totals of this hall's reader."""
        name = TOTALS if message.is_total else message.address
        source = self._source_by_name.setdefault(name, SumSource())
        if not source.accept(message, message.sums, clocks.now_s()):
            return
        self._apply_rows(name, source)
        if message.is_total:
            self._subtract_own_changes(source)
        if source.needs_complete:
            self.peers.send(message.address, LoadSumsRequest(message.is_total))

    def _apply_known_rows(self, tracker: Tracker) -> None:
        """Apply what is known of an upstream that has got a new tracker.

        Upstreams that it has replaced have changed, too.
        """
        for series in self._series_by_kind.values():
            series.touched.update(self.trackers.by_id)
        for name, source in self._source_by_name.items():
            source.record_created(tracker)
            self._apply_rows(name, source)

    def _apply_rows(self, name: str, source: SumSource) -> None:
        for tracker, received in source.take_unapplied(self.trackers.by_id):
            self._apply_row(name, source, tracker, received)

    def _apply_row(
        self, name: str, source: SumSource, tracker: Tracker, received: ReceivedRow
    ) -> None:
        row = received.row
        is_total = name == TOTALS
        self._series_by_kind[True].touched.add(row.upstream)
        tracker.load.apply_sum(name, row.load, is_total, source.confirmation)
        tracker.apply_failure_rate(row.failure_percent / 100)
        apply_liveness(tracker.liveness, name, row, received.at)
        if row.is_replaced:
            tracker.record_replaced()
        tracker.apply_limit(row.limit, source.address, is_first_hand=False)
        if is_total:
            apply_service_time(tracker, row)

    def _subtract_own_changes(self, source: SumSource) -> None:
        """Subtract own requests anew from totals that stay the same though own requests changed."""
        for upstream in self._own_changed:
            tracker = self.trackers.by_id.get(upstream)
            row = None if tracker is None else source.applied_row(tracker)
            if row is not None:
                tracker.load.apply_sum(TOTALS, row.load, True, source.confirmation)
        self._own_changed.clear()

    def apply_sums_request(self, message: LoadSumsRequest) -> None:
        """Send all rows with the next message, as a host has missed an earlier one."""
        self._series_by_kind[message.is_total].needs_complete = True

    # Between regions

    def _send_region_loads(self) -> None:
        while True:
            self.send_region_loads()
            until = clocks.now_s() + REGION_INTERVAL_S
            pause_s = LEAVE_CHECK_S if self.hosts.is_region_reader else REGION_INTERVAL_S
            while clocks.now_s() < until and not self._has_new_leave():
                eventlet.sleep(pause_s)

    def _has_new_leave(self) -> bool:
        """Return whether this host must tell the other regions of a leave at once."""
        is_new = self._outgoing.has_new_leave(self.upstreams.leaving())
        return is_new and self.hosts.is_region_reader

    def send_region_loads(self) -> None:
        """Send the sum of this region to the others, if this host is its first reader."""
        if not self.hosts.is_region_reader:
            self._outgoing.restart()
            return
        message = self._outgoing.next_message(
            self.hosts.own.address, self.trackers.by_id.values(), self.upstreams.leaving()
        )
        self.peers.broadcast(self.hosts.other_region_readers().values(), message)

    def apply_region_loads(self, message: RegionLoads) -> None:
        """Apply the sum of another region, and pass it on if it has just crossed the link."""
        self._series_by_kind[True].touched |= self._incoming.apply(message)
        if not message.is_relayed:
            relayed = msgspec.structs.replace(message, is_relayed=True)
            self.peers.broadcast(self._relay_targets(), relayed)

    def _relay_targets(self) -> list[str]:
        if self.is_direct:
            return self.hosts.region_addresses()
        readers = self.hosts.region_reader_by_hall().values()
        return [each for each in readers if not self._is_own(each)]
