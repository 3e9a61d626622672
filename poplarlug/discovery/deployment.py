"""An entry's view of the deployment."""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from poplarlug.control.routing_state import decode_table
from poplarlug.discovery.messages import EntryDemand, PollReply, RoutingNews
from poplarlug.discovery.records import (
    EntryRecord,
    RegionLoad,
    ServiceUpstream,
    UpstreamLoad,
    UpstreamRun,
)
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.routes import RouteIndex
from poplarlug.types import (
    Address,
    RegionName,
    Seconds,
    ServiceName,
    UpstreamId,
    VmName,
    ZoneName,
)

REMEMBER_SECONDS = 120.0
"""How long an entry counts among those that share a budget after it was lost."""

PRESUMED_COLD_SECONDS = 2.5
"""Two announcements: a zone's upstreams may have become cold while it was evacuated."""

REMEMBER_RUN_SECONDS = 30.0
"""How long the end of an upstream's run is known; longer than anyone asks for it."""

_log = ComponentLogger(prefix="discovery")


class RunFate(Enum):
    """What is known of an upstream's run."""

    SERVING = "serving"
    LEFT = "left"
    """It said that it leaves, or that it is gone."""
    REPLACED = "replaced"
    """A later run has its id or its address, and it had said nothing before."""
    LOST = "lost"
    """It gave no sign for its life."""
    UNKNOWN = "unknown"


class _Ended(NamedTuple):
    fate: RunFate
    at: Seconds


class _Noted(NamedTuple):
    record: ServiceUpstream
    at: Seconds


class Deployment:
    """
    Entries, upstreams, routes and loads as this entry knows them.

    Everything stays as it was while no control replica answers.

    Parameters
    ----------
    regions_by_zone : mapping
        Zones of the deployment.

    Attributes
    ----------
    asked : Latest of float
        Loop time at which the question was sent whose answer came last.
    knows_all_entries : bool
        Whether a replica that knew all of them has named them since the start of
        this entry. Until then no share of a common budget can be worked out.
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
        self._taken_back_by_zone: dict[ZoneName, Seconds] = {}
        self._upstreams_by_id: dict[UpstreamId, _Noted] = {}
        self._ids_by_address: dict[Address, UpstreamId] = {}
        self._ended_by_run: dict[UpstreamRun, _Ended] = {}
        self.routes: RouteIndex | None = None
        self.routing_revision = 0
        self.evacuated_zones: frozenset[ZoneName] = frozenset()
        self.others_loads_by_id: dict[UpstreamId, UpstreamLoad] = {}
        self.region_loads: tuple[RegionLoad, ...] = ()
        self._demands: tuple[EntryDemand, ...] = ()
        self.heard_at: Seconds = float("-inf")
        self.asked: Latest[Seconds] = Latest(initial=float("-inf"))
        self.knows_all_entries = False
        self.changed: Latest[int] = Latest(initial=0)

    @property
    def age_seconds(self) -> Seconds:
        """Time since a control replica answered."""
        return self._clock() - self.heard_at

    def upstream_ids(self) -> frozenset[UpstreamId]:
        return frozenset(self._upstreams_by_id)

    def upstream_runs(self) -> set[UpstreamRun]:
        return {noted.record.run for noted in self._upstreams_by_id.values()}

    def upstream(self, upstream_id: UpstreamId) -> ServiceUpstream | None:
        noted = self._upstreams_by_id.get(upstream_id)
        return None if noted is None else noted.record

    def upstreams_of(self, service: str) -> list[ServiceUpstream]:
        """Return a service's upstreams of all regions, also those that leave."""
        return [
            noted.record
            for noted in self._upstreams_by_id.values()
            if noted.record.service == service
        ]

    def region_of(self, zone: ZoneName) -> RegionName | None:
        return self._regions_by_zone.get(zone)

    def fate(self, upstream: ServiceUpstream) -> RunFate:
        """Return what became of the run that ``upstream`` describes."""
        ended = self._ended_by_run.get(upstream.run)
        if ended is not None and ended.fate is RunFate.LEFT:
            return RunFate.LEFT
        held = self.upstream(upstream.id)
        if held is not None and held.run == upstream.run:
            return RunFate.LEFT if held.phase == "leaving" else RunFate.SERVING
        there = self.upstream(self._ids_by_address.get(upstream.address, ""))
        if there is not None and there.address != upstream.address:
            there = None
        if any(one and one.born > upstream.born for one in (held, there)):
            return RunFate.REPLACED
        return RunFate.UNKNOWN if ended is None else ended.fate

    def cold_seconds(self, upstream_id: UpstreamId) -> Seconds:
        """Return how much longer an upstream is cold; 0 when it is warm."""
        noted = self._upstreams_by_id.get(upstream_id)
        if noted is None:
            return 0.0
        if noted.record.cold_seconds <= 0 and not self._taken_back_by_zone:
            return 0.0
        now = self._clock()
        taken_back = self._taken_back_by_zone.get(noted.record.zone, float("-inf"))
        presumed = taken_back + PRESUMED_COLD_SECONDS - now
        return max(0.0, noted.record.cold_seconds - (now - noted.at), presumed)

    def serving(self, service: str) -> list[ServiceUpstream]:
        """Return the own region's upstreams of a service that take requests."""
        return [
            noted.record
            for noted in self._upstreams_by_id.values()
            if noted.record.service == service
            and noted.record.phase == "serving"
            and self._regions_by_zone.get(noted.record.zone) == self.own_region
            and noted.record.zone not in self.evacuated_zones
        ]

    def serving_regions(self, service: str) -> dict[UpstreamId, RegionName]:
        """Return the regions of all upstreams of a service that take requests."""
        return {
            upstream_id: self._regions_by_zone[noted.record.zone]
            for upstream_id, noted in self._upstreams_by_id.items()
            if noted.record.service == service
            and noted.record.phase == "serving"
            and noted.record.zone in self._regions_by_zone
            and noted.record.zone not in self.evacuated_zones
        }

    def entries_of(self, region: RegionName) -> list[EntryRecord]:
        """Return the entries of a region that take requests."""
        return [
            entry
            for entry in self.entries_by_name.values()
            if entry.region == region and entry.state == "serving"
        ]

    def demands_of_others(self, service: ServiceName) -> dict[VmName, float]:
        """Return the demand for a service at the region's other entries."""
        return {d.entry: d.per_second for d in self._demands if d.service == service}

    def sharers(self, region: RegionName) -> list[VmName]:
        """
        Return the entries of a region, those that were lost lately included.

        Budgets are divided among them: one that is out of sight may spend its share.
        See :attr:`knows_all_entries` for when they are all of them.
        """
        oldest = self._clock() - REMEMBER_SECONDS
        return [
            name
            for name, (own, seen) in self._seen_by_entry.items()
            if own == region and seen >= oldest
        ]

    def count_sharers(self) -> int:
        """Return how many entries there are in all regions, see :meth:`sharers`."""
        oldest = self._clock() - REMEMBER_SECONDS
        return sum(seen >= oldest for _, seen in self._seen_by_entry.values())

    def take(self, reply: PollReply, asked: Seconds | None = None) -> None:
        """
        Bring a replica's news into force.

        Parameters
        ----------
        asked : float, optional
            Loop time at which it was asked; now, if left out.
        """
        now = self._clock()
        self.heard_at = now
        for name, entry in self.entries_by_name.items():
            self._seen_by_entry[name] = entry.region, now
        if reply.whole:
            self._forget_all_but(reply)
        for entry in reply.entries:
            self.entries_by_name[entry.name] = entry
            self._seen_by_entry[entry.name] = entry.region, now
        for record in reply.upstreams:
            upstream = self._unless_left(record)
            self._note_end(upstream, reply.upstreams)
            held = self._upstreams_by_id.get(upstream.id)
            if held is not None and upstream.born < held.record.born:
                continue
            if upstream.is_over or self._owns_address(upstream):
                self._upstreams_by_id[upstream.id] = _Noted(upstream, now)
        self.others_loads_by_id = {load.id: load for load in reply.loads}
        self.region_loads = reply.regions
        self._demands = reply.demands
        if reply.routing is not None:
            self._take_routing(reply.routing)
        if reply.settled and not self.knows_all_entries:
            self.knows_all_entries = True
            _log.info("all entries are known", entries=self.count_sharers())
        if reply.entries or reply.upstreams or reply.routing:
            self._forget_lost()
            self._forget_ended()
            self.changed.set(self.changed.value + 1)
        self.asked.set(now if asked is None else asked)

    def _take_routing(self, news: RoutingNews) -> None:
        if news.revision <= self.routing_revision:
            return
        table = decode_table(news.table) if news.table else None
        if news.table and table is None:
            _log.error("a route table can't be read", revision=news.revision)
            return
        if table is not None and (
            self.routes is None or table.version > self.routes.version
        ):
            self.routes = RouteIndex(table=table)
            _log.info("routes in force", version=table.version, revision=news.revision)
        zones = frozenset(news.evacuated_zones)
        if zones != self.evacuated_zones:
            _log.info("evacuated zones", zones=sorted(zones), revision=news.revision)
        for zone in self.evacuated_zones - zones:
            self._taken_back_by_zone[zone] = self._clock()
        self.evacuated_zones = zones
        self.routing_revision = news.revision

    def _note_end(
        self, upstream: ServiceUpstream, others: Iterable[ServiceUpstream]
    ) -> None:
        """Remember how a run ends, so that a crash can be told from a farewell."""
        now = self._clock()
        if upstream.phase == "lost":
            self._ended_by_run.setdefault(upstream.run, _Ended(RunFate.LOST, now))
        elif upstream.phase == "leaving" or (
            upstream.phase == "gone" and not _is_replaced(upstream, others)
        ):
            self._ended_by_run[upstream.run] = _Ended(RunFate.LEFT, now)
        elif upstream.phase == "serving":
            self._ended_by_run.pop(upstream.run, None)

    def _owns_address(self, upstream: ServiceUpstream) -> bool:
        """Return whether no later run has the address; forget an earlier one there."""
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

    def _unless_left(self, upstream: ServiceUpstream) -> ServiceUpstream:
        """
        Return what is known of an upstream with what a replica says.

        A replica that has just started may know less: one that said that it leaves
        doesn't come back in the same run.
        """
        ended = self._ended_by_run.get(upstream.run)
        if upstream.phase != "serving" or ended is None:
            return upstream
        if ended.fate is not RunFate.LEFT:
            return upstream
        return upstream._replace(phase="leaving")

    def _forget_ended(self) -> None:
        oldest = self._clock() - REMEMBER_RUN_SECONDS
        for run, ended in list(self._ended_by_run.items()):
            if ended.at < oldest:
                del self._ended_by_run[run]
        for address, upstream_id in list(self._ids_by_address.items()):
            if upstream_id not in self._upstreams_by_id:
                del self._ids_by_address[address]

    def _forget_all_but(self, reply: PollReply) -> None:
        names = {entry.name for entry in reply.entries}
        ids = {upstream.id for upstream in reply.upstreams}
        for name in [n for n in self.entries_by_name if n not in names]:
            del self.entries_by_name[name]
        for upstream_id in [i for i in self._upstreams_by_id if i not in ids]:
            del self._upstreams_by_id[upstream_id]

    def _forget_lost(self) -> None:
        for name, entry in list(self.entries_by_name.items()):
            if entry.state == "lost":
                del self.entries_by_name[name]
        for upstream_id, noted in list(self._upstreams_by_id.items()):
            if noted.record.phase in ("lost", "gone"):
                del self._upstreams_by_id[upstream_id]


def _is_replaced(upstream: ServiceUpstream, others: Iterable[ServiceUpstream]) -> bool:
    """Return whether one of ``others`` is a later run at the same address."""
    return any(
        other.address == upstream.address and other.born > upstream.born
        for other in others
    )
