"""What nodes say of their own state: the applied versions of their tables, and the state of a voter."""

import typing

from irisstand.state import versions


class TableStatus(typing.NamedTuple):
    """The applied version of one table, and whether the node answers reads from it at this moment."""

    table: str
    applied: versions.Version
    is_current: bool

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "TableStatus":
        """Decode the status.

        Raises:
            ValueError: A field has a wrong length or value.
            TypeError: A field has a wrong type.
        """
        table, applied, is_current = fields
        if not isinstance(table, str) or type(is_current) is not bool:
            raise TypeError("not the status of a table")
        return cls(table, versions.Version.from_wire(applied), is_current)

    def to_wire(self) -> tuple[str, versions.WireVersion, bool]:
        """Return the status as plain tuples."""
        return (self.table, self.applied.to_wire(), self.is_current)


class VoterState(typing.NamedTuple):
    """Where a voter stands with one table; `pending_base` is the base of a batch it accepted, if any."""

    disk_id: str
    applied: versions.Version
    pending_base: versions.Version | None
    promised: versions.Version

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "VoterState":
        """Decode the state.

        Raises:
            ValueError: A field has a wrong length or value.
            TypeError: A field has a wrong type.
        """
        disk_id, applied, pending_base, promised = fields
        if not isinstance(disk_id, str):
            raise TypeError("not a disk id")
        return cls(
            disk_id,
            versions.Version.from_wire(applied),
            None if pending_base is None else versions.Version.from_wire(pending_base),
            versions.Version.from_wire(promised),
        )

    def to_wire(self) -> tuple[str, versions.WireVersion, versions.WireVersion | None, versions.WireVersion]:
        """Return the state as plain tuples."""
        pending_base = None if self.pending_base is None else self.pending_base.to_wire()
        return (self.disk_id, self.applied.to_wire(), pending_base, self.promised.to_wire())
