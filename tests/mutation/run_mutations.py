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
    dataplane_mutations.MUTATIONS
    + consensus_mutations.MUTATIONS
    + controlplane_mutations.MUTATIONS
    + state_mutations.MUTATIONS
    + direct_edge_mutations.MUTATIONS
    + departure_mutations.MUTATIONS
    + shutdown_mutations.MUTATIONS
    + http_mutations.MUTATIONS
)


def run_mutation(mutation: tuple) -> tuple[tuple, str]:
    file, line, replacement, test = mutation
    with tempfile.TemporaryDirectory(prefix="guards-") as tree:
        for part in ("src", "tests", "pyproject.toml"):
            source = ROOT / part
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, pathlib.Path(tree) / part)
        path = pathlib.Path(tree) / "src" / "irisstand" / file
        text = path.read_text()
        if text.count(line) != 1:
            return mutation, f"stands {text.count(line)} times"
        path.write_text(text.replace(line, replacement))
        command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", "tests/" + test]
        environment = {"PYTHONPATH": f"{tree}/src", "PATH": "/usr/bin:/bin"}
        try:
            completed = subprocess.run(
                command, cwd=tree, env=environment, capture_output=True, text=True, timeout=400
            )
        except subprocess.TimeoutExpired:
            return mutation, "seen"
        # Exit code 1 is a failed test; any other says that no test was run at all.
        return mutation, {0: "NOT SEEN", 1: "seen"}.get(
            completed.returncode, f"not run: {completed.stdout[-300:]}"
        )


@click.command()
@click.option("--workers", type=click.IntRange(1), default=8, show_default=True)
@click.argument("words", nargs=-1)
def main(workers: int, words: tuple) -> None:
    selected = [
        mutation
        for mutation in MUTATIONS
        if not words or any(word in mutation[0] + mutation[1] for word in words)
    ]
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for (file, line, _, test), outcome in pool.map(run_mutation, selected):
            missed += outcome != "seen"
            click.echo(f"{outcome:<10} {file}: {line.strip().splitlines()[0][:70]} ({test[:60]})")
    click.echo(f"{len(selected) - missed} of {len(selected)} guards are seen to be missing by their tests")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
