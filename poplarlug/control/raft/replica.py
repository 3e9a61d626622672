"""One replica of the control group's replicated log."""

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Any

from returns.result import Failure, Result

from poplarlug.control.disk import Disk
from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import Clock, ConsensusState, Role
from poplarlug.control.raft.election import Election
from poplarlug.control.raft.following import Follower
from poplarlug.control.raft.identification import Bootstrap, Identification
from poplarlug.control.raft.leading import Leadership
from poplarlug.control.raft.membership import AutoJoin, Membership
from poplarlug.control.raft.proposals import append_and_wait
from poplarlug.control.raft.recovery import recover_as_only_member
from poplarlug.control.raft.retirement import Retirement
from poplarlug.control.raft.snapshotting import (
    KEPT_ENTRIES,
    SNAPSHOT_BYTES,
    SNAPSHOT_ENTRIES,
    Snapshotter,
)
from poplarlug.control.raft.timing import (
    DISK_RETRY_SECONDS,
    MAX_ELECTION_TIMEOUT_SECONDS,
)
from poplarlug.control.replicated_log import (
    ProposeError,
    ProposeErrorKind,
    ReplicatedLog,
    StateMachine,
)
from poplarlug.transport import Transport
from poplarlug.types import Seconds, VmName

MAX_PROPOSALS = 1024
MAX_COMMAND_BYTES = 4 * 1024 * 1024
"""Size limit of one command; a table of a few thousand routes takes about 1 MB."""

ERROR_CHECK_SECONDS = 1.0


class Replica(ReplicatedLog):
    """
    Replicate one log of commands by consensus with the other replicas.

    Parameters
    ----------
    bootstrap : sequence of VmName
        All replicas of a new group; empty if this replica only joins an existing
        group.
    recover_incarnation : str
        Makes this replica the only member if its disk holds this incarnation;
        see :func:`~poplarlug.control.raft.recovery.recover_as_only_member`.
    rng : random.Random
        Source of the incarnation and of random election timeouts.
    clock : callable, optional
        See :class:`ConsensusState`.
    auto_join : AutoJoin, optional
        Lets replicas join by themselves; without it, operators add them.
    """

    def __init__(
        self,
        *,
        name: VmName,
        transport: Transport,
        disk: Disk,
        state_machine: StateMachine,
        rng: Random,
        bootstrap: Sequence[VmName] = (),
        recover_incarnation: str = "",
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        kept_entries: int = KEPT_ENTRIES,
        snapshot_bytes: int = SNAPSHOT_BYTES,
        clock: Clock | None = None,
        auto_join: AutoJoin | None = None,
    ) -> None:
        self.state = ConsensusState(
            name=name, disk=disk, state_machine=state_machine, rng=rng, clock=clock
        )
        self._recover_incarnation = recover_incarnation
        self._election = Election(state=self.state, transport=transport)
        self._follower = Follower(state=self.state, transport=transport)
        self._leadership = Leadership(state=self.state, transport=transport)
        self.identification = Identification(
            state=self.state, leadership=self._leadership, transport=transport
        )
        self._bootstrap = Bootstrap(
            state=self.state, identification=self.identification, names=bootstrap
        )
        self._snapshotter = Snapshotter(
            state=self.state,
            snapshot_entries=snapshot_entries,
            kept_entries=kept_entries,
            snapshot_bytes=snapshot_bytes,
        )
        self.membership = Membership(
            state=self.state,
            leadership=self._leadership,
            identification=self.identification,
            auto_join=auto_join,
        )
        self._retirement = Retirement(
            state=self.state,
            leadership=self._leadership,
            membership=self.membership,
            transport=transport,
        )

    def load(self) -> Result[None, str]:
        """
        Restore the state from the disk; must be called once, before :meth:`run`.

        Returns
        -------
        Failure(str)
            What is damaged and how to repair it.
        """
        return self.state.load()

    @property
    def leader(self) -> VmName | None:
        state = self.state
        if state.role is Role.LEADER:
            return state.name
        silence = state.now() - state.last_contact
        return state.leader if silence < MAX_ELECTION_TIMEOUT_SECONDS else None

    @property
    def is_leader(self) -> bool:
        return self._leadership.has_lease

    @property
    def is_current(self) -> bool:
        state = self.state
        # A leader's first entry comes after all entries committed before its term.
        is_applied = state.log.term_at(state.applied_index) == state.term
        return self.leader is not None and is_applied

    async def propose(self, command: bytes) -> Result[Any, ProposeError]:
        state = self.state
        rejection = self._rejection_reason(command)
        if rejection is not None:
            error = ProposeError(ProposeErrorKind.NOT_LEADER, rejection, self.leader)
            return Failure(error)
        return await append_and_wait(state, EntryKind.COMMAND, command)

    async def retire(self, seconds: Seconds) -> None:
        """
        Hand the lead and the vote of this replica over before a planned stop.

        From then on it accepts no commands. :meth:`run` must go on meanwhile.

        Parameters
        ----------
        seconds : float
            Maximum time that this takes.
        """
        await self._retirement.run(seconds)

    async def run(self) -> None:
        state = self.state
        await recover_as_only_member(state, self._recover_incarnation)
        await self._persist_until_saved()
        state.last_contact = state.started_at = state.now()
        state.started.set()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._bootstrap.run())
                tasks.create_task(self._snapshotter.run())
                tasks.create_task(self.membership.run())
                tasks.create_task(self._run_elections())
                tasks.create_task(self._watch_for_apply_error())
        finally:
            state.step_down("the replica stops")

    async def _persist_until_saved(self) -> None:
        """Return once the state that answers to peers depend on is durable."""
        while True:
            if await self.state.persist():
                return
            await asyncio.sleep(DISK_RETRY_SECONDS)

    async def _run_elections(self) -> None:
        while True:
            await self._election.wait_until_due()
            if await self._election.campaign():
                await self._leadership.run()
            else:
                await self._election.wait_before_retry()

    async def _watch_for_apply_error(self) -> None:
        """Raise the error with which the state machine failed to apply an entry."""
        while True:
            if self.state.apply_error is not None:
                raise self.state.apply_error
            await asyncio.sleep(ERROR_CHECK_SECONDS)

    def _rejection_reason(self, command: bytes) -> str | None:
        state = self.state
        if state.is_stopping:
            return "this replica stops; ask another one"
        if state.role is not Role.LEADER:
            return f"{self.leader or 'no known replica'} is the leader"
        if len(state.waiters_by_index) >= MAX_PROPOSALS:
            return "too many changes wait for a quorum; retry later"
        if len(command) > MAX_COMMAND_BYTES:
            return f"got {len(command)} bytes, expected at most {MAX_COMMAND_BYTES}"
        return None
