"""Faults of nodes, sites, disks, the network and the platform; `REGISTRY` lists them by name."""

from irisstand.simulator import fault_context

DATAGRAM_LOSS_SHARE = 0.1
# Substrings of names of a voter's files; a fault damages the files whose names contain one of them.
DAMAGED_NAME_PARTS = (".voter.", ".item.", "vault")


async def kill(faults: fault_context.FaultContext) -> None:
    """Kill the process of a random node and restart it after a while."""
    node = faults.pick_node()
    if node is None:
        return
    faults.begin("kill", node)
    node.kill()
    await faults.pause(0.2, 6)
    await faults.end("kill", node)


async def lose_power(faults: fault_context.FaultContext) -> None:
    """Cut the power of a whole site for a while; the peers of its nodes receive no connection resets."""
    site = faults.randomness.choice(faults.cluster.shape.sites)[0]
    nodes = [node for node in faults.healthy_nodes() if node.placement.site == site]
    faults.affected |= {node.placement.name for node in nodes}
    faults.record("power", site)
    for node in nodes:
        node.kill(reset=False)
    await faults.pause(0.5, 8)
    faults.record("mend", f"power {site}")
    for node in nodes:
        await faults.revive(node)
        faults.release(node)


async def wipe(faults: fault_context.FaultContext) -> None:
    """Kill a control plane node, wipe its disk, and restart the node after a while."""
    control_nodes = faults.cluster.with_role("agency")
    if any(node.placement.name in faults.affected for node in control_nodes):
        return
    node = faults.randomness.choice(control_nodes)
    if not faults.may_lose_disk():
        return
    faults.begin("wipe", node)
    node.kill()
    node.wipe()
    await faults.pause(0.2, 4)
    await faults.end("wipe", node)


async def freeze(faults: fault_context.FaultContext) -> None:
    """Freeze the process of a random node for a while, like a paused virtual machine."""
    node = faults.pick_node()
    if node is None:
        return
    faults.begin("freeze", node)
    node.freeze()
    await faults.pause(0.2, 9)
    await faults.end("freeze", node)


async def isolate(faults: fault_context.FaultContext) -> None:
    """Partition one random node off from all others for a while."""
    node = faults.pick_node()
    if node is None or faults.cluster.network.partitioned_pairs:
        return
    faults.begin("isolate", node)
    faults.cluster.partition_off([node.placement.name])
    await faults.pause(0.5, 7)
    faults.record("mend", f"isolate {node.placement.name}")
    faults.cluster.network.heal()
    faults.release(node)


async def split(faults: fault_context.FaultContext) -> None:
    """Partition two random sites off from the others for a while."""
    if faults.cluster.network.partitioned_pairs:
        return
    sites = {site for site, _ in faults.randomness.sample(faults.cluster.shape.sites, 2)}
    faults.record("split", str(sorted(sites)))
    nodes = faults.cluster.nodes.values()
    faults.cluster.partition_off([node.placement.name for node in nodes if node.placement.site in sites])
    await faults.pause(0.5, 7)
    faults.cluster.network.heal()


async def stall_disk(faults: fault_context.FaultContext) -> None:
    """Stall the disk of a control plane node for a while, so that no write ends."""
    node = faults.pick_node("agency")
    if node is None:
        return
    faults.record("stall", node.placement.name)
    node.disk.stalled = True
    await faults.pause(0.2, 4)
    node.disk.stalled = False


async def fill_disk(faults: fault_context.FaultContext) -> None:
    """Make the disk of a control plane node full for a while, so that every write fails."""
    node = faults.pick_node("agency")
    if node is None:
        return
    faults.record("fill", node.placement.name)
    node.disk.full = True
    await faults.pause(0.5, 5)
    node.disk.full = False


async def corrupt_disk(faults: fault_context.FaultContext) -> None:
    """Kill a control plane node, damage some of its files, and restart it; this counts as a lost disk."""
    if not faults.may_lose_disk():
        return
    node = faults.randomness.choice(faults.cluster.with_role("agency"))
    name_part = faults.randomness.choice(DAMAGED_NAME_PARTS)
    faults.begin("corrupt", node)
    node.kill()
    node.disk.corrupt(name_part)
    await faults.pause(0.2, 2)
    await faults.end("corrupt", node)


async def drain(faults: fault_context.FaultContext) -> None:
    """Shut a random node down gracefully and restart it after a while."""
    node = faults.pick_node()
    if node is None:
        return
    faults.begin("drain", node)
    await node.stop()
    await faults.pause(0.1, 2)
    await faults.revive(node)
    faults.release(node)


async def lose_datagrams(faults: fault_context.FaultContext) -> None:
    """Lose a tenth of all datagrams at random for a while."""
    faults.record("loss", "10 %")
    faults.cluster.network.loss = DATAGRAM_LOSS_SHARE
    await faults.pause(1, 5)
    faults.cluster.network.loss = 0.0


async def stop_platform(faults: fault_context.FaultContext) -> None:
    """Take the platform, which lists the origins, down for a while."""
    faults.record("platform-down", "")
    actors = faults.cluster.actors
    actors.platform_up = False
    began = fault_context.now()
    await faults.pause(1, 5)
    actors.platform_up = True
    actors.platform_outages.append((began, fault_context.now()))


# Kinds of faults by name. A changed order would change which faults a seed draws.
REGISTRY: dict[str, fault_context.Fault] = {
    "kill": kill,
    "power": lose_power,
    "wipe": wipe,
    "freeze": freeze,
    "isolate": isolate,
    "split": split,
    "stall": stall_disk,
    "fill": fill_disk,
    "corrupt": corrupt_disk,
    "drain": drain,
    "loss": lose_datagrams,
    "platform-down": stop_platform,
}
