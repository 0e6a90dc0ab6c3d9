"""Takes out each guarding line in turn, in a copy of the tree, and expects a named test to fail.

    python tests/mutation/run_mutations.py [--workers 8] [WORD ...]

Run outside CI. With words, only the guards that have one of them in their file or text.
"""

import concurrent.futures
import pathlib
import shutil
import subprocess
import sys
import tempfile

import click
import consensus_mutations
import controlplane_mutations
import dataplane_mutations
import departure_mutations
import direct_edge_mutations
import http_mutations
import shutdown_mutations
import state_mutations

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

MUTATIONS = (
    dataplane_mutations.GUARDS
    + consensus_mutations.GUARDS
    + controlplane_mutations.GUARDS
    + state_mutations.GUARDS
    + direct_edge_mutations.GUARDS
    + departure_mutations.GUARDS
    + shutdown_mutations.GUARDS
    + http_mutations.GUARDS
)


def try_without(guard: tuple) -> tuple[tuple, str]:
    file, line, instead, test = guard
    with tempfile.TemporaryDirectory(prefix="guards-") as folder:
        for part in ("src", "tests", "pyproject.toml"):
            source = ROOT / part
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, pathlib.Path(folder) / part)
        path = pathlib.Path(folder) / "src" / "irisstand" / file
        text = path.read_text()
        if text.count(line) != 1:
            return guard, f"stands {text.count(line)} times"
        path.write_text(text.replace(line, instead))
        command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", "tests/" + test]
        environment = {"PYTHONPATH": f"{folder}/src", "PATH": "/usr/bin:/bin"}
        try:
            done = subprocess.run(
                command, cwd=folder, env=environment, capture_output=True, text=True, timeout=400
            )
        except subprocess.TimeoutExpired:
            return guard, "seen"
        # Exit code 1 is a failed test; any other says that no test was run at all.
        return guard, {0: "NOT SEEN", 1: "seen"}.get(done.returncode, f"not run: {done.stdout[-300:]}")


@click.command()
@click.option("--workers", type=click.IntRange(1), default=8, show_default=True)
@click.argument("words", nargs=-1)
def main(workers: int, words: tuple) -> None:
    chosen = [g for g in MUTATIONS if not words or any(word in g[0] + g[1] for word in words)]
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for (file, line, _, test), outcome in pool.map(try_without, chosen):
            missed += outcome != "seen"
            click.echo(f"{outcome:<10} {file}: {line.strip().splitlines()[0][:70]} ({test[:60]})")
    click.echo(f"{len(chosen) - missed} of {len(chosen)} guards are seen to be missing by their tests")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
