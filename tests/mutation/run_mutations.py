"""Applies each mutation in turn to a copy of the sources, and expects the test that it names to fail.

    python tests/mutation/run_mutations.py [--workers 8] [WORD ...]

CI does not run it. With words, only the mutations that have one of them in their file name or text.
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
import given_up_mutations
import http_mutations
import late_response_mutations
import passing_on_mutations
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
    + passing_on_mutations.MUTATIONS
    + late_response_mutations.MUTATIONS
    + given_up_mutations.MUTATIONS
)


def run_mutation(mutation: tuple) -> tuple[tuple, str]:
    """Run the test of one mutation, and return the mutation and "detected" if it failed or timed out."""
    file, original, replacement, test = mutation
    with tempfile.TemporaryDirectory(prefix="mutation-") as tree:
        for part in ("src", "tests", "pyproject.toml"):
            source = ROOT / part
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, pathlib.Path(tree) / part)
        path = pathlib.Path(tree) / "src" / "irisstand" / file
        text = path.read_text()
        if text.count(original) != 1:
            return mutation, f"the text occurs {text.count(original)} times"
        path.write_text(text.replace(original, replacement))
        command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", "tests/" + test]
        environment = {"PYTHONPATH": f"{tree}/src", "PATH": "/usr/bin:/bin"}
        try:
            completed = subprocess.run(
                command, cwd=tree, env=environment, capture_output=True, text=True, timeout=400
            )
        except subprocess.TimeoutExpired:
            return mutation, "detected"
        # pytest exits with code 1 if a test failed; codes above 1 say that it could not run the tests.
        return mutation, {0: "NOT DETECTED", 1: "detected"}.get(
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
    undetected = 0
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for (file, original, _, test), outcome in pool.map(run_mutation, selected):
            undetected += outcome != "detected"
            click.echo(f"{outcome:<10} {file}: {original.strip().splitlines()[0][:70]} ({test[:60]})")
    click.echo(f"{len(selected) - undetected} of {len(selected)} mutations are detected by their tests")
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
