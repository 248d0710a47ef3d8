"""Settings of the C allocator for processes that keep large blocks for a short time."""

import ctypes
import logging

logger = logging.getLogger(__name__)

M_MMAP_THRESHOLD = -3
"""Option of mallopt(3): blocks from this size on are mapped, and returned when they are freed."""
MAPPED_BYTES = 128 * 1024


def return_large_blocks() -> None:
    """Let the allocator return large blocks to the system as soon as they are freed.

    By default it raises the size from which it maps blocks with each mapped block that is freed, up
    to 32 MB; all others are cut out of a heap whose pieces can't be returned.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None or not mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES):
        logger.info("The C allocator decides by itself which blocks it returns.")
