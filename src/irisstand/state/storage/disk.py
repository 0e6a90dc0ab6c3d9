"""Storage of small files with checksums: written under temporary names, synced, then renamed."""

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

# Each file begins with the length and the checksum of its content, in network byte order.
HEADER = struct.Struct("!I16s")
CHECKSUM_BYTES = 16
# How many spare files are kept. A spare is an obsolete file that is overwritten when a new one is needed.
SPARES_LIMIT = 512
# Larger files are not kept as spares: a small file that overwrites one would occupy all of its space.
SPARE_LIMIT_BYTES = 64 * 1024
# Marks a file that is being written.
TEMPORARY_SUFFIX = ".aside"
# Marks an obsolete file that is kept to be overwritten.
SPARE_SUFFIX = ".spare"
# Marks a spare or temporary file that an earlier run of the process left behind.
LEFTOVER_SUFFIX = ".old"
# Marks a quarantined file, whose checksum did not match.
QUARANTINE_SUFFIX = ".torn"


def checksum(content: bytes) -> bytes:
    """Return the checksum of a file's content."""
    return hashlib.sha256(content).digest()[:CHECKSUM_BYTES]


def add_checksum(content: bytes) -> bytes:
    """Return a file's bytes for a content: a header with its length and checksum, then the content."""
    return HEADER.pack(len(content), checksum(content)) + content


def strip_checksum(stored: bytes) -> bytes:
    """Return the content from the bytes of a file; bytes after the content are left from an earlier use.

    >>> strip_checksum(add_checksum(b"x") + b"older")
    b'x'

    Raises:
        TornFileError: The file is too short or its checksum does not match.
    """
    if len(stored) >= HEADER.size:
        length, expected = HEADER.unpack_from(stored)
        content = stored[HEADER.size : HEADER.size + length]
        if len(content) == length and checksum(content) == expected:
            return content
    raise errors.TornFileError("the file is too short, or its checksum does not match its content")


class LoadedFiles(typing.NamedTuple):
    """The contents of all intact files by name, and the names of the corrupt files that were quarantined."""

    intact: dict[str, bytes]
    corrupt: list[str]


class Disk(typing.Protocol):
    """The disk on which a voter keeps its files.

    Attributes:
        quarantined: The names of files that an earlier load found corrupt.
    """

    quarantined: list[str]

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Write files, given as pairs of name and content; all of them are durable when this returns.

        Raises:
            DiskFullError: The disk has no space left. None of the files can be relied on.
        """
        ...

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        """Remove the files with these names; names that do not exist are skipped."""
        ...

    async def load(self) -> LoadedFiles:
        """Quarantine the corrupt files, then return the contents of all others."""
        ...


class FolderDisk:
    """A disk on a folder of the file system. A writer thread waits for the disk, not the event loop.

    Obsolete files are not deleted but kept as spares and overwritten: on file systems that discard freed
    blocks, each deletion makes a later sync take a hundred times as long as it would otherwise.

    Args:
        path: The path of the data folder.
        file_operations: The implementation of the file operations; by default that of the real folder.
    """

    def __init__(self, path: pathlib.Path, file_operations: folder.Folder | None = None) -> None:
        self.path = path
        self.folder = file_operations or folder.RealFolder(path)
        self.spares: list[str] = []
        self.spare_number = 0
        self.quarantined: list[str] = []
        self.executor = concurrent.futures.ThreadPoolExecutor(1, "disk")

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Write files, given as pairs of name and content; all of them are durable when this returns.

        Raises:
            DiskFullError: The disk has no space left. None of the files can be relied on.
        """
        await asyncio.get_running_loop().run_in_executor(self.executor, self.write_blocking, list(files))

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        """Remove the files with these names; names that do not exist are skipped."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self.remove_blocking, list(names))

    async def load(self) -> LoadedFiles:
        """Quarantine the corrupt files, then return the contents of all others."""
        return await asyncio.get_running_loop().run_in_executor(self.executor, self.load_blocking)

    def write_blocking(self, files: list[tuple[str, bytes]]) -> None:
        """Write all files under temporary names, rename them and sync the folder, in the writer thread."""
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
        """Turn the existing files among `names` into spares, in the writer thread."""
        for name in names:
            if self.folder.exists(name):
                self.make_spare(name)

    def make_spare(self, name: str) -> None:
        """Keep a file as a spare to be overwritten later, or delete it if it is not suitable."""
        is_large = self.folder.size(name) > SPARE_LIMIT_BYTES
        # After a power loss a file may have two names. The other name may be in use, so this one is deleted.
        if is_large or self.folder.links(name) > 1 or len(self.spares) >= SPARES_LIMIT:
            self.folder.unlink(name)
            return
        self.spare_number += 1
        spare = f"{self.spare_number:09d}{SPARE_SUFFIX}"
        self.folder.rename(name, spare)
        self.spares.append(spare)

    def load_blocking(self) -> LoadedFiles:
        """Read all files, quarantine corrupt ones, and make spares of files that earlier runs left behind."""
        self.folder.make()
        loaded = LoadedFiles({}, [])
        self.quarantined = []
        for name in self.folder.names():
            # A file that still has its temporary name was never acknowledged, so it is not read.
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
        """Read one file into `loaded`, or quarantine it if it is corrupt."""
        try:
            loaded.intact[name] = strip_checksum(self.folder.read(name))
        except errors.TornFileError:
            self.folder.rename(name, name + QUARANTINE_SUFFIX)
            loaded.corrupt.append(name)
