"""Client of a control plane node's HTTP interface, options that several commands have, and exit codes."""

import enum
import http.client
import json
import sys
import typing
import urllib.error
import urllib.parse
import urllib.request

import click

from irisstand import errors
from irisstand.validation import formats

# A request to a control plane node fails if the node sends nothing for this long.
TIMEOUT_SECONDS = 15


class ExitCode(enum.IntEnum):
    """Exit codes of the commands, for use in scripts. Code 2 is missing: click uses it for wrong usage."""

    OK = 0
    OTHER = 1
    CONFLICT = 3
    INVALID = 4
    UNKNOWN_NAME = 5
    NOT_CONFIRMED = 6
    NOT_REACHABLE = 7
    WARNINGS = 8
    DIFFERENCES = 9


EXIT_CODE_BY_STATUS: dict[int, ExitCode] = {
    http.client.CONFLICT: ExitCode.CONFLICT,
    http.client.UNPROCESSABLE_ENTITY: ExitCode.INVALID,
    http.client.NOT_FOUND: ExitCode.UNKNOWN_NAME,
}

node_option = click.option(
    "--core",
    metavar="HOST:PORT",
    default="127.0.0.1:8081",
    envvar="IRISSTAND_CORE",
    show_envvar=True,
    help="HTTP address of any control plane node.",
)
change_option = click.option(
    "--change",
    metavar="ID",
    default=None,
    show_default="chosen by the node",
    help="Id that you choose for the change. Sending the same change again under the same id is safe.",
)
format_option = click.option(
    "--format",
    "form",
    metavar="NAME",
    default="",
    show_default="by the file's ending",
    help="Format of FILE: rows (JSON) or objects (YAML).",
)


def exit_code_of(status: int) -> ExitCode:
    """Return the exit code for an HTTP status that is an error.

    >>> exit_code_of(409), exit_code_of(503), exit_code_of(400)
    (<ExitCode.CONFLICT: 3>, <ExitCode.NOT_CONFIRMED: 6>, <ExitCode.OTHER: 1>)
    """
    if status >= http.client.INTERNAL_SERVER_ERROR:
        return ExitCode.NOT_CONFIRMED
    return EXIT_CODE_BY_STATUS.get(status, ExitCode.OTHER)


def call(node_address: str, method: str, path: str, content: typing.Any = None) -> typing.Any:
    """Send a request to a control plane node and return the JSON content of its response.

    The body of an error response is printed to standard error unchanged, and the program ends with the exit
    code for its HTTP status. If the node cannot be reached, the program ends with code 7.

    Args:
        node_address: Host and HTTP port of the node, with a colon between.
        method: HTTP method.
        path: Path and query, already escaped.
        content: JSON content of the request; None for a request without a body.
    """
    body = None if content is None else json.dumps(content).encode()
    request = urllib.request.Request(
        f"http://{node_address}{path}", body, {"Content-Type": "application/json"}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_SECONDS) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        click.echo(error.read().decode(errors="replace"), err=True)
        sys.exit(exit_code_of(error.code))
    except OSError as error:
        click.echo(
            f"irisstand: {node_address}: {error}; name a running control plane node with --core", err=True
        )
        sys.exit(ExitCode.NOT_REACHABLE)


def quote(word: str) -> str:
    """Return a text as one segment of a URL path, with every reserved character escaped."""
    return urllib.parse.quote(word, safe="")


def print_json(content: typing.Any) -> None:
    """Print JSON content to standard output, indented for reading."""
    click.echo(json.dumps(content, indent=2))


def read_entries(file: typing.BinaryIO, form: str) -> formats.Rows:
    """Read configuration entries from a file.

    If the file is invalid, all of its faults are printed to standard error and the program ends with code 4,
    before anything is sent to the network.

    Args:
        file: The opened file.
        form: Name of the file's format in `formats.REGISTRY`; empty: the file's ending decides.
    """
    if form and form not in formats.REGISTRY:
        raise click.BadParameter(f"no format {form!r}; use one of {', '.join(formats.REGISTRY)}")
    try:
        return formats.read(getattr(file, "name", ""), file.read(), form)
    except errors.InvalidChangeError as error:
        for fault in error.faults:
            document = "" if fault["document"] is None else f"document {fault['document'] + 1}: "
            click.echo(f"fault: {document}{fault['field']}: {fault['message']}", err=True)
        click.echo(f"{len(error.faults)} fault(s); nothing was sent", err=True)
        sys.exit(ExitCode.INVALID)
