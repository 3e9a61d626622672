"""Gradual return of traffic to a zone that was unreachable."""

from collections.abc import Callable, Collection

from poplarlug.types import Seconds, ZoneName

RAMP_SECONDS = 30.0


class ZoneRamp:
    """
    Ramp up the share of forwards, 0 to 1, that a recovered zone may get.

    The share grows linearly over ``RAMP_SECONDS`` from the zone's return.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._returned_by_zone: dict[ZoneName, Seconds] = {}
        self._known: set[ZoneName] = set()
        self._missing: set[ZoneName] = set()

    def update_reachable(self, zones: Collection[ZoneName]) -> None:
        """Record which zones are reachable; known zones not listed are not."""
        now = self._clock()
        present = set(zones)
        for zone in self._missing & present:
            self._returned_by_zone[zone] = now
        self._missing = (self._missing | self._known) - present
        self._known |= present

    def share(self, zone: ZoneName) -> float:
        """Return the share of forwards that ``zone`` may get now."""
        returned = self._returned_by_zone.get(zone)
        if returned is None:
            return 1.0
        share = (self._clock() - returned) / RAMP_SECONDS
        if share >= 1.0:
            del self._returned_by_zone[zone]
            return 1.0
        return share
