"""Coalescing of concurrent write requests."""

import asyncio
from collections.abc import Awaitable, Callable


class CoalescedWrite:
    """
    Run ``write`` one call at a time, and once for all callers that wait.

    Parameters
    ----------
    write : callable
        Makes the in-memory state at the time of the call durable.
    """

    def __init__(self, *, write: Callable[[], Awaitable[None]]) -> None:
        self._write = write
        self._current: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Return once a write that started after this call has finished."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._write_after(self._current))
        await asyncio.shield(self._next)

    async def _write_after(self, previous: "asyncio.Task[None] | None") -> None:
        if previous is not None and not previous.done():
            await asyncio.wait({previous})
        self._current, self._next = self._next, None
        await self._write()
