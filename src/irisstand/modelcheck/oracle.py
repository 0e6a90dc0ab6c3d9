"""What must hold after every step, judged from outside: copies, disks, and what clients were told."""

import asyncio
import random
import typing

import ormsgpack

from irisstand import errors
from irisstand.modelcheck import node as nodes
from irisstand.simulator import memory_disk
from irisstand.state import items, quorum, replica, versions
from irisstand.state.storage import disk as disks
from irisstand.state.storage import durable_store

Content = dict[str, items.Item]


class Violation(Exception):
    """A rule is broken; the message says which, and the choices that led here are with the report."""


class Confirmed(typing.NamedTuple):
    order: typing.Any
    version: versions.Version
    rows: tuple[str, ...]
    moment: float


class Oracle:
    """`states` is the one chain of decided states, by version, worked out apart from any node."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.decided: dict[versions.Version, items.Batch] = {}
        self.states: dict[versions.Version, Content] = {versions.NONE: {}}
        self.confirmed: list[Confirmed] = []
        self.refused: list[typing.Any] = []
        self.buried: dict[str, dict[str, bytes]] = {}
        self.contents: dict[tuple, typing.Any] = {}

    def fail(self, text: str) -> None:
        self.faults.append(text)

    def raise_faults(self) -> None:
        if self.faults:
            raise Violation(self.faults[0])

    # -- what the nodes apply ----------------------------------------------------------------------------
    def watch(self, node: nodes.Node) -> None:
        copy = node.copy
        apply, confirm = copy.apply, copy.confirm_current

        def watched_apply(batch: items.Batch) -> None:
            self.decide(node.name, copy.applied, batch)
            apply(batch)

        def watched_confirm(moment: float) -> None:
            self.read(node.name, copy, moment)
            confirm(moment)

        copy.apply, copy.confirm_current = watched_apply, watched_confirm
        last = [copy.applied]
        copy.watchers.append(lambda: self.compare(node.name, copy, last))
        if copy.applied != versions.NONE:
            self.compare(node.name, copy, last)

    def decide(self, name: str, base: versions.Version, batch: items.Batch) -> None:
        if batch.base != base:
            self.fail(f"{name} applied {batch.version} on {base}, and it stands on {batch.base}")
        # As it looks on the wire, where a tuple and a list are the same.
        batch = items.decode_batch(ormsgpack.unpackb(ormsgpack.packb(items.encode_batch(batch))))
        known = self.decided.setdefault(batch.base, batch)
        if known != batch:
            self.fail(f"two batches on base {batch.base}: {known.version} and, at {name}, {batch.version}")
        if batch.version <= batch.base:
            self.fail(f"{batch.version} was applied on the higher {batch.base}")
        if batch.version not in self.states and batch.base in self.states:
            content = dict(self.states[batch.base])
            for key, value, forget in batch.rows:
                content.pop(key, None)
                if not forget:
                    content[key] = items.Item(key, batch.version, value)
            self.states[batch.version] = content

    def compare(self, name: str, copy: replica.Replica, last: list[versions.Version]) -> None:
        if copy.applied < last[0]:
            self.fail(f"{name} went back from {last[0]} to {copy.applied}")
        last[0] = copy.applied
        if copy.applied not in self.states:
            self.fail(f"{name} holds {copy.applied}, which was never decided")
        elif packed(copy.items) != packed(self.states[copy.applied]):
            self.fail(f"{name} holds other rows at {copy.applied} than were decided")

    # -- what clients are told ---------------------------------------------------------------------------
    def say_yes(self, world: typing.Any, node: nodes.Node, order: typing.Any, result: dict) -> None:
        moment = asyncio.get_running_loop().time()
        version, rows = versions.parse(result["serial"]), tuple(result["rows"])
        before = [entry for entry in self.confirmed if order.change and entry.order.change == order.change]
        if before and (before[0].version, before[0].rows) != (version, rows):
            self.fail(f"{order.change} was confirmed as {before[0].version} and as {version}")
        entry = Confirmed(order, version, rows, moment)
        self.confirmed.append(entry)
        if not any(self.holds(entry, state) for state in self.states.items()):
            self.fail(f"{order.change} was confirmed as {version}, and no decided state has its rows")
        if order.kind == "amend":
            self.check_contents(order, self.states[node.copy.applied])
        self.check_disks(world, version)

    def holds(self, entry: Confirmed, state: tuple[versions.Version, Content]) -> bool:
        """At the confirmed version or a later one, with its rows as they were or written over since.

        An order that changed nothing has no rows, and no state of its own.
        """
        applied, content = state
        if not entry.rows and not entry.order.change and entry.version not in self.states:
            return True
        record = content.get(f"~change/{entry.order.change}")
        if entry.order.change and (record is None or record.version != entry.version):
            return False
        rows = all(key in content and content[key].version >= entry.version for key in entry.rows)
        return applied >= entry.version and rows

    def check_contents(self, order: typing.Any, content: Content) -> None:
        """No two contents under one version, and a yes only for what is in force, or older than that."""
        for key, value in order.payload:
            known = self.contents.setdefault((key, value["version"]), value)
            if known != value:
                self.fail(f"two contents of {key} were confirmed under version {value['version']}")
            standing = content[key].value if key in content else None
            if standing is None or standing["version"] < value["version"]:
                self.fail(f"{key} was confirmed at version {value['version']} and is not in force")
            elif standing["version"] == value["version"] and standing != value:
                self.fail(f"{key} was confirmed at version {value['version']}, which has another content")

    def say_no(self, order: typing.Any, error: errors.IrisError) -> None:
        if not isinstance(error, errors.ChangeOutcomeUnknownError):
            self.refused.append(order)

    def read(self, name: str, copy: replica.Replica, moment: float) -> None:
        """A copy that counts as current as of a moment has all that was confirmed before it."""
        for entry in self.confirmed:
            if entry.moment < moment and not self.holds(entry, (copy.applied, dict(copy.items))):
                self.fail(f"{name} is called current at {copy.applied}, without confirmed {entry.version}")

    # -- disks -------------------------------------------------------------------------------------------
    def bury(self, node: nodes.Node) -> None:
        self.buried[node.core.store.identity] = dict(node.disk.files)

    def check_disks(self, world: typing.Any, version: versions.Version) -> None:
        """At a yes the synced disks of a majority hold the batch, in more than one site if there are more."""
        batch = next((batch for batch in self.decided.values() if batch.version == version), None)
        if batch is None or batch.base not in self.states:
            return
        disk_files = dict(self.buried)
        for node in world.nodes.values():
            if node.core is not None:
                disk_files[node.core.store.identity] = node.disk.files
        holding = {disk_id for disk_id, files in disk_files.items() if holds_on_disk(files, version)}
        for state in (self.states[batch.base], self.states[version]):
            voters = quorum.decode(state[items.VOTERS].value) if items.VOTERS in state else []
            found = [voter for voter in voters if voter.disk_id in holding]
            places = len({voter.site for voter in voters})
            if 2 * len(found) <= len(voters) and voters:
                self.fail(f"{version} was confirmed with {len(found)} of {len(voters)} disks holding it")
            elif places > 1 and len({voter.site for voter in found}) < 2:
                self.fail(f"{version} was confirmed and lies in one site alone")

    # -- the end -----------------------------------------------------------------------------------------
    def check_end(self, copies: list[replica.Replica], changes: list[str]) -> None:
        """Whole again: every node has all that was confirmed, and nothing that was refused."""
        for copy in copies:
            for entry in self.confirmed:
                if not self.holds(entry, (copy.applied, dict(copy.items))):
                    self.fail(f"{entry.order.change} was confirmed as {entry.version} and is lost")
            for order in self.refused:
                once = changes.count(order.change) == 1
                if once and order.change and f"~change/{order.change}" in copy.items:
                    self.fail(f"{order.change} was refused and is in force")


def packed(content: typing.Mapping[str, items.Item]) -> bytes:
    """Alike for a tuple and a list, as they are on the wire."""
    return ormsgpack.packb([items.encode(content[key]) for key in sorted(content)])


def holds_on_disk(files: dict[str, bytes], version: versions.Version) -> bool:
    """What a start from these files would find: the version applied or accepted."""
    store = durable_store.DurableStore(memory_disk.MemoryDisk(random.Random(1)), random.Random(1))
    store.load_table(nodes.TABLE, {name: disks.unseal(content) for name, content in files.items()})
    record = store.records.get(nodes.TABLE, durable_store.BLANK)
    is_pending = record.pending is not None and record.pending.version == version
    return record.applied >= version or is_pending
