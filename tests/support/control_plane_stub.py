"""Run `irisstand` commands against a stub of a control plane node, which records the requests it gets.

This command records the expected output of the commands for `tests/programs/test_commands.py`:

    python tests/support/control_plane_stub.py > tests/fixtures/commands/earlier_names.json

It runs each entry of COMMAND_LINES with the `irisstand` package that Python finds on its path.
"""

import contextlib
import http.server
import importlib
import json
import pathlib
import sys
import tempfile
import threading

import click.testing

LIMITS = {"rate": 100, "inflight": 50}
SERVICE = {
    "kind": "service",
    "name": "content",
    "value": {"deadline": 3, "ceiling": LIMITS},
    "serial": "5.agency-1",
}
MEMBER = {
    "name": "shield-1",
    "role": "shield",
    "state": "alive",
    "machine": "m1",
    "site": "north",
    "host": "127.0.0.1",
    "port": 7002,
    "life": "l1",
    "incarnation": 0,
}
MACHINES = {
    "machines": {
        "m1": {"site": "north", "evacuated": False, "rests": False, "hours_saved": 0.0, "why": "serves"},
        "m2": {"site": "south", "evacuated": False, "rests": True, "hours_saved": 1.5, "why": "not needed"},
        "m3": {"site": "south", "evacuated": True, "rests": True, "hours_saved": 0.0, "why": "evacuated"},
    },
    "machine_hours_saved": 1.5,
}
RESPONSES = {
    "GET /rows": (200, {"rows": [SERVICE]}),
    "GET /members": (200, {"members": [MEMBER]}),
    "GET /ledger": (200, {"rows": []}),
    "GET /machines": (200, MACHINES),
    "GET /items": (200, {"put": {"routes": []}, "drop": {}}),
    "GET /voters": (200, {"tables": {}, "spares": ["agency-4"]}),
    "GET /changes/c%2F1": (200, {"change": "c/1", "rows": []}),
    "GET /changes/unknown": (404, {"code": "unknown-name"}),
    "POST /changes": (200, {"serial": "6.agency-1", "rows": ["service/content"]}),
    "POST /amendments": (422, {"code": "bad-change", "faults": []}),
    "PUT /voters/agency-4": (200, {"voters": ["agency-4"]}),
    "DELETE /voters/agency-4": (503, {"code": "no-majority"}),
    "PUT /sites/north/evacuation": (409, {"code": "cannot-carry"}),
    "PUT /sites/north/evacuation?insist=true": (200, {"notes": []}),
    "DELETE /sites/north/evacuation": (200, {"serial": "7.agency-1"}),
    "POST /purges": (200, {"serial": "8.agency-1"}),
}
CHANGED_SERVICE = {
    "kind": "service",
    "name": "content",
    "value": {"deadline": 3, "ceiling": {"rate": 9, "inflight": 5}},
}
FILES = {
    "good.json": [CHANGED_SERVICE],
    "same.json": [{name: SERVICE[name] for name in ("kind", "name", "value")}],
    "versioned.json": [{**CHANGED_SERVICE, "serial": "5.agency-1"}],
    "bad.json": {"kind": "service"},
    "twice.yaml": "kind: Site\nkind: Path\n",
    "fault.json": [{**CHANGED_SERVICE, "value": {}}],
    "site.json": [{"kind": "site", "name": "nowhere", "value": {}}],
    "items.json": {"put": {"routes": []}},
}
# Arguments of `irisstand`; a name in FILES is replaced by the path of that file.
COMMAND_LINES = [
    ["rows", "get"],
    ["rows", "send", "good.json"],
    ["rows", "send", "versioned.json", "--change", "c1"],
    ["rows", "send", "bad.json"],
    ["rows", "send", "twice.yaml"],
    ["rows", "send", "good.json", "--format", "unknown"],
    ["rows", "compare", "good.json"],
    ["rows", "compare", "same.json"],
    ["vet", "good.json"],
    ["vet", "fault.json"],
    ["vet", "site.json"],
    ["vet", "site.json", "--strict"],
    ["amend", "items.json"],
    ["items"],
    ["change", "c/1"],
    ["change", "unknown"],
    ["purge"],
    ["purge", "--path", "/a", "--path", "/b", "--tag", "t", "--change", "c2"],
    ["evacuate", "north"],
    ["evacuate", "north", "--insist"],
    ["return", "north"],
    ["machines"],
    ["members"],
    ["voters", "show"],
    ["voters", "replace", "agency-1", "agency-4"],
    ["voters", "retire", "agency-4"],
]


class Handler(http.server.BaseHTTPRequestHandler):
    """Responds to a request as RESPONSES says, and with status 500 if it has no entry."""

    def respond(self):
        request_line = f"{self.command} {self.path}"
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.server.requests.append([request_line, json.loads(body) if body else None])
        status, content = RESPONSES.get(request_line, (500, {"code": "not-in-the-stub"}))
        encoded = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)

    do_GET = do_POST = do_PUT = do_DELETE = respond

    def log_message(self, *_):
        """Suppress the log lines that http.server writes to standard error."""


@contextlib.contextmanager
def running_stub():
    """Run a stub that has the requests it received in `requests` and its host and port in `address`."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.requests = []
    server.address = f"127.0.0.1:{server.server_address[1]}"
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


def run_command(main, words, folder):
    """Run a command against a stub; return its output, exit code and the requests that the stub received."""
    for name, content in FILES.items():
        (folder / name).write_text(content if isinstance(content, str) else json.dumps(content))
    words = [str(folder / word) if word in FILES else word for word in words]
    with running_stub() as server:
        result = click.testing.CliRunner().invoke(main, [*words, "--core", server.address])
        return {
            "stdout": result.stdout.replace(str(folder), "FOLDER"),
            "stderr": result.stderr.replace(str(folder), "FOLDER"),
            "code": result.exit_code,
            "requests": server.requests,
        }


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as directory:
        command = importlib.import_module("irisstand.commands").main
        recorded = [
            {"words": words, **run_command(command, words, pathlib.Path(directory))}
            for words in COMMAND_LINES
        ]
    json.dump(recorded, sys.stdout, indent=1)
    print()
