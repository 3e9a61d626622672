"""Follower side of log replication and snapshot installation."""

import asyncio

from returns.result import Failure

from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.raft.messages import (
    APPEND_TOPIC,
    INSTALL_TOPIC,
    AppendReply,
    AppendRequest,
    InstallReply,
    InstallRequest,
)
from poplarlug.control.raft.snapshotting import rewrite_log_file
from poplarlug.control.raft.timing import DISK_RETRY_SECONDS
from poplarlug.control.snapshot_store import Snapshot, decode_snapshot
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport

MAX_SNAPSHOT_BYTES = 1024 * 1024 * 1024

_log = ComponentLogger(prefix="raft")


class Follower:
    """Store the entries and install the snapshots that the leader sends."""

    def __init__(self, *, state: ConsensusState, transport: Transport) -> None:
        self._state = state
        self._incoming_index = 0
        self._incoming = bytearray()
        transport.serve(APPEND_TOPIC, AppendRequest, self._serve_append)
        transport.serve(INSTALL_TOPIC, InstallRequest, self._serve_install)

    async def _serve_append(self, sender: str, request: AppendRequest) -> AppendReply:
        state = self._state
        await state.started.wait()
        if not self._accepts(sender, request.term, request.member_incarnation):
            return self._append_reply(False, 0)
        previous = request.previous_index
        if not self._has_entry(previous, request.previous_term):
            await self._persist()
            return self._append_reply(False, self._retry_index(previous))
        state.merge_entries(request.entries)
        last_index = previous + len(request.entries)
        if not await self._persist(last_index):
            return self._append_reply(False, state.log.durable_index)
        if state.term != request.term:
            return self._append_reply(False, 0)
        state.commit(min(request.commit_index, last_index))
        return self._append_reply(True, last_index)

    async def _serve_install(
        self, sender: str, request: InstallRequest
    ) -> InstallReply:
        state = self._state
        await state.started.wait()
        if not self._accepts(sender, request.term, request.member_incarnation):
            return self._install_reply(0, False)
        if not await self._persist():
            return self._install_reply(0, False)
        if request.log_index <= state.applied_index:
            return self._install_reply(0, True)
        if request.log_index != self._incoming_index or request.offset == 0:
            self._incoming_index = request.log_index
            self._incoming = bytearray()
        if request.total > MAX_SNAPSHOT_BYTES or request.offset != len(self._incoming):
            return self._install_reply(len(self._incoming), False)
        self._incoming += request.chunk
        if len(self._incoming) < request.total:
            return self._install_reply(len(self._incoming), False)
        data, self._incoming = bytes(self._incoming), bytearray()
        snapshot = decode_snapshot(data)
        if isinstance(snapshot, Failure):
            _log.error("received a damaged snapshot", leader=sender)
            return self._install_reply(0, False)
        installed = await self._install(snapshot.unwrap(), request.term)
        return self._install_reply(0, installed)

    async def _install(self, snapshot: Snapshot, term: int) -> bool:
        state = self._state
        try:
            await state.snapshots.save(snapshot)
        except OSError as error:
            state.record_disk_result(error)
            return False
        if state.snapshots.log_index < snapshot.log_index or state.term != term:
            return False
        state.install_snapshot(snapshot)
        _log.info("installed a snapshot", log_index=snapshot.log_index)
        await rewrite_log_file(state)
        return True

    async def _persist(self, log_index: int = 0) -> bool:
        """Make durable what a reply depends on; sleep if the disk refuses writes."""
        if await self._state.persist(log_index):
            return True
        # The leader resends right after a refusal, so delay it.
        await asyncio.sleep(DISK_RETRY_SECONDS)
        return False

    def _accepts(self, sender: str, term: int, incarnation: str) -> bool:
        state = self._state
        if incarnation != state.hard_state.incarnation or term < state.term:
            return False
        state.follow_leader(sender, term, state.now())
        return True

    def _has_entry(self, log_index: int, term: int) -> bool:
        # Entries up to the base are committed, so the leader's log matches there.
        if log_index < self._state.log.base_index:
            return True
        return self._state.log.term_at(log_index) == term

    def _retry_index(self, previous: int) -> int:
        last_index = self._state.log.last_index
        return last_index if last_index < previous else self._state.commit_index

    def _append_reply(self, accepted: bool, match_index: int) -> AppendReply:
        hard_state = self._state.hard_state
        return AppendReply(
            hard_state.term, hard_state.incarnation, accepted, match_index
        )

    def _install_reply(self, offset: int, installed: bool) -> InstallReply:
        hard_state = self._state.hard_state
        return InstallReply(hard_state.term, hard_state.incarnation, offset, installed)
