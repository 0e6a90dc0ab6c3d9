"""The programs as operators and clients use them: settings, exit codes, HTTP statuses, on real sockets."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import types

import aiohttp
import click.testing
import pytest

import irisstand.commands
from irisstand import errors, node_settings
from irisstand.localcluster import processes

VALID_SETTINGS = {
    "name": "edge-1",
    "machine": "m",
    "site": "north",
    "region": "one",
    "host": "127.0.0.1",
    "port": 7000,
    "http_port": 8000,
    "seeds": "127.0.0.1:7001",
    "role": "edge",
}


def faults_of(**changed):
    with pytest.raises(errors.SettingsError) as raised:
        node_settings.check({**VALID_SETTINGS, **changed}, "dataplane")
    return raised.value.faults


def test_every_fault_of_the_settings_is_reported_with_key_value_and_remedy():
    assert node_settings.check(VALID_SETTINGS, "dataplane").seeds == [("127.0.0.1", 7001)]
    found = faults_of(port="x", host="example.org", role="oven", colour="red", seeds="1.1.1.1:1,b,c,d")
    assert len(found) == 5
    for key, value in (("port", "'x'"), ("host", "example.org"), ("role", "oven"), ("colour", "red")):
        assert any(fault.startswith(key) and value in fault and ";" in fault for fault in found), key
    assert faults_of(http_port=7000)[0].startswith("http_port")
    assert faults_of(freshness_bound=9)[0].startswith("freshness_bound")
    assert faults_of(role="agency")


def test_bad_settings_exit_2_and_flags_win_over_the_file(tmp_path):
    settings = tmp_path / "edge.toml"
    settings.write_text('name = "edge-1"\nport = 99999\n')
    command = [sys.executable, "-m", "irisstand.dataplane.program", "--settings", str(settings)]
    result = subprocess.run([*command, "--port", "7000"], capture_output=True, text=True)
    assert result.returncode == 2
    assert "port: 99999" not in result.stderr
    assert "machine: not set" in result.stderr
    result = subprocess.run(command, capture_output=True, text=True)
    assert result.returncode == 2
    assert "port: 99999 is not valid" in result.stderr
    for program in ("irisstand.dataplane.program", "irisstand.controlplane.program", "irisstand.commands"):
        for flag in ("--help", "--version"):
            assert subprocess.run([sys.executable, "-m", program, flag], capture_output=True).returncode == 0


def test_command_line_reports_errors_by_exit_code():
    runner = click.testing.CliRunner()
    assert runner.invoke(irisstand.commands.main, ["purge"]).exit_code == 2
    unused_port = processes.free_ports(1)[0]
    result = runner.invoke(irisstand.commands.main, ["rows", "get", "--core", f"127.0.0.1:{unused_port}"])
    assert result.exit_code == 7
    assert "--core" in result.output


@pytest.fixture(scope="module")
def running_cluster(tmp_path_factory):
    """A local cluster of one control plane node, one shield and one edge, as real processes."""
    folder = tmp_path_factory.mktemp("thin")
    cluster = processes.LocalCluster(processes.SHAPES["thin"], folder, processes.free_ports(1)[0])
    for name in ("agency-1", "shield-1", "edge-1"):
        cluster.start(name)

    async def wait():
        async with aiohttp.ClientSession() as session:
            await cluster.wait_until_ready(session, ["agency-1"])
            await cluster.wait_until_ready(session, ["shield-1", "edge-1"])

    asyncio.run(wait())
    yield cluster
    cluster.stop_all()


def call(cluster, name, method, path, body=None, raw=b"", headers=None):
    async def send_request():
        async with aiohttp.ClientSession() as session:
            content = {"data": raw} if raw else {"json": body}
            url = cluster.url(name) + path
            async with session.request(method, url, headers=headers, **content) as response:
                text = await response.text()
                status, response_headers = response.status, response.headers
                try:
                    content = json.loads(text)
                except ValueError:
                    content = text
                return types.SimpleNamespace(status=status, content=content, headers=response_headers)

    return asyncio.run(send_request())


def test_responses_to_bad_requests_at_the_edge(running_cluster):
    assert call(running_cluster, "edge-1", "GET", "/nowhere").status == 404
    assert call(running_cluster, "edge-1", "GET", "/nowhere").content["code"] == "unknown-path"
    assert call(running_cluster, "edge-1", "GET", "/a//b").status == 400
    assert call(running_cluster, "edge-1", "GET", "/a", headers={"x-long": "x" * 20000}).status == 431
    assert call(running_cluster, "edge-1", "POST", "/a", raw=b"x" * (5 * 1024 * 1024)).status == 413
    assert call(running_cluster, "edge-1", "GET", "/_irisstand/live").status == 200
    text = call(running_cluster, "edge-1", "GET", "/_irisstand/counters").content
    assert "# TYPE irisstand_frames_sent untyped" in text


def test_responses_to_good_and_bad_calls_of_operators(running_cluster):
    def change(rows, **fields):
        return call(running_cluster, "agency-1", "POST", "/changes", {"rows": rows, **fields})

    row = {"kind": "site", "name": "north", "value": {"weight": 2}}
    result = change([row], change="first")
    assert result.status == 200
    assert result.content["confirmed"]
    assert result.content["change"] == "first"
    assert change([row], change="first").content["serial"] == result.content["serial"]
    table = call(running_cluster, "agency-1", "GET", "/rows").content
    assert table["rows"] == [{**row, "serial": result.content["serial"]}]
    stale_row = change([{**row, "expected": "1@nobody"}])
    assert stale_row.status == 409
    assert stale_row.content["conflicts"][0]["in_force"] == result.content["serial"]
    invalid_rows = change([{**row, "value": {"weight": "heavy"}}, {"kind": "oven", "name": "x", "value": {}}])
    assert invalid_rows.status == 422
    assert [fault["row"] for fault in invalid_rows.content["faults"]] == [0, 1]
    assert change([{**row, "colour": 1}]).status == 422
    assert change("x").status == 400
    assert call(running_cluster, "agency-1", "POST", "/changes", raw=b"{").status == 400
    assert call(running_cluster, "agency-1", "POST", "/changes", raw=b"[" * 100000).status == 400
    assert call(running_cluster, "agency-1", "POST", "/changes", raw=b"x" * (5 * 1024 * 1024)).status == 413
    unknown_site = call(running_cluster, "agency-1", "PUT", "/sites/atlantis/evacuation")
    assert unknown_site.status == 404
    assert "north" in unknown_site.content["remedy"]
    refused_evacuation = call(running_cluster, "agency-1", "PUT", "/sites/north/evacuation")
    assert refused_evacuation.status == 409
    assert refused_evacuation.content["figures"]["shield"]["machines_left"] == 0
    insisted_evacuation = call(running_cluster, "agency-1", "PUT", "/sites/north/evacuation?insist=true")
    assert insisted_evacuation.status == 200
    assert "no majority" in insisted_evacuation.content["notes"][-1]
    assert call(running_cluster, "agency-1", "PUT", "/sites/north/evacuation").status == 200
    assert call(running_cluster, "agency-1", "DELETE", "/sites/north/evacuation").status == 200
    assert call(running_cluster, "agency-1", "POST", "/purges", {"paths": ["no-slash"]}).status == 400
    assert call(running_cluster, "agency-1", "POST", "/purges", {"tags": ["a"]}).status == 200
    taken_id = change([{**row, "value": {"weight": 3}}], change="first")
    assert taken_id.status == 409
    assert taken_id.content["code"] == "change-id-taken"
    limits = {"put": {"limits": {"version": 3, "idle": 5}}}
    for repeated_limits in (limits, {"put": {"limits": {"idle": 5.0, "version": 3.0, "note": None}}}):
        assert call(running_cluster, "agency-1", "POST", "/amendments", repeated_limits).status == 200
    limits["put"]["limits"]["idle"] = 6
    version_conflict = call(running_cluster, "agency-1", "POST", "/amendments", limits)
    assert version_conflict.status == 409
    assert version_conflict.content["conflicts"][0]["item"] == "limits/all"
    for response in (stale_row, invalid_rows, unknown_site, refused_evacuation, taken_id, version_conflict):
        assert response.content["code"]
        assert response.content["remedy"]
    names = {
        member["name"] for member in call(running_cluster, "agency-1", "GET", "/members").content["members"]
    }
    assert names == {"agency-1", "shield-1", "edge-1"}


def test_sigterm_drains_writes_the_event_log_and_exits_0(running_cluster):
    running_cluster.kill("edge-1", signal.SIGTERM)
    assert running_cluster.processes["edge-1"].wait(20) == 0
    assert '"ring": "SIGTERM"' in (running_cluster.folder / "edge-1.log").read_text()


def test_taken_port_ends_the_start_with_a_remedy(running_cluster):
    place = running_cluster.placements["shield-1"]
    settings = [
        f"--{key.replace('_', '-')}={value}" for key, value in VALID_SETTINGS.items() if "port" not in key
    ]
    ports = [f"--port={processes.free_ports(1)[0]}", f"--http-port={place.http_port}"]
    command = [sys.executable, "-m", "irisstand.dataplane.program", *settings, *ports]
    result = subprocess.run(command, capture_output=True, text=True, env=os.environ)
    assert result.returncode == 2
    assert "free the port" in result.stderr
