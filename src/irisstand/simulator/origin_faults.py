"""Faults of origins: down, faulty, slow, leaving, replaced, addresses reused. A kind is an entry."""

from irisstand.simulator import fault_context, simulated_origins

WARMUP_SECONDS = 4.0
NORMAL_DELAY_SECONDS = simulated_origins.NORMAL_DELAY_SECONDS
RESPONSE_FAULTS = ("lose-answer", "wrong-digest", "no-seal", "short", "wrong-request", "fails")
SERVICES = ("content", "application")


async def stop(faults: fault_context.FaultContext) -> None:
    """Crash an origin; the platform goes on listing it as ready, and it comes back cold."""
    origin = faults.randomness.choice(faults.cluster.actors.origins)
    faults.record("origin-down", origin.instance)
    origin.warmup = WARMUP_SECONDS
    origin.up = False
    await faults.pause(0.3, 5)
    origin.up = True


async def inject_response_fault(faults: fault_context.FaultContext) -> None:
    """Let an origin spoil its answers in one way for a while."""
    origin = faults.randomness.choice(faults.cluster.actors.origins)
    kind = faults.randomness.choice(RESPONSE_FAULTS)
    faults.record(f"origin {kind}", origin.instance)
    origin.faults.add(kind)
    await faults.pause(0.3, 4)
    origin.faults.discard(kind)


async def slow_down(faults: fault_context.FaultContext) -> None:
    """Slow all origins of a service, so that purges and expiry meet answers in flight."""
    service = faults.randomness.choice(SERVICES)
    chosen = [origin for origin in faults.cluster.actors.origins if origin.service == service]
    faults.record("origin-slow", service)
    for origin in chosen:
        origin.delay = faults.randomness.uniform(0.5, 2.8)
    await faults.pause(1, 5)
    for origin in chosen:
        origin.delay = NORMAL_DELAY_SECONDS


def replace(
    faults: fault_context.FaultContext, old: simulated_origins.SimulatedOrigin
) -> simulated_origins.SimulatedOrigin:
    """Let a new and cold origin take an old one's place in the platform's list, and return it."""
    actors = faults.cluster.actors
    actors.unlist(old)
    old.up = False
    region = faults.cluster.network.regions[old.host]
    name = f"{old.service}-n{len(actors.all_origins)}"
    successor = actors.add_origin(old.service, name, old.site, region)
    mark_cold(successor)
    return successor


def mark_cold(origin: simulated_origins.SimulatedOrigin) -> None:
    """Let an origin be listed as cold from now on."""
    origin.state = "cold"
    origin.warmup = WARMUP_SECONDS
    origin.warmup_periods.append((fault_context.now(), WARMUP_SECONDS))


def staying_origins(faults: fault_context.FaultContext) -> list[simulated_origins.SimulatedOrigin]:
    """Return the listed origins that are up and do not leave."""
    return [origin for origin in faults.cluster.actors.origins if origin.state != "leaving" and origin.up]


async def leave(faults: fault_context.FaultContext) -> None:
    """Let an origin leave in order, and a cold one take its place."""
    candidates = staying_origins(faults)
    if not candidates or not faults.cluster.actors.platform_up:
        return
    old = faults.randomness.choice(candidates)
    faults.record("origin-leaves", old.instance)
    old.state = "leaving"
    old.leaving_periods.append([fault_context.now(), float("inf")])
    await faults.pause(2.5, 6)
    if old in faults.cluster.actors.origins:
        replace(faults, old)


async def replace_all(faults: fault_context.FaultContext) -> None:
    """Replace all origins of a service by cold ones at once."""
    service = faults.randomness.choice(SERVICES)
    faults.record("origins-replaced", service)
    for old in [origin for origin in faults.cluster.actors.origins if origin.service == service]:
        replace(faults, old)


async def reuse_address(faults: fault_context.FaultContext) -> None:
    """Let an origin vanish and one of the other service answer at its address; the platform lags."""
    actors = faults.cluster.actors
    candidates = staying_origins(faults)
    if not candidates:
        return
    old = faults.randomness.choice(candidates)
    service = "application" if old.service == "content" else "content"
    faults.record("address-handed-over", f"{old.instance} to {service}")
    old.up = False
    name = f"{service}-h{len(actors.all_origins)}"
    successor = simulated_origins.SimulatedOrigin(service, name, old.site, actors.records)
    successor.host = old.host
    successor.port = old.port
    mark_cold(successor)
    actors.origins_by_address[(old.host, old.port)] = successor
    actors.all_origins.append(successor)
    await faults.pause(0.5, 3)
    if old in actors.origins:
        actors.unlist(old)
        actors.origins.append(successor)


# The order counts: seeded days draw from it.
REGISTRY: dict[str, fault_context.Fault] = {
    "origin-down": stop,
    "origin-fault": inject_response_fault,
    "origin-slow": slow_down,
    "origin-leaves": leave,
    "origins-replaced": replace_all,
    "address-handed-over": reuse_address,
}
