"""One write for many callers that wait for it."""

import asyncio
from collections.abc import Awaitable, Callable


class CoalescedWrite:
    """
    Run ``write`` one at a time, once for all callers that came meanwhile.

    Parameters
    ----------
    write : callable
        Makes durable whatever is in memory when it starts.
    """

    def __init__(self, *, write: Callable[[], Awaitable[None]]) -> None:
        self._write = write
        self._current: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Return when a write that started after this call is done."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._write_after(self._current))
        await asyncio.shield(self._next)

    async def _write_after(self, previous: "asyncio.Task[None] | None") -> None:
        if previous is not None and not previous.done():
            await asyncio.wait({previous})
        self._current, self._next = self._next, None
        await self._write()
