"""Speeds and sizes of all stand-ins; each can be set when a stand-in starts."""

from collections.abc import Sequence

import msgspec


class Speeds(msgspec.Struct, kw_only=True):
    """Speeds and sizes; seconds, bytes and tokens unless a name says otherwise."""

    append_s: float = 0.004
    """Duration of one append to the log; appends run one after another."""
    retention_records: int = 100_000
    """Records that a stream of the log retains."""
    list_lag_s: float = 0.5
    """Lag of the host list."""
    prefill_tokens_s: float = 8000.0
    """Tokens that an engine prefills per second, one prompt after another."""
    token_s: float = 0.02
    """Time between tokens of a stream."""
    running_max: int = 64
    """Streams that an engine runs concurrently."""
    cache_blocks: int = 400
    """Blocks that an engine caches."""
    event_lag_s: float = 0.1
    """Lag of cache events."""
    load_lag_s: float = 0.5
    """Lag of load reports."""
    block_bytes: int = 8192
    """Size of one exported block."""
    weight_s: float = 1.0
    """Time to load weights while at most two loads run; more loads share the rate of two."""
    link_bytes_s: float = 50e6
    """Rate of the link of a store host."""
    memory_bytes: int = 64_000_000
    """Size of the memory tier of a store host."""
    disk_bytes: int = 640_000_000
    """Size of the disk tier of a store host."""
    disk_slowness: float = 3.0
    """Factor by which a read from disk is slower than one from memory."""
    service_s: float = 0.02
    """Duration of one call of a plain service."""
    checks_fences: bool = True
    """Whether an engine refuses orders with an outdated fence."""


def read_speeds(options: Sequence[str]) -> Speeds:
    """Return the speeds with `name=value` options applied."""
    given = dict(option.split("=", 1) for option in options)
    return msgspec.convert(given, Speeds, strict=False)
