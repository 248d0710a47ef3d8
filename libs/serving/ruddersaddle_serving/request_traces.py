"""How a request was forwarded, for the log."""

import msgspec
from ruddersaddle_base.ids import HostId, SoftwareVersion

from ruddersaddle_serving.stream_origins import TakeUp


class RequestTrace:
    """How a request was forwarded, as logged when it ends.

    `attempts` has the outcome of each attempt. The fields about the choice of an upstream are those
    of the last attempt, except that `fetched_parts` and `saved_parts` are of the last transfer.
    `first_s` is the time from the request's start to its first event, or to its complete answer.
    """

    def __init__(self) -> None:
        self.attempts: list[str] = []
        self.retries: list[str] = []
        """Retries that were sent or denied, with what the budget had left."""
        self.upstream = ""
        self.version: int | None = None
        self.wait_s = 0.0
        self.covered_tokens = 0
        self.missing_tokens = 0
        self.candidates = 0
        self.weighed: tuple[str, ...] = ()
        self.fetched_parts = 0
        self.saved_parts = 0
        self.first_s: float | None = None
        self.refused_after_s: float | None = None
        """Time from the last sending that an upstream refused to its answer."""
        self.relayed_to: HostId | None = None
        """Host that a relayed request was answered by."""
        self.relay_reason: str | None = None
        """Why it was relayed, with the time for which this host has had no path."""
        self.take_up: TakeUp | None = None
        """How a stream that its caller takes up again was found; None for other requests."""
        self.software_version: SoftwareVersion | msgspec.UnsetType = msgspec.UNSET
