"""Which requests of a rank give way, as their team has more than its share waiting."""

from collections import defaultdict

from poplarlug.teams import QuotaUnit, Team

SPARED_REQUESTS = 2
"""Requests of a team that give way to no other team's."""


class TeamTurns:
    """
    Work that waits in one queue, by team.

    Load pattern: all slots are taken, and one team sends many times its usual, within
    its quota, while others send as before. Its requests would wait in front of theirs,
    as they came earlier. The requests of a team give way while those that wait exceed
    its share of all that wait, by the teams' quotas. So a team waits behind others only
    with what goes beyond its share, and none is starved.
    """

    def __init__(self) -> None:
        self._waiting_by_team: dict[str, float] = defaultdict(float)
        self._waiting_by_unit: dict[QuotaUnit, float] = defaultdict(float)

    def gives_way(self, team: Team | None, amount: float, all_rates: float) -> bool:
        """
        Return whether a request that arrives now gives way to other teams'.

        Parameters
        ----------
        amount : float
            What it uses of the quota.
        all_rates : float
            Sum of the rates of all teams' quotas in the same unit.
        """
        if team is None or team.quota is None:
            return False
        waiting = self._waiting_by_team.get(team.name, 0.0)
        if waiting < SPARED_REQUESTS * amount:
            return False
        share = team.quota.per_second / max(all_rates, team.quota.per_second)
        return waiting > share * self._waiting_by_unit[team.quota.unit]

    def join(self, team: Team | None, amount: float) -> None:
        """Count a request that begins to wait."""
        if team is not None and team.quota is not None:
            self._waiting_by_team[team.name] += amount
            self._waiting_by_unit[team.quota.unit] += amount

    def leave(self, team: Team | None, amount: float) -> None:
        """Count a request that waits no longer."""
        if team is None or team.quota is None:
            return
        self._waiting_by_unit[team.quota.unit] -= amount
        self._waiting_by_team[team.name] -= amount
        if self._waiting_by_team[team.name] <= 0:
            del self._waiting_by_team[team.name]
