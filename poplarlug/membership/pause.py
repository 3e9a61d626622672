"""Detects that this process was suspended, for example by SIGSTOP."""

from collections.abc import Callable

from poplarlug.logs import ComponentLogger
from poplarlug.types import Seconds

MIN_PAUSE_SECONDS = 2.0

_log = ComponentLogger(prefix="membership")


class PauseDetector:
    """
    Detect pauses of the process by jumps of the clock between checks.

    :meth:`check` is called by a timer and before each incoming message: a resumed
    process reads the messages queued in its sockets before its timers run.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    on_pause : callable
        Called by :meth:`check` with the length of a pause in seconds.
    min_pause_seconds : float
        Shortest gap between checks that counts as a pause.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], Seconds],
        on_pause: Callable[[Seconds], None],
        min_pause_seconds: Seconds = MIN_PAUSE_SECONDS,
    ) -> None:
        self._clock = clock
        self._on_pause = on_pause
        self._min_pause_seconds = min_pause_seconds
        self._last_check: Seconds | None = None
        self.pause_count = 0

    def check(self) -> bool:
        """Return whether the process was paused since the previous check."""
        now = self._clock()
        previous, self._last_check = self._last_check, now
        if previous is None or now - previous < self._min_pause_seconds:
            return False
        self.pause_count += 1
        _log.warning("the process stood still", seconds=round(now - previous, 3))
        self._on_pause(now - previous)
        return True
