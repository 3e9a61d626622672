"""What entries and upstreams say of themselves to the control replicas."""

from typing import Literal, NamedTuple, TypeAlias

import xxhash

from poplarlug.types import (
    Address,
    RegionName,
    Seconds,
    ServiceName,
    UpstreamId,
    VmName,
    ZoneName,
)

EntryState: TypeAlias = Literal["starting", "serving", "leaving", "lost"]
UpstreamPhase: TypeAlias = Literal["serving", "leaving", "lost", "gone"]
"""``lost`` upstreams gave no sign; ``gone`` ones said so and stay it for their run."""


class EntryRecord(NamedTuple):
    """
    An entry VM as it describes itself.

    Parameters
    ----------
    http : Address
        Where callers reach it.
    forwards : Address
        Where other entries hand it requests.
    incarnation : int
        Start of its process, in milliseconds since 1970; a restart has a larger one.
    state : EntryState
        ``lost`` is said by others only.
    """

    name: VmName
    region: RegionName
    zone: ZoneName
    http: Address
    forwards: Address
    incarnation: int
    state: EntryState = "starting"

    @property
    def key(self) -> str:
        return f"e:{self.name}"

    @property
    def is_absent(self) -> bool:
        return self.state == "lost"

    @property
    def tag(self) -> int:
        """A short hash of what others have to know of it."""
        return _hash(f"{self.key}/{self.incarnation}/{self.state}")


class UpstreamRun(NamedTuple):
    """One run of an upstream, from its start to its end; see ServiceUpstream."""

    id: UpstreamId
    born: int


class ServiceUpstream(NamedTuple):
    """
    An upstream of one service, as it announced itself.

    Parameters
    ----------
    born, sequence : int
        Start of the upstream in milliseconds since 1970, and the number of its
        announcement since then; larger pairs replace smaller ones.
    slots : int
        Requests that it runs at a time.
    cold_seconds : float
        How much longer it stays cold, counted from when this record was made.
    ends_in_seconds : float or None
        When it will be gone whatever it runs; ``None`` when it didn't say.
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
        """A short hash of what others have to know of it."""
        is_cold = self.cold_seconds > 0
        return _hash(f"{self.key}/{self.born}/{self.phase}/{self.address}/{is_cold}")

    def is_newer_than(self, other: "ServiceUpstream") -> bool:
        return (self.born, self.sequence) > (other.born, other.sequence)

    def is_equivalent_to(self, other: "ServiceUpstream") -> bool:
        """Return whether only the sequence and the time that passed differ."""
        same = self._replace(sequence=0, cold_seconds=0.0, ends_in_seconds=None)
        if same != other._replace(sequence=0, cold_seconds=0.0, ends_in_seconds=None):
            return False
        if (self.ends_in_seconds is None) != (other.ends_in_seconds is None):
            return False
        return (self.cold_seconds > 0) == (other.cold_seconds > 0)


class UpstreamLoad(NamedTuple):
    """
    What entries have running at an upstream.

    Parameters
    ----------
    running : int
        Requests sent and not yet answered whole.
    long : int
        Those of them whose prompts were long to read.
    read_ms : int
        Milliseconds of prompts that have no first event yet, at nominal speed.
    kv_tokens : int
        Tokens that all of them will hold in the upstream's memory.
    """

    id: UpstreamId
    running: int = 0
    long: int = 0
    read_ms: int = 0
    kv_tokens: int = 0


class RegionLoad(NamedTuple):
    """
    What a region has for a service, as its entries see it.

    Parameters
    ----------
    upstreams : int
        Upstreams that take requests.
    slots : int
        Requests that they run at a time.
    running : int
        Requests that run there now.
    waiting : int
        Requests that wait at its entries.
    calm : UpstreamLoad
        The upstream with the fewest streams beside long prompts.
    quick : UpstreamLoad
        The upstream with the fewest long prompts and the least to read.
    is_limited : bool
        Whether all of its upstreams name limits, which its own callers use up.
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
