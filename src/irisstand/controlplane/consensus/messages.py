"""Requests and replies of ballots and heartbeats between control plane nodes.

Each request is encoded as a tuple of its fields in order and decodes its own reply. The values of the enums
are what earlier versions sent as plain strings. An unknown table is refused where the table is looked up.
"""

import dataclasses
import enum
import typing

from irisstand.controlplane.consensus import request
from irisstand.state import items, versions


class VoteStatus(enum.StrEnum):
    """The first field of a reply to a prepare or accept request."""

    PROMISED = "promised"
    ACCEPTED = "accepted"
    # A higher ballot number was promised.
    HIGHER_BALLOT_PROMISED = "lost"
    # The batch stands on another base than the voter's applied version.
    BASE_MISMATCH = "moved"


# -- votes --------------------------------------------------------------------------------------------------
@dataclasses.dataclass(frozen=True)
class Promised:
    """The voter takes no lower ballot any more; `pending` is what it accepted under ballot `accepted`."""

    applied: versions.Version
    accepted: versions.Version
    pending: items.Batch | None

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        pending = None if self.pending is None else self.pending.to_wire()
        return (VoteStatus.PROMISED.value, self.applied.to_wire(), self.accepted.to_wire(), pending)


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The batch is on the voter's disk."""

    def to_wire(self) -> request.WireBody:
        """Return the reply as a plain tuple."""
        return (VoteStatus.ACCEPTED.value,)


@dataclasses.dataclass(frozen=True)
class Rejected:
    """No vote; `version` is the ballot number or applied version that stands in the way."""

    status: typing.Literal[VoteStatus.HIGHER_BALLOT_PROMISED, VoteStatus.BASE_MISMATCH]
    version: versions.Version

    @classmethod
    def from_wire(cls, status: VoteStatus, fields: list[typing.Any]) -> "Rejected":
        """Decode the reply, its status apart from the other fields."""
        if status not in (VoteStatus.HIGHER_BALLOT_PROMISED, VoteStatus.BASE_MISMATCH):
            raise ValueError(f"{status} is no reply to this request")
        (version,) = fields
        return cls(status, versions.Version.from_wire(version))

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        return (self.status.value, self.version.to_wire())


PrepareReply: typing.TypeAlias = Promised | Rejected
AcceptReply: typing.TypeAlias = Accepted | Rejected


@dataclasses.dataclass(frozen=True)
class PrepareRequest(request.Request[PrepareReply]):
    """Ask the voter with this disk to take no ballot below `ballot` any more."""

    kind = request.MessageKind.PREPARE
    table: str
    ballot: versions.Version
    disk_id: str

    @classmethod
    def from_wire(cls, body: typing.Any) -> "PrepareRequest":
        """Decode the request; ValueError or TypeError if it is malformed."""
        table, ballot, disk_id = body
        return cls(table, versions.Version.from_wire(ballot), disk_id)

    def to_wire(self) -> request.WireBody:
        """Return the body as plain tuples."""
        return (self.table, self.ballot.to_wire(), self.disk_id)

    def decode_reply(self, body: typing.Any) -> PrepareReply:
        """Decode a promise or a rejection."""
        status, *fields = body
        if status != VoteStatus.PROMISED:
            return Rejected.from_wire(VoteStatus(status), fields)
        applied, accepted, pending = fields
        batch = None if pending is None else items.Batch.from_wire(pending)
        return Promised(versions.Version.from_wire(applied), versions.Version.from_wire(accepted), batch)


@dataclasses.dataclass(frozen=True)
class AcceptRequest(request.Request[AcceptReply]):
    """Ask the voter with this disk to accept a batch under a ballot."""

    kind = request.MessageKind.ACCEPT
    table: str
    ballot: versions.Version
    batch: items.Batch
    disk_id: str

    @classmethod
    def from_wire(cls, body: typing.Any) -> "AcceptRequest":
        """Decode the request; ValueError or TypeError if it is malformed."""
        table, ballot, batch, disk_id = body
        return cls(table, versions.Version.from_wire(ballot), items.Batch.from_wire(batch), disk_id)

    def to_wire(self) -> request.WireBody:
        """Return the body as plain tuples."""
        return (self.table, self.ballot.to_wire(), self.batch.to_wire(), self.disk_id)

    def decode_reply(self, body: typing.Any) -> AcceptReply:
        """Decode an acceptance or a rejection."""
        status, *fields = body
        if status != VoteStatus.ACCEPTED:
            return Rejected.from_wire(VoteStatus(status), fields)
        if fields:
            raise ValueError("too many values in an acceptance")
        return Accepted()


# -- decided batches ----------------------------------------------------------------------------------------
@dataclasses.dataclass(frozen=True)
class CommitRequest(request.Request[None]):
    """Tell a node that a batch is decided. Its reply has no content."""

    kind = request.MessageKind.COMMIT
    table: str
    batch: items.Batch

    @classmethod
    def from_wire(cls, body: typing.Any) -> "CommitRequest":
        """Decode the request; ValueError or TypeError if it is malformed."""
        table, batch = body
        return cls(table, items.Batch.from_wire(batch))

    def to_wire(self) -> request.WireBody:
        """Return the body as plain tuples."""
        return (self.table, self.batch.to_wire())

    def decode_reply(self, body: typing.Any) -> None:
        """Ignore the reply, which only ends the request."""


# -- heartbeats ---------------------------------------------------------------------------------------------
class VoterState(typing.NamedTuple):
    """What a voter knows of a table: the newest applied version, and the base of its pending batch."""

    disk_id: str
    applied: versions.Version
    pending_base: versions.Version | None
    promised: versions.Version

    @classmethod
    def from_wire(cls, body: typing.Any) -> "VoterState":
        """Decode the reply; ValueError or TypeError if it is malformed."""
        disk_id, applied, pending, promised = body
        pending_base = None if pending is None else versions.Version.from_wire(pending)
        decode = versions.Version.from_wire
        return cls(disk_id, decode(applied), pending_base, decode(promised))

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        pending = None if self.pending_base is None else self.pending_base.to_wire()
        return (self.disk_id, self.applied.to_wire(), pending, self.promised.to_wire())


@dataclasses.dataclass(frozen=True)
class VoterStateRequest(request.Request[VoterState]):
    """Ask a voter for its state of a table, which it answers from memory."""

    kind = request.MessageKind.VOTER_STATE
    table: str

    @classmethod
    def from_wire(cls, body: typing.Any) -> "VoterStateRequest":
        """Decode the request; ValueError or TypeError if it is malformed."""
        (table,) = body
        return cls(table)

    def to_wire(self) -> request.WireBody:
        """Return the body as a plain tuple."""
        return (self.table,)

    def decode_reply(self, body: typing.Any) -> VoterState:
        """Decode the voter's state."""
        return VoterState.from_wire(body)
