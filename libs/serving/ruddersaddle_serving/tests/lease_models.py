"""Search of every interleaving of two hosts at the lease, over the product's own `FenceLease`.

Time goes in steps. A host asks for the lease; its append is done and answered, done without an
answer, or done later if its condition still holds, also in a later era. The store comes back from a
copy that lacks its last records, hosts are started again. Where a host may order it is taken to do
so at once. Checked: no two holders of one fence, no fence below an earlier holder's, and more than
the lease between the orders of two holders.
"""

import itertools
from collections import deque
from collections.abc import Iterator
from typing import Any
from unittest import mock

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import Incarnation

from ruddersaddle_serving import fence_leases
from ruddersaddle_serving.fence_leases import FenceLease
from ruddersaddle_serving.ports import Appended, AppendOutcome, Page, Record, StorePosition, Topic
from ruddersaddle_serving.store_eras import StoreEras

LEASE_S = 3.0
STEP_S = 0.85
"""Less than orders may be given for (0.9 s); five of them are over a successor's wait (4.2 s)."""
FORGOTTEN_S = 9.0
"""Times longer ago than this are alike: longer than the lease and all margins."""
LEASE_FIELDS = ("fence", "_orders_until", "_end", "_last", "_last_seen_at")
HOSTS = 2


class Fate(msgspec.Struct, frozen=True):
    """What becomes of a call: whether it is done now, later, or answered."""

    is_done: bool
    is_answered: bool


WELL = Fate(True, True)
UNANSWERED = Fate(True, False)
LATE = Fate(False, False)


class Late(msgspec.Struct, frozen=True):
    """An append on its way, done if the topic ends at `at` by then."""

    value: bytes
    at: int


class HostState(msgspec.Struct, frozen=True):
    """One host: its name, and what its lease and its view of the store hold."""

    name: str
    fields: tuple[Any, ...]
    sent: frozenset[str]
    era: int
    era_seen_at: float


class World(msgspec.Struct, frozen=True):
    """One state of the search; times are relative to now."""

    hosts: tuple[HostState, ...]
    log: tuple[bytes, ...] = ()
    era: int = 1
    late: Late | None = None
    steps: int = 0
    returns: int = 0
    starts: int = 0
    appends: int = 0
    last_order: tuple[str, int, float] | None = None
    """Who gave the last order, with which fence, when."""


class Bounds(msgspec.Struct, frozen=True):
    """How much may happen."""

    steps: int = 6
    returns: int = 1
    starts: int = 0
    appends: int = 2


class View:
    """The store as one host reaches it during one call."""

    def __init__(self, world: World, host: HostState, fate: Fate) -> None:
        self.log = list(world.log)
        self.era = world.era
        self.late: Late | None = None
        self.fate = fate
        self.appended = False
        self.eras = StoreEras()
        self.eras._is_known = True
        self.eras.newest, self.eras.seen_at = host.era, host.era_seen_at

    def changes(self, topic: Topic, since: StorePosition, wait_s: float) -> Page | Failure:
        if self.appended and not self.fate.is_answered:
            return _away()
        self.eras.learn(self.era)
        if since.era != self.era:
            return Failure(Code.GAP, Step.READ, "log")
        values = self.log[since.offset :]
        records = (Record("", value, since.offset + at) for at, value in enumerate(values))
        return Page(tuple(records), StorePosition(self.era, len(self.log)))

    def append(self, topic: Topic, value: bytes, at: StorePosition) -> Appended | Failure:
        self.appended = True
        if not self.fate.is_done:
            self.late = Late(value, at.offset)
            return _away()
        fits = at.offset == len(self.log)
        if fits:
            self.log.append(value)
        if not self.fate.is_answered:
            return _away()
        self.eras.learn(self.era)
        if at.era != self.era:
            return Failure(Code.GAP, Step.APPEND, "log")
        outcome = AppendOutcome.DONE if fits else AppendOutcome.CONFLICT
        return Appended(outcome, StorePosition(self.era, len(self.log)))


def _away() -> Failure:
    return Failure(Code.LOG_UNAVAILABLE, Step.APPEND, "log")


def _new_host(name: str, era: int) -> HostState:
    """Return a host that has just heard of the era."""
    lease = FenceLease(mock.Mock(), Incarnation(name), LEASE_S)
    fields = tuple(getattr(lease, field) for field in LEASE_FIELDS)
    return HostState(name, fields, frozenset(), era, 0.0)


def _settled(host: HostState) -> HostState:
    """Return a host that has known of the era for long."""
    return msgspec.structs.replace(host, era_seen_at=-FORGOTTEN_S)


def _shift(value: Any) -> Any:
    """Return a time as it is one step later; what is not a time stays."""
    return max(-FORGOTTEN_S, value - STEP_S) if isinstance(value, float) else value


class LeaseSearch:
    """Searches all interleavings within bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.states = 0
        self._nonces = itertools.count()

    def run(self) -> str:
        """Search breadth first; return the first broken promise, or nothing."""
        with mock.patch.object(clocks, "now_s", lambda: 0.0):
            hosts = [_new_host(f"h{number}", 1) for number in range(HOSTS)]
            first = World(tuple(_settled(host) for host in hosts))
            seen = {_key(first)}
            queue = deque([first])
            while queue:
                for world, broken in self._follow(queue.popleft()):
                    if broken:
                        return broken
                    key = _key(world)
                    if key not in seen:
                        seen.add(key)
                        queue.append(world)
                        self.states += 1
        return ""

    def _follow(self, world: World) -> Iterator[tuple[World, str]]:
        for following in self._moves(world):
            yield _give_orders(following)

    def _moves(self, world: World) -> Iterator[World]:
        replace = msgspec.structs.replace
        if world.steps < self.bounds.steps:
            hosts = tuple(_later(host) for host in world.hosts)
            order = world.last_order
            last = order and (order[0], order[1], _shift(order[2]))
            yield replace(world, hosts=hosts, last_order=last, steps=world.steps + 1)
        if world.late is not None:
            fits = world.late.at == len(world.log)
            log = (*world.log, world.late.value) if fits else world.log
            yield replace(world, log=log, late=None)
        if world.returns < self.bounds.returns:
            for lost in range(min(2, len(world.log)) + 1):
                log = world.log[: len(world.log) - lost]
                yield replace(world, log=log, era=world.era + 1, returns=world.returns + 1)
        for number, host in enumerate(world.hosts):
            if world.starts < self.bounds.starts:
                started = _new_host(f"{host.name}'", world.era)
                yield replace(_put(world, number, started), starts=world.starts + 1)
            if host.fields[1] <= 0:
                yield from self._ask(world, number)

    def _ask(self, world: World, number: int) -> Iterator[World]:
        """Let one host ask for the lease, with each fate of its append."""
        for fate in (WELL, UNANSWERED, LATE):
            host = world.hosts[number]
            view = View(world, host, fate)
            lease = FenceLease(view, Incarnation(host.name), LEASE_S)
            for field, value in zip(LEASE_FIELDS, host.fields, strict=True):
                setattr(lease, field, value)
            lease._sent_nonces = set(host.sent)
            with mock.patch.object(fence_leases.secrets, "token_hex", self._make_nonce):
                lease.acquire()
            if view.appended and world.appends == self.bounds.appends:
                return
            fields = tuple(getattr(lease, field) for field in LEASE_FIELDS)
            after = HostState(
                host.name,
                fields,
                frozenset(lease._sent_nonces),
                view.eras.newest,
                view.eras.seen_at,
            )
            yield msgspec.structs.replace(
                _put(world, number, after),
                log=tuple(view.log),
                late=view.late or world.late,
                appends=world.appends + view.appended,
            )
            if not view.appended:
                return

    def _make_nonce(self, _size: int) -> str:
        return str(next(self._nonces))


def _key(world: World) -> bytes:
    """Return a world's state, with nonces told apart by their order alone."""
    names: dict[str, str] = {}
    for value in world.log:
        nonce = msgspec.json.decode(value)["nonce"]
        names.setdefault(nonce, str(len(names)))
    hosts = []
    for host in world.hosts:
        sent = sorted(names.get(each, "gone") for each in host.sent)
        last = host.fields[3]
        told = last and (last.holder, names.get(last.nonce, "gone"))
        fields = (*host.fields[:3], told, host.fields[4])
        hosts.append((host.name, fields, sent, host.era, host.era_seen_at))
    holders = [msgspec.json.decode(value)["holder"] for value in world.log]
    late = world.late and (world.late.at, msgspec.json.decode(world.late.value)["holder"])
    counts = (world.era, world.steps, world.returns, world.starts, world.appends)
    return msgspec.json.encode((hosts, holders, late, counts, world.last_order))


def _put(world: World, number: int, host: HostState) -> World:
    hosts = (*world.hosts[:number], host, *world.hosts[number + 1 :])
    return msgspec.structs.replace(world, hosts=hosts)


def _later(host: HostState) -> HostState:
    fields = tuple(map(_shift, host.fields))
    era_seen_at = _shift(host.era_seen_at)
    return msgspec.structs.replace(host, fields=fields, era_seen_at=era_seen_at)


def _give_orders(world: World) -> tuple[World, str]:
    """Let each host that may order do so; return what that breaks."""
    for host in world.hosts:
        fence, orders_until, end = host.fields[:3]
        if orders_until <= 0 or end.era != host.era:
            continue
        if world.last_order is not None and world.last_order[0] != host.name:
            holder, before, at = world.last_order
            told = f"{host.name} with fence {fence}, {-at:.1f} s after {holder} with {before}"
            if fence <= before:
                return world, f"fence not above: {told}"
            if -at <= LEASE_S:
                return world, f"turns within the lease: {told}"
        world = msgspec.structs.replace(world, last_order=(host.name, fence, 0.0))
    return world, ""
