"""An entry's view of the deployment."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from poplarlug.control.routing_state import decode_table
from poplarlug.discovery.messages import EntryDemand, PollReply, RoutingUpdate
from poplarlug.discovery.records import (
    EntryRecord,
    RegionLoad,
    ServiceUpstream,
    UpstreamLoad,
    UpstreamRun,
)
from poplarlug.discovery.region_loads import REGION_LOAD_TTL_SECONDS
from poplarlug.discovery.software_versions import ServiceVersions
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.routes import RouteIndex
from poplarlug.types import (
    Address,
    RegionName,
    Seconds,
    ServiceName,
    SoftwareVersion,
    UpstreamId,
    VmName,
    ZoneName,
)

LOST_ENTRY_TTL_SECONDS = 120.0
"""How long a lost entry still counts among the entries that share a budget."""

PRESUMED_COLD_SECONDS = 2.5
"""How long a zone's upstreams are presumed cold after its evacuation ends: they may
have become cold meanwhile, and report it within two announcements."""

DISCOVERY_SECONDS = 1.5
"""How long after an entry's first contact its view may lack upstreams that serve, if no
control replica knows all of them yet; replicas that started together connect, compare
their records and report them within this time."""

SHARING_CACHE_SECONDS = 0.25
"""How long a list of the entries that share budgets is used without another reply."""

ENDED_RUN_TTL_SECONDS = 30.0
"""How long the end of an upstream's run is remembered; longer than it is queried."""

_log = ComponentLogger(prefix="discovery")


class RunStatus(Enum):
    """What is known about a run of an upstream."""

    SERVING = "serving"
    LEFT = "left"
    """It announced its departure."""
    REPLACED = "replaced"
    """A later run has its id or address, without a departure announced before."""
    LOST = "lost"
    """Its record expired because its announcements stopped."""
    UNKNOWN = "unknown"


class _Ended(NamedTuple):
    status: RunStatus
    recorded_at: Seconds


class _StoredUpstream(NamedTuple):
    record: ServiceUpstream
    recorded_at: Seconds


class _SharingEntries(NamedTuple):
    names: list[VmName]
    listed_at: Seconds


class _StoredLoad(NamedTuple):
    load: RegionLoad
    reported_at: Seconds


class Deployment:
    """
    Entries, upstreams, routes and loads as known to this entry.

    The view stays unchanged while no control replica answers.

    Parameters
    ----------
    regions_by_zone : mapping
        Region of each zone of the deployment.

    Attributes
    ----------
    last_reply_requested_at : Latest of float
        Loop time at which the request for the last received reply was sent.
    versions_by_service : dict
        Software versions of the services that have more than one.
    knows_all_entries : bool
        Whether a settled replica, whose records are complete, has answered since this
        entry started. Until then the entry's share of a common budget is unknown.
    changed : Latest of int
        Increases with each reply that contains entries, upstreams or routes.
    """

    def __init__(
        self,
        *,
        own_region: RegionName,
        regions_by_zone: Mapping[ZoneName, RegionName],
        clock: Callable[[], Seconds],
    ) -> None:
        self.own_region = own_region
        self._regions_by_zone = regions_by_zone
        self._clock = clock
        self.entries_by_name: dict[VmName, EntryRecord] = {}
        self._seen_by_entry: dict[VmName, tuple[RegionName, Seconds]] = {}
        self._evacuation_ended_at_by_zone: dict[ZoneName, Seconds] = {}
        self._upstreams_by_id: dict[UpstreamId, _StoredUpstream] = {}
        self._ids_by_address: dict[Address, UpstreamId] = {}
        self._ended_by_run: dict[UpstreamRun, _Ended] = {}
        self.routes: RouteIndex | None = None
        self.routing_revision = 0
        self.evacuated_zones: frozenset[ZoneName] = frozenset()
        self.other_entries_loads_by_id: dict[UpstreamId, UpstreamLoad] = {}
        self.region_loads: tuple[RegionLoad, ...] = ()
        self._loads_by_key: dict[tuple[RegionName, ServiceName], _StoredLoad] = {}
        self._followed_run = ""
        self._followed_from = float("-inf")
        self._demands: tuple[EntryDemand, ...] = ()
        self.versions_by_service: dict[ServiceName, ServiceVersions] = {}
        self.last_reply_at: Seconds = float("-inf")
        self._first_reply_at: Seconds | None = None
        self.last_reply_requested_at: Latest[Seconds] = Latest(initial=float("-inf"))
        self.knows_all_entries = False
        self._serving_by_service: dict[ServiceName, list[ServiceUpstream]] = {}
        self._serving_regions_by_service: dict[
            ServiceName, dict[UpstreamId, RegionName]
        ] = {}
        self._single_version_by_service: dict[ServiceName, SoftwareVersion | None] = {}
        self._sharing_by_region: dict[RegionName, _SharingEntries] = {}
        self.changed: Latest[int] = Latest(initial=0)

    @property
    def age_seconds(self) -> Seconds:
        """Time since the last reply of a control replica."""
        return self._clock() - self.last_reply_at

    @property
    def discovery_seconds_left(self) -> Seconds:
        """How much longer upstreams may be missing after a start; 0 if they can't."""
        if self.knows_all_entries or self._first_reply_at is None:
            return 0.0
        return max(0.0, self._first_reply_at + DISCOVERY_SECONDS - self._clock())

    def upstream_ids(self) -> frozenset[UpstreamId]:
        return frozenset(self._upstreams_by_id)

    def upstream_runs(self) -> set[UpstreamRun]:
        return {stored.record.run for stored in self._upstreams_by_id.values()}

    def upstream(self, upstream_id: UpstreamId) -> ServiceUpstream | None:
        stored = self._upstreams_by_id.get(upstream_id)
        return None if stored is None else stored.record

    def upstreams_of(self, service: str) -> list[ServiceUpstream]:
        """Return a service's upstreams in all regions, including those leaving."""
        return [
            stored.record
            for stored in self._upstreams_by_id.values()
            if stored.record.service == service
        ]

    def single_version(self, service: ServiceName) -> SoftwareVersion | None:
        """Return the version of all upstreams of a service, ``None`` if there is none."""
        if service not in self._single_version_by_service:
            versions = {upstream.version for upstream in self.upstreams_of(service)}
            self._single_version_by_service[service] = (
                versions.pop() if len(versions) == 1 else None
            )
        return self._single_version_by_service[service]

    def region_of(self, zone: ZoneName) -> RegionName | None:
        return self._regions_by_zone.get(zone)

    def run_status(self, upstream: ServiceUpstream) -> RunStatus:
        """Return the status of the run that ``upstream`` describes."""
        ended = self._ended_by_run.get(upstream.run)
        if ended is not None and ended.status is RunStatus.LEFT:
            return RunStatus.LEFT
        held = self.upstream(upstream.id)
        if held is not None and held.run == upstream.run:
            return RunStatus.LEFT if held.phase == "leaving" else RunStatus.SERVING
        at_address = self.upstream(self._ids_by_address.get(upstream.address, ""))
        if at_address is not None and at_address.address != upstream.address:
            at_address = None
        if any(one and one.born > upstream.born for one in (held, at_address)):
            return RunStatus.REPLACED
        return RunStatus.UNKNOWN if ended is None else ended.status

    def cold_seconds(self, upstream_id: UpstreamId) -> Seconds:
        """Return how much longer an upstream stays cold; 0 if it is warm."""
        stored = self._upstreams_by_id.get(upstream_id)
        if stored is None:
            return 0.0
        if stored.record.cold_seconds <= 0 and not self._evacuation_ended_at_by_zone:
            return 0.0
        now = self._clock()
        ended_at = self._evacuation_ended_at_by_zone.get(
            stored.record.zone, float("-inf")
        )
        presumed = ended_at + PRESUMED_COLD_SECONDS - now
        return max(
            0.0, stored.record.cold_seconds - (now - stored.recorded_at), presumed
        )

    def serving(self, service: ServiceName) -> Sequence[ServiceUpstream]:
        """Return the own region's upstreams of a service that accept requests."""
        serving = self._serving_by_service.get(service)
        if serving is None:
            serving = self._serving_by_service[service] = [
                stored.record
                for stored in self._upstreams_by_id.values()
                if stored.record.service == service
                and stored.record.phase == "serving"
                and self._regions_by_zone.get(stored.record.zone) == self.own_region
                and stored.record.zone not in self.evacuated_zones
            ]
        return serving

    def serving_regions(self, service: ServiceName) -> Mapping[UpstreamId, RegionName]:
        """Return the regions, by id, of a service's upstreams that accept requests."""
        regions_by_id = self._serving_regions_by_service.get(service)
        if regions_by_id is None:
            regions_by_id = self._serving_regions_by_service[service] = {
                upstream_id: self._regions_by_zone[stored.record.zone]
                for upstream_id, stored in self._upstreams_by_id.items()
                if stored.record.service == service
                and stored.record.phase == "serving"
                and stored.record.zone in self._regions_by_zone
                and stored.record.zone not in self.evacuated_zones
            }
        return regions_by_id

    def entries_of(self, region: RegionName) -> list[EntryRecord]:
        """Return the entries of a region that accept requests."""
        return [
            entry
            for entry in self.entries_by_name.values()
            if entry.region == region and entry.state == "serving"
        ]

    def demands_of_others(self, service: ServiceName) -> dict[VmName, float]:
        """Return the demand for a service at the other entries of the region."""
        return {d.entry: d.per_second for d in self._demands if d.service == service}

    def entries_sharing_budgets(self, region: RegionName) -> Sequence[VmName]:
        """
        Return the entries of a region, including those lost recently.

        Budgets are divided among these entries, as an unreachable one may still spend
        its share. The list is complete once :attr:`knows_all_entries` is set. It is the
        same object until its content may have changed.
        """
        now = self._clock()
        sharing = self._sharing_by_region.get(region)
        if sharing is None or now >= sharing.listed_at + SHARING_CACHE_SECONDS:
            oldest = now - LOST_ENTRY_TTL_SECONDS
            names = [
                name
                for name, (own, seen) in self._seen_by_entry.items()
                if own == region and seen >= oldest
            ]
            if sharing is not None and sharing.names == names:
                names = sharing.names
            sharing = self._sharing_by_region[region] = _SharingEntries(names, now)
        return sharing.names

    def count_entries_sharing_budgets(self) -> int:
        """Return the number of entries that share budgets, in all regions."""
        oldest = self._clock() - LOST_ENTRY_TTL_SECONDS
        return sum(seen >= oldest for _, seen in self._seen_by_entry.values())

    def apply_reply(
        self, reply: PollReply, requested_at: Seconds | None = None
    ) -> None:
        """
        Update the view from a control replica's reply.

        Parameters
        ----------
        requested_at : float, optional
            Loop time at which the poll was sent; defaults to now.
        """
        now = self._clock()
        self.last_reply_at = now
        if self._first_reply_at is None:
            self._first_reply_at = now
        for name, entry in self.entries_by_name.items():
            self._seen_by_entry[name] = entry.region, now
        if reply.whole:
            self._remove_all_except(reply)
        for entry in reply.entries:
            self.entries_by_name[entry.name] = entry
            self._seen_by_entry[entry.name] = entry.region, now
        for record in reply.upstreams:
            upstream = self._keep_departed(record)
            self._record_end(upstream, reply.upstreams)
            held = self._upstreams_by_id.get(upstream.id)
            if held is not None and upstream.born < held.record.born:
                continue
            if upstream.is_absent or self._claim_address(upstream):
                self._upstreams_by_id[upstream.id] = _StoredUpstream(upstream, now)
        self._apply_loads(reply, now)
        self._demands = reply.demands
        self._apply_versions(reply.versions)
        if reply.routing is not None:
            self._apply_routing(reply.routing)
        if reply.settled and not self.knows_all_entries:
            self.knows_all_entries = True
            _log.info(
                "all entries are known", entries=self.count_entries_sharing_budgets()
            )
        self._sharing_by_region = {
            region: sharing._replace(listed_at=float("-inf"))
            for region, sharing in self._sharing_by_region.items()
        }
        if reply.whole or reply.entries or reply.upstreams or reply.routing:
            self._single_version_by_service.clear()
            self._serving_by_service.clear()
            self._serving_regions_by_service.clear()
        if reply.entries or reply.upstreams or reply.routing:
            self._remove_lost()
            self._remove_expired_runs()
            self.changed.set(self.changed.value + 1)
        self.last_reply_requested_at.set(now if requested_at is None else requested_at)

    def _apply_loads(self, reply: PollReply, now: Seconds) -> None:
        """
        Replace the loads of the region's other entries and of other regions.

        Load pattern: control replicas restart, and entries follow them at once. Such a
        replica hears of other regions within a second; meanwhile what the former one
        said of them holds.
        """
        if reply.has_loads:
            self.other_entries_loads_by_id = {load.id: load for load in reply.loads}
        if reply.registry_id != self._followed_run:
            self._followed_run = reply.registry_id
            self._followed_from = now
        for load in reply.regions:
            self._loads_by_key[load.region, load.service] = _StoredLoad(load, now)
        lacks_some = now < self._followed_from + REGION_LOAD_TTL_SECONDS
        oldest = now - REGION_LOAD_TTL_SECONDS if lacks_some else now
        self._loads_by_key = {
            key: stored
            for key, stored in self._loads_by_key.items()
            if stored.reported_at >= oldest
        }
        self.region_loads = tuple(one.load for one in self._loads_by_key.values())

    def _apply_versions(self, versions: Iterable[ServiceVersions]) -> None:
        versions_by_service = {one.service: one for one in versions}
        if versions_by_service != self.versions_by_service:
            _log.info(
                "software versions",
                services=[one._asdict() for one in versions_by_service.values()],
            )
        self.versions_by_service = versions_by_service

    def _apply_routing(self, update: RoutingUpdate) -> None:
        if update.revision <= self.routing_revision:
            return
        table = decode_table(update.table) if update.table else None
        if update.table and table is None:
            _log.error("can't decode a route table", revision=update.revision)
            return
        if table is not None and (
            self.routes is None or table.version > self.routes.version
        ):
            self.routes = RouteIndex(table=table)
            _log.info(
                "routes in force", version=table.version, revision=update.revision
            )
        zones = frozenset(update.evacuated_zones)
        if zones != self.evacuated_zones:
            _log.info("evacuated zones", zones=sorted(zones), revision=update.revision)
        for zone in self.evacuated_zones - zones:
            self._evacuation_ended_at_by_zone[zone] = self._clock()
        self.evacuated_zones = zones
        self.routing_revision = update.revision

    def _record_end(
        self, upstream: ServiceUpstream, others: Iterable[ServiceUpstream]
    ) -> None:
        """Record how a run ended, to distinguish a crash from a departure."""
        now = self._clock()
        if upstream.phase == "lost":
            self._ended_by_run.setdefault(upstream.run, _Ended(RunStatus.LOST, now))
        elif upstream.phase == "leaving" or (
            upstream.phase == "gone" and not _is_replaced(upstream, others)
        ):
            self._ended_by_run[upstream.run] = _Ended(RunStatus.LEFT, now)
        elif upstream.phase == "serving":
            self._ended_by_run.pop(upstream.run, None)

    def _claim_address(self, upstream: ServiceUpstream) -> bool:
        """
        Assign the upstream's address to it, and remove an earlier run there.

        Return ``False`` if a later run has the address.
        """
        other_id = self._ids_by_address.get(upstream.address, upstream.id)
        other = self.upstream(other_id)
        if (
            other is not None
            and other.id != upstream.id
            and other.address == upstream.address
        ):
            if other.born > upstream.born:
                return False
            del self._upstreams_by_id[other.id]
            _log.info("a later run has the address", former=other.id, now=upstream.id)
        self._ids_by_address[upstream.address] = upstream.id
        return True

    def _keep_departed(self, upstream: ServiceUpstream) -> ServiceUpstream:
        """
        Return the upstream as leaving if its run has already announced a departure.

        A replica that has just started may not know of the departure, and a run that
        left doesn't come back.
        """
        ended = self._ended_by_run.get(upstream.run)
        if upstream.phase != "serving" or ended is None:
            return upstream
        if ended.status is not RunStatus.LEFT:
            return upstream
        return upstream._replace(phase="leaving")

    def _remove_expired_runs(self) -> None:
        oldest = self._clock() - ENDED_RUN_TTL_SECONDS
        for run, ended in list(self._ended_by_run.items()):
            if ended.recorded_at < oldest:
                del self._ended_by_run[run]
        for address, upstream_id in list(self._ids_by_address.items()):
            if upstream_id not in self._upstreams_by_id:
                del self._ids_by_address[address]

    def _remove_all_except(self, reply: PollReply) -> None:
        names = {entry.name for entry in reply.entries}
        ids = {upstream.id for upstream in reply.upstreams}
        for name in [n for n in self.entries_by_name if n not in names]:
            del self.entries_by_name[name]
        for upstream_id in [i for i in self._upstreams_by_id if i not in ids]:
            del self._upstreams_by_id[upstream_id]

    def _remove_lost(self) -> None:
        for name, entry in list(self.entries_by_name.items()):
            if entry.state == "lost":
                del self.entries_by_name[name]
        for upstream_id, stored in list(self._upstreams_by_id.items()):
            if stored.record.phase in ("lost", "gone"):
                del self._upstreams_by_id[upstream_id]


def _is_replaced(upstream: ServiceUpstream, others: Iterable[ServiceUpstream]) -> bool:
    """Return whether one of ``others`` is a later run at the same address."""
    return any(
        other.address == upstream.address and other.born > upstream.born
        for other in others
    )
