"""The file operations that a disk is made of, on a real folder; the simulator hands in one of its own."""

import os
import pathlib
import typing


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
