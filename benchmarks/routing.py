"""Compares the gateway's routing policy with its targets, in virtual time."""

from statistics import fmean
from typing import NamedTuple

import fire

from poplarlug.load.experiment import RunKey, run_experiment
from poplarlug.load.measures import Measures, measure
from poplarlug.load.policies import GATEWAY_POLICY

SCENARIOS = ("normal-day", "patient-flood", "urgent-flood")
DEPLOYMENTS = ("cascara-verde", "markisenwerk")


class Target(NamedTuple):
    """A measured value and its required bound."""

    name: str
    measured: float
    bound: float
    at_least: bool

    def line(self) -> str:
        met = (
            self.measured >= self.bound
            if self.at_least
            else self.measured <= self.bound
        )
        relation = ">=" if self.at_least else "<="
        verdict = "met" if met else "missed"
        return f"  {self.name:45} {self.measured:7.3f} {relation} {self.bound:5.2f} {verdict}"


def mean_measures(
    deployment: str, scenario: str, seeds: int, seconds: float
) -> Measures:
    runs = [
        measure(
            run_experiment(RunKey(deployment, scenario, GATEWAY_POLICY, seed, seconds))
        )
        for seed in range(1, seeds + 1)
    ]
    columns = zip(*(run.measures for run in runs), strict=True)
    return Measures(*(fmean(column) for column in columns))


def main(seeds: int = 1, seconds: float = 300.0) -> None:
    """Print each target with the mean over the seeds 1 to ``seeds``."""
    for deployment in DEPLOYMENTS:
        normal, patient, urgent = (
            mean_measures(deployment, scenario, seeds, seconds)
            for scenario in SCENARIOS
        )
        slowdown = patient.urgent_p99 / normal.urgent_p99
        print(f"{deployment}, seeds 1 to {seeds}, {seconds:.0f} s")
        for target in (
            Target("patient flood: urgent p99 over normal day", slowdown, 1.25, False),
            Target("patient flood: urgent in time", patient.urgent_met, 0.99, True),
            Target(
                "urgent flood: patient engine share", urgent.patient_kept, 0.2, True
            ),
            Target("urgent flood: useful work", urgent.useful_work, 0.9, True),
            Target("normal day: share sent away", normal.away_share, 0.02, False),
            Target("normal day: hit rate over oracle", normal.hit_rate, 0.9, True),
        ):
            print(target.line())


if __name__ == "__main__":
    fire.Fire(main)
