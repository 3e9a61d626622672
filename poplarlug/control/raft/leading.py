"""Work of a leader from its election until it steps down."""

import asyncio

from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import ConsensusState, Role
from poplarlug.control.raft.peer import Peer
from poplarlug.control.raft.timing import (
    HEARTBEAT_SECONDS,
    MAX_ELECTION_TIMEOUT_SECONDS,
)
from poplarlug.transport import Transport
from poplarlug.types import Seconds, VmName


class Leadership:
    """Replicate the log, commit entries and monitor the lease."""

    def __init__(self, *, state: ConsensusState, transport: Transport) -> None:
        self._state = state
        self._transport = transport
        self._first_index = 0
        self.leader_since: Seconds = 0.0
        self.peers_by_name: dict[VmName, Peer] = {}
        self._tasks_by_name: dict[VmName, asyncio.Task[None]] = {}

    @property
    def has_lease(self) -> bool:
        """Whether this replica leads within its lease and has all committed entries."""
        state = self._state
        if state.role is not Role.LEADER or state.commit_index < self._first_index:
            return False
        if not state.is_voter:
            # Candidates do not ask non-voters, so it could not block another leader.
            return False
        return state.now() < self.lease_expires_at

    @property
    def lease_expires_at(self) -> float:
        state = self._state
        return state.lease.expires_at(state.members, state.name)

    @property
    def may_change_members(self) -> bool:
        """Whether the last member change and an entry of this term are committed."""
        return self.has_lease and self._state.members_index <= self._state.commit_index

    def caught_up_voters(self) -> list[VmName]:
        """Return the other voters that hold the whole log."""
        last_index = self._state.log.last_index
        return [
            voter.name
            for voter in self._state.members.voters
            if voter.name != self._state.name
            and self._match_index(voter.name) == last_index
        ]

    async def run(self) -> None:
        """Lead until a later term is seen, the lease ends or the disk fails."""
        state = self._state
        term = state.term
        self.leader_since = state.now()
        self._first_index = state.append_as_leader(EntryKind.NOOP, b"")
        writer = asyncio.ensure_future(self._write_log(term))
        watcher = asyncio.ensure_future(self._watch_lease(term))
        tasks = {writer, watcher}
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            if state.leads(term):
                state.step_down("its tasks ended")
            await self._cancel({*tasks, *self._tasks_by_name.values()})
            self.peers_by_name.clear()
            self._tasks_by_name.clear()

    def advance_commit(self) -> None:
        """Commit the entries that a quorum of the voters holds durably."""
        state = self._state
        members = state.members
        matches = sorted(self._match_index(voter.name) for voter in members.voters)
        log_index = matches[len(matches) - members.quorum]
        if log_index <= state.commit_index:
            return
        if state.log.term_at(log_index) == state.term:
            state.commit(log_index)
            self._wake_peers()

    async def _write_log(self, term: int) -> None:
        state = self._state
        while state.leads(term):
            state.appended.clear()
            self._update_peers()
            self._wake_peers()
            if not await state.persist(state.log.last_index):
                if state.leads(term):
                    state.step_down("its disk refuses writes")
                return
            if state.leads(term):
                self.advance_commit()
            if state.log.durable_index >= state.log.last_index:
                await state.appended.wait()

    async def _watch_lease(self, term: int) -> None:
        state = self._state
        grace_ends = state.now() + MAX_ELECTION_TIMEOUT_SECONDS
        while state.leads(term):
            if state.now() > max(grace_ends, self.lease_expires_at):
                state.step_down("out of touch with a quorum")
                return
            for task in self._tasks_by_name.values():
                if task.done():
                    task.result()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _update_peers(self) -> None:
        others = {m.name: m for m in self._state.members.all}
        others.pop(self._state.name, None)
        for name, peer in list(self.peers_by_name.items()):
            if others.get(name) != peer.member:
                self._tasks_by_name.pop(name).cancel()
                del self.peers_by_name[name]
        for name, member in others.items():
            if name not in self.peers_by_name:
                peer = Peer(
                    member=member,
                    state=self._state,
                    transport=self._transport,
                    on_match=self.advance_commit,
                )
                self.peers_by_name[name] = peer
                self._tasks_by_name[name] = asyncio.ensure_future(peer.run())

    def _match_index(self, name: VmName) -> int:
        if name == self._state.name:
            return self._state.log.durable_index
        peer = self.peers_by_name.get(name)
        return peer.match_index if peer is not None else 0

    def _wake_peers(self) -> None:
        for peer in self.peers_by_name.values():
            peer.wake.set()

    async def _cancel(self, tasks: "set[asyncio.Task[None]]") -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
