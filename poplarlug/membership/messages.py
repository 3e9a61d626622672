"""Messages between the entries of one zone."""

from typing import NamedTuple

from poplarlug.membership.members import Member
from poplarlug.membership.summaries import ZoneSummary
from poplarlug.membership.upstreams import Renewal, Tombstone, UpstreamRecord
from poplarlug.types import UpstreamId, VmName


class Heartbeat(NamedTuple):
    """
    A ping and its reply alike.

    Parameters
    ----------
    load : float
        Share, 0 to 1, of the requests that the sender can hold at a time.
    members_digest, upstreams_digest : int
        Hashes of the sender's tables, to find lost messages.
    updates : tuple of Member
        Recent changes in the sender's view.
    """

    load: float
    members_digest: int
    upstreams_digest: int
    updates: tuple[Member, ...] = ()


class ProbeRequest(NamedTuple):
    """Asks the receiver to ping ``target`` for the sender."""

    target: VmName


class ProbeReply(NamedTuple):
    """What came of a :class:`ProbeRequest`."""

    reached: bool


class Share(NamedTuple):
    """What an entry tells its zone each period."""

    renewals: tuple[Renewal, ...] = ()
    summaries: tuple[ZoneSummary, ...] = ()


class TablesRequest(NamedTuple):
    """
    Asks for what the sender lacks.

    Parameters
    ----------
    known : tuple of (UpstreamId, int) or None
        Upstreams that the sender holds, with their incarnations; ``None`` asks
        for everything.
    """

    known: tuple[tuple[UpstreamId, int], ...] | None = None


class Tables(NamedTuple):
    """
    An entry's tables.

    Parameters
    ----------
    settled : bool
        Whether the entry trusts them itself.
    """

    settled: bool
    members: tuple[Member, ...]
    upstreams: tuple[UpstreamRecord, ...]
    tombstones: tuple[Tombstone, ...]
    summaries: tuple[ZoneSummary, ...]


class Acknowledgement(NamedTuple):
    """Says that a record was taken in, or that a newer one is held."""

    taken: bool
