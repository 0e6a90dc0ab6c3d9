"""The record that a voter keeps on its disk for each table."""

import typing

import ormsgpack

from irisstand.state import items, versions


class Record(typing.NamedTuple):
    """What a voter has promised and accepted, and which files hold its table.

    Attributes:
        promised: The highest ballot that the voter promised to take part in.
        applied: The applied version of the items on the disk.
        root_digest: The root digest of these items, which shows whether all are there.
        accepted: The ballot of the pending batch, or `versions.NONE`.
        pending: A batch that the voter accepted and that may or may not be decided.
        obsolete_items: Item files that do not count any more, but may not be removed yet.
        segments: The segment files that count.
        removed: Removed keys of which older versions lie in segments, each with the highest version that
            does not count.
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
        """Decode the content of a record's file; records of the version before have no last two fields.

        Raises:
            ValueError: A field has a wrong length or value.
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
        """Return the content of the record's file."""
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


# The record of a voter that has promised nothing and knows nothing.
BLANK_RECORD = Record(versions.NONE, versions.NONE, b"", versions.NONE, None)
