"""A test harness for direct edges: one edge, its replicas, and origins whose responses the test chooses."""

import asyncio
import collections
import random

from irisstand import clocks, errors, node_context, node_settings
from irisstand.dataplane.nodes import direct
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import connection_history, exchange
from irisstand.membership import updates
from irisstand.simulator import virtual_time
from irisstand.state import items, versions

SETTINGS = node_settings.Settings(
    "edge-1",
    "m1",
    "north",
    "one",
    "10.0.0.1",
    7000,
    8000,
    [],
    role="direct",
    front=("10.0.0.1", 80),
    region_by_site="north=one,south=one,east=two",
    second_share=0.2,
    second_allowance=10,
    platform_lag=0.8,
    holder_edges=1,
)
UPSTREAM = {"name": "s", "version": 1, "cold_rate": 5.0, "connections": 50}
KINDS = {"objects": "cacheable", "reads": "idempotent", "writes": "non_idempotent"}


def complete_answer(request_id, body=b"whole", status=200, **extra_headers):
    headers = {"content-digest": "seal", "x-request-id": request_id}
    headers |= {name.replace("_", "-"): value for name, value in extra_headers.items()}
    return exchange.Answer(status, {k: v for k, v in headers.items() if v is not None}, body)


class ScriptedConnection:
    """A connection whose exchanges return or raise the result of `harness.respond(key, headers, body)`."""

    def __init__(self, harness, key):
        self.harness, self.key = harness, key
        self.is_open, self.may_have_sent = True, False
        self.history, self.local_port = connection_history.ConnectionHistory(), 0

    @property
    def is_used(self):
        return self.history.carried_count > 0

    def is_usable(self):
        return self.is_open

    def close(self):
        self.is_open = False

    async def send(self, method, target, headers, body, request_id):
        self.may_have_sent = True
        self.history.add(request_id)
        sent = dict(headers)
        self.harness.sent.append((self.key, method, target.decode(), sent, asyncio.get_running_loop().time()))
        outcome = self.harness.respond(self.key, sent, body)
        if asyncio.iscoroutine(outcome):
            try:
                outcome = await outcome
            except asyncio.CancelledError:
                # Like a real connection, it cannot be used again after an incomplete exchange.
                self.is_open = False
                raise
        if isinstance(outcome, Exception):
            self.is_open = False
            raise outcome
        return outcome


class DirectNodeHarness:
    """A direct node without a network: the test writes its replicas, `respond` answers for the origins."""

    def __init__(self, edges=1, settings=SETTINGS):
        self.context = node_context.NodeContext(
            settings, settings.role, clocks.LoopClock(), random.Random(7), None
        )
        self.context.drain_ending = asyncio.get_running_loop().create_future()
        self.context.transport.call = self.refuse_call
        self.version_counter = 1
        self.sent = []
        self.refused = set()
        self.connections = collections.Counter()
        self.respond = lambda key, headers, body: complete_answer(headers.get("x-request-id", ""))
        for number in range(2, edges + 1):
            self.add_member(f"edge-{number}", "direct")
        self.view = configuration_view.ConfigurationView(self.context)
        self.direct_node = direct.DirectNode(self.context, self.view, self.connect)
        for name, kind in KINDS.items():
            self.route(name, kind=kind)
        self.put(items.CONFIGURATION, "upstream/s", {"version": 1, "item": UPSTREAM})
        members = sorted(["edge-1", *(f"edge-{number}" for number in range(2, edges + 1))])
        self.put(items.LEDGER, "rate-parts", {"units": dict.fromkeys(members, 1000 // len(members))})
        for key in "ab":
            self.origin(key)
        self.confirm_current()

    async def refuse_call(self, address, name, kind, body, timeout_seconds):
        raise errors.NotSentError(name)

    def add_member(self, name, role, site="north", region="one"):
        node_info = updates.NodeInfo(role, f"m-{name}", site, region, f"10.0.1.{len(name)}", 7000, 8000)
        update = updates.Update(updates.MemberState.ALIVE, updates.Identity(name, "a"), 0, node_info)
        self.context.detector.apply_update(update)

    def confirm_current(self, for_seconds=1e6):
        for replica in self.context.replicas.values():
            replica.confirm_current(self.context.clock.now() + for_seconds)

    def put(self, table, key, value):
        replica = self.context.replicas[table]
        self.version_counter += 1
        replica.put(items.Item(key, versions.Version(self.version_counter, "n"), value))
        replica.applied = versions.Version(self.version_counter, "n")
        replica.notify_watchers()

    def route(self, name, **fields):
        item = {
            "name": name,
            "version": 1,
            "host": "h",
            "prefix": f"/{name}/",
            "timeout": 2.0,
            "target": 0.2,
            "attempts": 2,
            "cache_life": 10.0,
            "service": "s",
            **fields,
        }
        self.put(items.CONFIGURATION, f"route/{name}", {"version": self.version_counter, "item": item})

    def origin(self, key, site="north", state="ready", service="s", warmup=0, slots=2):
        row = {
            "service": service,
            "host": f"10.1.0.{ord(key)}",
            "port": 80,
            "site": site,
            "state": state,
            "warmup": warmup,
            "slots": slots,
        }
        self.put(items.LEDGER, f"origin/{key}", row)

    async def connect(self, host, port):
        key = chr(int(host.rpartition(".")[2]))
        self.connections[key] += 1
        if key in self.refused:
            raise ConnectionRefusedError(key)
        return ScriptedConnection(self, key)

    async def ask(self, path, method="GET", request_id="r1", body=b"", host="h", **headers):
        given = {"x-request-id": request_id, **{n.replace("_", "-"): v for n, v in headers.items()}}
        return await self.direct_node.handle(direct.Request(method, path.encode(), host, given, body))

    def instances_asked(self):
        return [sent[0] for sent in self.sent]


def run_scenario(scenario, **fields):
    """Run `scenario(harness)` in virtual time, with a new `DirectNodeHarness`."""

    async def run():
        return await scenario(DirectNodeHarness(**fields))

    return virtual_time.run(run())
