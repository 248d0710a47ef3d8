"""Reading a request's body with limits on size and time, so that a slow sender delays no other."""

from typing import Any

import eventlet
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_serving import caller_bodies

from ruddersaddle.callers import CALLER

ROOM_WAIT_SHARE = 0.5
"""Longest wait of a large body for its room, as a share of the time for reading it."""


def read_body(environ: dict[str, Any], bytes_max: int, timeout_s: float) -> bytes | Failure:
    """Return the complete body, or a failure if it is too large, too slow or malformed."""
    try:
        with eventlet.Timeout(timeout_s):
            return caller_bodies.read_body(environ, bytes_max, ROOM_WAIT_SHARE * timeout_s)
    except eventlet.Timeout:
        detail = f"the body did not arrive within {timeout_s:g} s"
        return Failure(Code.BAD_REQUEST, Step.PARSE, CALLER, detail)
