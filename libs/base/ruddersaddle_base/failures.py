"""Failures as values: the reason, the step and peer, and whether the call was run."""

from enum import Enum

import msgspec


class Ran(Enum):
    """Whether an upstream ran the failed call."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Step(Enum):
    """The step of a request at which a failure occurred."""

    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    QUEUE = "queue"
    CLAIM = "claim"
    VOID = "void"
    CONNECT = "connect"
    SEND = "send"
    READ = "read"
    FETCH = "fetch"
    KEEP = "keep"
    APPEND = "append"
    PEER = "peer"
    PUBLISH = "publish"
    ORDER = "order"


class Code(Enum):
    """The reason for a failure; values are part of the API for callers."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    KEY_EXPIRED = "key_expired"
    KEY_NOT_DATED = "key_not_dated"
    KEY_IN_USE = "key_in_use"
    KEY_MISMATCH = "key_mismatch"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    LOG_UNAVAILABLE = "log_unavailable"
    PEER_GONE = "peer_gone"
    CORRUPT = "corrupt"
    NOT_READY = "not_ready"
    OTHER_VERSION = "other_version"
    GAP = "gap"
    """The requested records are no longer retained."""
    STALE_CONFIGURATION = "stale_configuration"
    """The configuration is not confirmed to be recent enough to accept a caller's key."""
    CRASHES_UPSTREAMS = "crashes_upstreams"
    """Too many upstreams have crashed while running this request."""
    PART_CRASHES_UPSTREAMS = "part_crashes_upstreams"
    """Too many upstreams have crashed while running prompts with a part of this one."""
    FITS_NO_ENGINE = "fits_no_engine"
    """The prompt is larger than the memory of every engine."""
    EVACUATED = "evacuated"
    """Operators have evacuated every hall with upstreams for this request."""
    NO_ALLOWED_REGION = "no_allowed_region"
    """No upstream for this request is in a region that its route and its workspace allow."""
    UNKNOWN_STREAM = "unknown_stream"
    """It is not known which software version began the stream that is to go on."""
    STREAM_VERSION_GONE = "stream_version_gone"
    """No upstream of the software version that began the stream accepts requests."""
    INTERNAL = "internal"


class Failure(msgspec.Struct, frozen=True):
    """A value returned in place of a result when a step failed.

    `retry_token` is the log position that a caller sends back to retry the same key after
    `not_run`.
    """

    code: Code
    step: Step
    peer: str
    detail: str = ""
    ran: Ran = Ran.NOT_RUN
    retry_after_s: float = 0.0
    retry_token: int | None = None

    def with_ran(self, ran: Ran) -> "Failure":
        """Return a copy of the failure with `ran` replaced."""
        return msgspec.structs.replace(self, ran=ran)
