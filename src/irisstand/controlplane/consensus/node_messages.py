"""Requests and replies about control plane nodes: their state, bootstrap, reachability and durability.

They are encoded in the same way as the messages of ballots in `messages`.
"""

import dataclasses
import typing

from irisstand.controlplane.consensus import request
from irisstand.state import items, quorum, versions


# -- bootstrap ----------------------------------------------------------------------------------------------
class NodeState(typing.NamedTuple):
    """The state of a control plane node.

    Attributes:
        voter: The node as a voter.
        is_empty: Whether the node holds no table yet.
        is_leaving: Whether the node is shutting down.
    """

    voter: quorum.Voter
    is_empty: bool
    is_leaving: bool = False

    @classmethod
    def from_wire(cls, body: typing.Any) -> "NodeState":
        """Decode the state; earlier releases do not send `is_leaving`, and later ones may send more fields.

        Raises:
            ValueError: A field has a wrong type, or there are too few fields.
            TypeError: The voter has a wrong number of fields.
        """
        voter, is_empty, *more = body
        is_leaving = bool(more) and more[0]
        if type(is_empty) is not bool or type(is_leaving) is not bool:
            raise ValueError("is_empty or is_leaving of a node's state is not a boolean")
        return cls(quorum.Voter.from_wire(voter), is_empty, is_leaving)

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        return (tuple(self.voter), self.is_empty, self.is_leaving)


@dataclasses.dataclass(frozen=True)
class NodeStateRequest(request.Request[NodeState]):
    """Asks a control plane node for its identity as a voter, and whether it is empty or shutting down."""

    kind = request.MessageKind.NODE_STATE

    def to_wire(self) -> request.WireBody:
        """Return the empty body."""
        return ()

    def decode_reply(self, body: typing.Any) -> NodeState:
        """Decode the state of the node."""
        return NodeState.from_wire(body)


class FirstBatch(typing.NamedTuple):
    """The first batch of a table, which sets the voters of the table."""

    table: str
    batch: items.Batch


@dataclasses.dataclass(frozen=True)
class BootstrapRequest(request.Request[None]):
    """Asks an empty node to apply the first batch of each table."""

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
        """Ignore the reply: a node that did not apply the batches refuses to vote later."""


class BootstrapReply(typing.NamedTuple):
    """The applied versions of a node after a bootstrap request, in the order of the request's tables."""

    applied: tuple[versions.Version, ...]

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        return tuple((version.to_wire(),) for version in self.applied)


# -- reachability and durability ----------------------------------------------------------------------------
class ReplyAge(typing.NamedTuple):
    """The seconds since the reporting node last received a reply from the voter with the disk `disk_id`."""

    disk_id: str
    seconds_since_reply: float

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ReplyAge":
        """Decode a reply age; ValueError or TypeError if it is malformed."""
        disk_id, seconds_since_reply = fields
        if not isinstance(seconds_since_reply, int | float):
            raise TypeError("the seconds since the last reply are not a number")
        return cls(disk_id, seconds_since_reply)


class ReachabilityReport(typing.NamedTuple):
    """How long ago each other voter last replied to the reporting voter, whose disk is `disk_id`."""

    disk_id: str
    reply_ages: tuple[ReplyAge, ...]

    @classmethod
    def from_wire(cls, body: typing.Any) -> "ReachabilityReport":
        """Decode the report; ValueError or TypeError if it is malformed."""
        disk_id, reply_ages = body
        return cls(disk_id, tuple(ReplyAge.from_wire(fields) for fields in reply_ages))

    def to_wire(self) -> request.WireBody:
        """Return the reply as plain tuples."""
        return (self.disk_id, tuple(tuple(entry) for entry in self.reply_ages))


def count_unreachable_reports(reports: list[ReachabilityReport], disk_id: str, seconds: float) -> int:
    """Return how many reporting voters have had no reply from a disk for at least `seconds`.

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
    """Asks a voter how long ago each other voter last replied to it."""

    kind = request.MessageKind.REACHABILITY

    def to_wire(self) -> request.WireBody:
        """Return the empty body."""
        return ()

    def decode_reply(self, body: typing.Any) -> ReachabilityReport:
        """Decode the reachability report of the voter."""
        return ReachabilityReport.from_wire(body)


class KnownVersion(typing.NamedTuple):
    """The version of a table that the sender of a durability check has applied."""

    table: str
    applied: versions.Version


@dataclasses.dataclass(frozen=True)
class DurabilityCheck(request.Request[quorum.Voter]):
    """Asks a prospective voter to save all tables to its disk; it replies with itself as a voter.

    Attributes:
        known_versions: The sender's applied versions; the saved replicas must not be older than these.
    """

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
        """Decode the node that replied, as a voter."""
        return quorum.Voter.from_wire(body)
