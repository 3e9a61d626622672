"""Appending an entry as the leader and waiting for its outcome."""

import asyncio
from typing import Any

from returns.result import Result

from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import ConsensusState, unknown_outcome
from poplarlug.control.replicated_log import ProposeError

COMMIT_TIMEOUT_SECONDS = 5.0


async def append_and_wait(
    state: ConsensusState, kind: EntryKind, data: bytes
) -> Result[Any, ProposeError]:
    """
    Append an entry as the leader and return the outcome of applying it.

    Returns
    -------
    Failure(ProposeError)
        ``UNKNOWN`` if the entry was not committed in time or this replica stepped
        down.
    """
    log_index = state.append_as_leader(kind, data)
    waiter = asyncio.get_running_loop().create_future()
    state.waiters_by_index[log_index] = waiter
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
            return await waiter
    except TimeoutError:
        return unknown_outcome(f"not committed in {COMMIT_TIMEOUT_SECONDS} s")
    finally:
        if state.waiters_by_index.get(log_index) is waiter:
            del state.waiters_by_index[log_index]
