"""Snapshots of the state machine, and log compaction."""

import asyncio

from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.snapshot_store import Snapshot
from poplarlug.logs import ComponentLogger

SNAPSHOT_ENTRIES = 4096
KEPT_ENTRIES = 1024
SNAPSHOT_BYTES = 8 * 1024 * 1024
"""Bytes of applied entries between two snapshots, unless the state itself is larger;
a snapshot then costs no more writes than the entries before it."""

SNAPSHOT_RETRY_SECONDS = 5.0
"""Pause after a snapshot that the disk refused, as encoding the state takes time."""

KEPT_BYTES = 2 * 1024 * 1024
"""A replica that lags by more gets a snapshot."""

_log = ComponentLogger(prefix="raft")


class Snapshotter:
    """
    Save snapshots periodically and compact the log.

    Parameters
    ----------
    snapshot_entries : int
        Number of applied entries between two snapshots.
    kept_entries : int
        Number of entries before a snapshot that stay in the log, for replicas that
        lag slightly.
    snapshot_bytes, kept_bytes : int
        Limits on the total size of these entries.
    """

    def __init__(
        self,
        *,
        state: ConsensusState,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        kept_entries: int = KEPT_ENTRIES,
        snapshot_bytes: int = SNAPSHOT_BYTES,
        kept_bytes: int = KEPT_BYTES,
    ) -> None:
        self._state = state
        self._snapshot_entries = snapshot_entries
        self._kept_entries = kept_entries
        self._snapshot_bytes = snapshot_bytes
        self._kept_bytes = kept_bytes
        self._counted_from = 0
        self._counted_index = 0
        self._counted_bytes = 0

    async def run(self) -> None:
        """Save snapshots until cancelled."""
        state = self._state
        while True:
            if self._is_due():
                await self._save()
            await state.applied.wait()
            state.applied.clear()

    def _is_due(self) -> bool:
        state = self._state
        self._count_applied()
        limit = max(self._snapshot_bytes, state.snapshots.size)
        since = state.applied_index - state.snapshots.log_index
        return since >= self._snapshot_entries or self._counted_bytes >= limit

    def _count_applied(self) -> None:
        """Add the sizes of the entries that were applied since the last call."""
        state = self._state
        if self._counted_from != state.snapshots.log_index:
            self._counted_from = self._counted_index = state.snapshots.log_index
            self._counted_bytes = 0
        # The log may already begin after a snapshot that is being installed.
        first = max(self._counted_index, state.log.base_index) + 1
        for log_index in range(first, state.applied_index + 1):
            self._counted_bytes += len(state.log.entry(log_index).data)
        self._counted_index = max(self._counted_index, state.applied_index)

    async def _save(self) -> None:
        state = self._state
        log_index = state.applied_index
        term = state.log.term_at(log_index)
        assert term is not None
        snapshot = Snapshot(
            log_index, term, state.members_at(log_index), state.state_machine.snapshot()
        )
        try:
            if not await state.snapshots.save(snapshot):
                return
        except OSError as error:
            # Entries need less room, so they may still be stored.
            _log.warning("can't save a snapshot", name=state.name, error=repr(error))
            await asyncio.sleep(SNAPSHOT_RETRY_SECONDS)
            return
        state.drop_members_before(log_index)
        state.log.compact_to(self._last_dropped(log_index))
        await rewrite_log_file(state)
        _log.info("saved a snapshot", name=state.name, log_index=log_index)

    def _last_dropped(self, log_index: int) -> int:
        """Return the index up to which no entries are kept beside a snapshot."""
        log = self._state.log
        lowest = max(log.base_index, log_index - self._kept_entries)
        size = 0
        for index in range(log_index, lowest, -1):
            size += len(log.entry(index).data)
            if size > self._kept_bytes:
                return index
        return lowest


async def rewrite_log_file(state: ConsensusState) -> None:
    """Rewrite the log file without the entries that a snapshot covers."""
    try:
        await state.log.rewrite()
    except OSError as error:
        # The uncompacted file is still valid; the next sync rewrites it.
        state.record_disk_result(error)
