"""How many requests an unproven version may get, and how many of them one host may send.

All bounds are running ones: at any time the version has got at most a part of what the requests
that have reached the service by then allow. They hold whenever the version turns bad, and however
the rate of requests changes.
"""

from math import sqrt

import msgspec

from ruddersaddle_serving.rollouts.orders import ExposureLimits

USED_SHARE = 0.85
"""Part of the allowed exposure that is used; the rest covers the lag of totals and late hosts."""
NOISE_SHARE = 0.025
"""Part of the allowed exposure within which one standard deviation of all requests that remain may
be exceeded: at 14 requests a second it is more, and hosts keep to their parts."""
SAMPLING_SHARE = 0.25
"""Part of the allowed exposure that samples may use."""


class HostAllowance(msgspec.Struct, frozen=True):
    """How many requests one host may send to the target version until it has newer totals.

    Counted are this host's requests since its counts that the totals contain were taken, so that
    nothing is lost or counted twice.
    """

    sends: float
    per_request: float
    """Additional sends for each of this host's requests that reached the service since."""

    def permits(self, sent: int, requests: int) -> bool:
        """Return whether another request may be sent.

        `sent` of this host's `requests` since then have been sent to the target version; `requests`
        includes the one in question.
        """
        return sent + 1 <= self.sends + self.per_request * requests


UNLIMITED = HostAllowance(float("inf"), 0.0)
"""Allowance where the old version has no usable upstream."""


def allowed_requests(limits: ExposureLimits, requests: float) -> float:
    """Return how many of a number of requests to the service the version may get."""
    return limits.share * requests + limits.slack


def split_allowance(
    remaining: float, per_request: float, own_share: float, expected: float, allowed: float
) -> HostAllowance:
    """Return the allowance of a host that gets `own_share` (0 to 1) of the service's requests.

    `expected` is how many requests all hosts are expected to send until they have newer totals. A
    host may exceed its part by one standard deviation of its own requests, because they don't
    arrive evenly, as far as that is small for all hosts together, compared with the `allowed`
    exposure. It may send one request while more remain than all hosts are expected to send:
    otherwise hosts with few requests could never send one.
    """
    if remaining <= 0:
        return HostAllowance(0.0, per_request)
    part = remaining * own_share
    scale = min(1.0, NOISE_SHARE * allowed / sqrt(remaining))
    least = 1.0 if remaining >= max(1.0, expected) else 0.0
    noise = scale * sqrt(part * (1.0 - own_share))
    return HostAllowance(max(least, part + noise), per_request)
