"""How hosts share what they know of requests at engines.

Few hosts tell one another of each step of each request. Many hosts tell the reader of their hall,
which sums them up, exchanges sums with the readers of other halls, and tells its hall the totals:
messages then grow with the hosts, and not with hosts times requests.
"""

import itertools

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.engine_loads import LoadSum
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.paces import START_S, Pace
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.self_reports import LimitNews
from ruddersaddle_serving.silences import Silence
from ruddersaddle_serving.tasks import spawn_forever
from ruddersaddle_serving.trackers import Notice, Tracker, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList

DIRECT_HOSTS_MAX = 12
"""Up to so many hosts tell one another directly; above, 85 hosts would each get 2,000 messages a
second (docs/CAPACITY.md)."""
NOTICES_S = 0.01
"""Pause between messages about requests at engines. A prompt takes 5 to 200 ms to read, so that
what others sent has to be known within some ten milliseconds."""
READER_NOTICES_S = 0.02
"""The same to the reader of a hall, whose totals are older in any case. A message costs both ends
about 0.2 ms of processor time, system calls included."""
SUMS_S = 0.04
"""Pause between sums that readers tell one another: a message for each two halls."""
TOTALS_EVERY = 2
"""Totals go to a hall with each so many sums, 0.08 s apart. By beliefs of 0.25 s hosts send 120
prompts at once to what looks idle; but a message of 105 engines is 5.4 KB, and decoding and taking
it 0.17 ms, on each host of a hall (a loop on one machine, system calls not counted)."""
NEVER_MS = 60_000
"""Longest time since a sign of life that is told."""
LOOK_S = 0.5
"""Pause of a host that sums nothing until it looks again whether it should."""


class Notices(msgspec.Struct, frozen=True, tag="notices"):
    """Tells how far the sender's requests are at engines; it is not answered."""

    address: str
    notices: tuple[Notice, ...]


class EngineSum(msgspec.Struct, frozen=True, array_like=True):
    """What stands at one engine, and about the share of its recent requests that failed."""

    upstream: UpstreamId
    load: LoadSum
    failing_percent: int
    run_ms: int
    """Mean length of a run from its first event."""
    memory_run_ms: int = 1000
    """The same weighed by the tokens of runs."""
    pace_percent: int = 100
    """What reading takes, as a share of the nominal time."""
    heard_ms: int = NEVER_MS
    """How long ago any host heard of it."""
    silent_ms: int | None = None
    """For how long it has been silent; None where it is not."""
    is_replaced: bool = False
    """Whether another upstream answers at its address."""
    born_ms: int | None = None
    """Which start of it this is; None where that is not told."""
    start_ms: float = START_S * 1000
    """Time that first events take beside reading."""
    limit: LimitNews | None = None
    """What is known of the limit that it names."""


class LoadSums(msgspec.Struct, frozen=True, tag="load_sums"):
    """Tells what stands at engines: of the sender's hall, or everything where it is a total."""

    address: str
    is_total: bool
    sums: tuple[EngineSum, ...]


class LoadShares:
    """Tells and takes requests at engines."""

    def __init__(
        self, hosts: Hosts, peers: Peers, trackers: Trackers, upstreams: UpstreamList
    ) -> None:
        self.hosts = hosts
        self.peers = peers
        self.trackers = trackers
        self.upstreams = upstreams
        self._unsent: list[Notice] = []
        self._is_scheduled = False

    def start(self) -> None:
        """Start the task that tells totals; notices are told when there are some."""
        spawn_forever("totals", self._tell_totals)

    @property
    def is_direct(self) -> bool:
        """Whether hosts are few enough to tell one another of each request."""
        return self.hosts.count <= DIRECT_HOSTS_MAX

    @property
    def lag_s(self) -> float:
        """How much older than direct notices the knowledge of others' requests is, in seconds."""
        return 0.0 if self.is_direct else READER_NOTICES_S + (1 + TOTALS_EVERY) * SUMS_S

    def tell(self, notice: Notice) -> None:
        """Take a step of an own request, and tell it with the next message."""
        self._take_notice(self.hosts.own.address, notice)
        self._unsent.append(notice)
        if not self._is_scheduled:
            self._is_scheduled = True
            pause_s = NOTICES_S if self.is_direct else READER_NOTICES_S
            eventlet.spawn_after(pause_s, self.tell_notices)

    def tell_notices(self) -> None:
        """Tell what has not been told yet."""
        self._is_scheduled = False
        if not self._unsent:
            return
        message = Notices(self.hosts.own.address, tuple(self._unsent))
        self._unsent = []
        targets = self.hosts.addresses() if self.is_direct else [self.hosts.hall_reader()]
        self.peers.broadcast([each for each in targets if not self._is_own(each)], message)

    def take_notices(self, message: Notices) -> None:
        """Take the steps of another host's requests."""
        for notice in message.notices:
            self._take_notice(message.address, notice)

    def _take_notice(self, host: str, notice: Notice) -> None:
        tracker = self.trackers.by_id.get(notice.upstream)
        if tracker is not None:
            tracker.take_notice(host, notice)
        if notice.leave is not None:
            start = UpstreamInstance(notice.upstream, notice.born_ms)
            self.upstreams.record_leaving(start, notice.leave.request, host)

    @property
    def is_summing(self) -> bool:
        """Whether this host sums up the requests of its hall."""
        return not self.is_direct and self._is_own(self.hosts.hall_reader())

    def _tell_totals(self) -> None:
        for turn in itertools.count():
            if not self.is_summing:
                eventlet.sleep(LOOK_S)
                continue
            self.tell_sums(False)
            if turn % TOTALS_EVERY == 0:
                self.tell_sums(True)
            eventlet.sleep(SUMS_S)

    def _is_own(self, address: str) -> bool:
        return address == self.hosts.own.address

    def tell_sums(self, is_total: bool) -> None:
        """Tell other readers the sums of this hall, or this hall the totals."""
        message = LoadSums(self.hosts.own.address, is_total, self._sums(is_total))
        targets = self.hosts.hall_addresses() if is_total else self._other_readers()
        self.peers.broadcast(targets, message)

    def _other_readers(self) -> list[str]:
        own_hall = self.hosts.own.hall
        by_hall = self.hosts.reader_by_hall()
        return [address for hall, address in by_hall.items() if hall != own_hall]

    def _sums(self, is_total: bool) -> tuple[EngineSum, ...]:
        now = clocks.now_s()
        return tuple(_sum_of(each, is_total, now) for each in self.trackers.by_id.values())

    def take_sums(self, message: LoadSums) -> None:
        """Take another reader's sums, or the totals of this hall's reader."""
        source = "hall" if message.is_total else message.address
        for told in message.sums:
            tracker = self.trackers.by_id.get(told.upstream)
            if tracker is not None and tracker.entry.born_ms == told.born_ms:
                tracker.load.take_sum(source, told.load, message.is_total)
                tracker.note_told_failing(told.failing_percent / 100)
                _take_silence(tracker.silence, source, told)
                if told.is_replaced:
                    tracker.note_replaced()
                tracker.take_limit(told.limit, message.address, is_first_hand=False)
                if message.is_total:
                    tracker.load.run_s = told.run_ms / 1000
                    tracker.load.memory_run_s = told.memory_run_ms / 1000
                    tracker.load.pace = Pace(told.pace_percent / 100, told.start_ms / 1000)


def _sum_of(tracker: Tracker, is_total: bool, now: float) -> EngineSum:
    """Return what stands at one engine: of this hall, or of all halls where it is a total."""
    silence = tracker.silence
    silent_since = silence.since(now) if is_total else silence.own_since(now)
    return EngineSum(
        upstream=tracker.id,
        load=tracker.load.total_sum() if is_total else tracker.load.own_sum(),
        failing_percent=round(
            100 * (tracker.failing_share if is_total else tracker.observed_failing)
        ),
        run_ms=round(1000 * tracker.load.run_s),
        memory_run_ms=round(1000 * tracker.load.memory_run_s),
        pace_percent=round(100 * tracker.load.pace.factor),
        heard_ms=round(min(NEVER_MS, 1000 * (now - silence.heard_at))),
        silent_ms=None if silent_since is None else round(1000 * (now - silent_since)),
        is_replaced=tracker.is_replaced,
        born_ms=tracker.entry.born_ms,
        start_ms=round(1000 * tracker.load.pace.start_s),
        limit=tracker.reported.rate_limit.news(),
    )


def _take_silence(silence: Silence, source: str, told: EngineSum) -> None:
    """Take when others last heard of an upstream, and since when they find it silent."""
    now = clocks.now_s()
    if told.heard_ms < NEVER_MS:
        silence.note_heard(now - told.heard_ms / 1000)
    since = None if told.silent_ms is None else now - told.silent_ms / 1000
    silence.note_told(source, since, now)
