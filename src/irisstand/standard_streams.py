"""Output streams that never wait long for their reader.

A daemon writes to pipes of its supervisor. A write to a full pipe waits until the supervisor reads, and a
write to a closed one fails; neither may stop the event loop or change how the process ends.
"""

import io
import os
import select
import sys
import time
import typing

# A pipe that is reported as writable takes this many bytes without waiting (POSIX: PIPE_BUF).
_PIECE_BYTES = select.PIPE_BUF
# How long one write waits for a reader: in all, and without any progress.
WRITE_TIMEOUT_SECONDS = 2.0
STALL_TIMEOUT_SECONDS = 0.2
_MILLISECONDS_PER_SECOND = 1000


class BoundedTextStream(io.TextIOBase):
    """Writes text to a file descriptor at once; what the reader does not take in time is dropped.

    Args:
        descriptor: The file descriptor, which stays open when this stream is closed.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def fileno(self) -> int:
        """Return the file descriptor that this stream writes to."""
        return self.descriptor

    def writable(self) -> bool:
        """Return that this stream can be written to."""
        return True

    def write(self, text: str, /) -> int:
        """Write until all is written, or the reader stalls or is gone; return the length of the text."""
        view = memoryview(text.encode("utf-8", "backslashreplace"))
        give_up_at = time.monotonic() + WRITE_TIMEOUT_SECONDS
        try:
            while view and time.monotonic() < give_up_at and self._is_ready():
                view = view[os.write(self.descriptor, view[:_PIECE_BYTES]) :]
        except OSError:
            # The reader is gone. There is nowhere to report that.
            return len(text)
        return len(text)

    def _is_ready(self) -> bool:
        return bool(self._poll.poll(STALL_TIMEOUT_SECONDS * _MILLISECONDS_PER_SECOND))


def bound_waiting() -> None:
    """Replace standard output and standard error of this process by streams that never wait long.

    Logging and tracebacks are written to the replaced streams, too.
    """
    sys.stdout = _replacement(sys.stdout)
    sys.stderr = _replacement(sys.stderr)


def _replacement(stream: typing.TextIO) -> typing.TextIO:
    """Return a bounded stream in the place of one that writes to a file descriptor; any other as it is."""
    try:
        # The interpreter sets a standard stream to None if its descriptor is closed at the start.
        descriptor = stream.fileno() if stream is not None else -1
    except (OSError, ValueError):
        return stream
    return typing.cast(typing.TextIO, BoundedTextStream(descriptor)) if descriptor >= 0 else stream
