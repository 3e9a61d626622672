"""An asyncio event loop whose clock jumps to the next timer when idle."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """
    Event loop with virtual time, for code that does no real I/O.

    ``loop.time()`` starts at zero. Waiting for a timer takes no real time: the
    clock advances by the whole wait at once.
    """

    def __init__(self) -> None:
        super().__init__(_JumpingSelector(loop=self))
        self._now = 0.0

    def time(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self._now += seconds


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, *, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("virtual time is stuck: no timer and no ready task")
        if timeout > 0:
            self._loop.advance(timeout)
        return super().select(0)


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to completion in a new virtual-time event loop."""
    loop = VirtualTimeLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        asyncio.set_event_loop(None)
        loop.close()


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
