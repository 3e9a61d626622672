"""Shares upstreams inside the zone and summaries between zones."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from poplarlug.logs import PartLog
from poplarlug.membership.upstreams import Announcement, UpstreamTable
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import Transport
from poplarlug.types import (
    ModelName,
    RegionName,
    Seconds,
    ServiceName,
    VmName,
    ZoneName,
)

EXPIRE_SECONDS = 0.5
SUMMARY_SECONDS = 1.0
SUMMARY_LIFE_SECONDS = 5.0

_log = PartLog(prefix="membership")


class ZoneSummary(NamedTuple):
    """What one zone tells the others of itself."""

    zone: ZoneName
    region: RegionName
    entry: VmName
    sequence: int
    models: tuple[ModelName, ...] = ()
    services: tuple[ServiceName, ...] = ()
    running: int = 0


class Membership:
    """
    The zone's upstreams and the other zones' summaries, as this entry sees them.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        topology: Topology,
        transport: Transport,
        clock: Callable[[], Seconds],
    ) -> None:
        self.own = own
        self.topology = topology
        self.upstreams = UpstreamTable(clock=clock)
        self._transport = transport
        self._clock = clock
        self._summaries_by_entry: dict[VmName, tuple[Seconds, ZoneSummary]] = {}
        self._sequence = 0
        transport.serve("membership.announcement", Announcement, self._serve_shared)
        transport.serve("membership.summary", ZoneSummary, self._serve_summary)

    def announce(self, announcement: Announcement) -> bool:
        """Take in an upstream's announcement and share it in the zone."""
        if not self.upstreams.take(announcement):
            return False
        for vm in self.topology.entries_of_zone(self.own.zone):
            if vm.name != self.own.name:
                self._transport.notify(
                    peer=vm.name, topic="membership.announcement", message=announcement
                )
        return True

    def summaries(self) -> tuple[ZoneSummary, ...]:
        """Return the summaries that are still young enough to count."""
        oldest = self._clock() - SUMMARY_LIFE_SECONDS
        return tuple(
            summary
            for taken, summary in self._summaries_by_entry.values()
            if taken >= oldest
        )

    async def run(self) -> None:
        while True:
            for upstream_id in self.upstreams.expire():
                _log.info("lease ended", upstream=upstream_id)
            self._send_summary()
            await asyncio.sleep(EXPIRE_SECONDS)

    def _send_summary(self) -> None:
        self._sequence += 1
        serving = self.upstreams.serving.value
        summary = ZoneSummary(
            zone=self.own.zone,
            region=self.own.region,
            entry=self.own.name,
            sequence=self._sequence,
            models=tuple(sorted({m for a in serving for m in a.models})),
            services=tuple(sorted({s for a in serving for s in a.services})),
            running=sum(a.running for a in serving),
        )
        for vm in self.topology.entries:
            if vm.zone != self.own.zone:
                self._transport.notify(
                    peer=vm.name, topic="membership.summary", message=summary
                )

    async def _serve_shared(self, sender: VmName, message: Announcement) -> None:
        self.upstreams.take(message)

    async def _serve_summary(self, sender: VmName, message: ZoneSummary) -> None:
        self._summaries_by_entry[message.entry] = (self._clock(), message)
