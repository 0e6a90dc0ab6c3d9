"""The operators' HTTP: what they read, and what they order."""

from irisstand import node_context, web
from irisstand.controlplane.api import operator_orders, operator_reads
from irisstand.controlplane.consensus import heartbeat, voter_administration
from irisstand.controlplane.consensus import submitter as submitting


class Operators:
    """Adds the operators' routes to a server."""

    def __init__(
        self,
        context: node_context.NodeContext,
        submitter: submitting.Submitter,
        read_index: heartbeat.ReadIndex,
        server: web.HttpServer,
    ) -> None:
        members = voter_administration.VoterAdministration(context, submitter)
        self.reads = operator_reads.OperatorReads(context, members, read_index, server)
        self.orders = operator_orders.OperatorOrders(context, submitter, members, server)
