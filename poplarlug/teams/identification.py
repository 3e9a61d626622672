"""Finds the team of a caller by the key in its request."""

from collections.abc import Iterable, Sequence

from returns.result import Failure, Result, Success

from poplarlug.errors import GatewayError, no_team
from poplarlug.teams.digests import digest_of_key
from poplarlug.teams.objects import KeyDigest, Team

AUTHORIZATION = "Authorization"


class TeamDirectory:
    """
    Look up teams by their callers' keys.

    Parameters
    ----------
    teams : iterable of Team
        Teams that share no key.
    """

    def __init__(self, *, teams: Iterable[Team]) -> None:
        self._teams_by_digest: dict[KeyDigest, Team] = {
            digest: team for team in teams for digest in team.key_digests
        }

    def find(self, key: str) -> Team | None:
        return self._teams_by_digest.get(digest_of_key(key))

    def identify(
        self, authorizations: Sequence[str], *, scheme: str, is_open: bool
    ) -> Result[Team | None, GatewayError]:
        """
        Return the team of a request.

        Parameters
        ----------
        authorizations : sequence of str
            Values of all its Authorization headers.
        scheme : str
            The word before the key.
        is_open : bool
            Whether its route needs no key. An unknown one is then as good as none.

        Returns
        -------
        Failure(GatewayError)
            If the route needs a key, and it is absent, doubled, malformed or unknown.
        """
        key = read_key(authorizations, scheme)
        team = None if key is None else self.find(key)
        if team is None and not is_open:
            return Failure(no_team(scheme))
        return Success(team)


def read_key(authorizations: Sequence[str], scheme: str) -> str | None:
    """Return the key in the only Authorization header, ``None`` if there is none."""
    if len(authorizations) != 1:
        return None
    named, _, key = authorizations[0].partition(" ")
    return key if named == scheme and key else None
