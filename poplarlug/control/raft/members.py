"""The members of the control group."""

from typing import NamedTuple

import msgspec

from poplarlug.types import VmName


class Member(NamedTuple):
    """A replica, identified by its name and the incarnation stored on its disk."""

    name: VmName
    incarnation: str

    @property
    def vote_id(self) -> str:
        return f"{self.name}/{self.incarnation}"


class Members(NamedTuple):
    """
    Voters, and learners that receive the log without voting.

    Each change adds or removes at most one voter, so any quorum before the change
    and any quorum after it share a replica.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def all(self) -> tuple[Member, ...]:
        return (*self.voters, *self.learners)

    def find(self, name: VmName) -> Member | None:
        return next((member for member in self.all if member.name == name), None)

    def is_voter(self, name: VmName) -> bool:
        return any(member.name == name for member in self.voters)

    def without(self, name: VmName) -> "Members":
        return Members(
            tuple(member for member in self.voters if member.name != name),
            tuple(member for member in self.learners if member.name != name),
        )

    def with_learner(self, learner: Member) -> "Members":
        """Return the members with ``learner`` replacing any member of the same name."""
        others = self.without(learner.name)
        return others._replace(learners=(*others.learners, learner))

    def with_voter(self, name: VmName) -> "Members":
        """Return the members with the learner ``name`` promoted to voter."""
        learner = self.find(name)
        assert learner is not None
        others = self.without(name)
        return others._replace(voters=(*others.voters, learner))


def encode_members(members: Members) -> bytes:
    return msgspec.msgpack.encode(members)


def decode_members(data: bytes) -> Members:
    return msgspec.msgpack.decode(data, type=Members)
