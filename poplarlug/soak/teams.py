"""Teams of a soak's callers, and the keys that its operator gives and takes away."""

import math
import threading
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from poplarlug.quotas import QuotaBounds
from poplarlug.teams import Quota, Team
from poplarlug.types import Seconds

AMPLE_TEAM = Team("ample", quota=Quota(400.0, 40.0))
HOT_TEAM = Team("hot", quota=Quota(4.0, 4.0))
"""Its callers ask for many times its quota."""

FREE_TEAM = Team("free")
TEAMS = (AMPLE_TEAM, HOT_TEAM, FREE_TEAM)
TEAMS_OF_CALLERS = (
    HOT_TEAM,
    HOT_TEAM,
    AMPLE_TEAM,
    AMPLE_TEAM,
    FREE_TEAM,
    FREE_TEAM,
    AMPLE_TEAM,
    AMPLE_TEAM,
)
"""Teams of the callers, in turn."""

AMPLE_CALLER = TEAMS_OF_CALLERS.index(AMPLE_TEAM)

QUOTA_BOUNDS = QuotaBounds(window_seconds=4.0, overage=0.25, slack=4.0)
REVOCATION_SECONDS = 5.0
"""After this time from its acknowledgement, no request with a removed key runs."""

APPLY_SECONDS = 4.0
"""After this time from its acknowledgement, an added key is known at all entries."""

CHANGE_SECONDS = 1.0
"""Least time between two changes of keys, of one team each."""

MAX_KEYS = 4
"""Maximum number of keys that a team has at a time."""

REMOVED_SHARE = 0.15
FOREIGN_SHARE = 0.03
"""Fractions of requests with a key that was removed, or that never existed."""


class KeyHistory(NamedTuple):
    """
    When a key was added and removed, in monotonic time; infinite if it was not.

    Parameters
    ----------
    usable_at : float
        When all entries had to know it.
    dropped_at : float
        When the first configuration without it was sent.
    revoked_at : float
        When a configuration without it was acknowledged.
    """

    team: str
    usable_at: Seconds = math.inf
    dropped_at: Seconds = math.inf
    revoked_at: Seconds = math.inf


class KeyRing:
    """
    Keys of all teams, as an operator replaces them and callers use them.

    Each team has a key that all entries know at any time.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._lock = threading.Lock()
        self._current_by_team: dict[str, list[str]] = {team.name: [] for team in TEAMS}
        self._removed_by_team: dict[str, list[str]] = {team.name: [] for team in TEAMS}
        self._changed_at = -math.inf
        self._sent_keys: frozenset[str] = frozenset()
        self.history_by_key: dict[str, KeyHistory] = {}
        for team in self._current_by_team:
            # Callers start after its configuration is in force.
            self._add(team, usable_at=-math.inf)

    def pick(self, team: str, rng: Random, now: Seconds) -> str:
        """Return a key for a caller's next request; a few are not to be served."""
        draw = rng.random()
        if draw < FOREIGN_SHARE:
            return f"key-{team}-never"
        with self._lock:
            removed = self._removed_by_team[team]
            if draw < FOREIGN_SHARE + REMOVED_SHARE and removed:
                return rng.choice(removed)
            return rng.choice(self._usable(team, now))

    def change(self, now: Seconds) -> Mapping[str, tuple[str, ...]]:
        """Return the keys of each team for the next configuration."""
        with self._lock:
            if now - self._changed_at >= CHANGE_SECONDS:
                self._changed_at = now
                self._replace(self._rng.choice(TEAMS).name, now)
            self._sent_keys = frozenset(
                key for keys in self._current_by_team.values() for key in keys
            )
            return {team: tuple(keys) for team, keys in self._current_by_team.items()}

    def acknowledge(self, now: Seconds) -> None:
        """Record that the configuration with the latest keys was acknowledged."""
        with self._lock:
            for key, history in self.history_by_key.items():
                if key not in self._sent_keys:
                    noted = history._replace(revoked_at=min(history.revoked_at, now))
                else:
                    usable_at = min(history.usable_at, now + APPLY_SECONDS)
                    noted = history._replace(usable_at=usable_at)
                self.history_by_key[key] = noted

    def _replace(self, team: str, now: Seconds) -> None:
        current = self._current_by_team[team]
        usable = self._usable(team, now)
        if len(usable) > 1:
            current.remove(usable[0])
            self._removed_by_team[team].append(usable[0])
            history = self.history_by_key[usable[0]]
            self.history_by_key[usable[0]] = history._replace(dropped_at=now)
        if len(current) < MAX_KEYS:
            self._add(team)

    def _add(self, team: str, usable_at: Seconds = math.inf) -> None:
        key = f"key-{team}-{len(self.history_by_key)}"
        self.history_by_key[key] = KeyHistory(team, usable_at)
        self._current_by_team[team].append(key)

    def _usable(self, team: str, now: Seconds) -> list[str]:
        return [
            key
            for key in self._current_by_team[team]
            if self.history_by_key[key].usable_at <= now
        ]
