"""Linearizable reads of the configuration at any control replica."""

import asyncio
from typing import NamedTuple

from returns.result import Failure, Result, Success

from poplarlug.control.leader_calls import LeaderCalls
from poplarlug.control.state import ControlState
from poplarlug.types import ConfigVersion, Seconds

READ_TIMEOUT_SECONDS = 5.0


class AcceptedVersionRequest(NamedTuple):
    """Request the currently accepted version from the leader."""


class AcceptedVersion(NamedTuple):
    version: ConfigVersion


class LinearizableReader:
    """
    Ensure that reads see every change accepted before them.

    Only the version is requested from the leader. The local replica is read once it
    has that version, so long lists put no load on the leader.
    """

    def __init__(self, *, state: ControlState, leader_calls: LeaderCalls) -> None:
        self._state = state
        self._leader_calls = leader_calls
        leader_calls.register(
            "accepted_version", AcceptedVersionRequest, self._serve_version
        )

    async def wait(
        self, timeout_seconds: Seconds = READ_TIMEOUT_SECONDS
    ) -> Result[ConfigVersion, str]:
        """Return the accepted version once this replica has applied it."""
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        answer = await self._leader_calls.call(
            "accepted_version",
            AcceptedVersionRequest(),
            AcceptedVersion,
            timeout_seconds,
        )
        if isinstance(answer, Failure):
            return answer
        accepted = answer.unwrap().version
        try:
            async with asyncio.timeout_at(deadline):
                await self._state.version.wait_for(lambda held: held >= accepted)
        except TimeoutError:
            held = self._state.catalog.version
            return Failure(f"this replica is at version {held} of {accepted}; retry")
        return Success(accepted)

    async def _serve_version(self, message: AcceptedVersionRequest) -> AcceptedVersion:
        return AcceptedVersion(self._state.catalog.version)
