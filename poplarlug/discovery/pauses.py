"""Notices that this process stood still, and holds what would act on an old view."""

import asyncio
from collections.abc import Callable

from prometheus_client import Counter

from poplarlug.discovery.deployment import Deployment
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.types import Seconds

TICK_SECONDS = 0.25
PAUSE_SECONDS = 1.5
"""A process that did nothing for so long may have missed a farewell or an evacuation;
the loop of a busy VM is late by less."""

HOLD_SECONDS = 1.0
"""How long a request waits for a view that is newer than the pause. A replica of the
own zone answers within 0.3 s; a zone that is cut off goes on with what it has."""

_PAUSES = Counter(
    "poplarlug_pauses_total",
    "Times that this process stood still for longer than its view may be old.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="discovery")


class PauseWatch:
    """
    Hold requests after a pause until a control replica was asked again.

    Parameters
    ----------
    uptime : callable
        Returns seconds, those while the VM was suspended included.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        uptime: Callable[[], Seconds],
        clock: Callable[[], Seconds],
    ) -> None:
        self._deployment = deployment
        self._uptime = uptime
        self._clock = clock
        self._ticked = uptime()
        self._woke: Seconds | None = None

    async def run(self) -> None:
        """Note that the process goes on, until cancelled."""
        while True:
            self._look()
            await asyncio.sleep(TICK_SECONDS)

    async def wait_for_view(self) -> None:
        """Return once the view is newer than the last pause, or could not be."""
        self._look()
        if self._woke is None:
            return
        woke = self._woke
        try:
            async with asyncio.timeout_at(woke + HOLD_SECONDS):
                await self._deployment.asked.wait_for(lambda asked: asked >= woke)
        except TimeoutError:
            _log.warning("goes on with a view from before a pause")
        if self._woke == woke:
            self._woke = None

    def _look(self) -> None:
        now = self._uptime()
        paused = now - self._ticked
        self._ticked = now
        if paused >= PAUSE_SECONDS:
            self._woke = self._clock()
            _PAUSES.inc()
            _log.warning("this process stood still", seconds=round(paused, 2))
