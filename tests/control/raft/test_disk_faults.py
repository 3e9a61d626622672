"""Tests of control replicas with disks that are full, slow or hanging."""

import asyncio
import errno
from itertools import repeat
from random import Random
from unittest.mock import patch

from poplarlug.control.memory_disk import MemoryDisk
from poplarlug.control.raft import consensus_state
from poplarlug.transport import services
from poplarlug.virtualtime import run_virtual
from tests.control.group import GroupMember, SimulatedGroup
from tests.control.quiet import QuietTestCase

SEEDS = range(10)
ACCEPT_SECONDS = 8.0
"""Time within which the users' deployments require a change to be acknowledged."""

RETRY_SECONDS = 0.1


class FaultyDisk(MemoryDisk):
    """
    A disk that can be made full, slow or hanging.

    Attributes
    ----------
    is_full : bool
        Whether writes fail with ``ENOSPC``.
    responds : asyncio.Event
        Cleared while the disk hangs.
    extra_seconds : float
        Additional duration of each write.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self.is_full = False
        self.responds = asyncio.Event()
        self.responds.set()
        self.extra_seconds = 0.0

    async def append(self, name: str, data: bytes, *, offset: int) -> None:
        await self._apply_faults()
        await super().append(name, data, offset=offset)

    async def replace(self, name: str, data: bytes) -> None:
        await self._apply_faults()
        await super().replace(name, data)

    async def _apply_faults(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left")
        await asyncio.sleep(self.extra_seconds)
        await self.responds.wait()


class DiskFaultTests(QuietTestCase):
    async def start(self, seed: int) -> tuple[SimulatedGroup, GroupMember]:
        """Start a group on disks without faults yet; return it and its leader."""
        group = SimulatedGroup(rng=Random(seed))
        for member in group.members_by_name.values():
            member.disk = FaultyDisk(rng=group.rng)
        group.start()
        leader = await group.wait_for_leader()
        self.assertTrue(await group.propose(b"before"))
        return group, leader

    def disk_of(self, member: GroupMember) -> FaultyDisk:
        assert isinstance(member.disk, FaultyDisk)
        return member.disk

    async def accept(self, group: SimulatedGroup, command: bytes) -> None:
        """Propose until some leader accepts; fail after ``ACCEPT_SECONDS``."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ACCEPT_SECONDS
        for pause in repeat(RETRY_SECONDS):
            if await group.propose(command):
                break
            self.assertLess(loop.time() + pause, deadline, f"{command!r} not accepted")
            await asyncio.sleep(pause)

    def commands_on_disks(self, group: SimulatedGroup, command: bytes) -> int:
        """Return the number of disks that hold a command."""
        return sum(
            any(command in data for data in member.disk.files_by_name.values())
            for member in group.members_by_name.values()
        )

    def test_full_disk_of_a_follower_stops_only_that_replica(self) -> None:
        """It does not confirm entries that it can't store, and catches up later."""

        async def main(seed: int) -> None:
            group, leader = await self.start(seed)
            full = next(m for m in group.live() if m is not leader)
            self.disk_of(full).is_full = True
            await self.accept(group, b"while-full")
            self.assertEqual(self.commands_on_disks(group, b"while-full"), 2)
            await asyncio.sleep(1.0)
            full.crash_failed()
            self.disk_of(full).is_full = False
            full.start()
            await self.accept(group, b"after")
            await asyncio.sleep(2.0)
            self.assertEqual(self.commands_on_disks(group, b"while-full"), 3)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_full_disk_of_the_leader_makes_another_one_lead(self) -> None:
        """A leader that can store no more entries is replaced."""

        async def main(seed: int) -> None:
            group, leader = await self.start(seed)
            self.disk_of(leader).is_full = True
            await group.propose(b"refused")
            await asyncio.sleep(0.5)
            leader.crash_failed()
            await self.accept(group, b"accepted")
            self.assertGreaterEqual(self.commands_on_disks(group, b"accepted"), 2)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_full_disk_recovers_without_a_restart(self) -> None:
        """Once the disk has space, the replica catches up and counts in a quorum."""
        # Guards against a replica that gave up its log after the first failed write,
        # answered every request with a traceback and exited some seconds later.

        async def main(seed: int, *, at_leader: bool) -> None:
            group, leader = await self.start(seed)
            full = next(m for m in group.live() if (m is leader) == at_leader)
            other = next(m for m in group.live() if m is not full)
            self.disk_of(full).is_full = True
            for number in range(10):
                await self.accept(group, b"while-full-%d" % number)
                await asyncio.sleep(0.5)
            self.assertEqual(self.commands_on_disks(group, b"while-full-9"), 2)
            self.disk_of(full).is_full = False
            await asyncio.sleep(2.0)
            full.check_failures()
            self.assertEqual(self.commands_on_disks(group, b"while-full-9"), 3)
            other.crash()
            await self.accept(group, b"with-the-healed-one")
            group.check()

        for seed in SEEDS:
            for at_leader in (False, True):
                with (
                    self.subTest(seed=seed, at_leader=at_leader),
                    patch.object(consensus_state, "_log") as log,
                    patch.object(services, "_log") as transport_log,
                ):
                    run_virtual(main(seed, at_leader=at_leader))
                    self.assertEqual(log.error.call_count, 1)
                    transport_log.error.assert_not_called()

    def test_hanging_disk_of_any_replica_does_not_block_changes(self) -> None:
        """Changes on two disks are accepted; a hanging disk is not counted."""

        async def main(seed: int, *, at_leader: bool) -> None:
            group, leader = await self.start(seed)
            hanging = next(m for m in group.live() if (m is leader) == at_leader)
            self.disk_of(hanging).responds.clear()
            await self.accept(group, b"while-hanging")
            self.assertGreaterEqual(self.commands_on_disks(group, b"while-hanging"), 2)
            self.disk_of(hanging).responds.set()
            await self.accept(group, b"after")
            group.check()

        for seed in SEEDS:
            for at_leader in (False, True):
                with self.subTest(seed=seed, at_leader=at_leader):
                    run_virtual(main(seed, at_leader=at_leader))

    def test_slow_disks_delay_a_change_and_lose_no_lease(self) -> None:
        """The leader stays even if a write takes 0.5 s, longer than a heartbeat."""

        async def main(seed: int) -> None:
            group, leader = await self.start(seed)
            for member in group.live():
                self.disk_of(member).extra_seconds = 0.5
            for number in range(3):
                await self.accept(group, b"slow-%d" % number)
            self.assertIs(group.leader(), leader)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(main(seed))
