"""Messages of the discovery protocol between entries and control replicas."""

from typing import NamedTuple

from poplarlug.discovery.crash_marks import CrashMark
from poplarlug.discovery.named_limits import NamedLimit
from poplarlug.discovery.prompt_parts import EngineParts, PartNews
from poplarlug.discovery.records import (
    EntryRecord,
    RegionLoad,
    ServiceUpstream,
    UpstreamLoad,
)
from poplarlug.discovery.software_versions import (
    ServiceVersions,
    StreamKey,
    StreamStarts,
    VersionSpan,
)
from poplarlug.types import (
    Address,
    RegionName,
    Seconds,
    ServiceName,
    SoftwareVersion,
    VmName,
    ZoneName,
)

POLL_TOPIC = "discovery.poll"
GOSSIP_TOPIC = "discovery.gossip"
TABLES_TOPIC = "discovery.tables"
MARKS_TOPIC = "discovery.marks"
LIMITS_TOPIC = "discovery.limits"
STREAMS_TOPIC = "discovery.streams"
STREAM_LOOKUP_TOPIC = "discovery.stream_lookup"
STREAM_COPY_TOPIC = "discovery.stream_copy"
"""A :class:`StreamLookup` from one replica to another, answered from its own records."""

STREAM_TABLE_TOPIC = "discovery.stream_table"


class WaitingCount(NamedTuple):
    """Number of requests for a service that wait at an entry."""

    service: ServiceName
    waiting: int


class ServiceDemand(NamedTuple):
    """Requests per second for a service with rate-limited upstreams at an entry."""

    service: ServiceName
    per_second: float


class EntryDemand(NamedTuple):
    """A :class:`ServiceDemand` as sent to the other entries of the region."""

    entry: VmName
    service: ServiceName
    per_second: float


class Poll(NamedTuple):
    """
    An entry's report of its state and its request for changes, as a long poll.

    Parameters
    ----------
    registry_id : str
        Identifies the run of the replica that ``known`` refers to.
    known : int
        Registry revision that the entry has received.
    routing_revision : int
        Revision of the replicated routing state in force at the entry.
    loads : tuple of UpstreamLoad
        The entry's running requests by upstream.
    hold_seconds : float
        How long the replica may wait for changes before it replies.
    marks_known : int
        Revision of the crash marks that the entry has received.
    limits_known : int
        Revision of the rate limits that the entry has received.
    lacks_whole : bool
        Whether the entry has not received a ``whole`` reply from that run yet.
    is_first : bool
        Whether the entry has received no reply since its start.
    is_probe : bool
        Whether the entry only asks if the replica is connected to the leader. The reply
        then has no records.
    loads_due_seconds : float
        Replies made earlier than this after the poll may leave out ``loads``.
    parts : PartNews
        Prompt parts that the entry sent to engines, and what it knows of the others.
    """

    record: EntryRecord
    registry_id: str
    known: int
    routing_revision: int
    loads: tuple[UpstreamLoad, ...] = ()
    waiting: tuple[WaitingCount, ...] = ()
    hold_seconds: Seconds = 0.0
    marks_known: int = 0
    limits_known: int = 0
    demands: tuple[ServiceDemand, ...] = ()
    lacks_whole: bool = False
    is_first: bool = False
    is_probe: bool = False
    loads_due_seconds: Seconds = 0.0
    parts: PartNews = PartNews()


class RoutingUpdate(NamedTuple):
    """
    The replicated routing state.

    Parameters
    ----------
    table : bytes
        The route table as msgpack; empty until an operator sets one.
    """

    revision: int
    table: bytes = b""
    evacuated_zones: tuple[ZoneName, ...] = ()


class PollReply(NamedTuple):
    """
    The changes since the state described in an entry's poll.

    Parameters
    ----------
    registry_id : str
        Identifies the run of the replica; revisions of different runs can't be compared.
    revision : int
        Registry revision that the entry has reached with this reply.
    whole : bool
        Whether the records are complete, so that the entry removes all others.
    current : bool
        Whether the replica is connected to the leader of its group.
    routing : RoutingUpdate or None
        ``None`` if the entry has the newest state that this replica has applied.
    zone : ZoneName
        Zone of the replica.
    loads : tuple of UpstreamLoad
        Running requests of the region's other entries, summed by upstream.
    regions : tuple of RegionLoad
        Loads of the other regions.
    control : tuple of Address
        Control replicas heard from recently.
    settled : bool
        Whether the replica has learned of all present records since its start, so that
        anything not in them is absent.
    marks : tuple of CrashMark
        Marks changed since ``marks_known``; if there are many, the first of them.
    marks_revision : int
        Revision of the marks that the entry has reached with this reply.
    limits : tuple of NamedLimit
        Limits changed since ``limits_known``.
    limits_revision : int
        Revision of the limits that the entry has reached with this reply.
    demands : tuple of EntryDemand
        Demands reported by the region's other entries.
    versions : tuple of ServiceVersions
        The services with more than one software version.
    routing_age_seconds : float or None
        Age, when the poll arrived, of the reading of the routing state that the leader
        confirmed to the replica. Negative if it did so while the poll was held; ``None``
        without a reading.
    probed_revision : int or None
        Revision of the routing state, in the reply to a probe; ``None`` in others.
    has_loads : bool
        Whether the reply has ``loads``; otherwise the entry keeps the ones that it has.
    parts : PartNews
        Prompt parts that other entries sent to engines since the entry's last reply.
    """

    registry_id: str
    revision: int
    whole: bool
    current: bool
    zone: ZoneName
    entries: tuple[EntryRecord, ...] = ()
    upstreams: tuple[ServiceUpstream, ...] = ()
    routing: RoutingUpdate | None = None
    loads: tuple[UpstreamLoad, ...] = ()
    regions: tuple[RegionLoad, ...] = ()
    control: tuple[Address, ...] = ()
    settled: bool = False
    marks: tuple[CrashMark, ...] = ()
    marks_revision: int = 0
    limits: tuple[NamedLimit, ...] = ()
    limits_revision: int = 0
    demands: tuple[EntryDemand, ...] = ()
    versions: tuple[ServiceVersions, ...] = ()
    routing_age_seconds: Seconds | None = None
    probed_revision: int | None = None
    has_loads: bool = True
    parts: PartNews = PartNews()


class MarksReport(NamedTuple):
    """Crash marks added by an entry, to be distributed to all VMs."""

    marks: tuple[CrashMark, ...]


class MarksReceived(NamedTuple):
    """Acknowledgement that the receiver has stored the marks and distributes them."""


class LimitsReport(NamedTuple):
    """Rate limits observed by an entry, to be distributed to all VMs."""

    limits: tuple[NamedLimit, ...]


class LimitsReceived(NamedTuple):
    """Acknowledgement that the receiver has stored the limits and distributes them."""


class StreamsReport(NamedTuple):
    """Streams that upstreams began for an entry, before their first events are sent."""

    starts: tuple[StreamStarts, ...]


class StreamsReceived(NamedTuple):
    """
    Acknowledgement that the receiver has the streams and distributes them.

    Parameters
    ----------
    is_recorded : bool
        Whether a majority of the replicas has them.
    """

    is_recorded: bool = True


class StreamLookup(NamedTuple):
    """Question of which software version of a service began a stream."""

    key: StreamKey
    service: ServiceName = ""


class StreamFound(NamedTuple):
    """
    The version that began a stream.

    Parameters
    ----------
    version : SoftwareVersion or None
        ``None`` if the stream isn't recorded.
    is_complete : bool
        Whether a stream without a record was never recorded.
    versions : ServiceVersions or None
        The versions of the service; ``None`` if the replicas that answered know of no
        upstream, or may not know of all versions.
    is_awaited : bool
        Whether a replica that may have a record is away.
    """

    version: SoftwareVersion | None
    is_complete: bool
    versions: ServiceVersions | None = None
    is_awaited: bool = False


class StreamCopy(NamedTuple):
    """
    What one replica's own records tell of a stream.

    Parameters
    ----------
    version : SoftwareVersion or None
        ``None`` if the replica has no record of the stream.
    is_intact : bool
        Whether the replica has every record that it acknowledged.
    versions : ServiceVersions or None
        The versions of the service; ``None`` if the replica knows of no upstream.
    has_heard_all : bool
        Whether the replica has been running while streams began that callers may
        resume, so that it heard of the versions that began them.
    """

    version: SoftwareVersion | None
    is_intact: bool
    versions: ServiceVersions | None = None
    has_heard_all: bool = False


class StreamTableRequest(NamedTuple):
    """Request for all records of streams of a replica."""


class StreamTable(NamedTuple):
    """
    All records of streams of a replica, with none if it isn't intact.

    Parameters
    ----------
    is_intact : bool
        Whether the replica has every record that it acknowledged.
    versions : tuple of VersionSpan
        Software versions of all services.
    """

    is_intact: bool
    streams: tuple[StreamStarts, ...] = ()
    versions: tuple[VersionSpan, ...] = ()


class EntryLoads(NamedTuple):
    """Loads of one entry, sent to the other control replicas of its region."""

    entry: str
    loads: tuple[UpstreamLoad, ...]
    waiting: tuple[WaitingCount, ...]
    demands: tuple[ServiceDemand, ...] = ()


class Gossip(NamedTuple):
    """
    Changes and load sums sent from one control replica to another.

    Parameters
    ----------
    region : RegionName
        Region of the sender.
    heard : tuple of int
        Tags of the records whose VMs or upstreams the sender heard from recently.
    regions : tuple of RegionLoad
        Loads of the sender's region.
    entry_loads : tuple of EntryLoads
        Sent only to replicas of the same region.
    control : tuple of Address
        Control replicas known to the sender.
    parts : tuple of EngineParts
        Prompt parts that the sender's entries sent to engines since its last message;
        sent only to replicas of the same region.
    """

    region: RegionName
    entries: tuple[EntryRecord, ...] = ()
    upstreams: tuple[ServiceUpstream, ...] = ()
    heard: tuple[int, ...] = ()
    regions: tuple[RegionLoad, ...] = ()
    entry_loads: tuple[EntryLoads, ...] = ()
    control: tuple[Address, ...] = ()
    marks: tuple[CrashMark, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    streams: tuple[StreamStarts, ...] = ()
    parts: tuple[EngineParts, ...] = ()


class GossipReply(NamedTuple):
    """
    The receiver's answer to gossip.

    Parameters
    ----------
    unknown : tuple of int
        Tags in ``heard`` for which the receiver has no record.
    is_durable : bool
        Whether the departures in the message are on the receiver's disk.
    has_streams : bool
        Whether the receiver will have the records of streams in the message after a
        restart, or know that it lacks some.
    has_durable_streams : bool
        Whether the records of streams in the message are on the receiver's disk.
    is_intact : bool
        Whether the receiver has every record of a stream that it acknowledged.
    """

    unknown: tuple[int, ...] = ()
    is_durable: bool = True
    has_streams: bool = True
    has_durable_streams: bool = True
    is_intact: bool = False


class Tables(NamedTuple):
    """
    All records of a control replica, including those of absent entries and upstreams.

    Parameters
    ----------
    settled : bool
        Whether the sender has learned of all present records since its start, so that
        anything not in them is absent.
    recalled_entries, recalled_upstreams : tuple
        Records from an earlier run of the sender that it has not confirmed yet.
    is_intact : bool
        Whether the sender has every record of a stream that it acknowledged.
    """

    entries: tuple[EntryRecord, ...]
    upstreams: tuple[ServiceUpstream, ...]
    control: tuple[Address, ...]
    settled: bool
    recalled_entries: tuple[EntryRecord, ...] = ()
    recalled_upstreams: tuple[ServiceUpstream, ...] = ()
    marks: tuple[CrashMark, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    versions: tuple[VersionSpan, ...] = ()
    streams: tuple[StreamStarts, ...] = ()
    is_intact: bool = False


class TablesRequest(NamedTuple):
    """
    Request for all records of a control replica.

    Parameters
    ----------
    own : Tables, optional
        The sender's records, so that one round trip exchanges both.
    """

    own: Tables | None = None
