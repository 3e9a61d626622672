"""Membership service of an entry: zone members, upstreams and remote zones."""

import asyncio
from collections.abc import Callable
from random import Random

from poplarlug.logs import ComponentLogger
from poplarlug.membership.failure_detector import FailureDetector
from poplarlug.membership.members import MemberState, MemberTable
from poplarlug.membership.messages import Acknowledgement, Share
from poplarlug.membership.pause import PauseDetector
from poplarlug.membership.reporting import SUMMARY_TOPIC, ZoneReporter
from poplarlug.membership.summaries import (
    SUMMARY_INTERVAL_SECONDS,
    SummaryTable,
    ZoneSummary,
)
from poplarlug.membership.tables import TableExchange
from poplarlug.membership.upstream_sharing import (
    RECORD_TOPIC,
    AnnounceOutcome,
    UpstreamSharing,
)
from poplarlug.membership.upstreams import Announcement, UpstreamRecord, UpstreamTable
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import Transport
from poplarlug.types import ConfigVersion, Seconds, VmName, ZoneName

__all__ = ["AnnounceOutcome", "Membership", "ZoneSummary"]

TICK_SECONDS = 0.25
SHARE_INTERVAL_SECONDS = 1.0
PAUSE_RECOVERY_SECONDS = 0.5
SETTLE_TIMEOUT_SECONDS = 2.0
FETCH_RETRY_SECONDS = 0.2
MAX_LEAVE_PING_ROUNDS = 2

SHARE_TOPIC = "membership.share"

_log = ComponentLogger(prefix="membership")


class Membership:
    """
    This entry's view of its zone's entries and upstreams and of the other zones.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time in seconds.
    rng : random.Random
        Randomizes the order of pings and fetches.
    incarnation : int
        Incarnation of this process; must increase from run to run.
    load : callable
        Returns the requests in progress as a share, 0 to 1, of this entry's limit.
    config_version : callable
        Returns the version of the configuration in force.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        topology: Topology,
        transport: Transport,
        clock: Callable[[], Seconds],
        rng: Random | None = None,
        incarnation: int = 1,
        load: Callable[[], float] = lambda: 0.0,
        config_version: Callable[[], ConfigVersion] = lambda: 0,
    ) -> None:
        rng = rng or Random(own.name)
        self.own = own
        self.topology = topology
        self.settled = False
        self.upstreams = UpstreamTable(clock=clock)
        self.members = MemberTable(
            own=own.name,
            names=[vm.name for vm in topology.entries_of_zone(own.zone)],
            incarnation=incarnation,
        )
        self.pause_detector = PauseDetector(
            clock=clock, on_pause=self._reset_after_pause
        )
        self._clock = clock
        self._load = load
        self._transport = transport
        self._summaries = SummaryTable(own=own.name, clock=clock)
        self._zones_to_share: dict[ZoneName, None] = {}
        self._settle_after = 0.0
        self._upstream_sharing = UpstreamSharing(
            upstreams=self.upstreams, members=self.members, transport=transport
        )
        self._table_exchange = TableExchange(
            members=self.members,
            upstreams=self.upstreams,
            summaries=self._summaries,
            transport=transport,
            rng=rng,
            clock=clock,
            is_settled=lambda: self.settled,
        )
        self.detector = FailureDetector(
            members=self.members,
            transport=transport,
            rng=rng,
            local_state=self._local_state,
            on_mismatch=self._repair_from,
        )
        self._table_exchange.detector = self.detector
        self.reporter = ZoneReporter(
            own=own,
            topology=topology,
            members=self.members,
            upstreams=self.upstreams,
            transport=transport,
            config_version=config_version,
            load=load,
        )
        transport.before_request(self.pause_detector.check)
        transport.serve(RECORD_TOPIC, UpstreamRecord, self._serve_record)
        transport.serve(SHARE_TOPIC, Share, self._serve_share)
        transport.serve(SUMMARY_TOPIC, ZoneSummary, self._serve_summary)

    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        """Apply an announcement received from an upstream and share it in the zone."""
        return await self._upstream_sharing.announce(announcement)

    def summaries_by_entry(self) -> tuple[ZoneSummary, ...]:
        """Return the fresh zone summaries, one per entry to forward to."""
        return self._summaries.by_entry()

    def zone_summaries(self) -> list[ZoneSummary]:
        """Return the fresh summary of each other zone."""
        return self._summaries.fresh()

    def accepting_entries(self) -> list[VmName]:
        """Return the entries of the local zone that accept new requests."""
        if self.members.own_member.state is MemberState.LEAVING:
            return [n for n in self.reporter.accepting_entries() if n != self.own.name]
        return self.reporter.accepting_entries()

    def is_trusted(self) -> bool:
        """Return whether the tables are current; false at startup and after a pause."""
        self.pause_detector.check()
        return self.settled

    async def run(self) -> None:
        """Keep the tables up to date until cancelled."""
        detecting = asyncio.ensure_future(self.detector.run())
        try:
            await self._settle()
            last_share = last_report = self._clock()
            while True:
                self.pause_detector.check()
                if not self.settled:
                    await self._settle()
                self._expire()
                if self._clock() - last_share >= SHARE_INTERVAL_SECONDS:
                    last_share = self._clock()
                    self._share()
                if self._clock() - last_report >= SUMMARY_INTERVAL_SECONDS:
                    last_report = self._clock()
                    self.reporter.send()
                await asyncio.sleep(TICK_SECONDS)
        finally:
            detecting.cancel()
            self._table_exchange.stop()
            self._upstream_sharing.stop()
            self.reporter.stop()

    async def leave(self) -> None:
        """Tell the zone's entries that this one accepts no new requests."""
        own = self.members.leave()
        self.detector.queue_update(own)
        for _ in range(MAX_LEAVE_PING_ROUNDS):
            if await self.detector.ping_all():
                return

    def _expire(self) -> None:
        for upstream_id in self.upstreams.expire():
            _log.info("lease ended", upstream=upstream_id)

    def _share(self) -> None:
        zones, self._zones_to_share = self._zones_to_share, {}
        fresh_by_zone = {summary.zone: summary for summary in self._summaries.fresh()}
        message = Share(
            self._upstream_sharing.pop_renewals(),
            tuple(
                fresh_by_zone[zone]._replace(models=())
                for zone in zones
                if zone in fresh_by_zone
            ),
        )
        if not message.renewals and not message.summaries:
            return
        for peer in self.members.reachable_others():
            self._transport.notify(peer=peer, topic=SHARE_TOPIC, message=message)

    async def _settle(self) -> None:
        """Fetch the zone's tables; no records are accepted or batches sent before."""
        await asyncio.sleep(max(0.0, self._settle_after - self._clock()))
        pause_count = self.pause_detector.pause_count
        deadline = self._clock() + SETTLE_TIMEOUT_SECONDS
        while not await self._table_exchange.fetch_all():
            if self._clock() >= deadline:
                _log.warning("no entry of the zone answered; going on alone")
                break
            await asyncio.sleep(FETCH_RETRY_SECONDS)
        self.settled = pause_count == self.pause_detector.pause_count

    def _reset_after_pause(self, seconds: Seconds) -> None:
        # Messages queued in the sockets may be as old as the pause was long.
        self.settled = False
        self._settle_after = self._clock() + PAUSE_RECOVERY_SECONDS
        self._upstream_sharing.clear_renewals()
        self._zones_to_share.clear()
        self._summaries.clear()
        self.upstreams.expire()
        self.members.raise_incarnation()
        self.detector.restart_suspicions()

    def _local_state(self) -> tuple[float, int]:
        return self._load(), self.upstreams.digest()

    def _repair_from(self, peer: VmName) -> None:
        if self.settled:
            self._table_exchange.repair_from(peer)

    async def _serve_record(
        self, sender: VmName, message: UpstreamRecord
    ) -> Acknowledgement:
        if not self.settled:
            return Acknowledgement(False)
        self.upstreams.apply(message.announcement, age=message.age)
        left = message.announcement.state == "leaving"
        return Acknowledgement(
            not left or self.upstreams.has_left(message.announcement)
        )

    async def _serve_share(self, sender: VmName, message: Share) -> None:
        if not self.settled:
            return
        for summary in message.summaries:
            self._summaries.apply(summary)
        if self.upstreams.renew(message.renewals):
            self._repair_from(sender)

    async def _serve_summary(
        self, sender: VmName, message: ZoneSummary
    ) -> Acknowledgement:
        if not self.settled:
            return Acknowledgement(False)
        if self._summaries.apply(message):
            self._zones_to_share[message.zone] = None
        return Acknowledgement(True)
