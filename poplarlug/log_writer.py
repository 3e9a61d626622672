"""Writes log lines without blocking, and limits their rate."""

import errno
import json
import os
import time
from collections.abc import Callable
from datetime import UTC, datetime

from poplarlug.types import Seconds

_UNWRITABLE = frozenset(
    {
        errno.EAGAIN,
        errno.EPIPE,
        errno.EIO,
        errno.ENOSPC,
        errno.EDQUOT,
        errno.EFBIG,
        errno.EROFS,
    }
)

LINES_PER_SECOND = 200.0
"""Twice the peak requests per second of one entry VM in the deployments."""

BURST_LINES = 1000.0


class BoundedLineWriter:
    """
    A text stream that drops lines instead of blocking or exceeding a rate.

    Lines beyond the rate, and lines that a full pipe doesn't accept at once, are
    counted; their number is written before the next line that succeeds.

    Parameters
    ----------
    descriptor : int
        File descriptor for the lines; it is set to non-blocking.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        lines_per_second: float = LINES_PER_SECOND,
        burst_lines: float = BURST_LINES,
        clock: Callable[[], Seconds] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._burst = burst_lines
        self._clock = clock
        self._tokens = burst_lines
        self._refilled_at = clock()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last one written."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write one line or drop it; a newline alone is ignored."""
        if text and text != "\n":
            self._write_line(text.rstrip("\n").encode() + b"\n")
        return len(text)

    def flush(self) -> None:
        """Do nothing, as lines are not buffered."""

    def _write_line(self, line: bytes) -> None:
        if not self._take_token():
            self._dropped += 1
            return
        if self._dropped:
            line = _dropped_notice(self._dropped) + b"\n" + line
        if self._try_write(line):
            self._dropped = 0
        else:
            self._dropped += 1

    def _take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _try_write(self, data: bytes) -> bool:
        try:
            return os.write(self._descriptor, data) > 0
        except OSError as error:
            # The pipe or disk is full, or the reader is gone: there is nowhere to
            # report it.
            if error.errno not in _UNWRITABLE:
                raise
            return False


def _dropped_notice(count: int) -> bytes:
    """Return a log line that tells how many were dropped."""
    fields = {
        "event": "logs: dropped lines",
        "level": "warning",
        "timestamp": datetime.now(UTC).isoformat(),
        "lines": count,
    }
    return json.dumps(fields).encode()
