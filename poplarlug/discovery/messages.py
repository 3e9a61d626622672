"""Messages by which entries and control replicas find each other."""

from typing import NamedTuple

from poplarlug.discovery.crash_marks import CrashMark
from poplarlug.discovery.named_limits import NamedLimit
from poplarlug.discovery.records import (
    EntryRecord,
    RegionLoad,
    ServiceUpstream,
    UpstreamLoad,
)
from poplarlug.types import Address, RegionName, Seconds, ServiceName, VmName, ZoneName

POLL_TOPIC = "discovery.poll"
GOSSIP_TOPIC = "discovery.gossip"
TABLES_TOPIC = "discovery.tables"
MARKS_TOPIC = "discovery.marks"
LIMITS_TOPIC = "discovery.limits"


class WaitingCount(NamedTuple):
    """Requests of a service that wait at an entry."""

    service: ServiceName
    waiting: int


class ServiceDemand(NamedTuple):
    """Requests a second for a service at an entry, where its upstreams name limits."""

    service: ServiceName
    per_second: float


class EntryDemand(NamedTuple):
    """The same as told to the other entries of the region."""

    entry: VmName
    service: ServiceName
    per_second: float


class Poll(NamedTuple):
    """
    An entry's report and its question for news.

    Parameters
    ----------
    registry_id : str
        Identifies the replica's run whose revision ``known`` is.
    known : int
        Revision of the registry up to which the entry knows it.
    routing_revision : int
        Revision of the replicated routing state in force at the entry.
    loads : tuple of UpstreamLoad
        What the entry has running now.
    hold_seconds : float
        How long the reply may wait for news.
    marks_known : int
        Revision of the crash marks up to which the entry knows them.
    limits_known : int
        The same for the limits that upstreams named.
    lacks_whole : bool
        Whether the entry has had no whole reply of that run yet.
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


class RoutingNews(NamedTuple):
    """
    The replicated routing state.

    Parameters
    ----------
    table : bytes
        The route table in msgpack; empty while no operator has set one.
    """

    revision: int
    table: bytes = b""
    evacuated_zones: tuple[ZoneName, ...] = ()


class PollReply(NamedTuple):
    """
    What an entry did not know.

    Parameters
    ----------
    whole : bool
        Whether the records are all there are, and others are to be forgotten.
    current : bool
        Whether the replica is in touch with the leader of its group.
    routing : RoutingNews or None
        ``None`` while the entry has the newest that this replica has applied.
    zone : ZoneName
        Zone of the replica.
    loads : tuple of UpstreamLoad
        What the other entries of the region have running, summed up.
    regions : tuple of RegionLoad
        Loads of the other regions.
    control : tuple of Address
        Control replicas that are there.
    settled : bool
        Whether the replica has learned of all that is there since its start.
    marks : tuple of CrashMark
        Those that changed after what the entry knows, the first of them if many.
    marks_revision : int
        What the entry knows of them with this reply.
    limits : tuple of NamedLimit
        Those that changed after what the entry knows.
    limits_revision : int
        What the entry knows of them with this reply.
    demands : tuple of EntryDemand
        What the other entries of the region report.
    """

    registry_id: str
    revision: int
    whole: bool
    current: bool
    zone: ZoneName
    entries: tuple[EntryRecord, ...] = ()
    upstreams: tuple[ServiceUpstream, ...] = ()
    routing: RoutingNews | None = None
    loads: tuple[UpstreamLoad, ...] = ()
    regions: tuple[RegionLoad, ...] = ()
    control: tuple[Address, ...] = ()
    settled: bool = False
    marks: tuple[CrashMark, ...] = ()
    marks_revision: int = 0
    limits: tuple[NamedLimit, ...] = ()
    limits_revision: int = 0
    demands: tuple[EntryDemand, ...] = ()


class MarksReport(NamedTuple):
    """Crash marks that an entry made, for all others."""

    marks: tuple[CrashMark, ...]


class MarksReceived(NamedTuple):
    """The receiver holds the marks and tells them on."""


class LimitsReport(NamedTuple):
    """Limits that an entry heard of from upstreams, for all others."""

    limits: tuple[NamedLimit, ...]


class LimitsReceived(NamedTuple):
    """The receiver holds the limits and tells them on."""


class EntryLoads(NamedTuple):
    """One entry's loads, shared with the region's other control replicas."""

    entry: str
    loads: tuple[UpstreamLoad, ...]
    waiting: tuple[WaitingCount, ...]
    demands: tuple[ServiceDemand, ...] = ()


class Gossip(NamedTuple):
    """
    What a control replica tells the others.

    Parameters
    ----------
    region : RegionName
        The sender's own region.
    heard : tuple of int
        Tags of the records that the sender heard from themselves lately.
    regions : tuple of RegionLoad
        Loads of the sender's region.
    entry_loads : tuple of EntryLoads
        Only to replicas of the same region.
    control : tuple of Address
        Control replicas that the sender knows.
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


class GossipReply(NamedTuple):
    """
    What the receiver of gossip says of it.

    Parameters
    ----------
    unknown : tuple of int
        Tags of the heard records that it doesn't hold.
    is_durable : bool
        Whether the farewells are on its disk.
    """

    unknown: tuple[int, ...] = ()
    is_durable: bool = True


class Tables(NamedTuple):
    """
    All records of a control replica, those that are over included.

    Parameters
    ----------
    settled : bool
        Whether what they lack is not there.
    recalled_entries, recalled_upstreams : tuple
        Records of a former run of the sender that it can't vouch for yet.
    """

    entries: tuple[EntryRecord, ...]
    upstreams: tuple[ServiceUpstream, ...]
    control: tuple[Address, ...]
    settled: bool
    recalled_entries: tuple[EntryRecord, ...] = ()
    recalled_upstreams: tuple[ServiceUpstream, ...] = ()
    marks: tuple[CrashMark, ...] = ()
    limits: tuple[NamedLimit, ...] = ()


class TablesRequest(NamedTuple):
    """
    Ask a control replica for all its records.

    Parameters
    ----------
    own : Tables, optional
        Those of the sender, so that one round trip is enough for both.
    """

    own: Tables | None = None
