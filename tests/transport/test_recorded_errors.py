"""Codes, statuses, remedies and waits of all errors, as recorded before the classes were renamed."""

import importlib
import json
import pathlib
import pkgutil

import irisstand
from irisstand import errors

RECORDED = pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "errors.json"


def kinds_of(kind):
    yield kind
    for child in kind.__subclasses__():
        yield from kinds_of(child)


def test_every_error_keeps_its_code_status_remedy_and_wait():
    for module in pkgutil.walk_packages(irisstand.__path__, "irisstand."):
        importlib.import_module(module.name)
    found = {
        (kind.code, kind.status, kind.remedy, kind.default_retry_after, kind.code in errors.REGISTRY)
        for kind in kinds_of(errors.IrisError)
        if kind.__module__.startswith("irisstand.")
    }
    assert found == {tuple(row) for row in json.loads(RECORDED.read_text())}
