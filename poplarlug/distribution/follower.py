"""Keeps an entry's catalog up with the control group."""

import asyncio
from collections.abc import Sequence
from random import Random

from returns.result import Success

from poplarlug.catalog import Catalog
from poplarlug.control.state import Deltas, DeltasAfter
from poplarlug.latest import Latest
from poplarlug.logs import PartLog
from poplarlug.transport import Transport
from poplarlug.types import ConfigVersion, VmName

POLL_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 2.0

_log = PartLog(prefix="distribution")


class ConfigFollower:
    """
    Fetch deltas from the control replicas and apply them in order.

    Parameters
    ----------
    control : sequence of VmName
        Control replicas; one is asked at a time.
    """

    def __init__(
        self, *, transport: Transport, control: Sequence[VmName], rng: Random
    ) -> None:
        self.catalog = Catalog()
        self.version: Latest[ConfigVersion] = Latest(initial=0)
        self._transport = transport
        self._control = list(control)
        rng.shuffle(self._control)

    async def run(self) -> None:
        while True:
            await self._fetch()
            await asyncio.sleep(POLL_SECONDS)

    def take(self, deltas: Deltas) -> None:
        """Bring ``deltas`` into force; older versions change nothing."""
        if deltas.snapshot is not None:
            self.catalog.restore(deltas.snapshot)
        for delta in deltas.deltas:
            self.catalog.apply(delta)
        if self.catalog.version > self.version.value:
            _log.info("configuration in force", version=self.catalog.version)
            self.version.set(self.catalog.version)

    async def _fetch(self) -> None:
        reply = await self._transport.request(
            peer=self._control[0],
            topic="control.deltas",
            message=DeltasAfter(self.catalog.version),
            reply_type=Deltas,
            timeout_seconds=POLL_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Success):
            self.take(reply.unwrap())
        # The next replica may know more.
        self._control.append(self._control.pop(0))
