"""An entry's view of the deployment, kept up by polling one control replica."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import NamedTuple

from returns.result import Success

from poplarlug.control.routing_state import decode_table
from poplarlug.discovery.messages import (
    POLL_TOPIC,
    Poll,
    PollReply,
    RoutingNews,
    WaitingCount,
)
from poplarlug.discovery.records import (
    EntryRecord,
    RegionLoad,
    ServiceUpstream,
    UpstreamLoad,
)
from poplarlug.latest import Latest
from poplarlug.logs import PartLog
from poplarlug.routes import RouteIndex
from poplarlug.transport import Transport, TransportErrorKind
from poplarlug.types import Address, RegionName, Seconds, UpstreamId, VmName, ZoneName

HOLD_SECONDS = 0.25
"""Longest wait of a poll in the own zone; it bounds the age of the others' loads."""

FAR_HOLD_SECONDS = 1.0
"""The same towards another zone, where bytes cost."""

REPLY_SECONDS = 1.0
"""Beyond the hold: a reply that takes longer means that the replica is lost."""

RETRY_SECONDS = 0.1
LINK_SECONDS = 0.4
"""How long a link to a replica may take to stand; some round trips between regions."""

LINK_PAUSE_SECONDS = 0.05
LOOK_NEARER_SECONDS = 5.0
"""How often a replica of the own zone is looked for while another one is used."""

REMEMBER_SECONDS = 120.0
"""How long an entry counts among those that share a budget after it was lost."""

PRESUMED_COLD_SECONDS = 2.5
"""Two announcements: a zone's upstreams may have become cold while it was evacuated."""

MIN_PERIOD_SECONDS = 0.05
"""Shortest time between two polls, so that a burst of news costs one."""

_log = PartLog(prefix="discovery")


class OwnLoads(NamedTuple):
    """What this entry has running and waiting."""

    loads: tuple[UpstreamLoad, ...] = ()
    waiting: tuple[WaitingCount, ...] = ()


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
        self.routes: RouteIndex | None = None
        self.routing_revision = 0
        self.evacuated_zones: frozenset[ZoneName] = frozenset()
        self.others_loads_by_id: dict[UpstreamId, UpstreamLoad] = {}
        self.region_loads: tuple[RegionLoad, ...] = ()
        self.heard_at: Seconds = float("-inf")
        self.changed: Latest[int] = Latest(initial=0)

    @property
    def age_seconds(self) -> Seconds:
        """Time since a control replica answered."""
        return self._clock() - self.heard_at

    def upstream_ids(self) -> frozenset[UpstreamId]:
        return frozenset(self._upstreams_by_id)

    def upstream(self, upstream_id: UpstreamId) -> ServiceUpstream | None:
        noted = self._upstreams_by_id.get(upstream_id)
        return None if noted is None else noted.record

    def cold_seconds(self, upstream_id: UpstreamId) -> Seconds:
        """Return how much longer an upstream is cold; 0 when it is warm."""
        noted = self._upstreams_by_id.get(upstream_id)
        if noted is None:
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

    def sharers(self, region: RegionName) -> list[VmName]:
        """
        Return the entries of a region, those that were lost lately included.

        Budgets are divided among them: one that is out of sight may spend its share.
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

    def take(self, reply: PollReply) -> None:
        """Bring a replica's news into force."""
        now = self._clock()
        self.heard_at = now
        for name, entry in self.entries_by_name.items():
            self._seen_by_entry[name] = entry.region, now
        if reply.whole:
            self._forget_all_but(reply)
        for entry in reply.entries:
            self.entries_by_name[entry.name] = entry
            self._seen_by_entry[entry.name] = entry.region, now
        for upstream in reply.upstreams:
            held = self._upstreams_by_id.get(upstream.id)
            if held is None or upstream.born >= held.record.born:
                self._upstreams_by_id[upstream.id] = _Noted(upstream, now)
        self.others_loads_by_id = {load.id: load for load in reply.loads}
        self.region_loads = reply.regions
        if reply.routing is not None:
            self._take_routing(reply.routing)
        if reply.entries or reply.upstreams or reply.routing:
            self._forget_lost()
            self.changed.set(self.changed.value + 1)

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


class Subscriber:
    """
    Poll a control replica for news, and report the entry's own state and loads.

    A replica of the own zone is preferred. Another one is taken when it gives no
    answer, or is out of touch with the leader of its group.

    Parameters
    ----------
    zone : ZoneName
        The own zone.
    record : callable
        Returns this entry's record of the moment.
    own_loads : callable
        Returns what this entry has running and waiting.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        deployment: Deployment,
        transport: Transport,
        seeds: Iterable[Address],
        record: Callable[[], EntryRecord],
        own_loads: Callable[[], OwnLoads],
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self._zone = zone
        self._deployment = deployment
        self._transport = transport
        self._seeds = tuple(seeds)
        self._known: tuple[Address, ...] = ()
        self._record = record
        self._own_loads = own_loads
        self._rng = rng
        self._clock = clock
        self._replica: Address | None = None
        self._registry_id = ""
        self._revision = 0
        self._zones_by_replica: dict[Address, ZoneName] = {}
        self._looked_nearer_at = float("-inf")
        self._poke = asyncio.Event()

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Take new seeds from changed settings."""
        self._seeds = tuple(seeds)

    def report_now(self) -> None:
        """Send a poll beside the one that waits, because the own state changed."""
        self._poke.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        reporting = asyncio.ensure_future(self._report_changes())
        try:
            while True:
                started = self._clock()
                if not await self._poll_any():
                    await asyncio.sleep(RETRY_SECONDS * (1 + self._rng.random()))
                rest = MIN_PERIOD_SECONDS - (self._clock() - started)
                if rest > 0:
                    await asyncio.sleep(rest)
        finally:
            reporting.cancel()

    async def _report_changes(self) -> None:
        while True:
            await self._poke.wait()
            self._poke.clear()
            if self._replica is not None:
                await self._request(self._replica, self._make_poll(False, 0.0), 0.0)

    async def _poll_any(self) -> bool:
        """Poll replicas in turn until one is in touch with its leader."""
        stale: tuple[Address, PollReply] | None = None
        for replica in self._candidates():
            is_followed = replica == self._replica
            hold = self._hold_seconds(replica) if is_followed else 0.0
            poll = self._make_poll(is_followed, hold)
            reply = await self._request(replica, poll, hold)
            if reply is None:
                continue
            self._zones_by_replica[replica] = reply.zone
            if reply.current:
                self._follow(replica, reply)
                return True
            stale = stale or (replica, reply)
        if stale is not None:
            # A zone that is cut off goes on with the replica that it reaches.
            self._follow(*stale)
            return True
        if self._replica is not None:
            _log.warning("lost all control replicas", last=self._replica)
            self._replica = None
        return False

    def _candidates(self) -> list[Address]:
        known = list(dict.fromkeys([*self._known, *self._seeds]))
        self._rng.shuffle(known)
        known.sort(
            key=lambda replica: self._zones_by_replica.get(replica) != self._zone
        )
        if self._replica is None or self._looks_nearer():
            return known
        return [self._replica, *(one for one in known if one != self._replica)]

    def _looks_nearer(self) -> bool:
        assert self._replica is not None
        if self._zones_by_replica.get(self._replica) == self._zone:
            return False
        if self._clock() - self._looked_nearer_at < LOOK_NEARER_SECONDS:
            return False
        self._looked_nearer_at = self._clock()
        return True

    def _hold_seconds(self, replica: Address) -> Seconds:
        is_near = self._zones_by_replica.get(replica) == self._zone
        return HOLD_SECONDS if is_near else FAR_HOLD_SECONDS

    def _make_poll(self, is_followed: bool, hold: Seconds) -> Poll:
        own = self._own_loads()
        return Poll(
            record=self._record(),
            registry_id=self._registry_id if is_followed else "",
            known=self._revision if is_followed else 0,
            routing_revision=self._deployment.routing_revision,
            loads=own.loads,
            waiting=own.waiting,
            hold_seconds=hold,
        )

    async def _request(
        self, replica: Address, poll: Poll, hold: Seconds
    ) -> PollReply | None:
        link_deadline = self._clock() + LINK_SECONDS
        while True:
            reply = await self._transport.request(
                peer=replica,
                topic=POLL_TOPIC,
                message=poll,
                reply_type=PollReply,
                timeout_seconds=hold + REPLY_SECONDS,
            )
            if isinstance(reply, Success):
                return reply.unwrap()
            failure = reply.failure()
            is_connecting = failure.kind is TransportErrorKind.NOT_SENT
            if not is_connecting or self._clock() >= link_deadline:
                _log.debug("poll failed", replica=replica, reason=failure.message)
                return None
            await asyncio.sleep(LINK_PAUSE_SECONDS)

    def _follow(self, replica: Address, reply: PollReply) -> None:
        if replica != self._replica:
            _log.info(
                "follows a control replica",
                replica=replica,
                zone=reply.zone,
                current=reply.current,
                whole=reply.whole,
                revision=reply.revision,
            )
        self._deployment.take(reply)
        self._replica = replica
        self._registry_id = reply.registry_id
        self._revision = reply.revision
        self._known = reply.control
