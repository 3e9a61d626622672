"""Detects pauses of the process and holds requests that would use an outdated view."""

import asyncio
import math
from collections.abc import Callable

from prometheus_client import Counter

from poplarlug.discovery.deployment import Deployment
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.types import Seconds

CHECK_INTERVAL_SECONDS = 0.25
MIN_PAUSE_SECONDS = 1.5
"""A process paused for this long may have missed a departure or an evacuation; the
event loop of a busy VM lags by less."""

MIN_LAG_SECONDS = 0.5
"""A connection that ended during a shorter pause, and a look for its peer, take less
time together than the start of a successor at the same address."""

FRESH_VIEW_TIMEOUT_SECONDS = 1.0
"""How long a request waits for a view newer than the pause. A replica of the own zone
answers within 0.3 s; a zone that is cut off continues with its current view."""

_PAUSES = Counter(
    "poplarlug_pauses_total",
    "Times that this process stood still for longer than its view may be old.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="discovery")


class PauseWatch:
    """
    Detect pauses, and hold requests until a poll sent after the pause is answered.

    Parameters
    ----------
    uptime : callable
        Returns seconds of uptime, including time while the VM was suspended.
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
        self._last_resumed_at = -math.inf
        self._last_lag_at = -math.inf

    async def run(self) -> None:
        """Check for pauses periodically until cancelled."""
        while True:
            self._check_for_pause()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def wait_for_fresh_view(self) -> None:
        """Return once the view is newer than the last pause, or after a timeout."""
        self._check_for_pause()
        if self._resumed_at is None:
            return
        resumed_at = self._resumed_at
        try:
            async with asyncio.timeout_at(resumed_at + FRESH_VIEW_TIMEOUT_SECONDS):
                await self._deployment.last_reply_requested_at.wait_for(
                    lambda requested_at: requested_at >= resumed_at
                )
        except TimeoutError:
            _log.warning(
                "no reply since a pause; continuing with the view from before it"
            )
        if self._resumed_at == resumed_at:
            self._resumed_at = None

    def stood_still_since(self, at: Seconds) -> bool:
        """
        Return whether the process stood still after ``at``, a time of the clock.

        A pause that has just ended counts even if it was short: what is read now may
        have happened before it.
        """
        self._check_for_pause()
        has_just_lagged = self._clock() - self._last_lag_at < CHECK_INTERVAL_SECONDS
        return self._last_resumed_at > at or has_just_lagged

    def _check_for_pause(self) -> None:
        now = self._uptime()
        paused = now - self._last_tick
        self._last_tick = now
        if paused >= MIN_LAG_SECONDS:
            self._last_lag_at = self._clock()
        if paused >= MIN_PAUSE_SECONDS:
            self._resumed_at = self._last_resumed_at = self._clock()
            _PAUSES.inc()
            _log.warning("this process stood still", seconds=round(paused, 2))
