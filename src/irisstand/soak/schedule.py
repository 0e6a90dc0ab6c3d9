"""What happens to the processes of a soak run: stops, hang-ups and changes in overlapping series."""

import asyncio
import enum
import itertools
import random
import signal
import typing

import aiohttp

from irisstand.soak import clients, fleet, shape

HTTP_OK = 200
LATER_ORDER_SECONDS = 5.0
FIRST_ORDER_SECONDS = 40.0
READY_TIMEOUT_SECONDS = 40.0
POLL_SECONDS = 0.1
MAX_SERIES_STOPS = 4
# Gaps between the steps of a series.
SERIES_GAPS_SECONDS = (0.05, 0.3, 1.0)
SETTLE_SECONDS = 2.0
APPLICATION_CONNECTIONS = 400


class Action(enum.StrEnum):
    """What is done to a process, or by the operator."""

    STOP_EDGE = "SIGTERM to an edge"
    STOP_HOLDER = "SIGTERM to a holder"
    STOP_CONTROL = "SIGTERM to a control plane node"
    SEND_SIGHUP = "SIGHUP"
    SIGNAL_STOPPING_PROCESS = "a second signal to a process that stops"
    CHANGE_CONFIGURATION = "a change of the configuration"


class Step(typing.NamedTuple):
    """One action at a moment, in seconds from the start of the clients."""

    at_seconds: float
    action: Action


def plan_steps(plan: shape.SoakShape) -> list[Step]:
    """Draw the steps of a run: the stops of its shape in series, and the other actions between them."""
    randomness = random.Random(f"{plan.seed} schedule")
    steps: list[Step] = []
    stops_left = plan.stops
    while stops_left > 0:
        at_seconds = randomness.uniform(1.0, max(2.0, plan.seconds - 4.0))
        for _ in range(min(stops_left, randomness.randint(1, MAX_SERIES_STOPS))):
            steps.append(Step(at_seconds, Action.STOP_EDGE))
            at_seconds += randomness.choice(SERIES_GAPS_SECONDS)
            stops_left -= 1
    others = (
        [Action.SEND_SIGHUP] * 4 + [Action.CHANGE_CONFIGURATION] * 4 + [Action.SIGNAL_STOPPING_PROCESS] * 2
    )
    others += [Action.STOP_HOLDER, Action.STOP_CONTROL] if plan.holders else [Action.STOP_CONTROL]
    for action in others:
        for _ in range(max(1, round(plan.seconds / 30))):
            steps.append(Step(randomness.uniform(1.0, plan.seconds), action))
    return sorted(steps)


class Operator:
    """Sends configurations to the control plane, and asks processes whether they are ready."""

    def __init__(self, plan: shape.SoakShape, processes: fleet.Fleet, session: aiohttp.ClientSession) -> None:
        self.plan = plan
        self.fleet = processes
        self.session = session
        self.version = 0

    async def submit_configuration(self, rate_factor: float = 1.0, *, is_first: bool = False) -> bool:
        """Send the whole configuration under a new version to one node after the other until one takes it."""
        self.version += 1
        body = self.configuration(rate_factor)
        end = asyncio.get_running_loop().time() + (FIRST_ORDER_SECONDS if is_first else LATER_ORDER_SECONDS)
        for node in itertools.cycle(self.fleet.with_role("agency")):
            url = f"http://{node.host}:{fleet.HTTP_PORT}/amendments"
            try:
                async with self.session.post(url, json=body) as response:
                    if response.status == HTTP_OK:
                        self.fleet.records.changes += 1
                        return True
            except (aiohttp.ClientError, TimeoutError):
                pass
            if asyncio.get_running_loop().time() > end:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return False

    def configuration(self, rate_factor: float) -> dict[str, typing.Any]:
        """Return all items; the routes' target changes with each version."""
        kinds = {"objects": "cacheable", "reads": "idempotent", "writes": "non_idempotent"}
        routes: list[dict[str, typing.Any]] = [
            {
                "name": name,
                "version": self.version,
                "host": clients.HOST,
                "prefix": f"/{name}/",
                "kind": kind,
                "timeout": max(self.plan.deadlines),
                "target": 0.5 + 0.01 * (self.version % 5),
                "priority": 1,
                "attempts": 2,
                "cache_life": 5,
                "regions": [],
                "service": "content" if name == "objects" else "app",
            }
            for name, kind in kinds.items()
        ]
        content = {"name": "content", "rate": self.plan.rate * rate_factor}
        application = {"name": "app", "rate": None, "connections": APPLICATION_CONNECTIONS}
        common = {"version": self.version, "probe": "/health", "warmup": 1, "cold_rate": 10}
        common |= {"connections": self.plan.connections, "protocol": "h1", "tls": False}
        services = [{**common, **content}, {**common, **application}]
        limits = {"header_bytes": 8192, "body_bytes": 100000, "header": 3, "idle": 15}
        limits["version"] = self.version
        return {"put": {"routes": routes, "upstreams": services, "limits": limits}, "drop": {"routes": []}}

    async def wait_ready(self) -> None:
        """Wait until all edges are ready.

        Raises:
            TimeoutError: They are not within `READY_SECONDS`.
        """
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for address in self.fleet.with_role("direct"):
                # Readiness is asked over HTTP, so there is no event to wait for.
                while not await self.is_ready(address):  # noqa: ASYNC110 - see above
                    await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)

    async def is_ready(self, address: fleet.ProcessAddress) -> bool:
        """Ask an edge whether it is ready."""
        url = f"http://{address.host}:{fleet.HTTP_PORT}/_irisstand/ready"
        try:
            async with self.session.get(url) as response:
                return response.status == HTTP_OK
        except (aiohttp.ClientError, TimeoutError):
            return False


class Schedule:
    """Carries out the steps of a run."""

    def __init__(self, plan: shape.SoakShape, processes: fleet.Fleet, operator: Operator) -> None:
        self.plan = plan
        self.fleet = processes
        self.operator = operator
        self.randomness = random.Random(f"{plan.seed} targets")
        self.order_tasks: list[asyncio.Task[bool]] = []

    async def run(self) -> None:
        """Carry out all steps at their moments."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        for step in plan_steps(self.plan):
            await asyncio.sleep(max(0.0, started + step.at_seconds - loop.time()))
            self.carry_out(step.action)
        await asyncio.gather(*self.order_tasks)

    def carry_out(self, action: Action) -> None:
        """Carry out one step."""
        match action:
            case Action.STOP_EDGE:
                # Half of the edges go on, as in a restart by series.
                self.stop_process("direct", max_stopping=max(1, self.plan.edges // 2))
            case Action.STOP_HOLDER:
                self.stop_process("holder", max_stopping=max(1, self.plan.holders // 2))
            case Action.STOP_CONTROL:
                self.stop_process("agency", max_stopping=1)
            case Action.SEND_SIGHUP:
                self.fleet.send_signal(self.randomness.choice(list(self.fleet.addresses)), signal.SIGHUP)
            case Action.SIGNAL_STOPPING_PROCESS:
                self.signal_stopping_process()
            case Action.CHANGE_CONFIGURATION:
                order = self.operator.submit_configuration(self.randomness.choice((0.8, 1.0, 1.2)))
                self.order_tasks.append(asyncio.create_task(order))

    def stopping_processes(self, role: str) -> list[str]:
        """Return the processes of a role that were told to stop and have not ended, or not yet come back."""
        names = [address.name for address in self.fleet.with_role(role)]
        return [name for name in names if (name, self.fleet.start_counts[name]) in self.fleet.records.stops]

    def stop_process(self, role: str, max_stopping: int) -> None:
        """Send SIGTERM to a process that has run for a while, if few enough others are stopping."""
        stopping = self.stopping_processes(role)
        if len(stopping) >= max_stopping:
            return
        names = [address.name for address in self.fleet.with_role(role) if address.name not in stopping]
        if names:
            self.fleet.send_signal(self.randomness.choice(names), signal.SIGTERM)

    def signal_stopping_process(self) -> None:
        """Send a process that is stopping one more signal."""
        names = self.stopping_processes("direct") or self.stopping_processes("holder")
        if names:
            signal_number = self.randomness.choice((signal.SIGTERM, signal.SIGHUP))
            self.fleet.send_signal(self.randomness.choice(names), signal_number)
