"""Quarantine of requests that crash the upstreams they run on."""

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
MARK_LIFETIME_SECONDS = 3600.0
MAX_MARKS = 4096
CRASH_CHECK_SECONDS = 0.1
PROBE_SECONDS = 0.5
ISOLATION_TIMEOUT_SECONDS = 5.0
START_POLL_SECONDS = 0.05
ENTRIES_NOTIFIED_PER_ZONE = 2

_quarantined_total = Counter(
    "poplarlug_requests_quarantined_total",
    "Requests that this entry refuses because they crashed upstreams.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="serving")


class CrashMark(NamedTuple):
    """
    Number of crashes attributed to a request.

    Parameters
    ----------
    fingerprint : str
        Hash of the request, see :func:`fingerprint_of`.
    relay : bool
        Whether the receiver passes the mark on to the other entries of its zone.
    """

    fingerprint: str
    crashes: int
    relay: bool = False


class _StoredMark(NamedTuple):
    crashes: int
    expires_at: Seconds


class Isolation:
    """Exclusive turn of a marked request, until its first byte or its attempt's end."""

    def __init__(self, *, lock: asyncio.Lock | None) -> None:
        self._lock = lock
        self._watching: asyncio.Task[None] | None = None

    @property
    def is_exclusive(self) -> bool:
        return self._lock is not None

    def watch(self, sink: AnswerSink) -> None:
        """End the isolation at the first byte written to ``sink``."""
        if self._lock is not None:
            self._watching = asyncio.ensure_future(self._end_when_started(sink))

    def end(self) -> None:
        """Let the next marked request run; idempotent."""
        if self._lock is not None:
            self._lock.release()
            self._lock = None
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None

    async def _end_when_started(self, sink: AnswerSink) -> None:
        # Sinks signal their first byte only by a flag, so it is polled.
        while not sink.started:  # noqa: ASYNC110
            await asyncio.sleep(START_POLL_SECONDS)
        self._watching = None
        self.end()


class Quarantine:
    """
    Count the crashes attributed to each request and refuse those with too many.

    A first crash marks all requests that were running at the upstream. Further
    crashes count only against a marked request that ran isolated from other
    marked requests (see :meth:`isolate`). So a harmless request that ran beside
    a crashing one is marked only once.

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
        self._marks_by_fingerprint: OrderedDict[str, _StoredMark] = OrderedDict()
        self._isolation_lock = asyncio.Lock()
        transport.serve(MARK_TOPIC, CrashMark, self._serve_mark)

    def check(self, request: GatewayRequest) -> GatewayError | None:
        """Return the error for a quarantined request, ``None`` for any other."""
        if self.crashes(request) >= CRASHES_TO_QUARANTINE:
            return quarantined(CRASHES_TO_QUARANTINE)
        return None

    def crashes(self, request: GatewayRequest) -> int:
        if request.model is None:
            return 0
        stored = self._marks_by_fingerprint.get(fingerprint_of(request))
        return stored.crashes if stored and stored.expires_at > self._clock() else 0

    async def isolate(self, request: GatewayRequest) -> "Isolation | None":
        """
        Wait until no other marked request at this entry awaits its first byte.

        Returns
        -------
        Isolation or None
            ``None`` after :data:`ISOLATION_TIMEOUT_SECONDS`. Unmarked requests
            don't wait. The caller must end the isolation after the attempt.
        """
        if not self.crashes(request):
            return Isolation(lock=None)
        try:
            async with asyncio.timeout(ISOLATION_TIMEOUT_SECONDS):
                await self._isolation_lock.acquire()
        except TimeoutError:
            return None
        return Isolation(lock=self._isolation_lock)

    def clear(self, request: GatewayRequest) -> None:
        """Remove the mark of a request that got a complete answer."""
        if self._marks_by_fingerprint and request.model is not None:
            self._marks_by_fingerprint.pop(fingerprint_of(request), None)

    async def record_failure(
        self,
        request: GatewayRequest,
        address: Address,
        *,
        isolated: bool,
        regions: tuple[RegionName, ...],
    ) -> None:
        """Mark ``request`` if the upstream that failed it no longer listens."""
        if request.model is None or not await _refuses_connections(address):
            return
        crashes = self.crashes(request)
        if crashes and not isolated:
            return
        mark = CrashMark(fingerprint_of(request), crashes + 1)
        self._apply_mark(mark)
        self._notify_zone(mark)
        if mark.crashes >= CRASHES_TO_QUARANTINE:
            _log.warning("quarantined a request", account=request.account)
            self._notify_other_zones(mark, regions)

    def _apply_mark(self, mark: CrashMark) -> None:
        stored = self._marks_by_fingerprint.pop(mark.fingerprint, None)
        crashes = max(mark.crashes, stored.crashes if stored else 0)
        if crashes >= CRASHES_TO_QUARANTINE and (
            stored is None or stored.crashes < CRASHES_TO_QUARANTINE
        ):
            _quarantined_total.inc()
        expires_at = self._clock() + MARK_LIFETIME_SECONDS
        self._marks_by_fingerprint[mark.fingerprint] = _StoredMark(crashes, expires_at)
        while len(self._marks_by_fingerprint) > MAX_MARKS:
            self._marks_by_fingerprint.popitem(last=False)

    def _notify_zone(self, mark: CrashMark) -> None:
        for vm in self._topology.entries_of_zone(self._own.zone):
            if vm.name != self._own.name:
                self._transport.notify(peer=vm.name, topic=MARK_TOPIC, message=mark)

    def _notify_other_zones(
        self, mark: CrashMark, regions: tuple[RegionName, ...]
    ) -> None:
        zones = {vm.zone for vm in self._topology.entries if vm.region in regions}
        for zone in sorted(zones - {self._own.zone}):
            for vm in self._topology.entries_of_zone(zone)[:ENTRIES_NOTIFIED_PER_ZONE]:
                self._transport.notify(
                    peer=vm.name, topic=MARK_TOPIC, message=mark._replace(relay=True)
                )

    async def _serve_mark(self, sender: VmName, message: CrashMark) -> None:
        self._apply_mark(message)
        if message.relay:
            self._notify_zone(message._replace(relay=False))


def fingerprint_of(request: GatewayRequest) -> str:
    """Return a hash of the account, path and body, which identifies repeats."""
    hashed = xxhash.xxh3_128(f"{request.account}\0{request.path}\0".encode())
    hashed.update(request.body)
    return hashed.hexdigest()


async def _refuses_connections(address: Address) -> bool:
    # The port of a crashed process may stay open for a moment.
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
