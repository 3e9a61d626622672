"""Measures of a run."""

import math
from collections.abc import Iterable, Sequence
from statistics import fmean
from typing import NamedTuple

from poplarlug.load.deployments import ENGINE, PLANS_BY_NAME
from poplarlug.load.experiment import Outcome, RunKey, RunResult
from poplarlug.load.faults import FLOOD_ENDS, FLOOD_STARTS
from poplarlug.types import Seconds

WAN_ENGINE_SECONDS_PER_BYTE = 1e-7
FLOOD_RAMP_SHARE = 0.25


class Measures(NamedTuple):
    """
    Measures by which the deployments are judged.

    Parameters
    ----------
    cost : float
        Engine seconds, including the cost of WAN traffic, per useful answer. An
        answer is useful if it met its target.
    urgent_p50, urgent_p99, patient_p99 : float
        Percentiles of the time to the complete answer in seconds, excluding flood
        requests.
    away_share : float
        Fraction of answered requests that another zone executed.
    urgent_met, patient_met : float
        Fraction of requests, excluding flood requests, that met their target.
    patient_kept : float
        Fraction of engine time spent on useful patient work in the flood window.
    useful_work : float
        Fraction of engine time spent on all useful work in the flood window.
    urgent_refused : float
        Fraction of urgent requests, excluding flood requests, that were refused.
    late_refusals : float
        Fraction of refusals that took more than a second.
    hit_rate : float
        Cached blocks at the chosen engines, relative to the best engine of the zone.
    """

    cost: float
    urgent_p50: Seconds
    urgent_p99: Seconds
    patient_p99: Seconds
    away_share: float
    urgent_met: float
    patient_met: float
    patient_kept: float
    useful_work: float
    urgent_refused: float
    late_refusals: float
    hit_rate: float


class MeasuredRun(NamedTuple):
    """Key and measures of one run."""

    key: RunKey
    measures: Measures


def measure(result: RunResult) -> MeasuredRun:
    """Return the measures of ``result``."""
    outcomes = result.outcomes
    urgent = [o for o in outcomes if _has_rank(o, "urgent") and not o.request.flood]
    patient = [o for o in outcomes if _has_rank(o, "patient") and not o.request.flood]
    useful = [o for o in outcomes if o.useful]
    answered = [o for o in outcomes if o.answered]
    refused = [o for o in outcomes if o.refused]
    spent = engine_seconds(result.prefilled_tokens, result.decoded_tokens)
    spent += result.wan_bytes * WAN_ENGINE_SECONDS_PER_BYTE
    window = _window(result.key, useful)
    return MeasuredRun(
        result.key,
        Measures(
            cost=spent / max(1, len(useful)),
            urgent_p50=percentile((o.seconds for o in urgent if o.answered), 0.5),
            urgent_p99=percentile((o.seconds for o in urgent if o.answered), 0.99),
            patient_p99=percentile((o.seconds for o in patient if o.answered), 0.99),
            away_share=_share(answered, [o for o in answered if o.forwarded]),
            urgent_met=_share(urgent, [o for o in urgent if o.useful]),
            patient_met=_share(patient, [o for o in patient if o.useful]),
            patient_kept=_engine_share(
                result.key, [o for o in window if _has_rank(o, "patient")]
            ),
            useful_work=_engine_share(result.key, window),
            urgent_refused=_share(urgent, [o for o in urgent if o.refused]),
            late_refusals=_share(refused, [o for o in refused if o.seconds > 1.0]),
            hit_rate=result.cached_blocks_chosen / max(1, result.cached_blocks_best),
        ),
    )


def engine_seconds(prefilled_tokens: float, decoded_tokens: float) -> Seconds:
    """Return the time that an engine with a full batch needs for the tokens."""
    token_interval = ENGINE.token_seconds + ENGINE.token_seconds_per_sequence * (
        ENGINE.batch_limit - 1
    )
    prefill = prefilled_tokens / ENGINE.prefill_tokens_per_second
    return (
        prefill * ENGINE.prefill_share
        + decoded_tokens * token_interval / ENGINE.batch_limit
    )


def percentile(values: Iterable[float], share: float) -> float:
    """Return the nearest-rank percentile ``share`` of ``values``; 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def mean_and_spread(values: Sequence[float]) -> tuple[float, float, float]:
    """Return the mean, minimum and maximum of ``values``."""
    return fmean(values), min(values), max(values)


def _has_rank(outcome: Outcome, rank: str) -> bool:
    return outcome.request.rank.name == rank


def _share(whole: Sequence[Outcome], part: Sequence[Outcome]) -> float:
    return len(part) / len(whole) if whole else 0.0


def _window_bounds(key: RunKey) -> tuple[Seconds, Seconds]:
    # The window starts after the flood has filled all slots.
    starts = FLOOD_STARTS + FLOOD_RAMP_SHARE * (FLOOD_ENDS - FLOOD_STARTS)
    return starts * key.seconds, FLOOD_ENDS * key.seconds


def _window(key: RunKey, useful: Sequence[Outcome]) -> list[Outcome]:
    starts, ends = _window_bounds(key)
    return [o for o in useful if starts <= o.ended_at < ends]


def _engine_share(key: RunKey, outcomes: Sequence[Outcome]) -> float:
    starts, ends = _window_bounds(key)
    engines = PLANS_BY_NAME[key.deployment].slots() / ENGINE.batch_limit
    work = sum(
        engine_seconds(o.prefilled_tokens, o.request.answer_tokens) for o in outcomes
    )
    return work / (engines * (ends - starts))
