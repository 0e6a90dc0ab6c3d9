"""Faults of single nodes, disks, sites and links. A kind of fault is an entry in `REGISTRY`."""

from irisstand.simulator import fault_context

DATAGRAM_LOSS_SHARE = 0.1
# Parts of the names of a voter's files, one of which is damaged.
DAMAGED_NAME_PARTS = (".voter.", ".item.", "vault")


async def kill(faults: fault_context.FaultContext) -> None:
    """Kill one process and restart it."""
    node = faults.pick_node()
    if node is None:
        return
    faults.begin("kill", node)
    node.kill()
    await faults.pause(0.2, 6)
    await faults.end("kill", node)


async def lose_power(faults: fault_context.FaultContext) -> None:
    """Cut the power of a whole site: its peers get no connection resets."""
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
    """Kill a control plane node and lose its disk."""
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
    """Stop one process for a while, as a paused virtual machine."""
    node = faults.pick_node()
    if node is None:
        return
    faults.begin("freeze", node)
    node.freeze()
    await faults.pause(0.2, 9)
    await faults.end("freeze", node)


async def isolate(faults: fault_context.FaultContext) -> None:
    """Partition one node off from all others."""
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
    """Partition two sites off from the others."""
    if faults.cluster.network.partitioned_pairs:
        return
    sites = {site for site, _ in faults.randomness.sample(faults.cluster.shape.sites, 2)}
    faults.record("split", str(sorted(sites)))
    nodes = faults.cluster.nodes.values()
    faults.cluster.partition_off([node.placement.name for node in nodes if node.placement.site in sites])
    await faults.pause(0.5, 7)
    faults.cluster.network.heal()


async def stall_disk(faults: fault_context.FaultContext) -> None:
    """Let a control plane node's disk finish no write for a while."""
    node = faults.pick_node("agency")
    if node is None:
        return
    faults.record("stall", node.placement.name)
    node.disk.stalled = True
    await faults.pause(0.2, 4)
    node.disk.stalled = False


async def fill_disk(faults: fault_context.FaultContext) -> None:
    """Let a control plane node's disk be full for a while."""
    node = faults.pick_node("agency")
    if node is None:
        return
    faults.record("fill", node.placement.name)
    node.disk.full = True
    await faults.pause(0.5, 5)
    node.disk.full = False


async def corrupt_disk(faults: fault_context.FaultContext) -> None:
    """Damage files of a control plane node, which it finds at its restart; they count as a lost disk."""
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
    """Shut a node down in order and restart it."""
    node = faults.pick_node()
    if node is None:
        return
    faults.begin("drain", node)
    await node.stop()
    await faults.pause(0.1, 2)
    await faults.revive(node)
    faults.release(node)


async def lose_datagrams(faults: fault_context.FaultContext) -> None:
    """Lose a tenth of all datagrams for a while."""
    faults.record("loss", "10 %")
    faults.cluster.network.loss = DATAGRAM_LOSS_SHARE
    await faults.pause(1, 5)
    faults.cluster.network.loss = 0.0


async def stop_platform(faults: fault_context.FaultContext) -> None:
    """Let the platform, which lists the origins, be down for a while."""
    faults.record("platform-down", "")
    actors = faults.cluster.actors
    actors.platform_up = False
    began = fault_context.now()
    await faults.pause(1, 5)
    actors.platform_up = True
    actors.platform_outages.append((began, fault_context.now()))


# The order counts: seeded days draw from it.
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
