"""Simulated control group under virtual time, with seeded random faults."""

import asyncio
from random import Random
from typing import Any

from returns.result import Failure, Success

from poplarlug.control.memory_disk import MemoryDisk
from poplarlug.control.raft.consensus_state import Role
from poplarlug.control.raft.membership import AutoJoin
from poplarlug.control.raft.replica import Replica
from poplarlug.control.raft.snapshotting import SNAPSHOT_BYTES
from poplarlug.control.replicated_log import LogEntry, ReplicatedLog, StateMachine
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.transport.memory import LinkQuality

NAMES = ("a", "b", "c")
POLL_SECONDS = 0.05


class RecordingState(StateMachine):
    """
    Record the position and content of every applied command.

    Parameters
    ----------
    history : dict
        Commands ever applied by any replica, by index; shared by all replicas.
    """

    def __init__(self, *, history: dict[int, tuple[int, int, bytes]]) -> None:
        self.entries: list[tuple[int, int, bytes]] = []
        self._history = history

    def apply(self, entry: LogEntry) -> int:
        if self.entries:
            assert entry.log_index > self.entries[-1][1], "applied index decreased"
        applied = (entry.term, entry.log_index, entry.command)
        first = self._history.setdefault(entry.log_index, applied)
        assert first == applied, f"{applied} in place of {first}"
        self.entries.append(applied)
        return len(self.entries)

    def snapshot(self) -> bytes:
        lines = [f"{term} {index} {data.hex()}" for term, index, data in self.entries]
        return "\n".join(lines).encode()

    def restore(self, data: bytes) -> None:
        restored = []
        for line in data.decode().splitlines():
            term, index, command = line.split(" ")
            restored.append((int(term), int(index), bytes.fromhex(command)))
        assert restored[: len(self.entries)] == self.entries, "entries differ"
        self.entries = restored


class GroupMember:
    """One simulated replica process with its disk."""

    def __init__(self, group: "SimulatedGroup", name: str) -> None:
        self.group = group
        self.name = name
        self.disk = MemoryDisk(rng=group.rng)
        self.replica: Replica | None = None
        self.suspended_seconds = 0.0
        self.machine = RecordingState(history=group.history)
        self._tasks: list[asyncio.Task[Any]] = []

    def start(self, *, recover_incarnation: str = "") -> None:
        transport = MemoryTransport(name=self.name, network=self.group.network)
        self.machine = RecordingState(history=self.group.history)
        self.replica = Replica(
            name=self.name,
            transport=transport,
            disk=self.disk,
            state_machine=self.machine,
            rng=self.group.rng,
            bootstrap=self.group.bootstrap_names,
            recover_incarnation=recover_incarnation,
            snapshot_entries=self.group.snapshot_entries,
            kept_entries=4,
            snapshot_bytes=self.group.snapshot_bytes,
            auto_join=self.group.auto_join_for(self.name),
            clock=self.now,
        )
        loaded = self.replica.load()
        assert isinstance(loaded, Success), loaded
        self._tasks = [
            asyncio.ensure_future(transport.run()),
            asyncio.ensure_future(self.replica.run()),
        ]

    async def stop(self, seconds: float = 3.0) -> None:
        """Stop as planned; the disk stays as it is."""
        assert self.replica is not None
        await self.replica.retire(seconds)
        self.crash()

    def now(self) -> float:
        """Return the VM's clock, which includes the time spent suspended."""
        return asyncio.get_running_loop().time() + self.suspended_seconds

    def crash(self) -> None:
        """Crash the process; unsynced data is lost."""
        self.check_failures()
        self.crash_failed()

    def crash_failed(self) -> None:
        """Crash a process that may have failed already."""
        self.disk.crash()
        self.replica = None
        for task in self._tasks:
            task.cancel()

    def check_failures(self) -> None:
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()


class SimulatedGroup:
    """
    Replicas on one memory network.

    Parameters
    ----------
    rng : random.Random
        Source of all randomness.
    one_way : float
        Minimum one-way latency between any two replicas, in seconds.
    auto_join : bool
        Whether the group adds and removes replicas without operators.
    catch_up_seconds : float, optional
        Target for successors of lost replicas; see :class:`AutoJoin`.
    """

    def __init__(
        self,
        *,
        rng: Random,
        names: tuple[str, ...] = NAMES,
        bootstrap_names: tuple[str, ...] | None = None,
        one_way: float = 0.0005,
        loss: float = 0.0,
        snapshot_entries: int = 16,
        snapshot_bytes: int = SNAPSHOT_BYTES,
        auto_join: bool = False,
        catch_up_seconds: float | None = None,
    ) -> None:
        self._auto_join = auto_join
        self._catch_up_seconds = catch_up_seconds
        self.rng = rng
        self.history: dict[int, tuple[int, int, bytes]] = {}
        self.leaders_by_term: dict[int, str] = {}
        self.bootstrap_names = names if bootstrap_names is None else bootstrap_names
        self.snapshot_entries = snapshot_entries
        self.snapshot_bytes = snapshot_bytes
        quality = LinkQuality(one_way, one_way * 1.5, loss)
        self.network = MemoryNetwork(rng=rng, quality=quality)
        self.members_by_name = {name: GroupMember(self, name) for name in names}

    def start(self) -> None:
        for member in self.members_by_name.values():
            member.start()

    def auto_join_for(self, name: str) -> AutoJoin | None:
        """Return the auto-join configuration of a replica, if enabled."""
        if not self._auto_join:
            return None
        return AutoJoin(
            lambda: [m.name for m in self.live() if m.name != name],
            self._catch_up_seconds,
        )

    def live(self) -> list[GroupMember]:
        return [m for m in self.members_by_name.values() if m.replica is not None]

    def check(self) -> None:
        """Fail if two replicas lead in one term or hold a lease at the same time."""
        self.leader()
        for member in self.live():
            member.check_failures()
            assert member.replica is not None
            state = member.replica.state
            if state.role is Role.LEADER:
                first = self.leaders_by_term.setdefault(state.term, member.name)
                assert first == member.name, f"two leaders in term {state.term}"

    def leader(self) -> GroupMember | None:
        """Return the replica that claims to lead within its lease."""
        leaders = [m for m in self.live() if m.replica and m.replica.is_leader]
        assert len(leaders) < 2, f"two leaders: {[m.name for m in leaders]}"
        return leaders[0] if leaders else None

    async def wait_for_leader(self, seconds: float = 30.0) -> GroupMember:
        return await self.wait_for(self.leader, "no leader", seconds)

    async def wait_for(
        self, condition: Any, message: str, seconds: float = 30.0
    ) -> Any:
        """Return the first truthy result of ``condition``; fail after ``seconds``."""
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            value = condition()
            if value:
                return value
            self.check()
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError(f"{message} after {seconds} s")

    async def propose(self, command: bytes) -> bool:
        """Return whether some leader accepted ``command``."""
        for member in self.live():
            log: ReplicatedLog | None = member.replica
            if log is not None and log.leader == member.name:
                outcome = await log.propose(command)
                return not isinstance(outcome, Failure)
        return False

    def wipe(self, name: str) -> None:
        """Crash a replica if it runs, and erase its disk."""
        member = self.members_by_name[name]
        if member.replica is not None:
            member.crash()
        member.disk.wipe()

    def all_replicas_vote(self) -> bool:
        """Return whether all replicas are voters under their current incarnations."""
        leader = self.leader()
        if leader is None or len(self.live()) < len(self.members_by_name):
            return False
        assert leader.replica is not None
        state = leader.replica.state
        present = {m.replica.state.own_member for m in self.live() if m.replica}
        committed = state.members_index <= state.commit_index
        return committed and set(state.members.voters) == present
