"""Requests and replies about the nodes themselves: bootstrap, reachability, durability and readiness to vote.

Encoded like those of ballots: see `messages`.
"""

import dataclasses
import typing

from irisstand.controlplane.consensus import request
from irisstand.state import items, quorum, versions


# -- bootstrap ----------------------------------------------------------------------------------------------
class NodeState(typing.NamedTuple):
    """A control plane node as a voter, whether it holds no table yet, and whether it is shutting down."""

    voter: quorum.Voter
    is_empty: bool
    is_leaving: bool = False

    @classmethod
    def from_wire(cls, body: typing.Any) -> "NodeState":
        """Decode the reply; versions before this one send no `is_leaving`, later ones may send more.

        Raises:
            ValueError: A field has a wrong type, or there are too few.
            TypeError: The voter has another number of fields.
        """
        voter, is_empty, *more = body
        is_leaving = bool(more) and more[0]
        if type(is_empty) is not bool or type(is_leaving) is not bool:
            raise ValueError("not a node's state")
        return cls(quorum.Voter.from_wire(voter), is_empty, is_leaving)

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        return (tuple(self.voter), self.is_empty, self.is_leaving)


@dataclasses.dataclass(frozen=True)
class NodeStateRequest(request.Request[NodeState]):
    """Ask a control plane node who it is and whether it holds anything."""

    kind = request.MessageKind.NODE_STATE

    def to_wire(self) -> request.WireBody:
        """Return the empty body."""
        return ()

    def decode_reply(self, body: typing.Any) -> NodeState:
        """Decode the node's state."""
        return NodeState.from_wire(body)


class FirstBatch(typing.NamedTuple):
    """The first batch of a table, which names its voters."""

    table: str
    batch: items.Batch


@dataclasses.dataclass(frozen=True)
class BootstrapRequest(request.Request[None]):
    """Install the first batches on an empty node."""

    kind = request.MessageKind.BOOTSTRAP
    batches: tuple[FirstBatch, ...]

    @classmethod
    def from_wire(cls, body: typing.Any) -> "BootstrapRequest":
        """Decode the request; ValueError or TypeError if it is malformed."""
        return cls(tuple(FirstBatch(table, items.Batch.from_wire(batch)) for table, batch in body))

    def to_wire(self) -> request.WireBody:
        """Return the body as plain tuples."""
        return tuple((table, batch.to_wire()) for table, batch in self.batches)

    def decode_reply(self, body: typing.Any) -> None:
        """Ignore the reply: whether the node has the batches shows when it votes."""


class BootstrapReply(typing.NamedTuple):
    """The version that the node has applied, for each table of the request."""

    applied: tuple[versions.Version, ...]

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        return tuple((version.to_wire(),) for version in self.applied)


# -- choice of voters ---------------------------------------------------------------------------------------
class ReplyAge(typing.NamedTuple):
    """A voter's disk and the seconds since the reporting node had a reply from it."""

    disk_id: str
    seconds_since_reply: float

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ReplyAge":
        """Decode an entry; ValueError or TypeError if it is malformed."""
        disk_id, seconds_since_reply = fields
        if not isinstance(seconds_since_reply, int | float):
            raise TypeError("not a number of seconds")
        return cls(disk_id, seconds_since_reply)


class ReachabilityReport(typing.NamedTuple):
    """A voter's disk, and how long each other voter's disk has been silent towards it."""

    disk_id: str
    reply_ages: tuple[ReplyAge, ...]

    @classmethod
    def from_wire(cls, body: typing.Any) -> "ReachabilityReport":
        """Decode the reply; ValueError or TypeError if it is malformed."""
        disk_id, reply_ages = body
        return cls(disk_id, tuple(ReplyAge.from_wire(fields) for fields in reply_ages))

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        return (self.disk_id, tuple(tuple(entry) for entry in self.reply_ages))


def count_unreachable_reports(reports: list[ReachabilityReport], disk_id: str, seconds: float) -> int:
    """Return to how many reporting voters a disk has been silent for at least so long.

    >>> reports = [ReachabilityReport("a", (ReplyAge("c", 2.0), ReplyAge("b", 0.1)))]
    >>> count_unreachable_reports(reports, "c", 1.0), count_unreachable_reports(reports, "b", 1.0)
    (1, 0)
    """
    return sum(
        any(entry.disk_id == disk_id and entry.seconds_since_reply >= seconds for entry in report.reply_ages)
        for report in reports
    )


@dataclasses.dataclass(frozen=True)
class ReachabilityRequest(request.Request[ReachabilityReport]):
    """Ask a voter which other voters it reaches."""

    kind = request.MessageKind.REACHABILITY

    def to_wire(self) -> request.WireBody:
        """Return the empty body."""
        return ()

    def decode_reply(self, body: typing.Any) -> ReachabilityReport:
        """Decode the report."""
        return ReachabilityReport.from_wire(body)


class KnownVersion(typing.NamedTuple):
    """The version of a table that the sender has applied."""

    table: str
    applied: versions.Version


@dataclasses.dataclass(frozen=True)
class DurabilityCheck(request.Request[quorum.Voter]):
    """Ask a voter to be to have all tables on its disk, none older than given; it replies who it is."""

    kind = request.MessageKind.DURABILITY_CHECK
    known_versions: tuple[KnownVersion, ...] = ()

    @classmethod
    def from_wire(cls, body: typing.Any) -> "DurabilityCheck":
        """Decode the request; ValueError or TypeError if it is malformed."""
        return cls(tuple(KnownVersion(table, versions.Version.from_wire(applied)) for table, applied in body))

    def to_wire(self) -> request.WireBody:
        """Return the body as plain tuples."""
        return tuple((table, applied.to_wire()) for table, applied in self.known_versions)

    def decode_reply(self, body: typing.Any) -> quorum.Voter:
        """Decode the voter."""
        return quorum.Voter.from_wire(body)
