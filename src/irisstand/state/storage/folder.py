"""The file operations that durable storage needs, and their implementation on a real folder."""

import os
import pathlib
import typing


class Folder(typing.Protocol):
    """A folder without subfolders.

    A file name is durable once `sync` has returned, and a file's content once `write` has returned.
    """

    def make(self) -> None:
        """Create the folder if it does not exist."""
        ...

    def names(self) -> list[str]:
        """Return the names of all files in the folder, sorted."""
        ...

    def exists(self, name: str) -> bool:
        """Return whether the folder has a file with this name."""
        ...

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        ...

    def links(self, name: str) -> int:
        """Return the number of hard links of a file; after a power loss a renamed file may have two."""
        ...

    def write(self, name: str, content: bytes) -> None:
        """Overwrite a file's content without truncating the file first, and sync the content to disk."""
        ...

    def rename(self, name: str, other: str) -> None:
        """Rename a file to `other`, replacing a file that already has that name."""
        ...

    def unlink(self, name: str) -> None:
        """Delete a file."""
        ...

    def sync(self) -> None:
        """Make all names in the folder durable."""
        ...


class RealFolder:
    """A folder of the operating system, with the operations that `Folder` describes."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def make(self) -> None:
        """Create the folder, and make its name durable in the parent folder."""
        if self.path.is_dir():
            return
        self.path.mkdir(parents=True, exist_ok=True)
        RealFolder(self.path.parent).sync()

    def names(self) -> list[str]:
        """Return the names of all files in the folder, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def exists(self, name: str) -> bool:
        """Return whether the folder has a file with this name."""
        return os.path.exists(os.path.join(self.path, name))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.path / name).read_bytes()

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return os.stat(os.path.join(self.path, name)).st_size

    def links(self, name: str) -> int:
        """Return the number of hard links of a file."""
        return os.stat(os.path.join(self.path, name)).st_nlink

    def write(self, name: str, content: bytes) -> None:
        """Overwrite a file's content without truncating the file first, and sync the content to disk."""
        # Not truncated: on file systems that discard freed blocks, freeing them slows down later syncs.
        descriptor = os.open(os.path.join(self.path, name), os.O_WRONLY | os.O_CREAT, 0o644)
        with open(descriptor, "wb") as handle:
            handle.write(content)
            handle.flush()
            os.fsync(handle.fileno())

    def rename(self, name: str, other: str) -> None:
        """Rename a file to `other`, replacing a file that already has that name."""
        os.rename(os.path.join(self.path, name), os.path.join(self.path, other))

    def unlink(self, name: str) -> None:
        """Delete a file."""
        os.unlink(os.path.join(self.path, name))

    def sync(self) -> None:
        """Make all names in the folder durable."""
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
