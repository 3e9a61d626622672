"""Observations from request logs and from scrapes of ``/metrics``."""

from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from poplarlug.catalog import Rank
from poplarlug.reports.burn import Observation
from poplarlug.reports.objectives import Outcome, request_outcome
from poplarlug.requestlog import RequestRecord
from poplarlug.types import Address, RankName, RegionName, Seconds

COUNTED_OUTCOMES = ("answered", "upstream_error", "refused", "failed")
FIRST_TOKEN_METRIC = "poplarlug_request_first_token_seconds"
REQUESTS_METRIC = "poplarlug_requests"


class RankCounters(NamedTuple):
    """
    Counters of one rank at one entry since its start.

    Parameters
    ----------
    counts_by_le : mapping
        Number of first tokens within each bucket's upper bound, in seconds.
    """

    counts_by_outcome: dict[str, float]
    counts_by_le: dict[str, float]


class Scrape(NamedTuple):
    """Counters from ``/metrics`` of one entry at one time."""

    time: Seconds
    address: Address
    region: RegionName
    counters_by_rank: dict[RankName, RankCounters]


def read_request_log(
    paths: Iterable[Path], ranks: Mapping[RankName, Rank]
) -> Iterator[Observation]:
    """Yield an observation for each record of a known rank; skip all other lines."""
    for path in paths:
        with path.open("rb") as lines:
            for line in lines:
                record = _parse_record(line)
                rank = ranks.get(record.rank) if record is not None else None
                if record is None or rank is None:
                    continue
                yield Observation(
                    record.time,
                    record.rank,
                    record.region,
                    record.account,
                    request_outcome(record, rank),
                )


def parse_metrics(
    text: str, *, time: Seconds, address: Address, region: RegionName
) -> Scrape:
    """Return the counters of each rank in a response of ``/metrics``."""
    by_rank: dict[RankName, RankCounters] = {}
    for family in text_string_to_metric_families(text):
        if family.name not in (REQUESTS_METRIC, FIRST_TOKEN_METRIC):
            continue
        for sample in family.samples:
            counters = by_rank.setdefault(
                sample.labels.get("rank", ""), RankCounters({}, {})
            )
            if sample.name == f"{REQUESTS_METRIC}_total":
                counters.counts_by_outcome[sample.labels["outcome"]] = sample.value
            elif sample.name == f"{FIRST_TOKEN_METRIC}_bucket":
                counters.counts_by_le[sample.labels["le"]] = sample.value
    return Scrape(time, address, region, by_rank)


def read_scrapes(
    paths: Iterable[Path], ranks: Mapping[RankName, Rank]
) -> Iterator[Observation]:
    """
    Yield the difference between each two successive scrapes of one entry.

    A first token counts as in time if it lies in a bucket whose upper bound is at
    most the rank's target. A counter that decreased indicates a restart, so it
    counts from zero.
    """
    last_by_address: dict[Address, Scrape] = {}
    for path in paths:
        with path.open("rb") as lines:
            for line in lines:
                scrape = msgspec.json.decode(line, type=_ScrapeLine).scrape()
                last = last_by_address.get(scrape.address)
                last_by_address[scrape.address] = scrape
                if last is not None:
                    yield from _observations_between(last, scrape, ranks)


def encode_scrape(scrape: Scrape) -> bytes:
    """Return ``scrape`` as a line for :func:`read_scrapes`."""
    ranks = {
        rank: counters._asdict() for rank, counters in scrape.counters_by_rank.items()
    }
    return msgspec.json.encode({**scrape._asdict(), "counters_by_rank": ranks}) + b"\n"


class _CountersLine(msgspec.Struct):
    counts_by_outcome: dict[str, float]
    counts_by_le: dict[str, float]


class _ScrapeLine(msgspec.Struct):
    time: float
    address: str
    region: str
    counters_by_rank: dict[str, _CountersLine]

    def scrape(self) -> Scrape:
        counters = {
            rank: RankCounters(line.counts_by_outcome, line.counts_by_le)
            for rank, line in self.counters_by_rank.items()
        }
        return Scrape(self.time, self.address, self.region, counters)


def _observations_between(
    last: Scrape, scrape: Scrape, ranks: Mapping[RankName, Rank]
) -> Iterator[Observation]:
    for name, counters in scrape.counters_by_rank.items():
        rank = ranks.get(name)
        if rank is None:
            continue
        before = last.counters_by_rank.get(name, RankCounters({}, {}))
        outcome = _outcome_delta(
            _cumulative_outcome(before, rank), _cumulative_outcome(counters, rank)
        )
        yield Observation(scrape.time, name, scrape.region, "", outcome)


def _cumulative_outcome(counters: RankCounters, rank: Rank) -> Outcome:
    by_outcome = counters.counts_by_outcome
    total = sum(by_outcome.get(outcome, 0) for outcome in COUNTED_OUTCOMES)
    target = rank.first_token_target_seconds
    in_time = [n for le, n in counters.counts_by_le.items() if float(le) <= target]
    good = min(max(in_time, default=0), by_outcome.get("answered", 0))
    return Outcome(int(good), int(total))


def _outcome_delta(before: Outcome, after: Outcome) -> Outcome:
    if after.total < before.total:
        before = Outcome(0, 0)
    return Outcome(max(0, after.good - before.good), after.total - before.total)


def _parse_record(line: bytes) -> RequestRecord | None:
    if b'"total_seconds"' not in line:
        return None
    try:
        row: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
        fields = {**RequestRecord._field_defaults, **row}
        return msgspec.convert(
            [fields[name] for name in RequestRecord._fields], RequestRecord
        )
    except (msgspec.DecodeError, msgspec.ValidationError, KeyError):
        return None
