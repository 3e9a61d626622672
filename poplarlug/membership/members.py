"""Member table: the entries of the local zone and their states."""

from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import NamedTuple

import msgspec
import xxhash

from poplarlug.types import VmName


class MemberState(IntEnum):
    """State of an entry; within one incarnation, the larger value wins."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """State of one entry in one of its incarnations."""

    name: VmName
    incarnation: int
    state: MemberState

    def overrides(self, other: "Member") -> bool:
        own = (self.incarnation, self.state)
        return own > (other.incarnation, other.state)


class MemberTable:
    """
    The configured entries of the zone, each with its latest known state.

    Parameters
    ----------
    own : VmName
        Name of this entry; only this process increments its incarnation.
    names : sequence of VmName
        All configured entries of the zone.
    incarnation : int
        Incarnation of this process; larger than in previous runs.
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
        """Return all configured names except that of this entry."""
        return [name for name in self._members_by_name if name != self.own]

    def reachable_others(self) -> list[VmName]:
        """Return the other entries that aren't known to be dead."""
        return [
            name
            for name in self.others()
            if self._members_by_name[name].state is not MemberState.DEAD
        ]

    def alive(self) -> list[VmName]:
        """Return the entries that accept new requests, including this one."""
        return [m.name for m in self.all() if m.state is MemberState.ALIVE]

    def apply(self, update: Member) -> Member | None:
        """
        Apply an update; return the resulting change, or ``None`` if there is none.

        An update that reports this process as anything but alive is refuted by
        increasing the incarnation; the refutation is then the returned change.
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
        """Increment the incarnation of this process, as after a pause."""
        own = self.own_member
        self._members_by_name[self.own] = own._replace(incarnation=own.incarnation + 1)
        return self.own_member

    def leave(self) -> Member:
        """Mark this process as leaving; it does not become alive again."""
        own = self.own_member._replace(state=MemberState.LEAVING)
        self._members_by_name[self.own] = own
        return own

    def set_load(self, name: VmName, load: float) -> None:
        """Store the load, 0 to 1, that an entry reported."""
        if name in self._members_by_name:
            self._loads_by_name[name] = load

    def load(self, name: VmName) -> float:
        """Return an entry's load; 1 until it has reported one."""
        return self._loads_by_name.get(name, 1.0)

    def digest(self) -> int:
        """Return a hash of all members with their incarnations and states."""
        members = sorted(self._members_by_name.values())
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(members))

    def _refute(self, update: Member) -> Member | None:
        own = self.own_member
        if not update.overrides(own):
            return None
        refuted = own._replace(incarnation=update.incarnation + 1)
        self._members_by_name[self.own] = refuted
        return refuted
