"""The programs of the deploy file, as the platform starts them."""

import asyncio
import os
import pathlib
import re
import signal
import subprocess
import sys

import deployed_programs
import pytest

from irisstand.emulators import upstream_emulator


def play(scene, folder):
    async def whole():
        async with deployed_programs.Fleet(folder) as fleet:
            await fleet.founded()
            return await scene(fleet)

    return asyncio.run(whole())


def test_deployed_programs_serve_requests_changes_purges_evacuations_and_a_graceful_shutdown(tmp_path):
    async def scene(fleet):
        # Requests of each kind; what comes back is what the origin sealed, under the asker's own id.
        for path, method, body in (
            ("/objects/1", "GET", None),
            ("/reads/1?a=%20b", "GET", None),
            ("/writes/1", "POST", b"claim"),
        ):
            status, headers, content = await fleet.ask(path, method, body, request_id="r-" + path[1:4])
            assert status == 200, path
            assert upstream_emulator.has_valid_digest(deployed_programs.WORDS, headers, content), path
            assert headers["Attempt-Id"] == "r-" + path[1:4]
        assert [run.target for run in fleet.runs("app") if "?" in run.target] == ["/reads/1?a=%20b"]
        assert [run.body for run in fleet.runs("app") if run.method == "POST"] == [b"claim"]
        status, headers, part = await fleet.ask("/objects/1", request_id="r9", Range="bytes=5-9")
        assert status == 206
        assert len(part) == 5
        assert headers["Attempt-Id"] == "r9"
        assert (await fleet.ask("/nowhere/1"))[0] == 404
        # A change, an older one after it, a removal, and the table read back at another node.
        fleet.version = 7
        change = {"put": {"routes": [fleet.route("later", "idempotent", "app")]}}
        assert await fleet.took(change, node=2)
        await fleet.wait_until(lambda: fleet.answers("/later/1", 200), 2)
        fleet.version = 5
        old = {"put": {"routes": [fleet.route("later", "idempotent", "app", prefix="/older/")]}}
        assert await fleet.took(old, node=3)
        assert await fleet.answers("/later/1", 200)
        assert await fleet.answers("/older/1", 404)
        assert await fleet.took({"drop": {"routes": [{"name": "later", "version": 8}]}}, node=3)
        await fleet.wait_until(lambda: fleet.answers("/later/1", 404), 2)
        found = (await fleet.call("GET", "/items", node=2))[1]
        assert {route["name"] for route in found["routes"]} == {"objects", "reads", "writes"}
        assert found["limits"]["body_bytes"] == 100000
        # Invalid calls are refused whole, and change nothing.
        for call in (
            b'{"put": {"rou',
            {"put": {"routes": [fleet.route("x", "idempotent", "nobody")]}},
            {"put": {"routes": [fleet.route("x", "idempotent", "app", timeout=0)]}},
            {"put": 7},
            {"put": {"routes": [fleet.route("x", "idempotent", "app", prefix="/reads/")]}},
        ):
            status, _ = await fleet.call("POST", "/amendments", call)
            assert 400 <= status < 500, call
        assert (await fleet.call("GET", "/items", node=3))[1] == found
        # Purges by path and by tag: what was changed before them is not given out after.
        for purge in ({"host": deployed_programs.HOST, "path": "/objects/1"}, {"tag": "t-content"}):
            before = (await fleet.ask("/objects/1"))[2]
            for origin in fleet.origins:
                origin.versions["/objects/1"] += 1
            assert (await fleet.ask("/objects/1"))[2] == before
            assert (await fleet.call("POST", "/purges", purge))[0] == 200

            async def is_new(before=before):
                return (await fleet.ask("/objects/1"))[2] != before

            await fleet.wait_until(is_new, 2)
        # An evacuated zone's origins get nothing, and something again after its end.
        assert (await fleet.call("PUT", "/sites/z1/evacuation"))[0] == 200
        await asyncio.sleep(0.6)
        away = next(o for o in fleet.origins if o.instance == "i-app1")
        count = away.arrivals
        for number in range(30):
            assert (await fleet.ask(f"/reads/{number}"))[0] == 200
        assert away.arrivals == count
        assert (await fleet.call("DELETE", "/sites/z1/evacuation"))[0] == 200

        async def is_back():
            await fleet.ask("/reads/1")
            return away.arrivals > count

        await fleet.wait_until(is_back, 10)
        # Settings that change are taken up without an end; what cannot change is told.
        settings = pathlib.Path(fleet.folder) / "edge-1.toml"
        kept = settings.read_text()
        for spoilt in ("internal_ports = 7\n", "ip = ", kept):
            settings.write_text(spoilt)
            fleet.processes["edge-1"].send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
        assert fleet.processes["edge-1"].returncode is None
        assert await fleet.ready() == 200
        # A planned end: readiness goes first, and what is under way gets its answer.
        for origin in fleet.origins:
            origin.faults["slow"] = 1.5
        asking = asyncio.create_task(fleet.ask("/writes/2", "POST", b"last"))
        await asyncio.sleep(0.2)
        ending = asyncio.create_task(fleet.end("edge-1"))

        async def is_leaving():
            return await fleet.ready() == 503

        await fleet.wait_until(is_leaving, 2)
        status, headers, content = await asking
        assert status == 200
        assert upstream_emulator.has_valid_digest(deployed_programs.WORDS, headers, content)
        assert await ending == 0
        assert await fleet.end("shield-2") == 0

    play(scene, tmp_path)


def test_malformed_requests_are_refused_by_the_limits_and_the_node_keeps_serving(tmp_path):
    async def raw(fleet, sent):
        """The status line of what comes back on a connection of its own, or nothing."""
        reader, writer = await asyncio.open_connection("127.0.7.4", fleet.ports[2])
        writer.write(sent)
        try:
            async with asyncio.timeout(40):
                return (await reader.read(100)).split(b"\r\n")[0]
        finally:
            writer.close()

    async def scene(fleet):
        head = f"Host: {deployed_programs.HOST}\r\nAttempt-Id: r1\r\n".encode()
        long = b"GET /reads/1 HTTP/1.1\r\n" + head + b"X-Long: " + b"x" * 9000 + b"\r\n\r\n"
        large = b"POST /writes/1 HTTP/1.1\r\n" + head + b"Content-Length: 100001\r\n\r\n" + b"x" * 100001
        short = b"POST /writes/1 HTTP/1.1\r\n" + head + b"Content-Length: 10\r\n\r\nshort"
        assert b" 431 " in await raw(fleet, long)
        assert b" 413 " in await raw(fleet, large)
        assert b" 400 " in await raw(fleet, b"\x00\x01\x02 nonsense\r\n\r\n")
        # A body that never comes whole is never sent on, and whoever says nothing is not kept.
        reader, writer = await asyncio.open_connection("127.0.7.4", fleet.ports[2])
        writer.write(short)
        idle = await raw(fleet, b"")
        assert not idle or b" 408 " in idle
        writer.close()
        assert not [run for run in fleet.runs("app") if run.method == "POST"]
        assert (await fleet.ask("/reads/1"))[0] == 200
        assert fleet.processes["edge-1"].returncode is None

    play(scene, tmp_path)


@pytest.mark.parametrize("program", ["edge_node.py", "core_node.py"])
@pytest.mark.parametrize(
    ("content", "named"),
    [
        (None, deployed_programs.platform_settings.VARIABLE),
        ("ip = ", "settings file"),
        ("ip = '127.0.0.1'\n", "internal_ports"),
        ("internal_ports = 7\n", "settings"),
    ],
)
def test_invalid_settings_are_named_in_a_line_each_and_exit_with_2(program, content, named, tmp_path):
    environment = {
        name: value
        for name, value in os.environ.items()
        if name != deployed_programs.platform_settings.VARIABLE
    }
    if content is not None:
        (tmp_path / "local.toml").write_text(content)
        environment[deployed_programs.platform_settings.VARIABLE] = str(tmp_path / "local.toml")
    done = subprocess.run(
        [sys.executable, f"platform/{program}"],
        cwd=deployed_programs.ROOT,
        env=environment,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert named in done.stderr
    assert ";" in done.stderr


# What only the platform says; the product has its own words for all of it.
PLATFORM = re.compile(
    r"Attempt-Id|Time-Remaining|Answer-Seal|Target-Instance|Answering-Instance|Not-Executed|Object-Tags|"
    r"Cold-Remaining|IRISSTAND_CONFIG|instance_set|next_token|page_token|column_set|row_set|route_set|"
    r"service_set|"
    r"path_prefix|weighted_split|serving_regions|attempt_limit|cache_ttl|self_ref|term_set|bound_set|cloud_api|"
    r"listen_addrs|seed_nodes|internal_ports|configuration\.amend|evacuation\.begin",
    re.IGNORECASE,
)


def test_no_module_outside_the_adapter_names_the_platforms_terms():
    for path in sorted((deployed_programs.ROOT / "src").rglob("*.py")):
        assert not PLATFORM.findall(path.read_text()), path


def test_adapter_is_below_its_size_limit_and_shadows_no_module():
    files = sorted((deployed_programs.ROOT / "platform").glob("*.py"))
    assert sum(len(path.read_text().splitlines()) for path in files) < 400
    names = {path.stem for path in files}
    own = {path.stem for path in (deployed_programs.ROOT / "src").rglob("*.py")}
    assert "__init__" not in names
    assert not names & (set(sys.stdlib_module_names) | own)
    deploy = pathlib.Path(deployed_programs.ROOT / "deploy")
    assert (deploy / "system.toml").is_file()
    assert (deploy / "wire.toml").is_file()
