"""Rows of a change whose kind or name is not a string: refused in request bodies and in planning."""

import asyncio

import cluster
import pytest

from irisstand import errors
from irisstand.controlplane.api import operator_calls

INVALID_NAMES = [["site"], {"site": 1}, 7, None, True]


def row_with(field, invalid):
    return {"kind": "site", "name": "north", "value": {"weight": 1}, field: invalid}


@pytest.mark.parametrize("invalid", INVALID_NAMES, ids=str)
@pytest.mark.parametrize("field", ["kind", "name"])
def test_a_row_whose_kind_or_name_is_no_word_is_refused_where_it_comes_in(field, invalid):
    with pytest.raises(errors.BadRequestError):
        operator_calls.changed_rows({"rows": [row_with(field, invalid)]})


@pytest.mark.parametrize("field", ["kind", "name"])
def test_a_row_whose_kind_or_name_is_no_word_ends_no_node(field):
    """Guards against a control plane node that crashed when it looked up a row by an unhashable name."""

    async def scenario(day):
        for invalid in INVALID_NAMES:
            row = row_with(field, invalid)
            with pytest.raises(errors.InvalidChangeError):
                await day.actors.order("agency-1", "change", [row, row])
        await asyncio.sleep(1)
        return [node.name for node in day.cluster.nodes.values() if node.program is None]

    assert cluster.run_scenario(scenario) == []
