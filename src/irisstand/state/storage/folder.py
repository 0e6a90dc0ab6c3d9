"""The file operations that durable storage needs, and the real folder behind them."""

import os
import pathlib
import typing


class Folder(typing.Protocol):
    """One flat folder. A name is durable only once `sync` has returned, a content once `write` has."""

    def make(self) -> None:
        """Create the folder if it does not exist."""
        ...

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def exists(self, name: str) -> bool:
        """Return whether a file is there."""
        ...

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        ...

    def links(self, name: str) -> int:
        """Return the number of names of a file; a loss of power may leave a renamed one under both."""
        ...

    def write(self, name: str, content: bytes) -> None:
        """Write over what the file held, without truncating it, and sync the content."""
        ...

    def rename(self, name: str, other: str) -> None:
        """Rename a file, replacing one that has the other name."""
        ...

    def unlink(self, name: str) -> None:
        """Delete a file."""
        ...

    def sync(self) -> None:
        """Make all names durable."""
        ...


class RealFolder:
    """A folder of the operating system; the methods do what `Folder` says."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def make(self) -> None:
        """Create the folder and make its name durable in its parent."""
        if self.path.is_dir():
            return
        self.path.mkdir(parents=True, exist_ok=True)
        RealFolder(self.path.parent).sync()

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def exists(self, name: str) -> bool:
        """Return whether a file is there."""
        return os.path.exists(os.path.join(self.path, name))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.path / name).read_bytes()

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return os.stat(os.path.join(self.path, name)).st_size

    def links(self, name: str) -> int:
        """Return the number of names of a file."""
        return os.stat(os.path.join(self.path, name)).st_nlink

    def write(self, name: str, content: bytes) -> None:
        """Write over what the file held, and sync the content."""
        # Never truncated: freeing its blocks is what must not happen.
        descriptor = os.open(os.path.join(self.path, name), os.O_WRONLY | os.O_CREAT, 0o644)
        with open(descriptor, "wb") as handle:
            handle.write(content)
            handle.flush()
            os.fsync(handle.fileno())

    def rename(self, name: str, other: str) -> None:
        """Rename a file, replacing one that has the other name."""
        os.rename(os.path.join(self.path, name), os.path.join(self.path, other))

    def unlink(self, name: str) -> None:
        """Delete a file."""
        os.unlink(os.path.join(self.path, name))

    def sync(self) -> None:
        """Make all names durable."""
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
