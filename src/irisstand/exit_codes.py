"""Exit codes of the daemons, and the code for the error that ends a process."""

import enum
import errno


class ExitCode(enum.IntEnum):
    """Why a process ended; docs/operators.md lists the codes."""

    STOPPED = 0
    CRASHED = 1
    NOT_STARTED = 2
    OUT_OF_MEMORY = 3
    OUT_OF_DESCRIPTORS = 4
    DISK_FAILED = 5
    SHUTDOWN_OVERDUE = 6


_CODE_BY_ERRNO = {
    errno.ENOMEM: ExitCode.OUT_OF_MEMORY,
    errno.EMFILE: ExitCode.OUT_OF_DESCRIPTORS,
    errno.ENFILE: ExitCode.OUT_OF_DESCRIPTORS,
    errno.EIO: ExitCode.DISK_FAILED,
    errno.ENOSPC: ExitCode.DISK_FAILED,
    errno.EDQUOT: ExitCode.DISK_FAILED,
    errno.EROFS: ExitCode.DISK_FAILED,
}
# What the dynamic loader reports when there is no address space for a shared object.
_LOADER_OUT_OF_MEMORY = "failed to map segment"
# What the interpreter reports when there is no address space for the stack of a thread.
_THREAD_OUT_OF_MEMORY = "can't start new thread"


def code_for(error: BaseException, default: ExitCode = ExitCode.CRASHED) -> ExitCode:
    """Return the exit code for the error that ends a process.

    Args:
        error: The error.
        default: The code for an error that says nothing about a resource.

    >>> code_for(MemoryError()), code_for(ValueError())
    (<ExitCode.OUT_OF_MEMORY: 3>, <ExitCode.CRASHED: 1>)
    """
    if isinstance(error, MemoryError):
        return ExitCode.OUT_OF_MEMORY
    if isinstance(error, ImportError) and _LOADER_OUT_OF_MEMORY in str(error):
        return ExitCode.OUT_OF_MEMORY
    if isinstance(error, RuntimeError) and _THREAD_OUT_OF_MEMORY in str(error):
        return ExitCode.OUT_OF_MEMORY
    if isinstance(error, OSError):
        return _CODE_BY_ERRNO.get(error.errno or 0, default)
    return default
