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


def seal(content: bytes) -> bytes:
    return HEAD.pack(len(content), hashlib.sha256(content).digest()[:16]) + content


def unseal(sealed: bytes) -> bytes:
    """What lies behind the content is left over from the file's earlier use.

    >>> unseal(seal(b"x") + b"older")
    b'x'
    """
    if len(sealed) >= HEAD.size:
        length, checksum = HEAD.unpack_from(sealed)
        content = sealed[HEAD.size : HEAD.size + length]
        if len(content) == length and hashlib.sha256(content).digest()[:16] == checksum:
            return content
    raise errors.TornFile("the checksum does not match")


class Disk(typing.Protocol):
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

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.spares: list[str] = []
        self.spare_number = 0
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
                path = os.path.join(self.folder, name + ".aside")
                aside.append(path)
                if self.spares:
                    os.rename(self.spares.pop(), path)
                # Never truncated: freeing its blocks is what must not happen.
                with open(os.open(path, os.O_WRONLY | os.O_CREAT, 0o644), "wb") as handle:
                    handle.write(seal(content))
                    handle.flush()
                    os.fsync(handle.fileno())
            for path in aside:
                os.rename(path, path.removesuffix(".aside"))
            self.sync_folder()
        except OSError as error:
            for path in aside:
                if os.path.exists(path):
                    self.make_spare(path)
            if error.errno in (errno.ENOSPC, errno.EDQUOT):
                raise errors.DiskFull(f"no space left in {self.folder}") from None
            raise

    def sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove_now(self, names: list[str]) -> None:
        for name in names:
            path = os.path.join(self.folder, name)
            if os.path.exists(path):
                self.make_spare(path)

    def make_spare(self, path: str) -> None:
        if len(self.spares) >= SPARES_LIMIT:
            os.unlink(path)
            return
        self.spare_number += 1
        spare = os.path.join(self.folder, f"{self.spare_number:09d}.spare")
        os.rename(path, spare)
        self.spares.append(spare)

    def load_now(self) -> tuple[dict[str, bytes], list[str]]:
        self.folder.mkdir(parents=True, exist_ok=True)
        sound: dict[str, bytes] = {}
        torn: list[str] = []
        for path in sorted(self.folder.iterdir()):
            # What was only written aside was never promised to anybody.
            if path.suffix in (".aside", ".spare"):
                path.rename(path.with_name(f"{path.name}.old"))
            elif path.suffix not in (".torn", ".old") and path.is_file():
                try:
                    sound[path.name] = unseal(path.read_bytes())
                except errors.TornFile:
                    path.rename(path.with_name(path.name + ".torn"))
                    torn.append(path.name)
        for path in sorted(self.folder.glob("*.old")):
            self.make_spare(str(path))
        return sound, torn
