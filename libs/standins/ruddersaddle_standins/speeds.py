"""The one table of the stand-ins' speeds and sizes; each can be set when a stand-in starts."""

from collections.abc import Sequence

import msgspec


class Speeds(msgspec.Struct, kw_only=True):
    """Speeds and sizes; seconds, bytes and tokens unless a name says otherwise."""

    append_s: float = 0.004
    """Time of one append to the log; appends wait for each other."""
    retention_records: int = 100_000
    """Appends that a stream of the log keeps."""
    list_lag_s: float = 0.5
    """Lag of the host list."""
    prefill_tokens_s: float = 8000.0
    """Tokens that an engine prefills a second, one prompt after another."""
    token_s: float = 0.02
    """Time between tokens of a stream."""
    running_max: int = 64
    """Streams that an engine runs at once."""
    cache_blocks: int = 400
    """Blocks that an engine caches."""
    event_lag_s: float = 0.1
    """Lag of cache events."""
    load_lag_s: float = 0.5
    """Lag of load reports."""
    block_bytes: int = 8192
    """Bytes of one exported block."""
    weight_s: float = 1.0
    """Time to load weights, with up to two loads at once; more share the rate."""
    link_bytes_s: float = 50e6
    """Rate of a store host's link."""
    memory_bytes: int = 64_000_000
    """Bytes in a store host's memory tier."""
    disk_bytes: int = 640_000_000
    """Bytes on a store host's disk tier."""
    disk_slowness: float = 3.0
    """How many times longer a read from disk takes."""
    service_s: float = 0.02
    """Time of one call of a plain service."""
    checks_fences: bool = True
    """Whether an engine refuses orders with an older fence."""


def read_speeds(options: Sequence[str]) -> Speeds:
    """Return the table with `name=value` options applied."""
    given = dict(option.split("=", 1) for option in options)
    return msgspec.convert(given, Speeds, strict=False)
