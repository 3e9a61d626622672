"""Dates the routing state of a replica by asking the leader about it."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from poplarlug.control.routing_service import RoutingService
from poplarlug.control.routing_state import RoutingState
from poplarlug.logs import ComponentLogger
from poplarlug.types import Seconds

CONFIRM_INTERVAL_SECONDS = 0.4
"""Interval of the questions; a small part of the time in which a key must be refused."""

CONFIRM_RETRY_SECONDS = 0.1
RECENT_SECONDS = 2.0
"""A replica that could confirm nothing for longer is cut off from the leader, even if
it still hears its heartbeats; entries then look for another one."""

_log = ComponentLogger(prefix="control")


class ConfirmedReading:
    """
    Ask the leader again and again whether this replica has all accepted changes.

    A reading dates from when the question was sent: a change that was accepted before
    is in it. The leader answers only within its lease, so one that is cut off or
    replaced confirms nothing.

    Parameters
    ----------
    uptime : callable
        Returns seconds of uptime, including time while the VM was suspended.
    """

    def __init__(
        self,
        *,
        routing: RoutingService,
        state: RoutingState,
        uptime: Callable[[], Seconds],
    ) -> None:
        self._routing = routing
        self._state = state
        self._uptime = uptime
        self._confirmed_at: Seconds | None = None

    async def run(self) -> None:
        """Confirm the reading while the table has teams, until cancelled."""
        while True:
            await self._state.revision.wait_for(lambda _: self._has_teams)
            asked_at = self._uptime()
            read = await self._routing.read()
            if isinstance(read, Success):
                self._confirmed_at = asked_at
                await asyncio.sleep(CONFIRM_INTERVAL_SECONDS)
            else:
                _log.debug("confirmed no reading", reason=read.failure())
                await asyncio.sleep(CONFIRM_RETRY_SECONDS)

    def now(self) -> Seconds:
        """Return the uptime, to be noted when a poll arrives."""
        return self._uptime()

    def age_at(self, arrived_at: Seconds) -> Seconds | None:
        """
        Return the age that the last confirmed reading had at ``arrived_at``.

        It is negative if the reading was confirmed later, while the poll was held, and
        ``None`` without a reading.
        """
        if self._confirmed_at is None:
            return None
        return arrived_at - self._confirmed_at

    @property
    def is_recent(self) -> bool:
        """Whether the leader confirms the readings, as far as there are teams."""
        if self._confirmed_at is None or not self._has_teams:
            return True
        return self._uptime() - self._confirmed_at <= RECENT_SECONDS

    @property
    def _has_teams(self) -> bool:
        table = self._state.table
        return table is not None and table.teams is not None
