"""The operators' HTTP: what they read, and what they order."""

from irisstand import node_context, web
from irisstand.controlplane import majority_check, operator_orders, operator_reads, submitting, voters


class Operators:
    """Adds the operators' routes to a server."""

    def __init__(
        self,
        context: node_context.NodeContext,
        submitter: submitting.Submitter,
        read_index: majority_check.ReadIndex,
        server: web.Web,
    ) -> None:
        members = voters.Voters(context, submitter)
        self.reads = operator_reads.OperatorReads(context, members, read_index, server)
        self.orders = operator_orders.OperatorOrders(context, submitter, members, server)
