"""Limits the time that one read from a connection takes on the event loop."""

import asyncio
from typing import Any

from poplarlug.types import Seconds

FIRST_READ_BYTES = 16 * 1024
MIN_READ_BYTES = 512
MAX_READ_BYTES = 16 * 1024

MAX_READ_SECONDS = 0.00025
"""Reads that take longer to parse become smaller."""


class ReadSize:
    """
    Adapt how many bytes a transport reads at a time to the time that they take.

    Load pattern: peers whose bytes are costly to parse, such as chunks of one byte,
    beside requests to others. Each connection is read once in a round of the event
    loop; the rest stays in the socket.

    Parameters
    ----------
    transport : asyncio.BaseTransport
        One without a ``max_size`` keeps its own.
    max_bytes : int
        Largest size of a read.
    """

    def __init__(
        self, *, transport: asyncio.BaseTransport, max_bytes: int = MAX_READ_BYTES
    ) -> None:
        self._transport: Any = transport
        self._max_bytes = max_bytes
        self.bytes = FIRST_READ_BYTES
        self._apply()

    def note_read(self, count: int, seconds: Seconds) -> None:
        """Adapt the size to a read of ``count`` bytes."""
        size = self.bytes
        if seconds > MAX_READ_SECONDS:
            size = max(MIN_READ_BYTES, min(size, count) // 2)
        elif count >= size and 2 * seconds < MAX_READ_SECONDS:
            size = min(self._max_bytes, size * 2)
        if size != self.bytes:
            self.bytes = size
            self._apply()

    def _apply(self) -> None:
        # asyncio's socket transports pass it to recv().
        if hasattr(self._transport, "max_size"):
            self._transport.max_size = self.bytes
