"""Keeps an entry's catalog up with the control group and the zone's peers."""

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

PULL_SECONDS = 10.0
CONTACT_SECONDS = 15.0
CATCH_UP_SECONDS = 2.0
CATCH_UP_PAUSE_SECONDS = 0.2
UNSURE_SECONDS = 6.0
"""How long a started entry waits for one that knows the newest version. A group that was
restarted as a whole has a leader by then; a zone that is cut off goes on without."""

ASK_PAUSE_SECONDS = 0.05

_log = ComponentLogger(prefix="distribution")
_version_in_force = Gauge(
    "poplarlug_config_version",
    "Version of the configuration in force",
    registry=REGISTRY,
)


class ConfigFollower:
    """
    Bring updates into force, ever larger versions only.

    Updates are pushed by the zone's relay, or by the control group's leader
    when this entry is the relay. Besides, a peer of the zone is asked now and
    then; a control replica only when no push came for ``CONTACT_SECONDS``.

    Parameters
    ----------
    peers : sequence of VmName
        The other entries of the zone.
    control : sequence of VmName
        Control replicas.
    store : ConfigStore, optional
        Where a VM with a disk keeps its configuration. An update is on disk
        before it comes into force.
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
    def accepts(self) -> bool:
        """Whether requests may be served by the version in force."""
        return self.caught_up and self.version.value > 0

    async def run(self) -> None:
        self._started = asyncio.get_running_loop().time()
        await self._load()
        while True:
            if await self._catch_up():
                break
            await asyncio.sleep(CATCH_UP_PAUSE_SECONDS)
        while True:
            await asyncio.sleep(PULL_SECONDS * (0.5 + self._rng.random()))
            await self._pull_now_and_then()

    async def take(self, update: Update) -> bool:
        """
        Keep ``update``, then bring it into force.

        Returns
        -------
        bool
            Whether the version in force is at least the update's now.
        """
        async with self._lock:
            if update.version <= self.catalog.version:
                return True
            if not update.whole and update.base > self.catalog.version:
                return False
            if self._store is not None:
                await self._store.append(update)
            if not self.catalog.update(update):
                _log.error("update has an unknown shape", version=update.version)
                return False
            self._announce_version()
            if self._store is not None and self._store.is_long:
                await self._store.replace(self.catalog.image().update)
        _log.info("configuration in force", version=update.version)
        return True

    def _announce_version(self) -> None:
        self.version.set(self.catalog.version)
        _version_in_force.set(self.catalog.version)

    async def _load(self) -> None:
        if self._store is None:
            return
        async with self._lock:
            for update in await self._store.load():
                self.catalog.update(update)
            self._announce_version()
        _log.info("read from disk", version=self.catalog.version)

    async def _catch_up(self) -> bool:
        """
        Return whether no reachable process has a later version.

        All may know an earlier one than they did before they were restarted, so one of
        them has to be sure of its own, unless none becomes it in time.
        """
        others = (*self._peers, *self._control)
        asked = await asyncio.gather(*(self._ask_version(o) for o in others))
        answers = [held for held in asked if held is not None]
        for held in sorted(answers, key=lambda held: -held.version):
            if held.version > self.catalog.version:
                await self._pull_from(held.vm)
        newest = max((held.version for held in answers), default=0)
        behind = self.catalog.version < newest
        waited = asyncio.get_running_loop().time() - self._started
        is_sure = any(held.is_current for held in answers)
        if not is_sure and waited < UNSURE_SECONDS:
            return False
        self.caught_up = self.catalog.version > 0 and not behind
        if self.caught_up and not is_sure:
            _log.warning("nobody is sure of its version", version=self.catalog.version)
        return self.caught_up

    async def _ask_version(self, other: VmName) -> HeldVersion | None:
        """Return what ``other`` reports, ``None`` when it is unreachable."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CATCH_UP_SECONDS
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
            await asyncio.sleep(ASK_PAUSE_SECONDS)
        return None

    async def _pull_now_and_then(self) -> None:
        if self._peers:
            await self._pull_from(self._rng.choice(self._peers))
        silent = asyncio.get_running_loop().time() - self._last_push
        # About one entry of the zone asks, so that the load on the control
        # group grows with the zones and not with the entries.
        chosen = self._rng.random() * (len(self._peers) + 1) < 1.0
        if silent > CONTACT_SECONDS and chosen and self._control:
            await self._pull_from(self._rng.choice(self._control))

    async def _pull_from(self, other: VmName) -> bool:
        pulled = await pull_update(
            transport=self._transport, peer=other, version=self.catalog.version
        )
        if isinstance(pulled, Failure):
            _log.debug("pull failed", peer=other, reason=pulled.failure())
            return False
        update = pulled.unwrap()
        return update is None or await self.take(update)

    async def _serve_push(self, sender: VmName, message: Push) -> PushReply:
        self._last_push = asyncio.get_running_loop().time()
        if not await self.take(message.update):
            await self._pull_from(sender)
        others = await self._relay.spread(message.update) if message.relay else ()
        return PushReply((self._held(), *others))

    async def _serve_version(
        self, sender: VmName, message: VersionRequest
    ) -> HeldVersion:
        return self._held()

    def _held(self) -> HeldVersion:
        return HeldVersion(
            self._transport.name,
            self.catalog.version,
            self.catalog.state_hash(),
            self.accepts,
        )
