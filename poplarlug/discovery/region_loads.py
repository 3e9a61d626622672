"""Sums of the requests that entries have running, by upstream and by region."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import takewhile
from typing import NamedTuple

from poplarlug.discovery.messages import EntryDemand, EntryLoads
from poplarlug.discovery.record_checks import is_valid_count, is_valid_load
from poplarlug.discovery.records import (
    RegionLoad,
    ServiceUpstream,
    UpstreamLoad,
    UpstreamRun,
)
from poplarlug.types import (
    RegionName,
    Seconds,
    ServiceName,
    UpstreamId,
    VmName,
    ZoneName,
)

ENTRY_LOADS_TTL_SECONDS = 2.0
"""Entries report a few times a second; the requests of one silent for this long count
as finished."""

REGION_LOAD_TTL_SECONDS = 3.0
"""Regions exchange loads every second; older loads are meaningless."""


class _ReceivedLoads(NamedTuple):
    received_at: Seconds
    loads: EntryLoads


class RegionLoads:
    """
    Loads reported by the region's entries and by other regions.

    Parameters
    ----------
    region : RegionName
        The own region.
    regions_by_zone : mapping
        Region of each zone of the deployment.
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
        # In the order of arrival.
        self._received_by_entry: dict[VmName, _ReceivedLoads] = {}
        self._totals_by_id: dict[UpstreamId, UpstreamLoad] = {}
        self._others_by_key: dict[
            tuple[RegionName, ServiceName], tuple[Seconds, RegionLoad]
        ] = {}

    def record_entry(self, loads: EntryLoads) -> None:
        """Store the loads reported by an entry of the region."""
        self._forget_entry(loads.entry)
        loads = loads._replace(
            loads=tuple(filter(is_valid_load, loads.loads)),
            waiting=tuple(filter(is_valid_count, loads.waiting)),
        )
        self._received_by_entry[loads.entry] = _ReceivedLoads(self._clock(), loads)
        for load in loads.loads:
            total = self._totals_by_id.get(load.id)
            self._totals_by_id[load.id] = load if total is None else _add(total, load)

    def record_regions(self, loads: Iterable[RegionLoad]) -> None:
        """Store the loads sent by a control replica of another region."""
        now = self._clock()
        for load in loads:
            if load.region != self._region:
                self._others_by_key[load.region, load.service] = now, load

    def reports_of(self, names: Iterable[VmName]) -> tuple[EntryLoads, ...]:
        """Return the latest reports of these entries."""
        received = (self._recent().get(name) for name in names)
        return tuple(one.loads for one in received if one is not None)

    def loads_of_others(self, entry: VmName) -> tuple[UpstreamLoad, ...]:
        """Return the summed loads of the region's entries except ``entry``."""
        received = self._recent().get(entry)
        if received is None or not received.loads.loads:
            return tuple(self._totals_by_id.values())
        others_by_id = dict(self._totals_by_id)
        for load in received.loads.loads:
            _subtract(others_by_id, load)
        return tuple(others_by_id.values())

    def demands_of_others(self, entry: VmName) -> tuple[EntryDemand, ...]:
        """Return the demands of the region's entries except ``entry``."""
        return tuple(
            EntryDemand(name, demand.service, demand.per_second)
            for name, one in self._recent().items()
            if name != entry
            for demand in one.loads.demands
        )

    def other_region_loads(self) -> tuple[RegionLoad, ...]:
        """Return the loads of other regions that have not expired."""
        oldest = self._clock() - REGION_LOAD_TTL_SECONDS
        return tuple(
            load
            for received_at, load in self._others_by_key.values()
            if received_at >= oldest
        )

    def own_region_loads(
        self,
        upstreams: Iterable[ServiceUpstream],
        rates_by_run: Mapping[UpstreamRun, float],
    ) -> tuple[RegionLoad, ...]:
        """
        Return the own region's loads for each service of ``upstreams``.

        Parameters
        ----------
        rates_by_run : mapping
            Rate limits named by upstreams, in requests per second.
        """
        self._recent()
        serving: dict[ServiceName, list[ServiceUpstream]] = {}
        for upstream in upstreams:
            is_own = self._regions_by_zone.get(upstream.zone) == self._region
            if is_own and upstream.phase == "serving":
                serving.setdefault(upstream.service, []).append(upstream)
        return tuple(
            self._region_load(service, members, rates_by_run)
            for service, members in serving.items()
        )

    def _region_load(
        self,
        service: ServiceName,
        upstreams: Sequence[ServiceUpstream],
        rates_by_run: Mapping[UpstreamRun, float],
    ) -> RegionLoad:
        loads_by_id = self._totals_by_id
        # Rate-limited upstreams look idle, which must not attract other regions.
        free = [u for u in upstreams if u.run not in rates_by_run]
        loads = [loads_by_id.get(u.id, UpstreamLoad(u.id)) for u in free or upstreams]
        running_by_id = {
            u.id: loads_by_id.get(u.id, UpstreamLoad(u.id)).running for u in upstreams
        }
        return RegionLoad(
            region=self._region,
            service=service,
            upstreams=len(upstreams),
            slots=sum(
                _slots(u, running_by_id[u.id], rates_by_run.get(u.run))
                for u in upstreams
            ),
            running=sum(running_by_id.values()),
            waiting=sum(
                count.waiting
                for received in self._recent().values()
                for count in received.loads.waiting
                if count.service == service
            ),
            calm=min(loads, key=lambda load: (load.running - load.long, load.read_ms)),
            quick=min(loads, key=lambda load: (load.long, load.read_ms)),
            is_limited=not free,
        )

    def _recent(self) -> dict[VmName, _ReceivedLoads]:
        """Return the reports that have not expired, after dropping the others."""
        oldest = self._clock() - ENTRY_LOADS_TTL_SECONDS
        expired = takewhile(
            lambda item: item[1].received_at < oldest, self._received_by_entry.items()
        )
        for name, _ in tuple(expired):
            self._forget_entry(name)
        return self._received_by_entry

    def _forget_entry(self, name: VmName) -> None:
        received = self._received_by_entry.pop(name, None)
        if received is not None:
            for load in received.loads.loads:
                _subtract(self._totals_by_id, load)


def _slots(upstream: ServiceUpstream, running: int, rate: float | None) -> int:
    """
    Return the number of requests that an upstream runs concurrently.

    A rate-limited upstream offers what it accepts in one second beyond its running
    requests.
    """
    if rate is None:
        return upstream.slots
    return min(upstream.slots, running + max(1, int(rate)))


def _add(one: UpstreamLoad, other: UpstreamLoad) -> UpstreamLoad:
    return UpstreamLoad(
        one.id,
        one.running + other.running,
        one.long + other.long,
        one.read_ms + other.read_ms,
        one.kv_tokens + other.kv_tokens,
        one.nominal_ms + other.nominal_ms,
        one.prefill_ms + other.prefill_ms,
        one.tokens + other.tokens,
        one.decode_ms + other.decode_ms,
    )


def _subtract(totals_by_id: dict[UpstreamId, UpstreamLoad], load: UpstreamLoad) -> None:
    """Take one load out of the totals, and drop a total of nothing."""
    total = totals_by_id.get(load.id)
    if total is None:
        return
    rest = UpstreamLoad(
        load.id,
        total.running - load.running,
        total.long - load.long,
        total.read_ms - load.read_ms,
        total.kv_tokens - load.kv_tokens,
        total.nominal_ms - load.nominal_ms,
        total.prefill_ms - load.prefill_ms,
        total.tokens - load.tokens,
        total.decode_ms - load.decode_ms,
    )
    if rest == UpstreamLoad(load.id):
        del totals_by_id[load.id]
    else:
        totals_by_id[load.id] = rest
