"""Tests that error classes, which may be renamed, keep their codes, statuses, remedies and retry delays.

The expected values were recorded before the classes were renamed.
"""

import importlib
import json
import pathlib
import pkgutil

import irisstand
from irisstand import errors

RECORDED_ERRORS = pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "errors.json"


def class_and_subclasses(error_class):
    yield error_class
    for subclass in error_class.__subclasses__():
        yield from class_and_subclasses(subclass)


def test_every_error_keeps_its_code_status_remedy_and_wait():
    for module in pkgutil.walk_packages(irisstand.__path__, "irisstand."):
        importlib.import_module(module.name)
    found = {
        (
            error_class.code,
            error_class.status,
            error_class.remedy,
            error_class.default_retry_after,
            error_class.code in errors.REGISTRY,
        )
        for error_class in class_and_subclasses(errors.IrisError)
        if error_class.__module__.startswith("irisstand.")
    }
    assert found == {tuple(row) for row in json.loads(RECORDED_ERRORS.read_text())}
