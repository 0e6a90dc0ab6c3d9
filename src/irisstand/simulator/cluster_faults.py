"""Faults of many nodes at once and planned operations under faults; `REGISTRY` lists them by name."""

import asyncio
import collections

from irisstand import errors
from irisstand.simulator import fault_context, simulated_node

RECOVERY_LIMIT_SECONDS = 15.0
FAULT_LIKELIHOOD = 0.5
ROLLED_NODES_LIMIT = 8
RETURN_ATTEMPTS_LIMIT = 8
HTTP_OK = 200


async def kill_half(faults: fault_context.FaultContext) -> None:
    """Kill about half of the healthy nodes at the same time, some without connection resets."""
    nodes = [node for node in faults.healthy_nodes() if faults.randomness.random() < FAULT_LIKELIHOOD]
    faults.affected |= {node.placement.name for node in nodes}
    faults.record("herd", " ".join(node.placement.name for node in nodes))
    for node in nodes:
        node.kill(reset=faults.randomness.random() < FAULT_LIKELIHOOD)
    await faults.pause(0.2, 4)
    faults.record("mend", "herd")
    for node in nodes:
        await faults.revive(node)
        faults.release(node)


async def roll(faults: fault_context.FaultContext) -> None:
    """Restart nodes gracefully one after another, as for an upgrade."""
    nodes = faults.healthy_nodes()
    faults.randomness.shuffle(nodes)
    faults.record("roll", str(len(nodes)))
    for node in nodes[:ROLLED_NODES_LIMIT]:
        if not node.is_up or node.placement.name in faults.affected:
            continue
        faults.affected.add(node.placement.name)
        await node.stop()
        await faults.revive(node)
        faults.release(node)
        await faults.pause(0.2, 1)


async def evacuate(faults: fault_context.FaultContext) -> None:
    """Evacuate a random site and return it to service later, unless an evacuation already runs."""
    actors = faults.cluster.actors
    if any(entry[1] == float("inf") for entries in actors.evacuations.values() for entry in entries):
        return
    site = faults.randomness.choice(faults.cluster.shape.sites)[0]
    faults.record("evacuate", site)
    entry = [float("inf"), float("inf")]
    actors.evacuations[site].append(entry)
    try:
        await actors.order(faults.pick_control_node(), "evacuate", site)
        entry[0] = fault_context.now()
    except (errors.IrisError, TimeoutError):
        pass
    await faults.pause(6, 12)
    entry[1] = fault_context.now()
    await order_return(faults, site)


async def order_return(faults: fault_context.FaultContext, site: str) -> None:
    """Order the return of an evacuated site to service, again until the order is confirmed."""
    for _ in range(RETURN_ATTEMPTS_LIMIT):
        try:
            await faults.cluster.actors.order(faults.pick_control_node(), "return", site)
        except (errors.IrisError, TimeoutError):
            await asyncio.sleep(1)
        else:
            return


async def kill_after_confirmation(faults: fault_context.FaultContext) -> None:
    """Cut the power of a node right after it confirmed a change, and wipe its disk in half of the cases."""
    control_nodes = faults.cluster.with_role("agency")
    is_wiped = faults.randomness.random() < FAULT_LIKELIHOOD
    if (
        not all(node.is_up for node in control_nodes)
        or faults.send_change is None
        or not faults.may_lose_disk()
    ):
        return
    node = faults.randomness.choice(control_nodes)
    faults.begin("gone-after-yes", node, " wiped" if is_wiped else "")
    await faults.send_change(node.placement.name)
    if node.is_up:
        node.kill(reset=False)
    if is_wiped:
        node.wipe()
    await faults.pause(0.1, 3)
    await faults.revive(node)
    faults.release(node)


async def replace_control_plane_machine(faults: fault_context.FaultContext) -> None:
    """Remove a control plane machine for good, and start an empty one at the site with the fewest."""
    cluster = faults.cluster
    control_nodes = cluster.with_role("agency")
    if not all(node.is_up for node in control_nodes) or not faults.may_lose_disk():
        return
    old = faults.randomness.choice(control_nodes)
    machine = old.placement.machine
    shields = [node for node in cluster.with_role("shield") if node.placement.machine == machine]
    removed = [node for node in (old, *shields[:1]) if node.placement.name not in faults.affected]
    # The site with the fewest other control plane nodes, so that the loss of one site can be survived.
    counts = collections.Counter(node.placement.site for node in control_nodes if node is not old)
    site, region = min(cluster.shape.sites, key=lambda entry: counts[entry[0]])
    faults.record("core-replaced", f"{old.placement.name} by an empty one at {site}")
    for node in removed:
        node.kill(reset=False)
        cluster.retire(node)
    for node in removed:
        number = len(cluster.nodes) + len(cluster.retired)
        spare = f"{machine}-spare-{len(cluster.retired)}"
        role = node.placement.role
        placement = simulated_node.NodePlacement(
            f"{role}-s{number}", role, spare, site, region, f"10.0.2.{number}"
        )
        await cluster.add(placement).restart()


async def total_loss(faults: fault_context.FaultContext) -> None:
    """Cut the power of all nodes at once; disks remain, so confirmed changes must be in force again later."""
    faults.is_exclusive = True
    # Wait for other faults to end, so that the total loss is not a second fault on top of a first one.
    while len([task for task in faults.tasks if not task.done()]) > 1:  # noqa: ASYNC110 - draws and times of seeded days depend on polling
        await asyncio.sleep(0.1)
    await faults.repair_all()
    faults.record("total-loss", "")
    for node in faults.cluster.nodes.values():
        node.kill(reset=False)
    await faults.pause(0.5, 5)
    began = fault_context.now()
    for node in faults.cluster.nodes.values():
        await node.restart()
        await asyncio.sleep(faults.randomness.uniform(0, 0.2))
    is_serving = await wait_until_serving(faults, began)
    invariant = "after a total loss service is back within 15 s"
    faults.cluster.actors.checker.check(invariant, is_serving, f"total loss at {began:.2f}")
    faults.is_exclusive = False


async def wait_until_serving(faults: fault_context.FaultContext, began: float) -> bool:
    """Wait until every edge has served a read from an origin and a write succeeded; False if too late."""
    actors = faults.cluster.actors
    number = 0
    waiting = {node.placement.name for node in faults.cluster.with_role("edge")}
    has_written = False
    while fault_context.now() - began < RECOVERY_LIMIT_SECONDS:
        number += 1
        for edge in sorted(waiting):
            path = f"/vacancies/again-{began:.0f}-{number}"
            if (await actors.send_request(edge, "GET", path))[0] == HTTP_OK:
                waiting.discard(edge)
        edges = faults.cluster.with_role("edge")
        if not has_written:
            edge = edges[number % len(edges)].placement.name
            has_written = (await actors.write(edge))[1] == HTTP_OK
        if not waiting and has_written:
            return True
        await asyncio.sleep(0.1)
    return False


# Kinds of faults by name. A changed order would change which faults a seed draws.
REGISTRY: dict[str, fault_context.Fault] = {
    "herd": kill_half,
    "roll": roll,
    "evacuate": evacuate,
    "gone-after-yes": kill_after_confirmation,
    "core-replaced": replace_control_plane_machine,
    "total-loss": total_loss,
}
