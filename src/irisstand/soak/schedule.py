"""Schedule of a soak run: overlapping series of signals to processes and of configuration changes."""

import asyncio
import enum
import random
import signal
import typing

from irisstand.soak import fleet, operator_client, shape

# Largest number of edges that are stopped in one series.
MAX_SERIES_STOPS = 4
# Times between two stops of a series, one of which is drawn.
SERIES_GAPS_SECONDS = (0.05, 0.3, 1.0)
# Smallest and largest number of actions in an overlapping series.
SERIES_ACTIONS = (3, 8)


class Action(enum.StrEnum):
    """What a step does: a signal to a process, or a change of the configuration."""

    STOP_EDGE = "SIGTERM to an edge"
    STOP_HOLDER = "SIGTERM to a holder"
    STOP_CONTROL = "SIGTERM to a control plane node"
    SEND_SIGHUP = "SIGHUP"
    SIGNAL_STOPPING_PROCESS = "a second signal to a process that stops"
    CHANGE_CONFIGURATION = "a change of the configuration"


class Step(typing.NamedTuple):
    """One action and its time, in seconds from the start of the clients."""

    at_seconds: float
    action: Action


def plan_steps(plan: shape.SoakShape) -> list[Step]:
    """Draw the steps of a run, ordered by time: series of edge stops, and single other actions."""
    randomness = random.Random(f"{plan.seed} schedule")
    steps: list[Step] = []
    stops_left = plan.stops
    while stops_left > 0:
        at_seconds = randomness.uniform(1.0, max(2.0, plan.seconds - 4.0))
        for _ in range(min(stops_left, randomness.randint(1, MAX_SERIES_STOPS))):
            steps.append(Step(at_seconds, Action.STOP_EDGE))
            at_seconds += randomness.choice(SERIES_GAPS_SECONDS)
            stops_left -= 1
    other_actions = (
        [Action.SEND_SIGHUP] * 4 + [Action.CHANGE_CONFIGURATION] * 4 + [Action.SIGNAL_STOPPING_PROCESS] * 2
    )
    other_actions += [Action.STOP_HOLDER, Action.STOP_CONTROL] if plan.holders else [Action.STOP_CONTROL]
    for action in other_actions:
        for _ in range(max(1, round(plan.seconds / 30))):
            steps.append(Step(randomness.uniform(1.0, plan.seconds), action))
    return sorted(steps)


def plan_series(plan: shape.SoakShape) -> list[Step]:
    """Draw series in which actions of all kinds follow one another closely; the series overlap."""
    randomness = random.Random(f"{plan.seed} series")
    steps: list[Step] = []
    for _ in range(plan.series):
        at_seconds = randomness.uniform(1.0, max(2.0, plan.seconds - 4.0))
        for _ in range(randomness.randint(*SERIES_ACTIONS)):
            steps.append(Step(at_seconds, randomness.choice(list(Action))))
            at_seconds += randomness.choice(SERIES_GAPS_SECONDS)
    return steps


class Schedule:
    """Draws the steps of a run, and carries them out.

    Attributes:
        plan: Parameters of the run.
        fleet: Processes of the run.
        operator: Sends changes of the configuration.
        randomness: Source of the random choices of processes, signals and rates.
        order_tasks: Tasks that send changes of the configuration.
    """

    def __init__(
        self, plan: shape.SoakShape, processes: fleet.Fleet, operator: operator_client.Operator
    ) -> None:
        self.plan = plan
        self.fleet = processes
        self.operator = operator
        self.randomness = random.Random(f"{plan.seed} targets")
        self.order_tasks: list[asyncio.Task[bool]] = []

    async def run(self) -> None:
        """Carry out each step at its time, then wait for the changes of the configuration."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        for step in sorted(plan_steps(self.plan) + plan_series(self.plan)):
            await asyncio.sleep(max(0.0, started + step.at_seconds - loop.time()))
            self.carry_out(step.action)
        await asyncio.gather(*self.order_tasks)

    def carry_out(self, action: Action) -> None:
        """Carry out one action; a stop is skipped while too many processes of the same role are stopping."""
        match action:
            case Action.STOP_EDGE:
                # At least half of the edges keep running, as in a rolling restart.
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
        """Return the processes of a role that were sent SIGTERM and have not been started again."""
        names = [address.name for address in self.fleet.with_role(role)]
        return [name for name in names if (name, self.fleet.start_counts[name]) in self.fleet.records.stops]

    def stop_process(self, role: str, max_stopping: int) -> None:
        """Send SIGTERM to a random process of a role unless `max_stopping` others are already stopping."""
        stopping = self.stopping_processes(role)
        if len(stopping) >= max_stopping:
            return
        names = [address.name for address in self.fleet.with_role(role) if address.name not in stopping]
        if names:
            self.fleet.send_signal(self.randomness.choice(names), signal.SIGTERM)

    def signal_stopping_process(self) -> None:
        """Send SIGTERM or SIGHUP to an edge or holder that is already stopping, if there is one."""
        names = self.stopping_processes("direct") or self.stopping_processes("holder")
        if names:
            signal_number = self.randomness.choice((signal.SIGTERM, signal.SIGHUP))
            self.fleet.send_signal(self.randomness.choice(names), signal_number)
