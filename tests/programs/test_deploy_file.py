"""The deploy file's own lines, played from a clean checkout within the limits of the smallest machines."""

import asyncio
import os
import shutil
import subprocess
import tomllib

import deployed_programs
import deployed_settings

# What a clean checkout has of the files that the lines use; no build folder.
CHECKOUT = ("constraints.txt", "deploy", "platform", "src")
LIMITS = {
    "edge": deployed_settings.MachineLimits(88),
    "shield": deployed_settings.MachineLimits(296),
    "holder": deployed_settings.MachineLimits(296),
}


class PlayedNetwork(deployed_programs.DeployedNetwork):
    """Processes that are started by the run lines in a checkout."""

    def __init__(self, folder, checkout):
        super().__init__(folder, LIMITS)
        self.root = checkout
        roles = tomllib.loads((checkout / "deploy" / "system.toml").read_text())["roles"]
        self.run_lines = {
            "edge": roles["edge"]["run"],
            "shield": roles["core"]["run"],
            "holder": roles["holder"]["run"],
        }

    def command_of(self, kind):
        return self.run_lines[kind].split(" ")


def variables():
    names = deployed_settings.PLATFORM_VARIABLES
    return {name: os.environ[name] for name in names if name in os.environ}


def test_build_and_run_lines_start_processes_that_live_and_stop_in_order(tmp_path):
    checkout = tmp_path / "checkout"
    checkout.mkdir()
    for name in CHECKOUT:
        source = deployed_programs.ROOT / name
        if source.is_dir():
            shutil.copytree(
                source, checkout / name, ignore=shutil.ignore_patterns("__pycache__", "*.egg-info")
            )
        else:
            shutil.copy(source, checkout / name)
    build = tomllib.loads((checkout / "deploy" / "system.toml").read_text())["build"]
    done = subprocess.run(["sh", "-c", build], cwd=checkout, env=variables(), capture_output=True, text=True)
    assert done.returncode == 0, done.stderr

    data = tmp_path / "run"
    data.mkdir()

    async def scenario():
        async with PlayedNetwork(data, checkout) as network:
            await network.wait_until_serving()
            for number in range(50):
                await network.send_request(f"/objects/{number}")
            assert network.exit_codes() == {}
            # A killed process starts again at its address, with connections of its last life still open.
            network.processes["edge-1"].kill()
            await network.processes["edge-1"].wait()
            await network.start("edge-1", 4, "z1")
            await network.wait_until(lambda: network.responds_with("/reads/again", 200))
            for name in list(network.processes):
                assert await network.terminate(name) == 0, network.log_of(name)

    asyncio.run(scenario())
