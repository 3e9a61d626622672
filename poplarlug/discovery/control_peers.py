"""The addresses of other control replicas, collected without a list of VMs."""

from collections.abc import Callable, Collection, Iterable

from poplarlug.addresses import is_address
from poplarlug.types import Address, Seconds

PEER_TTL_SECONDS = 60.0
"""How long a replica that is neither a seed nor a member is contacted after its last
message."""


class ControlPeers:
    """
    Addresses of control replicas: seeds, group members and senders of messages.

    Parameters
    ----------
    own : Address
        Address of this replica, excluded from :meth:`other_addresses`.
    seeds : iterable of Address
        Addresses to contact first.
    members : callable
        Returns the addresses of the control group's members.
    voters : callable
        Returns the addresses of the voting members.
    is_voter : callable, optional
        Returns whether this replica votes, under the identity that its disk holds; by
        default whether its address is among the voters'.
    is_address : callable
        Returns whether a string is an address. Messages may contain other strings.
    """

    def __init__(
        self,
        *,
        own: Address,
        seeds: Iterable[Address],
        members: Callable[[], Iterable[Address]],
        voters: Callable[[], Collection[Address]],
        clock: Callable[[], Seconds],
        is_voter: Callable[[], bool] | None = None,
        is_address: Callable[[Address], bool] = is_address,
    ) -> None:
        self._own = own
        self._is_address = is_address
        self._seeds = tuple(seeds)
        self._members = members
        self._voters = voters
        self._is_voter = is_voter
        self._clock = clock
        self._seen_by_address: dict[Address, Seconds] = {}

    def mark_seen(self, address: Address) -> None:
        """Record that a message came from ``address``; ignore an invalid address."""
        if not self._is_address(address):
            return
        self._seen_by_address[address] = self._clock()

    def add_reported(self, addresses: Iterable[Address]) -> None:
        """Add addresses reported by another replica."""
        for address in addresses:
            if self._is_address(address):
                self._seen_by_address.setdefault(address, self._clock())

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = tuple(seeds)

    def other_addresses(self) -> tuple[Address, ...]:
        """Return all known addresses except this replica's own."""
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
        """Return how many voters a majority needs beyond this replica and ``reached``."""
        voters = self.voters
        return max(0, len(voters) // 2 + 1 - len(voters & {self._own, *reached}))

    def is_majority(self, addresses: Collection[Address], *, with_own: bool) -> bool:
        """Return whether ``addresses``, with the own one or not, are most voters."""
        counted = {*addresses, self._own} if with_own else set(addresses)
        voters = self.voters
        return len(voters & counted) > len(voters) // 2

    def is_each_voter(self, others: Collection[Address]) -> bool:
        """Return whether ``others`` and this replica are all voters of the group."""
        return self.has_group and self.voters <= {*others, self._own}

    @property
    def has_group(self) -> bool:
        """Whether the voters of the group are known."""
        return bool(self._voters())

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes in the group."""
        if self._is_voter is None:
            return self._own in self._voters()
        return self._is_voter()

    @property
    def voters(self) -> frozenset[Address]:
        """The group's voters, or the seeds while no voters are known."""
        return frozenset(self._voters() or self._seeds)

    def recently_seen(self, within_seconds: Seconds) -> tuple[Address, ...]:
        """Return this replica's address and those seen within ``within_seconds``."""
        oldest = self._clock() - within_seconds
        recent = [a for a, seen in self._seen_by_address.items() if seen >= oldest]
        return (self._own, *(address for address in recent if address != self._own))
