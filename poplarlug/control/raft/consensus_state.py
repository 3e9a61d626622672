"""Raft state of one replica, shared by its tasks."""

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

    Synchronous methods change the state in memory only and never yield to the event
    loop. Call :meth:`persist` before answering a peer, so that the hard state and the
    log that the answer depends on are durable.

    Parameters
    ----------
    clock : callable, optional
        Returns the time in seconds for leases and timeouts; the event loop's time by
        default. If the VM may be suspended, the clock must include the time spent
        suspended.

    Attributes
    ----------
    followed : VmName or None
        The leader that this replica followed last, even if it leads itself by now.
    last_contact : float
        Time on the clock at which that leader was heard from last.
    is_stopping : bool
        Whether this replica ends soon, so that it accepts no commands and doesn't run
        for leader.
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
        self.followed: VmName | None = None
        self.last_contact: Seconds = 0.0
        self.is_stopping = False
        self.started_at: Seconds = 0.0
        self.applied_index = 0
        self.started = asyncio.Event()
        self.appended = asyncio.Event()
        self.applied = asyncio.Event()
        self.apply_error: Exception | None = None
        self.waiters_by_index: dict[int, Waiter] = {}
        self._members_by_index: dict[int, Members] = {0: Members()}
        self._disk_is_failing = False

    def now(self) -> Seconds:
        """Return the time that leases and timeouts are measured with."""
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
    def own_member(self) -> Member:
        return Member(self.name, self.hard_state.incarnation)

    @property
    def members(self) -> Members:
        """The latest members in the log, whether committed or not."""
        return self._members_by_index[max(self._members_by_index)]

    @property
    def members_index(self) -> int:
        """Index of the log entry that holds the latest members."""
        return max(self._members_by_index)

    @property
    def is_voter(self) -> bool:
        return self.own_member in self.members.voters

    @property
    def may_have_unknown_lease(self) -> bool:
        """
        Whether a lease renewed by this replica before its restart may still be valid.

        True if the process started less than the minimum election timeout ago and has
        not heard from a leader since.
        """
        if self.last_contact > self.started_at:
            return False
        return self.now() - self.started_at < MIN_ELECTION_TIMEOUT_SECONDS

    @property
    def is_empty(self) -> bool:
        return self.log.last_index == 0

    def load(self) -> Result[None, str]:
        """Read the disk and apply all entries up to the last known commit index."""
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
                "folder and let the other replicas re-add this one"
            )
        self._record_members(self.log.entries_from(self.log.base_index + 1))
        image = snapshot.unwrap()
        if image is not None:
            self.install_snapshot(image)
        self._apply_committed()
        return Success(None)

    async def persist(self, log_index: int = 0) -> bool:
        """
        Save the hard state and sync the log up to ``log_index``.

        Returns
        -------
        bool
            Whether everything is durable. If a write fails, for example because the
            disk is full, the next call tries again.
        """
        writes = not self.hard_state.is_saved or not self.log.is_durable(log_index)
        try:
            await self.hard_state.save()
            await self.log.sync(log_index)
        except OSError as error:
            self.record_disk_result(error)
            return False
        if writes:
            self.record_disk_result(None)
        return True

    def record_disk_result(self, error: OSError | None) -> None:
        """Log when the disk starts to refuse writes and when it accepts them again."""
        if error is not None and not self._disk_is_failing:
            _log.error("the disk refuses writes", name=self.name, error=repr(error))
        elif error is None and self._disk_is_failing:
            _log.info("the disk takes writes again", name=self.name)
        self._disk_is_failing = error is not None

    def members_at(self, log_index: int) -> Members:
        """Return the members as of the entry at ``log_index``."""
        index = max(i for i in self._members_by_index if i <= log_index)
        return self._members_by_index[index]

    def leads(self, term: int) -> bool:
        return self.role is Role.LEADER and self.term == term

    def observe_term(self, term: int) -> None:
        """Enter ``term`` as a follower if it is later than the current one."""
        if term > self.term:
            self.hard_state.raise_term(term)
            self.step_down("a later term was seen")

    def follow_leader(self, leader: VmName, term: int, now: Seconds) -> None:
        """Record contact with the leader of ``term`` and follow it."""
        self.observe_term(term)
        assert self.role is not Role.LEADER, f"two leaders in term {term}"
        if self.leader != leader:
            _log.info("following a leader", name=self.name, leader=leader, term=term)
        self.role = Role.FOLLOWER
        self.leader = self.followed = leader
        self.last_contact = now

    def step_down(self, reason: str) -> None:
        """Become a follower; pending proposals get an unknown outcome."""
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
        """Append an entry of the current term and return its index."""
        log_index = self.log.last_index + 1
        self._append([Entry(self.term, log_index, kind, data)])
        self.appended.set()
        return log_index

    def merge_entries(self, entries: Sequence[Entry]) -> None:
        """Append a leader's entries, replacing conflicting ones."""
        for position, entry in enumerate(entries):
            if entry.log_index <= self.commit_index:
                continue
            held_term = self.log.term_at(entry.log_index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                self._truncate_from(entry.log_index)
            self._append(entries[position:])
            return

    def commit(self, log_index: int) -> None:
        """Commit and apply all entries up to ``log_index``, which a quorum holds."""
        if log_index <= self.commit_index:
            return
        assert log_index <= self.log.last_index
        self.log.commit_index = log_index
        self._apply_committed()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Restore the state from a snapshot that is already durable on disk."""
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
        self.drop_members_before(index)
        self.applied.set()

    def drop_members_before(self, log_index: int) -> None:
        """Drop member sets that were superseded at or before ``log_index``."""
        newest = max(i for i in self._members_by_index if i <= log_index)
        for index in [i for i in self._members_by_index if i < newest]:
            del self._members_by_index[index]

    def _append(self, entries: Sequence[Entry]) -> None:
        self.log.append(entries)
        self._record_members(entries)

    def _truncate_from(self, log_index: int) -> None:
        self.log.truncate_from(log_index)
        for index in [i for i in self._members_by_index if i >= log_index]:
            del self._members_by_index[index]

    def _record_members(self, entries: Sequence[Entry]) -> None:
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
        log_entry = LogEntry(entry.term, entry.log_index, entry.data)
        try:
            return self.state_machine.apply(log_entry)
        except Exception as error:
            self.apply_error = error
            raise


def unknown_outcome(reason: str) -> Result[Any, ProposeError]:
    return Failure(ProposeError(ProposeErrorKind.UNKNOWN, f"outcome unknown: {reason}"))
