"""Reports the summary of the local zone to the other zones."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from poplarlug.membership.members import MemberTable
from poplarlug.membership.messages import Acknowledgement
from poplarlug.membership.rendezvous import rank_by_rendezvous
from poplarlug.membership.summaries import (
    MAX_SUMMARY_ENTRIES,
    MAX_SUMMARY_NAMES,
    ZoneSummary,
    summarize_models,
    zone_pair_key,
)
from poplarlug.membership.upstreams import UpstreamTable
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import Transport
from poplarlug.types import ConfigVersion, VmName, ZoneName

REPORTERS_PER_ZONE = 2
OVERLOAD_THRESHOLD = 0.9
REPORT_TIMEOUT_SECONDS = 1.0

SUMMARY_TOPIC = "membership.summary"


class ZoneReporter:
    """
    Send the zone's summary to each zone for which this entry is a reporter.

    For each remote zone, two entries of the local zone are reporters. Each sends to one
    entry of the remote zone, which acknowledges the summary and shares it there.
    Reporters and receivers are chosen by rendezvous hashing per pair of zones, which
    distributes the pairs over the entries.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        topology: Topology,
        members: MemberTable,
        upstreams: UpstreamTable,
        transport: Transport,
        config_version: Callable[[], ConfigVersion],
        load: Callable[[], float],
    ) -> None:
        self._own = own
        self._members = members
        self._upstreams = upstreams
        self._transport = transport
        self._config_version = config_version
        self._load = load
        self._sequence = 0
        self._report_tasks: set[asyncio.Task[None]] = set()
        self._receiver_offsets_by_zone: dict[ZoneName, int] = {}
        self._entries_by_zone: dict[ZoneName, list[VmName]] = {}
        for vm in topology.entries:
            if vm.zone != own.zone:
                self._entries_by_zone.setdefault(vm.zone, []).append(vm.name)

    def send(self) -> None:
        """Send a summary to each zone for which this entry is a reporter."""
        self._sequence += 1
        summary = self._summarize()
        for zone in self._entries_by_zone:
            index = self._reporter_index(zone)
            if index is None:
                continue
            report = self._report(zone, index, summary._replace(backup=index > 0))
            task = asyncio.ensure_future(report)
            self._report_tasks.add(task)
            task.add_done_callback(self._report_tasks.discard)

    def stop(self) -> None:
        for task in self._report_tasks:
            task.cancel()

    def accepting_entries(self) -> list[VmName]:
        """Return the entries of the local zone that accept new requests."""
        self._members.set_load(self._own.name, self._load())
        return [
            name
            for name in self._members.alive()
            if self._members.load(name) < OVERLOAD_THRESHOLD
        ]

    def _least_loaded(self) -> list[VmName]:
        # Loads are rounded to one decimal, so that entries of about the same load stay
        # in their rendezvous order.
        accepting_entries = rank_by_rendezvous(self._own.zone, self.accepting_entries())
        accepting_entries.sort(key=lambda name: round(self._members.load(name), 1))
        return accepting_entries[:MAX_SUMMARY_ENTRIES]

    def _reporter_index(self, zone: ZoneName) -> int | None:
        key = zone_pair_key(self._own.zone, zone)
        reporters = rank_by_rendezvous(key, self._members.alive())[:REPORTERS_PER_ZONE]
        if self._own.name not in reporters:
            return None
        return reporters.index(self._own.name)

    async def _report(self, zone: ZoneName, index: int, summary: ZoneSummary) -> None:
        key = zone_pair_key(self._own.zone, zone)
        ranked = rank_by_rendezvous(key, self._entries_by_zone[zone])
        offset = self._receiver_offsets_by_zone.get(zone, 0)
        reply = await self._transport.request(
            peer=ranked[(index + offset) % len(ranked)],
            topic=SUMMARY_TOPIC,
            message=summary,
            reply_type=Acknowledgement,
            timeout_seconds=REPORT_TIMEOUT_SECONDS,
        )
        if not isinstance(reply, Success) or not reply.unwrap().taken:
            # The next summary goes to the next entry in that zone's ranking.
            self._receiver_offsets_by_zone[zone] = offset + 1

    def _summarize(self) -> ZoneSummary:
        serving = self._upstreams.serving.value
        services = sorted({name for a in serving for name in a.services})
        return ZoneSummary(
            zone=self._own.zone,
            region=self._own.region,
            entry=self._own.name,
            sequence=self._sequence,
            services=tuple(services[:MAX_SUMMARY_NAMES]),
            running=sum(a.running for a in serving),
            incarnation=self._members.own_member.incarnation,
            entries=tuple(self._least_loaded()),
            loads=summarize_models(serving),
            queued=sum(a.queued for a in serving),
            capacity=sum(a.capacity for a in serving),
            config_version=self._config_version(),
        )
