"""In-memory transport with delays, losses and cut links, for tests and simulations."""

import asyncio
from random import Random
from typing import Any, NamedTuple

from poplarlug.transport.base import Transport
from poplarlug.transport.frames import Header, encode_header
from poplarlug.types import Seconds, VmName

_MIN_ARRIVAL_GAP_SECONDS = 1e-7


class LinkQuality(NamedTuple):
    """Bounds of the delay in seconds, and the share of frames lost."""

    min_delay: Seconds = 0.0005
    max_delay: Seconds = 0.001
    loss: float = 0.0


class _Connection(NamedTuple):
    peer: VmName
    incarnation: int


class MemoryNetwork:
    """
    Carry frames between the memory transports of one event loop.

    Parameters
    ----------
    rng : random.Random
        Source of delays and losses; the same seed reproduces a run.

    Attributes
    ----------
    has_links : bool
        Whether sending to a process that doesn't run fails at once, as over TCP.
    """

    def __init__(self, *, rng: Random, quality: LinkQuality | None = None) -> None:
        self.rng = rng
        self.quality = quality or LinkQuality()
        self.quality_by_link: dict[tuple[VmName, VmName], LinkQuality] = {}
        self.cut_links: set[tuple[VmName, VmName]] = set()
        self.has_links = False
        self._transports_by_name: dict[VmName, MemoryTransport] = {}
        self._last_arrivals_by_link: dict[tuple[VmName, VmName], Seconds] = {}

    def cut(self, source: VmName, target: VmName) -> None:
        """Drop all frames from ``source`` to ``target``, in this direction only."""
        self.cut_links.add((source, target))

    def heal(self) -> None:
        """Restore all cut links."""
        self.cut_links.clear()

    def _attach(self, transport: "MemoryTransport") -> None:
        self._transports_by_name[transport.name] = transport

    def _detach(self, transport: "MemoryTransport") -> None:
        if self._transports_by_name.get(transport.name) is transport:
            del self._transports_by_name[transport.name]

    def _transmit(
        self,
        source: "MemoryTransport",
        target: VmName,
        incarnation: int | None,
        header: Header,
        payload: bytes,
    ) -> None:
        quality = self.quality_by_link.get((source.name, target), self.quality)
        if self.rng.random() < quality.loss:
            return
        delay = self.rng.uniform(quality.min_delay, quality.max_delay)
        loop = asyncio.get_running_loop()
        link = (source.name, target)
        # Frames on a link stay in order, as with TCP.
        last = self._last_arrivals_by_link.get(link, 0.0)
        arrival = max(loop.time() + delay, last + _MIN_ARRIVAL_GAP_SECONDS)
        self._last_arrivals_by_link[link] = arrival
        loop.call_at(
            arrival, self._deliver, source, target, incarnation, header, payload
        )

    def _deliver(
        self,
        source: "MemoryTransport",
        target: VmName,
        incarnation: int | None,
        header: Header,
        payload: bytes,
    ) -> None:
        receiver = self._transports_by_name.get(target)
        if receiver is None or (source.name, target) in self.cut_links:
            return
        if incarnation is None:
            connection = _Connection(source.name, source.incarnation)
            receiver._receive_request(connection, encode_header(header), payload)
        elif receiver.incarnation == incarnation:
            receiver._receive_reply(encode_header(header), payload)


class MemoryTransport(Transport):
    """Transport of one simulated process in a :class:`MemoryNetwork`."""

    _incarnations = 0

    def __init__(self, *, name: VmName, network: MemoryNetwork) -> None:
        super().__init__(name=name)
        MemoryTransport._incarnations += 1
        self.incarnation = MemoryTransport._incarnations
        self._network = network

    async def run(self) -> None:
        self._network._attach(self)
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self._network._detach(self)
            await self._stop_tasks()

    def _send(self, peer: VmName, header: Header, payload: bytes) -> bool:
        if self._network.has_links and peer not in self._network._transports_by_name:
            return False
        self._network._transmit(self, peer, None, header, payload)
        return True

    def _reply(self, connection: Any, header: Header, payload: bytes) -> None:
        self._network._transmit(
            self, connection.peer, connection.incarnation, header, payload
        )
