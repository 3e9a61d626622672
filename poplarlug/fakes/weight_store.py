"""A rate-limited fake of the platform's weight store."""

import asyncio

from poplarlug.types import Seconds


class WeightStore:
    """
    Serve weight downloads one after the other at a limited rate.

    Parameters
    ----------
    bytes_per_second : float
        Rate that all fetches share.
    """

    def __init__(self, *, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._free_at: Seconds = 0.0

    async def fetch(self, size_bytes: int) -> Seconds:
        """Wait until ``size_bytes`` are fetched; return the time taken, in seconds."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + size_bytes / self._bytes_per_second
        await asyncio.sleep(self._free_at - now)
        return self._free_at - now
