"""Entries of the own zone as this entry sees them."""

from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import NamedTuple

import msgspec
import xxhash

from poplarlug.types import VmName


class MemberState(IntEnum):
    """State of an entry; of one incarnation, the larger value wins."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """What is known of an entry."""

    name: VmName
    incarnation: int
    state: MemberState

    def overrides(self, other: "Member") -> bool:
        own = (self.incarnation, self.state)
        return own > (other.incarnation, other.state)


class MemberTable:
    """
    The zone's configured entries, each with its latest state.

    Parameters
    ----------
    own : VmName
        Own name; only this process raises its own incarnation.
    names : sequence of VmName
        All configured entries of the zone.
    incarnation : int
        Own incarnation, larger than in former runs.
    """

    def __init__(
        self, *, own: VmName, names: Sequence[VmName], incarnation: int
    ) -> None:
        self.own = own
        self._members_by_name = {
            name: Member(name, 0, MemberState.DEAD) for name in names
        }
        self._members_by_name[own] = Member(own, incarnation, MemberState.ALIVE)
        self._loads_by_name: dict[VmName, float] = {}

    @property
    def own_member(self) -> Member:
        return self._members_by_name[self.own]

    def get(self, name: VmName) -> Member | None:
        return self._members_by_name.get(name)

    def all(self) -> tuple[Member, ...]:
        return tuple(self._members_by_name.values())

    def others(self) -> list[VmName]:
        """Return all configured names but the own one."""
        return [name for name in self._members_by_name if name != self.own]

    def reachable_others(self) -> list[VmName]:
        """Return the others that aren't known to be dead."""
        return [
            name
            for name in self.others()
            if self._members_by_name[name].state is not MemberState.DEAD
        ]

    def alive(self) -> list[VmName]:
        """Return the entries, the own one included, that take new work."""
        return [m.name for m in self.all() if m.state is MemberState.ALIVE]

    def apply(self, update: Member) -> Member | None:
        """
        Take in an update; return what changed, if anything did.

        An update that calls this process anything but alive is refuted by a
        larger incarnation; that is then the returned change.
        """
        if update.name == self.own:
            return self._refute(update)
        current = self._members_by_name.get(update.name)
        if current is None or not update.overrides(current):
            return None
        self._members_by_name[update.name] = update
        return update

    def apply_all(self, updates: Iterable[Member]) -> list[Member]:
        changes = (self.apply(update) for update in updates)
        return [change for change in changes if change is not None]

    def raise_incarnation(self) -> Member:
        """Begin a new incarnation of this process, as after a pause."""
        own = self.own_member
        self._members_by_name[self.own] = own._replace(incarnation=own.incarnation + 1)
        return self.own_member

    def leave(self) -> Member:
        """Mark this process as leaving for good."""
        own = self.own_member._replace(state=MemberState.LEAVING)
        self._members_by_name[self.own] = own
        return own

    def set_load(self, name: VmName, load: float) -> None:
        """Keep the load, 0 to 1, that an entry told of itself."""
        if name in self._members_by_name:
            self._loads_by_name[name] = load

    def load(self, name: VmName) -> float:
        """Return an entry's load; 1 while it has told none."""
        return self._loads_by_name.get(name, 1.0)

    def digest(self) -> int:
        """Return a hash of all members and their states."""
        members = sorted(self._members_by_name.values())
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(members))

    def _refute(self, update: Member) -> Member | None:
        own = self.own_member
        if not update.overrides(own):
            return None
        refuted = own._replace(incarnation=update.incarnation + 1)
        self._members_by_name[self.own] = refuted
        return refuted
