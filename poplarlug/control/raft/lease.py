"""How long a leader may be sure that no other one rules."""

from poplarlug.control.raft.members import Members
from poplarlug.control.raft.timing import LEASE_SECONDS
from poplarlug.types import Seconds, VmName


class Lease:
    """
    Lease of a leader, renewed by the heartbeats that a quorum answered.

    It counts from the time that a heartbeat was sent. Its receiver elects no
    other leader for the shortest election timeout after it came, and the lease
    is shorter by the largest clock drift.
    """

    def __init__(self) -> None:
        self._answered_by_name: dict[VmName, Seconds] = {}

    def clear(self) -> None:
        self._answered_by_name.clear()

    def renew(self, name: VmName, sent_at: Seconds) -> None:
        """Note that ``name`` answered a heartbeat that was sent at ``sent_at``."""
        before = self._answered_by_name.get(name, sent_at)
        self._answered_by_name[name] = max(before, sent_at)

    def answered_at(self, name: VmName) -> Seconds:
        """Return when the last answered heartbeat to ``name`` was sent."""
        return self._answered_by_name.get(name, float("-inf"))

    def expires_at(self, members: Members, own_name: VmName) -> Seconds:
        """Return the loop time at which the lease ends."""
        answered = sorted(
            float("inf") if voter.name == own_name else self.answered_at(voter.name)
            for voter in members.voters
        )
        return answered[len(answered) - members.quorum] + LEASE_SECONDS
