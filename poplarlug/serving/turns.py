"""Turns of costly work on the event loop."""

import asyncio
from collections import deque
from weakref import WeakKeyDictionary


class Turns:
    """
    Give tasks that work through much data one turn in each round of the event loop.

    Load pattern: many answers whose data takes long to check, beside short requests.
    The work of a round doesn't grow with the number of such answers.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Return when it is the calling task's turn."""
        turn = self._loop.create_future()
        if not self._waiting:
            self._loop.call_soon(self._give)
        self._waiting.append(turn)
        await turn

    def _give(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            # A task that was cancelled needs no turn.
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            self._loop.call_soon(self._give)


_turns_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, Turns] = (
    WeakKeyDictionary()
)


def current_turns() -> Turns:
    """Return the turns of the running event loop."""
    loop = asyncio.get_running_loop()
    turns = _turns_by_loop.get(loop)
    if turns is None:
        turns = _turns_by_loop[loop] = Turns(loop=loop)
    return turns
