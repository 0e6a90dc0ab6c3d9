"""Checks at the end of a run, when all nodes are up and messages are no longer lost.

Every confirmed order must be in force on all replicas then.
"""

from irisstand.modelcheck import cluster, invariants, scenarios

ATTEMPTS_LIMIT = 4
LAST_ORDER = scenarios.site_order("last", 9, "last")


async def check(model: cluster.ModelCluster) -> None:
    """Decide one more order, run a heartbeat at every node, and check all replicas against the history.

    Raises:
        invariants.InvariantViolationError: An invariant is violated.
    """
    await decide_last_order(model)
    await read_everywhere(model)
    replicas = [node.table_replica for node in model.nodes.values()]
    model.checker.check_end(replicas, model.clients.change_ids())
    model.checker.raise_violation()


async def decide_last_order(model: cluster.ModelCluster) -> None:
    """Have a final order decided, with heartbeats at all nodes before each retry.

    The heartbeats bring a changed voter set to a voter that missed the change.

    Raises:
        invariants.InvariantViolationError: The order was not decided within `ATTEMPTS_LIMIT` attempts.
    """
    for _ in range(ATTEMPTS_LIMIT):
        step = scenarios.ClientStep(scenarios.StepKind.ORDER, model.last_voter(), LAST_ORDER)
        number = model.clients.add(step)
        model.clients.post_ready_steps()
        await deliver_all(model)
        if model.clients.results[number] is scenarios.StepResult.CONFIRMED:
            return
        await read_everywhere(model)
    raise invariants.InvariantViolationError(
        f"voter {model.last_voter()} cannot have an order decided although all nodes are up"
    )


async def read_everywhere(model: cluster.ModelCluster) -> None:
    """Run a heartbeat round at every node and wait for its result."""
    for name in model.nodes:
        model.clients.add(scenarios.ClientStep(scenarios.StepKind.READ, name))
    model.clients.post_ready_steps()
    await deliver_all(model)


async def deliver_all(model: cluster.ModelCluster) -> None:
    """Deliver all events in their order until the run is finished.

    Raises:
        invariants.InvariantViolationError: An invariant is violated, or the run does not end.
    """
    while not model.is_finished():
        if model.scheduler.pending:
            model.scheduler.deliver(0)
            await model.settle()
        else:
            await model.wait_for_events()
            model.checker.raise_violation()
