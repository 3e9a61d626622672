"""Snapshots of the state machine that let the log be truncated."""

from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.snapshot_store import Snapshot
from poplarlug.logs import ComponentLogger

SNAPSHOT_ENTRIES = 4096
KEPT_ENTRIES = 1024

_log = ComponentLogger(prefix="raft")


class Snapshotting:
    """
    Save a snapshot after some entries and drop those that it holds.

    Parameters
    ----------
    snapshot_entries : int
        Applied entries between two snapshots.
    kept_entries : int
        Entries that stay in the log for replicas that lag a little.
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
            state.note_disk(error)
            return
        state.forget_members_before(log_index)
        state.log.drop_until(log_index - self._kept_entries)
        await shorten_log(state)
        _log.info("saved a snapshot", name=state.name, log_index=log_index)


async def shorten_log(state: ConsensusState) -> None:
    """Rewrite the log's file, which holds entries that a snapshot holds too."""
    try:
        await state.log.rewrite()
    except OSError as error:
        # The longer file is as good; the next sync rewrites it.
        state.note_disk(error)
