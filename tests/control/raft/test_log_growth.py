"""Tests of a log whose entries are large: its size, and the memory to read it."""

import asyncio
import tracemalloc
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from returns.result import Success

from poplarlug.control.commands import encode_command
from poplarlug.control.disk import FileDisk
from poplarlug.control.log_storage import LOG_FILE, Entry, EntryKind, LogStorage
from poplarlug.control.memory_disk import MemoryDisk
from poplarlug.control.raft.replica import Replica
from poplarlug.control.routing_state import RouteTableChange, encode_table
from poplarlug.control.snapshot_store import SNAPSHOT_FILE
from poplarlug.control.state import ControlState
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.virtualtime import run_virtual
from tests.control.group import SimulatedGroup
from tests.control.quiet import QuietTestCase
from tests.routes.test_checks import make_route, make_table

MIB = 1024 * 1024
SOURCE_BYTES = 400_000
"""Size of a configuration with 1,400 routes."""

CHANGES = 120
CHANGES_PER_RUN = 40
MAX_LOG_BYTES = 16 * MIB
"""An eighth of a replica's disk, far less than all changes take."""

COMPACTED_BYTES = 600
CHANGES_PER_CRASH = 6
CRASHES = 12
SEEDS = 20
RECORDS = 40
RECORD_BYTES = MIB // 2


class CountingDisk(MemoryDisk):
    """
    A disk that counts what is written to it.

    Attributes
    ----------
    snapshot_bytes : int
        Total size of all snapshots.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self.snapshot_bytes = 0

    async def replace(self, name: str, data: bytes) -> None:
        if name == SNAPSHOT_FILE:
            self.snapshot_bytes += len(data)
        await super().replace(name, data)


class LogGrowthTests(QuietTestCase):
    # Guards against logs that outgrow the disk, and the memory at a restart.
    def test_log_of_large_changes_is_compacted(self) -> None:
        """The log stays small over many changes, with restarts in between."""
        disk = CountingDisk(rng=Random(1))
        largest = 0

        async def run(first: int) -> None:
            nonlocal largest
            state = ControlState()
            transport = MemoryTransport(
                name="a", network=MemoryNetwork(rng=Random(first))
            )
            replica = Replica(
                name="a",
                transport=transport,
                disk=disk,
                state_machine=state,
                rng=Random(first),
                bootstrap=("a",),
            )
            self.assertEqual(replica.load(), Success(None))
            tasks = [
                asyncio.ensure_future(transport.run()),
                asyncio.ensure_future(replica.run()),
            ]
            # Its elections take less than that.
            await asyncio.sleep(10.0)
            self.assertTrue(replica.is_leader)
            self.assertEqual(state.routing.version, first - 1 if first > 1 else -1)
            for version in range(first, first + CHANGES_PER_RUN):
                table = encode_table(make_table(make_route(), version=version))
                source = b"%07d" % version + bytes(SOURCE_BYTES)
                command = encode_command(RouteTableChange(table, source))
                self.assertIsInstance(await replica.propose(command), Success)
                await asyncio.sleep(0.1)
                largest = max(largest, len(disk.files_by_name[LOG_FILE]))
            disk.crash()
            for task in tasks:
                task.cancel()

        for first in range(1, CHANGES + 1, CHANGES_PER_RUN):
            run_virtual(run(first))
        self.assertLess(largest, MAX_LOG_BYTES)
        self.assertLess(len(disk.files_by_name[SNAPSHOT_FILE]), 2 * SOURCE_BYTES)
        self.assertLess(disk.snapshot_bytes, CHANGES * SOURCE_BYTES / 2)

    # Guards against changes that are lost when replicas end amid a compaction.
    def test_replicas_that_end_amid_compactions_keep_all_changes(self) -> None:
        """One by one and all at once, while large changes go on."""

        async def main(seed: int) -> None:
            rng = Random(seed)
            group = SimulatedGroup(
                rng=rng,
                one_way=0.055,
                snapshot_entries=10_000,
                snapshot_bytes=COMPACTED_BYTES,
            )
            group.start()
            accepted = []
            for number in range(CRASHES):
                await group.wait_for_leader()
                for part in range(CHANGES_PER_CRASH):
                    command = b"%d-%d-" % (number, part) + bytes(COMPACTED_BYTES // 3)
                    if await group.propose(command):
                        accepted.append(command)
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                live = group.live()
                ended = live if number % 3 == 2 else [rng.choice(live)]
                for member in ended:
                    member.crash()
                await asyncio.sleep(rng.uniform(0.0, 0.5))
                for member in ended:
                    member.start()
            leader = await group.wait_for_leader()
            self.assertTrue(await group.propose(b"last"))
            held = {command for _, _, command in leader.machine.entries}
            self.assertEqual([c for c in accepted if c not in held], [])
            self.assertGreater(len(accepted), CRASHES)
            assert leader.replica is not None
            self.assertGreater(leader.replica.state.snapshots.log_index, 0)

        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    # Guards against a load that takes several times the log.
    def test_load_holds_no_more_than_the_entries(self) -> None:
        """The file is read record by record."""
        with TemporaryDirectory() as folder:
            disk = FileDisk(folder=Path(folder))

            async def write() -> None:
                log = LogStorage(disk=disk)
                for log_index in range(1, RECORDS + 1):
                    data = bytes(RECORD_BYTES)
                    log.append([Entry(1, log_index, EntryKind.COMMAND, data)])
                    await log.sync(log_index)

            asyncio.run(write())
            log = LogStorage(disk=disk)
            tracemalloc.start()
            try:
                self.assertEqual(log.load(), Success(None))
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        self.assertEqual(log.last_index, RECORDS)
        self.assertLess(peak, RECORDS * RECORD_BYTES + 4 * RECORD_BYTES)
