"""Faults of origins: crashes, faulty or slow responses, departures, reused addresses; see `REGISTRY`."""

from irisstand.simulator import fault_context, simulated_origins

WARMUP_SECONDS = 4.0
NORMAL_DELAY_SECONDS = simulated_origins.NORMAL_DELAY_SECONDS
RESPONSE_FAULTS = ("lose-answer", "wrong-digest", "no-seal", "short", "wrong-request", "fails")
SERVICES = ("content", "application")


async def stop(faults: fault_context.FaultContext) -> None:
    """Crash an origin, which restarts cold after a while; the platform lists it as ready all the time."""
    origin = faults.randomness.choice(faults.cluster.actors.origins)
    faults.record("origin-down", origin.instance)
    origin.warmup = WARMUP_SECONDS
    origin.up = False
    await faults.pause(0.3, 5)
    origin.up = True


async def inject_response_fault(faults: fault_context.FaultContext) -> None:
    """Make all responses of a random origin faulty in one random way for a while."""
    origin = faults.randomness.choice(faults.cluster.actors.origins)
    kind = faults.randomness.choice(RESPONSE_FAULTS)
    faults.record(f"origin {kind}", origin.instance)
    origin.faults.add(kind)
    await faults.pause(0.3, 4)
    origin.faults.discard(kind)


async def stutter(faults: fault_context.FaultContext) -> None:
    """Have a random origin answer each request twice for a while, the second time late."""
    origin = faults.randomness.choice(faults.cluster.actors.origins)
    faults.record("origin-stutter", origin.instance)
    origin.faults.add("stutter")
    await faults.pause(1, 6)
    origin.faults.discard("stutter")


async def slow_down(faults: fault_context.FaultContext) -> None:
    """Slow down all origins of a service, so that purges and expiry coincide with responses in flight."""
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
    """Replace an origin by a new, cold one in the platform's list, and return the new one."""
    actors = faults.cluster.actors
    actors.unlist(old)
    old.up = False
    region = faults.cluster.network.regions[old.host]
    name = f"{old.service}-n{len(actors.all_origins)}"
    successor = actors.add_origin(old.service, name, old.site, region)
    mark_cold(successor)
    return successor


def mark_cold(origin: simulated_origins.SimulatedOrigin) -> None:
    """List an origin as cold from now on, and record the beginning of its warm-up."""
    origin.state = "cold"
    origin.warmup = WARMUP_SECONDS
    origin.warmup_periods.append((fault_context.now(), WARMUP_SECONDS))


def staying_origins(faults: fault_context.FaultContext) -> list[simulated_origins.SimulatedOrigin]:
    """Return the listed origins that are up and not leaving."""
    return [origin for origin in faults.cluster.actors.origins if origin.state != "leaving" and origin.up]


async def leave(faults: fault_context.FaultContext) -> None:
    """List a random origin as leaving, and replace it by a cold one a few seconds later."""
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
    """Replace all origins of a random service by cold ones at once."""
    service = faults.randomness.choice(SERVICES)
    faults.record("origins-replaced", service)
    for old in [origin for origin in faults.cluster.actors.origins if origin.service == service]:
        replace(faults, old)


async def reuse_address(faults: fault_context.FaultContext) -> None:
    """Replace an origin by one of the other service at the same address; the platform's list lags behind."""
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


# Kinds of faults that only days of a kind of their own draw.
SPECIAL_REGISTRY: dict[str, fault_context.Fault] = {"origin-stutter": stutter}
# Kinds of faults by name. A changed order would change which faults a seed draws.
REGISTRY: dict[str, fault_context.Fault] = {
    "origin-down": stop,
    "origin-fault": inject_response_fault,
    "origin-slow": slow_down,
    "origin-leaves": leave,
    "origins-replaced": replace_all,
    "address-handed-over": reuse_address,
}
