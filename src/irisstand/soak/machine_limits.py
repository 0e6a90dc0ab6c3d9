"""What a machine of a soak run allows a process, set as limits of the system, and what a process uses."""

import os
import pathlib
import resource
import typing

BYTES_PER_MB = 1_000_000


class MachineLimits(typing.NamedTuple):
    """Limits of one process.

    Attributes:
        memory_mb: Memory of the machine in MB, enforced as a limit of address space.
        descriptors: Number of file descriptors.
    """

    memory_mb: int
    descriptors: int

    def apply(self) -> None:
        """Set the limits of the calling process."""
        memory_bytes = self.memory_mb * BYTES_PER_MB
        resource.setrlimit(resource.RLIMIT_AS, (memory_bytes, memory_bytes))
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))


# Machines of the small deployments, by the role of the process.
LIMITS_BY_ROLE = {
    "direct": MachineLimits(memory_mb=260, descriptors=4100),
    "holder": MachineLimits(memory_mb=296, descriptors=4096),
    "agency": MachineLimits(memory_mb=296, descriptors=4096),
}


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB; 0 if the process has exited."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process; 0 if the process has exited."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0
