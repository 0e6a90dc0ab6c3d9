"""Trouble with origins: down, faulty, slow, leaving, replaced, addresses handed over. A kind is an entry."""

import asyncio
import collections.abc
import typing

WARMUP = 4.0
FAULTS = ("lose-answer", "wrong-digest", "no-seal", "short", "wrong-request", "fails")


def now() -> float:
    return asyncio.get_running_loop().time()


async def down(trouble: typing.Any) -> None:
    origin = trouble.randomness.choice(trouble.cluster.actors.origins)
    trouble.note("origin-down", origin.instance)
    origin.warmup = WARMUP
    origin.up = False
    await trouble.pause(0.3, 5)
    # The platform lags: it goes on calling it ready, and it is cold.
    origin.up = True


async def fault(trouble: typing.Any) -> None:
    origin = trouble.randomness.choice(trouble.cluster.actors.origins)
    kind = trouble.randomness.choice(FAULTS)
    trouble.note(f"origin {kind}", origin.instance)
    origin.faults.add(kind)
    await trouble.pause(0.3, 4)
    origin.faults.discard(kind)


async def slow(trouble: typing.Any) -> None:
    """All origins of a service: while their answers are under way, purges strike and lives end."""
    service = trouble.randomness.choice(("content", "application"))
    chosen = [origin for origin in trouble.cluster.actors.origins if origin.service == service]
    trouble.note("origin-slow", service)
    for origin in chosen:
        origin.delay = trouble.randomness.uniform(0.5, 2.8)
    await trouble.pause(1, 5)
    for origin in chosen:
        origin.delay = 0.003


def replace(trouble: typing.Any, old: typing.Any) -> typing.Any:
    """A new and cold one takes its place in the platform's list."""
    stage = trouble.cluster.actors
    stage.unlist(old)
    old.up = False
    region = trouble.cluster.network.regions[old.host]
    fresh = stage.add_origin(old.service, f"{old.service}-n{len(stage.all_origins)}", old.site, region)
    fresh.state, fresh.warmup = "cold", WARMUP
    fresh.cold.append((now(), WARMUP))
    return fresh


def staying(trouble: typing.Any) -> list:
    return [origin for origin in trouble.cluster.actors.origins if origin.state != "leaving" and origin.up]


async def leave(trouble: typing.Any) -> None:
    """One leaves in order, is gone, and another comes in its place, cold."""
    chosen = staying(trouble)
    if not chosen or not trouble.cluster.actors.platform_up:
        return
    old = trouble.randomness.choice(chosen)
    trouble.note("origin-leaves", old.instance)
    old.state = "leaving"
    old.leaves.append([now(), float("inf")])
    await trouble.pause(2.5, 6)
    if old in trouble.cluster.actors.origins:
        replace(trouble, old)


async def replace_all(trouble: typing.Any) -> None:
    """Every origin of a service at once, by cold ones: nothing warm is left to lean on."""
    service = trouble.randomness.choice(("content", "application"))
    trouble.note("origins-replaced", service)
    for old in [origin for origin in trouble.cluster.actors.origins if origin.service == service]:
        replace(trouble, old)


async def hand_over(trouble: typing.Any) -> None:
    """An origin vanishes, and another service answers at its address; the platform lags behind it."""
    stage = trouble.cluster.actors
    chosen = staying(trouble)
    if not chosen:
        return
    old = trouble.randomness.choice(chosen)
    service = "application" if old.service == "content" else "content"
    trouble.note("address-handed-over", f"{old.instance} to {service}")
    old.up = False
    fresh = type(old)(service, f"{service}-h{len(stage.all_origins)}", old.site, stage.records)
    fresh.host, fresh.port, fresh.warmup, fresh.state = old.host, old.port, WARMUP, "cold"
    fresh.cold.append((now(), WARMUP))
    stage.at[(old.host, old.port)] = fresh
    stage.all_origins.append(fresh)
    await trouble.pause(0.5, 3)
    if old in stage.origins:
        stage.unlist(old)
        stage.origins.append(fresh)


REGISTRY: dict[str, collections.abc.Callable[[typing.Any], collections.abc.Awaitable[None]]] = {
    "origin-down": down,
    "origin-fault": fault,
    "origin-slow": slow,
    "origin-leaves": leave,
    "origins-replaced": replace_all,
    "address-handed-over": hand_over,
}
