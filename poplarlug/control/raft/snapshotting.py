"""Snapshots of the state machine, and log compaction."""

from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.snapshot_store import Snapshot
from poplarlug.logs import ComponentLogger

SNAPSHOT_ENTRIES = 4096
KEPT_ENTRIES = 1024

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
    """

    def __init__(
        self,
        *,
        state: ConsensusState,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        kept_entries: int = KEPT_ENTRIES,
    ) -> None:
        self._state = state
        self._snapshot_entries = snapshot_entries
        self._kept_entries = kept_entries

    async def run(self) -> None:
        """Save snapshots until cancelled."""
        state = self._state
        while True:
            since = state.applied_index - state.snapshots.log_index
            if since >= self._snapshot_entries:
                await self._save()
            await state.applied.wait()
            state.applied.clear()

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
            state.record_disk_result(error)
            return
        state.drop_members_before(log_index)
        state.log.compact_to(log_index - self._kept_entries)
        await rewrite_log_file(state)
        _log.info("saved a snapshot", name=state.name, log_index=log_index)


async def rewrite_log_file(state: ConsensusState) -> None:
    """Rewrite the log file without the entries that a snapshot covers."""
    try:
        await state.log.rewrite()
    except OSError as error:
        # The uncompacted file is still valid; the next sync rewrites it.
        state.record_disk_result(error)
