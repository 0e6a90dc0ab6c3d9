"""The model's world: nodes, what is on its way between them, and what may be done with it next."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.modelcheck import events, founding, oracle, scenarios
from irisstand.modelcheck import node as nodes
from irisstand.state import items, quorum, versions

# Virtual seconds: one step; how far a wait goes on with nothing on its way; the longest run.
STEP, PAUSE, PAUSES, LONGEST = 1e-6, 0.05, 3, 60.0
ENDED = ("yes", "no", "unknown", "lost", "read")

Option = tuple[str, collections.abc.Callable[[], None]]


class World:
    def __init__(self, scenario: scenarios.Scenario) -> None:
        self.scenario = scenario
        self.randomness = random.Random(1)
        self.oracle = oracle.Oracle()
        self.graveyard: list = []
        self.pending: list[events.Event] = []
        self.late: list[events.Event] = []
        self.trace: list[str] = []
        self.faults_left = scenario.faults
        self.steps = list(scenario.steps)
        self.results: dict[int, str] = {}
        self.posted: set[int] = set()
        image = founding.image(scenario.sites)
        self.nodes = {
            name: nodes.Node(self, name, place, image.files[name])
            for name, place in zip(founding.NAMES, scenario.sites, strict=True)
        }
        self.oracle.decide("founding", image.batch.base, image.batch)

    def post(self, event: events.Event) -> None:
        self.pending.append(event)

    def open(self) -> None:
        for node in self.nodes.values():
            node.start()

    # -- clients -----------------------------------------------------------------------------------------
    def post_steps(self) -> None:
        for number, step in enumerate(self.steps):
            if number not in self.posted and (step.after is None or step.after in self.results):
                self.posted.add(number)
                begin = lambda number=number, step=step: self.begin(number, step)  # noqa: E731
                label = f"start {number} {step.kind}"
                self.post(events.Event(events.START, step.node, "client", label, begin))

    def begin(self, number: int, step: scenarios.Step) -> None:
        node = self.nodes[step.node]
        if not node.is_up:
            self.results[number] = "lost"
            return
        node.actor.start(self.work(number, step, node))

    async def work(self, number: int, step: scenarios.Step, node: nodes.Node) -> None:
        try:
            if step.kind == scenarios.READ:
                await node.check.beat()
                self.results[number] = "read"
                return
            order = step.order if step.kind == scenarios.ORDER else self.enrolment(step)
            try:
                result = await node.proposer.decide(order)
                self.oracle.say_yes(self, node, order, result)
                self.results[number] = "yes"
            except errors.IrisError as error:
                self.oracle.say_no(order, error)
                self.results[number] = (
                    "unknown" if isinstance(error, errors.ChangeOutcomeUnknownError) else "no"
                )
        except Exception as error:
            # A check that failed is tried again by its loop; here it is over.
            self.results.setdefault(number, "no")
            if not isinstance(error, errors.IrisError) and type(error).__name__ != "Lost":
                self.oracle.fail(f"{step.kind} at {node.name} crashed: {error!r}")

    def enrolment(self, step: scenarios.Step) -> orders.Order:
        newcomer = step.order.payload if step.order else "d"
        leaves = newcomer if step.order else self.scenario.leaves
        voter = self.nodes[newcomer].core.own_voter()
        return orders.Order("enrol-blueprint", "", (tuple(voter), leaves, 0))

    async def rejoin(self, node: nodes.Node) -> None:
        """A wiped voter learns the table and holds it durably before it asks to be voted in."""
        while not node.is_open:
            await asyncio.sleep(STEP)
        others = [other for other in founding.VOTERS if other != node.name]
        while node.copy.applied == versions.NONE:
            for other in others:
                with contextlib.suppress(errors.IrisError):
                    await node.core.replicator.pull((other, nodes.PORT), other, (nodes.TABLE,))
            await asyncio.sleep(PAUSE)
        await node.core.owners[nodes.TABLE].order("keep")
        node.is_new = False
        self.steps.append(scenarios.Step(scenarios.ENROL, others[0], orders.Order("", "", node.name)))

    # -- faults ------------------------------------------------------------------------------------------
    def crash(self, name: str, wiped: bool) -> None:
        node = self.nodes[name]
        self.faults_left -= 1
        self.pending = [e for e in self.pending if not (e.kind == events.SYNC and e.target == name)]
        self.late = [e for e in self.late if not (e.kind == events.SYNC and e.target == name)]
        node.wipe() if wiped else node.crash()
        for number, step in enumerate(self.steps):
            if step.node == name and number in self.posted and number not in self.results:
                if not any(e.label == f"start {number} {step.kind}" for e in self.pending + self.late):
                    self.results[number] = "lost"
        label = f"restart {name}"
        restart = lambda: self.restart(node)  # noqa: E731
        self.post(events.Event(events.RESTART, name, name, label, restart))

    def restart(self, node: nodes.Node) -> None:
        node.start()
        if node.is_new:
            node.actor.start(self.rejoin(node))

    # -- the scheduler's options -------------------------------------------------------------------------
    def options(self) -> list[Option]:
        """What may be done with the oldest event; the first is the default, each other one a deviation."""
        head = self.pending[0]
        found: list[Option] = [("deliver", lambda: self.deliver(0))]
        if not head.is_late:
            found.append(("hold", self.hold))
        if head.lose is not None:
            found += [("drop", self.drop), ("cut", lambda: self.cut(head.source))]
        if head.kind == events.ASK and not head.is_late:
            found += [("give up", self.give_up), ("double", self.double)]
        following = [n for n, event in enumerate(self.pending) if event.target == head.target]
        if len(following) > 1:
            found.append(("overtake", lambda: self.deliver(following[1])))
        if self.faults_left and not self.nodes[head.target].actor.dead and head.kind != events.START:
            found.append(("crash", lambda: self.crash(head.target, False)))
            if head.target in self.scenario.wiped:
                found.append(("wipe", lambda: self.crash(head.target, True)))
        return found

    def deliver(self, place: int) -> None:
        event = self.pending.pop(place)
        self.nodes[event.target].mark(event.label)
        event.run()

    def hold(self) -> None:
        """It comes when nothing else is left to come."""
        self.put_off(self.pending.pop(0))

    def put_off(self, event: events.Event) -> None:
        self.late.append(dataclasses.replace(event, is_late=True))

    def drop(self) -> None:
        self.pending.pop(0).lose()

    def cut(self, source: str) -> None:
        """Everything that this node has on its way to others is lost at once."""
        lost = [event for event in self.pending if event.source == source and event.lose is not None]
        self.pending = [event for event in self.pending if event not in lost]
        for event in lost:
            event.lose()

    def give_up(self) -> None:
        """Too late for its asker, and delivered all the same."""
        event = self.pending.pop(0)
        event.lose()
        self.put_off(event)

    def double(self) -> None:
        self.put_off(self.pending[0])
        self.deliver(0)

    # -- time --------------------------------------------------------------------------------------------
    async def settle(self) -> None:
        """Virtual time moves only when everybody waits, so after this everybody does."""
        await asyncio.sleep(STEP)
        self.oracle.raise_faults()
        self.post_steps()

    def is_finished(self) -> bool:
        is_quiet = not self.pending and not self.late and len(self.results) == len(self.steps)
        return is_quiet and not any(node.is_new for node in self.nodes.values())

    async def wait(self) -> None:
        """Nothing is on its way: timers run, and then what was held back comes."""
        for _ in range(PAUSES):
            await asyncio.sleep(PAUSE)
            self.post_steps()
            if self.pending:
                return
        if self.late:
            self.pending.append(self.late.pop(0))
        if asyncio.get_running_loop().time() > LONGEST:
            raise oracle.Violation(f"it does not end: {self.results}")

    def key(self) -> int:
        """Equal for two runs that can only go on alike."""
        on_the_way = (tuple((e.label, e.is_late) for e in self.pending), tuple(e.label for e in self.late))
        told = tuple(sorted(self.results.items()))
        histories = tuple(node.history for node in self.nodes.values())
        yes = tuple((entry.order.change, entry.version) for entry in self.oracle.confirmed)
        return hash((histories, on_the_way, told, self.faults_left, yes))

    def rest_key(self) -> int:
        """Equal for two runs that have come to rest alike: what is on disks, in copies, and was told."""
        told = tuple(sorted(self.results.items()))
        rest = [(node.core.store.records[nodes.TABLE], node.copy.root()) for node in self.nodes.values()]
        highest = tuple(node.proposer.highest for node in self.nodes.values())
        yes = tuple((entry.order.change, entry.version) for entry in self.oracle.confirmed)
        refused = tuple(order.change for order in self.oracle.refused)
        return hash(repr((rest, highest, told, yes, refused)))

    def last_voter(self) -> str:
        """The last of the newest voters whose disk is still the one that was voted in."""
        newest = max((node.copy for node in self.nodes.values()), key=lambda copy: copy.applied)
        voters = quorum.decode(newest.value(items.VOTERS))
        disk_ids = {node.core.store.identity for node in self.nodes.values()}
        return [voter.name for voter in voters if voter.disk_id in disk_ids][-1]
