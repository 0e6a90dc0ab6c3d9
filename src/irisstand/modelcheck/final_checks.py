"""The end of a run: all nodes are up, no message is lost any more, and all that was confirmed must hold."""

from irisstand.modelcheck import cluster, invariants, scenarios

ATTEMPTS_LIMIT = 4
LAST_ORDER = scenarios.site_order("last", 9, "last")


async def check(model: cluster.ModelCluster) -> None:
    """Decide one more order, read at every node, and compare all replicas with what was confirmed.

    Raises:
        invariants.InvariantViolationError: An invariant is broken.
    """
    await decide_last_order(model)
    await read_everywhere(model)
    replicas = [node.table_replica for node in model.nodes.values()]
    model.checker.check_end(replicas, model.clients.change_ids())
    model.checker.raise_violation()


async def decide_last_order(model: cluster.ModelCluster) -> None:
    """Decide an order; a voter that missed a change of the voters learns of it by its heartbeats."""
    for _ in range(ATTEMPTS_LIMIT):
        step = scenarios.ClientStep(scenarios.StepKind.ORDER, model.last_voter(), LAST_ORDER)
        number = model.clients.add(step)
        model.clients.post_ready_steps()
        await deliver_all(model)
        if model.clients.results[number] is scenarios.StepResult.CONFIRMED:
            return
        await read_everywhere(model)
    raise invariants.InvariantViolationError(f"with everybody up, {model.last_voter()} decides no order")


async def read_everywhere(model: cluster.ModelCluster) -> None:
    """Run a heartbeat at every node."""
    for name in model.nodes:
        model.clients.add(scenarios.ClientStep(scenarios.StepKind.READ, name))
    model.clients.post_ready_steps()
    await deliver_all(model)


async def deliver_all(model: cluster.ModelCluster) -> None:
    """Deliver events in their order until nothing is left to do."""
    while not model.is_finished():
        if model.scheduler.pending:
            model.scheduler.deliver(0)
            await model.settle()
        else:
            await model.wait_for_events()
            model.checker.raise_violation()
