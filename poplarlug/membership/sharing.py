"""The zone's entries and upstreams and the other zones, in one place."""

import asyncio
from collections.abc import Callable
from random import Random

from poplarlug.logs import ComponentLogger
from poplarlug.membership.failure_detector import FailureDetector
from poplarlug.membership.members import MemberState, MemberTable
from poplarlug.membership.messages import Acknowledgement, Share
from poplarlug.membership.pause import PauseDetector
from poplarlug.membership.reporting import SUMMARY_TOPIC, ZoneReporter
from poplarlug.membership.summaries import SUMMARY_SECONDS, SummaryTable, ZoneSummary
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
SHARE_SECONDS = 1.0
SETTLE_SECONDS = 0.5
ALONE_SECONDS = 2.0
FETCH_RETRY_SECONDS = 0.2
LEAVE_ROUNDS = 2

SHARE_TOPIC = "membership.share"

_log = ComponentLogger(prefix="membership")


class Membership:
    """
    The zone's entries and upstreams and the other zones, as this entry sees them.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    rng : random.Random
        Source of the order of pings.
    incarnation : int
        Own incarnation; shall grow from run to run.
    load : callable
        Returns the share, 0 to 1, of the requests that this entry can hold.
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
        self.pause = PauseDetector(clock=clock, on_pause=self._distrust)
        self._clock = clock
        self._load = load
        self._transport = transport
        self._summaries = SummaryTable(own=own.name, clock=clock)
        self._to_share_by_zone: dict[ZoneName, None] = {}
        self._settle_after = 0.0
        self._sharing = UpstreamSharing(
            upstreams=self.upstreams, members=self.members, transport=transport
        )
        self._exchange = TableExchange(
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
            describe=self._describe,
            on_mismatch=self._repair_from,
        )
        self._exchange.detector = self.detector
        self.reporter = ZoneReporter(
            own=own,
            topology=topology,
            members=self.members,
            upstreams=self.upstreams,
            transport=transport,
            config_version=config_version,
            load=load,
        )
        transport.before_request(self.pause.check)
        transport.serve(RECORD_TOPIC, UpstreamRecord, self._serve_record)
        transport.serve(SHARE_TOPIC, Share, self._serve_share)
        transport.serve(SUMMARY_TOPIC, ZoneSummary, self._serve_summary)

    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        """Take in an upstream's announcement and share it in the zone."""
        return await self._sharing.announce(announcement)

    def summaries(self) -> tuple[ZoneSummary, ...]:
        """Return the young summaries, one for each entry to forward to."""
        return self._summaries.by_entry()

    def zones(self) -> list[ZoneSummary]:
        """Return the young summary of each other zone."""
        return self._summaries.fresh()

    def open_entries(self) -> list[VmName]:
        """Return the entries of the own zone that take new work."""
        if self.members.own_member.state is MemberState.LEAVING:
            return [n for n in self.reporter.open_entries() if n != self.own.name]
        return self.reporter.open_entries()

    def is_trusted(self) -> bool:
        """Return whether the tables are fresh; false at first and after a pause."""
        self.pause.check()
        return self.settled

    async def run(self) -> None:
        """Keep the tables up to date until cancelled."""
        detecting = asyncio.ensure_future(self.detector.run())
        try:
            await self._settle()
            last_share = last_report = self._clock()
            while True:
                self.pause.check()
                if not self.settled:
                    await self._settle()
                self._expire()
                if self._clock() - last_share >= SHARE_SECONDS:
                    last_share = self._clock()
                    self._share()
                if self._clock() - last_report >= SUMMARY_SECONDS:
                    last_report = self._clock()
                    self.reporter.send()
                await asyncio.sleep(TICK_SECONDS)
        finally:
            detecting.cancel()
            self._exchange.stop()
            self._sharing.stop()
            self.reporter.stop()

    async def leave(self) -> None:
        """Tell the zone's entries that this one takes no new work."""
        own = self.members.leave()
        self.detector.spread(own)
        for _ in range(LEAVE_ROUNDS):
            if await self.detector.ping_all():
                return

    def _expire(self) -> None:
        for upstream_id in self.upstreams.expire():
            _log.info("lease ended", upstream=upstream_id)

    def _share(self) -> None:
        zones, self._to_share_by_zone = self._to_share_by_zone, {}
        young = {summary.zone: summary for summary in self._summaries.fresh()}
        message = Share(
            self._sharing.take_renewals(),
            tuple(young[zone]._replace(models=()) for zone in zones if zone in young),
        )
        if not message.renewals and not message.summaries:
            return
        for peer in self.members.reachable_others():
            self._transport.notify(peer=peer, topic=SHARE_TOPIC, message=message)

    async def _settle(self) -> None:
        """Fetch the zone's tables before this entry says anything."""
        await asyncio.sleep(max(0.0, self._settle_after - self._clock()))
        pauses = self.pause.pauses
        deadline = self._clock() + ALONE_SECONDS
        while not await self._exchange.fetch_all():
            if self._clock() >= deadline:
                _log.warning("no entry of the zone answered; going on alone")
                break
            await asyncio.sleep(FETCH_RETRY_SECONDS)
        self.settled = pauses == self.pause.pauses

    def _distrust(self, seconds: Seconds) -> None:
        # Whatever waited in the sockets meanwhile may be as old as the pause.
        self.settled = False
        self._settle_after = self._clock() + SETTLE_SECONDS
        self._sharing.forget_renewals()
        self._to_share_by_zone.clear()
        self._summaries.forget()
        self.upstreams.expire()
        self.members.raise_incarnation()
        self.detector.restart_suspicions()

    def _describe(self) -> tuple[float, int]:
        return self._load(), self.upstreams.digest()

    def _repair_from(self, peer: VmName) -> None:
        if self.settled:
            self._exchange.repair_from(peer)

    async def _serve_record(
        self, sender: VmName, message: UpstreamRecord
    ) -> Acknowledgement:
        if not self.settled:
            return Acknowledgement(False)
        self.upstreams.take(message.announcement, age=message.age)
        left = message.announcement.state == "leaving"
        return Acknowledgement(
            not left or self.upstreams.has_left(message.announcement)
        )

    async def _serve_share(self, sender: VmName, message: Share) -> None:
        if not self.settled:
            return
        for summary in message.summaries:
            self._summaries.take(summary)
        if self.upstreams.renew(message.renewals):
            self._repair_from(sender)

    async def _serve_summary(
        self, sender: VmName, message: ZoneSummary
    ) -> Acknowledgement:
        if not self.settled:
            return Acknowledgement(False)
        if self._summaries.take(message):
            self._to_share_by_zone[message.zone] = None
        return Acknowledgement(True)
