"""Which software versions have served in each pool, and for how long one alone has.

While one version alone has served in all pools of a route for longer than any stream lasts, a
stream of the route can only have begun at that version. Otherwise hosts must know which version
began it.
"""

import math
from collections.abc import Callable, Iterable

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId, SoftwareVersion

from ruddersaddle_serving.route_pools import RoutePools
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UP_TO_DATE_S, UpstreamList

Version = SoftwareVersion | msgspec.UnsetType

SETTLE_S = UP_TO_DATE_S + 0.5
"""No stream begins at a version for this long after a host has first listed it, while there are
others. A host whose list is so old that it knows only one version may still send it a stream that
began at the other."""
BEGUN_NOWHERE_S = SETTLE_S - UP_TO_DATE_S
"""Time after a version was first listed here in which no host begins streams at it, as long as
there are others: a host with a recent list lists a version `UP_TO_DATE_S` after others at most."""
FIRST_LIST_S = 1.0
"""Time after the first list during which others may bring what it lacks."""


class Sight(msgspec.Struct):
    """When a version of a pool was listed, by the boot-time clock in seconds."""

    first_at: float
    """When it came last; negative infinity if it was in the first list that this host knew."""
    last_at: float = math.inf
    """Infinity while it is listed."""
    is_return: bool = False
    """Whether it had been listed before, so that streams may have begun at it then."""

    def has_begun_by(self, newest_at: float) -> bool:
        """Whether streams may have begun at it if it has to be listed for some time before."""
        return self.is_return or self.first_at <= newest_at


class PoolVersions:
    """The software versions of all pools, as this host has seen them."""

    def __init__(self, upstreams: UpstreamList, memory_s: Callable[[], float]) -> None:
        self.upstreams = upstreams
        self.memory_s = memory_s
        """Time for which a version counts after its last upstream has gone."""
        self.route_pools = RoutePools(memory_s)
        self._sight_by_version: dict[PoolId, dict[Version, Sight]] = {}
        self._revision: int | None = None
        self._listed_since = math.inf
        """When the first list was seen."""
        self._known_since = math.inf
        """Since when the list was up to date all the time."""
        self._confirmed_at = -math.inf
        """When the list had been confirmed, at the last look."""

    def observe(self) -> None:
        """Apply the present list, if it has changed.

        It has to be called often: a version that comes and goes between two calls isn't seen.
        """
        if not self.upstreams.complete:
            return
        self._notice_gap()
        if self.upstreams.revision == self._revision:
            return
        now = clocks.now_s()
        is_first = self._revision is None
        self._revision = self.upstreams.revision
        self._listed_since = min(self._listed_since, now)
        listed = {(each.pool, each.software_version) for each in self.upstreams.by_id.values()}
        for pool, sights in self._sight_by_version.items():
            for version, sight in sights.items():
                if (pool, version) not in listed and sight.last_at == math.inf:
                    sight.last_at = now
        for pool, version in listed:
            sights = self._sight_by_version.setdefault(pool, {})
            sight = sights.get(version)
            if sight is None or sight.last_at < math.inf:
                first_at = -math.inf if is_first else now
                sights[version] = Sight(first_at, is_return=sight is not None)
        self._forget()

    def _notice_gap(self) -> None:
        """Start anew if versions may have come and gone since the list was last confirmed.

        The times of two confirmations show it also after a pause of the process, when the list is
        recent again at the first look.
        """
        confirmed_at = self.upstreams.confirmed_at
        if confirmed_at - self._confirmed_at > UP_TO_DATE_S:
            self._known_since = clocks.now_s()
        self._confirmed_at = confirmed_at

    def _forget(self) -> None:
        oldest_at = clocks.now_s() - self.memory_s()
        for pool, sights in list(self._sight_by_version.items()):
            for version in [each for each, sight in sights.items() if sight.last_at < oldest_at]:
                del sights[version]
            if not sights:
                del self._sight_by_version[pool]

    def seen(self, pool: PoolId) -> set[Version]:
        """Return the versions of a pool at which a stream may have begun, as far as known here."""
        self.observe()
        oldest_at = clocks.now_s() - self.memory_s()
        sights = self._sight_by_version.get(pool, {})
        return {version for version, sight in sights.items() if sight.last_at >= oldest_at}

    def seen_beside(self, pool: PoolId) -> set[Version]:
        """Return the versions at which a stream of any of a pool's routes may have begun."""
        return set().union(*map(self.seen, self.route_pools.beside(pool)))

    def alone(self, pool: PoolId) -> Version | None:
        """Return the version that has served alone for longer than streams last; None if unknown.

        It has served alone in all pools that share a route with this one. It is unknown on a host
        that has not been up for as long, and while its list may lack upstreams that others know,
        or may have lacked some in that time.
        """
        return self._find_alone(self.seen_beside(pool) if self.seen(pool) else set())

    def alone_until_now(self, pool: PoolId) -> Version | None:
        """Return the version that was alone until others were listed a moment ago, or None.

        Streams that nobody was told of began at it. Those that began at the others at once, as no
        upstream of it could serve them, are known to their holders.
        """
        return self._find_alone(self.begun_beside(pool) if self.seen(pool) else set())

    def begun_beside(self, pool: PoolId) -> set[Version]:
        """Return the versions at which hosts have had time to begin streams of a pool's routes."""
        return set().union(*map(self._begun, self.route_pools.beside(pool)))

    def _begun(self, pool: PoolId) -> set[Version]:
        """Return the versions of a pool at which hosts have had time to begin streams."""
        newest_at = clocks.now_s() - BEGUN_NOWHERE_S
        seen = self.seen(pool)
        sights = self._sight_by_version.get(pool, {})
        return {each for each in seen if sights[each].has_begun_by(newest_at)}

    def _find_alone(self, seen: set[Version]) -> Version | None:
        """Return the only one of the versions seen if none can have been missed."""
        if seen == {msgspec.UNSET}:
            # Hosts of an earlier program version, which don't read it, send the list.
            return msgspec.UNSET
        if len(seen) != 1 or not self.upstreams.is_up_to_date:
            return None
        since = max(self._known_since, self.route_pools.known_since)
        if clocks.now_s() - since < self.memory_s():
            return None
        return next(iter(seen))

    @property
    def is_list_whole(self) -> bool:
        """Whether all upstreams that are alive are listed: it is recent, and not the first one."""
        self.observe()
        return self.upstreams.is_up_to_date and (clocks.now_s() - self._listed_since > FIRST_LIST_S)

    def is_changing(self, pools: Iterable[PoolId]) -> bool:
        """Return whether a version of some pools has appeared that other hosts may not know yet."""
        newest_at = clocks.now_s() - SETTLE_S
        sights = (self._sight_by_version.get(pool, {}).values() for pool in pools)
        return any(sight.first_at > newest_at for each in sights for sight in each)

    def count_divided(self) -> int:
        """Return the number of pools in which no version is known to have served alone."""
        self.observe()
        return sum(self.alone(pool) is None for pool in list(self._sight_by_version))

    def select_settled(self, entries: list[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return the upstreams at whose version a stream may begin; all if there are no others.

        Upstreams that a request has tried in vain count: it is refused rather than begun at a
        version that other hosts may not know.
        """
        self.observe()
        newest_at = clocks.now_s() - SETTLE_S
        return [each for each in entries if self._first_at(each) <= newest_at] or entries

    def _first_at(self, entry: UpstreamEntry) -> float:
        sight = self._sight_by_version.get(entry.pool, {}).get(entry.software_version)
        return -math.inf if sight is None else sight.first_at
