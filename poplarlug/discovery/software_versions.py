"""Software versions of services, and which version began which stream."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from itertools import chain, islice
from typing import NamedTuple, TypeAlias

import xxhash

from poplarlug.discovery.records import ServiceUpstream
from poplarlug.types import RequestId, Seconds, ServiceName, SoftwareVersion

RESUME_SECONDS = 60.0
"""How long callers may resume a stream after its record was made or renewed, which an
entry does as long as it passes the stream on."""

MAX_STREAMS = 100_000
"""Maximum number of streams whose version is known, about 20 MB."""

MAX_PENDING_STREAMS = 4096
"""Maximum number of streams in one report, about 40 KB."""

StreamKey: TypeAlias = int


def stream_key(request_id: RequestId) -> StreamKey:
    """Return the key of the stream that a caller's attempt began."""
    return xxhash.xxh3_64_intdigest(request_id.encode())


class ServiceVersions(NamedTuple):
    """
    Versions of a service of which streams may still be resumed.

    Parameters
    ----------
    default : SoftwareVersion
        The version that has served longest. It began all streams that are not
        recorded, unless ``records_all``.
    others : tuple of SoftwareVersion
        Entries record the streams that these begin.
    records_all : bool
        Whether entries record those of the default version too, because another one
        will soon be the default, or because records may have been lost.
    """

    service: ServiceName
    default: SoftwareVersion
    others: tuple[SoftwareVersion, ...] = ()
    records_all: bool = False

    def must_record(self, version: SoftwareVersion) -> bool:
        """Return whether a stream that ``version`` begins must be recorded."""
        return self.records_all or version != self.default


class VersionSpan(NamedTuple):
    """
    Time in which a version of a service has had upstreams.

    Parameters
    ----------
    first_born : int
        Start time of its first upstream in milliseconds since 1970.
    absent_seconds : float
        Time since it had an upstream last.
    """

    service: ServiceName
    version: SoftwareVersion
    first_born: int
    absent_seconds: Seconds = 0.0


class _StoredSpan(NamedTuple):
    first_born: int
    present_at: Seconds


class SoftwareVersions:
    """
    The versions that served within ``2 * RESUME_SECONDS``, by service.

    Load pattern: a release replaces a service's upstreams while thousands of streams
    run. Streams of the version that was there first need no record, and a service with
    a single version costs nothing. Replicas with the same spans agree on the default
    without communication, in whatever order they heard of the upstreams.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._spans: dict[tuple[ServiceName, SoftwareVersion], _StoredSpan] = {}

    def note_present(self, upstreams: Iterable[ServiceUpstream]) -> None:
        """Record the versions of upstreams that may run streams now."""
        first_born: dict[tuple[ServiceName, SoftwareVersion], int] = {}
        for upstream in upstreams:
            key = upstream.service, upstream.version
            if upstream.born < first_born.get(key, upstream.born + 1):
                first_born[key] = upstream.born
        for (service, version), born in first_born.items():
            if service:
                self.add(VersionSpan(service, version, born))

    def add(self, span: VersionSpan) -> None:
        """Merge a span, such as one of another replica or from the disk."""
        key = span.service, span.version
        present_at = self._clock() - max(0.0, span.absent_seconds)
        held = self._spans.get(key)
        if held is not None:
            present_at = max(present_at, held.present_at)
            span = span._replace(first_born=min(span.first_born, held.first_born))
        self._spans[key] = _StoredSpan(span.first_born, present_at)

    def spans(self) -> tuple[VersionSpan, ...]:
        """Return all spans that aren't forgotten."""
        self._expire()
        now = self._clock()
        return tuple(
            VersionSpan(service, version, held.first_born, now - held.present_at)
            for (service, version), held in self._spans.items()
        )

    def mixed(self, *, has_all_streams: bool) -> tuple[ServiceVersions, ...]:
        """
        Return the services with more than one version.

        Parameters
        ----------
        has_all_streams : bool
            Whether no records of streams may have been lost.
        """
        self._expire()
        services = [service for service, _ in self._spans]
        return tuple(
            self._versions_of(service, has_all_streams)
            for service in dict.fromkeys(services)
            if services.count(service) > 1
        )

    def versions_of(
        self, service: ServiceName, *, has_all_streams: bool
    ) -> ServiceVersions | None:
        """Return the versions of a service, ``None`` if none served of late."""
        self._expire()
        if all(own != service for own, _ in self._spans):
            return None
        return self._versions_of(service, has_all_streams)

    def _versions_of(
        self, service: ServiceName, has_all_streams: bool
    ) -> ServiceVersions:
        born_by_version = {
            version: (held.first_born, version)
            for (own, version), held in self._spans.items()
            if own == service
        }
        recent = self._clock() - RESUME_SECONDS
        lasting = [
            version
            for version in born_by_version
            if self._spans[service, version].present_at >= recent
        ]
        default, *others = sorted(born_by_version, key=lambda v: born_by_version[v])
        will_change = bool(lasting) and default not in lasting
        return ServiceVersions(
            service, default, tuple(others), will_change or not has_all_streams
        )

    def _expire(self) -> None:
        oldest = self._clock() - 2 * RESUME_SECONDS
        for key, held in list(self._spans.items()):
            if held.present_at < oldest:
                del self._spans[key]


class StreamStarts(NamedTuple):
    """Streams that one version began."""

    version: SoftwareVersion
    keys: tuple[StreamKey, ...]


def group_by_version(
    versions_by_key: Mapping[StreamKey, SoftwareVersion],
) -> tuple[StreamStarts, ...]:
    """Return streams grouped by the version that began them."""
    keys_by_version: dict[SoftwareVersion, list[StreamKey]] = {}
    for key, version in versions_by_key.items():
        keys_by_version.setdefault(version, []).append(key)
    return tuple(
        StreamStarts(version, tuple(keys)) for version, keys in keys_by_version.items()
    )


class _StoredStream(NamedTuple):
    version: SoftwareVersion
    renewed_at: Seconds


class _PendingStream(NamedTuple):
    recorded: asyncio.Future[None]
    queued_at: Seconds


class StreamVersions:
    """
    The version that began each recorded stream, until ``RESUME_SECONDS`` after its last
    renewal.

    Attributes
    ----------
    has_pending : asyncio.Event
        Set while streams wait to be reported; see :meth:`take_pending`.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._stored_by_key: dict[StreamKey, _StoredStream] = {}
        self._intact_from = clock() + RESUME_SECONDS
        self._dropped_until = float("-inf")
        self._pending_by_key: dict[StreamKey, _PendingStream] = {}
        self._resent: dict[StreamKey, None] = {}
        self.has_pending = asyncio.Event()

    @property
    def is_intact(self) -> bool:
        """Whether all streams that were recorded here and may be resumed are known."""
        return self._clock() >= max(self._intact_from, self._dropped_until)

    def mark_intact(self) -> None:
        """Note that no records are lost, or that they were restored."""
        self._intact_from = min(self._intact_from, self._clock())

    def mark_lacking(self) -> None:
        """Note that records of streams that begin until now may be missing."""
        self._intact_from = self._clock() + RESUME_SECONDS

    @property
    def count(self) -> int:
        """Number of streams that are recorded and may be resumed."""
        self._expire()
        return len(self._stored_by_key)

    def get(self, key: StreamKey) -> SoftwareVersion | None:
        stored = self._stored_by_key.get(key)
        return None if stored is None else stored.version

    def add(self, starts: Iterable[StreamStarts]) -> None:
        """Record streams or renew their records, of which the first stays in force."""
        now = self._clock()
        for version, keys in starts:
            for key in keys:
                stored = self._stored_by_key.pop(key, None)
                held_version = version if stored is None else stored.version
                self._stored_by_key[key] = _StoredStream(held_version, now)
        self._expire()

    def add_and_queue(
        self, key: StreamKey, version: SoftwareVersion
    ) -> "asyncio.Future[None]":
        """Record a stream; return a future that is done once a replica has it too."""
        self.add([StreamStarts(version, (key,))])
        pending = self._pending_by_key.get(key)
        if pending is None:
            recorded = asyncio.get_running_loop().create_future()
            pending = _PendingStream(recorded, self._clock())
            self._pending_by_key[key] = pending
            self.has_pending.set()
        return pending.recorded

    def renew_and_queue(self, start: StreamStarts) -> None:
        """Renew records of streams; replicas are told when nothing more urgent waits."""
        self.add([start])
        self._resent.update(dict.fromkeys(start.keys))
        self.has_pending.set()

    def queue_resend(self, must_record: Callable[[SoftwareVersion], bool]) -> int:
        """
        Queue the recorded streams of some versions to be reported again.

        They wait behind those that callers wait for. Returns their number.
        """
        self._expire()
        self._resent = {
            key: None
            for key, stored in self._stored_by_key.items()
            if must_record(stored.version)
        }
        if self._resent:
            self.has_pending.set()
        return len(self._resent)

    @property
    def pending_seconds(self) -> Seconds:
        """How long the oldest stream has been waiting to be reported."""
        for pending in self._pending_by_key.values():
            return self._clock() - pending.queued_at
        return 0.0

    def take_pending(self) -> tuple[StreamStarts, ...]:
        """Return the streams to report, until :meth:`confirm` removes them."""
        waiting = chain(self._pending_by_key, self._resent)
        return self._grouped(list(islice(waiting, MAX_PENDING_STREAMS)))

    def confirm(self, starts: Iterable[StreamStarts]) -> None:
        """Note that a replica has these streams."""
        for _, keys in starts:
            for key in keys:
                self._resent.pop(key, None)
                pending = self._pending_by_key.pop(key, None)
                if pending is not None and not pending.recorded.done():
                    pending.recorded.set_result(None)
        if not self._pending_by_key and not self._resent:
            self.has_pending.clear()

    def all(self) -> tuple[StreamStarts, ...]:
        """Return all recorded streams."""
        self._expire()
        return self._grouped(self._stored_by_key)

    def _grouped(self, keys: Iterable[StreamKey]) -> tuple[StreamStarts, ...]:
        held = ((key, self._stored_by_key.get(key)) for key in keys)
        return group_by_version(
            {key: stored.version for key, stored in held if stored is not None}
        )

    def _expire(self) -> None:
        now = self._clock()
        # Insertion order is the order of renewal.
        while self._stored_by_key:
            key = next(iter(self._stored_by_key))
            is_full = len(self._stored_by_key) > MAX_STREAMS
            if self._stored_by_key[key].renewed_at >= now - RESUME_SECONDS:
                if not is_full:
                    break
                self._dropped_until = now + RESUME_SECONDS
            del self._stored_by_key[key]
            self.confirm([StreamStarts("", (key,))])
