"""The disk on a real folder, and slow disks: guards against faults that occurred on real file systems."""

import asyncio

import cluster

import irisstand.state.storage.disk
from irisstand.state import items


def test_real_disk_keeps_only_synced_files_and_quarantines_corrupt_ones(tmp_path):
    async def scenario():
        disk = irisstand.state.storage.disk.FolderDisk(tmp_path / "data")
        assert await disk.load() == ({}, [])
        await disk.write([("a", b"1"), ("b", b"2")])
        (tmp_path / "data" / "c.aside").write_bytes(b"half")
        content = (tmp_path / "data" / "b").read_bytes()
        (tmp_path / "data" / "b").write_bytes(content[:-1] + b"3")
        assert await disk.load() == ({"a": b"1"}, ["b"])
        names = sorted(path.name for path in (tmp_path / "data").iterdir())
        assert [name for name in names if not name.endswith(".spare")] == ["a", "b.torn"]
        await disk.remove(["a", "never-there"])
        assert await disk.load() == ({}, [])
        # A longer file is overwritten with a shorter content: the bytes after the content are ignored.
        await disk.write([("long", b"x" * 9000)])
        await disk.remove(["long"])
        before = len(list((tmp_path / "data").iterdir()))
        await disk.write([("short", b"y"), ("other", b"z")])
        assert await irisstand.state.storage.disk.FolderDisk(tmp_path / "data").load() == (
            {"short": b"y", "other": b"z"},
            [],
        )
        assert len(list((tmp_path / "data").iterdir())) == before

    asyncio.run(scenario())


def test_obsolete_files_are_removed_in_bulk_and_not_read_after_a_restart():
    """In a rehearsal that removed a file after each write, every sync waited for the discard of blocks."""

    async def scenario(day):
        node = day.cluster.nodes["agency-3"]
        before = (node.disk.writes, node.disk.removals)
        for weight in range(1, 61):
            await day.actors.order("agency-1", "change", [cluster.site_row(weight=weight)])
        await day.actors.order("agency-1", "change", [{**cluster.site_row(), "value": None}])
        await asyncio.sleep(1)
        assert node.disk.writes - before[0] > 200
        assert node.disk.removals - before[1] <= 20
        root = node.program.participant.store.replicas[items.CONFIGURATION].root_digest()
        node.kill()
        await node.start()
        assert node.program.participant.store.intact[items.CONFIGURATION]
        assert node.program.participant.store.replicas[items.CONFIGURATION].root_digest() == root
        assert node.program.context.configuration.value("site/north") is None

    cluster.run_scenario(scenario)


def test_disks_100_times_slower_leave_a_working_control_plane():
    async def scenario(day):
        for node in day.cluster.with_role("agency"):
            node.disk.max_operation_seconds = 0.12
        durations_seconds = []
        for weight in range(1, 11):
            started = asyncio.get_running_loop().time()
            await day.actors.order(f"agency-{weight % 5 + 1}", "change", [cluster.site_row(weight=weight)])
            durations_seconds.append(asyncio.get_running_loop().time() - started)
            for node in day.cluster.with_role("agency"):
                assert day.cluster.is_ready(node)
        assert max(durations_seconds) < 3
        tasks = [task for node in day.cluster.with_role("agency") for task in node.program.singleton_tasks]
        await day.cluster.wait_until(
            lambda: len({task.name for task in tasks if task.holds_lease()}) == 3, 10
        )

    cluster.run_scenario(scenario)
