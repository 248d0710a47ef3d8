"""Interface of rules that restrict which upstreams may get a request."""

from typing import Protocol

from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.prompts import CallerRequest
from ruddersaddle_serving.upstream_entries import UpstreamEntry


class EligibilityRule(Protocol):
    """Restricts which upstreams of a pool may get a request."""

    def select(
        self, request: CallerRequest, entries: list[UpstreamEntry], excluded: set[UpstreamId]
    ) -> list[UpstreamEntry] | Failure:
        """Return the entries that may get the request, or why there is none.

        `excluded` are the upstreams that the request has been sent to before.
        """

    def check(self, request: CallerRequest, entry: UpstreamEntry) -> str | None:
        """Return why the request may no longer be sent to its chosen upstream, or None."""
