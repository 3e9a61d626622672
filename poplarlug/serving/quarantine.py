"""Requests that crash the upstreams that run them."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import xxhash
from prometheus_client import Counter

from poplarlug.errors import GatewayError, quarantined
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.serving.answers import AnswerSink
from poplarlug.serving.requests import GatewayRequest
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import Transport
from poplarlug.types import Address, RegionName, Seconds, VmName

MARK_TOPIC = "serving.crash_mark"

CRASHES_TO_QUARANTINE = 2
MARK_LIFE_SECONDS = 3600.0
MAX_MARKS = 4096
CRASH_CHECK_SECONDS = 0.1
PROBE_SECONDS = 0.5
SUSPECT_WAIT_SECONDS = 5.0
START_POLL_SECONDS = 0.05
ENTRIES_TOLD_PER_ZONE = 2

_quarantined_total = Counter(
    "poplarlug_requests_quarantined_total",
    "Requests that this entry refuses because they crashed upstreams.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="serving")


class CrashMark(NamedTuple):
    """
    How often a request took part in a crash that counts against it.

    Parameters
    ----------
    fingerprint : str
        Hash of the account and the request.
    relay : bool
        Whether the receiver tells the other entries of its zone.
    """

    fingerprint: str
    crashes: int
    relay: bool = False


class _Held(NamedTuple):
    crashes: int
    ends: Seconds


class Isolation:
    """A marked request's turn; ends with its first byte or its attempt."""

    def __init__(self, *, lock: asyncio.Lock | None) -> None:
        self._lock = lock
        self._watching: asyncio.Task[None] | None = None

    @property
    def holds(self) -> bool:
        return self._lock is not None

    def watch(self, sink: AnswerSink) -> None:
        """End with the first byte that ``sink`` gets."""
        if self._lock is not None:
            self._watching = asyncio.ensure_future(self._end_when_started(sink))

    def end(self) -> None:
        """Let the next one run; further calls change nothing."""
        if self._lock is not None:
            self._lock.release()
            self._lock = None
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None

    async def _end_when_started(self, sink: AnswerSink) -> None:
        # Sinks tell of their first byte by a flag that the relay sets.
        while not sink.started:  # noqa: ASYNC110
            await asyncio.sleep(START_POLL_SECONDS)
        self._watching = None
        self.end()


class Quarantine:
    """
    Count the crashes that each request took part in, and refuse the culprits.

    A first crash marks all requests that ran at the upstream. From then on a
    request counts a crash only when it ran apart from other marked ones, which
    :meth:`isolate` brings about. So a healthy one that ran beside a culprit
    is marked once and no more.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        topology: Topology,
        transport: Transport,
        clock: Callable[[], Seconds],
    ) -> None:
        self._own = own
        self._topology = topology
        self._transport = transport
        self._clock = clock
        self._held_by_fingerprint: OrderedDict[str, _Held] = OrderedDict()
        self._alone = asyncio.Lock()
        transport.serve(MARK_TOPIC, CrashMark, self._serve_mark)

    def check(self, request: GatewayRequest) -> GatewayError | None:
        """Return the final error of a request that is quarantined."""
        if self.crashes(request) >= CRASHES_TO_QUARANTINE:
            return quarantined(CRASHES_TO_QUARANTINE)
        return None

    def crashes(self, request: GatewayRequest) -> int:
        if request.model is None:
            return 0
        held = self._held_by_fingerprint.get(fingerprint_of(request))
        return held.crashes if held and held.ends > self._clock() else 0

    async def isolate(self, request: GatewayRequest) -> "Isolation | None":
        """
        Wait until no other marked request is before its first byte here.

        Returns
        -------
        Isolation or None
            ``None`` after :data:`SUSPECT_WAIT_SECONDS`. An unmarked request
            doesn't wait. The caller ends the isolation with the attempt.
        """
        if not self.crashes(request):
            return Isolation(lock=None)
        try:
            async with asyncio.timeout(SUSPECT_WAIT_SECONDS):
                await self._alone.acquire()
        except TimeoutError:
            return None
        return Isolation(lock=self._alone)

    def forgive(self, request: GatewayRequest) -> None:
        """Forget the mark of a request that got its whole answer."""
        if self._held_by_fingerprint and request.model is not None:
            self._held_by_fingerprint.pop(fingerprint_of(request), None)

    async def note_broken(
        self,
        request: GatewayRequest,
        address: Address,
        *,
        alone: bool,
        regions: tuple[RegionName, ...],
    ) -> None:
        """Mark ``request`` if the upstream that broke off is gone."""
        if request.model is None or not await _is_gone(address):
            return
        crashes = self.crashes(request)
        if crashes and not alone:
            return
        mark = CrashMark(fingerprint_of(request), crashes + 1)
        self._take(mark)
        self._tell_zone(mark)
        if mark.crashes >= CRASHES_TO_QUARANTINE:
            _log.warning("quarantined a request", account=request.account)
            self._tell_other_zones(mark, regions)

    def _take(self, mark: CrashMark) -> None:
        held = self._held_by_fingerprint.pop(mark.fingerprint, None)
        crashes = max(mark.crashes, held.crashes if held else 0)
        if crashes >= CRASHES_TO_QUARANTINE and (
            held is None or held.crashes < CRASHES_TO_QUARANTINE
        ):
            _quarantined_total.inc()
        ends = self._clock() + MARK_LIFE_SECONDS
        self._held_by_fingerprint[mark.fingerprint] = _Held(crashes, ends)
        while len(self._held_by_fingerprint) > MAX_MARKS:
            self._held_by_fingerprint.popitem(last=False)

    def _tell_zone(self, mark: CrashMark) -> None:
        for vm in self._topology.entries_of_zone(self._own.zone):
            if vm.name != self._own.name:
                self._transport.notify(peer=vm.name, topic=MARK_TOPIC, message=mark)

    def _tell_other_zones(
        self, mark: CrashMark, regions: tuple[RegionName, ...]
    ) -> None:
        zones = {vm.zone for vm in self._topology.entries if vm.region in regions}
        for zone in sorted(zones - {self._own.zone}):
            for vm in self._topology.entries_of_zone(zone)[:ENTRIES_TOLD_PER_ZONE]:
                self._transport.notify(
                    peer=vm.name, topic=MARK_TOPIC, message=mark._replace(relay=True)
                )

    async def _serve_mark(self, sender: VmName, message: CrashMark) -> None:
        self._take(message)
        if message.relay:
            self._tell_zone(message._replace(relay=False))


def fingerprint_of(request: GatewayRequest) -> str:
    hashed = xxhash.xxh3_128(f"{request.account}\0{request.path}\0".encode())
    hashed.update(request.body)
    return hashed.hexdigest()


async def _is_gone(address: Address) -> bool:
    # A crashed process may take a moment until its port is closed.
    await asyncio.sleep(CRASH_CHECK_SECONDS)
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
