"""Pushes the accepted configuration to one relay entry in each zone."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
import xxhash

from poplarlug.catalog import Catalog, Update
from poplarlug.distribution.messages import (
    VERSION_TOPIC,
    HeldVersion,
    Push,
    VersionRequest,
    version_notice,
)
from poplarlug.distribution.pulling import serve_pulls
from poplarlug.distribution.relay import push
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.topology import EntryVm
from poplarlug.transport import Transport
from poplarlug.types import ConfigVersion, RegionName, Seconds, VmName, ZoneName

KEEPALIVE_INTERVAL_SECONDS = 5.0
PUSH_RETRY_SECONDS = 0.5
LEADER_CHECK_INTERVAL_SECONDS = 0.1
RELAY_TIMEOUT_SECONDS = 2.0
MAX_PUSHED_DELTAS = 256
MAX_PUSHED_BYTES = 256 * 1024

_log = ComponentLogger(prefix="distribution")


class VmVersion(NamedTuple):
    """
    The version in force on an entry VM, as last reported.

    Parameters
    ----------
    age_seconds : float
        Time since the report; -1 if there was none.
    """

    vm: VmName
    region: RegionName
    zone: ZoneName
    version: ConfigVersion
    state_hash: str
    age_seconds: Seconds


class InForce(NamedTuple):
    """
    Where a version is in force.

    Parameters
    ----------
    zones : tuple of ZoneName
        Zones in which all entries reported the version.
    zones_not_reached : tuple of ZoneName
        Zones in which no entry reported it.
    vms_not_reached : tuple of VmName
        All entries that did not report it.
    """

    zones: tuple[ZoneName, ...]
    zones_not_reached: tuple[ZoneName, ...]
    vms_not_reached: tuple[VmName, ...]


class ConfigPublisher:
    """
    Push the accepted version to the relay of each zone while this replica is leader.

    Each zone has at most one push in progress; changes accepted in the meantime are
    batched into the next one.

    Parameters
    ----------
    version : Latest[ConfigVersion]
        Version of ``catalog``, set after each change.
    is_leader : callable
        Whether this replica is the leader. Pushes by a former leader are harmless,
        since its catalog holds committed changes only.
    is_current : callable
        Whether this replica has applied everything committed before this term.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        entries: Sequence[EntryVm],
        catalog: Catalog,
        version: Latest[ConfigVersion],
        is_leader: Callable[[], bool],
        is_current: Callable[[], bool],
    ) -> None:
        self._transport = transport
        self._entries = tuple(entries)
        self._catalog = catalog
        self._version = version
        self._is_leader = is_leader
        self._is_current = is_current
        self._reports_by_vm: dict[VmName, tuple[Seconds, HeldVersion]] = {}
        self._failed_relays: set[VmName] = set()
        self._report_count: Latest[int] = Latest(initial=0)
        transport.serve(VERSION_TOPIC, VersionRequest, self._serve_version)
        serve_pulls(transport, catalog)

    async def run(self) -> None:
        zones = dict.fromkeys(vm.zone for vm in self._entries)
        async with asyncio.TaskGroup() as group:
            for zone in zones:
                group.create_task(self._push_to_zone(zone))

    def vm_versions(self) -> tuple[VmVersion, ...]:
        """Return the last report of each entry VM in the topology."""
        now = asyncio.get_running_loop().time()
        versions = []
        for vm in self._entries:
            reported_at, report = self._reports_by_vm.get(
                vm.name, (now + 1, _NO_REPORT)
            )
            versions.append(
                VmVersion(
                    vm.name,
                    vm.region,
                    vm.zone,
                    report.version,
                    report.state_hash,
                    now - reported_at,
                )
            )
        return tuple(versions)

    def in_force(self, version: ConfigVersion) -> InForce:
        """Return where ``version`` or a later one was reported to be in force."""
        missing = {
            vm.name for vm in self._entries if self._reported_version(vm.name) < version
        }
        names_by_zone: dict[ZoneName, set[VmName]] = {}
        for vm in self._entries:
            names_by_zone.setdefault(vm.zone, set()).add(vm.name)
        return InForce(
            tuple(z for z, names in names_by_zone.items() if not names & missing),
            tuple(z for z, names in names_by_zone.items() if names <= missing),
            tuple(vm.name for vm in self._entries if vm.name in missing),
        )

    async def wait_in_force(
        self, version: ConfigVersion, timeout_seconds: Seconds
    ) -> InForce:
        """Return :meth:`in_force` once all entries have reported or the time is up."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._report_count.wait_for(
                    lambda _: not self.in_force(version).vms_not_reached
                )
        except TimeoutError:
            pass
        return self.in_force(version)

    async def _push_to_zone(self, zone: ZoneName) -> None:
        relays = rank_relays(zone, self._entries)
        relay_version: ConfigVersion | None = None
        while True:
            if not self._is_leader():
                relay_version = None
                await asyncio.sleep(LEADER_CHECK_INTERVAL_SECONDS)
                continue
            pushed = self._catalog.version
            relay_version = await self._push(relays, relay_version)
            if relay_version is None or relay_version < pushed:
                await asyncio.sleep(PUSH_RETRY_SECONDS)
            else:
                await self._wait_for_newer_version(relay_version)

    async def _wait_for_newer_version(self, relay_version: ConfigVersion) -> None:
        try:
            async with asyncio.timeout(KEEPALIVE_INTERVAL_SECONDS):
                await self._version.wait_for(lambda version: version > relay_version)
        except TimeoutError:
            pass

    async def _push(
        self, relays: Sequence[VmName], relay_version: ConfigVersion | None
    ) -> ConfigVersion | None:
        """Push to the first relay that acknowledges; return the version it holds."""
        update = self._update_for(relay_version)
        # A relay that failed is tried last until its version is reported again.
        for relay in sorted(relays, key=lambda name: name in self._failed_relays):
            reply = await push(
                transport=self._transport,
                peer=relay,
                message=Push(update, relay=True),
                timeout_seconds=RELAY_TIMEOUT_SECONDS,
            )
            if reply is not None and reply.held:
                self._store_reports(reply.held)
                return reply.held[0].version
            if relay not in self._failed_relays:
                _log.warning("relay did not acknowledge a push", relay=relay)
            self._failed_relays.add(relay)
        return None

    def _update_for(self, relay_version: ConfigVersion | None) -> Update:
        version = self._catalog.version
        if relay_version is None or version - relay_version > MAX_PUSHED_DELTAS:
            return version_notice(version)
        update = self._catalog.update_after(relay_version)
        if update.whole or len(msgspec.msgpack.encode(update)) > MAX_PUSHED_BYTES:
            return version_notice(version)
        return update

    def _store_reports(self, reports: Sequence[HeldVersion]) -> None:
        now = asyncio.get_running_loop().time()
        known = {vm.name for vm in self._entries}
        for report in reports:
            if report.vm in known:
                self._reports_by_vm[report.vm] = (now, report)
                self._failed_relays.discard(report.vm)
        self._report_count.set(self._report_count.value + 1)

    def _reported_version(self, vm: VmName) -> ConfigVersion:
        report = self._reports_by_vm.get(vm)
        return report[1].version if report else 0

    async def _serve_version(
        self, sender: VmName, message: VersionRequest
    ) -> HeldVersion:
        return HeldVersion(
            self._transport.name,
            self._catalog.version,
            self._catalog.state_hash(),
            self._is_current(),
        )


_NO_REPORT = HeldVersion("", 0, "")


def rank_relays(zone: ZoneName, entries: Sequence[EntryVm]) -> tuple[VmName, ...]:
    """Return the zone's entries in rendezvous order; the first is its relay."""
    names = [vm.name for vm in entries if vm.zone == zone]
    return tuple(sorted(names, key=lambda name: _rendezvous_weight(zone, name)))


def _rendezvous_weight(zone: ZoneName, name: VmName) -> int:
    return xxhash.xxh3_64_intdigest(f"{zone}/{name}".encode())
