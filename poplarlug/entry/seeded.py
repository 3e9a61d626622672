"""An entry that discovers the deployment through seeds and relays by route."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from random import Random

from aiohttp import web
from prometheus_client import Gauge

from poplarlug.callers.client_memory import ClientMemory
from poplarlug.callers.connections import (
    STOP_LISTENING_SECONDS,
    ConnectionGuard,
    HttpLimits,
)
from poplarlug.callers.vm_limits import client_bytes, limit_connections
from poplarlug.daemon import Site, add_health_routes, stop_event
from poplarlug.discovery.crash_marks import CrashMarks
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import WaitingCount
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.pauses import PauseWatch
from poplarlug.discovery.ranking import DirectoryRequest, rank_entries
from poplarlug.discovery.records import EntryRecord, EntryState
from poplarlug.discovery.room import room_of
from poplarlug.discovery.software_versions import StreamVersions
from poplarlug.discovery.subscriber import OwnLoads, Subscriber
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY, sample_loop_lag
from poplarlug.quotas import QuotaCharging
from poplarlug.relay.budgets import RetryLimits, WarmupLimits
from poplarlug.relay.client import REMOTE_CONNECT_SECONDS, RelayClient
from poplarlug.relay.dispatcher import Dispatcher
from poplarlug.relay.endpoint import RelayEndpoint
from poplarlug.relay.gateway import RelayGateway
from poplarlug.relay.header_names import HeaderNames
from poplarlug.relay.in_flight import InFlightTracker
from poplarlug.relay.planned_stop import DRAIN_LIMIT_SHARE, LISTEN_SHARE, PlannedStop
from poplarlug.relay.resumption import Resumption
from poplarlug.relay.suspects import Suspects
from poplarlug.relay.view import FleetView
from poplarlug.seeded_settings import (
    SeededEntrySettings,
    seconds_since_boot,
    seed_peer_addresses,
    watch_settings,
)
from poplarlug.settings import Translate
from poplarlug.supervision import Supervisor
from poplarlug.teams import KeyFreshness
from poplarlug.transport import NamedByAddress, ZmqTransport
from poplarlug.types import Address, RegionName, ZoneName

NANOSECONDS_PER_MILLISECOND = 1_000_000
MAX_HEADER_BYTES = 16 * 1024
KEEPALIVE_SECONDS = 20.0
"""Longer than any idle timeout that operators configure for callers, so that callers
close idle connections first."""

EXIT_TIMEOUT_SECONDS = 0.5
"""Timeout for closing all components, after which the process exits regardless."""

HANDLER_SHUTDOWN_SECONDS = 0.1
"""How long callers may take, after the drain, to be told the end of their requests."""

DRAIN_CHECK_SECONDS = 0.05

_ROOM = Gauge(
    "poplarlug_entry_room_ratio",
    "Requests that the entry can take at once, relative to a nominal VM.",
    registry=REGISTRY,
)
CALLERS_FILES_SHARE = 0.3
"""Share of the descriptors for callers; somewhat more are for upstreams."""

FORWARDS_FILES_SHARE = 0.1
"""Share of the descriptors for other entries, which callers can't use up."""

SITES_FILES_SHARE = 0.125
"""Share of the descriptors for directory, readiness and metrics."""

_log = ComponentLogger(prefix="entry")


class SeededEntry:
    """
    The components of an entry daemon that discovers the deployment through seeds.

    Seeds are the control replicas that its settings list.

    Parameters
    ----------
    header_names : HeaderNames
        Header names that callers and upstreams use.
    """

    def __init__(
        self, *, settings: SeededEntrySettings, header_names: HeaderNames, rng: Random
    ) -> None:
        clock = asyncio.get_running_loop().time
        self._settings = settings
        self._room = room_of(settings.vm)
        _ROOM.set(self._room)
        self._incarnation = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self.stop = PlannedStop(clock=clock)
        self.deployment = Deployment(
            own_region=settings.region,
            regions_by_zone=settings.regions_by_zone,
            clock=clock,
        )
        self.transport = ZmqTransport(
            name=f"{settings.ip}:{settings.peers_port}",
            address=f"{settings.ip}:{settings.peers_port}",
            addresses_by_name=NamedByAddress(),
            keys=None,
        )
        self.in_flight = InFlightTracker(
            clock=clock,
            others=lambda upstream_id: self.deployment.other_entries_loads_by_id.get(
                upstream_id
            ),
        )
        budgets = settings.budgets
        named_limits = NamedLimits(clock=clock)
        self.view = FleetView(
            name=settings.name,
            deployment=self.deployment,
            in_flight=self.in_flight,
            warmup=WarmupLimits(budgets.warmup_overage, budgets.warmup_slack),
            limits=named_limits,
            rng=rng,
            clock=clock,
        )
        self.dispatcher = Dispatcher(view=self.view, stop=self.stop, clock=clock)
        self.client = RelayClient(header_names=header_names)
        self.forward_client = RelayClient(
            connect_seconds=REMOTE_CONNECT_SECONDS, header_names=header_names
        )
        crash_marks = CrashMarks(clock=clock)
        streams = StreamVersions(clock=clock)
        self.pauses = PauseWatch(
            deployment=self.deployment, uptime=seconds_since_boot, clock=clock
        )
        resumption = Resumption(
            deployment=self.deployment,
            streams=streams,
            look_up=lambda lookup: self.subscriber.look_up_stream(lookup),
        )
        self.gateway = RelayGateway(
            name=settings.name,
            view=self.view,
            dispatcher=self.dispatcher,
            client=self.client,
            forward_client=self.forward_client,
            suspects=Suspects(
                deployment=self.deployment,
                marks=crash_marks,
                ended_runs=self.view.ended_runs,
                rng=rng,
                clock=clock,
            ),
            resumption=resumption,
            header_names=header_names,
            retry_limits=RetryLimits(
                ratio=budgets.retry_ratio,
                extra=budgets.retry_extra,
                window_seconds=budgets.retry_window_seconds,
            ),
            clock=clock,
            stood_still_since=self.pauses.stood_still_since,
            stop=self.stop,
            quotas=QuotaCharging(
                transport=self.transport,
                replicas=lambda: self.subscriber.nearest_replicas(),
            ),
        )
        revocation = settings.revocation
        freshness = KeyFreshness(
            bound_seconds=None
            if revocation is None
            else revocation.bound_milliseconds / 1000,
            uptime=seconds_since_boot,
        )
        limits = HttpLimits(
            max_header_bytes=MAX_HEADER_BYTES, keepalive_seconds=KEEPALIVE_SECONDS
        )
        memory = ClientMemory(total_bytes=client_bytes(settings.vm), clock=clock)
        self.guard = ConnectionGuard(
            limits=limit_connections(limits, settings.vm, CALLERS_FILES_SHARE),
            memory=memory,
            counts_bodies=False,
        )
        self.forwards_guard = ConnectionGuard(
            limits=limit_connections(limits, settings.vm, FORWARDS_FILES_SHARE),
            memory=memory,
            counts_bodies=False,
        )
        self.site_guard = ConnectionGuard(
            limits=limit_connections(HttpLimits(), settings.vm, SITES_FILES_SHARE),
            memory=memory,
        )
        self.relay_endpoint = RelayEndpoint(
            gateway=self.gateway,
            deployment=self.deployment,
            pauses=self.pauses,
            header_names=header_names,
            stop=self.stop,
            guard=self.guard,
            rng=rng,
            clock=clock,
            freshness=freshness,
        )
        self.subscriber = Subscriber(
            zone=settings.zone,
            deployment=self.deployment,
            marks=crash_marks,
            limits=named_limits,
            streams=streams,
            transport=self.transport,
            seeds=seed_peer_addresses(settings.seeds, settings.peers_port),
            record=self.record,
            own_loads=self._own_loads,
            freshness=freshness,
            parts=self.in_flight.memories,
            rng=rng,
            clock=clock,
        )
        self.supervisor = Supervisor(name="entry", rng=rng)
        self.supervisor.add_child("loop lag", sample_loop_lag)
        self.supervisor.add_child("transport", self.transport.run)
        self.supervisor.add_child("subscriber", self.subscriber.run)
        self.supervisor.add_child("pauses", self.pauses.run)
        self.supervisor.add_child("dispatcher", self.dispatcher.run)
        self.supervisor.add_child("resumption", resumption.run)
        self.supervisor.add_child("connections", self.guard.run)
        self.supervisor.add_child("forwards", self.forwards_guard.run)
        self.supervisor.add_child("other connections", self.site_guard.run)

    @property
    def _guards(self) -> tuple[ConnectionGuard, ...]:
        return self.guard, self.forwards_guard, self.site_guard

    @property
    def is_stopping(self) -> bool:
        return self.stop.is_stopping

    def is_ready(self) -> bool:
        """Return whether routes are loaded and no stop has begun."""
        return self.deployment.routes is not None and not self.is_stopping

    def record(self) -> EntryRecord:
        """Return the record that this entry publishes about itself."""
        settings = self._settings
        state: EntryState = "serving" if self.is_ready() else "starting"
        if self.is_stopping:
            state = "leaving"
        known = self.deployment.entries_by_name.get(settings.name)
        if known is not None and known.incarnation > self._incarnation:
            # The wall clock was set back since the last run.
            self._incarnation = known.incarnation + 1
        return EntryRecord(
            name=settings.name,
            region=settings.region,
            zone=settings.zone,
            http=settings.http,
            forwards=f"{settings.ip}:{settings.forwards_port}",
            incarnation=self._incarnation,
            state=state,
            room=self._room,
        )

    def nearest_entry_addresses(
        self, zone: ZoneName, region: RegionName, *, caller: str = ""
    ) -> list[Address]:
        """Return the addresses of the entries that the caller at an IP should use."""
        by_name = dict(self.deployment.entries_by_name)
        own = self.record()
        by_name[own.name] = own
        request = DirectoryRequest(zone, region, caller, time.time())
        return rank_entries(by_name.values(), request)

    def reload(self, settings: SeededEntrySettings) -> None:
        """Apply changed settings, as far as this needs no restart."""
        self.subscriber.replace_seeds(
            seed_peer_addresses(settings.seeds, settings.peers_port)
        )
        self._settings = settings

    async def drain(self) -> None:
        """Leave the directory, then wait for requests within the grace period."""
        grace = self._settings.grace_seconds
        self.stop.begin(grace)
        self.subscriber.report_now()
        listen_limit = DRAIN_LIMIT_SHARE - STOP_LISTENING_SECONDS / grace
        await self._wait_until_idle(not_before=LISTEN_SHARE, limit=listen_limit)
        await asyncio.gather(
            *(guard.stop_listening() for guard in self._guards),
        )
        await self._wait_until_idle()
        _log.info(
            "drained",
            in_progress=self.relay_endpoint.in_progress.value,
            seconds=round(self.stop.elapsed_share * grace, 2),
        )

    async def end_requests(self) -> None:
        """End the requests that outlast the drain, and let their callers know."""
        self.stop.end_requests()
        in_progress = self.relay_endpoint.in_progress
        try:
            async with asyncio.timeout(HANDLER_SHUTDOWN_SECONDS):
                await in_progress.wait_for(lambda count: count == 0)
        except TimeoutError:
            _log.warning("some callers are not told", in_progress=in_progress.value)

    async def close(self, runners: Sequence[web.AppRunner]) -> None:
        """Close callers' connections first, as their answers come over the clients."""
        await _close_all(*(runner.cleanup() for runner in runners))
        await _close_all(self.client.close(), self.forward_client.close())

    async def _wait_until_idle(
        self, *, not_before: float = 0.0, limit: float = DRAIN_LIMIT_SHARE
    ) -> None:
        """
        Wait until no request, send or answer is in progress, or the drain must end.

        Parameters
        ----------
        not_before, limit : float
            Shares of the grace period for which to wait at least and at most.
        """
        while True:
            share = self.stop.elapsed_share
            in_progress = self.relay_endpoint.in_progress.value
            is_idle = (
                in_progress == 0
                and self.gateway.is_idle
                and not self.guard.has_unsent_bytes
                and not self.forwards_guard.has_unsent_bytes
            )
            if share > limit or (is_idle and share > not_before):
                return
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def _own_loads(self) -> OwnLoads:
        waiting = tuple(
            WaitingCount(service, count)
            for service, count in self.dispatcher.waiting().items()
        )
        demands = self.view.limiter.demands()
        return OwnLoads(self.in_flight.own_loads(), waiting, demands)


async def _close_all(*closing: Awaitable[None]) -> None:
    for error in await asyncio.gather(*closing, return_exceptions=True):
        if error is not None:
            _log.warning("a component failed to close", error=repr(error))


MakeSites = Callable[[SeededEntry, SeededEntrySettings], Sequence[Site]]


async def run_seeded_entry(
    settings: SeededEntrySettings,
    *,
    settings_file: Path,
    header_names: HeaderNames,
    make_sites: MakeSites,
    translate: Translate | None = None,
) -> int:
    """
    Run an entry until SIGTERM; return the exit status.

    Parameters
    ----------
    settings_file : pathlib.Path
        The file of ``settings``, which is reloaded when it changes and on SIGHUP.
    header_names : HeaderNames
        Header names that callers and upstreams use.
    translate : callable, optional
        Turns the content of the settings file into settings, at each reload.
    make_sites : callable
        Returns further HTTP applications of the entry, such as the directory.
    """
    # Until then, a signal ends the process at once.
    stop = stop_event()
    entry = SeededEntry(settings=settings, header_names=header_names, rng=Random())
    await entry.client.open()
    await entry.forward_client.open()
    runners = [
        await entry.guard.serve(
            entry.relay_endpoint.build(),
            settings.http,
            cancel_handlers=True,
            shutdown_seconds=HANDLER_SHUTDOWN_SECONDS,
        ),
        await entry.forwards_guard.serve(
            entry.relay_endpoint.build_for_entries(entry.forwards_guard),
            f"{settings.ip}:{settings.forwards_port}",
            cancel_handlers=True,
            shutdown_seconds=HANDLER_SHUTDOWN_SECONDS,
        ),
    ]
    metrics_app = web.Application()
    add_health_routes(metrics_app, entry.is_ready)
    sites = [
        *make_sites(entry, settings),
        Site(f"{settings.ip}:{settings.metrics_port}", metrics_app),
    ]
    for site in sites:
        runner = await entry.site_guard.serve(
            site.app, site.address, shutdown_seconds=HANDLER_SHUTDOWN_SECONDS
        )
        runners.append(runner)
    supervisor_task = asyncio.ensure_future(entry.supervisor.run())
    settings_task = asyncio.ensure_future(
        watch_settings(settings_file, SeededEntrySettings, entry.reload, translate)
    )
    _log.info("started", name=settings.name, zone=settings.zone, http=settings.http)
    stop_task = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        {supervisor_task, stop_task}, return_when=asyncio.FIRST_COMPLETED
    )
    _log.info("stopping", name=settings.name)
    failed = supervisor_task.done()
    await entry.drain()
    settings_task.cancel()
    try:
        async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
            await entry.end_requests()
            supervisor_task.cancel()
            await entry.close(runners)
            await asyncio.gather(supervisor_task, return_exceptions=True)
    except TimeoutError:
        _log.warning("exiting before all components closed")
    _log.info("stopped", name=settings.name)
    return 1 if failed else 0
