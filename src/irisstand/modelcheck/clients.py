"""Clients of the model: they order, read and enrol voters at nodes, and note what they are told."""

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import proposer
from irisstand.modelcheck import events, invariants, model_node, scenarios, scheduler

CLIENT = "client"
SPARE_NODE = "d"


class Clients:
    """The steps of a scenario, and how each ended.

    Args:
        steps: What the scenario's clients do; more may be added during a run.
        leaves: The voter that the spare replaces.
        event_scheduler: Where the starts of steps are posted.
        checker: Checks what clients are told.
        nodes: The cluster's nodes by name.
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
        """Add a step and return its number."""
        self.steps.append(step)
        return len(self.steps) - 1

    def are_done(self) -> bool:
        """Return whether every step has a result."""
        return len(self.results) == len(self.steps)

    def ordered_results(self) -> list[scenarios.StepResult]:
        """Return the results in the order of the steps."""
        return [self.results[number] for number in sorted(self.results)]

    def results_text(self) -> str:
        """Return the results by step number, for messages."""
        return str({number: result.value for number, result in self.results.items()})

    def change_ids(self) -> list[str]:
        """Return the change ids of all orders."""
        return [step.order.change for step in self.steps if step.order is not None]

    def post_ready_steps(self) -> None:
        """Post the start of each step whose predecessor is over."""
        for number, step in enumerate(self.steps):
            if number not in self.posted_steps and (step.after is None or step.after in self.results):
                self.posted_steps.add(number)
                self.post_start(number, step)

    def post_start(self, number: int, step: scenarios.ClientStep) -> None:
        """Post the event that starts a step."""

        def start() -> None:
            self.start(number, step)

        label = start_label(number, step)
        self.scheduler.post(events.Event(events.EventKind.START, step.node, CLIENT, label, start))

    def start(self, number: int, step: scenarios.ClientStep) -> None:
        """Run a step at its node; one that is down loses it."""
        node = self.nodes[step.node]
        if node.is_up:
            node.actor.start(self.run(number, step, node))
        else:
            self.results[number] = scenarios.StepResult.LOST

    async def run(self, number: int, step: scenarios.ClientStep, node: model_node.ModelNode) -> None:
        """Run a step as the node, and note its result."""
        try:
            if step.kind is scenarios.StepKind.READ:
                await node.heartbeat.run_round()
                self.results[number] = scenarios.StepResult.READ
            else:
                await self.submit(number, self.order_of(step), node)
        except (errors.IrisError, proposer.BallotLostError):
            # A heartbeat that failed is tried again by its loop; here it is over.
            self.results.setdefault(number, scenarios.StepResult.FAILED)
        except Exception as error:
            # Whatever else is raised is a fault of the code under check.
            self.results.setdefault(number, scenarios.StepResult.FAILED)
            self.checker.fail(f"{step.kind} at {node.name} crashed: {error!r}")

    async def submit(self, number: int, order: orders.Order, node: model_node.ModelNode) -> None:
        """Have an order decided, and check what the client is told."""
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
        """Return the order of a step; an enrolment's is made from the newcomer's disk id of now."""
        if step.order is not None:
            return step.order
        joining_node = step.joining_node or SPARE_NODE
        voter = self.nodes[joining_node].participant.own_voter()
        return orders.Order(
            "enrol-blueprint", "", (tuple(voter), step.joining_node or self.replaced_voter, 0)
        )

    def mark_lost_steps(self, node: str) -> None:
        """Note the steps that were running at a node that crashed as lost."""
        for number, step in enumerate(self.steps):
            is_running = step.node == node and number in self.posted_steps and number not in self.results
            if is_running and not self.scheduler.has_event(start_label(number, step)):
                self.results[number] = scenarios.StepResult.LOST


def start_label(number: int, step: scenarios.ClientStep) -> str:
    """Return the label of the event that starts a step."""
    return f"start {number} {step.kind}"
