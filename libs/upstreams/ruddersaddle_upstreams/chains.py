"""Keys of cached context: a hash chain over a prompt's blocks, salted by its owner.

The salt covers workspace, model, weight version and adapter, so blocks are not shared across any of
these, even for the same text. The chaining is the usual prefix caching of inference engines.
"""

from hashlib import blake2b

from ruddersaddle_base.ids import BlockKey, ModelId, WorkspaceId

BLOCK_BYTES = 256
"""Bytes of prompt text in one block."""
TOKEN_BYTES = 4
"""Average bytes of text per token, used to estimate sizes."""
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES
KEY_BYTES = 16
SEPARATOR = "\x00"


def context_salt(workspace: WorkspaceId, model: ModelId, version: str, adapter: str = "") -> str:
    """Return the salt that separates this owner's blocks from all others."""
    parts = SEPARATOR.join((workspace, model, version, adapter))
    return blake2b(parts.encode(), digest_size=KEY_BYTES).hexdigest()


def block_keys(salt: str, text: str) -> list[BlockKey]:
    """Return the key of each complete block of `text`, in order."""
    data = text.encode()
    parent = salt.encode()
    keys = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        key = blake2b(parent + block, digest_size=KEY_BYTES).hexdigest()
        keys.append(BlockKey(key))
        parent = key.encode()
    return keys


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens of `text`."""
    return len(text.encode()) // TOKEN_BYTES
