"""What upstreams report about themselves in their answers: rate limit, backoff, leaving.

A report holds for one instance of an upstream. Hosts forward reports to each other, because a host
that sends nothing to an upstream receives no answers from it either.
"""

from enum import Enum

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import RequestId


class SelfReport(msgspec.Struct, frozen=True):
    """What one answer says about the upstream that sent it."""

    limit_per_s: float | None | Failure = None
    """Requests per second that it accepts from all hosts together; None if the answer states no
    limit, a failure if the limit can't be parsed."""
    leaving: bool = False
    """Whether it accepts no new work; an instance never takes that back."""
    brittle_rejections: float | None | Failure = None
    """Rejections within a second that it survives; None if it doesn't say that it is brittle."""
    backoff_s: float | Failure = 0.0
    """How long the host that it answered should send it no more requests, in seconds."""


EMPTY_REPORT = SelfReport()
"""The report of an answer that says nothing about its upstream."""
LIMIT_MIN_PER_S = 0.25
"""Lower limits count as this one: with no requests at all, no host would learn of the limit's
end."""
LIMIT_TRUST_S = 4.0
"""A limit that no answer has confirmed for this long is treated as if it had ended."""
RAMP_DOUBLING_S = 0.5
"""After a limit has ended, the allowed rate doubles in this time, so that hosts don't all return at
once."""
RAMP_DOUBLINGS_MAX = 8
"""Number of doublings after which the limit no longer applies."""
LIMIT_BROADCAST_S = 10.0
"""Hosts send each other a limit for this long after the answer that last stated it."""


class LeaveNotice(msgspec.Struct, frozen=True, array_like=True):
    """Says that an upstream announced in an answer that it is leaving."""

    request: RequestId | None
    """Request that was answered so; None for a call of the host itself."""


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The latest known state of an upstream's rate limit, as sent between hosts."""

    per_s: float
    ended: bool
    """Whether a later answer stated no limit."""
    request: RequestId | None
    """Request that was answered so; None for a call of the host itself."""
    age_s: float = 0.0
    """Time since that answer arrived."""


class LimitChange(Enum):
    """How an answer changed an upstream's limit."""

    NONE = "none"
    STARTED = "begun"
    ENDED = "ended"


class RateLimit:
    """The rate limit of one instance of an upstream; times are on the boot-time clock."""

    def __init__(self) -> None:
        self._latest: LimitUpdate | None = None
        self._received_at = float("-inf")

    @property
    def is_advertised(self) -> bool:
        """Whether the latest known answer stated a limit."""
        return self._latest is not None and not self._latest.ended

    def bound_per_s(self) -> float | None:
        """Return the rate allowed to all hosts together now; None if there is no bound.

        The bound of a limit that is not confirmed any more rises in steps: an upstream that gets no
        requests can't say that its limit has ended.
        """
        if self._latest is None:
            return None
        until = self._received_at if self._latest.ended else self._received_at + LIMIT_TRUST_S
        doublings = max(0.0, (clocks.now_s() - until) / RAMP_DOUBLING_S)
        if doublings > RAMP_DOUBLINGS_MAX:
            return None
        return max(LIMIT_MIN_PER_S, self._latest.per_s) * 2**doublings

    def latest_update(self) -> LimitUpdate | None:
        """Return the update to send to other hosts; None if there is no recent one."""
        age_s = clocks.now_s() - self._received_at
        if self._latest is None or age_s > LIMIT_BROADCAST_S:
            return None
        return msgspec.structs.replace(self._latest, age_s=age_s)

    def apply(self, update: LimitUpdate, is_first_hand: bool = True) -> LimitChange:
        """Apply an update unless it is older than the latest known one.

        `is_first_hand` says that it comes from the host that received the answer.
        """
        received_at = clocks.now_s() - update.age_s
        if received_at < self._received_at or (self._latest is None and update.ended):
            return LimitChange.NONE
        if not is_first_hand and self._is_known(update):
            return LimitChange.NONE
        was_advertised = self.is_advertised
        self._latest = update
        self._received_at = received_at
        if self.is_advertised == was_advertised:
            return LimitChange.NONE
        return LimitChange.STARTED if self.is_advertised else LimitChange.ENDED

    def _is_known(self, update: LimitUpdate) -> bool:
        """Return whether an update comes from the same answer as the latest known one.

        `age_s` leaves out the time on the way, so an update that hosts forward back and forth would
        seem younger each time.
        """
        known = self._latest
        return known is not None and (update.request, update.ended) == (known.request, known.ended)

    def limit_update(
        self, report: SelfReport, request: RequestId | None, is_ordinary: bool
    ) -> LimitUpdate | None:
        """Return the update that an arriving answer amounts to; None if it says nothing new.

        Only an ordinary answer ends a limit by stating none: refusals and answers that break the
        protocol may lack the field.
        """
        match report.limit_per_s:
            case float(per_s):
                return LimitUpdate(per_s, False, request)
            case None if is_ordinary and self.is_advertised:
                return LimitUpdate(self._latest.per_s, True, request)
        return None


class ReportedState:
    """What one instance of an upstream has reported about itself and is still in force."""

    def __init__(self) -> None:
        self.rate_limit = RateLimit()
        self._backoff_until = float("-inf")

    @property
    def backoff_s(self) -> float:
        """Time left of the backoff that it asked this host for; 0 if there is none."""
        return max(0.0, self._backoff_until - clocks.now_s())

    @property
    def is_bounding(self) -> bool:
        """Whether a reported backoff or limit bounds what this host may send."""
        return self.backoff_s > 0 or self.rate_limit.bound_per_s() is not None

    def back_off(self, backoff_s: float) -> bool:
        """Start or extend a backoff; return whether the upstream was not backing off before.

        A shorter backoff in a later answer doesn't shorten it: each answer binds by itself.
        """
        begins = backoff_s > 0 and self.backoff_s <= 0
        self._backoff_until = max(self._backoff_until, clocks.now_s() + backoff_s)
        return begins
