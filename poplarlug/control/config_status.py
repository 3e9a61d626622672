"""Configuration versions in force on the entry VMs, as reported to the leader."""

from typing import NamedTuple

from returns.result import Result

from poplarlug.control.leader_calls import LeaderCalls
from poplarlug.distribution.publisher import ConfigPublisher, InForce, VmVersion
from poplarlug.types import ConfigVersion, Seconds

STATUS_TIMEOUT_SECONDS = 3.0
MAX_WAIT_SECONDS = 60.0


class VmVersionsRequest(NamedTuple):
    """Request the versions in force from the leader."""


class VmVersions(NamedTuple):
    versions: tuple[VmVersion, ...]


class InForceRequest(NamedTuple):
    """Request that the leader waits until ``version`` is in force everywhere."""

    version: ConfigVersion
    wait_seconds: Seconds


class ConfigStatus:
    """
    Query versions in force at the leader, the only one that gets entry reports.

    Parameters
    ----------
    publisher : ConfigPublisher
        Publisher of this replica; answers while this replica leads.
    """

    def __init__(
        self, *, publisher: ConfigPublisher, leader_calls: LeaderCalls
    ) -> None:
        self._publisher = publisher
        self._leader_calls = leader_calls
        leader_calls.register("vm_versions", VmVersionsRequest, self._serve_versions)
        leader_calls.register("in_force", InForceRequest, self._serve_in_force)

    async def vm_versions(self) -> Result[VmVersions, str]:
        return await self._leader_calls.call(
            "vm_versions", VmVersionsRequest(), VmVersions, STATUS_TIMEOUT_SECONDS
        )

    async def wait_in_force(
        self, version: ConfigVersion, wait_seconds: Seconds
    ) -> Result[InForce, str]:
        """Return where ``version`` is in force after at most ``wait_seconds``."""
        wait = min(max(0.0, wait_seconds), MAX_WAIT_SECONDS)
        return await self._leader_calls.call(
            "in_force",
            InForceRequest(version, wait),
            InForce,
            wait + STATUS_TIMEOUT_SECONDS,
        )

    async def _serve_versions(self, message: VmVersionsRequest) -> VmVersions:
        return VmVersions(self._publisher.vm_versions())

    async def _serve_in_force(self, message: InForceRequest) -> InForce:
        return await self._publisher.wait_in_force(
            message.version, min(message.wait_seconds, MAX_WAIT_SECONDS)
        )
