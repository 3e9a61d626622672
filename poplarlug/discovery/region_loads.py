"""Sums of what entries have running: for each upstream and for each region."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from poplarlug.discovery.messages import EntryLoads
from poplarlug.discovery.records import RegionLoad, ServiceUpstream, UpstreamLoad
from poplarlug.types import (
    RegionName,
    Seconds,
    ServiceName,
    UpstreamId,
    VmName,
    ZoneName,
)

ENTRY_LOADS_LIFE_SECONDS = 2.0
"""Entries report a few times a second; what an entry had running is over by then."""

REGION_LOAD_LIFE_SECONDS = 3.0
"""Regions tell each other every second; an older load says nothing."""


class _Told(NamedTuple):
    at: Seconds
    loads: EntryLoads


class RegionLoads:
    """
    Loads as the region's entries reported them, and those of other regions.

    Parameters
    ----------
    region : RegionName
        The own region.
    regions_by_zone : mapping
        Zones of the deployment.
    """

    def __init__(
        self,
        *,
        region: RegionName,
        regions_by_zone: Mapping[ZoneName, RegionName],
        clock: Callable[[], Seconds],
    ) -> None:
        self._region = region
        self._regions_by_zone = regions_by_zone
        self._clock = clock
        self._told_by_entry: dict[VmName, _Told] = {}
        self._others_by_key: dict[
            tuple[RegionName, ServiceName], tuple[Seconds, RegionLoad]
        ] = {}

    def note_entry(self, loads: EntryLoads) -> None:
        """Take in what an entry of the region reported."""
        self._told_by_entry[loads.entry] = _Told(self._clock(), loads)

    def note_regions(self, loads: Iterable[RegionLoad]) -> None:
        """Take in what another region's control replica told."""
        now = self._clock()
        for load in loads:
            if load.region != self._region:
                self._others_by_key[load.region, load.service] = now, load

    def of_entries(self, names: Iterable[VmName]) -> tuple[EntryLoads, ...]:
        """Return the last reports of these entries."""
        told = (self._fresh().get(name) for name in names)
        return tuple(one.loads for one in told if one is not None)

    def of_others(self, entry: VmName) -> tuple[UpstreamLoad, ...]:
        """Return what all entries of the region but one have running."""
        sums: dict[UpstreamId, UpstreamLoad] = {}
        for name, told in self._fresh().items():
            if name == entry:
                continue
            for load in told.loads.loads:
                held = sums.get(load.id, UpstreamLoad(load.id, 0))
                sums[load.id] = _add(held, load)
        return tuple(sums.values())

    def other_regions(self) -> tuple[RegionLoad, ...]:
        """Return the loads of other regions that are not too old."""
        oldest = self._clock() - REGION_LOAD_LIFE_SECONDS
        return tuple(load for at, load in self._others_by_key.values() if at >= oldest)

    def own_region(
        self, upstreams: Iterable[ServiceUpstream]
    ) -> tuple[RegionLoad, ...]:
        """Return the own region's loads for each service of ``upstreams``."""
        sums: dict[ServiceName, RegionLoad] = {}
        services_by_id: dict[UpstreamId, ServiceName] = {}
        for upstream in upstreams:
            if self._regions_by_zone.get(upstream.zone) != self._region:
                continue
            services_by_id[upstream.id] = upstream.service
            load = self._sum_of(sums, upstream.service)
            if upstream.phase == "serving":
                load = load._replace(
                    upstreams=load.upstreams + 1, slots=load.slots + upstream.slots
                )
            sums[upstream.service] = load
        for told in self._fresh().values():
            for part in told.loads.loads:
                service = services_by_id.get(part.id)
                if service is None:
                    continue
                load = self._sum_of(sums, service)
                sums[service] = load._replace(
                    running=load.running + part.running,
                    prefill_tokens=load.prefill_tokens + part.prefill_tokens,
                    kv_tokens=load.kv_tokens + part.kv_tokens,
                )
            for count in told.loads.waiting:
                load = self._sum_of(sums, count.service)
                sums[count.service] = load._replace(
                    waiting=load.waiting + count.waiting
                )
        return tuple(sums.values())

    def _sum_of(
        self, sums: Mapping[ServiceName, RegionLoad], service: ServiceName
    ) -> RegionLoad:
        return sums.get(service, RegionLoad(self._region, service))

    def _fresh(self) -> dict[VmName, _Told]:
        oldest = self._clock() - ENTRY_LOADS_LIFE_SECONDS
        self._told_by_entry = {
            name: told
            for name, told in self._told_by_entry.items()
            if told.at >= oldest
        }
        return self._told_by_entry


def _add(one: UpstreamLoad, other: UpstreamLoad) -> UpstreamLoad:
    return UpstreamLoad(
        one.id,
        one.running + other.running,
        one.prefill_tokens + other.prefill_tokens,
        one.kv_tokens + other.kv_tokens,
    )
