"""State of one replica that its tasks share."""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from typing import Any

from returns.result import Failure, Result, Success

from poplarlug.control.disk import Disk
from poplarlug.control.hard_state import HardState
from poplarlug.control.log_storage import Entry, EntryKind, LogStorage
from poplarlug.control.raft.lease import Lease
from poplarlug.control.raft.members import Member, Members, decode_members
from poplarlug.control.raft.timing import MIN_ELECTION_TIMEOUT_SECONDS
from poplarlug.control.replicated_log import (
    LogEntry,
    ProposeError,
    ProposeErrorKind,
    StateMachine,
)
from poplarlug.control.snapshot_store import Snapshot, SnapshotStore
from poplarlug.logs import ComponentLogger
from poplarlug.types import Seconds, VmName

_log = ComponentLogger(prefix="raft")

Waiter = asyncio.Future[Result[Any, ProposeError]]


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


Clock = Callable[[], Seconds]


class ConsensusState:
    """
    Term, role, log and members of a replica.

    Methods change it in memory without a pause. Whoever answers a peer saves
    ``hard_state`` and syncs ``log`` first.

    Parameters
    ----------
    clock : callable, optional
        Returns seconds for leases and timeouts; the loop's time by default. Where
        a VM may be suspended it has to count that time too.
    """

    def __init__(
        self,
        *,
        name: VmName,
        disk: Disk,
        state_machine: StateMachine,
        rng: Random,
        clock: Clock | None = None,
    ) -> None:
        self.name = name
        self._clock = clock
        self.rng = rng
        self.state_machine = state_machine
        self.hard_state = HardState(disk=disk, rng=rng)
        self.log = LogStorage(disk=disk)
        self.snapshots = SnapshotStore(disk=disk)
        self.lease = Lease()
        self.role = Role.FOLLOWER
        self.leader: VmName | None = None
        self.last_contact: Seconds = 0.0
        self.started_at: Seconds = 0.0
        self.applied_index = 0
        self.started = asyncio.Event()
        self.appended = asyncio.Event()
        self.applied = asyncio.Event()
        self.broken: Exception | None = None
        self.waiters_by_index: dict[int, Waiter] = {}
        self._members_by_index: dict[int, Members] = {0: Members()}
        self._disk_refuses = False

    def now(self) -> Seconds:
        """Return the time by which leases and timeouts are counted."""
        if self._clock is not None:
            return self._clock()
        return asyncio.get_running_loop().time()

    @property
    def term(self) -> int:
        return self.hard_state.term

    @property
    def commit_index(self) -> int:
        return self.log.commit_index

    @property
    def me(self) -> Member:
        return Member(self.name, self.hard_state.incarnation)

    @property
    def members(self) -> Members:
        """The latest members in the log, committed or not."""
        return self._members_by_index[max(self._members_by_index)]

    @property
    def members_index(self) -> int:
        """Index of the entry that holds the latest members."""
        return max(self._members_by_index)

    @property
    def is_voter(self) -> bool:
        return self.me in self.members.voters

    @property
    def may_have_forgotten(self) -> bool:
        """
        Whether this process may have renewed a lease before its start that still runs.

        It started within the shortest election timeout and heard of no leader since.
        """
        if self.last_contact > self.started_at:
            return False
        return self.now() - self.started_at < MIN_ELECTION_TIMEOUT_SECONDS

    @property
    def is_empty(self) -> bool:
        return self.log.last_index == 0

    def load(self) -> Result[None, str]:
        """Read the disk and bring the state machine to the last known commit."""
        loaded = self.hard_state.load()
        if isinstance(loaded, Failure):
            return loaded
        snapshot = self.snapshots.load()
        if isinstance(snapshot, Failure):
            return Failure(snapshot.failure())
        loaded = self.log.load()
        if isinstance(loaded, Failure):
            return loaded
        if self.hard_state.is_new and not self.is_empty:
            return Failure(
                "the data folder holds a log but no hard_state file; empty the whole "
                "folder and let the other replicas take this one in again"
            )
        self._note_members(self.log.entries_from(self.log.base_index + 1))
        image = snapshot.unwrap()
        if image is not None:
            self.install(image)
        self._apply_committed()
        return Success(None)

    async def persist(self, log_index: int = 0) -> bool:
        """
        Save the hard state and sync the log up to ``log_index``.

        Returns
        -------
        bool
            Whether all of it is durable. Where the disk refuses, as a full one does,
            the next call tries again.
        """
        writes = not self.hard_state.is_saved or not self.log.is_durable(log_index)
        try:
            await self.hard_state.save()
            await self.log.sync(log_index)
        except OSError as error:
            self.note_disk(error)
            return False
        if writes:
            self.note_disk(None)
        return True

    def note_disk(self, error: OSError | None) -> None:
        """Log when the disk begins to refuse writes and when it takes them again."""
        if error is not None and not self._disk_refuses:
            _log.error("the disk refuses writes", name=self.name, error=repr(error))
        elif error is None and self._disk_refuses:
            _log.info("the disk takes writes again", name=self.name)
        self._disk_refuses = error is not None

    def members_at(self, log_index: int) -> Members:
        """Return the members as of the entry at ``log_index``."""
        index = max(i for i in self._members_by_index if i <= log_index)
        return self._members_by_index[index]

    def leads(self, term: int) -> bool:
        return self.role is Role.LEADER and self.term == term

    def observe_term(self, term: int) -> None:
        """Follow in ``term`` when it is a later one."""
        if term > self.term:
            self.hard_state.raise_term(term)
            self.step_down("a later term was seen")

    def follow(self, leader: VmName, term: int, now: Seconds) -> None:
        """Note a message from the leader of ``term``."""
        self.observe_term(term)
        assert self.role is not Role.LEADER, f"two leaders in term {term}"
        if self.leader != leader:
            _log.info("follows a leader", name=self.name, leader=leader, term=term)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.last_contact = now

    def step_down(self, reason: str) -> None:
        """Become a follower; proposals in progress have an unknown outcome."""
        if self.role is Role.LEADER:
            _log.warning("steps down", name=self.name, term=self.term, reason=reason)
        self.role = Role.FOLLOWER
        self.leader = None
        self.appended.set()
        waiters, self.waiters_by_index = self.waiters_by_index, {}
        for waiter in waiters.values():
            if not waiter.done():
                waiter.set_result(unknown_outcome(reason))

    def append_as_leader(self, kind: EntryKind, data: bytes) -> int:
        """Add an entry of the present term and return its index."""
        log_index = self.log.last_index + 1
        self._append([Entry(self.term, log_index, kind, data)])
        self.appended.set()
        return log_index

    def store(self, entries: Sequence[Entry]) -> None:
        """Take in a leader's entries, in place of those that differ."""
        for position, entry in enumerate(entries):
            if entry.log_index <= self.commit_index:
                continue
            held_term = self.log.term_at(entry.log_index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                self._cut_from(entry.log_index)
            self._append(entries[position:])
            return

    def commit(self, log_index: int) -> None:
        """Apply all entries up to ``log_index``, which a quorum holds."""
        if log_index <= self.commit_index:
            return
        assert log_index <= self.log.last_index
        self.log.commit_index = log_index
        self._apply_committed()

    def install(self, snapshot: Snapshot) -> None:
        """Continue from a snapshot that is durable on the disk."""
        index, term, members, state = snapshot
        if index <= self.applied_index:
            return
        self.state_machine.restore(state)
        self.applied_index = index
        if self.log.term_at(index) == term:
            self.log.commit_index = max(self.log.commit_index, index)
        elif index > self.log.base_index:
            self.log.reset(index, term)
            self._members_by_index.clear()
        self._members_by_index[index] = members
        self.forget_members_before(index)
        self.applied.set()

    def forget_members_before(self, log_index: int) -> None:
        """Keep the members as of ``log_index`` and the later ones."""
        newest = max(i for i in self._members_by_index if i <= log_index)
        for index in [i for i in self._members_by_index if i < newest]:
            del self._members_by_index[index]

    def _append(self, entries: Sequence[Entry]) -> None:
        self.log.append(entries)
        self._note_members(entries)

    def _cut_from(self, log_index: int) -> None:
        self.log.cut_from(log_index)
        for index in [i for i in self._members_by_index if i >= log_index]:
            del self._members_by_index[index]

    def _note_members(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                self._members_by_index[entry.log_index] = decode_members(entry.data)

    def _apply_committed(self) -> None:
        while self.applied_index < self.commit_index:
            entry = self.log.entry(self.applied_index + 1)
            outcome = self._apply(entry)
            self.applied_index += 1
            waiter = self.waiters_by_index.pop(entry.log_index, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(Success(outcome))
        self.applied.set()

    def _apply(self, entry: Entry) -> Any:
        if entry.kind is not EntryKind.COMMAND:
            return None
        place = LogEntry(entry.term, entry.log_index, entry.data)
        try:
            return self.state_machine.apply(place)
        except Exception as error:
            self.broken = error
            raise


def unknown_outcome(reason: str) -> Result[Any, ProposeError]:
    return Failure(ProposeError(ProposeErrorKind.UNKNOWN, f"outcome unknown: {reason}"))
