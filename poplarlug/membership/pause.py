"""Notices that this process stood still, as after SIGSTOP."""

from collections.abc import Callable

from poplarlug.logs import ComponentLogger
from poplarlug.types import Seconds

PAUSE_SECONDS = 2.0

_log = ComponentLogger(prefix="membership")


class PauseDetector:
    """
    Compare the clock with the last check; a jump means a pause.

    :meth:`check` is called by a timer and before each incoming message, since
    messages that waited in a socket are read before the timers of a thawed
    process run.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    on_pause : callable
        Called at once with the length of a pause in seconds.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], Seconds],
        on_pause: Callable[[Seconds], None],
        pause_seconds: Seconds = PAUSE_SECONDS,
    ) -> None:
        self._clock = clock
        self._on_pause = on_pause
        self._pause_seconds = pause_seconds
        self._last_check: Seconds | None = None
        self.pauses = 0

    def check(self) -> bool:
        """Return whether the process stood still since the last check."""
        now = self._clock()
        last, self._last_check = self._last_check, now
        if last is None or now - last < self._pause_seconds:
            return False
        self.pauses += 1
        _log.warning("the process stood still", seconds=round(now - last, 3))
        self._on_pause(now - last)
        return True
