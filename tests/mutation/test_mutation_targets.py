"""Each mutation replaces a text that occurs exactly once in its source file, and names an existing test."""

import pathlib

import pytest
import run_mutations

TESTS = run_mutations.ROOT / "tests"
SOURCES = run_mutations.ROOT / "src" / "irisstand"


@pytest.mark.parametrize("mutation", run_mutations.MUTATIONS, ids=lambda mutation: mutation[0])
def test_mutation_names_one_text_and_an_existing_test(mutation):
    file, text, _, test = mutation
    assert (SOURCES / file).read_text().count(text) == 1
    path, _, function = test.partition("::")
    assert pathlib.Path(TESTS / path).is_file()
    assert f"def {function.partition('[')[0]}(" in (TESTS / path).read_text() or not function
