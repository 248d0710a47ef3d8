"""How many requests a second this host may send to an upstream that bears few.

It is cold, or it names a limit in its answers.

Load pattern: a third of the engines crashes and comes back, empty and cold. What is empty looks
best to every host; hundreds of hosts send to it at once, it falls over, and starts cold anew. What
such an upstream bears is therefore shared out to a few hosts, by rendezvous hashing over the list
of hosts: hosts agree on it without a message, also those that are cut off from one another, and a
host that is gone leaves its share unused. Where lists differ for a while, more hosts than that send
to it; the shares add up to what the upstream bears for good, and it falls over well above.
"""

import math

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Pool
from ruddersaddle_serving.trackers import Tracker
from ruddersaddle_serving.upstream_entries import UpstreamInstance
from ruddersaddle_serving.upstream_lists import UpstreamList

WINDOW_S = 1.05
"""Requests are counted over this long: a second, and what they may differ by on their way."""
JOIN_S = 3.0
"""A host has no shares for this long after it first knew the list of hosts. By then the others know
of it, too; before, its list may lack those that started beside it."""


class Allowance(msgspec.Struct, frozen=True):
    """What one host may send to one upstream: so many requests in so many seconds."""

    requests: int
    window_s: float


NOTHING = Allowance(0, WINDOW_S)


def share_out(per_s: float, ranked_hosts: list[str], host: str) -> Allowance:
    """Return a host's share of what an upstream bears.

    `ranked_hosts` are all hosts in the order that belongs to the upstream. As many of them as it
    bears requests a second have a share.
    """
    if per_s < 1.0:
        alone = bool(ranked_hosts) and ranked_hosts[0] == host
        return Allowance(1, WINDOW_S / per_s) if alone and per_s > 0 else NOTHING
    holders = ranked_hosts[: math.floor(per_s)]
    if host not in holders:
        return NOTHING
    return Allowance(math.floor(per_s / len(holders)), WINDOW_S)


class UpstreamShares:
    """Which upstreams bear few requests, and what this host may send to them."""

    def __init__(self, hosts: Hosts, publications: Publications, upstreams: UpstreamList) -> None:
        self.hosts = hosts
        self.publications = publications
        self.upstreams = upstreams
        self.cold_sent = 0
        """Requests that this host sent to cold upstreams."""
        self.limited_sent = 0
        """Requests that this host sent to upstreams that named a limit."""
        self._ranked_by_start: dict[UpstreamInstance, list[str]] = {}
        self._ranked_digest = 0
        """Digest of the list of hosts that the ranks are of."""

    def cold_until(self, tracker: Tracker) -> float:
        """Return until when an upstream is cold, on the steady clock.

        Beside what it says itself it is taken as cold after a silence, in which it may have started
        anew, and after its hall was evacuated: its own word takes up to two seconds.
        """
        pool = self._pool(tracker)
        if pool is None or not pool.cold_per_s:
            return float("-inf")
        again_at = max(
            tracker.liveness.recovered_at,
            self.publications.evacuations.ended_at(tracker.entry.hall),
        )
        told_until = self.upstreams.cold.until(tracker.entry.instance)
        return max(told_until, again_at + pool.cold_start_s)

    def is_cold(self, tracker: Tracker) -> bool:
        """Return whether an upstream is cold now."""
        return clocks.now_s() < self.cold_until(tracker)

    def may_send(self, tracker: Tracker) -> bool:
        """Return whether this host may send a request to an upstream now."""
        per_s = self.bound_per_s(tracker)
        if per_s is None:
            return True
        allowance = self._allowance(tracker, per_s)
        return tracker.sends.count_since(clocks.now_s() - allowance.window_s) < allowance.requests

    def bound_per_s(self, tracker: Tracker) -> float | None:
        """Return what an upstream bears a second of all hosts now; None where nothing bounds it."""
        limit_per_s = tracker.reported.rate_limit.bound_per_s()
        if not self.is_cold(tracker):
            return limit_per_s
        cold_per_s = self._pool(tracker).cold_per_s
        return cold_per_s if limit_per_s is None else min(cold_per_s, limit_per_s)

    def note_sent(self, tracker: Tracker) -> None:
        """Count a request that leaves for an upstream, bounded or not: it may be at once."""
        tracker.sends.record(clocks.now_s())
        self.cold_sent += self.is_cold(tracker)
        self.limited_sent += tracker.reported.rate_limit.is_named

    def count_cold(self) -> int:
        """Return how many upstreams say that they are cold."""
        return len(self.upstreams.cold.current())

    def _pool(self, tracker: Tracker) -> Pool | None:
        table = self.publications.table
        return None if table is None else table.pool_by_id.get(tracker.entry.pool)

    def _allowance(self, tracker: Tracker, per_s: float) -> Allowance:
        if clocks.now_s() < self.hosts.known_at + JOIN_S:
            return NOTHING
        return share_out(per_s, self._rank(tracker.entry.instance), self.hosts.own_id)

    def _rank(self, start: UpstreamInstance) -> list[str]:
        if self._ranked_digest != self.hosts.digest:
            self._ranked_digest = self.hosts.digest
            self._ranked_by_start.clear()
        if start not in self._ranked_by_start:
            known = set(self.upstreams.instances())
            self._ranked_by_start = {
                each: ranked for each, ranked in self._ranked_by_start.items() if each in known
            }
            names = [self.hosts.own_id, *self.hosts.by_id]
            self._ranked_by_start[start] = rank_names(str(start), names)
        return self._ranked_by_start[start]
