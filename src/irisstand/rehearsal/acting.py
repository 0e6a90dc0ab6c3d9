"""Stand-ins inside the simulator: origins behind lines in memory, a platform, consumers and operators."""

import asyncio
import contextvars
import json
import typing

from irisstand import errors
from irisstand.agency import orders
from irisstand.noticeboard import edge as edges
from irisstand.noticeboard import lines, objects
from irisstand.rehearsal import judge as judges
from irisstand.rehearsal import origin as origins


class SimulatedOrigin:
    def __init__(self, service: str, instance: str, site: str, records: origins.Records) -> None:
        self.service, self.instance, self.site, self.records = service, instance, site, records
        self.host, self.port = "", 9000
        self.state, self.warmup = "ready", 0.0
        self.up = True
        self.delay = 0.003
        self.faults: set[str] = set()
        self.started: list[tuple[float, str]] = []
        self.connections = 0

    def listing(self) -> dict[str, typing.Any]:
        return {
            "id": self.instance, "service": self.service, "host": self.host, "port": self.port,
            "site": self.site, "state": self.state, "warmup": self.warmup,
        }  # fmt: skip

    def answer(self, method: str, target: str, headers: dict[str, str], body: bytes) -> lines.Answer | None:
        """What the origin does, whoever is still there to hear it. None: the answer is lost."""
        if target == "/health":
            content = json.dumps({"service": self.service, "instance": self.instance}).encode()
            return 200, {"content-length": str(len(content))}, content
        self.started.append((asyncio.get_running_loop().time(), headers.get("X-Request-Id", "")))
        if method == "GET":
            now = asyncio.get_running_loop().time()
            content, tag = self.records.sealed_object(self.service, target, now)
        else:
            content, tag = self.records.execute(self.service, self.instance, body), ""
        kept = {
            "content-length": str(len(content)), "content-digest": objects.digest_header(content),
            "x-request-id": headers.get("X-Request-Id", ""), "content-type": "application/json",
        }  # fmt: skip
        if tag:
            kept["cache-tag"] = tag
        if "lose-answer" in self.faults:
            return None
        if "wrong-digest" in self.faults:
            kept["content-digest"] = objects.digest_header(content + b"!")
        if "no-seal" in self.faults:
            del kept["content-digest"]
        if "short" in self.faults:
            content = content[:-3]
        if "wrong-request" in self.faults:
            kept["x-request-id"] = "somebody-else"
        if "fails" in self.faults:
            return 500, kept, content
        return 200, kept, content


class SimulatedLine:
    """One connection: it breaks with its origin and is never opened again."""

    def __init__(self, stage: "Stage", host: str, address: tuple[str, int], origin: SimulatedOrigin) -> None:
        self.stage, self.host, self.address, self.origin = stage, host, address, origin
        self.alive, self.touched = True, False
        origin.connections += 1

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, patience: float
    ) -> lines.Answer:
        loop = asyncio.get_running_loop()
        # A kept connection that the other end has closed is known as such before anything is written.
        if not self.stage.reaches(self.origin, self.address):
            self.alive = False
            raise lines.Reopened("the connection was gone")
        self.touched = True
        future = loop.create_future()

        def arrive() -> None:
            if self.stage.world.wires.is_cut(self.host, self.address[0]):
                return
            answer = self.origin.answer(method, target, headers, body) if self.origin.up else None
            # A slow origin answers its probes as quickly as before.
            delay = 0.002 if target == "/health" else self.origin.delay
            loop.call_later(delay, back, answer, context=contextvars.Context())

        def back(answer: lines.Answer | None) -> None:
            if not future.done() and not self.stage.world.wires.is_cut(self.host, self.address[0]):
                if answer is None:
                    future.set_exception(ConnectionResetError("the origin closed the connection"))
                else:
                    future.set_result(answer)

        delay = self.stage.world.wires.delay(self.host, self.address[0])
        # In a context of its own: the origin runs on, whatever becomes of the process that asked.
        loop.call_later(delay, arrive, context=contextvars.Context())
        try:
            async with asyncio.timeout(patience):
                return await future
        except BaseException:
            self.alive = False
            raise

    async def close(self) -> None:
        self.alive = False


def line_opener(world: typing.Any, host: str) -> lines.Open:
    async def open_line(origin_host: str, port: int) -> lines.Line:
        await asyncio.sleep(world.wires.delay(host, origin_host))
        origin = world.stage.at.get((origin_host, port))
        if origin is None or not origin.up:
            raise ConnectionRefusedError(f"{origin_host}:{port}")
        return SimulatedLine(world.stage, host, (origin_host, port), origin)

    return open_line


class Stage:
    """Everything around the network under test."""

    def __init__(self, world: typing.Any) -> None:
        self.world = world
        self.records = origins.Records()
        self.judge = judges.Judge(self.records)
        self.origins: list[SimulatedOrigin] = []
        self.at: dict[tuple[str, int], SimulatedOrigin] = {}
        self.platform_up = True
        self.platform_says: bytes | None = None
        self.number = 0
        shape = world.shape
        counts = (("content", shape.content_origins), ("application", shape.application_origins))
        for service, count in counts:
            for index in range(count):
                site, region = shape.sites[index % len(shape.sites)]
                self.add_origin(service, f"{service}-{index + 1}", site, region)

    def add_origin(self, service: str, instance: str, site: str, region: str) -> SimulatedOrigin:
        origin = SimulatedOrigin(service, instance, site, self.records)
        origin.host = f"10.0.1.{len(self.at) + 1}"
        self.world.wires.regions[origin.host] = region
        self.origins.append(origin)
        self.at[(origin.host, origin.port)] = origin
        return origin

    def reaches(self, origin: SimulatedOrigin, address: tuple[str, int]) -> bool:
        return origin.up and self.at.get(address) is origin

    async def ask_platform(self) -> bytes:
        await asyncio.sleep(0.01)
        if not self.platform_up:
            raise ConnectionRefusedError("the platform is down")
        if self.platform_says is not None:
            return self.platform_says
        return json.dumps({"origins": [origin.listing() for origin in self.origins]}).encode()

    # -- operators -----------------------------------------------------------------------------------
    async def order(self, name: str, kind: str, payload: typing.Any, change: str = "") -> dict:
        self.number += 1
        order = orders.Order(kind, change or f"change-{self.number}", payload)
        node = self.world.nodes[name]
        return await node.do(node.body.submitter.submit(order), 8.0)

    # -- consumers -----------------------------------------------------------------------------------
    async def ask(self, edge: str, method: str, path: str, body: bytes = b"", **headers: str) -> tuple:
        """(status, code, result): what a consumer sees; status 0 if nothing came back."""
        node = self.world.nodes[edge]
        if not node.is_up:
            return 0, "no-answer", None
        given = {name.replace("_", "-"): value for name, value in headers.items()}
        request = edges.Request(method, path, "", given, body)
        try:
            result = await node.do(node.body.part.handle(request), 8.0)
            return result.status, "", result
        except errors.IrisError as error:
            return error.status, error.code, None
        except TimeoutError:
            return 0, "no-answer", None

    async def read(self, edge: str, service: str, path: str) -> int:
        # Some bear credentials, which takes another way through the edge.
        given = {"authorization": "Bearer me"} if self.number % 5 == 0 else {}
        self.number += 1
        status, code, result = await self.ask(edge, "GET", path, **given)
        if result is not None:
            now = asyncio.get_running_loop().time()
            self.judge.read(service, path, status, dict(result.headers), result.body, now)
        else:
            self.judge.results[f"read {status} {code}"] += 1
        return status

    async def write(self, edge: str, path: str = "/applications") -> tuple[str, int, str]:
        self.number += 1
        number = f"application-{self.number}"
        body = json.dumps({"number": number}).encode()
        status, code, _ = await self.ask(edge, "POST", path, body)
        self.judge.write(number, status, "outcome-unknown" if status == 0 else code)
        return number, status, code

    async def write_until_known(self, edges: list[str]) -> None:
        """A keyed write, sent again by other edges under the same key until its outcome is known."""
        self.number += 1
        number = f"keyed-{self.number}"
        body = json.dumps({"number": number}).encode()
        for edge in edges:
            status, code, _ = await self.ask(edge, "POST", "/applications", body, idempotency_key=number)
            self.judge.write(number, status, "outcome-unknown" if status == 0 else code)
            if status == 200:
                return
            await asyncio.sleep(0.5)
