"""Keeps an entry's catalog in sync with the control group and the zone's peers."""

import asyncio
from collections.abc import Sequence
from random import Random

from prometheus_client import Gauge
from returns.result import Failure, Success

from poplarlug.catalog import Catalog, Update
from poplarlug.distribution.messages import (
    PUSH_TOPIC,
    VERSION_TOPIC,
    HeldVersion,
    Push,
    PushReply,
    VersionRequest,
)
from poplarlug.distribution.pulling import pull_update, serve_pulls
from poplarlug.distribution.relay import Relay
from poplarlug.distribution.store import ConfigStore
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.transport import Transport, TransportErrorKind
from poplarlug.types import ConfigVersion, Seconds, VmName

PULL_INTERVAL_SECONDS = 10.0
PUSH_SILENCE_SECONDS = 15.0
VERSION_QUERY_SECONDS = 2.0
CATCH_UP_RETRY_SECONDS = 0.2
CURRENT_VERSION_WAIT_SECONDS = 6.0
"""How long a starting entry waits for a process whose version is known to be current. A
control group that was restarted as a whole has a leader by then; a zone that is cut off
proceeds without one."""

LINK_RETRY_SECONDS = 0.05

_log = ComponentLogger(prefix="distribution")
_version_in_force = Gauge(
    "poplarlug_config_version",
    "Version of the configuration in force",
    registry=REGISTRY,
)


class ConfigFollower:
    """
    Bring updates into force, in increasing order of version.

    Updates are pushed by the zone's relay, or by the control group's leader if this
    entry is the relay. In addition, this entry pulls periodically from a random peer of
    the zone, and from a control replica if no push arrived for
    ``PUSH_SILENCE_SECONDS``.

    Parameters
    ----------
    peers : sequence of VmName
        The other entries of the zone.
    control : sequence of VmName
        Control replicas.
    store : ConfigStore, optional
        Persistent storage, on a VM that has a disk. An update is stored before it comes
        into force.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        peers: Sequence[VmName],
        control: Sequence[VmName],
        rng: Random,
        store: ConfigStore | None = None,
    ) -> None:
        self.catalog = Catalog()
        self.version: Latest[ConfigVersion] = Latest(initial=0)
        self.caught_up = False
        self._started: Seconds = 0.0
        self._transport = transport
        self._peers = tuple(peers)
        self._control = tuple(control)
        self._rng = rng
        self._store = store
        self._relay = Relay(transport=transport, peers=peers)
        self._lock = asyncio.Lock()
        self._last_push: Seconds = float("-inf")
        transport.serve(PUSH_TOPIC, Push, self._serve_push)
        transport.serve(VERSION_TOPIC, VersionRequest, self._serve_version)
        serve_pulls(transport, self.catalog)

    @property
    def can_serve(self) -> bool:
        """Whether requests may be served with the version in force."""
        return self.caught_up and self.version.value > 0

    async def run(self) -> None:
        self._started = asyncio.get_running_loop().time()
        await self._load()
        while True:
            if await self._catch_up():
                break
            await asyncio.sleep(CATCH_UP_RETRY_SECONDS)
        while True:
            await asyncio.sleep(PULL_INTERVAL_SECONDS * (0.5 + self._rng.random()))
            await self._pull_once()

    async def apply(self, update: Update) -> bool:
        """
        Store ``update``, then bring it into force.

        Returns
        -------
        bool
            Whether the version in force is now at least that of the update.
        """
        async with self._lock:
            if update.version <= self.catalog.version:
                return True
            if not update.whole and update.base > self.catalog.version:
                return False
            if self._store is not None:
                await self._store.append(update)
            if not self.catalog.update(update):
                _log.error(
                    "update holds an object of an unknown shape", version=update.version
                )
                return False
            self._publish_version()
            if self._store is not None and self._store.needs_compaction:
                await self._store.compact(self.catalog.image().update)
        _log.info("configuration in force", version=update.version)
        return True

    def _publish_version(self) -> None:
        self.version.set(self.catalog.version)
        _version_in_force.set(self.catalog.version)

    async def _load(self) -> None:
        if self._store is None:
            return
        async with self._lock:
            for update in await self._store.load():
                self.catalog.update(update)
            self._publish_version()
        _log.info("loaded configuration from disk", version=self.catalog.version)

    async def _catch_up(self) -> bool:
        """
        Return whether this entry has the latest version of all reachable processes.

        After a restart, all of them may hold an earlier version than before. Therefore
        at least one has to report its version as current, unless none does within
        ``CURRENT_VERSION_WAIT_SECONDS``.
        """
        others = (*self._peers, *self._control)
        replies = await asyncio.gather(*(self._request_version(o) for o in others))
        reports = [report for report in replies if report is not None]
        for report in sorted(reports, key=lambda report: -report.version):
            if report.version > self.catalog.version:
                await self._pull_from(report.vm)
        newest_version = max((report.version for report in reports), default=0)
        is_behind = self.catalog.version < newest_version
        waited_seconds = asyncio.get_running_loop().time() - self._started
        any_current = any(report.is_current for report in reports)
        if not any_current and waited_seconds < CURRENT_VERSION_WAIT_SECONDS:
            return False
        self.caught_up = self.catalog.version > 0 and not is_behind
        if self.caught_up and not any_current:
            _log.warning("nobody is sure of its version", version=self.catalog.version)
        return self.caught_up

    async def _request_version(self, other: VmName) -> HeldVersion | None:
        """Return the version held by ``other``, or ``None`` if it is unreachable."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + VERSION_QUERY_SECONDS
        while loop.time() < deadline:
            reply = await self._transport.request(
                peer=other,
                topic=VERSION_TOPIC,
                message=VersionRequest(),
                reply_type=HeldVersion,
                timeout_seconds=deadline - loop.time(),
            )
            if isinstance(reply, Success):
                return reply.unwrap()
            if reply.failure().kind is not TransportErrorKind.NOT_SENT:
                return None
            await asyncio.sleep(LINK_RETRY_SECONDS)
        return None

    async def _pull_once(self) -> None:
        if self._peers:
            await self._pull_from(self._rng.choice(self._peers))
        silence_seconds = asyncio.get_running_loop().time() - self._last_push
        # On average one entry per zone asks, so that the load on the control group
        # grows with the number of zones and not of entries.
        is_chosen = self._rng.random() * (len(self._peers) + 1) < 1.0
        if silence_seconds > PUSH_SILENCE_SECONDS and is_chosen and self._control:
            await self._pull_from(self._rng.choice(self._control))

    async def _pull_from(self, other: VmName) -> bool:
        pulled = await pull_update(
            transport=self._transport, peer=other, version=self.catalog.version
        )
        if isinstance(pulled, Failure):
            _log.debug("pull failed", peer=other, reason=pulled.failure())
            return False
        update = pulled.unwrap()
        return update is None or await self.apply(update)

    async def _serve_push(self, sender: VmName, message: Push) -> PushReply:
        self._last_push = asyncio.get_running_loop().time()
        if not await self.apply(message.update):
            await self._pull_from(sender)
        others = (
            await self._relay.push_to_peers(message.update) if message.relay else ()
        )
        return PushReply((self._held_version(), *others))

    async def _serve_version(
        self, sender: VmName, message: VersionRequest
    ) -> HeldVersion:
        return self._held_version()

    def _held_version(self) -> HeldVersion:
        return HeldVersion(
            self._transport.name,
            self.catalog.version,
            self.catalog.state_hash(),
            self.can_serve,
        )
