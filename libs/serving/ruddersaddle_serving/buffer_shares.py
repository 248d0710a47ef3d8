"""Memory for answers of upstreams that are buffered, shared by all requests of a host.

The bound of one answer doesn't bound the memory of many: seven bodies of 16 MB fill a small host.
"""

SHARED_BYTES_MAX = 40 * 1024 * 1024
"""Most bytes that all answers have buffered beyond `UNSHARED_BYTES` each; the largest event and the
largest body fit at once."""
UNSHARED_BYTES = 256 * 1024
"""Buffered bytes of an answer that don't count, so that large ones leave room for all others."""


class SharedBuffers:
    """The buffers of a host's answers; `used` counts bytes beyond the unshared part of each."""

    def __init__(self, bytes_max: int = SHARED_BYTES_MAX) -> None:
        self.bytes_max = bytes_max
        self.used = 0


BUFFERS = SharedBuffers()
"""The buffers of this process."""


class BufferShare:
    """What one answer has buffered."""

    def __init__(self, buffers: SharedBuffers = BUFFERS) -> None:
        self._buffers = buffers
        self._counted = 0

    def resize(self, size: int) -> bool:
        """Record how many bytes are buffered now; return whether the host has room for them."""
        counted = max(0, size - UNSHARED_BYTES)
        grown = counted - self._counted
        if grown > 0 and self._buffers.used + grown > self._buffers.bytes_max:
            return False
        self._buffers.used += grown
        self._counted = counted
        return True

    def release(self) -> None:
        """Record that nothing is buffered any more."""
        self.resize(0)
