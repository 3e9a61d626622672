"""The control replicas that one of them knows, in place of a list of VMs."""

from collections.abc import Callable, Collection, Iterable

from poplarlug.addresses import is_address
from poplarlug.types import Address, Seconds

PEER_TTL_SECONDS = 60.0
"""A replica that is no member and gave no sign for so long isn't asked any more."""


class ControlPeers:
    """
    Addresses of control replicas: seeds, members of the group, those that spoke.

    Parameters
    ----------
    own : Address
        Left out.
    seeds : iterable of Address
        Where to begin.
    members : callable
        Returns the addresses of the control group's members.
    voters : callable
        Returns the addresses of those that vote.
    is_address : callable
        Tells addresses from other texts, which messages may hold.
    """

    def __init__(
        self,
        *,
        own: Address,
        seeds: Iterable[Address],
        members: Callable[[], Iterable[Address]],
        voters: Callable[[], Collection[Address]],
        clock: Callable[[], Seconds],
        is_address: Callable[[Address], bool] = is_address,
    ) -> None:
        self._own = own
        self._is_address = is_address
        self._seeds = tuple(seeds)
        self._members = members
        self._voters = voters
        self._clock = clock
        self._seen_by_address: dict[Address, Seconds] = {}

    def mark_seen(self, address: Address) -> None:
        """Note a message of the replica at ``address``; none is at another text."""
        if not self._is_address(address):
            return
        self._seen_by_address[address] = self._clock()

    def add_reported(self, addresses: Iterable[Address]) -> None:
        """Note replicas that another one named."""
        for address in addresses:
            if self._is_address(address):
                self._seen_by_address.setdefault(address, self._clock())

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Take new seeds from changed settings."""
        self._seeds = tuple(seeds)

    def other_addresses(self) -> tuple[Address, ...]:
        """Return all addresses but the own one."""
        oldest = self._clock() - PEER_TTL_SECONDS
        self._seen_by_address = {
            address: seen
            for address, seen in self._seen_by_address.items()
            if seen >= oldest
        }
        known = dict.fromkeys([*self._seeds, *self._members(), *self._seen_by_address])
        known.pop(self._own, None)
        return tuple(known)

    def missing_for_majority(self, reached: Iterable[Address]) -> int:
        """Return how many voters besides this replica and ``reached`` make a majority."""
        voters = self.voters
        return max(0, len(voters) // 2 + 1 - len(voters & {self._own, *reached}))

    @property
    def voters(self) -> frozenset[Address]:
        """The group's voters; the seeds before any are known."""
        return frozenset(self._voters() or self._seeds)

    def recently_seen(self, within_seconds: Seconds) -> tuple[Address, ...]:
        """Return the own address and those of others that spoke lately."""
        oldest = self._clock() - within_seconds
        spoke = [a for a, seen in self._seen_by_address.items() if seen >= oldest]
        return (self._own, *(address for address in spoke if address != self._own))
