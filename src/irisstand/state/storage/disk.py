"""Files under the data folder: sealed by a checksum, written aside, synced, renamed."""

import asyncio
import collections.abc
import concurrent.futures
import errno
import hashlib
import os
import pathlib
import struct
import typing

from irisstand import errors

HEAD = struct.Struct("!I16s")
SPARES_LIMIT = 512
# Larger files are no spares: a small file written over them would take up their room.
SPARE_BYTES = 64 * 1024


def add_checksum(content: bytes) -> bytes:
    return HEAD.pack(len(content), hashlib.sha256(content).digest()[:16]) + content


def strip_checksum(sealed: bytes) -> bytes:
    """What lies behind the content is left over from the file's earlier use.

    >>> strip_checksum(add_checksum(b"x") + b"older")
    b'x'
    """
    if len(sealed) >= HEAD.size:
        length, checksum = HEAD.unpack_from(sealed)
        content = sealed[HEAD.size : HEAD.size + length]
        if len(content) == length and hashlib.sha256(content).digest()[:16] == checksum:
            return content
    raise errors.TornFileError("the checksum does not match")


class Folder(typing.Protocol):
    """One flat folder. A name is durable only once `sync` has returned, a content once `write` has."""

    def make(self) -> None: ...

    def names(self) -> list[str]: ...

    def exists(self, name: str) -> bool: ...

    def read(self, name: str) -> bytes: ...

    def size(self, name: str) -> int: ...

    def links(self, name: str) -> int:
        """Under how many names the file is there; a loss of power may leave a renamed one under both."""

    def write(self, name: str, content: bytes) -> None:
        """Over what the file held, without truncating it, and synced."""

    def rename(self, name: str, other: str) -> None: ...

    def unlink(self, name: str) -> None: ...

    def sync(self) -> None: ...


class RealFolder:
    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def make(self) -> None:
        if self.path.is_dir():
            return
        self.path.mkdir(parents=True, exist_ok=True)
        # The folder's own name lies in its parent.
        RealFolder(self.path.parent).sync()

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def exists(self, name: str) -> bool:
        return os.path.exists(os.path.join(self.path, name))

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def size(self, name: str) -> int:
        return os.stat(os.path.join(self.path, name)).st_size

    def links(self, name: str) -> int:
        return os.stat(os.path.join(self.path, name)).st_nlink

    def write(self, name: str, content: bytes) -> None:
        # Never truncated: freeing its blocks is what must not happen.
        descriptor = os.open(os.path.join(self.path, name), os.O_WRONLY | os.O_CREAT, 0o644)
        with open(descriptor, "wb") as handle:
            handle.write(content)
            handle.flush()
            os.fsync(handle.fileno())

    def rename(self, name: str, other: str) -> None:
        os.rename(os.path.join(self.path, name), os.path.join(self.path, other))

    def unlink(self, name: str) -> None:
        os.unlink(os.path.join(self.path, name))

    def sync(self) -> None:
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class Disk(typing.Protocol):
    # Names of files that an earlier load has found torn.
    quarantined: list[str]

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """All durable when it returns; raises DiskFull with none of them counted on."""

    async def remove(self, names: collections.abc.Sequence[str]) -> None: ...

    async def load(self) -> tuple[dict[str, bytes], list[str]]:
        """Sound files by name, and the names of those found torn and put aside."""


class FolderDisk:
    """The real one. A single writer thread does all waiting, so the event loop never does.

    Files that count no more are not deleted but written anew: on file systems that discard freed blocks, each
    deletion makes a later sync wait a hundred times as long as it does by itself.
    """

    def __init__(self, folder: pathlib.Path, files: Folder | None = None) -> None:
        self.folder = folder
        self.files = files or RealFolder(folder)
        self.spares: list[str] = []
        self.spare_number = 0
        self.quarantined: list[str] = []
        self.thread = concurrent.futures.ThreadPoolExecutor(1, "disk")

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        await asyncio.get_running_loop().run_in_executor(self.thread, self.write_now, list(files))

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        await asyncio.get_running_loop().run_in_executor(self.thread, self.remove_now, list(names))

    async def load(self) -> tuple[dict[str, bytes], list[str]]:
        return await asyncio.get_running_loop().run_in_executor(self.thread, self.load_now)

    def write_now(self, files: list[tuple[str, bytes]]) -> None:
        aside: list[str] = []
        try:
            for name, content in files:
                aside.append(name + ".aside")
                if self.spares:
                    self.files.rename(self.spares.pop(), aside[-1])
                self.files.write(aside[-1], add_checksum(content))
            for name in aside:
                self.files.rename(name, name.removesuffix(".aside"))
            self.files.sync()
        except OSError as error:
            self.remove_now(aside)
            if error.errno in (errno.ENOSPC, errno.EDQUOT):
                raise errors.DiskFullError(f"no space left in {self.folder}") from None
            raise

    def remove_now(self, names: list[str]) -> None:
        for name in names:
            if self.files.exists(name):
                self.make_spare(name)

    def make_spare(self, name: str) -> None:
        is_large = self.files.size(name) > SPARE_BYTES
        # After a loss of power a file may be there under two names, of which the other counts.
        if is_large or self.files.links(name) > 1 or len(self.spares) >= SPARES_LIMIT:
            self.files.unlink(name)
            return
        self.spare_number += 1
        spare = f"{self.spare_number:09d}.spare"
        self.files.rename(name, spare)
        self.spares.append(spare)

    def load_now(self) -> tuple[dict[str, bytes], list[str]]:
        self.files.make()
        sound: dict[str, bytes] = {}
        torn: list[str] = []
        self.quarantined = []
        for name in self.files.names():
            # What was only written aside was never promised to anybody.
            if name.endswith((".aside", ".spare")):
                self.files.rename(name, f"{name}.old")
            elif name.endswith(".torn"):
                self.quarantined.append(name.removesuffix(".torn"))
            elif not name.endswith(".old"):
                try:
                    sound[name] = strip_checksum(self.files.read(name))
                except errors.TornFileError:
                    self.files.rename(name, name + ".torn")
                    torn.append(name)
        for name in self.files.names():
            if name.endswith(".old"):
                self.make_spare(name)
        return sound, torn
