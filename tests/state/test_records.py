"""Records of a voter: an encoded record is decoded unchanged, and malformed content is refused."""

import ormsgpack
import pytest

from irisstand.state import items, versions
from irisstand.state.storage import file_names, records

VERSION = versions.Version(7, "core-1~ab")
BATCH = items.Batch(VERSION, versions.NONE, (items.Row("site/north", {"weight": 2}, False),))
RECORD = records.Record(
    VERSION, VERSION, bytes(16), VERSION, BATCH, ("ledger.item.a",), ("ledger.segment.1",), (("k", VERSION),)
)


@pytest.mark.parametrize("record", [RECORD, RECORD._replace(pending=None), records.BLANK_RECORD])
def test_record_written_is_read_back_unchanged(record):
    assert records.Record.decode(record.encode()) == record


def test_record_of_the_version_before_has_no_segments_and_no_removed_keys():
    fields = ormsgpack.unpackb(RECORD.encode())
    old = records.Record.decode(ormsgpack.packb(fields[:6]))
    assert old == RECORD._replace(segments=(), removed=())


@pytest.mark.parametrize(
    ("number", "value"),
    [(0, None), (1, [7]), (3, ["7", "a"]), (4, [[7, "a"]]), (5, None), (6, 1), (7, ["k"])],
)
def test_record_with_a_malformed_field_is_refused(number, value):
    fields = ormsgpack.unpackb(RECORD.encode())
    fields[number] = value
    with pytest.raises((ValueError, TypeError)):
        records.Record.decode(ormsgpack.packb(fields))


@pytest.mark.parametrize("count", [0, 1, 5, 7, 9])
def test_record_of_wrong_length_is_refused(count):
    fields = [*ormsgpack.unpackb(RECORD.encode()), None]
    with pytest.raises(ValueError, match="values to unpack"):
        records.Record.decode(ormsgpack.packb(fields[:count]))


def test_file_names_on_the_disk_are_those_of_the_versions_before():
    item = items.Item("site/north", VERSION, 1)
    assert file_names.record_file("ledger", 12) == "ledger.voter.000000000012"
    assert file_names.segment_file("claims", 3) == "claims.segment.000000000003"
    prefix, kind, key, counter, node = file_names.item_file("blueprint", item).split(".")
    assert (prefix, kind, counter) == ("blueprint", "item", "000000000007")
    assert len(key) == 24
    assert len(node) == 8
    assert file_names.DISK_ID_FILE == "vault"
