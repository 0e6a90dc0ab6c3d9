"""An edge that reaches origins by itself: objects through its cache, everything else one exchange at a
time."""

import asyncio
import typing

from irisstand import blackboard, errors
from irisstand.noticeboard import cache, decisions, exchange, objects, ranges, routes, targets, trying, views
from irisstand.noticeboard import vocabulary as vocabularies
from irisstand.shortlist import budget as budgets

# Of the fleet's second tries, what the edges use together.
USED = 0.8
# A word about a single connection; the rest of a request goes on as it came.
HOP = frozenset(("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
"upgrade",
                 "content-length", "host", "expect"))  # fmt: skip
# What must not reach an origin when the whole object is wanted for all.
CONDITIONS = frozenset(("range", "if-range", "if-none-match", "if-modified-since", "if-match",
                        "if-unmodified-since", "accept-encoding"))  # fmt: skip
# These say that the request has not run; from an origin that did not say so they would be a false promise.
PROMISES = (408, 421, 429, 503)


class Request(typing.NamedTuple):
    """Header names in lower case; `target` is the path and query as they came."""

    method: str
    target: bytes
    host: str
    headers: dict[str, str]
    body: bytes


class Direct:
    def __init__(self, board: blackboard.Board, view: views.Views, connect: exchange.Connect) -> None:
        self.board, self.view = board, view
        self.words = vocabularies.REGISTRY[board.boot.vocabulary]
        self.table = routes.Routes(board)
        self.targets = targets.Targets(board, view, self.table, self.words, connect)
        self.cache = cache.Cache(board.boot.cache_bytes)
        self.collapse = cache.Collapse()
        self.budgets: dict[str, budgets.Budget] = {}
        self.attempts: set[asyncio.Task] = set()

    async def run(self) -> None:
        await self.targets.run()

    async def handle(self, request: Request) -> exchange.Answer:
        """The answer for the consumer, or a typed error. A request is decided by one version of its route."""
        self.view.check_current()
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = self.table.match(request.host, path)
        self.board.counters.add("requests", route=route.name)
        remaining = self.remaining(request, route)
        if route.is_cacheable and request.method == "GET":
            return await self.read(route, request, path, remaining)
        service = routes.pick_service(route, request.headers.get(self.words.request_id, path))
        headers = [(name, value) for name, value in request.headers.items() if name not in HOP]
        with self.board.working():
            return await self.converse(route, service, request, headers, remaining)

    def remaining(self, request: Request, route: routes.Route) -> float:
        given = request.headers.get(self.words.remaining, "")
        return min(route.timeout, int(given) / 1000) if given.isdigit() else route.timeout

    # -- objects -------------------------------------------------------------------------------------
    async def read(
        self, route: routes.Route, request: Request, path: str, remaining: float
    ) -> exchange.Answer:
        target = request.target.decode("latin-1")
        service = routes.pick_service(route, target)
        key = f"{service} {request.host}{target}"
        place = f"{request.host}{path}"
        deadline = self.board.clock.now() + remaining
        floor = self.view.purged_at(place, ())
        found = self.cache.get(key)
        if found is not None:
            # The row's own life, should it have been shortened since.
            found = found._replace(life=min(found.life, route.cache_life))
            if decisions.is_usable(found, place, self.view, floor, self.board.clock.now()):
                self.board.counters.add("cache", at="edge", result="hit")
                return self.give(request, found)
        self.board.counters.add("cache", at="edge", result="miss")
        while True:
            left = deadline - self.board.clock.now()
            fetch = self.collapse.share(
                (key, floor), lambda left=left: self.fetch(route, service, request, key, left)
            )
            try:
                async with asyncio.timeout(max(0.01, left)):
                    thing = await fetch
            except TimeoutError:
                raise errors.DeadlinePassed("no origin gave a whole answer in time") from None
            if thing.life <= 0 or decisions.is_fit(thing, place, self.view, self.board.clock.now()):
                return self.give(request, thing)
            # Struck by a purge while it was under way: fetched again, within the one deadline.
            floor = max(floor, self.view.purged_at(place, thing.tags))
            if deadline - self.board.clock.now() < 0.02:
                raise errors.DeadlinePassed("no answer was still good by the time that it came")

    async def fetch(
        self, route: routes.Route, service: str, request: Request, key: str, remaining: float
    ) -> objects.Object:
        """The whole object, for all who ask for it or a part of it."""
        headers = [(n, v) for n, v in request.headers.items() if n not in HOP and n not in CONDITIONS]
        # What has outlived its life, or was struck by a purge, may still be the newest there is: then only
        # a word of that comes back, and no bytes.
        known = self.cache.get(key)
        known_tag = dict(known.headers).get("etag") if known is not None else None
        if known_tag:
            headers.append(("if-none-match", known_tag))
        tip, asked_at = self.board.ledger.tip, self.board.clock.now()
        with self.board.working():
            answer = await self.converse(route, service, request, headers, remaining)
        if answer.status == 304 and known_tag:
            self.board.counters.add("cache", at="edge", result="revalidated")
            same = known._replace(tip=tip, age=0.0, at=asked_at, life=route.cache_life)
            self.cache.put(key, same)
            return same
        kept = tuple((n, v) for n, v in answer.headers.items() if n != self.words.request_id)
        tags = vocabularies.split_tags(self.words, answer.headers.get(self.words.tags, ""))
        shared = answer.status == 200 and "set-cookie" not in answer.headers
        life = route.cache_life if shared else 0.0
        thing = objects.Object(answer.status, kept, answer.body, tip, 0.0, asked_at, life, tags)
        if life > 0:
            self.cache.put(key, thing)
        return thing

    def give(self, request: Request, thing: objects.Object) -> exchange.Answer:
        # This node may have been paused or cut off while the answer was on its way.
        self.view.check_current()
        headers = dict(thing.headers)
        if self.words.request_id in request.headers:
            headers[self.words.request_id] = request.headers[self.words.request_id]
        whole = exchange.Answer(thing.status, headers, thing.body)
        return ranges.apply(whole, request.headers) if thing.status == 200 else whole

    # -- towards origins -----------------------------------------------------------------------------
    def budget(self, service: str) -> budgets.Budget:
        """This edge's part of the second tries that the service may get from all."""
        boot = self.board.boot
        if service not in self.budgets:
            self.budgets[service] = budgets.Budget(self.board.clock, USED * boot.second_share, 0)
        found = self.budgets[service]
        found.allowance = USED * boot.second_allowance / len(self.targets.edges())
        return found

    async def converse(
        self, route: routes.Route, service: str, request: Request, headers: list[tuple[str, str]],
        remaining: float,
    ) -> exchange.Answer:  # fmt: skip
        decision = trying.for_route(self.board.clock, route, remaining, self.budget(service))
        running: set[asyncio.Task] = set()
        tried: set[str] = set()
        action = decision.ask(("started",))
        while True:
            if action[0] == "answer":
                return action[1]
            if action[0] == "reject":
                self.board.counters.add("rejected", code=action[1].code)
                raise action[1]
            if action[0] == "send":
                happened = self.send(route, service, request, headers, decision, tried, running)
            else:
                happened = await self.next_of(running, action[1])
            action = decision.ask(happened)

    async def next_of(self, running: set[asyncio.Task], seconds: float) -> tuple:
        done, _ = await asyncio.wait(running, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        if not done:
            return ("silent",)
        task = done.pop()
        running.discard(task)
        return task.result()

    def send(
        self, route: routes.Route, service: str, request: Request, headers: list[tuple[str, str]],
        decision: trying.Trying, tried: set[str], running: set[asyncio.Task],
    ) -> tuple:  # fmt: skip
        upstream = self.table.upstreams.get(service)
        try:
            # Time may have gone by since the route was read: what it allowed then may be withdrawn by now.
            self.view.check_current()
            if upstream is None or not self.table.still_allows(route, service):
                raise errors.StaleBlueprint("the route changed while the request waited", retry_after=0.05)
            target = self.targets.draw(route, upstream, tried)
            self.targets.enter(upstream)
        except errors.IrisError as error:
            return ("none", error)
        tried.add(target.instance)
        if target.is_cold():
            target.sent_cold.note()
        # An object is asked for a second time as this node's own reading of it, under no consumer's id: an
        # origin that failed under an id would fail under it again.
        anonymous = decision.sent > 0 and route.is_cacheable and request.method == "GET"
        task = asyncio.get_running_loop().create_task(
            self.attempt(target, request, headers, decision, anonymous)
        )
        # An attempt that nobody waits for any more goes on: its origin is at work on it.
        self.attempts.add(task)
        task.add_done_callback(self.attempts.discard)
        running.add(task)
        return ("sent", target.instance, target.usual)

    async def attempt(
        self, target: targets.Target, request: Request, headers: list[tuple[str, str]],
        decision: trying.Trying, anonymous: bool,
    ) -> tuple:  # fmt: skip
        """One try at one origin: ("answer", ...) or ("failed", error, instance, touched, arrived)."""
        number, answered = target.begin(), False
        line: exchange.Exchange | None = None
        try:
            line = await target.take(max(0.01, decision.remaining()))
            left = max(1, int(decision.remaining() * 1000))
            left_out = (self.words.remaining, self.words.request_id if anonymous else "")
            sent = [("host", request.host), *((n, v) for n, v in headers if n not in left_out)]
            sent += [(self.words.remaining, str(left)), (self.words.expected, target.instance)]
            request_id = "" if anonymous else request.headers.get(self.words.request_id, "")
            # The decision has its own deadline; this one is for what goes on after it.
            async with asyncio.timeout(decision.remaining() + 1.0):
                answer = await line.send(request.method, request.target, sent, request.body, request_id)
            answered = True
            return self.judge(target, answer, request_id)
        except (OSError, TimeoutError, ValueError, errors.IrisError) as error:
            touched = line is not None and line.touched
            known = error if isinstance(error, errors.IrisError) else decisions.kind_of(error)
            self.board.counters.add("origin_failures", service=target.origin.service, touched=str(touched))
            return ("failed", known, target.instance, touched, touched)
        finally:
            target.finish(number, answered)
            if line is not None:
                target.give_back(line)

    def judge(self, target: targets.Target, answer: exchange.Answer, request_id: str) -> tuple:
        """What an origin's whole answer means for the request."""
        words, instance = self.words, target.instance
        if answer.status == 421:
            # Another instance has the address: nothing more goes there until the list says so.
            target.fail("another instance answers")
            error = errors.NoOrigin(f"{instance} is not at its address any more", retry_after=0.2)
            return ("failed", error, instance, False, True)
        if words.not_run in answer.headers and answer.status in (*PROMISES, 400):
            target.full_until = self.board.clock.now() + 0.05
            error = errors.OverCeiling(f"{instance} did not run the request", retry_after=0.15)
            return ("failed", error, instance, False, True)
        if answer.status in PROMISES:
            error = errors.OriginFailed(f"{instance} answered {answer.status}, and may have run the request")
            return ("failed", error, instance, True, True)
        if request_id and answer.headers.get(words.request_id) != request_id:
            error = errors.UnsealedResult("the answer does not name the request")
            return ("failed", error, instance, True, True)
        if answer.status < 300 and words.seal not in answer.headers:
            return ("failed", errors.UnsealedResult("the answer bears no seal"), instance, True, True)
        return ("answer", answer, instance)


def connector(boot: typing.Any) -> exchange.Connect:
    return exchange.connector(vocabularies.REGISTRY[boot.vocabulary].request_id)


def part(board: blackboard.Board, view: views.Views, connect: typing.Any) -> Direct:
    return Direct(board, view, connect or connector(board.boot))
