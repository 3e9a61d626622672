"""Upstreams of each zone, as known to the zone's entry VMs."""

from collections.abc import Sequence

from returns.result import Failure, Result, Success

from poplarlug.distribution.publisher import rank_relays
from poplarlug.distribution.upstream_listing import (
    UPSTREAMS_TOPIC,
    ListedUpstreams,
    ListUpstreams,
)
from poplarlug.membership.upstreams import Announcement
from poplarlug.topology import EntryVm
from poplarlug.transport import Transport
from poplarlug.types import RegionName, UpstreamId, ZoneName

LIST_TIMEOUT_SECONDS = 1.0
MAX_ENTRIES_ASKED = 3


class UpstreamDirectory:
    """Query a zone's entry VMs in turn until one answers."""

    def __init__(self, *, transport: Transport, entries: Sequence[EntryVm]) -> None:
        self._transport = transport
        self._entries = tuple(entries)
        self.regions_by_zone: dict[ZoneName, RegionName] = {
            vm.zone: vm.region for vm in entries
        }

    async def list_zone(self, zone: ZoneName) -> Result[tuple[Announcement, ...], str]:
        """Return the zone's upstreams, or why they could not be listed."""
        names = rank_relays(zone, self._entries)
        reason = f"no entry VM is in zone {zone!r}"
        for name in names[:MAX_ENTRIES_ASKED]:
            reply = await self._transport.request(
                peer=name,
                topic=UPSTREAMS_TOPIC,
                message=ListUpstreams(),
                reply_type=ListedUpstreams,
                timeout_seconds=LIST_TIMEOUT_SECONDS,
            )
            if not isinstance(reply, Failure):
                return Success(reply.unwrap().announcements)
            reason = f"zone {zone!r} is not reached: {reply.failure().message}"
        return Failure(reason)

    async def find(
        self, zone: ZoneName, upstream_id: UpstreamId
    ) -> Result[Announcement, str]:
        """Return the announcement of one upstream, or why it was not found."""
        listed = await self.list_zone(zone)
        if isinstance(listed, Failure):
            return listed
        for announcement in listed.unwrap():
            if announcement.id == upstream_id:
                return Success(announcement)
        return Failure(f"no upstream of zone {zone!r} is named {upstream_id!r}")
