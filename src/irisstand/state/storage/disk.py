"""A disk that keeps small files: with a checksum, written under a temporary name, synced, then renamed."""

import asyncio
import collections.abc
import concurrent.futures
import errno
import hashlib
import pathlib
import struct
import typing

from irisstand import errors
from irisstand.state.storage import folder

# Length and checksum stand before the content, in network byte order.
HEADER = struct.Struct("!I16s")
CHECKSUM_BYTES = 16
SPARES_LIMIT = 512
# Larger files are no spares: a small file written over them would take up their room.
SPARE_LIMIT_BYTES = 64 * 1024
# A file that is being written.
TEMPORARY_SUFFIX = ".aside"
# A file that is kept to be written over.
SPARE_SUFFIX = ".spare"
# A spare or temporary file of an earlier run.
LEFTOVER_SUFFIX = ".old"
# A file whose checksum did not match.
QUARANTINE_SUFFIX = ".torn"


def checksum(content: bytes) -> bytes:
    """Return the checksum of a content."""
    return hashlib.sha256(content).digest()[:CHECKSUM_BYTES]


def add_checksum(content: bytes) -> bytes:
    """Return the bytes of the file that holds a content."""
    return HEADER.pack(len(content), checksum(content)) + content


def strip_checksum(stored: bytes) -> bytes:
    """Return the content of a file; what lies behind it is left over from the file's earlier use.

    >>> strip_checksum(add_checksum(b"x") + b"older")
    b'x'

    Raises:
        TornFileError: The checksum does not match.
    """
    if len(stored) >= HEADER.size:
        length, expected = HEADER.unpack_from(stored)
        content = stored[HEADER.size : HEADER.size + length]
        if len(content) == length and checksum(content) == expected:
            return content
    raise errors.TornFileError("the checksum does not match")


class LoadedFiles(typing.NamedTuple):
    """The contents of intact files by name, and the names of corrupt files that were quarantined."""

    intact: dict[str, bytes]
    corrupt: list[str]


class Disk(typing.Protocol):
    """Where a voter keeps its files.

    Attributes:
        quarantined: Names of files that an earlier load found corrupt.
    """

    quarantined: list[str]

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Write files, given as pairs of name and content; all are durable when it returns.

        Raises:
            DiskFullError: There is no space left; none of the files may be counted on.
        """
        ...

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        """Remove files; those that do not exist are skipped."""
        ...

    async def load(self) -> LoadedFiles:
        """Return all files, after quarantining corrupt ones."""
        ...


class FolderDisk:
    """The real disk. One writer thread does all waiting, so the event loop never does.

    Obsolete files are not deleted but kept as spares and written anew: on file systems that discard freed
    blocks, each deletion makes a later sync wait a hundred times as long as it does by itself.

    Args:
        path: The path of the data folder.
        file_operations: What carries out the file operations; the real folder by default.
    """

    def __init__(self, path: pathlib.Path, file_operations: folder.Folder | None = None) -> None:
        self.path = path
        self.folder = file_operations or folder.RealFolder(path)
        self.spares: list[str] = []
        self.spare_number = 0
        self.quarantined: list[str] = []
        self.executor = concurrent.futures.ThreadPoolExecutor(1, "disk")

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Write files; all are durable when it returns.

        Raises:
            DiskFullError: There is no space left; none of the files may be counted on.
        """
        await asyncio.get_running_loop().run_in_executor(self.executor, self.write_blocking, list(files))

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        """Remove files; those that do not exist are skipped."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self.remove_blocking, list(names))

    async def load(self) -> LoadedFiles:
        """Return all files, after quarantining corrupt ones."""
        return await asyncio.get_running_loop().run_in_executor(self.executor, self.load_blocking)

    def write_blocking(self, files: list[tuple[str, bytes]]) -> None:
        """Write all files under temporary names, rename them, and sync the folder."""
        temporary: list[str] = []
        try:
            for name, content in files:
                temporary.append(name + TEMPORARY_SUFFIX)
                if self.spares:
                    self.folder.rename(self.spares.pop(), temporary[-1])
                self.folder.write(temporary[-1], add_checksum(content))
            for name in temporary:
                self.folder.rename(name, name.removesuffix(TEMPORARY_SUFFIX))
            self.folder.sync()
        except OSError as error:
            self.remove_blocking(temporary)
            if error.errno in (errno.ENOSPC, errno.EDQUOT):
                raise errors.DiskFullError(f"no space left in {self.path}") from None
            raise

    def remove_blocking(self, names: list[str]) -> None:
        """Make spares of files, where they exist."""
        for name in names:
            if self.folder.exists(name):
                self.make_spare(name)

    def make_spare(self, name: str) -> None:
        """Keep a file to be written over, or delete it if it does not suit."""
        is_large = self.folder.size(name) > SPARE_LIMIT_BYTES
        # After a loss of power a file may be there under two names, of which the other counts.
        if is_large or self.folder.links(name) > 1 or len(self.spares) >= SPARES_LIMIT:
            self.folder.unlink(name)
            return
        self.spare_number += 1
        spare = f"{self.spare_number:09d}{SPARE_SUFFIX}"
        self.folder.rename(name, spare)
        self.spares.append(spare)

    def load_blocking(self) -> LoadedFiles:
        """Read all files, quarantine corrupt ones, and make spares of what earlier runs left over."""
        self.folder.make()
        loaded = LoadedFiles({}, [])
        self.quarantined = []
        for name in self.folder.names():
            # What was only written under a temporary name was never promised to anybody.
            if name.endswith((TEMPORARY_SUFFIX, SPARE_SUFFIX)):
                self.folder.rename(name, f"{name}{LEFTOVER_SUFFIX}")
            elif name.endswith(QUARANTINE_SUFFIX):
                self.quarantined.append(name.removesuffix(QUARANTINE_SUFFIX))
            elif not name.endswith(LEFTOVER_SUFFIX):
                self.load_file(name, loaded)
        for name in self.folder.names():
            if name.endswith(LEFTOVER_SUFFIX):
                self.make_spare(name)
        return loaded

    def load_file(self, name: str, loaded: LoadedFiles) -> None:
        """Read one file into `loaded`, or quarantine it."""
        try:
            loaded.intact[name] = strip_checksum(self.folder.read(name))
        except errors.TornFileError:
            self.folder.rename(name, name + QUARANTINE_SUFFIX)
            loaded.corrupt.append(name)
