"""New idempotency keys for non-repeatable calls: UUIDs of version 7, which contain their time."""

import secrets
import time
import uuid

VERSION = 0x7 << 76
VARIANT = 0x2 << 62
TIME_SHIFT = 80
MIDDLE_SHIFT = 64
MIDDLE_BITS = 12
LAST_BITS = 62
MS_PER_S = 1000


def new_key(seconds_ago: float = 0.0) -> str:
    """Return a key dated `seconds_ago` seconds in the past (RFC 9562, section 5.7)."""
    milliseconds = int((time.time() - seconds_ago) * MS_PER_S)
    middle = secrets.randbits(MIDDLE_BITS) << MIDDLE_SHIFT
    last = secrets.randbits(LAST_BITS)
    return str(uuid.UUID(int=milliseconds << TIME_SHIFT | VERSION | middle | VARIANT | last))
