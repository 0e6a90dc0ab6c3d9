"""Messages in which nodes report their state: the applied versions of their tables, and a voter's state."""

import typing

from irisstand.state import versions


class TableStatus(typing.NamedTuple):
    """The applied version of one table, and whether the node currently answers reads from it."""

    table: str
    applied: versions.Version
    is_current: bool

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "TableStatus":
        """Decode a `TableStatus`.

        Raises:
            ValueError: A field has a wrong length or value.
            TypeError: A field has a wrong type.
        """
        table, applied, is_current = fields
        if not isinstance(table, str) or type(is_current) is not bool:
            raise TypeError("a table status has a name that is not a string, or a flag that is not a bool")
        return cls(table, versions.Version.from_wire(applied), is_current)

    def to_wire(self) -> tuple[str, versions.WireVersion, bool]:
        """Return the `TableStatus` as a plain tuple."""
        return (self.table, self.applied.to_wire(), self.is_current)


class VoterState(typing.NamedTuple):
    """The state of a voter for one table; `pending_base` is the base of a batch that it accepted, or None."""

    disk_id: str
    applied: versions.Version
    pending_base: versions.Version | None
    promised: versions.Version

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "VoterState":
        """Decode a `VoterState`.

        Raises:
            ValueError: A field has a wrong length or value.
            TypeError: A field has a wrong type.
        """
        disk_id, applied, pending_base, promised = fields
        if not isinstance(disk_id, str):
            raise TypeError("the disk id of a voter is not a string")
        return cls(
            disk_id,
            versions.Version.from_wire(applied),
            None if pending_base is None else versions.Version.from_wire(pending_base),
            versions.Version.from_wire(promised),
        )

    def to_wire(self) -> tuple[str, versions.WireVersion, versions.WireVersion | None, versions.WireVersion]:
        """Return the `VoterState` as a plain tuple."""
        pending_base = None if self.pending_base is None else self.pending_base.to_wire()
        return (self.disk_id, self.applied.to_wire(), pending_base, self.promised.to_wire())
