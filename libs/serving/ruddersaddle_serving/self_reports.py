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


SILENT_REPORT = SelfReport()
"""An answer that says nothing of its upstream."""


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """The latest that is known of an upstream's limit, as hosts tell one another."""

    per_s: float
    ended: bool
    """Whether a later answer named none."""
    request: RequestId
    """Request whose answer told it."""
    age_s: float = 0.0
    """Seconds since the answer came that told it."""


class LimitChange(Enum):
    """What an answer changed about an upstream's limit."""

    NONE = "none"
    BEGUN = "begun"
    ENDED = "ended"


class RateLimit:
    """The limit of one start of an upstream; moments are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._news: LimitNews | None = None
        self._heard_at = float("-inf")

    @property
    def is_named(self) -> bool:
        """Whether the upstream named a limit when it was last heard of."""
        return self._news is not None and not self._news.ended

    def take(self, news: LimitNews) -> LimitChange:
        """Take what an answer said; one that came before the latest known changes nothing."""
        heard_at = clocks.now_s() - news.age_s
        if heard_at < self._heard_at or (self._news is None and news.ended):
            return LimitChange.NONE
        was_named = self.is_named
        self._news = news
        self._heard_at = heard_at
        if self.is_named == was_named:
            return LimitChange.NONE
        return LimitChange.BEGUN if self.is_named else LimitChange.ENDED

    def after(self, report: SelfReport, request: RequestId, is_ordinary: bool) -> LimitNews | None:
        """Return what the answer to a request tells as it comes; None where that is nothing.

        An answer that names no limit ends one only if it is an ordinary one: refusals and answers
        that break the protocol may lack it.
        """
        match report.limit_per_s:
            case float(per_s):
                return LimitNews(per_s, False, request)
            case None if is_ordinary and self.is_named:
                return LimitNews(self._news.per_s, True, request)
        return None
