"""Directory of the entries for callers: ``GET /v1/directory``."""

from collections.abc import Collection
from random import Random
from typing import TypedDict

from aiohttp import web
from returns.result import Failure

from poplarlug.callers.authentication import Authenticator
from poplarlug.callers.responses import error_response
from poplarlug.membership.sharing import Membership
from poplarlug.membership.summaries import ZoneSummary
from poplarlug.topology import EntryVm
from poplarlug.types import Address, RegionName, VmName, ZoneName

DIRECTORY_TTL_SECONDS = 5


class DirectoryEntry(TypedDict):
    """An entry that callers may use; ``load`` is a fraction, 0 to 1."""

    name: VmName
    region: RegionName
    zone: ZoneName
    address: Address
    load: float


class Directory:
    """
    Rank the entries that accept new requests, the nearest and least loaded first.

    Entries that are leaving, suspected or overloaded are omitted, as are zones
    whose summary is too old.

    Parameters
    ----------
    rng : random.Random
        Distributes callers over entries of equal rank.
    """

    def __init__(
        self, *, membership: Membership, authenticator: Authenticator, rng: Random
    ) -> None:
        self._membership = membership
        self._authenticator = authenticator
        self._rng = rng

    async def serve(self, request: web.Request) -> web.Response:
        regions = None
        if "Authorization" in request.headers:
            authenticated = self._authenticator.authenticate(request.headers)
            if isinstance(authenticated, Failure):
                return error_response(authenticated.failure(), "")
            regions = authenticated.unwrap().regions
        entries = self.rank(
            zone=request.query.get("zone", ""),
            region=request.query.get("region", ""),
            regions=regions,
        )
        return web.json_response(
            {"entries": entries, "ttl_seconds": DIRECTORY_TTL_SECONDS}
        )

    def rank(
        self,
        *,
        zone: ZoneName = "",
        region: RegionName = "",
        regions: Collection[RegionName] | None = None,
    ) -> list[DirectoryEntry]:
        """
        Return the entries to use, the best one first.

        Parameters
        ----------
        zone, region : str
            Location of the caller; that of this entry by default.
        regions : collection of RegionName or None
            Regions that may receive the caller's data; ``None`` for all.
        """
        own = self._membership.own
        if not zone:
            zone, region = ("", region) if region else (own.zone, own.region)
        elif not region:
            region = self._region_of(zone)
        entries = [*self.own_zone_entries(), *self._other_zones()]
        entries = [e for e in entries if regions is None or e["region"] in regions]
        self._rng.shuffle(entries)
        return sorted(
            entries,
            key=lambda e: (e["zone"] != zone, e["region"] != region, e["load"]),
        )

    def own_zone_entries(self) -> list[DirectoryEntry]:
        """Return the entries of this entry's zone that accept new requests."""
        members = self._membership.members
        names = self._membership.accepting_entries()
        return [self._entry(name, members.load(name)) for name in names]

    def _other_zones(self) -> list[DirectoryEntry]:
        return [
            self._entry(name, _load(summary))
            for summary in self._membership.zone_summaries()
            for name in summary.entries
            if self._membership.topology.entry(name) is not None
        ]

    def _entry(self, name: VmName, load: float) -> DirectoryEntry:
        vm = self._membership.topology.entry(name)
        assert vm is not None
        return _directory_entry(vm, load)

    def _region_of(self, zone: ZoneName) -> RegionName:
        entries = self._membership.topology.entries_of_zone(zone)
        return entries[0].region if entries else ""


def _directory_entry(vm: EntryVm, load: float) -> DirectoryEntry:
    # Rounded to one decimal so that small differences do not direct all callers to
    # one entry.
    return DirectoryEntry(
        name=vm.name,
        region=vm.region,
        zone=vm.zone,
        address=vm.http,
        load=round(load, 1),
    )


def _load(summary: ZoneSummary) -> float:
    if summary.capacity <= 0:
        return 0.0
    return min(1.0, (summary.running + summary.queued) / summary.capacity)
