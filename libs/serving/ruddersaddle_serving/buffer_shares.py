"""Memory for answers of upstreams that are buffered, shared by all requests of a host.

The bound of one answer doesn't bound the memory of many: seven bodies of 16 MB fill a small host.
"""

from ruddersaddle_serving.caller_budgets import CallerBudget

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
        self.budget: CallerBudget | None = None
        """The budget of all callers, which the buffers are a part of."""

    def resize(self, grown: int, grown_counted: int) -> bool:
        """Record that buffers have grown; return whether the host has room for them."""
        if grown_counted > 0 and self.used + grown_counted > self.bytes_max:
            return False
        if self.budget is not None and not self.budget.buffer(grown, grown_counted):
            return False
        self.used += grown_counted
        return True


BUFFERS = SharedBuffers()
"""The buffers of this process."""


class BufferShare:
    """What one answer has buffered."""

    def __init__(self, buffers: SharedBuffers = BUFFERS) -> None:
        self._buffers = buffers
        self._size = 0

    def resize(self, size: int) -> bool:
        """Record how many bytes are buffered now; return whether the host has room for them."""
        grown_counted = _counted(size) - _counted(self._size)
        if not self._buffers.resize(size - self._size, grown_counted):
            return False
        self._size = size
        return True

    def release(self) -> None:
        """Record that nothing is buffered any more."""
        self.resize(0)


def _counted(size: int) -> int:
    return max(0, size - UNSHARED_BYTES)
