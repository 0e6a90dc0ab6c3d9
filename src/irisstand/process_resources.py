"""Memory, address space, threads and descriptors of this process with their limits, for the event log."""

import os
import pathlib
import resource
import typing

from irisstand import event_log

BYTES_PER_MB = 1e6
_BYTES_PER_KB = 1024
_STATUS_FILE = pathlib.Path("/proc/self/status")
_DESCRIPTORS_FOLDER = "/proc/self/fd"


class ProcessResources(typing.NamedTuple):
    """What this process uses of its machine; a figure that the system does not report is 0.

    Attributes:
        resident_mb: Resident memory.
        resident_peak_mb: The most resident memory so far.
        address_space_mb: Address space, including what is reserved and not used.
        address_space_peak_mb: The most address space so far.
        address_space_limit_mb: The limit of address space (RLIMIT_AS); 0 if there is none.
        threads: Number of threads.
        descriptors: Number of open file descriptors.
        descriptor_limit: The limit of open file descriptors (RLIMIT_NOFILE).
    """

    resident_mb: float
    resident_peak_mb: float
    address_space_mb: float
    address_space_peak_mb: float
    address_space_limit_mb: float
    threads: int
    descriptors: int
    descriptor_limit: int


def read() -> ProcessResources:
    """Return what this process uses now."""
    status = _read_status()

    def megabytes(name: str) -> float:
        return round(status.get(name, 0) * _BYTES_PER_KB / BYTES_PER_MB, 1)

    address_space_limit = resource.getrlimit(resource.RLIMIT_AS)[0]
    return ProcessResources(
        resident_mb=megabytes("VmRSS"),
        resident_peak_mb=megabytes("VmHWM"),
        address_space_mb=megabytes("VmSize"),
        address_space_peak_mb=megabytes("VmPeak"),
        address_space_limit_mb=max(0.0, round(address_space_limit / BYTES_PER_MB, 1)),
        threads=status.get("Threads", 0),
        descriptors=_count_descriptors(),
        descriptor_limit=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
    )


def record() -> None:
    """Record what this process uses now in the event log, unless there is no memory left to do so."""
    try:
        used = read()
        event_log.record(
            "resources",
            resident_mb=used.resident_mb,
            resident_peak_mb=used.resident_peak_mb,
            address_space_mb=used.address_space_mb,
            address_space_peak_mb=used.address_space_peak_mb,
            address_space_limit_mb=used.address_space_limit_mb,
            threads=used.threads,
            descriptors=used.descriptors,
            descriptor_limit=used.descriptor_limit,
        )
    except MemoryError:
        return


def _read_status() -> dict[str, int]:
    """Return the numbers of the status file by name; sizes are in kB."""
    try:
        lines = _STATUS_FILE.read_text().splitlines()
    except OSError:
        return {}
    numbers: dict[str, int] = {}
    for line in lines:
        name, _, value = line.partition(":")
        words = value.split()
        if words and words[0].isdecimal():
            numbers[name] = int(words[0])
    return numbers


def _count_descriptors() -> int:
    try:
        return len(os.listdir(_DESCRIPTORS_FOLDER))
    except OSError:
        return 0
