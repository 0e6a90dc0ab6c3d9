"""Limits the memory that this process reserves and does not use: stacks, arenas, freed blocks.

A machine may enforce its memory as a limit of address space (RLIMIT_AS). By default each thread reserves a
stack of 8 MB, and the allocator reserves 64 MB for each thread that allocates: a handful of threads reserve
more than small machines have. It also keeps large blocks that were freed, once some of their size were.
"""

import ctypes
import os
import threading

# Parameter of glibc's mallopt(): the number of arenas that threads allocate from.
_M_ARENA_MAX = -8
_ARENAS = 1
# Parameter of glibc's mallopt(): from this size on, a block is returned to the system when it is freed. A
# fixed value keeps the allocator from raising it.
_M_MMAP_THRESHOLD = -3
_LARGE_BLOCK_BYTES = 128 * 1024
# Read by libuv when its pool of threads starts; the pool only looks names up.
_POOL_SIZE_VARIABLE = "UV_THREADPOOL_SIZE"
_POOL_THREADS = 1
# Threads of the daemons write files and run timers; none recurses deeply.
THREAD_STACK_BYTES = 1024 * 1024


def limit() -> None:
    """Limit what this process reserves from now on; call it before the first thread starts."""
    threading.stack_size(THREAD_STACK_BYTES)
    os.environ.setdefault(_POOL_SIZE_VARIABLE, str(_POOL_THREADS))
    _configure_allocator()


def _configure_allocator() -> None:
    """Let all threads share one arena, and return large blocks, where the C library has such settings."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_ARENA_MAX, _ARENAS)
        mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
