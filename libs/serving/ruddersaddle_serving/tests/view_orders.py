"""Hosts that follow topics of the store and ask one another, in virtual time, against a model.

Each host runs the followers themselves. What operators, upstreams and crashes write, pages that
hold few records, outages, lost history, and hosts that freeze or are lost for good are drawn. The
model of each topic is its log: the state at each of its positions.
"""

import itertools
import json
from random import Random
from typing import Any
from unittest import mock

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, HostId, ModelId, PoolId, UpstreamId

from ruddersaddle_serving import crash_shares, store_followers
from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.crash_records import CrashRecord, CrashRecords
from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.neighbour_messages import NeighbourMessage
from ruddersaddle_serving.neighbours import Neighbours
from ruddersaddle_serving.ports import ModelVersion, Page, Record, StorePosition, Topic
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import PublishedConfiguration
from ruddersaddle_serving.store_eras import StoreEras
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
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.tests.virtual_schedules import VirtualSchedule
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList

ERA = 1
POOL = PoolId("p")
HALL = HallId("h")
MODEL = ModelId("m")
TOPICS = (Topic.OPERATOR, Topic.UPSTREAMS, Topic.CRASHES)
CONFIGURATION_KEY = "config"
VERSION_KEY = "version"
EVACUATION_PREFIX = "evacuation/"
PAGE_RECORDS = 4
"""Records that one page holds: some pages lie between, as with large records."""
DELAYS_S = (0.002, 0.005, 0.02, 0.1)
LOST_SHARE = 0.1
ASK_PAUSE_S = 0.6
POLL_S = 0.05
OUTAGE_MAX_S = 6.0
FREEZE_MAX_S = 3.0
HISTORY_MIN = 6
QUIET_S = 12.0
"""Time after the last disturbance in which all views become current."""
AGE_MAX_S = 5.5
"""Age of a view, and of a leave that a host has not learned of, while nothing is disturbed."""
CALLS_PER_S = 4.0
CALLS_SPARE = 25
Entry = dict[str, Any] | None


class TopicLog:
    """All records of one topic."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, Entry]] = []
        self.first = 0
        """The first offset that is retained."""

    @property
    def end(self) -> int:
        """The offset that follows the last record."""
        return len(self.rows)

    def put(self, key: str, value: Entry) -> None:
        """Append a record; without a value it deletes the key."""
        self.rows.append((key, value))

    def state_at(self, end: int) -> dict[str, dict[str, Any]]:
        """Return the value of each key at a position."""
        state = {key: value for key, value in self.rows[:end]}
        return {key: value for key, value in state.items() if value is not None}

    def was_put_since(self, key: str, since: int) -> bool:
        """Return whether a key was set at a position or later."""
        return any(each == key and value is not None for each, value in self.rows[since:])

    def page(self, since: int) -> Page:
        """Return the records from a position on, as many as a page holds."""
        rows = self.rows[since : since + PAGE_RECORDS]
        records = [_record(key, value, since + n) for n, (key, value) in enumerate(rows)]
        end = StorePosition(ERA, since + len(rows))
        return Page(tuple(records), end, end.offset < self.end)


def _record(key: str, value: Entry, offset: int) -> Record:
    return Record(key, None if value is None else json.dumps(value).encode(), offset)


class ModelledStore:
    """The store as one host calls it."""

    def __init__(self, orders: "ViewOrders", address: str) -> None:
        self.orders = orders
        self.address = address
        self.eras = StoreEras()
        self.eras.learn(ERA)
        self.calls_by_topic = dict.fromkeys(TOPICS, 0)

    def newest(self, topic: Topic) -> Page | Failure:
        """Return the newest record of each key."""
        failure = self._begin(topic)
        if failure is not None:
            return failure
        log = self.orders.logs[topic]
        records = [_record(key, value, 0) for key, value in log.state_at(log.end).items()]
        page = Page(tuple(records), StorePosition(ERA, log.end))
        self.orders.sleep(self.orders.draw_delay())
        return page

    def changes(self, topic: Topic, since: StorePosition, wait_s: float) -> Page | Failure:
        """Return the records from a position on; wait for one."""
        failure = self._begin(topic)
        if failure is not None:
            return failure
        log = self.orders.logs[topic]
        until = self.orders.test.now + wait_s
        while log.end == since.offset and self.orders.test.now < until:
            self.orders.sleep(POLL_S)
        if not log.first <= since.offset <= log.end:
            return Failure(Code.GAP, Step.READ, "store")
        page = log.page(since.offset)
        self.orders.sleep(self.orders.draw_delay())
        return page

    def _begin(self, topic: Topic) -> Failure | None:
        self.calls_by_topic[topic] += 1
        self.orders.sleep(self.orders.draw_delay())
        self.orders.hold_while_frozen(self.address)
        if self.orders.is_store_down:
            return Failure(Code.LOG_UNAVAILABLE, Step.READ, "store")
        return None

    def put_all(self, topic: Topic, values: dict[str, bytes | None]) -> None:
        """Write crash records that a host knows to be missing."""
        for key, value in values.items():
            self.orders.logs[topic].put(key, None if value is None else json.loads(value))

    def decode_operator(self, record: Record) -> Any:
        """Return what an operator published."""
        if record.key.startswith(EVACUATION_PREFIX):
            hall = HallId(record.key.removeprefix(EVACUATION_PREFIX))
            return Evacuation(hall, record.value is not None)
        version = json.loads(record.value)["version"]
        if record.key == VERSION_KEY:
            return ModelVersion(MODEL, version)
        return PublishedConfiguration(version)

    def decode_upstream(self, record: Record) -> UpstreamEntry:
        """Return the entry of an upstream."""
        return msgspec.convert(json.loads(record.value), UpstreamEntry)


class ViewHost:
    """One host: its views, and the followers that keep them."""

    def __init__(self, orders: "ViewOrders", id: HostId) -> None:
        self.orders = orders
        self.address = orders.record_by_host[id].address
        hosts = Hosts(id, orders.record_by_host[id], [])
        hosts.replace(orders.record_by_host)
        self.store = ModelledStore(orders, self.address)
        self.upstreams = UpstreamList()
        self.publications = Publications()
        self.records = CrashRecords()
        self.neighbours = Neighbours(
            hosts,
            self.store,
            self.publications,
            self.upstreams,
            Trackers(),
            CachedParts(mock.Mock()),
            self.records,
        )
        self.neighbours.peers = self.neighbours.crashes.peers = ModelledPeers(orders, self.address)
        link = StoreLink()
        self.followers: dict[Topic, TopicFollower] = {
            Topic.OPERATOR: OperatorFollower(self.store, link, self.publications),
            Topic.UPSTREAMS: UpstreamFollower(self.store, link, self.upstreams),
            Topic.CRASHES: CrashFollower(self.store, self.neighbours.crashes),
        }
        self.began_at = orders.test.now
        self.writes_before = {topic: orders.logs[topic].end for topic in TOPICS}
        self.dropped_at: dict[Topic, dict[str, int]] = {
            Topic.UPSTREAMS: {},
            Topic.CRASHES: {},
        }
        """Where the log ended as this host had learned that a key is gone."""
        self.listed: dict[Topic, set[str]] = {each: set() for each in self.dropped_at}
        self.end_by_topic: dict[Topic, int] = {}
        """Where each view ended at the last check."""

    def start(self) -> None:
        """Start the tasks."""
        waits = (OPERATOR_WAIT_S, 0.0, CRASH_WAIT_S)
        pauses = (0.0, UPSTREAM_PAUSE_S, 0.0)
        for follower, wait_s, pause_s in zip(self.followers.values(), waits, pauses, strict=True):
            arguments = (wait_s, pause_s, self.neighbours.hosts.is_reader, self._await_change)
            self.orders.spawn(lambda run=follower.run, arguments=arguments: run(*arguments))
        self.orders.spawn(self._ask)

    def _await_change(self, seconds: float) -> None:
        self.orders.sleep(min(max(seconds, 0.0), 0.1) + 0.001)
        self.orders.hold_while_frozen(self.address)

    def _ask(self) -> None:
        while True:
            self.orders.hold_while_frozen(self.address)
            readers = self.neighbours.hosts.readers()
            others = [each for each in readers if each != self.address]
            if others:
                self.neighbours._request_state(self.orders.random.choice(others))
            self.neighbours._broadcast_changes()
            self.orders.sleep(ASK_PAUSE_S * self.orders.random.random())


class ModelledPeers:
    """The connections of one host: each request takes virtual time, and may be lost."""

    def __init__(self, orders: "ViewOrders", address: str) -> None:
        self.orders = orders
        self.address = address

    def ask(self, address: str, message: NeighbourMessage, timeout_s: float) -> object:
        """Ask a host."""
        orders = self.orders
        sent_at = orders.test.now
        orders.sleep(orders.draw_delay())
        if orders.random.random() < LOST_SHARE or not orders.is_running(address):
            orders.sleep(max(0.0, sent_at + timeout_s - orders.test.now))
            return Failure(Code.PEER_GONE, Step.PEER, address)
        answer = orders.by_address[address].neighbours._handle(message)
        orders.sleep(orders.draw_delay())
        orders.hold_while_frozen(self.address)
        return answer

    def broadcast(self, addresses: list[str], message: NeighbourMessage) -> None:
        """Send a message that needs no answer."""
        for each in addresses:
            if self.orders.random.random() >= LOST_SHARE:
                self.orders.spawn(lambda each=each: self._deliver(each, message))

    def _deliver(self, address: str, message: NeighbourMessage) -> None:
        self.orders.sleep(self.orders.draw_delay())
        if self.orders.is_running(address):
            self.orders.by_address[address].neighbours._handle(message)

    def keep_only(self, addresses: set[str]) -> None:
        """Do nothing: there are no connections."""


class ViewOrders(VirtualSchedule):
    """Some hosts, the store's topics, and the schedule of what happens to them."""

    def __init__(self, test: FixedClockTest, seed: int, count: int) -> None:
        super().__init__(test)
        self.random = Random(seed)
        self.logs = {topic: TopicLog() for topic in TOPICS}
        self.is_store_down = False
        self.frozen: set[str] = set()
        self.lost: set[str] = set()
        self._ids = itertools.count()
        for module in (store_followers, crash_shares):
            fake = mock.Mock(sleep=self.sleep, spawn=self.spawn, spawn_after=self.spawn_after)
            patch = mock.patch.object(module, "eventlet", fake)
            patch.start()
            test.addCleanup(patch.stop)
        patch = mock.patch.object(store_followers, "random", self.random)
        patch.start()
        test.addCleanup(patch.stop)
        self.record_by_host = {
            HostId(f"host-{n}"): HostRecord(f"10.0.0.{n}:1", HALL) for n in range(count)
        }
        self._publish_first()
        self.by_address = {}
        for id in self.record_by_host:
            host = ViewHost(self, id)
            self.by_address[host.address] = host
        for host in self.by_address.values():
            host.start()

    def run(self, seconds: float) -> None:
        """Run all tasks for some seconds; something is written at the end of them."""
        until = self.test.now + seconds
        super().run(seconds)
        self.test.now = until

    def draw_delay(self) -> float:
        """Return the delay of one way of a request."""
        return self.random.choice(DELAYS_S)

    def is_running(self, address: str) -> bool:
        """Return whether a host is neither frozen nor lost."""
        return address not in self.frozen | self.lost

    def hold_while_frozen(self, address: str) -> None:
        """Wait while a host is frozen; for ever if it is lost."""
        while not self.is_running(address):
            self.sleep(1e9 if address in self.lost else POLL_S)

    # What happens

    def _publish_first(self) -> None:
        self.logs[Topic.OPERATOR].put(CONFIGURATION_KEY, {"version": 1})
        self.logs[Topic.OPERATOR].put(VERSION_KEY, {"version": 1})
        for _ in range(3):
            self._start_upstream()

    def disturb(self, seconds: float) -> None:
        """Let drawn things happen for a time, then let the store and all frozen hosts go on."""
        until = self.test.now + seconds
        acts = (
            [self._publish] * 3
            + [self._change_upstreams] * 3
            + [self._change_crashes] * 2
            + [self._evacuate, self._publish_many, self._write_many_crashes]
            + [self._begin_outage, self._forget_history, self._freeze, self._lose_readers]
        )
        while self.test.now < until:
            self.run(self.random.random())
            self.random.choice(acts)()

    def _publish(self) -> None:
        key = self.random.choice((CONFIGURATION_KEY, VERSION_KEY))
        self.logs[Topic.OPERATOR].put(key, {"version": next(self._ids) + 2})

    def _publish_many(self) -> None:
        for _ in range(self.random.randrange(2 * PAGE_RECORDS, 6 * PAGE_RECORDS)):
            self._publish()
            self._evacuate()

    def _evacuate(self) -> None:
        key = f"{EVACUATION_PREFIX}hall-{self.random.randrange(2)}"
        log = self.logs[Topic.OPERATOR]
        log.put(key, None if key in log.state_at(log.end) else {})

    def _start_upstream(self) -> None:
        id = f"u-{next(self._ids)}"
        entry = UpstreamEntry(UpstreamId(id), POOL, "10.1.0.1:80", HALL, 4, False, {})
        self.logs[Topic.UPSTREAMS].put(id, msgspec.to_builtins(entry))

    def _change_upstreams(self) -> None:
        log = self.logs[Topic.UPSTREAMS]
        entries = list(log.state_at(log.end).items())
        if not entries:
            self._start_upstream()
            return
        id, entry = self.random.choice(entries)
        if self.random.random() < 0.5:
            log.put(id, {**entry, "leaving": True})
        log.put(id, None)
        self._start_upstream()

    def _change_crashes(self) -> None:
        log = self.logs[Topic.CRASHES]
        known = list(log.state_at(log.end))
        if known and self.random.random() < 0.6:
            log.put(self.random.choice(known), None)
            return
        key = f"f-{next(self._ids)}"
        instances = tuple(UpstreamInstance(UpstreamId(f"c-{n}")) for n in range(2))
        record = CrashRecord(Fingerprint(key), instances, clocks.unix_ms())
        log.put(key, msgspec.to_builtins(record))

    def _write_many_crashes(self) -> None:
        for _ in range(5 * PAGE_RECORDS):
            self._change_crashes()

    def _begin_outage(self) -> None:
        """Let the store be away; entries lapse meanwhile, and are written again after it."""
        if self.is_store_down:
            return
        self.is_store_down = True
        log = self.logs[Topic.UPSTREAMS]
        entries = list(log.state_at(log.end).items())
        self.run(OUTAGE_MAX_S * self.random.random())
        lapsed = [each for each in entries if each[0] in log.state_at(log.end)]
        lapsed = [each for each in lapsed if self.random.random() < 0.3]
        for id, _ in lapsed:
            log.put(id, None)
        self.is_store_down = False
        for id, entry in lapsed:
            if self.random.random() < 0.7:
                self.run(0.5 * self.random.random())
                log.put(id, entry)

    def _forget_history(self) -> None:
        for log in self.logs.values():
            log.first = max(log.first, log.end - self.random.randrange(HISTORY_MIN, 40))

    def _freeze(self) -> None:
        address = self.random.choice(list(self.by_address))
        self.frozen.add(address)
        self.run(FREEZE_MAX_S * self.random.random())
        self.frozen.discard(address)

    def _lose_readers(self) -> None:
        """Lose all hosts that read the store for the others, if any host is left."""
        running = [each for each in self.by_address if each not in self.lost]
        readers = set(self.by_address[running[0]].neighbours.hosts.readers()) & set(running)
        if len(running) - len(readers) >= 1:
            self.lost |= readers

    # The check

    def check(self) -> None:
        """Check the views of all hosts that are left."""
        for address, host in self.by_address.items():
            if address in self.lost:
                continue
            self._check_publications(host)
            self._check_keys(host, Topic.UPSTREAMS, {each.id for each in _accepting(host)})
            self._check_keys(host, Topic.CRASHES, set(host.records.by_fingerprint))

    def _check_publications(self, host: ViewHost) -> None:
        view = host.publications
        state = self.logs[Topic.OPERATOR].state_at(view.end.offset)
        expected = state.get(CONFIGURATION_KEY, {"version": 0})["version"]
        if view.version < expected:
            self._record(host, f"configuration {view.version}, {expected} was acknowledged")
        expected = state.get(VERSION_KEY, {"version": 0})["version"]
        if view.version_by_model.get(MODEL, 0) < expected:
            self._record(host, f"weights before {expected}, which were acknowledged")
        halls = {each.removeprefix(EVACUATION_PREFIX) for each in state if "/" in each}
        if set(view.evacuations.in_force()) != halls:
            self._record(host, f"evacuated {view.evacuations.in_force()}, acknowledged {halls}")

    def _check_keys(self, host: ViewHost, topic: Topic, listed: set[str]) -> None:
        """Check that no key comes back that was gone, as the host knew before this step.

        A key that was set and deleted since may be listed: it may have lapsed in an outage.
        """
        log, end = self.logs[topic], _end_of(host, topic)
        former_end, host.end_by_topic[topic] = host.end_by_topic.get(topic, 0), end
        if listed == host.listed[topic]:
            return
        dropped_at = host.dropped_at[topic]
        known = log.state_at(end)
        for key in listed - host.listed[topic]:
            since = dropped_at.get(key, 0 if key in known else former_end)
            if not log.was_put_since(key, since):
                self._record(host, f"{topic.value}: {key} is back, which was gone")
        dropped_at.update(dict.fromkeys(host.listed[topic] - listed, end))
        host.listed[topic] = listed

    def check_current(self) -> None:
        """Check that the views of all hosts that are left are current, and what that took."""
        for address, host in self.by_address.items():
            if address in self.lost:
                continue
            ages = {topic: each.age_s for topic, each in host.followers.items()}
            for topic, age_s in ages.items():
                if age_s > AGE_MAX_S:
                    self._record(host, f"{topic.value}: the view is {age_s:.1f} s old")
            for topic, end in (
                (Topic.OPERATOR, host.publications.end),
                (Topic.UPSTREAMS, host.upstreams.end),
            ):
                if end.offset != self.logs[topic].end:
                    self._record(host, f"{topic.value}: the view ends at {end}")
            log = self.logs[Topic.UPSTREAMS]
            expected = {key for key, value in log.state_at(log.end).items() if not value["leaving"]}
            if {each.id for each in _accepting(host)} != expected:
                self._record(host, "the list of upstreams isn't that of the store")
            self._check_calls(host)

    def _check_calls(self, host: ViewHost) -> None:
        seconds = self.test.now - host.began_at
        for topic, calls in host.store.calls_by_topic.items():
            written = self.logs[topic].end - host.writes_before[topic]
            if calls > CALLS_PER_S * seconds + written + CALLS_SPARE:
                self._record(host, f"{calls} calls on {topic.value} in {seconds:.0f} s")

    def _record(self, host: ViewHost, what: str) -> None:
        self.violations.append(f"{host.address} at {self.test.now:.3f} s: {what}")


def _accepting(host: ViewHost) -> list[UpstreamEntry]:
    return host.upstreams.of_pool(POOL)


def _end_of(host: ViewHost, topic: Topic) -> int:
    match topic:
        case Topic.UPSTREAMS:
            return host.upstreams.end.offset
        case _:
            crashes = host.neighbours.crashes
            return max(crashes.end, crashes.told_end).offset
