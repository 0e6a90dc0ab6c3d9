"""Tests of errors sent between nodes: the class that a code stands for, and malformed fields."""

import pytest

from irisstand import errors


def test_a_code_that_two_kinds_share_stands_for_the_one_of_changes():
    sent = errors.OutcomeUnknownError("sent", "look", 5.0).to_wire()
    rebuilt = errors.from_wire(sent)
    assert type(rebuilt) is errors.ChangeOutcomeUnknownError
    assert rebuilt.to_wire() == sent


def test_every_registered_kind_is_rebuilt_as_itself():
    for code, error_class in errors.REGISTRY.items():
        rebuilt = errors.from_wire(errors.WireError(code, "message", "remedy", 2.0))
        assert type(rebuilt) is error_class
        assert rebuilt.to_wire() == (code, "message", "remedy", 2.0)


def test_an_unknown_code_gives_the_root_kind():
    assert type(errors.from_wire(errors.WireError("no-such-code", "m", "r", 0.0))) is errors.IrisError


@pytest.mark.parametrize("fields", [(), ("a", "b", "c"), ("a", "b", "c", "x"), 7, ("a", "b", "c", None)])
def test_malformed_errors_are_refused(fields):
    with pytest.raises((ValueError, TypeError)):
        errors.WireError.from_wire(fields)
