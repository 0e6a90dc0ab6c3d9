"""The programs of deploy/system.toml, started as the platform starts them."""

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


def run_scenario(scenario, folder):
    async def run():
        async with deployed_programs.DeployedNetwork(folder) as network:
            await network.wait_until_serving()
            return await scenario(network)

    return asyncio.run(run())


def test_deployed_programs_serve_requests_changes_purges_evacuations_and_a_graceful_shutdown(tmp_path):
    async def scenario(network):
        # Requests of each kind get the response that the origin sealed, with the request id of the client.
        for path, method, body in (
            ("/objects/1", "GET", None),
            ("/reads/1?a=%20b", "GET", None),
            ("/writes/1", "POST", b"claim"),
        ):
            status, headers, content = await network.send_request(
                path, method, body, request_id="r-" + path[1:4]
            )
            assert status == 200, path
            assert upstream_emulator.has_valid_digest(deployed_programs.HEADER_NAMES, headers, content), path
            assert headers["Attempt-Id"] == "r-" + path[1:4]
        assert [run.target for run in network.origin_runs("app") if "?" in run.target] == ["/reads/1?a=%20b"]
        assert [run.body for run in network.origin_runs("app") if run.method == "POST"] == [b"claim"]
        status, headers, part = await network.send_request("/objects/1", request_id="r9", Range="bytes=5-9")
        assert status == 206
        assert len(part) == 5
        assert headers["Attempt-Id"] == "r9"
        assert (await network.send_request("/nowhere/1"))[0] == 404
        # A change, then an older version of it, which has no effect, then a removal; afterwards another node
        # returns the configuration without the route.
        network.version = 7
        change = {"put": {"routes": [network.route("later", "idempotent", "app")]}}
        assert await network.accepts(change, node=2)
        await network.wait_until(lambda: network.responds_with("/later/1", 200), 2)
        network.version = 5
        older_change = {"put": {"routes": [network.route("later", "idempotent", "app", prefix="/older/")]}}
        assert await network.accepts(older_change, node=3)
        assert await network.responds_with("/later/1", 200)
        assert await network.responds_with("/older/1", 404)
        assert await network.accepts({"drop": {"routes": [{"name": "later", "version": 8}]}}, node=3)
        await network.wait_until(lambda: network.responds_with("/later/1", 404), 2)
        configuration = (await network.call("GET", "/items", node=2))[1]
        assert {route["name"] for route in configuration["routes"]} == {"objects", "reads", "writes"}
        assert configuration["limits"]["body_bytes"] == 100000
        # Invalid changes are rejected as a whole, and leave the configuration as it was.
        for call in (
            b'{"put": {"rou',
            {"put": {"routes": [network.route("x", "idempotent", "nobody")]}},
            {"put": {"routes": [network.route("x", "idempotent", "app", timeout=0)]}},
            {"put": 7},
            {"put": {"routes": [network.route("x", "idempotent", "app", prefix="/reads/")]}},
        ):
            status, _ = await network.call("POST", "/amendments", call)
            assert 400 <= status < 500, call
        assert (await network.call("GET", "/items", node=3))[1] == configuration
        # After a purge by path or by tag, the version of the object from before it is not served any more.
        for purge in ({"host": deployed_programs.HOST, "path": "/objects/1"}, {"tag": "t-content"}):
            before = (await network.send_request("/objects/1"))[2]
            for origin in network.origins:
                origin.versions["/objects/1"] += 1
            assert (await network.send_request("/objects/1"))[2] == before
            assert (await network.call("POST", "/purges", purge))[0] == 200

            async def is_new(before=before):
                return (await network.send_request("/objects/1"))[2] != before

            await network.wait_until(is_new, 2)
        # The origins of an evacuated zone get no requests until the evacuation ends.
        assert (await network.call("PUT", "/sites/z1/evacuation"))[0] == 200
        await asyncio.sleep(0.6)
        evacuated_origin = next(origin for origin in network.origins if origin.instance == "i-app1")
        arrivals_before = evacuated_origin.arrivals
        for number in range(30):
            assert (await network.send_request(f"/reads/{number}"))[0] == 200
        assert evacuated_origin.arrivals == arrivals_before
        assert (await network.call("DELETE", "/sites/z1/evacuation"))[0] == 200

        async def is_back():
            await network.send_request("/reads/1")
            return evacuated_origin.arrivals > arrivals_before

        await network.wait_until(is_back, 10)
        # Settings are reloaded on SIGHUP; invalid ones are reported, and the process runs on.
        settings_file = pathlib.Path(network.folder) / "edge-1.toml"
        valid_content = settings_file.read_text()
        for file_content in ("internal_ports = 7\n", "ip = ", valid_content):
            settings_file.write_text(file_content)
            network.processes["edge-1"].send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
        assert network.processes["edge-1"].returncode is None
        assert await network.readiness_status() == 200
        # Graceful shutdown: the node first reports that it is not ready, and answers requests in flight.
        for origin in network.origins:
            origin.faults["slow"] = 1.5
        pending_request = asyncio.create_task(network.send_request("/writes/2", "POST", b"last"))
        await asyncio.sleep(0.2)
        shutdown = asyncio.create_task(network.terminate("edge-1"))

        async def is_leaving():
            return await network.readiness_status() == 503

        await network.wait_until(is_leaving, 2)
        status, headers, content = await pending_request
        assert status == 200
        assert upstream_emulator.has_valid_digest(deployed_programs.HEADER_NAMES, headers, content)
        assert await shutdown == 0
        assert await network.terminate("shield-2") == 0

    run_scenario(scenario, tmp_path)


def test_malformed_requests_are_refused_by_the_limits_and_the_node_keeps_serving(tmp_path):
    async def send_raw(network, sent):
        """Send bytes on a new connection; return the status line of the response, or nothing."""
        reader, writer = await asyncio.open_connection("127.0.7.4", network.ports[2])
        writer.write(sent)
        try:
            async with asyncio.timeout(40):
                return (await reader.read(100)).split(b"\r\n")[0]
        finally:
            writer.close()

    async def scenario(network):
        head = f"Host: {deployed_programs.HOST}\r\nAttempt-Id: r1\r\n".encode()
        long_request = b"GET /reads/1 HTTP/1.1\r\n" + head + b"X-Long: " + b"x" * 9000 + b"\r\n\r\n"
        large_request = (
            b"POST /writes/1 HTTP/1.1\r\n" + head + b"Content-Length: 100001\r\n\r\n" + b"x" * 100001
        )
        incomplete_request = b"POST /writes/1 HTTP/1.1\r\n" + head + b"Content-Length: 10\r\n\r\nshort"
        assert b" 431 " in await send_raw(network, long_request)
        assert b" 413 " in await send_raw(network, large_request)
        assert b" 400 " in await send_raw(network, b"\x00\x01\x02 nonsense\r\n\r\n")
        # A request whose body stays incomplete is not sent to an origin, and an idle connection is closed.
        reader, writer = await asyncio.open_connection("127.0.7.4", network.ports[2])
        writer.write(incomplete_request)
        idle_response = await send_raw(network, b"")
        assert not idle_response or b" 408 " in idle_response
        writer.close()
        assert not [run for run in network.origin_runs("app") if run.method == "POST"]
        assert (await network.send_request("/reads/1"))[0] == 200
        assert network.processes["edge-1"].returncode is None

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("program", ["edge_node.py", "core_node.py"])
@pytest.mark.parametrize(
    ("content", "named"),
    [
        (None, deployed_programs.platform_settings.SETTINGS_FILE_VARIABLE),
        ("ip = ", "settings file"),
        ("ip = '127.0.0.1'\n", "internal_ports"),
        ("internal_ports = 7\n", "settings"),
    ],
)
def test_invalid_settings_are_named_in_a_line_each_and_exit_with_2(program, content, named, tmp_path):
    environment = {
        name: value
        for name, value in os.environ.items()
        if name != deployed_programs.platform_settings.SETTINGS_FILE_VARIABLE
    }
    if content is not None:
        (tmp_path / "local.toml").write_text(content)
        environment[deployed_programs.platform_settings.SETTINGS_FILE_VARIABLE] = str(tmp_path / "local.toml")
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


# Terms of the platform, which only the adapter in `platform` and the files in `deploy` may use.
PLATFORM_TERMS = re.compile(
    r"Attempt-Id|Time-Remaining|Answer-Seal|Target-Instance|Answering-Instance|Not-Executed|Object-Tags|"
    r"Cold-Remaining|IRISSTAND_CONFIG|instance_set|next_token|page_token|column_set|row_set|route_set|"
    r"service_set|"
    r"path_prefix|weighted_split|serving_regions|attempt_limit|cache_ttl|self_ref|term_set|bound_set|cloud_api|"
    r"listen_addrs|seed_nodes|internal_ports|configuration\.amend|evacuation\.begin",
    re.IGNORECASE,
)


def test_no_module_outside_the_adapter_names_the_platforms_terms():
    for path in sorted((deployed_programs.ROOT / "src").rglob("*.py")):
        assert not PLATFORM_TERMS.findall(path.read_text()), path


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
