"""Settings of the C library's memory allocator."""

import contextlib
import ctypes

# Parameters of `mallopt` in glibc.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Above the size of a read from a socket, so that reads need no system call for
# memory.
_MMAP_BYTES = 512 << 10
_TRIM_BYTES = 4 << 20


def return_large_blocks() -> None:
    """Makes large blocks go back to the operating system when they are freed.

    By default, glibc keeps them for later ones once the first is freed. Bodies
    of several sizes then take several times the memory that is in use. Other C
    libraries have no such setting.
    """
    with contextlib.suppress(AttributeError, OSError):
        library = ctypes.CDLL(None)
        library.mallopt(_M_MMAP_THRESHOLD, _MMAP_BYTES)
        library.mallopt(_M_TRIM_THRESHOLD, _TRIM_BYTES)
