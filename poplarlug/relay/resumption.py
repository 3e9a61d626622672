"""Keeps streams that are resumed at the software version that began them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import Enum

from prometheus_client import Counter
from returns.result import Failure, Result, Success

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import StreamFound, StreamLookup
from poplarlug.discovery.software_versions import (
    RESUME_SECONDS,
    ServiceVersions,
    StreamKey,
    StreamStarts,
    StreamVersions,
    stream_key,
)
from poplarlug.errors import GatewayError, not_run, version_gone
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.context import RequestContext
from poplarlug.relay.requests import RelayRequest
from poplarlug.types import Seconds, ServiceName, SoftwareVersion

MAX_REPORT_SECONDS = 0.3
"""Reports of streams that take longer can't be relied on; two round trips between
regions take less: a report waits for the one before."""

LOOKUP_RETRY_SECONDS = 0.3
"""Retry time while the records of streams can't be reached."""

MIN_LOOKUP_WAIT_SECONDS = 1.5
LOOKUP_WAIT_OBJECTIVES = 3.0
"""How long a caller may wait for the version of its stream, at least, and in objectives
of its route. Callers leave a stream without an event after two seconds or four
objectives, whichever is longer."""

LOOKUP_PAUSE_SECONDS = 0.1

CONTROL_LOST_SECONDS = 3.0
"""Without a reply for this long, an entry takes itself for cut off. Replicas that were
killed may be down for a second, and then have to start and connect."""

RENEWAL_SECONDS = RESUME_SECONDS / 4
"""Time between renewals of a running stream's record. It outlives the loss of a renewal,
and the stream's entry by the time that callers take to come back."""

RENEWAL_CHECK_SECONDS = 1.0

_LOOKUPS = Counter(
    "poplarlug_relay_resumed_streams_total",
    "Streams that callers resumed, by what told the version that began them.",
    ["source"],
    registry=REGISTRY,
)


_STARTS = Counter(
    "poplarlug_relay_stream_starts_total",
    "Streams that began and may be resumed, by why they were recorded or not.",
    ["reason"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class RecordReason(Enum):
    """Why the start of a stream is recorded at control, or isn't."""

    SINGLE = "single"
    """Its version is the only one that this entry knows of."""
    DEFAULT = "default"
    """Its version began all streams without a record."""
    OTHER = "other"
    """Other versions than its own may be taken for the one that began it."""
    UNSEEN = "unseen"
    """No upstream that this entry knows of has its version, which is newer than the
    view of the deployment."""

    @property
    def must_record(self) -> bool:
        return self in (RecordReason.OTHER, RecordReason.UNSEEN)


class Resumption:
    """
    Record which version begins a stream, and find it when a caller resumes the stream.

    Load pattern: while two versions serve, entries are lost and their callers come back
    at other ones, or at the same ones without a memory. What two versions write doesn't
    fit together, and upstreams don't check it.

    Parameters
    ----------
    streams : StreamVersions
        Streams of this entry; those that must be recorded are reported to control.
    look_up : callable
        Asks a control replica who began a stream; ``None`` without an answer.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        streams: StreamVersions,
        look_up: Callable[[StreamLookup], Awaitable[StreamFound | None]],
    ) -> None:
        self._deployment = deployment
        self._streams = streams
        self._look_up = look_up
        # In the order of the last renewal.
        self._renewed_at_by_context: dict[RequestContext, Seconds] = {}

    async def run(self) -> None:
        """Renew the records of streams that are passed on, until cancelled."""
        while True:
            await asyncio.sleep(RENEWAL_CHECK_SECONDS)
            self._renew_due()

    @contextmanager
    def renewing(self, context: RequestContext) -> Iterator[None]:
        """Renew the record of a stream meanwhile."""
        self._renewed_at_by_context[context] = asyncio.get_running_loop().time()
        try:
            yield
        finally:
            del self._renewed_at_by_context[context]

    def _renew_due(self) -> None:
        now = asyncio.get_running_loop().time()
        for context, renewed_at in list(self._renewed_at_by_context.items()):
            if renewed_at > now - RENEWAL_SECONDS:
                break
            del self._renewed_at_by_context[context]
            self._renewed_at_by_context[context] = now
            if context.request.version is not None:
                self._renew(context.request, context.request.version)

    def _renew(self, request: RelayRequest, version: SoftwareVersion) -> None:
        # A caller that resumes a stream names its first attempt.
        start = StreamStarts(version, (stream_key(request.resumes or request.id),))
        if self._record_reason(request.service, version).must_record:
            self._streams.renew_and_queue(start)
        else:
            self._streams.add([start])

    async def record_start(
        self, request: RelayRequest, version: SoftwareVersion
    ) -> None:
        """
        Record the version of a stream; return once a replica has it, if need be.

        Another entry, whose view is newer than that of this one, may have run it.
        """
        key = stream_key(request.id)
        reason = self._record_reason(request.service, version)
        _STARTS.labels(reason.value).inc()
        if not reason.must_record:
            self._streams.add([StreamStarts(version, (key,))])
            return
        if reason is RecordReason.UNSEEN:
            _log.info(
                "a stream began at a version that the view lacks",
                request_id=request.id,
                service=request.service,
                version=version,
                view_age_ms=round(self._deployment.age_seconds * 1000),
            )
        await asyncio.shield(self._streams.add_and_queue(key, version))

    def _record_reason(
        self, service: ServiceName, version: SoftwareVersion
    ) -> RecordReason:
        versions = self._deployment.versions_by_service.get(service)
        if versions is not None:
            is_recorded = versions.must_record(version)
            return RecordReason.OTHER if is_recorded else RecordReason.DEFAULT
        is_single = version == self._deployment.single_version(service)
        return RecordReason.SINGLE if is_single else RecordReason.UNSEEN

    def preferred_version(self, request: RelayRequest) -> SoftwareVersion | None:
        """
        Return the version at which a new stream should begin, ``None`` for any.

        Load pattern: an entry is cut off from control while two versions serve, and its
        callers leave it. Streams of the default version need no record.
        """
        if self._streams.pending_seconds <= MAX_REPORT_SECONDS:
            return None
        default = self._unrecorded_version(request.service)
        if default is None:
            return None
        regions_by_id = self._deployment.serving_regions(request.service)
        has_upstream = any(
            upstream.version == default
            and upstream.id in regions_by_id
            and request.may_reach(regions_by_id[upstream.id])
            for upstream in self._deployment.upstreams_of(request.service)
        )
        return default if has_upstream else None

    def _unrecorded_version(self, service: ServiceName) -> SoftwareVersion | None:
        """Return the version whose streams need no record, ``None`` if all do."""
        versions = self._deployment.versions_by_service.get(service)
        if versions is None:
            return self._deployment.single_version(service)
        return None if versions.must_record(versions.default) else versions.default

    async def find_version(
        self, request: RelayRequest
    ) -> Result[SoftwareVersion, GatewayError]:
        """
        Return the version that began the stream which a caller resumes.

        The view of this entry may be older than the stream: another version may have
        joined and begun it through another entry. So a control replica is asked even if
        the view has a single version.

        Returns
        -------
        Failure(GatewayError)
            If the version is unknown; the request has not run. ``Retry-After`` is set
            only if it may become known.
        """
        key = stream_key(request.resumes)
        known = self._streams.get(key)
        if known is not None:
            _LOOKUPS.labels("own").inc()
            return Success(known)
        found = await self._look_up_in_time(key, request)
        if found is None:
            _LOOKUPS.labels("unreachable").inc()
            message = "the version that began the stream can't be looked up now"
            return Failure(not_run(message, LOOKUP_RETRY_SECONDS))
        if found.version is not None:
            _LOOKUPS.labels("record").inc()
            return Success(found.version)
        assert found.versions is not None
        if not self._is_mixed(found.versions):
            _LOOKUPS.labels("single").inc()
            return Success(found.versions.default)
        if not request.resumes:
            _LOOKUPS.labels("unnamed").inc()
            return Failure(version_gone("the first attempt of the stream isn't named"))
        if found.is_awaited:
            _LOOKUPS.labels("awaited").inc()
            message = "a replica that may know the version of the stream is away"
            return Failure(not_run(message, LOOKUP_RETRY_SECONDS))
        if not found.is_complete:
            _LOOKUPS.labels("lost").inc()
            message = "nobody knows any more which version began the stream"
            return Failure(version_gone(message))
        _LOOKUPS.labels("default").inc()
        return Success(found.versions.default)

    async def _look_up_in_time(
        self, key: StreamKey, request: RelayRequest
    ) -> StreamFound | None:
        """
        Return what control replicas tell of a stream, ``None`` if they don't in time.

        Load pattern: all control replicas are killed together with entries, and are back
        within a second or two; the callers of those entries come to this one at once,
        and have few retries. An entry that is cut off refuses them at once.
        """
        clock = asyncio.get_running_loop().time
        objectives = LOOKUP_WAIT_OBJECTIVES * request.route.objective_seconds
        until = clock() + max(MIN_LOOKUP_WAIT_SECONDS, objectives)
        while True:
            found = await self._look_up(StreamLookup(key, request.service))
            if found is not None and self._is_answered(found):
                return found
            is_cut_off = self._deployment.age_seconds >= CONTROL_LOST_SECONDS
            if is_cut_off or clock() >= min(until, request.deadline):
                return found if found is not None and found.versions else None
            await asyncio.sleep(LOOKUP_PAUSE_SECONDS)

    def _is_answered(self, found: StreamFound) -> bool:
        """Return whether another lookup would tell nothing more for now."""
        if found.version is not None:
            return True
        if found.versions is None:
            return False
        return not found.is_awaited or not self._is_mixed(found.versions)

    def _is_mixed(self, versions: ServiceVersions) -> bool:
        """Return whether control or this entry knows of several versions."""
        return bool(versions.others) or (
            versions.service in self._deployment.versions_by_service
        )
