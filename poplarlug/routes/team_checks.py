"""Validation of the teams of a route table."""

from collections.abc import Iterable, Sequence

from poplarlug.routes.problems import RouteProblem
from poplarlug.teams import KeyDigest, Team

MAX_TEAMS = 5000
MAX_KEYS = 50_000


def check_teams(teams: Sequence[Team]) -> Iterable[RouteProblem]:
    """Yield the problems of ``teams``; keys are never shown."""
    keys = sum(len(team.key_digests) for team in teams)
    if len(teams) > MAX_TEAMS or keys > MAX_KEYS:
        message = (
            f"got {len(teams)} teams with {keys} keys, expected at most {MAX_TEAMS} "
            f"with {MAX_KEYS}"
        )
        yield RouteProblem("$.teams", message)
        return
    names: set[str] = set()
    owners_by_digest: dict[KeyDigest, str] = {}
    for index, team in enumerate(teams):
        path = f"$.teams[{index}]"
        if team.name in names:
            yield RouteProblem(f"{path}.name", f"the name {team.name!r} stands twice")
        names.add(team.name)
        if not _fits_a_header(team.name):
            message = f"got {team.name!r}, expected printable ASCII for a header"
            yield RouteProblem(f"{path}.name", message)
        for number, digest in enumerate(team.key_digests):
            owner = owners_by_digest.setdefault(digest, path)
            if owner != path:
                message = f"{owner} has the same key; give each team keys of its own"
                yield RouteProblem(f"{path}.keys[{number}]", message)
        quota = team.quota
        if quota is not None and min(quota.per_second, quota.burst) < 0:
            message = (
                f"got {quota.per_second} a second and {quota.burst}, expected 0 or more"
            )
            yield RouteProblem(f"{path}.quota", message)


def _fits_a_header(name: str) -> bool:
    return bool(name) and name.isascii() and name.isprintable() and name == name.strip()
