"""The record that a voter keeps on its disk for each table: promises, accepted batch and file names."""

import typing

import ormsgpack

from irisstand.state import items, versions


class Record(typing.NamedTuple):
    """What a voter has promised and accepted for one table, and which files hold the table's items.

    Attributes:
        promised: The highest ballot that the voter has promised to take part in.
        applied: The applied version of the items on the disk.
        root_digest: The root digest of the items on the disk, which shows whether all of them are there.
        accepted: The ballot at which the voter accepted the pending batch, or `versions.NONE`.
        pending: A batch that the voter has accepted and that may or may not have been decided; None if none.
        obsolete_items: The names of item files that are no longer in use but may still be on the disk.
        segments: The names of the segment files that are in use.
        removed: The removed keys of which segments still hold older versions, each with the highest version
            that is to be ignored.
    """

    promised: versions.Version
    applied: versions.Version
    root_digest: bytes
    accepted: versions.Version
    pending: items.Batch | None
    obsolete_items: tuple[str, ...] = ()
    segments: tuple[str, ...] = ()
    removed: tuple[tuple[str, versions.Version], ...] = ()

    @classmethod
    def decode(cls, content: bytes) -> "Record":
        """Decode the content of a record file; records of the previous version lack the last two fields.

        Raises:
            ValueError: A field has a wrong length or value, or the number of fields is wrong.
            TypeError: A field has a wrong type.
        """
        promised, applied, root_digest, accepted, pending, obsolete_items, *more = ormsgpack.unpackb(content)
        segments, removed = more or ((), ())
        return cls(
            versions.Version.from_wire(promised),
            versions.Version.from_wire(applied),
            root_digest,
            versions.Version.from_wire(accepted),
            None if pending is None else items.Batch.from_wire(pending),
            tuple(obsolete_items),
            tuple(segments),
            tuple((key, versions.Version.from_wire(version)) for key, version in removed),
        )

    def encode(self) -> bytes:
        """Return the content of the file that stores the record."""
        fields = (
            self.promised.to_wire(),
            self.applied.to_wire(),
            self.root_digest,
            self.accepted.to_wire(),
            None if self.pending is None else self.pending.to_wire(),
            self.obsolete_items,
            self.segments,
            tuple((key, version.to_wire()) for key, version in self.removed),
        )
        return ormsgpack.packb(fields)


# The record of a voter that has promised, accepted and applied nothing.
BLANK_RECORD = Record(versions.NONE, versions.NONE, b"", versions.NONE, None)
