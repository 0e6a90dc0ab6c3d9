"""Limits the address space that threads of this process reserve and never use.

A machine may enforce its memory as a limit of address space (RLIMIT_AS). By default each thread reserves a
stack of 8 MB, and the allocator reserves 64 MB for each thread that allocates: a handful of threads reserve
more than small machines have.
"""

import ctypes
import os
import threading

# Parameter of glibc's mallopt(): the number of arenas that threads allocate from.
_M_ARENA_MAX = -8
_ARENAS = 1
# Read by libuv when its pool of threads starts; the pool only looks names up.
_POOL_SIZE_VARIABLE = "UV_THREADPOOL_SIZE"
_POOL_THREADS = 1
# Threads of the daemons write files and run timers; none recurses deeply.
THREAD_STACK_BYTES = 1024 * 1024


def limit() -> None:
    """Limit what further threads of this process reserve; call it before the first thread starts."""
    threading.stack_size(THREAD_STACK_BYTES)
    os.environ.setdefault(_POOL_SIZE_VARIABLE, str(_POOL_THREADS))
    _share_one_arena()


def _share_one_arena() -> None:
    """Let all threads allocate from one arena; C libraries without this setting have one anyway."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_ARENA_MAX, _ARENAS)
