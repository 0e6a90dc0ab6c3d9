"""Runs the type checker in strict mode and holds each package to the errors that it may still have.

    python tools/type_ratchet.py [PACKAGE ...]

The allowed numbers stand in pyproject.toml under [tool.type_ratchet]; a package without an entry is strict.
With packages, the errors of these are printed.
"""

import collections
import pathlib
import re
import sys
import tomllib

import click
import mypy.api

ROOT = pathlib.Path(__file__).resolve().parent.parent
ERROR = re.compile(r"^src/irisstand/(?P<path>[^:]+):\d+: error: ")
PROGRAM = "programs"


def package_of(path: str) -> str:
    """The package of a source file below src/irisstand; modules beside the packages are `programs`.

    >>> package_of("state/storage/disk.py"), package_of("commands.py")
    ('state/storage', 'programs')
    """
    return path.rpartition("/")[0] or PROGRAM


def errors_by_package(output: str) -> dict[str, list[str]]:
    """The lines with errors, by package."""
    found: dict[str, list[str]] = collections.defaultdict(list)
    for line in output.splitlines():
        match = ERROR.match(line)
        if match is not None:
            found[package_of(match["path"])].append(line)
    return found


@click.command()
@click.argument("packages", nargs=-1)
def main(packages: tuple[str, ...]) -> None:
    """Check the types of src/irisstand."""
    allowed: dict[str, int] = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["type_ratchet"]
    output, problems, _ = mypy.api.run(["--config-file", str(ROOT / "pyproject.toml"), "--no-error-summary"])
    found = errors_by_package(output)
    failed = bool(problems.strip())
    if failed:
        click.echo(problems)
    for package in sorted({*found, *allowed}):
        count, limit = len(found[package]), allowed.get(package, 0)
        if package in packages or count > limit:
            click.echo("\n".join(found[package]))
        if count != limit:
            click.echo(f"{package}: {count} errors, {limit} allowed")
        failed = failed or count > limit
    click.echo(f"{sum(map(len, found.values()))} type errors in packages that are not strict yet")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
