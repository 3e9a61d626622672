"""What the records of several control replicas prove about a stream."""

from collections.abc import Collection, Iterable, Mapping

from poplarlug.discovery.control_peers import ControlPeers
from poplarlug.discovery.messages import StreamCopy, StreamFound
from poplarlug.discovery.software_versions import ServiceVersions
from poplarlug.types import Address


class StreamQuorum:
    """
    The quorums of writing, reading and restoring records of streams.

    A record is acknowledged once a majority of the voters has it. A replica is intact
    while it has every record that it acknowledged itself: one that was down while
    others acknowledged records is, one that lost its disk isn't. Each acknowledged
    record is at a member of any majority of intact replicas, so only such a majority
    proves that a stream has no record.

    Load pattern: a replica is down while streams begin; another one loses its disk and
    the third is cut off, before their callers resume. The two that answer are a majority,
    and neither ever had the records.
    """

    def __init__(self, *, peers: ControlPeers) -> None:
        self._peers = peers

    def is_recorded(self, holders: Collection[Address], *, with_own: bool) -> bool:
        """Return whether ``holders`` are enough to acknowledge a record."""
        return self._peers.is_majority(holders, with_own=with_own)

    def proves_absence(self, intact: Collection[Address], *, with_own: bool) -> bool:
        """Return whether intact replicas have all records that were acknowledged."""
        return self._peers.has_group and self._peers.is_majority(
            intact, with_own=with_own
        )

    def restores(self, sources: Collection[Address]) -> bool:
        """
        Return whether this replica is intact after it read the records of ``sources``.

        They must be intact and a majority without this replica: of a majority that
        acknowledged a record together with it, one of them is left at least.
        """
        if not self._peers.is_voter:
            return False
        return self._peers.is_majority(sources, with_own=False)

    def decide(
        self,
        own: StreamCopy,
        copies_by_peer: Mapping[Address, StreamCopy],
        *,
        is_last: bool,
    ) -> StreamFound | None:
        """
        Return what the copies tell of a stream, ``None`` while they tell nothing.

        Parameters
        ----------
        is_last : bool
            Whether no more answers will come.
        """
        copies = (own, *copies_by_peer.values())
        for copy in copies:
            if copy.version is not None:
                return StreamFound(copy.version, copy.is_intact, copy.versions)
        intact = [peer for peer, copy in copies_by_peer.items() if copy.is_intact]
        if self.proves_absence(intact, with_own=own.is_intact):
            known = _richest(copy for copy in copies if copy.is_intact)
            return StreamFound(None, True, known)
        if not is_last:
            return None
        if self._peers.is_each_voter(copies_by_peer.keys()):
            return StreamFound(None, False, _richest(copies))
        is_majority = self._peers.is_majority(copies_by_peer.keys(), with_own=True)
        if is_majority and any(copy.has_heard_all for copy in copies):
            return StreamFound(None, False, _richest(copies), is_awaited=True)
        return StreamFound(None, False, is_awaited=True)


def _richest(copies: Iterable[StreamCopy]) -> ServiceVersions | None:
    """Return the versions of the copy that knows of most."""
    return max(
        (copy.versions for copy in copies if copy.versions is not None),
        key=lambda versions: len(versions.others),
        default=None,
    )
