"""Request smuggling: no byte of a request makes an origin or a client read a message that nobody sent."""

import asyncio
import collections
import itertools
import random
import typing

import pytest
import smuggling_places
import strict_edge

NUMBERS = itertools.count(1)
CONCURRENT_REQUESTS = 32
ANSWER_SECONDS = 30.0
UNCERTAIN_SECONDS = 1.5
FUZZ_WAIT_SECONDS = 1.5
FUZZ_SEEDS = 4
FUZZ_CONNECTIONS = 100
# Bytes that some parsers take for a line break, a blank or a delimiter.
FUZZ_PIECES = (
    b"\n",
    b"\r",
    b"\r\n",
    b"\n\n",
    b"\0",
    b"\t",
    b" ",
    b":",
    b";",
    b"\v",
    b"\f",
    b"\x1c",
    b"\x85",
    b"0",
)
LINE_ENDS = b"\n\r\0\v\f\x1c\x85"


class RequestResult(typing.NamedTuple):
    """A sent request with its response and its runs at the origin; `name` is unique to its path."""

    name: str
    sent: bytes
    answer: bytes
    runs: list

    @property
    def status(self):
        return int(self.answer.split(b" ")[1]) if self.answer else 0


async def ask(edge, request, data, seconds):
    """Send a place's request with `data` inserted at the place; wait at most `seconds` for the response."""
    name = f"r{next(NUMBERS)}x"
    sent = request.replace(b"ID", name.encode()).replace(b"@", data, 1)
    answer = await edge.send(sent, seconds=seconds)
    return RequestResult(name, sent, answer, [run for run in edge.origin.runs if name in run.target])


def is_smuggled(run):
    return run.target == "/writes/smuggled" or run.value("x-request-id") == "smuggled"


def count_status_lines(answer):
    """Return the number of responses that a client reads if it accepts CR or LF as a line break."""
    return (b"\n" + answer.replace(b"\r", b"\n")).count(b"\nHTTP/1.1 ")


def faults_of(place, byte, result):
    """Yield a message for each fault in the result of a request with one byte inserted at one place."""
    if byte not in place.accepted:
        if byte not in place.may_be_accepted and not (400 <= result.status < 500 and not result.runs):
            yield f"the malformed request ran {len(result.runs)} times and got status {result.status}"
    elif not 200 <= result.status < 300:
        yield f"the well-formed request got status {result.status}: {result.answer[-200:]!r}"
    if len(result.runs) > 1 and result.runs[0].method == "POST":
        yield "the write ran more than once"
    expected_id = (
        place.expected_id.replace(b"ID", result.name.encode()).replace(b"@", bytes([byte])).strip(b" \t")
    )
    if (
        expected_id
        and result.status == 200
        and b"x-request-id: " + expected_id + b"\r\n" not in result.answer
    ):
        yield f"the response does not bear the request's id: {result.answer}"
    for run in result.runs:
        yield from faults_of_run(place, byte, result, run)


def faults_of_run(place, byte, result, run):
    """Yield a message for each part of a request that the origin read differently from how it was sent."""
    method, target, _ = result.sent.split(b"\r\n")[0].decode("latin-1").split(" ")
    if (run.method, run.target) != (method, target):
        yield f"the origin ran the request as {run.method} {run.target}"
    if run.body and not b"hello".startswith(run.body):
        yield f"the origin ran the request with the body {run.body}"
    if place.value:
        value = place.value.replace(b"@", bytes([byte])).strip(b" \t").decode("latin-1")
        if run.value("x-note") != value:
            yield f"the origin read the header value {value!r} as {run.value('x-note')!r}"


async def ask_for_every_byte(edge, place, data_of):
    """Send a place's request once for each byte, with `data_of(byte)` inserted; return the results."""
    limit = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def send_byte(byte):
        # A byte that makes the content-length greater makes the node wait for more of the body.
        seconds = UNCERTAIN_SECONDS if byte in place.may_be_accepted else ANSWER_SECONDS
        async with limit:
            return await ask(edge, place.request, data_of(byte), seconds)

    return await asyncio.gather(*map(send_byte, range(256)))


@pytest.mark.parametrize("name", smuggling_places.ALL_PLACES)
def test_no_byte_in_any_place_changes_what_an_origin_runs(name):
    """Guards against UNASKED: a byte that an origin takes for the end of a line, and the edge does not."""
    place = smuggling_places.ALL_PLACES[name]
    write = smuggling_places.WRITE + b"Content-Length: 5\r\n" + smuggling_places.END + b"after"

    async def scenario(edge):
        results = await ask_for_every_byte(edge, place, lambda byte: bytes([byte]))
        faults = [
            f"{byte:#04x}: {fault}" for byte in range(256) for fault in faults_of(place, byte, results[byte])
        ]
        after = await ask(edge, write, b"", ANSWER_SECONDS)
        return faults, [run.body for run in after.runs]

    assert strict_edge.run_scenario(scenario) == ([], [b"after"])


@pytest.mark.parametrize("name", smuggling_places.ALL_PLACES)
def test_no_byte_lets_a_client_hide_a_request_inside_another(name):
    """Guards against UNASKED: a write inside a header value that an origin takes for a separate request."""
    place = smuggling_places.ALL_PLACES[name]

    async def scenario(edge):
        results = await ask_for_every_byte(edge, place, smuggling_places.smuggled_request)
        answers = [result.answer.replace(b"\r", b"\n") for result in results]
        split = [answer for answer in answers if count_status_lines(answer) > 1 or b"\nHost: h\n" in answer]
        return split, [run for run in edge.origin.runs if is_smuggled(run)]

    assert strict_edge.run_scenario(scenario) == ([], [])


@pytest.mark.parametrize("target", [b"reads/1", b"?", b"http://[/reads/1", b"/reads/1#a", b"/reads/\x01"])
def test_malformed_targets_are_answered(target):
    """Guards against LOST: a connection closed without a response when Sanic can't parse the target."""

    async def scenario(edge):
        return await edge.send(b"GET " + target + b" HTTP/1.1\r\nHost: h\r\n\r\n"), edge.origin.runs

    answer, runs = strict_edge.run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert runs == []


@pytest.mark.parametrize("path", [b"/reads/1", b"/objects/1", b"/writes/1"])
def test_a_client_cannot_name_the_instance_that_a_node_means(path):
    """Guards against a client that has an origin marked as down.

    An origin answers 421 to a request that names another instance, and the edge then marks it as down. So a
    client's own X-Expected-Instance header must not be forwarded.
    """

    async def scenario(edge):
        method = b"POST " if b"writes" in path else b"GET "
        lines = b" HTTP/1.1\r\nHost: h\r\nX-Expected-Instance: another\r\n" + smuggling_places.END
        answer = await edge.send(method + path + lines)
        named = [value for run in edge.origin.runs for name, value in run.headers if "instance" in name]
        return answer[:12], named

    answer, instances = strict_edge.run_scenario(scenario)
    assert answer == b"HTTP/1.1 200"
    assert instances in (["a"], ["b"])


def with_stray_bytes(rng, request):
    """Return a request with stray bytes, or with a smuggled request, inserted at random places."""
    for _ in range(rng.randint(0, 3)):
        at = rng.randrange(len(request))
        filler = rng.choice(
            (rng.choice(FUZZ_PIECES), smuggling_places.smuggled_request(rng.choice(LINE_ENDS)))
        )
        request = request[:at] + filler + request[at + rng.randint(0, 1) :]
    return request


@pytest.mark.parametrize("seed", range(FUZZ_SEEDS))
def test_fuzzed_requests_run_once_and_as_they_were_sent(seed):
    """Guards against UNASKED with stray bytes in several places and with pipelined requests."""
    rng = random.Random(seed)
    places = smuggling_places.ALL_PLACES.values()
    templates = [place.request.replace(b"@", b"").replace(b"close", b"keep-alive") for place in places]

    async def scenario(edge):
        method_by_name, limit = {}, asyncio.Semaphore(CONCURRENT_REQUESTS)

        async def one_connection():
            data = b""
            for _ in range(rng.randint(1, 4)):
                name = f"f{rng.getrandbits(40):010x}x"
                request = rng.choice(templates).replace(b"ID", name.encode())
                method_by_name[name] = request.split(b" ")[0].decode()
                data += with_stray_bytes(rng, request)
            async with limit:
                await edge.send(data, seconds=FUZZ_WAIT_SECONDS)

        await asyncio.gather(*(one_connection() for _ in range(FUZZ_CONNECTIONS)))
        return method_by_name, edge.origin.runs

    method_by_name, runs = strict_edge.run_scenario(scenario)
    assert [run for run in runs if is_smuggled(run)] == []
    named = [(name, run) for run in runs for name in method_by_name if name in run.target]
    assert [run for name, run in named if run.method != method_by_name[name]] == []
    writes = collections.Counter(name for name, run in named if run.method == "POST")
    assert [name for name, count in writes.items() if count > 1] == []
    assert len(named) > FUZZ_CONNECTIONS // 4
