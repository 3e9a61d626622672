"""Entry point of ``poplarlug-load``."""

import asyncio
import logging
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import fire
import structlog

from poplarlug.load.deployments import PLANS_BY_NAME
from poplarlug.load.experiment import RunKey, run_experiment
from poplarlug.load.faults import SCENARIOS_BY_NAME
from poplarlug.load.http_driver import HttpPlan, run_http
from poplarlug.load.measures import MeasuredRun, measure
from poplarlug.load.policies import FACTORIES_BY_POLICY
from poplarlug.load.replay import report as replay_report
from poplarlug.load.replay.patterns import PATTERNS_BY_NAME
from poplarlug.load.replay.policies import POLICIES_BY_NAME
from poplarlug.load.replay.region import replay
from poplarlug.load.replay.report import ReplayMeasures
from poplarlug.load.report import plot, table, to_json

MAX_WORKERS = 8


def compare(
    deployments: Any = "cascara-verde,markisenwerk",
    scenarios: Any = "normal-day",
    policies: Any = "expected_finish,round_robin,random,least_loaded",
    seeds: int = 1,
    seconds: float = 300.0,
    workers: int = 1,
    json_file: str = "",
    plot_file: str = "",
) -> None:
    """
    Compare policies on the same requests in virtual time.

    Parameters
    ----------
    deployments, scenarios, policies : str
        Comma-separated names, or "all".
    seeds : int
        Number of seeds, starting at 1.
    seconds : float
        Virtual duration of each run.
    workers : int
        Maximum number of parallel runs, each in a separate process.
    json_file, plot_file : str
        Output files for the measures and the plot.
    """
    keys = [
        RunKey(deployment, scenario, policy, seed, float(seconds))
        for deployment in _parse_names(deployments, PLANS_BY_NAME)
        for scenario in _parse_names(scenarios, SCENARIOS_BY_NAME)
        for policy in _parse_names(policies, FACTORIES_BY_POLICY)
        for seed in range(1, seeds + 1)
    ]
    runs = _run_all(keys, min(workers, MAX_WORKERS))
    print(table(runs))
    if json_file:
        Path(json_file).write_bytes(to_json(runs))
    if plot_file:
        plot(runs, Path(plot_file))


def replay_patterns(
    patterns: Any = "all",
    policies: Any = "all",
    seeds: int = 1,
    workers: int = 1,
    plot_file: str = "",
) -> None:
    """
    Replay load patterns on one region with the relay's placement and with baselines.

    Parameters
    ----------
    patterns, policies : str
        Comma-separated names, or "all".
    seeds : int
        Number of seeds, starting at 1; all policies get the same requests.
    workers : int
        Maximum number of parallel replays, each in a separate process.
    plot_file : str
        Output file for the plot.
    """
    runs = [
        (pattern, policy, seed)
        for pattern in _parse_names(patterns, dict(PATTERNS_BY_NAME))
        for policy in _parse_names(policies, dict(POLICIES_BY_NAME))
        for seed in range(1, seeds + 1)
    ]
    measures_by_run: dict[tuple[str, str], list[ReplayMeasures]] = {}
    with ProcessPoolExecutor(min(workers, MAX_WORKERS)) as pool:
        for (pattern, policy, _), measures in zip(
            runs, pool.map(_replay_one, runs), strict=True
        ):
            measures_by_run.setdefault((pattern, policy), []).append(measures)
    print(replay_report.table(measures_by_run))
    if plot_file:
        replay_report.plot(measures_by_run, Path(plot_file))


def drive(
    entries: Any,
    key_file: str,
    model: str,
    seconds: float = 10.0,
    urgent_rate: float = 2.0,
    patient_rate: float = 2.0,
    flood_rank: str = "",
    flood_rate: float = 0.0,
    seed: int = 1,
) -> None:
    """
    Send a workload to entries over HTTP and print a summary of the responses as JSON.

    Parameters
    ----------
    entries : str
        Comma-separated HTTP addresses.
    key_file : str
        File that contains the caller's key.
    urgent_rate, patient_rate, flood_rate : float
        Requests per second; the flood lasts for the middle third of the run.
    """
    plan = HttpPlan(
        entries=_split(entries),
        key=Path(key_file).read_text().strip(),
        model=model,
        seconds=float(seconds),
        rates_by_rank={"urgent": float(urgent_rate), "patient": float(patient_rate)},
        flood_rank=flood_rank,
        flood_rate=float(flood_rate),
        seed=seed,
    )
    print(asyncio.run(run_http(plan)).decode())


def main() -> None:
    """Run ``poplarlug-load``."""
    fire.Fire({"compare": compare, "drive": drive, "replay": replay_patterns})


def _run_all(keys: Sequence[RunKey], workers: int) -> list[MeasuredRun]:
    if workers <= 1:
        return [_run_one(key) for key in keys]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_run_one, keys))


def _run_one(key: RunKey) -> MeasuredRun:
    return measure(run_experiment(key))


def _replay_one(run: tuple[str, str, int]) -> ReplayMeasures:
    pattern, policy, seed = run
    # Logs of the dozens of entries in each replay would hide the table.
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    replayed = replay(PATTERNS_BY_NAME[pattern], POLICIES_BY_NAME[policy], seed)
    return replay_report.measure(replayed)


def _parse_names(value: Any, known: dict[str, Any]) -> list[str]:
    names = list(known) if value == "all" else list(_split(value))
    unknown = [name for name in names if name not in known]
    if unknown:
        print(
            f"got {', '.join(unknown)}, expected some of {', '.join(known)} or 'all'",
            file=sys.stderr,
        )
        raise SystemExit(2)
    return names


def _split(value: Any) -> tuple[str, ...]:
    if isinstance(value, list | tuple):
        return tuple(str(item) for item in value)
    return tuple(part for part in str(value).split(",") if part)
