"""Clients of the model, which submit orders, read, enrol voters, and record the result of each request."""

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import proposer
from irisstand.modelcheck import events, invariants, model_node, scenarios, scheduler

CLIENT = "client"
SPARE_NODE = "d"


class Clients:
    """Starts the client steps of a scenario and records how each step ended.

    Args:
        steps: The requests of the scenario's clients; more may be added during a run.
        replaced_voter: The name of the voter that the spare node replaces.
        event_scheduler: The scheduler that decides when each step starts.
        checker: The checker of the results that clients receive.
        nodes: The nodes of the cluster by name.
    """

    def __init__(
        self,
        steps: tuple[scenarios.ClientStep, ...],
        replaced_voter: str,
        event_scheduler: scheduler.Scheduler,
        checker: invariants.InvariantChecker,
        nodes: dict[str, model_node.ModelNode],
    ) -> None:
        self.steps = list(steps)
        self.replaced_voter = replaced_voter
        self.scheduler = event_scheduler
        self.checker = checker
        self.nodes = nodes
        self.results: dict[int, scenarios.StepResult] = {}
        self.posted_steps: set[int] = set()

    def add(self, step: scenarios.ClientStep) -> int:
        """Add a client step and return its number, which is its index in `steps`."""
        self.steps.append(step)
        return len(self.steps) - 1

    def are_done(self) -> bool:
        """Return whether every client step has a result."""
        return len(self.results) == len(self.steps)

    def ordered_results(self) -> list[scenarios.StepResult]:
        """Return the results of the finished client steps, in the order of the steps."""
        return [self.results[number] for number in sorted(self.results)]

    def results_text(self) -> str:
        """Return the results by step number as text for messages."""
        return str({number: result.value for number, result in self.results.items()})

    def change_ids(self) -> list[str]:
        """Return the change ids of all orders that clients submit, in the order of the steps."""
        return [step.order.change for step in self.steps if step.order is not None]

    def post_ready_steps(self) -> None:
        """Post the start event of each client step that has no predecessor, or one with a result."""
        for number, step in enumerate(self.steps):
            if number not in self.posted_steps and (step.after is None or step.after in self.results):
                self.posted_steps.add(number)
                self.post_start(number, step)

    def post_start(self, number: int, step: scenarios.ClientStep) -> None:
        """Post the event that starts a client step."""

        def start() -> None:
            self.start(number, step)

        label = start_label(number, step)
        self.scheduler.post(events.Event(events.EventKind.START, step.node, CLIENT, label, start))

    def start(self, number: int, step: scenarios.ClientStep) -> None:
        """Run a client step at its node, or record the step as lost if the node is down."""
        node = self.nodes[step.node]
        if node.is_up:
            node.actor.start(self.run(number, step, node))
        else:
            self.results[number] = scenarios.StepResult.LOST

    async def run(self, number: int, step: scenarios.ClientStep, node: model_node.ModelNode) -> None:
        """Run a client step in the node's process and record its result.

        An exception that the node should not raise is recorded as a violation.
        """
        try:
            if step.kind is scenarios.StepKind.READ:
                await node.heartbeat.run_round()
                self.results[number] = scenarios.StepResult.READ
            else:
                await self.submit(number, self.order_of(step), node)
        except (errors.IrisError, proposer.BallotLostError):
            # In production, the heartbeat loop retries a failed round; a step of the model runs only one.
            self.results.setdefault(number, scenarios.StepResult.FAILED)
        except Exception as error:
            # Any other exception is a bug in the code under test.
            self.results.setdefault(number, scenarios.StepResult.FAILED)
            self.checker.fail(f"client step {step.kind} at {node.name} raised an unexpected {error!r}")

    async def submit(self, number: int, order: orders.Order, node: model_node.ModelNode) -> None:
        """Submit an order to the node's proposer, then check and record the result for the client."""
        try:
            result = await node.proposer.submit(order)
        except errors.IrisError as error:
            self.checker.on_refused(order, error)
            is_unknown = isinstance(error, errors.ChangeOutcomeUnknownError)
            self.results[number] = scenarios.StepResult.UNKNOWN if is_unknown else scenarios.StepResult.FAILED
            return
        disks = model_node.disk_files(self.nodes.values())
        self.checker.on_confirmed(order, result, node.table_replica.applied, disks)
        self.results[number] = scenarios.StepResult.CONFIRMED

    def order_of(self, step: scenarios.ClientStep) -> orders.Order:
        """Return the order of a client step.

        The order of an enrolment is built at this point, from the current disk id of the joining node.
        """
        if step.order is not None:
            return step.order
        joining_node = step.joining_node or SPARE_NODE
        voter = self.nodes[joining_node].participant.own_voter()
        return orders.Order(
            "enrol-blueprint", "", (tuple(voter), step.joining_node or self.replaced_voter, 0)
        )

    def mark_lost_steps(self, node: str) -> None:
        """Record the client steps that were running at a crashed node as lost."""
        for number, step in enumerate(self.steps):
            is_running = step.node == node and number in self.posted_steps and number not in self.results
            if is_running and not self.scheduler.has_event(start_label(number, step)):
                self.results[number] = scenarios.StepResult.LOST


def start_label(number: int, step: scenarios.ClientStep) -> str:
    """Return the label of the event that starts a client step."""
    return f"start {number} {step.kind}"
