"""Bandwidth budget for the links between regions."""

from collections.abc import Callable

from poplarlug.types import RegionName, Seconds

LINK_BYTES_PER_SECOND = 125_000_000.0
FORWARD_BANDWIDTH_SHARE = 0.5
ONE_WAY_DELAY_SECONDS = 0.055


class WanBudget:
    """
    Track this entry's backlog on its share of the link to each other region.

    Parameters
    ----------
    bytes_per_second : float
        Rate at which this entry may send to any one region.
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(
        self, *, bytes_per_second: float, clock: Callable[[], Seconds]
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._clock = clock
        self._free_at_by_region: dict[RegionName, Seconds] = {}

    def transfer_seconds(self, region: RegionName, size_bytes: int) -> Seconds:
        """Return the seconds until ``size_bytes`` would have reached ``region``."""
        backlog = max(0.0, self._free_at_by_region.get(region, 0.0) - self._clock())
        return backlog + size_bytes / self._bytes_per_second + ONE_WAY_DELAY_SECONDS

    def spend(self, region: RegionName, size_bytes: int) -> None:
        """Add ``size_bytes`` to the backlog of ``region``."""
        start = max(self._clock(), self._free_at_by_region.get(region, 0.0))
        self._free_at_by_region[region] = start + size_bytes / self._bytes_per_second
