"""Sealed frames: one block of cached context with its key, generation and digest.

Readers verify each frame before they use it. A block that was freed, reused or partly written fails
verification and counts as a miss, so readers don't have to coordinate with whoever frees blocks.
"""

import struct
from collections.abc import Iterator
from hashlib import blake2b

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import BlockKey

MAGIC = b"RSF1"
HEADER = struct.Struct(">4s16sQI32s")
"""Magic, key, generation, payload length in bytes, digest."""
DIGEST_BYTES = 32
PAYLOAD_MAX = 64 * 1024 * 1024


class Frame(msgspec.Struct, frozen=True):
    """A verified block."""

    key: BlockKey
    generation: int
    sealed: bytes

    @property
    def payload(self) -> bytes:
        """The block without its header."""
        return self.sealed[HEADER.size :]


def seal_frame(key: BlockKey, generation: int, payload: bytes) -> bytes:
    """Return a sealed frame as bytes."""
    digest = _digest(bytes.fromhex(key), generation, payload)
    return HEADER.pack(MAGIC, bytes.fromhex(key), generation, len(payload), digest) + payload


def open_frame(data: bytes, key: BlockKey, peer: str) -> Frame | Failure:
    """Return the frame of `key` in `data`, or a failure if verification fails."""
    if len(data) < HEADER.size:
        return _corrupt(peer, "truncated header")
    magic, found_key, generation, length, digest = HEADER.unpack_from(data)
    payload = data[HEADER.size :]
    if magic != MAGIC or found_key.hex() != key:
        return _corrupt(peer, "frame of another block")
    if length != len(payload):
        return _corrupt(peer, f"{len(payload)} of {length} payload bytes")
    if digest != _digest(found_key, generation, payload):
        return _corrupt(peer, "digest mismatch")
    return Frame(key, generation, data)


def split_frames(data: bytes) -> Iterator[bytes]:
    """Yield each of several concatenated frames; the last may be truncated."""
    start = 0
    while start < len(data):
        if len(data) - start < HEADER.size:
            yield data[start:]
            return
        length = HEADER.unpack_from(data, start)[3]
        end = start + HEADER.size + min(length, PAYLOAD_MAX)
        yield data[start:end]
        start = end


def _digest(key: bytes, generation: int, payload: bytes) -> bytes:
    hashed = blake2b(key, digest_size=DIGEST_BYTES)
    hashed.update(generation.to_bytes(8, "big"))
    hashed.update(payload)
    return hashed.digest()


def _corrupt(peer: str, detail: str) -> Failure:
    return Failure(Code.CORRUPT, Step.FETCH, peer, detail)
