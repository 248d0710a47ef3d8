"""Rendezvous hashing: all hosts rank the same names alike for a key, without coordination.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from collections.abc import Iterable
from hashlib import blake2b

WEIGHT_BYTES = 8


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in order of preference for `key`."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\x00{name}".encode(), digest_size=WEIGHT_BYTES).digest()
