"""How many requests per second this host may send to a cold or rate-limited upstream.

The load pattern to survive: a third of the engines crashes and restarts empty and cold. An empty
engine looks best to every host, so hundreds of hosts would send to it at once, and it would crash
and start cold again. The rate that such an upstream can take is therefore split into quotas of a
few hosts, chosen by rendezvous hashing over the host list. Hosts agree on them without messages,
even if they can't reach each other; the quota of a failed host stays unused. While host lists
differ, some more hosts send to the upstream. That is tolerable, as quotas add up to a rate that it
can sustain, and it crashes only well above that.
"""

import math

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import HostId, PoolId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.brittle_pools import (
    BORROW_MARGIN,
    BORROW_STEP_OF_SUMS_S,
    BORROW_STEP_S,
    rejection_pause_s,
)
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Pool
from ruddersaddle_serving.slot_shares import split_slots
from ruddersaddle_serving.trackers import Tracker
from ruddersaddle_serving.upstream_entries import UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList

WINDOW_S = 1.05
"""Window for counting requests: a second, plus the variation of their latency."""
DIRECT_HOSTS_MAX = 12
"""Up to this many hosts notify one another directly. With 85 hosts, each would receive 2,000
messages a second."""
JOIN_GRACE_S = 3.0
"""A host has no quota for this long after it first received the host list: the list may lack hosts
that started at the same time, and the others don't know this host yet."""


class Quota(msgspec.Struct, frozen=True):
    """Number of requests that a host may send to an upstream within a window."""

    requests: int
    window_s: float


NO_QUOTA = Quota(0, WINDOW_S)


def compute_quota(per_s: float, ranked_hosts: list[str], host: str) -> Quota:
    """Return a host's quota of an upstream's rate.

    `ranked_hosts` are all hosts in the upstream's own rendezvous order. The first ones have a
    quota: as many hosts as the upstream accepts requests per second, at least one.
    """
    if per_s < 1.0:
        is_first = bool(ranked_hosts) and ranked_hosts[0] == host
        return Quota(1, WINDOW_S / per_s) if is_first and per_s > 0 else NO_QUOTA
    holders = ranked_hosts[: math.floor(per_s)]
    if host not in holders:
        return NO_QUOTA
    return Quota(math.floor(per_s / len(holders)), WINDOW_S)


class UpstreamQuotas:
    """The quotas of this host at upstreams that are cold or state a rate limit."""

    def __init__(self, hosts: Hosts, publications: Publications, upstreams: UpstreamList) -> None:
        self.hosts = hosts
        self.publications = publications
        self.upstreams = upstreams
        self.cold_sent = 0
        """Number of requests that this host sent to cold upstreams."""
        self.limited_sent = 0
        """Number of requests that this host sent to upstreams that state a limit."""
        self._ranked_by_instance: dict[UpstreamInstance, list[str]] = {}
        self._ranked_digest = 0
        """Digest of the host list that the cached ranks were computed from."""
        self._slots_by_pool: dict[PoolId, dict[UpstreamInstance, int]] = {}
        """This host's slots at the upstreams of brittle pools."""
        self._slots_source: tuple[int, frozenset[HostId], int] = (0, frozenset(), 0)
        """Digest of the host list, hosts that are leaving, and revision of the upstream list that
        these were computed from."""

    @property
    def may_split(self) -> bool:
        """Whether this host has known the list of hosts for long enough to take its parts."""
        return clocks.now_s() >= self.hosts.known_at + JOIN_GRACE_S

    def cold_until(self, tracker: Tracker) -> float:
        """Return until when an upstream is cold, on the boot-time clock.

        Its own report takes up to two seconds to arrive. So it is also assumed to be cold after it
        was unresponsive, as it may have restarted, and after an evacuation of its hall has ended.
        """
        pool = self._pool(tracker)
        if pool is None or not pool.cold_per_s:
            return float("-inf")
        resumed_at = max(
            tracker.liveness.recovered_at,
            self.publications.evacuations.ended_at(tracker.entry.hall),
        )
        reported_until = self.upstreams.cold.until(tracker.entry.instance)
        return max(reported_until, resumed_at + pool.cold_start_s)

    def is_cold(self, tracker: Tracker) -> bool:
        """Return whether an upstream is cold now."""
        return clocks.now_s() < self.cold_until(tracker)

    def may_send(self, tracker: Tracker, is_counted: bool = False) -> bool:
        """Return whether this host may send a request to an upstream now.

        `is_counted` says that the request is among those under way there already.
        """
        if not self.has_room(tracker, is_counted):
            return False
        per_s = self.bound_per_s(tracker)
        if per_s is None:
            return True
        quota = self._own_quota(tracker, per_s)
        return tracker.sends.count_since(clocks.now_s() - quota.window_s) < quota.requests

    def has_room(self, tracker: Tracker, is_counted: bool = False) -> bool:
        """Return whether an upstream has room for a request; always true if it isn't brittle."""
        pool = tracker.brittle_pools.find(tracker.entry.pool)
        if pool is None:
            return True
        paused_until = tracker.rejected_at + rejection_pause_s(pool, self.hosts.count)
        if clocks.now_s() < paused_until:
            return False
        if tracker.in_flight - is_counted < self._own_slots(tracker):
            return True
        return self._knows_requests(tracker) and self._may_borrow(tracker, is_counted)

    def _may_borrow(self, tracker: Tracker, is_counted: bool) -> bool:
        """Return whether this host may use a slot that other hosts leave free.

        Hosts take turns, in the upstream's rendezvous order: each waits until the hosts before it
        would have used the slot, and until it would know of that. Hosts that used it at the same
        moment would have requests rejected, and a rejection keeps a host's own slots idle as well.
        """
        known = tracker.known_in_flight
        are_free = known - is_counted < tracker.entry.slots - BORROW_MARGIN
        if is_counted:
            return are_free
        free_s = tracker.free_slots.record_look(are_free, tracker.in_flight)
        is_direct = self.hosts.region_count <= DIRECT_HOSTS_MAX
        is_only_user = is_direct and 0 < known == tracker.in_flight
        if not are_free or is_only_user:
            return are_free
        step_s = BORROW_STEP_S if is_direct else BORROW_STEP_OF_SUMS_S
        turn = 1 + self._rank(tracker.entry.instance).index(self.hosts.own_id)
        return free_s >= turn * step_s

    def _knows_requests(self, tracker: Tracker) -> bool:
        """Return whether this host knows the requests of others at an upstream.

        With many hosts, only those at engines are told, as sums.
        """
        return self.hosts.region_count <= DIRECT_HOSTS_MAX or tracker.memory.capacity_tokens > 0

    def has_memory_room(self, tracker: Tracker, tokens: int) -> bool:
        """Return whether a brittle engine can run a prompt at once; always true for others."""
        capacity = tracker.memory.capacity_tokens
        if not capacity or tracker.brittle_pools.find(tracker.entry.pool) is None:
            return True
        taken = tracker.load.tokens
        return not taken or taken + tokens <= capacity

    def _own_slots(self, tracker: Tracker) -> int:
        """Return how many slots of an upstream this host may use at any time."""
        if not self.may_split:
            return 0
        source = (self.hosts.digest, frozenset(self.hosts.leaving_by_id), self.upstreams.revision)
        if self._slots_source != source:
            self._slots_source = source
            self._slots_by_pool.clear()
        pool = tracker.entry.pool
        if pool not in self._slots_by_pool:
            self._slots_by_pool[pool] = self._split_slots(pool)
        return self._slots_by_pool[pool].get(tracker.entry.instance, 0)

    def _split_slots(self, pool: PoolId) -> dict[UpstreamInstance, int]:
        # Upstreams that leave are counted, as hosts hear of it at different times.
        entries = [each for each in self.upstreams.by_id.values() if each.pool == pool]
        upstreams = [
            (each.instance, each.slots, self._rank_with_leaving(each.instance)) for each in entries
        ]
        return split_slots(upstreams, self.hosts.own_id)

    def bound_per_s(self, tracker: Tracker) -> float | None:
        """Return the rate that all hosts together may send now; None if there is no bound."""
        limit_per_s = tracker.reported.rate_limit.bound_per_s()
        if not self.is_cold(tracker):
            return limit_per_s
        cold_per_s = self._pool(tracker).cold_per_s
        return cold_per_s if limit_per_s is None else min(cold_per_s, limit_per_s)

    def record_sent(self, tracker: Tracker) -> None:
        """Count a request to an upstream, bounded or not, as a bound may start at any moment."""
        tracker.sends.record(clocks.now_s())
        self.cold_sent += self.is_cold(tracker)
        self.limited_sent += tracker.reported.rate_limit.is_advertised

    def count_cold(self) -> int:
        """Return how many upstreams report that they are cold."""
        return len(self.upstreams.cold.current())

    def _pool(self, tracker: Tracker) -> Pool | None:
        table = self.publications.table
        return None if table is None else table.pool_by_id.get(tracker.entry.pool)

    def _own_quota(self, tracker: Tracker, per_s: float) -> Quota:
        quota = compute_quota(per_s, self._rank(tracker.entry.instance), self.hosts.own_id)
        # What a former process of this host has sent counts as well.
        grace_s = max(JOIN_GRACE_S, quota.window_s)
        return quota if clocks.now_s() >= self.hosts.known_at + grace_s else NO_QUOTA

    def _rank(self, instance: UpstreamInstance) -> list[str]:
        if self._ranked_digest != self.hosts.digest:
            self._ranked_digest = self.hosts.digest
            self._ranked_by_instance.clear()
        if instance not in self._ranked_by_instance:
            known = set(self.upstreams.instances())
            self._ranked_by_instance = {
                each: ranked for each, ranked in self._ranked_by_instance.items() if each in known
            }
            names = [self.hosts.own_id, *self.hosts.by_id]
            self._ranked_by_instance[instance] = rank_names(str(instance), names)
        return self._ranked_by_instance[instance]

    def _rank_with_leaving(self, instance: UpstreamInstance) -> list[str]:
        """Rank the hosts that are leaving as well, as their requests go on."""
        leaving = list(self.hosts.leaving_by_id)
        ranked = self._rank(instance)
        return rank_names(str(instance), [*ranked, *leaving]) if leaving else ranked
