"""Exhaustive search of the interleavings of two hosts at the lease, using the real `FenceLease`.

Time advances in steps. A host tries to acquire the lease; its append is applied and answered,
applied without an answer, or applied later if its condition still holds then, also in a later era.
The store is restored from a copy that lacks its last records, and hosts are restarted. A host that
may give an order gives it at once. Checked invariants: no two holders share a fence, no fence is
below an earlier holder's, and orders of two holders are further apart than the lease's length.
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
from ruddersaddle_serving.ports import (
    AppendOutcome,
    AppendResult,
    Page,
    Record,
    StorePosition,
    Topic,
)
from ruddersaddle_serving.store_eras import StoreEras

LEASE_S = 3.0
STEP_S = 0.85
"""Shorter than the order window (0.9 s); five steps exceed a successor's wait (4.2 s)."""
FORGOTTEN_S = 9.0
"""Ages above this are treated as equal: longer than the lease and all margins."""
LEASE_FIELDS = ("fence", "_orders_until", "_end", "_last", "_last_seen_at")
HOSTS = 2


class Delivery(msgspec.Struct, frozen=True):
    """Outcome of an append: whether it is applied now or later, and whether it is answered."""

    is_applied: bool
    is_answered: bool


ANSWERED = Delivery(True, True)
UNANSWERED = Delivery(True, False)
LATE = Delivery(False, False)


class Late(msgspec.Struct, frozen=True):
    """A delayed append, applied if the topic ends at `at` by then."""

    value: bytes
    at: int


class HostState(msgspec.Struct, frozen=True):
    """One host: its name, and the state of its lease and of its view of the store."""

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
    restores: int = 0
    restarts: int = 0
    appends: int = 0
    last_order: tuple[str, int, float] | None = None
    """Holder, fence and time of the last order."""


class Bounds(msgspec.Struct, frozen=True):
    """Largest number of each kind of event in one interleaving."""

    steps: int = 6
    restores: int = 1
    restarts: int = 0
    appends: int = 2


class View:
    """The store as one host reaches it during one call."""

    def __init__(self, world: World, host: HostState, delivery: Delivery) -> None:
        self.log = list(world.log)
        self.era = world.era
        self.late: Late | None = None
        self.delivery = delivery
        self.appended = False
        self.eras = StoreEras()
        self.eras._is_known = True
        self.eras.newest, self.eras.seen_at = host.era, host.era_seen_at

    def changes(self, topic: Topic, since: StorePosition, wait_s: float) -> Page | Failure:
        if self.appended and not self.delivery.is_answered:
            return _unavailable()
        self.eras.learn(self.era)
        if since.era != self.era:
            return Failure(Code.GAP, Step.READ, "log")
        values = self.log[since.offset :]
        records = (Record("", value, since.offset + at) for at, value in enumerate(values))
        return Page(tuple(records), StorePosition(self.era, len(self.log)))

    def append(self, topic: Topic, value: bytes, at: StorePosition) -> AppendResult | Failure:
        self.appended = True
        if not self.delivery.is_applied:
            self.late = Late(value, at.offset)
            return _unavailable()
        matches = at.offset == len(self.log)
        if matches:
            self.log.append(value)
        if not self.delivery.is_answered:
            return _unavailable()
        self.eras.learn(self.era)
        if at.era != self.era:
            return Failure(Code.GAP, Step.APPEND, "log")
        outcome = AppendOutcome.DONE if matches else AppendOutcome.CONFLICT
        return AppendResult(outcome, StorePosition(self.era, len(self.log)))


def _unavailable() -> Failure:
    return Failure(Code.LOG_UNAVAILABLE, Step.APPEND, "log")


def _new_host(name: str, era: int) -> HostState:
    """Return a host that has just learnt of the era."""
    lease = FenceLease(mock.Mock(), Incarnation(name), LEASE_S)
    fields = tuple(getattr(lease, field) for field in LEASE_FIELDS)
    return HostState(name, fields, frozenset(), era, 0.0)


def _settled(host: HostState) -> HostState:
    """Return a host that learnt of the era long ago."""
    return msgspec.structs.replace(host, era_seen_at=-FORGOTTEN_S)


def _shift(value: Any) -> Any:
    """Return a relative time as it is one step later; other values are returned unchanged."""
    return max(-FORGOTTEN_S, value - STEP_S) if isinstance(value, float) else value


class LeaseSearch:
    """Searches all interleavings within the bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.states = 0
        self._nonces = itertools.count()

    def run(self) -> str:
        """Search breadth first; return the first violated invariant, or an empty text."""
        with mock.patch.object(clocks, "now_s", lambda: 0.0):
            hosts = [_new_host(f"h{number}", 1) for number in range(HOSTS)]
            first = World(tuple(_settled(host) for host in hosts))
            seen = {_key(first)}
            queue = deque([first])
            while queue:
                for world, violation in self._successors(queue.popleft()):
                    if violation:
                        return violation
                    key = _key(world)
                    if key not in seen:
                        seen.add(key)
                        queue.append(world)
                        self.states += 1
        return ""

    def _successors(self, world: World) -> Iterator[tuple[World, str]]:
        for next_world in self._moves(world):
            yield _give_orders(next_world)

    def _moves(self, world: World) -> Iterator[World]:
        replace = msgspec.structs.replace
        if world.steps < self.bounds.steps:
            hosts = tuple(_advance_time(host) for host in world.hosts)
            order = world.last_order
            last = order and (order[0], order[1], _shift(order[2]))
            yield replace(world, hosts=hosts, last_order=last, steps=world.steps + 1)
        if world.late is not None:
            matches = world.late.at == len(world.log)
            log = (*world.log, world.late.value) if matches else world.log
            yield replace(world, log=log, late=None)
        if world.restores < self.bounds.restores:
            for lost in range(min(2, len(world.log)) + 1):
                log = world.log[: len(world.log) - lost]
                yield replace(world, log=log, era=world.era + 1, restores=world.restores + 1)
        for number, host in enumerate(world.hosts):
            if world.restarts < self.bounds.restarts:
                restarted = _new_host(f"{host.name}'", world.era)
                yield replace(_put(world, number, restarted), restarts=world.restarts + 1)
            if host.fields[1] <= 0:
                yield from self._acquire(world, number)

    def _acquire(self, world: World, number: int) -> Iterator[World]:
        """Let one host try to acquire the lease, with each outcome of its append."""
        for delivery in (ANSWERED, UNANSWERED, LATE):
            host = world.hosts[number]
            view = View(world, host, delivery)
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
    """Return a canonical form of a world's state: nonces are numbered in the order of the log."""
    names: dict[str, str] = {}
    for value in world.log:
        nonce = msgspec.json.decode(value)["nonce"]
        names.setdefault(nonce, str(len(names)))
    hosts = []
    for host in world.hosts:
        sent = sorted(names.get(each, "gone") for each in host.sent)
        last = host.fields[3]
        last_key = last and (last.holder, names.get(last.nonce, "gone"))
        fields = (*host.fields[:3], last_key, host.fields[4])
        hosts.append((host.name, fields, sent, host.era, host.era_seen_at))
    holders = [msgspec.json.decode(value)["holder"] for value in world.log]
    late = world.late and (world.late.at, msgspec.json.decode(world.late.value)["holder"])
    counts = (world.era, world.steps, world.restores, world.restarts, world.appends)
    return msgspec.json.encode((hosts, holders, late, counts, world.last_order))


def _put(world: World, number: int, host: HostState) -> World:
    hosts = (*world.hosts[:number], host, *world.hosts[number + 1 :])
    return msgspec.structs.replace(world, hosts=hosts)


def _advance_time(host: HostState) -> HostState:
    fields = tuple(map(_shift, host.fields))
    era_seen_at = _shift(host.era_seen_at)
    return msgspec.structs.replace(host, fields=fields, era_seen_at=era_seen_at)


def _give_orders(world: World) -> tuple[World, str]:
    """Let each host that may give an order do so; return the invariant that this violates."""
    for host in world.hosts:
        fence, orders_until, end = host.fields[:3]
        if orders_until <= 0 or end.era != host.era:
            continue
        if world.last_order is not None and world.last_order[0] != host.name:
            holder, before, at = world.last_order
            detail = f"{host.name} with fence {fence}, {-at:.1f} s after {holder} with {before}"
            if fence <= before:
                return world, f"fence not above: {detail}"
            if -at <= LEASE_S:
                return world, f"orders within the lease: {detail}"
        world = msgspec.structs.replace(world, last_order=(host.name, fence, 0.0))
    return world, ""
