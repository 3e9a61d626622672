"""Leader lease: how long a leader can rely on being the only one."""

from poplarlug.control.raft.members import Members
from poplarlug.control.raft.timing import LEASE_SECONDS
from poplarlug.types import Seconds, VmName


class Lease:
    """
    Lease of a leader, renewed by heartbeats that a quorum answered.

    It runs from the time a heartbeat was sent. A receiver votes for no other leader
    until the minimum election timeout has passed since it received the heartbeat, and
    the lease is shorter than that timeout by the maximum clock drift.
    """

    def __init__(self) -> None:
        self._answered_by_name: dict[VmName, Seconds] = {}

    def clear(self) -> None:
        self._answered_by_name.clear()

    def renew(self, name: VmName, sent_at: Seconds) -> None:
        """Record that ``name`` answered a heartbeat sent at ``sent_at``."""
        before = self._answered_by_name.get(name, sent_at)
        self._answered_by_name[name] = max(before, sent_at)

    def answered_at(self, name: VmName) -> Seconds:
        """Return when the latest heartbeat that ``name`` answered was sent."""
        return self._answered_by_name.get(name, float("-inf"))

    def expires_at(self, members: Members, own_name: VmName) -> Seconds:
        """Return the time on the replica's clock at which the lease ends."""
        answered = sorted(
            float("inf") if voter.name == own_name else self.answered_at(voter.name)
            for voter in members.voters
        )
        return answered[len(answered) - members.quorum] + LEASE_SECONDS
