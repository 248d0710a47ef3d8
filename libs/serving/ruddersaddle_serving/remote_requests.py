"""Requests of other hosts at one upstream, as their notices tell."""

from collections import OrderedDict

from ruddersaddle_base import clocks

REMOTE_TTL_S = 15.0
"""A request counts for at most this long if no notice tells its end."""
REMOTE_MAX = 4096
"""Limit on the requests that are counted for one upstream."""


class RemoteRequests:
    """The requests of other hosts that are under way at an upstream."""

    def __init__(self) -> None:
        self._sent_at_by_key: OrderedDict[tuple[str, int], float] = OrderedDict()
        """Times on the boot-time clock, by host and number."""

    def record_sent(self, request_key: tuple[str, int]) -> None:
        """Record that another host sends a request."""
        if len(self._sent_at_by_key) < REMOTE_MAX:
            self._sent_at_by_key[request_key] = clocks.now_s()

    def record_ended(self, request_key: tuple[str, int]) -> None:
        """Record that a request of another host has ended."""
        self._sent_at_by_key.pop(request_key, None)

    def count(self) -> int:
        """Return how many are under way."""
        oldest_at = clocks.now_s() - REMOTE_TTL_S
        while self._sent_at_by_key and next(iter(self._sent_at_by_key.values())) < oldest_at:
            self._sent_at_by_key.popitem(last=False)
        return len(self._sent_at_by_key)
