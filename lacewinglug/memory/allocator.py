"""Settings of the C library's allocator."""

import contextlib
import ctypes

MMAP_THRESHOLD_BYTES = 65_536
"""Size from which blocks are mapped, so that freeing them returns their memory. The
library otherwise raises it to the size of the largest block that was freed."""
TRIM_THRESHOLD_BYTES = 1_048_576
"""Free memory at the end of the heap from which it is returned."""
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3


def return_freed_memory() -> None:
    """Make the allocator of this process return the memory of large freed blocks."""
    # Only glibc has this function; other libraries keep little.
    with contextlib.suppress(AttributeError, OSError):
        library = ctypes.CDLL(None)
        library.mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        library.mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
