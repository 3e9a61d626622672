"""Error budget burn rates by rank, region and account."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from poplarlug.catalog import Rank
from poplarlug.reports.objectives import Outcome
from poplarlug.types import AccountName, RankName, RegionName, Seconds

MINUTE_SECONDS = 60.0
HOUR_SECONDS = 3600.0
DAY_SECONDS = 86400.0
SERIES_STEP_SECONDS = 5 * MINUTE_SECONDS
ALL = "all"


class BurnWindow(NamedTuple):
    """
    A pair of windows; an alert needs burn rates above ``threshold`` in both.

    The long window shows that the burn is significant, the short one that it is
    still going on.
    """

    name: str
    short_seconds: Seconds
    long_seconds: Seconds
    threshold: float


BURN_WINDOWS = (
    BurnWindow("5m/1h", 5 * MINUTE_SECONDS, HOUR_SECONDS, 14.4),
    BurnWindow("30m/6h", 30 * MINUTE_SECONDS, 6 * HOUR_SECONDS, 6.0),
    BurnWindow("6h/3d", 6 * HOUR_SECONDS, 3 * DAY_SECONDS, 1.0),
)


class Observation(NamedTuple):
    """Requests of one rank, region and account that ended at one time."""

    time: Seconds
    rank: RankName
    region: RegionName
    account: AccountName
    outcome: Outcome


class BurnKey(NamedTuple):
    """Rank, region and account that a report row covers; ``all`` stands for any."""

    rank: RankName
    region: RegionName = ALL
    account: AccountName = ALL


class WindowBurn(NamedTuple):
    """Burn rates over a pair of windows; 1 uses up the budget exactly."""

    name: str
    short_rate: float
    long_rate: float
    alert: bool


class BurnRow(NamedTuple):
    """
    One row of the report.

    Parameters
    ----------
    budget_left : float
        Share of the period's error budget that is left; negative if more
        requests missed their targets than the objective allows.
    """

    key: BurnKey
    objective: float
    good: int
    total: int
    budget_left: float
    windows: tuple[WindowBurn, ...]


class _Counts:
    __slots__ = ("good", "total")

    def __init__(self) -> None:
        self.good = 0
        self.total = 0

    def add(self, outcome: Outcome) -> None:
        self.good += outcome.good
        self.total += outcome.total

    def missed_share(self) -> float:
        return 1 - self.good / self.total if self.total else 0.0


class BurnReport:
    """
    Count observations by key and window; memory use grows only with the keys.

    Parameters
    ----------
    end : float
        End of all windows, in seconds since 1970.
    period_seconds : float
        Length of the error budget's period, which ends at ``end``.
    """

    def __init__(
        self,
        *,
        ranks: Mapping[RankName, Rank],
        end: Seconds,
        period_seconds: Seconds,
    ) -> None:
        self._ranks = ranks
        self._end = end
        self._spans = [
            span
            for window in BURN_WINDOWS
            for span in (window.short_seconds, window.long_seconds)
        ]
        self._spans.append(period_seconds)
        self._counts_by_key: dict[BurnKey, list[_Counts]] = {}
        self._series_by_rank: dict[RankName, dict[int, _Counts]] = {}

    def add_all(self, observations: Iterable[Observation]) -> None:
        for observation in observations:
            self.add(observation)

    def add(self, observation: Observation) -> None:
        """Count ``observation`` if its rank is known and a window covers its time."""
        age = self._end - observation.time
        rank, region, account = observation[1:4]
        if not observation.outcome.total or rank not in self._ranks or age < 0:
            return
        if age >= max(self._spans):
            return
        keys = {BurnKey(rank), BurnKey(rank, region)}
        if account:
            keys.add(BurnKey(rank, ALL, account))
        for key in keys:
            self._add_to_windows(key, age, observation.outcome)
        series = self._series_by_rank.setdefault(rank, {})
        step = int(observation.time // SERIES_STEP_SECONDS)
        series.setdefault(step, _Counts()).add(observation.outcome)

    def rows(self, *, top_accounts: int) -> list[BurnRow]:
        """Return ranks, regions, then ``top_accounts`` with the least budget left."""
        rows = [self._row(key) for key in self._counts_by_key]
        accounts = [row for row in rows if row.key.account != ALL]
        accounts.sort(key=lambda row: (row.budget_left, row.key))
        others = [row for row in rows if row.key.account == ALL]
        others.sort(key=lambda row: (row.key.region != ALL, row.key))
        return others + accounts[:top_accounts]

    def series(self, rank: RankName) -> list[tuple[Seconds, float]]:
        """Return (time, burn rate) of ``rank`` for each step with requests."""
        steps = self._series_by_rank.get(rank, {})
        return [
            (step * SERIES_STEP_SECONDS, self._rate(rank, counts))
            for step, counts in sorted(steps.items())
        ]

    def _add_to_windows(self, key: BurnKey, age: Seconds, outcome: Outcome) -> None:
        counts = self._counts_by_key.get(key)
        if counts is None:
            counts = [_Counts() for _ in self._spans]
            self._counts_by_key[key] = counts
        for span, window_counts in zip(self._spans, counts, strict=True):
            if age < span:
                window_counts.add(outcome)

    def _row(self, key: BurnKey) -> BurnRow:
        counts = self._counts_by_key[key]
        rates = [self._rate(key.rank, window_counts) for window_counts in counts]
        windows = tuple(
            WindowBurn(
                window.name,
                rates[2 * index],
                rates[2 * index + 1],
                min(rates[2 * index : 2 * index + 2]) > window.threshold,
            )
            for index, window in enumerate(BURN_WINDOWS)
        )
        period = counts[-1]
        return BurnRow(
            key,
            self._ranks[key.rank].objective,
            period.good,
            period.total,
            1 - rates[-1],
            windows,
        )

    def _rate(self, rank: RankName, counts: _Counts) -> float:
        return counts.missed_share() / (1 - self._ranks[rank].objective)


def latest_time(read: Callable[[], Iterable[Observation]]) -> Seconds | None:
    """Return the time of the newest observation, ``None`` if there is none."""
    return max((observation.time for observation in read()), default=None)
