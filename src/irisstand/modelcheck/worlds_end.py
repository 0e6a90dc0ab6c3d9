"""The end of a run: everybody is up, nothing is lost any more, and all that was said must stand."""

from irisstand.controlplane.changes import orders
from irisstand.modelcheck import oracle, scenarios
from irisstand.modelcheck import world as worlds

TRIES = 4
LAST = scenarios.site("last", 9, "last")


async def settle_all(world: worlds.World) -> None:
    while not world.is_finished():
        if world.pending:
            world.deliver(0)
            await world.settle()
        else:
            await world.wait()
            world.oracle.raise_faults()


def add(world: worlds.World, kind: str, name: str, order: orders.Order | None = None) -> int:
    world.steps.append(scenarios.Step(kind, name, order))
    return len(world.steps) - 1


async def read_all(world: worlds.World) -> None:
    for node in world.nodes.values():
        add(world, scenarios.READ, node.name)
    world.post_steps()
    await settle_all(world)


async def decide_last(world: worlds.World) -> None:
    """As its loops would do it: a voter that missed a change of the voters learns of it by its checks."""
    for _ in range(TRIES):
        last = add(world, scenarios.ORDER, world.last_voter(), LAST)
        world.post_steps()
        await settle_all(world)
        if world.results[last] == "yes":
            return
        await read_all(world)
    raise oracle.Violation(f"with everybody up, {world.last_voter()} decides no order")


async def check(world: worlds.World) -> None:
    """One more order is decided, everybody reads, and then all of them hold all that was confirmed."""
    world.scenario = world.scenario._replace(faults=0)
    await decide_last(world)
    await read_all(world)
    changes = [step.order.change for step in world.steps if step.kind == scenarios.ORDER]
    world.oracle.check_end([node.copy for node in world.nodes.values()], changes)
    world.oracle.raise_faults()
