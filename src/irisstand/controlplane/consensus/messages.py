"""Requests and replies of ballots and heartbeats between control plane nodes.

Each request is encoded as a tuple of its fields in order, and decodes its own reply. The values of the enums
are the plain strings that earlier releases sent. An unknown table is refused by the code that looks it up.
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
    # The voter has promised a higher ballot number, or, for a prepare request, the same one.
    HIGHER_BALLOT_PROMISED = "lost"
    # The base of the batch is not the applied version of the voter, or not below the version of the batch.
    BASE_MISMATCH = "moved"


# -- votes --------------------------------------------------------------------------------------------------
@dataclasses.dataclass(frozen=True)
class Promised:
    """A voter's promise to accept no batch under a lower ballot.

    Attributes:
        applied: The applied version of the voter's replica.
        accepted: The ballot under which the voter accepted the pending batch.
        pending: The batch that the voter has accepted and not yet applied, if there is one.
    """

    applied: versions.Version
    accepted: versions.Version
    pending: items.Batch | None

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        pending = None if self.pending is None else self.pending.to_wire()
        return (VoteStatus.PROMISED.value, self.applied.to_wire(), self.accepted.to_wire(), pending)


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A voter's acceptance: the batch is saved on its disk."""

    def to_wire(self) -> request.WireBody:
        """Return the reply as a plain tuple."""
        return (VoteStatus.ACCEPTED.value,)


@dataclasses.dataclass(frozen=True)
class Rejected:
    """A refusal to vote.

    Attributes:
        status: The reason of the refusal.
        version: The ballot number that the voter promised, or the applied version or base that did not fit.
    """

    status: typing.Literal[VoteStatus.HIGHER_BALLOT_PROMISED, VoteStatus.BASE_MISMATCH]
    version: versions.Version

    @classmethod
    def from_wire(cls, status: VoteStatus, fields: list[typing.Any]) -> "Rejected":
        """Decode a rejection from its status and the remaining fields of the reply."""
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
    """Asks the voter with the disk `disk_id` to accept no batch under a ballot lower than `ballot`."""

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
        """Decode the reply to a prepare request: a promise or a rejection."""
        status, *fields = body
        if status != VoteStatus.PROMISED:
            return Rejected.from_wire(VoteStatus(status), fields)
        applied, accepted, pending = fields
        batch = None if pending is None else items.Batch.from_wire(pending)
        return Promised(versions.Version.from_wire(applied), versions.Version.from_wire(accepted), batch)


@dataclasses.dataclass(frozen=True)
class AcceptRequest(request.Request[AcceptReply]):
    """Asks the voter with the disk `disk_id` to accept a batch under a ballot."""

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
        """Decode the reply to an accept request: an acceptance or a rejection."""
        status, *fields = body
        if status != VoteStatus.ACCEPTED:
            return Rejected.from_wire(VoteStatus(status), fields)
        if fields:
            raise ValueError("the acceptance has fields besides its status")
        return Accepted()


# -- decided batches ----------------------------------------------------------------------------------------
@dataclasses.dataclass(frozen=True)
class CommitRequest(request.Request[None]):
    """Tells a node that a batch is decided; the reply has no content."""

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
        """Ignore the body of the reply, which has no content."""


# -- heartbeats ---------------------------------------------------------------------------------------------
class VoterState(typing.NamedTuple):
    """The state of a table at a voter.

    Attributes:
        disk_id: Identifies the disk of the voter.
        applied: The newest version that the voter has applied, in memory or on its disk.
        pending_base: The base of the batch that the voter has accepted and not yet applied, if there is one.
        promised: The highest ballot number that the voter has promised.
    """

    disk_id: str
    applied: versions.Version
    pending_base: versions.Version | None
    promised: versions.Version

    @classmethod
    def from_wire(cls, body: typing.Any) -> "VoterState":
        """Decode the state; ValueError or TypeError if it is malformed."""
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
    """Asks a voter for its state of a table; the voter replies from memory, without reading its disk."""

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
        """Decode the state of the table at the voter."""
        return VoterState.from_wire(body)
