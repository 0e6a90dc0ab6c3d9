"""Trouble that concerns many nodes, and orders given in the midst of it. A kind is an entry."""

import asyncio
import collections
import collections.abc
import typing

from irisstand import errors
from irisstand.simulator import simulated_cluster

BACK_WITHIN = 15.0


def now() -> float:
    return asyncio.get_running_loop().time()


def some_control_node(trouble: typing.Any) -> str:
    names = [node.placement.name for node in trouble.cluster.with_role("agency") if node.is_up]
    return trouble.randomness.choice(names or [trouble.cluster.with_role("agency")[0].placement.name])


async def herd(trouble: typing.Any) -> None:
    """Half of all nodes at the same moment, here and there."""
    nodes = [n for n in trouble.cluster.nodes.values() if n.is_up and n.placement.name not in trouble.busy]
    nodes = [node for node in nodes if trouble.randomness.random() < 0.5]
    trouble.busy |= {node.placement.name for node in nodes}
    trouble.note("herd", " ".join(node.placement.name for node in nodes))
    for node in nodes:
        node.kill(reset=trouble.randomness.random() < 0.5)
    await trouble.pause(0.2, 4)
    trouble.note("mend", "herd")
    for node in nodes:
        await trouble.revive(node)
        trouble.busy.discard(node.placement.name)


async def roll(trouble: typing.Any) -> None:
    """A rolling restart, node by node, as for an upgrade; each is waited for before the next."""
    nodes = [n for n in trouble.cluster.nodes.values() if n.is_up and n.placement.name not in trouble.busy]
    trouble.randomness.shuffle(nodes)
    trouble.note("roll", str(len(nodes)))
    for node in nodes[:8]:
        if not node.is_up or node.placement.name in trouble.busy:
            continue
        trouble.busy.add(node.placement.name)
        await node.stop()
        await trouble.revive(node)
        trouble.busy.discard(node.placement.name)
        await trouble.pause(0.2, 1)


async def evacuate(trouble: typing.Any) -> None:
    """A site is evacuated, whatever else goes on, and taken back later."""
    stage = trouble.cluster.actors
    if any(entry[1] == float("inf") for entries in stage.evacuations.values() for entry in entries):
        return
    site = trouble.randomness.choice(trouble.cluster.shape.sites)[0]
    trouble.note("evacuate", site)
    entry = [float("inf"), float("inf")]
    stage.evacuations[site].append(entry)
    try:
        await stage.order(some_control_node(trouble), "evacuate", site)
        entry[0] = now()
    except (errors.IrisError, TimeoutError):
        pass
    await trouble.pause(6, 12)
    entry[1] = now()
    for _ in range(8):
        try:
            await stage.order(some_control_node(trouble), "return", site)
            return
        except (errors.IrisError, TimeoutError):
            await asyncio.sleep(1)


async def gone_after_yes(trouble: typing.Any) -> None:
    """The node that has just confirmed a change loses its power, and often its disk, that very moment."""
    control_nodes = trouble.cluster.with_role("agency")
    wipe = trouble.randomness.random() < 0.5
    if (
        any(node.placement.name in trouble.busy or not node.is_up for node in control_nodes)
        or trouble.change is None
    ):
        return
    if not all(trouble.is_voter(node) for node in control_nodes):
        return
    node = trouble.randomness.choice(control_nodes)
    trouble.busy.add(node.placement.name)
    trouble.note("gone-after-yes", f"{node.placement.name}{' wiped' if wipe else ''}")
    await trouble.change(node.placement.name)
    if node.is_up:
        node.kill(reset=False)
    if wipe:
        node.wipe()
    await trouble.pause(0.1, 3)
    await trouble.revive(node)
    trouble.busy.discard(node.placement.name)


async def replace_core(trouble: typing.Any) -> None:
    """A core machine is gone for good, and an empty one comes up at another place."""
    world = trouble.cluster
    control_nodes = world.with_role("agency")
    if any(node.placement.name in trouble.busy or not node.is_up for node in control_nodes):
        return
    if not all(trouble.is_voter(node) for node in control_nodes):
        return
    old = trouble.randomness.choice(control_nodes)
    partner = next(
        (n for n in world.with_role("shield") if n.placement.machine == old.placement.machine), None
    )
    gone = [node for node in (old, partner) if node is not None and node.placement.name not in trouble.busy]
    # Where the fewest others are, so that the loss of one site stays bearable.
    counts = collections.Counter(node.placement.site for node in control_nodes if node is not old)
    site, region = min(world.shape.sites, key=lambda entry: counts[entry[0]])
    trouble.note("core-replaced", f"{old.placement.name} by an empty one at {site}")
    for node in gone:
        node.kill(reset=False)
        world.retire(node)
    for node in gone:
        number = len(world.nodes) + len(world.retired)
        machine = f"{old.placement.machine}-spare-{len(world.retired)}"
        name = f"{node.placement.role}-s{number}"
        plan = simulated_cluster.NodePlacement(
            name, node.placement.role, machine, site, region, f"10.0.2.{number}"
        )
        await world.add(plan).restart()


async def total_loss(trouble: typing.Any) -> None:
    """Everything at once, power and all; the disks are left. What was confirmed must be there again."""
    trouble.held = True
    # What else is going on ends first: this is one loss, of everything, and not a second one in a first.
    while len([task for task in trouble.tasks if not task.done()]) > 1:
        await asyncio.sleep(0.1)
    await trouble.mend()
    trouble.note("total-loss", "")
    for node in trouble.cluster.nodes.values():
        node.kill(reset=False)
    await trouble.pause(0.5, 5)
    began = now()
    for node in trouble.cluster.nodes.values():
        await node.restart()
        await asyncio.sleep(trouble.randomness.uniform(0, 0.2))
    back = await served_again(trouble, began)
    trouble.cluster.actors.checker.check(
        "after a total loss service is back within 15 s", back, f"at {began:.2f}"
    )
    trouble.held = False


async def served_again(trouble: typing.Any, began: float) -> bool:
    """Until every edge answers a read that goes all the way to an origin, and a write has run."""
    stage, number = trouble.cluster.actors, 0
    waiting = {node.placement.name for node in trouble.cluster.with_role("edge")}
    written = False
    while now() - began < BACK_WITHIN:
        number += 1
        for edge in sorted(waiting):
            path = f"/vacancies/again-{began:.0f}-{number}"
            if (await stage.ask(edge, "GET", path))[0] == 200:
                waiting.discard(edge)
        edges = trouble.cluster.with_role("edge")
        written = written or (await stage.write(edges[number % len(edges)].placement.name))[1] == 200
        if not waiting and written:
            return True
        await asyncio.sleep(0.1)
    return False


REGISTRY: dict[str, collections.abc.Callable[[typing.Any], collections.abc.Awaitable[None]]] = {
    "herd": herd,
    "roll": roll,
    "evacuate": evacuate,
    "gone-after-yes": gone_after_yes,
    "core-replaced": replace_core,
    "total-loss": total_loss,
}
