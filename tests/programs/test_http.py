"""The programs as people and callers meet them: settings, statuses, real sockets."""

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

GOOD = {
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


def faults(**changed):
    with pytest.raises(errors.SettingsError) as raised:
        node_settings.check({**GOOD, **changed}, "dataplane")
    return raised.value.faults


def test_every_fault_of_the_settings_is_reported_with_key_value_and_remedy():
    assert node_settings.check(GOOD, "dataplane").seeds == [("127.0.0.1", 7001)]
    found = faults(port="x", host="example.org", role="oven", colour="red", seeds="1.1.1.1:1,b,c,d")
    assert len(found) == 5
    for key, value in (("port", "'x'"), ("host", "example.org"), ("role", "oven"), ("colour", "red")):
        assert any(fault.startswith(key) and value in fault and ";" in fault for fault in found), key
    assert faults(http_port=7000)[0].startswith("http_port")
    assert faults(freshness_bound=9)[0].startswith("freshness_bound")
    assert faults(role="agency")


def test_bad_settings_exit_2_and_flags_win_over_the_file(tmp_path):
    settings = tmp_path / "edge.toml"
    settings.write_text('name = "edge-1"\nport = 99999\n')
    command = [sys.executable, "-m", "irisstand.dataplane.program", "--settings", str(settings)]
    done = subprocess.run([*command, "--port", "7000"], capture_output=True, text=True)
    assert done.returncode == 2
    assert "port: 99999" not in done.stderr
    assert "machine: nothing is set" in done.stderr
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 2
    assert "port: 99999 does not do" in done.stderr
    for program in ("irisstand.dataplane.program", "irisstand.controlplane.program", "irisstand.commands"):
        for flag in ("--help", "--version"):
            assert subprocess.run([sys.executable, "-m", program, flag], capture_output=True).returncode == 0


def test_command_line_reports_errors_by_exit_code():
    runner = click.testing.CliRunner()
    assert runner.invoke(irisstand.commands.main, ["purge"]).exit_code == 2
    refused = processes.free_ports(1)[0]
    result = runner.invoke(irisstand.commands.main, ["rows", "get", "--core", f"127.0.0.1:{refused}"])
    assert result.exit_code == 7
    assert "--core" in result.output


@pytest.fixture(scope="module")
def thin(tmp_path_factory):
    """One control plane node, one shield and one edge as real processes."""
    folder = tmp_path_factory.mktemp("thin")
    fleet = processes.LocalCluster(processes.SHAPES["thin"], folder, processes.free_ports(1)[0])
    for name in ("agency-1", "shield-1", "edge-1"):
        fleet.start(name)

    async def wait():
        async with aiohttp.ClientSession() as session:
            await fleet.wait_until_ready(session, ["agency-1"])
            await fleet.wait_until_ready(session, ["shield-1", "edge-1"])

    asyncio.run(wait())
    yield fleet
    fleet.stop_all()


def call(fleet, name, method, path, body=None, raw=b"", headers=None):
    async def ask():
        async with aiohttp.ClientSession() as session:
            content = {"data": raw} if raw else {"json": body}
            url = fleet.url(name) + path
            async with session.request(method, url, headers=headers, **content) as response:
                text = await response.text()
                status, kept = response.status, response.headers
                try:
                    content = json.loads(text)
                except ValueError:
                    content = text
                return types.SimpleNamespace(status=status, content=content, headers=kept)

    return asyncio.run(ask())


def test_responses_to_bad_requests_at_the_edge(thin):
    assert call(thin, "edge-1", "GET", "/nowhere").status == 404
    assert call(thin, "edge-1", "GET", "/nowhere").content["code"] == "unknown-path"
    assert call(thin, "edge-1", "GET", "/a//b").status == 400
    assert call(thin, "edge-1", "GET", "/a", headers={"x-long": "x" * 20000}).status == 431
    assert call(thin, "edge-1", "POST", "/a", raw=b"x" * (5 * 1024 * 1024)).status == 413
    assert call(thin, "edge-1", "GET", "/_irisstand/live").status == 200
    text = call(thin, "edge-1", "GET", "/_irisstand/counters").content
    assert "# TYPE irisstand_frames_sent untyped" in text


def test_responses_to_good_and_bad_calls_of_operators(thin):
    def change(rows, **more):
        return call(thin, "agency-1", "POST", "/changes", {"rows": rows, **more})

    row = {"kind": "site", "name": "north", "value": {"weight": 2}}
    done = change([row], change="first")
    assert done.status == 200
    assert done.content["confirmed"]
    assert done.content["change"] == "first"
    assert change([row], change="first").content["serial"] == done.content["serial"]
    table = call(thin, "agency-1", "GET", "/rows").content
    assert table["rows"] == [{**row, "serial": done.content["serial"]}]
    stale = change([{**row, "expected": "1@nobody"}])
    assert stale.status == 409
    assert stale.content["conflicts"][0]["in_force"] == done.content["serial"]
    bad = change([{**row, "value": {"weight": "heavy"}}, {"kind": "oven", "name": "x", "value": {}}])
    assert bad.status == 422
    assert [fault["row"] for fault in bad.content["faults"]] == [0, 1]
    assert change([{**row, "colour": 1}]).status == 422
    assert change("x").status == 400
    assert call(thin, "agency-1", "POST", "/changes", raw=b"{").status == 400
    assert call(thin, "agency-1", "POST", "/changes", raw=b"[" * 100000).status == 400
    assert call(thin, "agency-1", "POST", "/changes", raw=b"x" * (5 * 1024 * 1024)).status == 413
    unknown = call(thin, "agency-1", "PUT", "/sites/atlantis/evacuation")
    assert unknown.status == 404
    assert "north" in unknown.content["remedy"]
    cannot = call(thin, "agency-1", "PUT", "/sites/north/evacuation")
    assert cannot.status == 409
    assert cannot.content["figures"]["shield"]["machines_left"] == 0
    insisted = call(thin, "agency-1", "PUT", "/sites/north/evacuation?insist=true")
    assert insisted.status == 200
    assert "no majority" in insisted.content["notes"][-1]
    assert call(thin, "agency-1", "PUT", "/sites/north/evacuation").status == 200
    assert call(thin, "agency-1", "DELETE", "/sites/north/evacuation").status == 200
    assert call(thin, "agency-1", "POST", "/purges", {"paths": ["no-slash"]}).status == 400
    assert call(thin, "agency-1", "POST", "/purges", {"tags": ["a"]}).status == 200
    taken = change([{**row, "value": {"weight": 3}}], change="first")
    assert taken.status == 409
    assert taken.content["code"] == "change-id-taken"
    limits = {"put": {"limits": {"version": 3, "idle": 5}}}
    for again in (limits, {"put": {"limits": {"idle": 5.0, "version": 3.0, "note": None}}}):
        assert call(thin, "agency-1", "POST", "/amendments", again).status == 200
    limits["put"]["limits"]["idle"] = 6
    clash = call(thin, "agency-1", "POST", "/amendments", limits)
    assert clash.status == 409
    assert clash.content["conflicts"][0]["item"] == "limits/all"
    for answer in (stale, bad, unknown, cannot, taken, clash):
        assert answer.content["code"]
        assert answer.content["remedy"]
    names = {member["name"] for member in call(thin, "agency-1", "GET", "/members").content["members"]}
    assert names == {"agency-1", "shield-1", "edge-1"}


def test_sigterm_drains_writes_the_event_log_and_exits_0(thin):
    thin.kill("edge-1", signal.SIGTERM)
    assert thin.processes["edge-1"].wait(20) == 0
    assert '"ring": "SIGTERM"' in (thin.folder / "edge-1.log").read_text()


def test_taken_port_ends_the_start_with_a_remedy(thin):
    place = thin.placements["shield-1"]
    settings = [f"--{key.replace('_', '-')}={value}" for key, value in GOOD.items() if "port" not in key]
    ports = [f"--port={processes.free_ports(1)[0]}", f"--http-port={place.http_port}"]
    command = [sys.executable, "-m", "irisstand.dataplane.program", *settings, *ports]
    done = subprocess.run(command, capture_output=True, text=True, env=os.environ)
    assert done.returncode == 2
    assert "free the port" in done.stderr
