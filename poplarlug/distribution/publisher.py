"""Pushes the accepted configuration to one entry of each zone."""

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
    notice_of,
)
from poplarlug.distribution.pulling import serve_pulls
from poplarlug.distribution.relay import push
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.topology import EntryVm
from poplarlug.transport import Transport
from poplarlug.types import ConfigVersion, RegionName, Seconds, VmName, ZoneName

KEEPALIVE_SECONDS = 5.0
RETRY_SECONDS = 0.5
LEADER_CHECK_SECONDS = 0.1
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
        Time since the report; -1 when there was none.
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
        Zones all of whose entries reported the version.
    zones_not_reached : tuple of ZoneName
        Zones none of whose entries reported it.
    vms_not_reached : tuple of VmName
        All entries that did not report it.
    """

    zones: tuple[ZoneName, ...]
    zones_not_reached: tuple[ZoneName, ...]
    vms_not_reached: tuple[VmName, ...]


class ConfigPublisher:
    """
    While leading, keep every zone's relay at the accepted version.

    Each zone has one push in progress at a time; changes that come meanwhile
    go out together in the next one.

    Parameters
    ----------
    version : Latest[ConfigVersion]
        Version of ``catalog``, set after each change.
    is_leader : callable
        Whether this replica leads now. Pushes of a former leader do no harm,
        since it holds committed changes alone.
    is_current : callable
        Whether this replica has applied all that was committed before this term.
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
        self._suspects: set[VmName] = set()
        self._reports: Latest[int] = Latest(initial=0)
        transport.serve(VERSION_TOPIC, VersionRequest, self._serve_version)
        serve_pulls(transport, catalog)

    async def run(self) -> None:
        zones = dict.fromkeys(vm.zone for vm in self._entries)
        async with asyncio.TaskGroup() as group:
            for zone in zones:
                group.create_task(self._keep_zone(zone))

    def vm_versions(self) -> tuple[VmVersion, ...]:
        """Return the last report of every entry VM of the topology."""
        now = asyncio.get_running_loop().time()
        versions = []
        for vm in self._entries:
            at, held = self._reports_by_vm.get(vm.name, (now + 1, _NOTHING_HELD))
            versions.append(
                VmVersion(
                    vm.name,
                    vm.region,
                    vm.zone,
                    held.version,
                    held.state_hash,
                    now - at,
                )
            )
        return tuple(versions)

    def in_force(self, version: ConfigVersion) -> InForce:
        """Return where ``version`` or a later one was reported."""
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
        """Return :meth:`in_force` once nothing is missing or the time is over."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._reports.wait_for(
                    lambda _: not self.in_force(version).vms_not_reached
                )
        except TimeoutError:
            pass
        return self.in_force(version)

    async def _keep_zone(self, zone: ZoneName) -> None:
        relays = rank_relays(zone, self._entries)
        held: ConfigVersion | None = None
        while True:
            if not self._is_leader():
                held = None
                await asyncio.sleep(LEADER_CHECK_SECONDS)
                continue
            pushed = self._catalog.version
            held = await self._push(relays, held)
            if held is None or held < pushed:
                await asyncio.sleep(RETRY_SECONDS)
            else:
                await self._wait_for_news(held)

    async def _wait_for_news(self, held: ConfigVersion) -> None:
        try:
            async with asyncio.timeout(KEEPALIVE_SECONDS):
                await self._version.wait_for(lambda version: version > held)
        except TimeoutError:
            pass

    async def _push(
        self, relays: Sequence[VmName], held: ConfigVersion | None
    ) -> ConfigVersion | None:
        """Return the version of the first relay that acknowledged."""
        update = self._update_for(held)
        # A relay that failed is the last choice until another one reached it.
        for relay in sorted(relays, key=lambda name: name in self._suspects):
            reply = await push(
                transport=self._transport,
                peer=relay,
                message=Push(update, relay=True),
                timeout_seconds=RELAY_TIMEOUT_SECONDS,
            )
            if reply is not None and reply.held:
                self._take_reports(reply.held)
                return reply.held[0].version
            if relay not in self._suspects:
                _log.warning("relay gave no acknowledgement", relay=relay)
            self._suspects.add(relay)
        return None

    def _update_for(self, held: ConfigVersion | None) -> Update:
        version = self._catalog.version
        if held is None or version - held > MAX_PUSHED_DELTAS:
            return notice_of(version)
        update = self._catalog.update_after(held)
        if update.whole or len(msgspec.msgpack.encode(update)) > MAX_PUSHED_BYTES:
            return notice_of(version)
        return update

    def _take_reports(self, reports: Sequence[HeldVersion]) -> None:
        now = asyncio.get_running_loop().time()
        known = {vm.name for vm in self._entries}
        for held in reports:
            if held.vm in known:
                self._reports_by_vm[held.vm] = (now, held)
                self._suspects.discard(held.vm)
        self._reports.set(self._reports.value + 1)

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


_NOTHING_HELD = HeldVersion("", 0, "")


def rank_relays(zone: ZoneName, entries: Sequence[EntryVm]) -> tuple[VmName, ...]:
    """Return the zone's entries, the relay first, by rendezvous hash."""
    names = [vm.name for vm in entries if vm.zone == zone]
    return tuple(sorted(names, key=lambda name: _weight(zone, name)))


def _weight(zone: ZoneName, name: VmName) -> int:
    return xxhash.xxh3_64_intdigest(f"{zone}/{name}".encode())
