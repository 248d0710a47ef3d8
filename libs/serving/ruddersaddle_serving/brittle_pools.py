"""Pools whose upstreams are brittle: one that rejects too many requests in a second falls over.

The load pattern to survive: upstreams let fewer requests wait than usual, under more load than they
bear. One that falls over sends its load to the next, so the whole pool stays down. Hosts therefore
send a brittle upstream no more at once than it runs: its slots are split over the list of hosts,
and a host takes more than its share only while the others' requests leave room. All times are of
the boot-time clock, in seconds.
"""

import logging

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId

logger = logging.getLogger(__name__)

TRUST_S = 4.0
"""A pool is no longer brittle if no answer has said so for this long."""
OVERTAKEN_S = 1.0
"""Answers that don't say so end it only this long after the last one that did, as answers overtake
one another."""
BORROW_MARGIN = 1
"""Slots that are left free by hosts that take more than their share."""
BORROW_STEP_S = 0.03
"""Time until hosts that notify one another directly know of a request, with a margin."""
BORROW_STEP_OF_SUMS_S = 0.25
"""The same for hosts that know of requests by sums."""
LOOKS_S = 0.1
"""Slots that a host hasn't looked at for longer than this may have been in use meanwhile."""
REJECTION_PAUSE_S = 1.0
REJECTION_PAUSE_MAX_S = 8.0


class BrittlePool(msgspec.Struct):
    """What answers have said of a pool."""

    rejections: float
    """Rejections within a second that an upstream survives."""
    since: float
    reported_at: float


class FreeSlots:
    """For how long other hosts have left slots of an upstream free, as this host has seen."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._seen_at = float("-inf")
        self._in_flight = 0
        """Requests of this host, when it looked last."""

    def record_look(self, are_free: bool, in_flight: int) -> float:
        """Record whether slots are free; return for how long they have been, in seconds.

        The time begins anew with each further request of this host, which may take such a slot.
        """
        now = clocks.now_s()
        is_new = in_flight > self._in_flight or now - self._seen_at > LOOKS_S
        if not are_free:
            self._since = None
        elif self._since is None or is_new:
            self._since = now
        self._seen_at = now
        self._in_flight = in_flight
        return 0.0 if self._since is None else now - self._since


class BrittlePools:
    """The pools that are brittle, as their upstreams' answers to this host say."""

    def __init__(self) -> None:
        self._by_id: dict[PoolId, BrittlePool] = {}

    def record_brittle(self, pool: PoolId, rejections: float) -> None:
        """Record an answer of an upstream that says it is brittle."""
        now = clocks.now_s()
        known = self.find(pool)
        if known is None:
            self._by_id[pool] = BrittlePool(rejections, now, now)
            logger.warning(
                "Upstreams of pool %s are brittle: %g rejections a second.", pool, rejections
            )
            return
        known.rejections = rejections
        known.reported_at = now

    def record_ordinary(self, pool: PoolId) -> None:
        """Record an answer of an upstream that doesn't say that it is brittle."""
        known = self._by_id.get(pool)
        if known is not None and clocks.now_s() - known.reported_at > OVERTAKEN_S:
            self._end(pool, known)

    def find(self, pool: PoolId) -> BrittlePool | None:
        """Return what is known of a pool; None if it isn't brittle."""
        known = self._by_id.get(pool)
        if known is not None and clocks.now_s() - known.reported_at > TRUST_S:
            self._end(pool, known)
            return None
        return known

    def _end(self, pool: PoolId, known: BrittlePool) -> None:
        del self._by_id[pool]
        age_s = clocks.now_s() - known.since
        logger.info("Upstreams of pool %s are no longer brittle, after %.1f s.", pool, age_s)

    @property
    def count(self) -> int:
        """Number of pools that are brittle."""
        return len(self._by_id)


def share_of_slots(slots: int, rank: int, hosts: int) -> int:
    """Return the slots of an upstream that the host of a rank may use at any time."""
    return slots // hosts + (rank < slots % hosts)


def rejection_pause_s(pool: BrittlePool, hosts: int) -> float:
    """Return for how long a host sends nothing to an upstream that rejected a request.

    All hosts together then cause fewer rejections than the upstream survives.
    """
    return min(REJECTION_PAUSE_MAX_S, max(REJECTION_PAUSE_S, hosts / max(1.0, pool.rejections)))
