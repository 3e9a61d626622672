"""Tests of groups whose disks fill up one after the other, each for some seconds."""

import asyncio
import sys
from itertools import count
from random import Random
from unittest.mock import patch

from poplarlug.control.raft.snapshotting import SNAPSHOT_RETRY_SECONDS
from poplarlug.control.snapshot_store import SNAPSHOT_FILE
from poplarlug.virtualtime import run_virtual
from tests.control.group import NAMES, GroupMember, SimulatedGroup
from tests.control.quiet import QuietTestCase

SEEDS = range(10)
LONG_SEEDS = range(4)
FULL_SECONDS = 3.0
ACCEPT_SECONDS = 6.0
"""Time within which the users' deployments require a change to be acknowledged."""

RETRY_SECONDS = 0.1
LARGE_BYTES = 2_000
LARGE_CHANGES = 10
ROOM_BYTES = 5_000
"""Room on a disk afterwards: enough for many small changes, less than the log takes."""

DISKS_IN_A_ROW = 24
TRIED_CHANGES = 60
TRIED_SECONDS = TRIED_CHANGES * (RETRY_SECONDS + 0.02)


class DisksInTurnTests(QuietTestCase):
    async def accept(self, group: SimulatedGroup, command: bytes) -> None:
        """Propose until some leader accepts; fail after ``ACCEPT_SECONDS``."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ACCEPT_SECONDS
        while not await group.propose(command):
            self.assertLess(loop.time(), deadline, f"{command[:20]!r} not accepted")
            await asyncio.sleep(RETRY_SECONDS)

    def holders(self, group: SimulatedGroup, command: bytes) -> list[GroupMember]:
        """Return the members whose disks hold ``command``, in the log or a snapshot."""
        forms = (command, command.hex().encode())
        return [
            member
            for member in group.members_by_name.values()
            for held in [b"".join(member.disk.files_by_name.values())]
            if any(form in held for form in forms)
        ]

    # Guards against replicas that need more room after a failed write than before it.
    def test_disks_with_less_room_than_the_log_take_changes_again(self) -> None:
        """After all disks were full in turn, each one takes part again."""

        async def main(seed: int) -> None:
            group = SimulatedGroup(rng=Random(seed), snapshot_entries=10_000)
            group.start()
            await group.wait_for_leader()
            for number in range(LARGE_CHANGES):
                await self.accept(group, b"%d" % number + bytes(LARGE_BYTES))
            loop = asyncio.get_running_loop()
            numbers = count()
            for member in group.members_by_name.values():
                disk = member.disk
                disk.capacity_bytes = disk.used_bytes
                ends = loop.time() + FULL_SECONDS
                while loop.time() < ends:
                    await self.accept(group, b"while-full-%d" % next(numbers))
                    await asyncio.sleep(RETRY_SECONDS)
                disk.capacity_bytes = disk.used_bytes + ROOM_BYTES
            await self.accept(group, b"after-the-last")
            await asyncio.sleep(2.0)
            self.assertEqual(len(self.holders(group, b"after-the-last")), 3)
            group.check()

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    # Guards against a whole snapshot for each change while there is no room for it.
    def test_snapshot_without_room_is_tried_now_and_then(self) -> None:
        """Changes go on meanwhile, and it is saved once there is room."""

        async def main() -> None:
            group = SimulatedGroup(rng=Random(1), snapshot_entries=16)
            group.start()
            leader = await group.wait_for_leader()
            disk = leader.disk
            await self.accept(group, b"large" + bytes(LARGE_BYTES))
            disk.capacity_bytes = disk.used_bytes + ROOM_BYTES
            with patch.object(disk, "replace", wraps=disk.replace) as replace:
                for number in range(TRIED_CHANGES):
                    await self.accept(group, b"%d" % number)
                    await asyncio.sleep(RETRY_SECONDS)
                tried = [
                    call for call in replace.mock_calls if SNAPSHOT_FILE in call.args
                ]
            self.assertLessEqual(len(tried), TRIED_SECONDS / SNAPSHOT_RETRY_SECONDS + 1)
            self.assertGreater(len(tried), 0)
            self.assertIs(group.leader(), leader)
            disk.capacity_bytes = sys.maxsize
            await asyncio.sleep(SNAPSHOT_RETRY_SECONDS)
            await self.accept(group, b"last")
            await asyncio.sleep(1.0)
            self.assertIn(SNAPSHOT_FILE, disk.files_by_name)

        run_virtual(main())

    # Guards against a newcomer that stays outside after its disk had no room.
    def test_newcomer_with_a_full_disk_replaces_a_lost_replica(self) -> None:
        """With room for nothing, or for less than the snapshot, then for all."""

        async def main(seed: int) -> None:
            rng = Random(seed)
            group = SimulatedGroup(
                rng=rng,
                names=(*NAMES, "d"),
                bootstrap_names=NAMES,
                auto_join=True,
            )
            for name in NAMES:
                group.members_by_name[name].start()
            lost = await group.wait_for_leader()
            for number in range(3 * LARGE_CHANGES):
                await self.accept(group, b"%d" % number + bytes(LARGE_BYTES))
            newcomer = group.members_by_name["d"]
            newcomer.disk.capacity_bytes = rng.choice((0, 400, LARGE_BYTES))
            newcomer.start()
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            lost.crash()
            await asyncio.sleep(rng.uniform(0.0, 6.0))
            await self.accept(group, b"while-full")
            newcomer.disk.capacity_bytes = sys.maxsize
            remaining = {*group.members_by_name} - {lost.name}
            await group.wait_for(
                lambda: self.voters(group) == remaining, "the lost one is not replaced"
            )
            (await group.wait_for_leader()).crash()
            await group.wait_for_leader()
            await self.accept(group, b"with-the-newcomer")

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def voters(self, group: SimulatedGroup) -> set[str]:
        leader = group.leader()
        if leader is None or leader.replica is None:
            return set()
        return {voter.name for voter in leader.replica.state.members.voters}

    # Guards against any other way in which disks that were full end a group.
    def test_disks_full_in_a_row_beside_other_faults(self) -> None:
        """Each may be the leader's, with partial writes, kills, and lost disks."""

        for seed in LONG_SEEDS:
            with self.subTest(seed=seed):
                run_virtual(self.fill_in_a_row(seed))

    async def fill_in_a_row(self, seed: int) -> None:
        rng = Random(seed)
        group = SimulatedGroup(
            rng=rng,
            one_way=rng.choice((0.0005, 0.02, 0.055)),
            snapshot_entries=rng.choice((16, 64)),
            snapshot_bytes=rng.choice((4_000, 1_000_000)),
            names=rng.choice((NAMES, NAMES, (*NAMES, "d", "e"))),
            auto_join=rng.random() < 0.5,
        )
        group.start()
        leader = await group.wait_for_leader()
        accepted: list[bytes] = []
        changing = asyncio.ensure_future(self.keep_changing(group, rng, accepted))
        at_leader = rng.random() < 0.5
        for _ in range(DISKS_IN_A_ROW):
            if at_leader:
                await asyncio.sleep(rng.uniform(0.0, 0.3))
                leader = group.leader() or leader
            else:
                names = [one for one in group.members_by_name if one != leader.name]
                leader = group.members_by_name[rng.choice(names)]
            await self.fill(group, leader, rng)
        changing.cancel()
        await self.accept(group, b"after-the-last")
        await group.wait_for(group.all_replicas_vote, "not all vote")
        await group.wait_for(
            lambda: (
                len(self.holders(group, b"after-the-last"))
                == len(group.members_by_name)
            ),
            "not all hold it",
        )
        newest = await group.wait_for_leader()
        held = {command for _, _, command in newest.machine.entries}
        self.assertEqual([one for one in accepted if one not in held], [])

    async def keep_changing(
        self, group: SimulatedGroup, rng: Random, accepted: list[bytes]
    ) -> None:
        for number in count():
            size = rng.choice((10, 10, 300, 3_000))
            command = b"change-%d-" % number + bytes(size)
            if await group.propose(command):
                accepted.append(command)
            await asyncio.sleep(rng.uniform(0.0, 0.2))

    async def fill(
        self, group: SimulatedGroup, member: GroupMember, rng: Random
    ) -> None:
        """Fill a disk for some seconds; its process may end or lose the disk."""
        disk = member.disk
        if rng.random() < 0.3:
            disk.is_full = True
        else:
            disk.capacity_bytes = disk.used_bytes + rng.choice((0, 0, 40, 400, 4_000))
        seconds = rng.uniform(0.5, 6.0)
        fate = rng.choice(("runs", "runs", "runs", "killed", "wiped"))
        if fate != "runs":
            await asyncio.sleep(rng.uniform(0.0, seconds))
            # No second disk may be lost before the first has its entries again.
            if fate == "wiped" and group.all_replicas_vote():
                group.wipe(member.name)
                disk.capacity_bytes = 0
            if member.replica is not None:
                member.crash()
            member.start()
        await asyncio.sleep(seconds)
        disk.is_full = False
        disk.capacity_bytes = sys.maxsize
        await group.wait_for(group.all_replicas_vote, "not all vote", 20.0)
