"""Metrics of the credit of teams' quotas, at control replicas."""

from prometheus_client import Counter, Gauge

from poplarlug.metrics import REGISTRY

MAX_TEAM_LABELS = 256
OTHER_TEAMS = "others"

DRAWS = Counter(
    "poplarlug_quota_draws_total",
    "Requests that entries asked credit for, by team and outcome.",
    ["team", "outcome"],
    registry=REGISTRY,
)
STOCK = Gauge(
    "poplarlug_quota_stock_units",
    "Credit of a team that this replica holds, in units of its quota.",
    ["team"],
    registry=REGISTRY,
)
QUESTIONS = Counter(
    "poplarlug_quota_questions_total",
    "Questions to the leader for credit, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)

_labelled: set[str] = set()


def team_label(team: str) -> str:
    """Return the label of a team: its name, for a bounded number of teams."""
    if team not in _labelled and len(_labelled) >= MAX_TEAM_LABELS:
        return OTHER_TEAMS
    _labelled.add(team)
    return team
