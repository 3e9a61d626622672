"""Membership messages between the entries of a zone."""

from typing import NamedTuple

from poplarlug.membership.members import Member
from poplarlug.membership.summaries import ZoneSummary
from poplarlug.membership.upstreams import Renewal, Tombstone, UpstreamRecord
from poplarlug.types import UpstreamId, VmName


class Heartbeat(NamedTuple):
    """
    A ping or its reply.

    Parameters
    ----------
    load : float
        Requests in progress at the sender as a share, 0 to 1, of its limit.
    members_digest, upstreams_digest : int
        Hashes of the sender's tables; a mismatch reveals lost messages.
    updates : tuple of Member
        Recent changes in the sender's member table.
    """

    load: float
    members_digest: int
    upstreams_digest: int
    updates: tuple[Member, ...] = ()


class ProbeRequest(NamedTuple):
    """Request to ping ``target`` on behalf of the sender."""

    target: VmName


class ProbeReply(NamedTuple):
    """Result of a :class:`ProbeRequest`."""

    reached: bool


class Share(NamedTuple):
    """Periodic batch that an entry sends to the other entries of its zone."""

    renewals: tuple[Renewal, ...] = ()
    summaries: tuple[ZoneSummary, ...] = ()


class TablesRequest(NamedTuple):
    """
    Request for the records that the sender is missing.

    Parameters
    ----------
    known : tuple of (UpstreamId, int) or None
        Ids and incarnations of the upstreams in the sender's table; ``None`` requests
        the full tables.
    """

    known: tuple[tuple[UpstreamId, int], ...] | None = None


class Tables(NamedTuple):
    """
    An entry's tables.

    Parameters
    ----------
    settled : bool
        Whether the entry considers its tables up to date.
    """

    settled: bool
    members: tuple[Member, ...]
    upstreams: tuple[UpstreamRecord, ...]
    tombstones: tuple[Tombstone, ...]
    summaries: tuple[ZoneSummary, ...]


class Acknowledgement(NamedTuple):
    """Whether a record was accepted, even if a newer one already supersedes it."""

    taken: bool
