"""Records in which entries and upstreams describe themselves to control replicas."""

from typing import Literal, NamedTuple, TypeAlias

import xxhash

from poplarlug.types import (
    Address,
    RegionName,
    Seconds,
    ServiceName,
    SoftwareVersion,
    UpstreamId,
    VmName,
    ZoneName,
)

EntryState: TypeAlias = Literal["starting", "serving", "leaving", "lost"]
UpstreamPhase: TypeAlias = Literal["serving", "leaving", "lost", "gone"]
"""A ``leaving`` upstream has announced its departure and never serves again in its run.
A ``lost`` one stopped announcing itself while serving. A ``gone`` one deregistered, lost
its address to a later run, or stopped announcing itself while leaving, which is final
for its run."""


class EntryRecord(NamedTuple):
    """
    An entry VM as it describes itself.

    Parameters
    ----------
    http : Address
        Address for callers.
    forwards : Address
        Address for requests forwarded by other entries.
    incarnation : int
        Start time of its process in milliseconds since 1970; larger after a restart.
    state : EntryState
        ``lost`` is only set by others.
    room : float
        Requests that it can take at once, relative to a nominal VM; 1 if unknown.
    """

    name: VmName
    region: RegionName
    zone: ZoneName
    http: Address
    forwards: Address
    incarnation: int
    state: EntryState = "starting"
    room: float = 1.0

    @property
    def key(self) -> str:
        return f"e:{self.name}"

    @property
    def is_absent(self) -> bool:
        return self.state == "lost"

    @property
    def tag(self) -> int:
        """A short hash of the fields whose change must reach the other replicas."""
        return _hash(f"{self.key}/{self.incarnation}/{self.state}")


class UpstreamRun(NamedTuple):
    """One run of an upstream's process; see :class:`ServiceUpstream`."""

    id: UpstreamId
    born: int


class ServiceUpstream(NamedTuple):
    """
    An upstream of one service, as it announced itself in its heartbeats.

    Parameters
    ----------
    born, sequence : int
        Start time of the upstream in milliseconds since 1970, and the number of its
        announcement since then; larger pairs replace smaller ones.
    slots : int
        Number of requests that it runs concurrently.
    cold_seconds : float
        How much longer it stays cold, counted from when this record was made.
    ends_in_seconds : float or None
        Time until it terminates regardless of running requests; ``None`` if not
        announced.
    version : str
        Version of its software; empty if not announced.
    """

    id: UpstreamId
    service: ServiceName
    address: Address
    zone: ZoneName
    born: int
    sequence: int
    slots: int
    phase: UpstreamPhase = "serving"
    cold_seconds: Seconds = 0.0
    ends_in_seconds: Seconds | None = None
    version: SoftwareVersion = ""

    @property
    def key(self) -> str:
        return f"u:{self.id}"

    @property
    def run(self) -> UpstreamRun:
        return UpstreamRun(self.id, self.born)

    @property
    def is_absent(self) -> bool:
        return self.phase in ("lost", "gone")

    @property
    def tag(self) -> int:
        """A short hash of the fields whose change must reach the other replicas."""
        is_cold = self.cold_seconds > 0
        return _hash(f"{self.key}/{self.born}/{self.phase}/{self.address}/{is_cold}")

    def is_newer_than(self, other: "ServiceUpstream") -> bool:
        return (self.born, self.sequence) > (other.born, other.sequence)

    def is_equivalent_to(self, other: "ServiceUpstream") -> bool:
        """Return whether the records differ only in sequence and elapsed time."""
        same = self._replace(sequence=0, cold_seconds=0.0, ends_in_seconds=None)
        if same != other._replace(sequence=0, cold_seconds=0.0, ends_in_seconds=None):
            return False
        if (self.ends_in_seconds is None) != (other.ends_in_seconds is None):
            return False
        return (self.cold_seconds > 0) == (other.cold_seconds > 0)


class UpstreamLoad(NamedTuple):
    """
    Requests of entries running at an upstream.

    Parameters
    ----------
    running : int
        Requests sent and not yet completely answered.
    long : int
        Number of these whose prompts take long to read.
    read_ms : int
        Milliseconds, at nominal speed, to read the prompts without a first event yet.
    kv_tokens : int
        Tokens that all of them will occupy in the upstream's KV cache.
    nominal_ms, prefill_ms, tokens, decode_ms : int
        What the upstream did recently, and the time that it took; see
        :class:`poplarlug.relay.engine_model.MeasuredWork`.
    """

    id: UpstreamId
    running: int = 0
    long: int = 0
    read_ms: int = 0
    kv_tokens: int = 0
    nominal_ms: int = 0
    prefill_ms: int = 0
    tokens: int = 0
    decode_ms: int = 0


class RegionLoad(NamedTuple):
    """
    Capacity and load of a region for a service, as seen by its entries.

    Parameters
    ----------
    upstreams : int
        Number of upstreams that accept requests.
    slots : int
        Number of requests that these run concurrently.
    running : int
        Number of requests running there.
    waiting : int
        Number of requests waiting at the region's entries.
    calm : UpstreamLoad
        The upstream with the fewest streams, not counting those with long prompts.
    quick : UpstreamLoad
        The upstream with the fewest long prompts and the least to read.
    is_limited : bool
        Whether all upstreams name rate limits, which the region's own callers use up.
    """

    region: RegionName
    service: ServiceName
    upstreams: int = 0
    slots: int = 0
    running: int = 0
    waiting: int = 0
    calm: UpstreamLoad = UpstreamLoad("")
    quick: UpstreamLoad = UpstreamLoad("")
    is_limited: bool = False


def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())
