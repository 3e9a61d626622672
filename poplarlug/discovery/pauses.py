"""Notices that this process stood still, and holds what would act on an old view."""

import asyncio
from collections.abc import Callable

from prometheus_client import Counter

from poplarlug.discovery.deployment import Deployment
from poplarlug.logs import PartLog
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

_log = PartLog(prefix="discovery")


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
        self._last_tick = uptime()
        self._resumed_at: Seconds | None = None

    async def run(self) -> None:
        """Note that the process goes on, until cancelled."""
        while True:
            self._check_for_pause()
            await asyncio.sleep(TICK_SECONDS)

    async def wait_for_fresh_view(self) -> None:
        """Return once the view is newer than the last pause, or could not be."""
        self._check_for_pause()
        if self._resumed_at is None:
            return
        resumed_at = self._resumed_at
        try:
            async with asyncio.timeout_at(resumed_at + HOLD_SECONDS):
                await self._deployment.last_reply_requested_at.wait_for(
                    lambda requested_at: requested_at >= resumed_at
                )
        except TimeoutError:
            _log.warning("goes on with a view from before a pause")
        if self._resumed_at == resumed_at:
            self._resumed_at = None

    def _check_for_pause(self) -> None:
        now = self._uptime()
        paused = now - self._last_tick
        self._last_tick = now
        if paused >= PAUSE_SECONDS:
            self._resumed_at = self._clock()
            _PAUSES.inc()
            _log.warning("this process stood still", seconds=round(paused, 2))
