"""The operators' HTTP interface: the routes for reads and the routes for orders."""

from irisstand import node_context, web
from irisstand.controlplane.api import operator_orders, operator_reads
from irisstand.controlplane.consensus import heartbeat, submitter, voter_administration


class Operators:
    """Adds the operators' HTTP routes for reads and orders to a server."""

    def __init__(
        self,
        context: node_context.NodeContext,
        order_submitter: submitter.Submitter,
        read_index: heartbeat.ReadIndex,
        server: web.HttpServer,
    ) -> None:
        voter_admin = voter_administration.VoterAdministration(context, order_submitter)
        self.reads = operator_reads.OperatorReads(context, voter_admin, read_index, server)
        self.orders = operator_orders.OperatorOrders(context, order_submitter, voter_admin, server)
