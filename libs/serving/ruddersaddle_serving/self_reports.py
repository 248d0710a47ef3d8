"""What upstreams say of themselves in their answers, beside what was asked of them.

It holds for one start of an upstream. Hosts tell one another of it, because a host that sends
nothing to an upstream hears nothing of it either.
"""

from enum import Enum

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import RequestId


class SelfReport(msgspec.Struct, frozen=True):
    """What one answer says of the upstream that gave it."""

    limit_per_s: float | None | Failure = None
    """Requests a second that it takes from all hosts together; a failure where that can't be
    read, None where it names no limit."""
    leaving: bool = False
    """Whether it takes no new work any more; it never takes that back within one start."""
    backoff_s: float | Failure = 0.0
    """For how long it wants nothing from the host that it turned away, in seconds."""


EMPTY_REPORT = SelfReport()
"""An answer that says nothing of its upstream."""
LIMIT_MIN_PER_S = 0.25
"""A lower limit counts as this many requests a second: without any, nobody would hear its end."""
LIMIT_TRUST_S = 4.0
"""A limit that no answer has named for this long is given up, like one that has ended."""
RAMP_DOUBLING_S = 0.5
"""Once a limit has ended, what the upstream gets doubles in this time, so that hosts don't all come
back at the same moment."""
RAMP_DOUBLINGS_MAX = 8
"""After so many, the limit is over."""
LIMIT_BROADCAST_S = 10.0
"""Hosts tell one another of a limit for this long after it was last heard of."""


class LeaveNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tells that an upstream said in an answer that it leaves."""

    request: RequestId | None
    """Request whose answer told it; None for a call of the host itself."""


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The latest that is known of an upstream's limit, as hosts tell one another."""

    per_s: float
    ended: bool
    """Whether a later answer named none."""
    request: RequestId | None
    """Request whose answer told it; None for a call of the host itself."""
    age_s: float = 0.0
    """Seconds since the answer came that told it."""


class LimitChange(Enum):
    """What an answer changed about an upstream's limit."""

    NONE = "none"
    STARTED = "begun"
    ENDED = "ended"


class RateLimit:
    """The limit of one start of an upstream; moments are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._latest: LimitUpdate | None = None
        self._received_at = float("-inf")

    @property
    def is_advertised(self) -> bool:
        """Whether the upstream named a limit when it was last heard of."""
        return self._latest is not None and not self._latest.ended

    def bound_per_s(self) -> float | None:
        """Return what the upstream takes a second of all hosts now; None where nothing bounds it.

        One that nobody sends to can't say that its need is over, so that an old word counts less.
        """
        if self._latest is None:
            return None
        until = self._received_at if self._latest.ended else self._received_at + LIMIT_TRUST_S
        doublings = max(0.0, (clocks.now_s() - until) / RAMP_DOUBLING_S)
        if doublings > RAMP_DOUBLINGS_MAX:
            return None
        return max(LIMIT_MIN_PER_S, self._latest.per_s) * 2**doublings

    def latest_update(self) -> LimitUpdate | None:
        """Return what other hosts should know; None where nothing was heard lately."""
        age_s = clocks.now_s() - self._received_at
        if self._latest is None or age_s > LIMIT_BROADCAST_S:
            return None
        return msgspec.structs.replace(self._latest, age_s=age_s)

    def apply(self, news: LimitUpdate, is_first_hand: bool = True) -> LimitChange:
        """Take what an answer said; one that came before the latest known changes nothing.

        `is_first_hand` says that it comes from the host that had the answer.
        """
        heard_at = clocks.now_s() - news.age_s
        if heard_at < self._received_at or (self._latest is None and news.ended):
            return LimitChange.NONE
        if not is_first_hand and self._is_known(news):
            return LimitChange.NONE
        was_named = self.is_advertised
        self._latest = news
        self._received_at = heard_at
        if self.is_advertised == was_named:
            return LimitChange.NONE
        return LimitChange.STARTED if self.is_advertised else LimitChange.ENDED

    def _is_known(self, news: LimitUpdate) -> bool:
        """Return whether the answer that told this is known already.

        Told to and fro between hosts, it would seem to be younger by its way each time.
        """
        known = self._latest
        return known is not None and (news.request, news.ended) == (known.request, known.ended)

    def update_from(
        self, report: SelfReport, request: RequestId | None, is_ordinary: bool
    ) -> LimitUpdate | None:
        """Return what the answer to a request tells as it comes; None where that is nothing.

        An answer that names no limit ends one only if it is an ordinary one: refusals and answers
        that break the protocol may lack it.
        """
        match report.limit_per_s:
            case float(per_s):
                return LimitUpdate(per_s, False, request)
            case None if is_ordinary and self.is_advertised:
                return LimitUpdate(self._latest.per_s, True, request)
        return None


class ReportedState:
    """What one start of an upstream has said of itself, for as long as it holds."""

    def __init__(self) -> None:
        self.rate_limit = RateLimit()
        self._backoff_until = float("-inf")

    @property
    def backoff_s(self) -> float:
        """Seconds for which it wants nothing more from this host; 0 where it doesn't rest."""
        return max(0.0, self._backoff_until - clocks.now_s())

    @property
    def is_bounding(self) -> bool:
        """Whether anything that it said bounds what this host may send."""
        return self.backoff_s > 0 or self.rate_limit.bound_per_s() is not None

    def back_off(self, backoff_s: float) -> bool:
        """Take that it asks for rest from now on; return whether it did not rest before.

        An answer that asks for less shortens nothing: each answer binds by itself.
        """
        begins = backoff_s > 0 and self.backoff_s <= 0
        self._backoff_until = max(self._backoff_until, clocks.now_s() + backoff_s)
        return begins
