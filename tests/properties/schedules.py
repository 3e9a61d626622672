"""Random fault schedules for a control group in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from poplarlug.transport.memory import LinkQuality
from tests.control.group import SimulatedGroup

STEPS = 8
TICK_SECONDS = 0.1
DISK_SECONDS = 0.005
SLOW_DISK_SECONDS = 2.0
LATENCIES_SECONDS = (0.0005, 0.055)


class Schedule:
    """
    Seeded random faults and proposals, followed by consistency checks.

    Parameters
    ----------
    seed : int
        The same seed yields the same schedule.
    """

    def __init__(self, *, seed: int) -> None:
        self.rng = Random(seed)
        self.group = SimulatedGroup(
            rng=self.rng, one_way=self.rng.choice(LATENCIES_SECONDS)
        )
        self._sent = 0
        self._accepted: set[bytes] = set()
        self._proposals: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run the schedule, heal everything and check the final state."""
        group = self.group
        group.start()
        await group.wait_for_leader()
        actions: list[Callable[[], Awaitable[None] | None]] = [
            self.propose,
            self.propose,
            self.propose,
            self.crash,
            self.restart,
            self.restart,
            self.cut,
            self.isolate,
            self.degrade,
            self.heal,
            self.wipe,
            self.lose_disk_and_leader,
            self.cut_leader_one_way,
            self.crash_leader_with_slow_disk,
        ]
        for _ in range(STEPS):
            step = self.rng.choice(actions)()
            if step is not None:
                await step
            self.propose()
            await self._pass_time(self.rng.choice((0.01, 0.1, 0.5, 2.0)))
        self.heal()
        for member in group.members_by_name.values():
            if member.replica is None:
                member.start()
        await group.wait_for(group.all_replicas_vote, "the group is not whole", 60.0)
        await asyncio.wait(self._proposals)
        await group.wait_for(self._machines_agree, "state machines differ", 30.0)
        self._check_accepted()

    async def lose_disk_and_leader(self) -> None:
        """Wipe a replica that held the latest entries, then crash the leader."""
        group = self.group
        leader = group.leader()
        if leader is None or not group.all_replicas_vote():
            return
        lagging, wiped = self.rng.sample(
            [name for name in group.members_by_name if name != leader.name], 2
        )
        self.heal()
        self._cut_off(lagging)
        self.propose()
        await self._pass_time(self.rng.choice((0.2, 0.5)))
        group.wipe(wiped)
        self.heal()
        group.members_by_name[wiped].start()
        await self._pass_time(self.rng.choice((0.0, 0.1, 0.5, 1.0)))
        if leader.replica is not None:
            leader.crash()
        await self._pass_time(4.0)

    async def crash_leader_with_slow_disk(self) -> None:
        """Crash the leader during a write, and the only replica with its entries."""
        group = self.group
        leader = group.leader()
        if leader is None or not group.all_replicas_vote():
            return
        others = [name for name in group.members_by_name if name != leader.name]
        lagging, holding = self.rng.sample(others, 2)
        self.heal()
        self._cut_off(lagging)
        leader.disk.max_delay = SLOW_DISK_SECONDS
        self.propose()
        await self._pass_time(self.rng.choice((0.2, 0.4)))
        leader.disk.max_delay = DISK_SECONDS
        for member in (leader, group.members_by_name[holding]):
            if member.replica is not None:
                member.crash()
        self.heal()
        leader.start()
        await self._pass_time(4.0)

    async def cut_leader_one_way(self) -> None:
        """Cut only the link from the leader to one replica."""
        leader = self.group.leader()
        if leader is None:
            return
        others = sorted(set(self.group.members_by_name) - {leader.name})
        self.heal()
        await self._pass_time(1.5)
        self.group.network.cut(leader.name, self.rng.choice(others))
        await self._pass_time(4.0)

    def propose(self) -> None:
        """Propose some commands to any replica that considers itself the leader."""
        for _ in range(self.rng.randint(1, 6)):
            self._sent += 1
            command = b"command %d" % self._sent
            task = asyncio.ensure_future(self._propose(command))
            self._proposals.add(task)

    def crash(self) -> None:
        live = self.group.live()
        if live:
            self.rng.choice(live).crash()

    def restart(self) -> None:
        for member in self.group.members_by_name.values():
            if member.replica is None:
                member.start()

    def cut(self) -> None:
        """Cut one link in one direction."""
        source, target = self.rng.sample(sorted(self.group.members_by_name), 2)
        self.group.network.cut(source, target)

    def isolate(self) -> None:
        self._cut_off(self.rng.choice(sorted(self.group.members_by_name)))

    def degrade(self) -> None:
        """Lose and delay frames on one link in one direction."""
        source, target = self.rng.sample(sorted(self.group.members_by_name), 2)
        quality = LinkQuality(0.0005, self.rng.choice((0.1, 0.6)), 0.3)
        self.group.network.quality_by_link[(source, target)] = quality

    def heal(self) -> None:
        self.group.network.heal()
        self.group.network.quality_by_link.clear()

    def wipe(self) -> None:
        """Wipe one disk if the group includes all replicas."""
        if self.group.all_replicas_vote():
            name = self.rng.choice(sorted(self.group.members_by_name))
            self.group.wipe(name)

    def _cut_off(self, isolated: str) -> None:
        for name in self.group.members_by_name:
            if name != isolated:
                self.group.network.cut(name, isolated)
                self.group.network.cut(isolated, name)

    async def _propose(self, command: bytes) -> None:
        if await self.group.propose(command):
            self._accepted.add(command)

    async def _pass_time(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            self.group.check()
            await asyncio.sleep(min(TICK_SECONDS, seconds))

    def _machines_agree(self) -> bool:
        machines = [member.machine for member in self.group.live()]
        first = machines[0].entries
        return all(machine.entries == first for machine in machines)

    def _check_accepted(self) -> None:
        kept = {command for _, _, command in self.group.live()[0].machine.entries}
        lost = self._accepted - kept
        assert not lost, f"accepted commands are lost: {sorted(lost)}"
