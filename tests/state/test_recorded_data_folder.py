"""A data folder that was recorded before the packages were renamed is read by the present code."""

import asyncio
import base64
import json
import pathlib
import random

import pytest

from irisstand.state import items, versions
from irisstand.state.storage import disk as disks
from irisstand.state.storage import durable_store, records

RECORDED = json.loads(
    (pathlib.Path(__file__).parent.parent / "fixtures" / "storage" / "data_folder.json").read_text()
)


@pytest.fixture
def store(tmp_path):
    for name, content in RECORDED["files"].items():
        (tmp_path / name).write_bytes(base64.b64decode(content))
    opened = durable_store.DurableStore(disks.FolderDisk(tmp_path), random.Random(1))
    asyncio.run(opened.open())
    return opened


def test_disk_id_is_kept(store):
    assert store.disk_id == RECORDED["expected"]["disk_id"]


@pytest.mark.parametrize("table", items.TABLES)
def test_records_and_items_are_read_back(store, table):
    expected = RECORDED["expected"][table]
    record = store.records[table]
    assert record.applied == versions.Version.from_wire(expected["recorded_applied"])
    assert record.promised == versions.Version.from_wire(expected["promised"])
    assert record.accepted == versions.Version.from_wire(expected["accepted"])
    assert record.root_digest.hex() == expected["recorded_root"]
    assert list(record.segments) == expected["segments"]
    assert store.intact[table]
    replica = store.replicas[table]
    assert replica.root_digest() == record.root_digest
    assert sorted(replica.items)[:5] == expected["keys"]


def test_recorded_records_decode_and_encode_to_the_same_bytes():
    stored = [base64.b64decode(content) for name, content in RECORDED["files"].items() if ".voter." in name]
    contents = [disks.strip_checksum(one) for one in stored]
    assert len(contents) >= len(items.TABLES)
    assert [records.Record.decode(content).encode() for content in contents] == contents
